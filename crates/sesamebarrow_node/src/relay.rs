//! Bodies on their way to a caller, and telling a whole answer from a broken one.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use memchr::memmem;
use serde::Serialize;
use tokio::sync::mpsc;

/// Chunks of an answer that may wait for the caller.
pub const CHUNKS: usize = 16;

/// The event that ends a whole stream.
const FINAL_EVENT: &[u8] = b"data: [DONE]";

/// What stands before the number of tokens in a stream's last events.
const USAGE: &[u8] = b"\"total_tokens\":";

/// Bytes at a stream's end that are looked at for its final events.
const TAIL_BYTES: usize = 1024;

/// The answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// A body towards a caller.
pub type Body = BoxBody<Bytes, Broken>;

/// The sending end of a streamed body. Dropped without a final `Err`, the body ends
/// whole; so its owner must send [`Broken`] unless the answer is whole.
pub type Sender = mpsc::Sender<Result<Bytes, Broken>>;

/// Returns a body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns a JSON answer.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Returns a body that is fed by the sender.
pub fn channel() -> (Sender, mpsc::Receiver<Result<Bytes, Broken>>) {
    mpsc::channel(CHUNKS)
}

/// Turns the receiving end into a body.
pub fn streamed(rx: mpsc::Receiver<Result<Bytes, Broken>>) -> Body {
    let stream = futures_util::stream::unfold(rx, |mut rx| async move {
        let chunk = rx.recv().await?;
        Some((chunk.map(Frame::data), rx))
    });
    BodyExt::boxed(StreamBody::new(stream))
}

/// Watches the end of an answer.
#[derive(Debug)]
pub struct Watcher {
    events: bool,
    tail: Vec<u8>,
}

impl Watcher {
    /// Builds a watcher for an answer with these fields.
    pub fn new(fields: &HeaderMap) -> Self {
        let kind = fields.get(hyper::header::CONTENT_TYPE);
        let events = kind.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        Self {
            events,
            tail: Vec::new(),
        }
    }

    /// Takes a chunk of the body.
    pub fn see(&mut self, chunk: &[u8]) {
        if !self.events {
            return;
        }
        let start = chunk.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&chunk[start..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    /// Tells whether an answer that ended here is whole: a stream of events must have
    /// sent its final one.
    pub fn is_whole(&self) -> bool {
        !self.events || memmem::rfind(&self.tail, FINAL_EVENT).is_some()
    }

    /// Returns the tokens that the answer says it cost.
    pub fn tokens(&self) -> Option<u64> {
        let at = memmem::rfind(&self.tail, USAGE)? + USAGE.len();
        let rest = self.tail[at..].trim_ascii_start();
        let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
        std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
    }
}
