//! A listening socket that a planned stop closes.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A listening socket, which is open until its closing token is cancelled.
pub struct Listener {
    socket: Mutex<Option<Arc<TcpListener>>>,
    closing: CancellationToken,
}

impl Listener {
    /// Returns the listener of `socket`, which is closed when `closing` is cancelled.
    pub fn new(socket: TcpListener, closing: CancellationToken) -> Self {
        let socket = Mutex::new(Some(Arc::new(socket)));
        Self { socket, closing }
    }

    /// Returns the next connection; never, once the listener is closed and its backlog is empty.
    ///
    /// # Errors
    ///
    /// Fails as the operating system does, for example if no descriptors are left.
    pub async fn accept(&self, backlog: &mut Vec<TcpStream>) -> io::Result<TcpStream> {
        loop {
            if let Some(stream) = backlog.pop() {
                return Ok(stream);
            }
            let Some(socket) = self.socket() else {
                return std::future::pending().await;
            };
            tokio::select! {
                biased;
                accepted = socket.accept() => return accepted.map(|(stream, _): (_, SocketAddr)| stream),
                () = self.closing.cancelled() => {
                    *backlog = take_backlog(&socket);
                    *self.lock() = None;
                }
            }
        }
    }

    fn socket(&self) -> Option<Arc<TcpListener>> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes the connections that wait to be accepted. Those that are left when a listening socket is closed are reset.
fn take_backlog(socket: &TcpListener) -> Vec<TcpStream> {
    // Asks the operating system, since the runtime may not have seen the latest ones.
    let accept = || {
        let (stream, _) = SockRef::from(socket).accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream.into()).ok()
    };
    std::iter::from_fn(accept).collect()
}
