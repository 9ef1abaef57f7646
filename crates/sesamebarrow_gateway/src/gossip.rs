//! Sends and receives the datagrams with which instances inform each other of their state.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sesamebarrow_routing::gossip;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::inbox::{Inbox, Received};
use crate::shared::Shared;
use crate::{crash, dispatch, limit, notice, quarantine};

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Time after which a datagram that was written is not sent any more. Its ages are too low by as much.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);

/// Sends and receives datagrams until the process ends.
pub async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut next_round = Instant::now();
    let mut inbox = Inbox::new(&socket, Duration::ZERO, || shared.now());
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next_round) => {
                send_round(&shared, &socket).await;
                next_round = Instant::now() + shared.board().gossip_interval();
            }
            () = shared.catalog_updated.notified() => send_revision(&shared, &socket).await,
            received = inbox.receive(&mut buf) => match received {
                Ok(received) => {
                    let reply = handle_datagram(&shared, &buf[..received.length], &received);
                    notice::record_learned(&shared);
                    notice::record_member_changes(&shared, received.waited);
                    if let Some(reply) = reply {
                        send(&socket, received.from, &reply).await;
                    }
                }
                Err(error) => log::debug!(error:% = error; "cannot receive datagram"),
            },
        }
    }
}

async fn send_round(shared: &Arc<Shared>, socket: &UdpSocket) {
    let port = shared.listen.gossip.port();
    let seeds = shared.settings().other_seeds();
    let datagrams: Vec<_> = {
        let now = shared.now();
        let mut board = shared.board();
        let mut datagram = board.begin_gossip_round(now);
        let board = &mut *board;
        let receivers = board
            .members
            .receivers(&board.identity.region, &seeds, &mut board.rng);
        let encode_for = |ip| {
            board.complete_datagram(now, &mut datagram, ip);
            (ip, gossip::encode(&datagram))
        };
        receivers.into_iter().map(encode_for).collect()
    };
    let written_at = shared.now();
    for (ip, bytes) in datagrams {
        if shared.now().saturating_sub(written_at) > MAX_SEND_DELAY {
            break;
        }
        send(socket, SocketAddr::new(ip.into(), port), &bytes).await;
    }
    // Not related to gossip; done here because rounds are regular.
    shared.pool.remove_expired();
    quarantine::send_blame(shared);
    crash::probe_absent(shared);
    dispatch::place::renew_holds(shared);
    dispatch::log_summaries(shared);
}

/// Announces a newer revision to the region's other instances without waiting for the next
/// round.
async fn send_revision(shared: &Shared, socket: &UdpSocket) {
    let port = shared.listen.gossip.port();
    let (peers, bytes) = {
        let now = shared.now();
        let board = shared.board();
        (
            board.region_peers(now),
            gossip::encode(&board.revision_datagram(now)),
        )
    };
    for ip in peers {
        send(socket, SocketAddr::new(ip.into(), port), &bytes).await;
    }
}

/// Sends a datagram. An error is only logged: datagrams may be lost anyway, and the next round
/// repeats their contents.
async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        log::debug!(to:% = to, error:% = error; "cannot send datagram");
    }
}

/// Handles a datagram and returns the reply if the sender needs one at once.
fn handle_datagram(shared: &Shared, bytes: &[u8], received: &Received) -> Option<Vec<u8>> {
    let datagram = match gossip::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::warn!(from:% = received.from, error:% = error; "cannot decode datagram");
            return None;
        }
    };
    let now = shared.now();
    // A sender without a heartbeat announces a revision only.
    if datagram.sender.heartbeat > 0 {
        let ip = Ipv4Addr::from_bits(datagram.sender.ip);
        quarantine::send_orders(shared, ip, datagram.quarantine_digest);
        limit::send_states(shared, ip, datagram.limits_digest);
    }
    let mut board = shared.board();
    let needs_reply = board.handle_datagram(now, received.waited, &datagram);
    if datagram.revision > board.revision || datagram.config_version > board.config_version() {
        shared.catalog_outdated.notify_one();
    }
    if !needs_reply {
        return None;
    }
    let mut reply = board.begin_gossip_reply(now, &datagram);
    board.complete_datagram(now, &mut reply, Ipv4Addr::from_bits(datagram.sender.ip));
    Some(gossip::encode(&reply))
}
