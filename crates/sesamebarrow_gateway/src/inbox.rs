//! Receives datagrams, and tells how long each of them may have waited to be read.
//!
//! Datagrams bear no time that instances could compare, and wait in the socket while the process is suspended or
//! has no processor. A datagram has arrived after the socket was last seen empty, which bounds its wait.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

/// Interval at which the socket is seen to be empty if nothing arrives.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A datagram that was received into the caller's buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// Number of bytes.
    pub length: usize,
    /// Address of the sender.
    pub from: SocketAddr,
    /// The longest time for which it may have waited.
    pub waited: Duration,
}

/// Receives the datagrams of a socket.
pub struct Inbox<'a, C> {
    socket: &'a UdpSocket,
    clock: C,
    /// Latest time at which the socket is known to have been empty.
    empty_at: Duration,
    /// Whether the runtime has seen that the socket is readable, and no read since has found it empty.
    is_readable: bool,
}

impl<'a, C: Fn() -> Duration> Inbox<'a, C> {
    /// Builds the inbox of a socket. What it has received before counts as waiting since `bound_at`, a time of
    /// `clock`.
    pub fn new(socket: &'a UdpSocket, bound_at: Duration, clock: C) -> Self {
        Self {
            socket,
            clock,
            empty_at: bound_at,
            is_readable: false,
        }
    }

    /// Receives the next datagram. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the socket does, for example because a receiver of an earlier datagram does not listen.
    pub async fn receive(&mut self, buf: &mut [u8]) -> io::Result<Received> {
        loop {
            let asked_at = (self.clock)();
            match self.socket.try_recv_from(buf) {
                Ok((length, from)) => {
                    self.is_readable = true;
                    return Ok(Received {
                        length,
                        from,
                        waited: (self.clock)().saturating_sub(self.empty_at),
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // Otherwise the runtime has answered by itself, without asking the socket.
                    if self.is_readable {
                        self.empty_at = asked_at;
                    }
                    self.wait(asked_at).await?;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Waits until the socket is readable, or [`CHECK_INTERVAL`] after `asked_at`.
    async fn wait(&mut self, asked_at: Duration) -> io::Result<()> {
        self.is_readable = false;
        if let Ok(readable) = tokio::time::timeout(CHECK_INTERVAL, self.socket.readable()).await {
            self.is_readable = true;
            return readable;
        }
        // The runtime looks at its sockets before its timers, so this one was empty after `asked_at`.
        self.empty_at = asked_at;
        Ok(())
    }
}
