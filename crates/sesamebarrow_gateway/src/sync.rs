//! Catalogs between instances: whoever the store turns away takes the items from an
//! instance that it serves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::seq::IteratorRandom;
use sesamebarrow_routing::catalog::{Delta, Item};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::shared::Shared;
use crate::{socket, store};

/// Largest catalog, in bytes; the store holds values up to a megabyte.
const MAX_FRAME: usize = 16 * 1024 * 1024;

/// Time given to this instance's own watch before the items are asked of another.
const OWN_WATCH: Duration = Duration::from_millis(500);

/// Longest time for one exchange; a few round trips between regions.
const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, PartialEq, prost::Message)]
struct Entry {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(message, required, tag = "2")]
    item: Item,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Gone {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// A [`Delta`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct Answer {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<Entry>,
    #[prost(uint64, tag = "2")]
    changed: u64,
    #[prost(message, repeated, tag = "3")]
    gone: Vec<Gone>,
    #[prost(bool, tag = "4")]
    whole: bool,
}

fn encode(delta: Delta) -> Bytes {
    let entries = delta.items.into_iter().map(|(key, item)| Entry {
        key: key.to_string(),
        item,
    });
    let gone = delta.deleted.into_iter().map(|(key, revision)| Gone {
        key: key.to_string(),
        revision,
    });
    let answer = Answer {
        entries: entries.collect(),
        changed: delta.revision,
        gone: gone.collect(),
        whole: delta.full,
    };
    Bytes::from(answer.encode_to_vec())
}

fn decode(bytes: &[u8]) -> Result<Delta, prost::DecodeError> {
    let answer = Answer::decode(bytes)?;
    let items = answer
        .entries
        .into_iter()
        .map(|e| (SmolStr::new(e.key), e.item));
    let gone = answer
        .gone
        .into_iter()
        .map(|g| (SmolStr::new(g.key), g.revision));
    Ok(Delta {
        items: items.collect(),
        deleted: gone.collect(),
        full: answer.whole,
        revision: answer.changed,
    })
}

#[derive(Clone, PartialEq, prost::Message)]
struct Ask {
    /// Revision of the newest item that the asker has.
    #[prost(uint64, tag = "1")]
    changed: u64,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

/// Gives the catalog to instances that ask.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(OWN_WATCH).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let given = tokio::time::timeout(TIMEOUT, give(&shared, stream)).await;
            if !matches!(given, Ok(Ok(()))) {
                log::debug!("catalog not given");
            }
        });
    }
}

async fn give(shared: &Shared, stream: TcpStream) -> anyhow::Result<()> {
    socket::tune(&stream)?;
    let mut framed = framed(stream);
    let Some(ask) = framed.next().await else {
        return Ok(());
    };
    let ask = Ask::decode(ask?)?;
    let delta = shared.catalog().delta_since(ask.changed);
    framed.send(encode(delta)).await?;
    Ok(())
}

/// Takes the catalog from other instances whenever one has newer items.
pub async fn follow(shared: Arc<Shared>) {
    loop {
        shared.behind.notified().await;
        if shared.board().is_store_reader(shared.now()) && shared.catalog().revision > 0 {
            tokio::time::sleep(OWN_WATCH).await;
        }
        let port = shared.settings.listen.sync.port();
        let source = {
            let board = shared.board();
            let changed = board.revision;
            let now = shared.now();
            let newer = board.members.alive(now).filter(|m| m.revision > changed);
            newer
                .choose(&mut rand::rng())
                .map(|m| (m.record.name.clone(), m.ip()))
        };
        let Some((name, ip)) = source else {
            continue;
        };
        let address = SocketAddr::new(ip.into(), port);
        match tokio::time::timeout(TIMEOUT, take(&shared, address)).await {
            Ok(Ok(changed)) => {
                log::info!(instance = name.as_str(), changed; "catalog taken from instance");
            }
            Ok(Err(error)) => {
                log::warn!(instance = name.as_str(), error:% = error; "catalog not taken");
            }
            Err(_) => log::warn!(instance = name.as_str(); "catalog not taken in time"),
        }
    }
}

async fn take(shared: &Shared, address: SocketAddr) -> anyhow::Result<u64> {
    let mut framed = framed(socket::connect(address, TIMEOUT).await?);
    let changed = shared.catalog().revision;
    let ask = Ask { changed };
    framed.send(Bytes::from(ask.encode_to_vec())).await?;
    let answer = framed.next().await;
    let answer = answer.ok_or_else(|| anyhow::anyhow!("closed without an answer"))??;
    let delta = decode(&answer)?;
    let mut catalog = shared.catalog();
    if delta.revision > catalog.revision {
        let changes = catalog.changes_from(&delta);
        store::apply(shared, &mut catalog, &changes);
        catalog.record_full_read(delta.revision);
        shared.board().revision = catalog.revision;
    }
    Ok(catalog.revision)
}
