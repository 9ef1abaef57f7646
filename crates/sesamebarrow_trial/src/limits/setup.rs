//! The boards of the instances.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use sesamebarrow_routing::upstream::Entry;
use sesamebarrow_routing::{Board, Config, Identity};
use smol_str::{SmolStr, format_smolstr};

use crate::containment::instance;
use crate::limits::{DOMAINS, Experiment, Instance, REGIONS};

/// Number of instances that the settings name.
const SEEDS: usize = 3;

/// Returns the region of an instance or upstream.
pub fn region(index: usize) -> usize {
    index % REGIONS
}

/// Returns the failure domain of an instance or upstream.
pub fn domain(index: usize) -> usize {
    index % (REGIONS * DOMAINS)
}

/// Returns the addresses that the settings name.
pub fn seeds(cfg: &Experiment) -> Vec<Ipv4Addr> {
    (0..SEEDS.min(cfg.instances)).map(instance::ip_of).collect()
}

fn domain_name(domain: usize) -> SmolStr {
    format_smolstr!("domain-{domain}")
}

fn region_name(region: usize) -> SmolStr {
    format_smolstr!("region-{region}")
}

/// Starts the process of an instance, which knows the configuration and the upstreams only.
pub fn start_instance(cfg: &Experiment, index: usize, now: Duration) -> Instance {
    let regions: HashMap<SmolStr, SmolStr> = (0..REGIONS * DOMAINS)
        .map(|d| (domain_name(d), region_name(region(d))))
        .collect();
    let identity = Identity {
        name: format_smolstr!("instance-{index}"),
        domain: domain_name(domain(index)),
        region: region_name(region(index)),
        ip: instance::ip_of(index),
        // CAST: milliseconds of a simulation.
        incarnation: 1 + now.as_millis() as u64,
    };
    // CAST: the seed of a random generator.
    let mut board = Board::new(identity, instance::parameters(), regions, index as u64);
    let mut config = Config::default();
    config.version = 1;
    board.apply_config(Duration::ZERO, config.build_host_index());
    let own = (0..cfg.upstreams).filter(|u| region(*u) == region(index));
    let mut keys = Vec::new();
    for upstream in own {
        let entry = entry(upstream);
        let id = entry.id.clone();
        board.put_upstream(Duration::ZERO, entry);
        keys.extend(board.upstreams.key(&id));
    }
    Instance {
        keys,
        board,
        started_at: now,
        up: true,
        answers: HashMap::new(),
        buckets: HashMap::new(),
    }
}

fn entry(upstream: usize) -> Entry {
    Entry {
        id: format_smolstr!("upstream-{upstream}"),
        service: "model".into(),
        address: ([10, 9, 0, 1], 80).into(),
        domain: domain_name(domain(upstream)),
        slots: 128,
        ready: true,
        cold_remaining: Duration::ZERO,
        started_at_ms: Some(1),
    }
}
