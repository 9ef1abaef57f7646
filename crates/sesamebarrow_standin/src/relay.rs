//! A TCP relay that delays, as a wide-area link does, and can be cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Bytes read at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks under way in one direction.
const CHUNKS: usize = 1024;

/// A relay towards one address.
#[derive(Clone)]
pub struct Relay {
    target: SocketAddr,
    delay: Duration,
    cut: Arc<AtomicBool>,
}

impl Relay {
    /// Builds a relay that delays each direction by `delay`.
    pub fn new(target: SocketAddr, delay: Duration) -> Self {
        Self {
            target,
            delay,
            cut: Arc::default(),
        }
    }

    /// Swallows everything from now on, or lets it pass again. Open connections go
    /// silent: nothing tells either end.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Relays until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(self.clone().carry(near));
        }
    }

    async fn carry(self, near: TcpStream) {
        // The far end's answer to the opening takes a round trip.
        tokio::time::sleep(self.delay * 2).await;
        if self.cut.load(Ordering::Relaxed) {
            // The opening is lost: the near end waits in vain.
            std::future::pending::<()>().await;
        }
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            self.pass(near_read, far_write),
            self.pass(far_read, near_write)
        );
    }

    async fn pass(
        &self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS);
        let read = async move {
            let mut buf = vec![0; CHUNK_BYTES];
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
                if self.cut.load(Ordering::Relaxed) {
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
