//! Transfers catalogs between instances, so that an instance that does not read the store gets
//! the items from one that does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use sesamebarrow_platform::item::{self, Key};
use sesamebarrow_routing::catalog::{Delta, Gap, Item};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::shared::Shared;
use crate::{socket, store};

/// Maximum size of an encoded catalog. A single value of the store may have up to a megabyte.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Time in which this instance's own watch may deliver newer items before they are requested
/// from another instance. It is also the pause after a failed accept.
const OWN_WATCH_GRACE: Duration = Duration::from_millis(500);

/// Maximum time for one transfer; a few round trips between regions.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, PartialEq, prost::Message)]
struct Entry {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(message, required, tag = "2")]
    item: Item,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Deletion {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// Encoding of a [`Delta`].
#[derive(Clone, PartialEq, prost::Message)]
struct SyncResponse {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<Entry>,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(message, repeated, tag = "3")]
    deletions: Vec<Deletion>,
    #[prost(bool, tag = "4")]
    full: bool,
    #[prost(message, repeated, tag = "5")]
    gaps: Vec<Gap>,
}

fn encode(delta: Delta) -> Bytes {
    let entries = delta.items.into_iter().map(|(key, item)| Entry {
        key: key.to_string(),
        item,
    });
    let deletions = delta.deleted.into_iter().map(|(key, revision)| Deletion {
        key: key.to_string(),
        revision,
    });
    let response = SyncResponse {
        entries: entries.collect(),
        revision: delta.revision,
        deletions: deletions.collect(),
        full: delta.full,
        gaps: delta.gaps,
    };
    Bytes::from(response.encode_to_vec())
}

fn decode(bytes: &[u8]) -> Result<Delta, prost::DecodeError> {
    let response = SyncResponse::decode(bytes)?;
    let items = response
        .entries
        .into_iter()
        .map(|e| (SmolStr::new(e.key), e.item));
    let deletions = response
        .deletions
        .into_iter()
        .map(|d| (SmolStr::new(d.key), d.revision));
    Ok(Delta {
        items: items.collect(),
        deleted: deletions.collect(),
        full: response.full,
        revision: response.revision,
        gaps: response.gaps,
    })
}

#[derive(Clone, PartialEq, prost::Message)]
struct SyncRequest {
    /// Revision of the newest item that the requesting instance has.
    #[prost(uint64, tag = "1")]
    revision: u64,
    /// Version of its configuration. It may be older than that of an instance with the same revision,
    /// if the store was restored from an older copy.
    #[prost(uint64, tag = "2")]
    config_version: u64,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}

/// Sends the catalog to instances that request it.
pub async fn serve(shared: Arc<Shared>, listener: Arc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(OWN_WATCH_GRACE).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let sent = tokio::time::timeout(TRANSFER_TIMEOUT, send_catalog(&shared, stream)).await;
            if !matches!(sent, Ok(Ok(()))) {
                log::debug!("cannot send catalog");
            }
        });
    }
}

async fn send_catalog(shared: &Shared, stream: TcpStream) -> anyhow::Result<()> {
    socket::set_options(&stream)?;
    let mut framed = framed(stream);
    let Some(request) = framed.next().await else {
        return Ok(());
    };
    let request = SyncRequest::decode(request?)?;
    let config_is_newer = shared.board().config_version() > request.config_version;
    let mut delta = shared.catalog().delta_since(request.revision);
    if config_is_newer {
        let catalog = shared.catalog();
        let config = catalog
            .items
            .iter()
            .filter(|(key, _)| item::parse_key(key) == Key::Config);
        delta
            .items
            .extend(config.map(|(key, item)| (key.clone(), item.clone())));
    }
    framed.send(encode(delta)).await?;
    Ok(())
}

/// Fetches the catalog from another instance whenever one has newer items.
pub async fn follow(shared: Arc<Shared>) {
    let mut failed: Option<SmolStr> = None;
    loop {
        shared.catalog_outdated.notified().await;
        if shared.board().is_store_reader(shared.now()) && shared.catalog().revision > 0 {
            tokio::time::sleep(OWN_WATCH_GRACE).await;
        }
        let source = shared
            .board()
            .select_newer_instance(shared.now(), failed.as_deref());
        let Some((name, ip)) = source else {
            continue;
        };
        let address = SocketAddr::new(ip.into(), shared.listen.sync.port());
        failed = match tokio::time::timeout(TRANSFER_TIMEOUT, fetch_catalog(&shared, address)).await
        {
            Ok(Ok(revision)) => {
                log::info!(instance = name.as_str(), changed = revision; "catalog taken from instance");
                None
            }
            Ok(Err(error)) => {
                log::warn!(instance = name.as_str(), error:% = error; "cannot fetch catalog from instance");
                Some(name)
            }
            Err(_) => {
                log::warn!(instance = name.as_str(); "fetching the catalog timed out");
                // Another instance may have it; the next gossip may be a round away.
                shared.catalog_outdated.notify_one();
                Some(name)
            }
        };
    }
}

async fn fetch_catalog(shared: &Shared, address: SocketAddr) -> anyhow::Result<u64> {
    let mut framed = framed(socket::connect(address, TRANSFER_TIMEOUT).await?);
    let revision = shared.catalog().revision;
    let request = SyncRequest {
        revision,
        config_version: shared.board().config_version(),
    };
    framed.send(Bytes::from(request.encode_to_vec())).await?;
    let response = framed.next().await;
    let response =
        response.ok_or_else(|| anyhow::anyhow!("connection closed without a response"))??;
    let delta = decode(&response)?;
    let mut catalog = shared.catalog();
    if delta.revision > catalog.revision {
        store::apply_delta(shared, &mut catalog, &delta);
    }
    for (key, item) in &delta.items {
        store::adopt_config(shared, &mut catalog, key, item);
    }
    Ok(catalog.revision)
}
