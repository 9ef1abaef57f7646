//! Selects the instances that a client should connect to, for answers of the directory.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::board::Board;

/// How long an answer is valid. Some clients keep it three times as long; three times this
/// value must not exceed the time for which a draining instance still accepts requests.
const READY_TTL: Duration = Duration::from_secs(1);

/// Maximum number of instances in one answer.
const MAX_INSTANCES: usize = 64;

/// Time for which a draining instance may still be returned if no other instance may
/// receive the clients. Together with [`STOPGAP_TTL`] it must not exceed the time for
/// which the instance still accepts requests.
const DRAINING_RETURN_PERIOD: Duration = Duration::from_millis(2_500);

/// How long an answer is valid that contains draining instances, or instances outside the preferred regions:
/// better ones are expected to start soon.
const STOPGAP_TTL: Duration = Duration::from_millis(300);

/// Fraction of the requests allowed in the most widely allowed region that must also be
/// allowed in another region before clients are sent there. Below 1, so that a few requests
/// on a route with fewer allowed regions do not move all clients out of their regions. The
/// requirement is that at most one request in twenty reaches a region that its route does
/// not allow.
const MIN_ALLOWED_FRACTION: f64 = 0.95;

/// Where clients should connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Addresses of the instances; empty if there are none.
    pub instances: Vec<Ipv4Addr>,
    /// How long this is valid.
    pub ttl: Duration,
    /// The longest time since one of the instances was last known to run.
    pub silence: Duration,
}

struct Candidate {
    region: SmolStr,
    ip: Ipv4Addr,
    ready: bool,
    /// Time since it was last known to run.
    silence: Duration,
}

/// Returns the instances for clients of `host` in `region`, which may include this one.
///
/// The preferred regions are those that allow nearly all requests on the region-restricted
/// routes of `host`, or all regions if there are no such routes. Returns the first of these
/// groups that is not empty: ready instances of `region`, ready instances of the preferred
/// regions, instances of `region` that have just begun to drain, such instances of the
/// preferred regions, ready instances of any region. Without a configuration, only instances
/// of `region` are returned.
pub fn place(board: &Board, now: Duration, host: &str, region: &str) -> Placement {
    let preferred_regions = preferred_regions(board, host);
    let candidates = candidates(board, now);
    let matching_placement = |ready: bool, region_matches: &dyn Fn(&str) -> bool| {
        let matching = candidates
            .iter()
            .filter(|c| c.ready == ready && region_matches(&c.region))
            .take(MAX_INSTANCES);
        Placement {
            instances: matching.clone().map(|c| c.ip).collect(),
            ttl: if ready { READY_TTL } else { STOPGAP_TTL },
            silence: matching.map(|c| c.silence).max().unwrap_or_default(),
        }
    };
    let same_region = |r: &str| r == region;
    // Without a configuration it is unknown where clients may be sent.
    let any_region_allowed = preferred_regions.is_none() && board.config.is_some();
    let is_preferred =
        |r: &str| any_region_allowed || preferred_regions.iter().flatten().any(|p| p == r);
    let mut found = matching_placement(true, &same_region);
    for (ready, region_matches) in [
        (true, &is_preferred as &dyn Fn(&str) -> bool),
        (false, &same_region),
        (false, &is_preferred),
    ] {
        if found.instances.is_empty() {
            found = matching_placement(ready, region_matches);
        }
    }
    if found.instances.is_empty() && board.config.is_some() {
        found = matching_placement(true, &|_| true);
        found.ttl = STOPGAP_TTL;
    }
    found
}

/// Returns the regions that allow nearly all requests on the region-restricted routes of
/// `host`, or `None` if no route is restricted to regions.
fn preferred_regions(board: &Board, host: &str) -> Option<Vec<SmolStr>> {
    let config = board.config.as_ref()?;
    let mut weights: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for route in config.region_restricted_routes(host) {
        let requests = board
            .route_requests
            .get(&route.name)
            .copied()
            .unwrap_or_default();
        for region in &route.allowed_regions {
            // One more is counted, so that routes without requests matter too.
            *weights.entry(region).or_default() += requests + 1;
        }
    }
    // CAST: counts of this size are exact in a float.
    let min_weight = weights.values().max().copied()? as f64 * MIN_ALLOWED_FRACTION;
    let preferred_regions = weights
        .into_iter()
        .filter(|(_, weight)| *weight as f64 >= min_weight);
    Some(
        preferred_regions
            .map(|(region, _)| region.clone())
            .collect(),
    )
}

/// Returns the instances that are ready, and those that have just begun to drain.
fn candidates(board: &Board, now: Duration) -> Vec<Candidate> {
    let recently_draining = |draining_time: Duration| draining_time < DRAINING_RETURN_PERIOD;
    let mut candidates: Vec<_> = board
        .members
        .alive(now)
        .filter(|m| m.is_ready() || m.draining_for(now).is_some_and(recently_draining))
        .map(|m| Candidate {
            region: m.region.clone(),
            ip: m.ip(),
            ready: m.is_ready(),
            silence: m.silence(now),
        })
        .collect();
    if board.is_ready() || board.draining_for(now).is_some_and(recently_draining) {
        candidates.push(Candidate {
            region: board.identity.region.clone(),
            ip: board.identity.ip,
            ready: board.is_ready(),
            silence: Duration::ZERO,
        });
    }
    candidates
}
