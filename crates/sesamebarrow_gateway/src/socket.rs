//! Opens connections, and sets the socket options with which dead ones are detected.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time within which sent bytes must be acknowledged. It allows for a few round trips between
/// regions and one lost packet. The kernel also counts the time for which a peer that is alive reads nothing, which
/// [`set_write_timeout`] allows for.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Sets the socket options of a connection.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(WRITE_TIMEOUT))
}

/// Sets the time for which the peer may neither acknowledge nor read what was sent. Without one, keepalive probes
/// still find a peer that is gone while nothing is being sent.
pub fn set_write_timeout(stream: &impl AsFd, timeout: Option<Duration>) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(timeout)
}

/// Size of the receive buffer of connections that carry responses. What an upstream sends faster than its client reads
/// waits there and counts as memory of the process.
const RESPONSE_BUFFER_BYTES: u32 = 128 * 1024;

/// Opens a connection to `address` within `timeout` that carries responses.
pub async fn connect_for_responses(
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RESPONSE_BUFFER_BYTES)?;
    let stream = tokio::time::timeout(timeout, socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Opens a connection to `address` within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}
