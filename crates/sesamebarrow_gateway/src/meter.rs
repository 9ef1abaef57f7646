//! Limits the bytes of a connection that are no part of a message, and the time for which its peer reads nothing.
//!
//! The HTTP library reads on while it finds neither an error nor the end of what it parses. Interim responses
//! and the size of a chunk have no end, and a peer that never pauses then keeps the thread for itself.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::inbound::BodyGuard;
use crate::socket;

/// Maximum number of bytes that a peer may send without making progress with its message. Larger than the
/// largest head.
const MAX_OVERHEAD_BYTES: i64 = 512 * 1024;

/// Number of bytes of overhead for each byte of a body; more than chunks of one byte have.
const OVERHEAD_PER_BODY_BYTE: i64 = 16;

/// Time after which a peer may send [`REFILL_BYTES`] more.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of bytes that a peer may send in each [`REFILL_INTERVAL`] without making progress.
const REFILL_BYTES: i64 = 16 * 1024;

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counts the bytes that a peer may send before it must make progress.
#[derive(Clone, Debug)]
pub struct Meter {
    remaining: Arc<AtomicI64>,
    /// Time for which the peer may read nothing, in milliseconds; 0 for any time.
    write_timeout_ms: Arc<AtomicU64>,
}

impl Meter {
    fn new() -> Self {
        Self {
            remaining: Arc::new(AtomicI64::new(MAX_OVERHEAD_BYTES)),
            write_timeout_ms: Arc::new(AtomicU64::new(millis(socket::WRITE_TIMEOUT))),
        }
    }

    /// Sets for how long the peer may read nothing of what is written from now on before the connection is closed; at
    /// least [`socket::WRITE_TIMEOUT`], and else rounded up to whole seconds. `None` sets no limit.
    pub fn set_write_timeout(&self, timeout: Option<Duration>) {
        let timeout = match timeout {
            None => Duration::ZERO,
            Some(timeout) if timeout <= socket::WRITE_TIMEOUT => socket::WRITE_TIMEOUT,
            Some(timeout) => Duration::from_secs(timeout.as_secs().saturating_add(1)),
        };
        self.write_timeout_ms
            .store(millis(timeout), Ordering::Relaxed);
    }

    /// Records that a request begins or a head was received.
    pub fn reset(&self) {
        self.remaining.store(MAX_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that `bytes` of a body were received.
    fn record_body(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.add(bytes.saturating_mul(OVERHEAD_PER_BODY_BYTE));
    }

    fn add(&self, added: i64) {
        let add = |remaining: i64| Some(remaining.saturating_add(added).min(MAX_OVERHEAD_BYTES));
        // Never fails, since `add` always returns a value.
        let _ = self
            .remaining
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    fn record_received(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.remaining.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.remaining.load(Ordering::Relaxed) <= 0
    }
}

/// A connection whose received bytes are counted. Reading fails once there are too many.
#[derive(Debug)]
pub struct Metered<T> {
    stream: T,
    meter: Meter,
    refilled_at: Instant,
    /// The write timeout of the socket, in milliseconds.
    write_timeout_ms: u64,
}

impl<T> Metered<T> {
    /// Counts the bytes received from `stream`.
    pub fn new(stream: T) -> (Self, Meter) {
        let meter = Meter::new();
        let metered = Self {
            stream,
            meter: meter.clone(),
            refilled_at: Instant::now(),
            write_timeout_ms: millis(socket::WRITE_TIMEOUT),
        };
        (metered, meter)
    }

    /// Allows for what belongs to the protocol of a long-lived connection, such as acknowledgements.
    fn refill(&mut self) {
        let elapsed = self.refilled_at.elapsed();
        if elapsed >= REFILL_INTERVAL {
            self.refilled_at = Instant::now();
            // CAST: less than 2^31 intervals.
            let intervals = elapsed.div_duration_f64(REFILL_INTERVAL) as i64;
            self.meter.add(intervals.saturating_mul(REFILL_BYTES));
        }
    }
}

impl<T: AsFd> Metered<T> {
    /// Passes a write timeout that was changed on to the socket.
    fn update_write_timeout(&mut self) -> io::Result<()> {
        let wanted_ms = self.meter.write_timeout_ms.load(Ordering::Relaxed);
        if wanted_ms == self.write_timeout_ms {
            return Ok(());
        }
        self.write_timeout_ms = wanted_ms;
        let timeout = (wanted_ms > 0).then_some(Duration::from_millis(wanted_ms));
        socket::set_write_timeout(&self.stream, timeout)
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.refill();
        if self.meter.is_exceeded() {
            let error = "the peer sends bytes that are no part of a message";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.meter.record_received(buf.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + AsFd + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_write_timeout()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_write_timeout()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a message on a [`Metered`] connection.
pub struct MeteredBody {
    body: Incoming,
    meter: Meter,
    /// Dropped with the body.
    _guard: Option<BodyGuard>,
}

impl MeteredBody {
    /// Returns the body of a message on the connection that `meter` counts for.
    pub fn new(body: Incoming, meter: Meter) -> Self {
        Self {
            body,
            meter,
            _guard: None,
        }
    }

    /// Returns the body with `guard`, which is dropped with it.
    pub fn guarded(self, guard: BodyGuard) -> Self {
        Self {
            _guard: Some(guard),
            ..self
        }
    }

    /// Returns what counts for the body's connection.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &polled
            && let Some(data) = frame.data_ref()
        {
            self.meter.record_body(data.len());
        }
        Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
