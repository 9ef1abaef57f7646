//! What an inbound connection owes: how far its current request has come.
//!
//! A connection owes an answer from the first byte of a request until the answer has been handed to the
//! operating system. One that ends before, and not because its peer has closed it, is logged and counted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::relay::{Body, BodyError};
use crate::shared::Shared;

/// How far the current request of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::FromRepr, strum::IntoStaticStr)]
#[repr(u8)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Nothing was received on the connection.
    Opened,
    /// All requests were answered.
    Idle,
    /// Part of a request's head was received.
    Receiving,
    /// The head was received, and a handler is at work.
    Handling,
    /// The handler has returned the whole answer, which is being written.
    Answering,
}

/// How far the current request of a connection has come, for its task and its handlers.
pub struct Progress {
    shared: Arc<Shared>,
    stage: AtomicU8,
    /// Bytes received since the last answer was written.
    received: AtomicU64,
    /// Whether the peer has closed the connection, or it has failed.
    peer_closed: AtomicBool,
}

impl Progress {
    /// Returns the progress of a connection that has just been accepted.
    pub fn new(shared: &Arc<Shared>) -> Arc<Self> {
        shared.busy_connections.fetch_add(1, Ordering::Relaxed);
        Arc::new(Self {
            shared: shared.clone(),
            stage: AtomicU8::new(Stage::Opened as u8),
            received: AtomicU64::new(0),
            peer_closed: AtomicBool::new(false),
        })
    }

    /// Returns the stage of the current request.
    pub fn stage(&self) -> Stage {
        Stage::from_repr(self.stage.load(Ordering::Relaxed)).unwrap_or(Stage::Idle)
    }

    /// Returns whether the peer has closed the connection, or it has failed.
    pub fn peer_closed(&self) -> bool {
        self.peer_closed.load(Ordering::Relaxed)
    }

    fn set(&self, stage: Stage) {
        let was_busy = self.stage() != Stage::Idle;
        self.stage.store(stage as u8, Ordering::Relaxed);
        match (was_busy, stage != Stage::Idle) {
            (false, true) => self.shared.busy_connections.fetch_add(1, Ordering::Relaxed),
            (true, false) => self.shared.busy_connections.fetch_sub(1, Ordering::Relaxed),
            _ => 0,
        };
    }

    /// Records that a handler has begun with a request.
    pub fn record_handler(&self) {
        self.set(Stage::Handling);
    }

    /// Records that the body of a request was received or dropped. Its rest may arrive after the answer.
    fn record_body_end(&self) {
        if self.stage() == Stage::Receiving {
            self.set(Stage::Idle);
        }
    }

    fn record_read(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        if matches!(self.stage(), Stage::Opened | Stage::Idle) {
            self.set(Stage::Receiving);
        }
    }

    fn record_written(&self) {
        // The HTTP library answers a head that it cannot read by itself.
        if self.stage() == Stage::Receiving {
            self.set(Stage::Answering);
        }
    }

    fn record_flushed(&self) {
        if self.stage() == Stage::Answering {
            self.received.store(0, Ordering::Relaxed);
            self.set(Stage::Idle);
        }
    }
}

/// Returns whether a connection at `stage` owes an answer.
fn owes(stage: Stage) -> bool {
    matches!(stage, Stage::Receiving | Stage::Handling | Stage::Answering)
}

/// Logs and counts the end of a connection that owes an answer.
pub struct EndGuard(pub Arc<Progress>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        let progress = &self.0;
        let stage = progress.stage();
        progress.set(Stage::Idle);
        if !owes(stage) || progress.peer_closed() {
            return;
        }
        let shared = &progress.shared;
        let draining = shared.board().draining_for(shared.now());
        let draining_ms = draining.map_or(0, |d| d.as_millis());
        let stage: &str = stage.into();
        let received = progress.received.load(Ordering::Relaxed);
        log::warn!(stage, received, draining_ms; "connection closed unanswered");
        let phase = if draining.is_some() { "stop" } else { "run" };
        metrics::counter!(
            "sesamebarrow_unanswered_connections_total", "stage" => stage, "phase" => phase
        )
        .increment(1);
    }
}

/// A connection whose bytes its [`Progress`] follows.
pub struct Tracked<T> {
    stream: T,
    progress: Arc<Progress>,
    /// Bytes that were read and not used, which are read first.
    unused: Bytes,
}

impl<T> Tracked<T> {
    /// Follows the bytes of `stream`.
    pub fn new(stream: T, progress: Arc<Progress>) -> Self {
        Self {
            stream,
            progress,
            unused: Bytes::new(),
        }
    }

    /// Returns the stream, of which `unused` is read first.
    pub fn with_unused(self, unused: Bytes) -> Self {
        Self { unused, ..self }
    }

    /// Returns the stream.
    pub fn into_inner(self) -> T {
        self.stream
    }

    fn record_failure<R>(&self, result: io::Result<R>) -> io::Result<R> {
        if result.is_err() {
            self.progress.peer_closed.store(true, Ordering::Relaxed);
        }
        result
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Tracked<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unused.is_empty() && buf.remaining() > 0 {
            let count = self.unused.len().min(buf.remaining());
            let unused = self.unused.split_to(count);
            buf.put_slice(&unused);
            self.progress.record_read(count);
            return Poll::Ready(Ok(()));
        }
        let filled = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.record_failure(result)?;
        match buf.filled().len() - filled {
            0 if has_room => self.progress.peer_closed.store(true, Ordering::Relaxed),
            0 => {}
            bytes => self.progress.record_read(bytes),
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Tracked<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.progress.record_written();
        Poll::Ready(self.record_failure(result))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it holds.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.progress.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.progress.record_written();
        Poll::Ready(self.record_failure(result))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Marks the end of a request's body when it is dropped.
pub struct BodyGuard(pub Arc<Progress>);

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.0.record_body_end();
    }
}

/// Body of an answer. When the HTTP library drops it, the whole answer waits to be written.
struct AnswerBody {
    body: Body,
    progress: Arc<Progress>,
}

/// Returns `body` as the body of the answer to the current request of a connection.
pub fn answer_body(body: Body, progress: Arc<Progress>) -> Body {
    Body::new(AnswerBody { body, progress })
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // The connection may have ended before.
        if self.progress.stage() == Stage::Handling {
            self.progress.set(Stage::Answering);
        }
    }
}
