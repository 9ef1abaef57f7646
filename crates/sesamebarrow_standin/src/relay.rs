//! A TCP relay that emulates a wide-area link: it delays traffic and can drop all of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of chunks in transit in one direction.
const MAX_CHUNKS_IN_TRANSIT: usize = 1024;

/// A relay to one address; clones share whether traffic is dropped.
#[derive(Clone)]
pub struct Relay {
    target: SocketAddr,
    delay: Duration,
    drop_traffic: Arc<AtomicBool>,
}

impl Relay {
    /// Creates a relay to `target` that delays each direction by `delay`.
    pub fn new(target: SocketAddr, delay: Duration) -> Self {
        Self {
            target,
            delay,
            drop_traffic: Arc::default(),
        }
    }

    /// Starts or stops dropping all bytes. Open connections stay open while bytes are
    /// dropped, so neither end is notified.
    pub fn set_drop_traffic(&self, drop_traffic: bool) {
        self.drop_traffic.store(drop_traffic, Ordering::Relaxed);
    }

    /// Accepts connections until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(self.clone().relay_connection(client));
        }
    }

    async fn relay_connection(self, client: TcpStream) {
        // Opening a TCP connection takes one round trip to the target.
        tokio::time::sleep(self.delay * 2).await;
        if self.drop_traffic.load(Ordering::Relaxed) {
            // The connection to the target is not opened, and the client never gets any data.
            std::future::pending::<()>().await;
        }
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::join!(
            self.copy_delayed(client_read, server_write),
            self.copy_delayed(server_read, client_write)
        );
    }

    /// Copies bytes in one direction, each chunk after the delay.
    async fn copy_delayed(
        &self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_TRANSIT);
        let read = async move {
            let mut buf = vec![0; READ_BUFFER_BYTES];
            while let Ok(length @ 1..) = from.read(&mut buf).await {
                let due = Instant::now() + self.delay;
                if tx.send((due, buf[..length].to_vec())).await.is_err() {
                    return;
                }
            }
        };
        let write = async move {
            while let Some((due, bytes)) = rx.recv().await {
                tokio::time::sleep_until(due).await;
                if self.drop_traffic.load(Ordering::Relaxed) {
                    continue;
                }
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(read, write);
    }
}
