//! Tests of how long a datagram may have waited to be read.

use std::time::{Duration, Instant};

use sesamebarrow_gateway::inbox::Inbox;
use tokio::net::UdpSocket;

/// Time for which the process does not read its socket.
const SUSPENSION: Duration = Duration::from_millis(700);

async fn sockets() -> anyhow::Result<(UdpSocket, UdpSocket)> {
    let (rx, tx) = (
        UdpSocket::bind("127.0.0.1:0").await?,
        UdpSocket::bind("127.0.0.1:0").await?,
    );
    tx.connect(rx.local_addr()?).await?;
    Ok((rx, tx))
}

#[tokio::test]
async fn datagram_that_arrives_while_the_process_stands_still_has_waited() -> anyhow::Result<()> {
    let (rx, tx) = sockets().await?;
    let started = Instant::now();
    let mut inbox = Inbox::new(&rx, Duration::ZERO, || started.elapsed());
    let mut buf = [0; 16];
    tx.send(b"before").await?;
    assert_eq!(inbox.receive(&mut buf).await?.length, 6);
    // The socket is seen to be empty.
    let idle = tokio::time::timeout(Duration::from_millis(30), inbox.receive(&mut buf)).await;
    assert!(idle.is_err());
    tx.send(b"first").await?;
    tx.send(b"second").await?;
    std::thread::sleep(SUSPENSION);
    for _ in 0..2 {
        let received = inbox.receive(&mut buf).await?;
        assert!(
            received.waited >= SUSPENSION,
            "waited {:?}",
            received.waited
        );
    }
    Ok(())
}

#[tokio::test]
async fn socket_without_datagrams_is_seen_to_be_empty() -> anyhow::Result<()> {
    let (rx, tx) = sockets().await?;
    let started = Instant::now();
    let mut inbox = Inbox::new(&rx, Duration::ZERO, || started.elapsed());
    let mut buf = [0; 16];
    let idle = tokio::time::timeout(SUSPENSION, inbox.receive(&mut buf)).await;
    assert!(idle.is_err());
    let sent_at = started.elapsed();
    tx.send(b"sent").await?;
    let received = inbox.receive(&mut buf).await?;
    let empty_at = started.elapsed().saturating_sub(received.waited);
    assert!(
        sent_at.saturating_sub(empty_at) < SUSPENSION,
        "waited {:?}",
        received.waited
    );
    Ok(())
}
