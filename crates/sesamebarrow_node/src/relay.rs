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
pub const CHANNEL_CAPACITY_CHUNKS: usize = 16;

/// The event that ends a whole stream.
const FINAL_EVENT: &[u8] = b"data: [DONE]";

/// What stands before the number of tokens in a stream's last events.
const USAGE_PREFIX: &[u8] = b"\"total_tokens\":";

/// Bytes at a stream's end that are looked at for its final events.
const TAIL_BYTES: usize = 1024;

/// The answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Interrupted;

/// A body towards a caller.
pub type Body = BoxBody<Bytes, Interrupted>;

/// The sending end of a streamed body. Dropped without a final `Err`, the body ends
/// whole; so its owner must send [`Interrupted`] unless the answer is whole.
pub type Sender = mpsc::Sender<Result<Bytes, Interrupted>>;

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
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Returns a body that is fed by the sender.
pub fn channel() -> (Sender, mpsc::Receiver<Result<Bytes, Interrupted>>) {
    mpsc::channel(CHANNEL_CAPACITY_CHUNKS)
}

/// Turns the receiving end into a body.
pub fn streamed(rx: mpsc::Receiver<Result<Bytes, Interrupted>>) -> Body {
    let stream = futures_util::stream::unfold(rx, |mut rx| async move {
        let chunk = rx.recv().await?;
        Some((chunk.map(Frame::data), rx))
    });
    BodyExt::boxed(StreamBody::new(stream))
}

/// Watches the end of an answer.
#[derive(Debug)]
pub struct ResponseTracker {
    is_event_stream: bool,
    tail: Vec<u8>,
}

impl ResponseTracker {
    /// Builds a watcher for an answer with these fields.
    pub fn new(fields: &HeaderMap) -> Self {
        let content_type = fields.get(hyper::header::CONTENT_TYPE);
        let is_event_stream =
            content_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        Self {
            is_event_stream,
            tail: Vec::new(),
        }
    }

    /// Takes a chunk of the body.
    pub fn update(&mut self, chunk: &[u8]) {
        if !self.is_event_stream {
            return;
        }
        let start = chunk.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&chunk[start..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    /// Tells whether an answer that ended here is whole: a stream of events must have
    /// sent its final one.
    pub fn is_complete(&self) -> bool {
        !self.is_event_stream || memmem::rfind(&self.tail, FINAL_EVENT).is_some()
    }

    /// Returns the tokens that the answer says it cost.
    pub fn tokens(&self) -> Option<u64> {
        let at = memmem::rfind(&self.tail, USAGE_PREFIX)? + USAGE_PREFIX.len();
        let rest = self.tail[at..].trim_ascii_start();
        let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
        std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
    }
}
