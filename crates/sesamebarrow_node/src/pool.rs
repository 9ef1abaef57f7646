//! Connections to upstreams.
//!
//! The pool never sends anything again by itself: a request is handed to exactly one
//! connection, and the outcome says whether any byte of it can have left.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
pub use sesamebarrow_gateway::pool::Error;
use tokio::net::TcpStream;

/// Idle connections kept for each upstream.
const IDLE: usize = 32;

/// A connection that carries one exchange at a time.
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

/// Idle connections by upstream.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Returns a connection to `address`; a `fresh` one was never used before, so that
    /// the other end cannot be closing it already.
    pub async fn connect(
        &self,
        address: SocketAddr,
        fresh: bool,
        timeout: Duration,
    ) -> io::Result<Connection> {
        if !fresh && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let open = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream))
                .await
                .map_err(io::Error::other)?;
            tokio::spawn(connection);
            Ok(Connection { address, sender })
        };
        tokio::time::timeout(timeout, open)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange has ended whole.
    pub fn give_back(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < IDLE {
            connections.push(connection);
        }
    }
}
