//! Selects an instance of another region for a request that this region should not or
//! cannot run.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use smol_str::SmolStr;

use crate::board::Board;
use crate::gossip::short_hash;
use crate::member::Member;
use crate::rendezvous;

/// An instance of another region that can run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteInstance {
    /// Its name.
    pub name: SmolStr,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its region.
    pub region: SmolStr,
    /// Estimated time until the first event, including the network delay in both
    /// directions.
    pub estimated_wait: Duration,
}

/// Assumed wait in a region whose load is unknown.
const DEFAULT_WAIT: Duration = Duration::from_millis(300);

/// Maximum additional wait that is accepted in a region preferred for the request's prompt
/// prefix.
const AFFINITY_BONUS: Duration = Duration::from_millis(40);

/// Wait that each forwarded request adds to a region's load until its next report.
const WAIT_PER_FORWARDED_REQUEST: Duration = Duration::from_millis(8);

/// Returns whether another region has reported usable upstreams of `service`.
pub fn is_served_elsewhere(board: &Board, now: Duration, service: &str) -> bool {
    let service_hash = short_hash(service);
    let own = &board.identity.region;
    let mut others = board.members.ready(now).filter(|m| m.region != *own);
    others.any(|m| {
        let load = board.members.service_load(now, &m.region, service_hash);
        load.is_some_and(|load| load.usable_upstreams > 0)
    })
}

/// Selects an instance of the region with this hash; `None` if none is ready.
pub fn instance_of(board: &mut Board, now: Duration, region_hash: u32) -> Option<RemoteInstance> {
    let in_region = |m: &&Member| short_hash(&m.region) == region_hash;
    let candidates = board.members.ready(now).filter(in_region);
    let sampled = candidates.sample(&mut board.rng, 2);
    let member = sampled
        .into_iter()
        .min_by_key(|m| m.forwarded_in_progress)?;
    Some(RemoteInstance {
        name: SmolStr::new(&member.record.name),
        ip: member.ip(),
        region: member.region.clone(),
        estimated_wait: board.parameters.region_delay * 2,
    })
}

/// Selects an instance in the region with the shortest wait, among the regions that `allowed`
/// accepts and that are not in `tried_regions`. Requests with the same `affinity_key`, a hash
/// of their shared prompt prefix, tend to go to the same regions, where the prefix is cached.
pub fn select_instance(
    board: &mut Board,
    now: Duration,
    service: &str,
    allowed: impl Fn(&str) -> bool,
    tried_regions: &[SmolStr],
    affinity_key: Option<u64>,
) -> Option<RemoteInstance> {
    let service_hash = short_hash(service);
    let round_trip = board.parameters.region_delay * 2;
    let mut best: Option<(Duration, Duration, SmolStr)> = None;
    for member in board.members.ready(now) {
        let region = &member.region;
        if *region == board.identity.region || tried_regions.contains(region) || !allowed(region) {
            continue;
        }
        let wait = match board.members.service_load(now, region, service_hash) {
            Some(load) if load.usable_upstreams == 0 => continue,
            Some(load) => load.wait,
            None => DEFAULT_WAIT,
        };
        // Each key prefers about half of the regions. All instances derive the same half
        // from the hash.
        let preference = rendezvous::weight_of_hashes(
            affinity_key.unwrap_or_default(),
            short_hash(region).into(),
        );
        let cost = if affinity_key.is_some() && preference.is_multiple_of(2) {
            wait.saturating_sub(AFFINITY_BONUS)
        } else {
            wait
        };
        if best.as_ref().is_none_or(|b| cost < b.0) {
            best = Some((cost, wait, region.clone()));
        }
    }
    let (_, wait, region) = best?;
    let candidates = board.members.ready(now).filter(|m| m.region == region);
    let sampled = candidates.sample(&mut board.rng, 2);
    let member = sampled
        .into_iter()
        .min_by_key(|m| m.forwarded_in_progress)?;
    let instance = RemoteInstance {
        name: SmolStr::new(&member.record.name),
        ip: member.ip(),
        region: region.clone(),
        estimated_wait: wait + round_trip,
    };
    board
        .members
        .add_wait(&region, service_hash, WAIT_PER_FORWARDED_REQUEST);
    Some(instance)
}
