//! Which instances a caller should connect to.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::state::RoutingState;

/// How long an answer holds. Some callers keep it three times as long, which has to fit
/// the time for which a stopping instance still takes requests.
const TTL: Duration = Duration::from_secs(1);

/// Most instances in one answer.
const MOST: usize = 64;

/// Time for which an instance that drains may still be named, if no other may take the
/// callers; with [`DRAINING_TTL`] it stays within what the instance still takes.
const DRAINING_NAMED: Duration = Duration::from_millis(2_500);

/// How long an answer holds that names instances which drain.
const DRAINING_TTL: Duration = Duration::from_millis(300);

/// Part of the requests that the most allowed region may take which another one has to take
/// too, so that callers are led there: a few requests on a narrower route must not lead all
/// the others out of their regions. The users' bound is one in twenty.
const HOME_PART: f64 = 0.95;

/// Where callers should connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Addresses of the instances; none if there is none to name.
    pub instances: Vec<Ipv4Addr>,
    /// How long this holds.
    pub ttl: Duration,
}

struct Candidate {
    region: SmolStr,
    ip: Ipv4Addr,
    ready: bool,
}

/// Returns the instances for callers of `host` in `region`, this one among them if it
/// takes requests.
///
/// Callers stay in their region while an instance there takes requests; else they go to
/// the regions that most requests on the host's bound routes allow, where need be to an instance that
/// has just begun to drain; and to any region only if there is none of these.
pub fn place(state: &RoutingState, now: Duration, host: &str, region: &str) -> Placement {
    let homes = homes(state, host);
    let candidates = candidates(state, now);
    let within = |ready: bool, test: &dyn Fn(&str) -> bool| {
        let matching = candidates
            .iter()
            .filter(|c| c.ready == ready && test(&c.region));
        Placement {
            instances: matching.map(|c| c.ip).take(MOST).collect(),
            ttl: if ready { TTL } else { DRAINING_TTL },
        }
    };
    let near = |r: &str| r == region;
    // Without a configuration nothing tells where callers may be led.
    let unbound = homes.is_none() && state.config.is_some();
    let home = |r: &str| unbound || homes.iter().flatten().any(|h| h == r);
    let mut found = within(true, &near);
    for (ready, test) in [
        (true, &home as &dyn Fn(&str) -> bool),
        (false, &near),
        (false, &home),
    ] {
        if found.instances.is_empty() {
            found = within(ready, test);
        }
    }
    if found.instances.is_empty() && state.config.is_some() {
        found = within(true, &|_| true);
    }
    found
}

/// Returns the regions that nearly all requests on the bound routes of `host` allow; `None`
/// where no route is bound.
fn homes(state: &RoutingState, host: &str) -> Option<Vec<SmolStr>> {
    let config = state.config.as_ref()?;
    let mut weights: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for route in config.region_bound_routes(host) {
        let uses = state
            .route_requests
            .get(&route.name)
            .copied()
            .unwrap_or_default();
        for region in &route.allowed_regions {
            *weights.entry(region).or_default() += uses + 1;
        }
    }
    // CAST: counts of this size are exact in a float.
    let least = weights.values().max().copied()? as f64 * HOME_PART;
    let homes = weights
        .into_iter()
        .filter(|(_, weight)| *weight as f64 >= least);
    Some(homes.map(|(region, _)| region.clone()).collect())
}

/// Returns who takes requests, and who has just begun to drain.
fn candidates(state: &RoutingState, now: Duration) -> Vec<Candidate> {
    let drains = |for_: Duration| for_ < DRAINING_NAMED;
    let mut candidates: Vec<_> = state
        .members
        .alive(now)
        .filter(|m| {
            let draining = Duration::from_millis(m.record.draining_ms.into());
            let silent = now.saturating_sub(m.last_heard);
            m.record.ready || (!draining.is_zero() && drains(draining + silent))
        })
        .map(|m| Candidate {
            region: m.region.clone(),
            ip: m.ip(),
            ready: m.record.ready,
        })
        .collect();
    if state.is_ready() || state.draining_for(now).is_some_and(drains) {
        candidates.push(Candidate {
            region: state.identity.region.clone(),
            ip: state.identity.ip,
            ready: state.is_ready(),
        });
    }
    candidates
}
