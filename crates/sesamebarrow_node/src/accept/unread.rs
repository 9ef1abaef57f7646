//! Reads and drops what a handler leaves of a request body.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use sesamebarrow_gateway::meter::MeteredBody;
use tokio::runtime::Handle;

/// Maximum number of bytes that are read and dropped.
const MAX_DROPPED_BYTES: usize = 8 * 1024 * 1024;

/// Maximum time to read what is dropped.
const DROP_TIMEOUT: Duration = Duration::from_secs(5);

/// A request body. When it is dropped before its end, the rest is read in the background: a
/// connection that closes with unread bytes is reset, and its peer may lose the response.
pub(super) struct RequestBody {
    body: Option<MeteredBody>,
    /// Whether the caller sends the body only after an interim response.
    has_expectation: bool,
}

impl RequestBody {
    pub(super) fn new(body: MeteredBody, has_expectation: bool) -> Self {
        Self {
            body: Some(body),
            has_expectation,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        // Reading sends the interim response.
        self.has_expectation = false;
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(|b| b.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(SizeHint::default, |b| b.size_hint())
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if self.has_expectation || self.is_end_stream() {
            return;
        }
        if let (Some(body), Ok(handle)) = (self.body.take(), Handle::try_current()) {
            handle.spawn(tokio::time::timeout(DROP_TIMEOUT, read_rest(body)));
        }
    }
}

async fn read_rest(mut body: MeteredBody) {
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await
        && length <= MAX_DROPPED_BYTES
    {
        length += frame.data_ref().map_or(0, Bytes::len);
    }
}
