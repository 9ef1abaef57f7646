//! Connections to upstreams and to other instances.
//!
//! Nothing is ever sent again by itself: a request is handed to exactly one connection,
//! and the outcome says whether any byte of it can have left.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;

use crate::socket;

/// Time for which a connection is kept idle where the other end states none.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Time before the stated end at which an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of it left.
    #[error("not sent")]
    NotSent,
    /// Bytes of it may have left.
    #[error("broken off")]
    Broken,
}

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Sends a request and returns its answer's head.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                // The connection hands back what it has not begun to send.
                Some(_) => Err(Error::NotSent),
                None => Err(Error::Broken),
            },
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Returns a connection to `address`, opened within `timeout` if none is idle.
    pub async fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.open(address, timeout).await
    }

    /// Opens a connection to `address` that was never used before, so that the other end
    /// cannot be closing it already.
    pub async fn open(&self, address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = socket::connect(address, timeout).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address, error:% = error; "connection ended");
            }
        });
        metrics::counter!("sesamebarrow_connections_opened_total").increment(1);
        Ok(Connection { address, sender })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(entry) = connections.pop() {
            if entry.until > now && entry.connection.sender.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange has ended whole for `idle_time`, if any, unless
    /// `most` are kept for its address.
    pub fn give_back(&self, connection: Connection, idle_time: Option<Duration>, most: usize) {
        let Some(idle_time) = idle_time else {
            return;
        };
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < most {
            connections.push(Idle {
                connection,
                until: Instant::now() + idle_time,
            });
        }
    }

    /// Closes connections that were idle for too long and those to addresses that are
    /// not used any more.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|e| e.until > now && !e.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Returns how long the connection of an answer with these fields may stay idle; `None`
/// where it is to be closed.
pub fn idle_time(fields: &HeaderMap) -> Option<Duration> {
    let connection = fields.get(hyper::header::CONNECTION);
    let closes = |v: &hyper::header::HeaderValue| {
        v.to_str()
            .is_ok_and(|v| v.to_ascii_lowercase().contains("close"))
    };
    if connection.is_some_and(closes) {
        return None;
    }
    let stated = fields.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = stated.and_then(|v| {
        let parameter = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="));
        parameter?.trim().parse().ok()
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_MARGIN),
        None => Some(IDLE_TIME),
    }
}
