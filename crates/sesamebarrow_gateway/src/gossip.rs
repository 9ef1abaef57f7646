//! Sends and receives the datagrams by which instances know of each other.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use sesamebarrow_routing::gossip;
use sesamebarrow_routing::member::GOSSIP_INTERVAL;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::shared::Shared;

/// Largest datagram that is read.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Exchanges datagrams until the process ends.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut round = tokio::time::interval(GOSSIP_INTERVAL);
    round.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = round.tick() => send_round(&shared, &socket).await,
            () = shared.news.notified() => send_news(&shared, &socket).await,
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => {
                    if let Some(answer) = take(&shared, &buf[..length], from) {
                        send(&socket, from, &answer).await;
                    }
                }
                Err(error) => log::debug!(error:% = error; "no datagram"),
            },
        }
    }
}

async fn send_round(shared: &Shared, socket: &UdpSocket) {
    let (port, me) = (shared.settings.listen.gossip.port(), shared.me.ip);
    let seeds: Vec<Ipv4Addr> = shared
        .settings
        .seeds
        .iter()
        .filter_map(|seed| match seed {
            SocketAddr::V4(seed) if *seed.ip() != me => Some(*seed.ip()),
            _ => None,
        })
        .collect();
    let datagrams: Vec<_> = {
        let now = shared.now();
        let mut board = shared.board();
        let mut datagram = board.begin_gossip_round(now);
        let board = &mut *board;
        let receivers = board
            .members
            .receivers(&board.identity.region, &seeds, &mut board.rng);
        let address = |ip| {
            board.complete_datagram(now, &mut datagram, ip);
            (ip, gossip::encode(&datagram))
        };
        receivers.into_iter().map(address).collect()
    };
    for (ip, bytes) in datagrams {
        send(socket, SocketAddr::new(ip.into(), port), &bytes).await;
    }
    shared.pool.remove_expired();
}

/// Tells the region's other instances of a newer revision at once.
async fn send_news(shared: &Shared, socket: &UdpSocket) {
    let port = shared.settings.listen.gossip.port();
    let (near, bytes) = {
        let now = shared.now();
        let board = shared.board();
        (
            board.region_peers(now),
            gossip::encode(&board.revision_datagram(now)),
        )
    };
    for ip in near {
        send(socket, SocketAddr::new(ip.into(), port), &bytes).await;
    }
}

/// Sends a datagram; one that cannot be sent is as good as lost: the next round follows.
async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        log::debug!(to:% = to, error:% = error; "datagram not sent");
    }
}

/// Takes a datagram and returns the answer for a sender that lacks news.
fn take(shared: &Shared, bytes: &[u8], from: SocketAddr) -> Option<Vec<u8>> {
    let datagram = match gossip::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::warn!(from:% = from, error:% = error; "datagram not understood");
            return None;
        }
    };
    let now = shared.now();
    let mut board = shared.board();
    let lacks = board.handle_datagram(now, &datagram);
    if datagram.revision > board.revision {
        shared.behind.notify_one();
    }
    if !lacks {
        return None;
    }
    let mut answer = board.begin_gossip_reply(now, &datagram);
    board.complete_datagram(now, &mut answer, Ipv4Addr::from_bits(datagram.sender.ip));
    Some(gossip::encode(&answer))
}
