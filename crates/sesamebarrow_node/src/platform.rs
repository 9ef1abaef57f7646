//! Reads the two documents of the platform (the configuration service), which are the rules
//! and the list of instances and upstreams. Also reads the load of upstreams.
//!
//! `GET /v1/documents/{rules|list}?after=REVISION&wait=MILLISECONDS` returns 200 with the
//! document and its revision in `x-revision`, or 304 if there is no newer document.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use sesamebarrow_gateway::meter::{Metered, MeteredBody};
use sesamebarrow_policy::Event;
use sesamebarrow_rules::Document;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;
use tokio::net::TcpStream;

/// Maximum size of a document.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Maximum size of a load report.
const MAX_LOAD_BYTES: usize = 4096;

/// Maximum time to read a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Address of the platform and the time limits of reads.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Network address.
    pub address: SocketAddr,
    /// Time for which the platform may hold a read until there is a newer document.
    pub watch: Duration,
    /// Maximum time for a read, not counting the time for which the platform holds it.
    pub timeout: Duration,
}

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("connect: {0}")]
    Io(#[from] std::io::Error),
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("x-revision is missing or no number")]
    InvalidRevision,
    #[error("the document is not UTF-8")]
    NotUtf8,
    #[error("no answer in time")]
    Timeout,
}

struct Response {
    status: StatusCode,
    revision: Option<u64>,
    body: Bytes,
}

/// Result of a successful read.
enum Fetched {
    Newer(Box<Document>),
    Unchanged(u64),
}

/// Reads a document and returns the event with the result.
pub async fn read(
    platform: Platform,
    kind: DocumentKind,
    read_id: u64,
    known_revision: u64,
    wait_for_newer: bool,
) -> Event {
    match fetch_document(platform, kind, known_revision, wait_for_newer).await {
        Ok(Fetched::Newer(document)) => Event::DocumentRead {
            kind,
            read_id,
            document,
        },
        Ok(Fetched::Unchanged(revision)) => Event::DocumentUnchanged {
            kind,
            read_id,
            revision,
        },
        Err(error) => {
            let fault = SmolStr::from(error.to_string());
            log::debug!(document:? = kind, fault = fault.as_str(); "platform read failed");
            Event::DocumentReadFailed {
                kind,
                read_id,
                fault,
            }
        }
    }
}

async fn fetch_document(
    platform: Platform,
    kind: DocumentKind,
    known_revision: u64,
    wait_for_newer: bool,
) -> Result<Fetched, Error> {
    let name = match kind {
        DocumentKind::Rules => "rules",
        DocumentKind::List => "list",
    };
    let wait = if wait_for_newer {
        platform.watch
    } else {
        Duration::ZERO
    };
    let path = format!(
        "/v1/documents/{name}?after={known_revision}&wait={}",
        wait.as_millis()
    );
    let fetch = fetch(platform.address, &path, MAX_DOCUMENT_BYTES);
    let response = tokio::time::timeout(wait + platform.timeout, fetch)
        .await
        .map_err(|_| Error::Timeout)??;
    let revision = response.revision.ok_or(Error::InvalidRevision);
    match response.status {
        StatusCode::NOT_MODIFIED => Ok(Fetched::Unchanged(revision?)),
        StatusCode::OK => {
            let text = std::str::from_utf8(&response.body).map_err(|_| Error::NotUtf8)?;
            let document = Box::new(Document::new(revision?, text));
            Ok(Fetched::Newer(document))
        }
        other => Err(Error::Status(other)),
    }
}

async fn fetch(address: SocketAddr, path: &str, limit: usize) -> Result<Response, Error> {
    let stream = TcpStream::connect(address).await?;
    let (stream, meter) = Metered::new(stream);
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection_task = tokio::spawn(connection);
    let mut req = Request::new(Empty::<Bytes>::new());
    *req.uri_mut() = path.parse().map_err(|_| Error::NotUtf8)?;
    let host = hyper::header::HeaderValue::from_str(&address.to_string());
    if let Ok(host) = host {
        req.headers_mut().insert(hyper::header::HOST, host);
    }
    let response = sender.send_request(req).await?;
    let status = response.status();
    let revision = response
        .headers()
        .get("x-revision")
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let body = MeteredBody::new(response.into_body(), meter);
    let body = Limited::new(body, limit);
    let body = body.collect().await.map_err(Error::Body)?.to_bytes();
    connection_task.abort();
    Ok(Response {
        status,
        revision,
        body,
    })
}

#[derive(Deserialize)]
struct Load {
    running: u32,
    queued: u32,
}

/// Reads the load of an upstream. Returns `None` if there is no valid response.
pub async fn poll_load(upstream: SmolStr, address: SocketAddr) -> Option<Event> {
    let fetch = fetch(address, "/load", MAX_LOAD_BYTES);
    let response = tokio::time::timeout(LOAD_TIMEOUT, fetch).await.ok()?.ok()?;
    let load: Load = serde_json::from_slice(&response.body).ok()?;
    Some(Event::LoadReported {
        upstream,
        running: load.running,
        queued: load.queued,
    })
}
