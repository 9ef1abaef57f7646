//! Which region a request goes to when this one should not or cannot run it.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use smol_str::SmolStr;

use crate::gossip::short_hash;
use crate::rendezvous;
use crate::state::RoutingState;

/// An instance of another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteInstance {
    /// Its name.
    pub name: SmolStr,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its region.
    pub region: SmolStr,
    /// Estimated time until the first event, the way there and back included.
    pub estimated_wait: Duration,
}

/// Wait that is assumed of a region whose load is not known.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// By how much longer a request may wait in the region where its subject's prompts go.
const AFFINITY: Duration = Duration::from_millis(40);

/// Wait that each request adds to a region, until it reports anew.
const ADDED_WAIT: Duration = Duration::from_millis(8);

/// Chooses the instance that runs a request soonest in a region that `allowed` permits
/// and that was not `tried`. Requests about one `subject` tend to the same regions, where
/// its prompts are kept.
pub fn select_instance(
    state: &mut RoutingState,
    now: Duration,
    service: &str,
    allowed: impl Fn(&str) -> bool,
    tried: &[SmolStr],
    subject: Option<u64>,
) -> Option<RemoteInstance> {
    let hash = short_hash(service);
    let way = state.bounds.region_delay * 2;
    let mut best: Option<(Duration, Duration, SmolStr)> = None;
    for member in state.members.ready(now) {
        let region = &member.region;
        if *region == state.identity.region || tried.contains(region) || !allowed(region) {
            continue;
        }
        let wait = match state.members.load(now, region, hash) {
            Some(load) if load.usable_upstreams == 0 => continue,
            Some(load) => load.wait,
            None => UNKNOWN_WAIT,
        };
        // Each subject prefers half of the regions, drawn by its hash alike everywhere.
        let rank = rendezvous::mix(subject.unwrap_or_default(), short_hash(region).into());
        let cost = if subject.is_some() && rank.is_multiple_of(2) {
            wait.saturating_sub(AFFINITY)
        } else {
            wait
        };
        if best.as_ref().is_none_or(|b| cost < b.0) {
            best = Some((cost, wait, region.clone()));
        }
    }
    let (_, wait, region) = best?;
    let there = state.members.ready(now).filter(|m| m.region == region);
    let two = there.sample(&mut state.rng, 2);
    let member = two.into_iter().min_by_key(|m| m.forwarded_requests)?;
    let hop = RemoteInstance {
        name: SmolStr::new(&member.record.name),
        ip: member.ip(),
        region: region.clone(),
        estimated_wait: wait + way,
    };
    state.members.add_wait(&region, hash, ADDED_WAIT);
    Some(hop)
}
