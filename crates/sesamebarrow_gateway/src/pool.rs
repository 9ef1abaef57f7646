//! Pools connections to upstreams and to other instances.
//!
//! The pool never resends a request. Each request is written to exactly one connection, and
//! the error says whether any byte of it may have been sent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use sesamebarrow_routing::gossip::short_hash;
use tokio::net::TcpStream;

use crate::meter::{Meter, Metered, MeteredBody};
use crate::socket;

/// Time for which a connection may stay idle if the peer does not state one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// Maximum size of the buffer into which a connection's responses are read; larger than the largest head.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum time for which a connection stays idle, whatever the peer states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(600);

/// Time by which an idle connection is given up before the peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of requests that are refused on one connection, which remembers each.
const MAX_REFUSALS: usize = 64;

/// A request received no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("request not sent")]
    NotSent,
    /// Part of the request may have been sent.
    #[error("connection broke after the request may have been sent")]
    Broken,
}

/// Maximum size of a request that the kernel of a peer takes, though the peer reads nothing of it.
const MAX_UNREAD_BYTES: u64 = 64 * 1024;

/// Pause before another connection is opened after the peer has closed one.
const REOPEN_PAUSE: Duration = Duration::from_millis(5);

/// Time within which a process that closes its connections since it ends also stops to accept new ones. One that closes
/// new connections for longer has too many.
const ENDING_TIME: Duration = Duration::from_millis(150);

/// Whether a process accepts connections at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// It has accepted one and has kept it open, or accepts them for longer than a process that ends.
    Yes,
    /// The connection was refused.
    No,
    /// Nothing was answered in time, or the attempt failed here.
    Unknown,
}

/// An HTTP/1 connection, which carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
    /// Number of responses whose head was received.
    responses: u32,
    opened_at: Instant,
    /// Hashes of the ids of the requests that were refused on it. A second copy of such a refusal may still arrive.
    refused: Vec<u32>,
}

impl Connection {
    /// Returns whether no response but the latest was received, so that nothing of an earlier one can be in it.
    pub fn is_first_response(&self) -> bool {
        self.responses <= 1
    }

    /// Returns whether it was opened at `time` or later.
    pub fn is_opened_since(&self, time: Instant) -> bool {
        self.opened_at >= time
    }

    /// Records that the request `id` was refused, so that it is not sent on this connection again.
    pub fn record_refusal(&mut self, id: &str) {
        self.refused.push(short_hash(id));
    }

    /// Returns whether a refusal of the request `id` could belong to an earlier request.
    fn has_refused(&self, id: &str) -> bool {
        self.refused.contains(&short_hash(id))
    }

    /// Sends a request and returns the response, whose body is still being received.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, Error> {
        self.meter.reset();
        let is_small = req
            .body()
            .size_hint()
            .upper()
            .is_some_and(|u| u <= MAX_UNREAD_BYTES);
        let write_timeout = is_small.then_some(socket::WRITE_TIMEOUT);
        self.meter.set_write_timeout(write_timeout);
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                self.meter.reset();
                self.responses = self.responses.saturating_add(1);
                Ok(response.map(|body| MeteredBody::new(body, self.meter.clone())))
            }
            Err(mut error) => match error.take_message() {
                // A request is returned only if the connection has not started to send it.
                Some(_) => Err(Error::NotSent),
                None => Err(Error::Broken),
            },
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection to `address`, or opens one within `timeout`.
    pub async fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address, |_| true) {
            return Ok(connection);
        }
        self.open(address, timeout).await
    }

    /// Returns a connection as [`Self::connect`] does, on which the request `id` was not refused before. A refusal by that
    /// name is then one of the request that is sent next.
    pub async fn connect_for(
        &self,
        address: SocketAddr,
        id: &str,
        timeout: Duration,
    ) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address, |c| !c.has_refused(id)) {
            return Ok(connection);
        }
        self.open(address, timeout).await
    }

    /// Opens a new connection to `address` within `timeout`. The peer cannot be closing it already,
    /// as it might an idle one.
    pub async fn open(&self, address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = socket::connect_for_responses(address, timeout).await?;
        Self::start(address, stream).await
    }

    async fn start(address: SocketAddr, stream: TcpStream) -> io::Result<Connection> {
        let (stream, meter) = Metered::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                // One of a few fixed texts.
                metrics::counter!(
                    "sesamebarrow_connections_failed_total", "error" => error.to_string()
                )
                .increment(1);
                log::debug!(address:% = address, error:% = error; "pooled connection failed");
            }
        });
        metrics::counter!("sesamebarrow_connections_opened_total").increment(1);
        Ok(Connection {
            address,
            sender,
            meter,
            responses: 0,
            opened_at: Instant::now(),
            refused: Vec::new(),
        })
    }

    /// Returns whether a process runs that accepts connections at `address`, by opening one, each attempt within
    /// `timeout`. A process that ends may still accept a connection, but closes it: it must stay open for
    /// `settling_time`. It is then kept as [`Self::release`] does.
    pub async fn probe_listening(
        &self,
        address: SocketAddr,
        timeout: Duration,
        settling_time: Duration,
        max_idle: usize,
    ) -> Listening {
        let started_at = Instant::now();
        loop {
            match socket::connect_for_responses(address, timeout).await {
                Ok(stream) if stays_open(&stream, settling_time).await => {
                    if let Ok(connection) = Self::start(address, stream).await {
                        self.release(connection, Some(DEFAULT_IDLE_TIME), max_idle);
                    }
                    return Listening::Yes;
                }
                Ok(_) => {}
                Err(error) => match error.kind() {
                    io::ErrorKind::ConnectionRefused => return Listening::No,
                    // The connection was closed before its socket was read.
                    io::ErrorKind::ConnectionReset => {}
                    _ => return Listening::Unknown,
                },
            }
            if started_at.elapsed() >= ENDING_TIME {
                return Listening::Yes;
            }
            tokio::time::sleep(REOPEN_PAUSE).await;
        }
    }

    /// Takes the newest idle connection to `address` that `may_use` accepts.
    fn take_idle(
        &self,
        address: SocketAddr,
        may_use: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        for index in (0..connections.len()).rev() {
            let idle_connection = &connections[index];
            if idle_connection.expires_at <= now || !idle_connection.connection.sender.is_ready() {
                connections.remove(index);
            } else if may_use(&idle_connection.connection) {
                return Some(connections.remove(index).connection);
            }
        }
        None
    }

    /// Puts a connection back into the pool after its response was read completely. It is kept for
    /// `idle_time`, and closed if that is `None` or if `max_idle` connections to its address are
    /// already idle.
    pub fn release(&self, connection: Connection, idle_time: Option<Duration>, max_idle: usize) {
        let Some(idle_time) = idle_time else {
            return;
        };
        if connection.sender.is_closed() || connection.refused.len() >= MAX_REFUSALS {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                connection,
                expires_at: Instant::now() + idle_time,
            });
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Removes connections whose idle time is over or that are closed, and addresses without
    /// connections.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|e| e.expires_at > now && !e.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Returns whether the peer does not close `stream` within `time`.
async fn stays_open(stream: &TcpStream, time: Duration) -> bool {
    match tokio::time::timeout(time, stream.peek(&mut [0])).await {
        // The peer's process has written something.
        Ok(Ok(count)) => count > 0,
        Ok(Err(_)) => false,
        Err(_) => true,
    }
}

/// Returns how long the connection of a response with these headers may stay idle; `None` if
/// it must be closed.
pub fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers.get(hyper::header::CONNECTION);
    let closes = |v: &hyper::header::HeaderValue| {
        v.to_str()
            .is_ok_and(|v| v.to_ascii_lowercase().contains("close"))
    };
    if connection.is_some_and(closes) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = stated.and_then(|v| {
        let parameter = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="));
        parameter?.trim().parse().ok()
    });
    match seconds {
        Some(seconds) => {
            let stated = Duration::from_secs(seconds).min(MAX_IDLE_TIME);
            stated.checked_sub(IDLE_MARGIN)
        }
        None => Some(DEFAULT_IDLE_TIME),
    }
}
