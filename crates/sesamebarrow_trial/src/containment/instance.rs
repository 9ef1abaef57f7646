//! The boards of the instances.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::gossip::{Datagram, Record, short_hash};
use sesamebarrow_routing::{Board, Identity, budget, cold, quota};
use smol_str::{SmolStr, format_smolstr};

use crate::containment::{DELAYS, REGIONS};

/// Returns the address of an instance.
pub fn ip_of(index: usize) -> Ipv4Addr {
    // CAST: there are less than 2^16 instances.
    let [high, low] = (index as u16).to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

/// Returns the index of the instance with this address.
pub fn index_of(ip: Ipv4Addr) -> usize {
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn region_name(region: usize) -> SmolStr {
    format_smolstr!("region-{region}")
}

fn instance_name(index: usize) -> SmolStr {
    format_smolstr!("instance-{index}")
}

/// Returns the parameters of the simulated instances.
pub fn parameters() -> Parameters {
    Parameters {
        stop_limit: Duration::from_millis(7_700),
        budget: budget::Limit {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        quota: quota::Tolerance {
            window: Duration::from_secs(8),
            overshoot: 0.25,
            slack: 72_000.0,
        },
        cold: cold::Limit {
            rate_factor: 1.5,
            slack: 3.0,
        },
        dispatch: Default::default(),
        prefill_per_ms: 90.0,
        region_delay: DELAYS.1,
        expects_others: true,
    }
}

/// Builds the board of an instance that knows all others and never considers one silent. Blame for judges
/// behind a cut is then lost, which is worse than what membership would do.
pub fn build_board(index: usize, instances: usize) -> Board {
    let region = region_name(index % REGIONS);
    let regions: HashMap<SmolStr, SmolStr> = (0..REGIONS)
        .map(|r| (region_name(r), region_name(r)))
        .collect();
    let identity = Identity {
        name: instance_name(index),
        domain: region.clone(),
        region,
        ip: ip_of(index),
        incarnation: 1,
    };
    // CAST: the seed of a random generator.
    let mut board = Board::new(identity, parameters(), regions, index as u64);
    for other in (0..instances).filter(|other| *other != index) {
        let datagram = Datagram {
            sender: Record {
                name: instance_name(other).to_string(),
                domain_hash: short_hash(&region_name(other % REGIONS)),
                ip: ip_of(other).to_bits(),
                incarnation: 1,
                heartbeat: 1,
                ..Record::default()
            },
            quarantine_digest: Some(0),
            seen_heartbeat: 1,
            ..Datagram::default()
        };
        board.handle_datagram(Duration::MAX, Duration::ZERO, &datagram);
    }
    board
}
