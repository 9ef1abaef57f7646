//! Response bodies for callers, and the detection of incomplete responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use memchr::memmem;
use serde::Serialize;
use sesamebarrow_gateway::event_stream::{self, Ids, Position, ResumePoint};
use tokio::sync::mpsc;

/// Maximum number of chunks of a response that are buffered for the caller.
pub const CHANNEL_CAPACITY_CHUNKS: usize = 16;

/// Lines of the last event of a complete event stream.
const FINAL_EVENTS: [&[u8]; 2] = [b"data: [DONE]", b"data:[DONE]"];

/// Text before the number of tokens in the last events of a stream.
const USAGE_PREFIX: &[u8] = b"\"total_tokens\":";

/// Length of the end of a stream that is searched for the last events.
const TAIL_BYTES: usize = 1024;

/// Error of a response body that ended prematurely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response ended prematurely")]
pub struct Interrupted;

/// Body of a response to a caller.
pub type Body = BoxBody<Bytes, Interrupted>;

/// Part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Sender of a streamed body. The body counts as interrupted unless it sends [`Part::End`].
pub type Sender = mpsc::Sender<Part>;

/// Receiver of a streamed body.
pub type Receiver = mpsc::Receiver<Part>;

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns a response whose body is `value` as JSON.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Creates a channel for the parts of a streamed body.
pub fn channel() -> (Sender, Receiver) {
    mpsc::channel(CHANNEL_CAPACITY_CHUNKS)
}

/// Returns a body that streams the parts from `rx`, which have `length` bytes if that is known.
pub fn streamed(rx: Receiver, length: Option<u64>) -> Body {
    BodyExt::boxed(Streamed {
        state: State::Receiving(rx),
        remaining: length,
    })
}

enum State {
    Receiving(Receiver),
    /// The body was interrupted. The next poll ends it with an error: the HTTP library drops what it has not
    /// sent yet when a body fails, so it gets a turn to send it.
    Failing,
    Done,
}

/// A body whose parts are still being received.
struct Streamed {
    state: State,
    /// Number of bytes that are still to come, if known.
    remaining: Option<u64>,
}

impl HttpBody for Streamed {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match &mut self.state {
            State::Receiving(rx) => match ready!(rx.poll_recv(cx)) {
                Some(Part::Chunk(bytes)) => {
                    if let Some(remaining) = &mut self.remaining {
                        *remaining = remaining.saturating_sub(bytes.len() as u64);
                    }
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Some(Part::End) => {
                    self.state = State::Done;
                    Poll::Ready(None)
                }
                None => {
                    self.state = State::Failing;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
            State::Failing => {
                self.state = State::Done;
                Poll::Ready(Some(Err(Interrupted)))
            }
            State::Done => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0) || matches!(self.state, State::Done)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Tracks the end of an event stream to tell whether it is complete and how many tokens it
/// reports. Any other response is complete when its body ends.
#[derive(Debug)]
pub struct ResponseTracker {
    /// `None` if the response is not an event stream.
    events: Option<event_stream::Parser>,
    tail: Vec<u8>,
}

impl ResponseTracker {
    /// Creates a tracker for a response with these header fields.
    pub fn new(fields: &HeaderMap) -> Self {
        let is_event_stream = event_stream::is_event_stream(fields);
        Self {
            events: is_event_stream
                .then(|| event_stream::Parser::new(Ids::Any, ResumePoint::Start)),
            tail: Vec::new(),
        }
    }

    /// Processes a chunk of the body. Returns the number of its bytes that may be relayed; fewer than all if the others are no
    /// part of the event stream, which ends there.
    pub fn update(&mut self, chunk: &[u8]) -> usize {
        let Some(events) = &mut self.events else {
            return chunk.len();
        };
        let boundary = events.push(chunk);
        if events.foreign().is_some() {
            return boundary.unwrap_or(0);
        }
        let start = chunk.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&chunk[start..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
        chunk.len()
    }

    /// Returns whether a response that is complete shows it by its own content, whatever frames it.
    pub fn has_final_event(&self) -> bool {
        self.events.is_some()
    }

    /// Returns whether a response that ends here is complete. An event stream must contain
    /// its final event.
    pub fn is_complete(&self) -> bool {
        let Some(events) = &self.events else {
            return true;
        };
        let lines = self.tail.split(|b| matches!(b, b'\n' | b'\r'));
        let mut fields = lines.filter(|line| !line.is_empty() && line[0] != b':');
        let last_field = fields.next_back();
        events.position() == Position::Between
            && last_field.is_some_and(|line| FINAL_EVENTS.contains(&line))
    }

    /// Returns the number of tokens that an event stream reports. Returns `None` for any other
    /// response, because its body is not searched.
    pub fn tokens(&self) -> Option<u64> {
        let start = memmem::rfind(&self.tail, USAGE_PREFIX)? + USAGE_PREFIX.len();
        let rest = self.tail[start..].trim_ascii_start();
        let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
        std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
    }
}
