//! Selects an instance of another region for a request that this region should not or
//! cannot run.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use smol_str::SmolStr;

use crate::board::Board;
use crate::gossip::short_hash;
use crate::member::Member;
use crate::rendezvous;

/// A request that this region cannot run, whatever the load.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its service.
    pub service: &'a str,
    /// Time from now within which the answer should begin.
    pub target_wait: Duration,
    /// Regions that are left out.
    pub tried_regions: &'a [SmolStr],
    /// Hash of its shared prompt prefix. Requests with the same one tend to go to the same regions.
    pub affinity_key: Option<u64>,
}

/// What a request lacks that this region cannot run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Shortage {
    /// No other region that may run it has reported a usable upstream.
    NoUpstream,
    /// This instance has as many requests in progress there as its part of the room allows.
    NoRoomElsewhere,
    /// The answer would begin too late.
    TooLateElsewhere,
}

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

/// Wait that each forwarded request adds to a region's load until its next report, unless the region states how many
/// it has room for.
const WAIT_PER_FORWARDED_REQUEST: Duration = Duration::from_millis(8);

/// Maximum number of requests of this instance in a region whose room is not known, which find out whether there is
/// any.
const MAX_WITHOUT_REPORT: u32 = 1;

/// Time after which all instances of a small fleet know that an instance forwards requests.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(5);

/// Time after which the instances that get the remainder of a division of a region's room change.
const REMAINDER_ROTATION: Duration = Duration::from_secs(30);

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
        let cost = cost(wait, region, affinity_key);
        if best.as_ref().is_none_or(|b| cost < b.0) {
            best = Some((cost, wait, region.clone()));
        }
    }
    let (_, wait, region) = best?;
    let instance = instance_in(board, now, &region, wait + round_trip)?;
    board
        .members
        .add_wait(&region, service_hash, WAIT_PER_FORWARDED_REQUEST);
    Some(instance)
}

/// Returns the one of two ready instances of `region` at which this instance has fewer requests in progress.
fn instance_in(
    board: &mut Board,
    now: Duration,
    region: &SmolStr,
    estimated_wait: Duration,
) -> Option<RemoteInstance> {
    let candidates = board.members.ready(now).filter(|m| m.region == *region);
    let sampled = candidates.sample(&mut board.rng, 2);
    let member = sampled
        .into_iter()
        .min_by_key(|m| m.forwarded_in_progress)?;
    Some(RemoteInstance {
        name: SmolStr::new(&member.record.name),
        ip: member.ip(),
        region: region.clone(),
        estimated_wait,
    })
}

/// Returns the wait minus the bonus that the regions get that a key prefers.
fn cost(wait: Duration, region: &str, affinity_key: Option<u64>) -> Duration {
    // Each key prefers about half of the regions. All instances derive the same half
    // from the hash.
    let preference =
        rendezvous::weight_of_hashes(affinity_key.unwrap_or_default(), short_hash(region).into());
    match affinity_key.is_some() && preference.is_multiple_of(2) {
        true => wait.saturating_sub(AFFINITY_BONUS),
        false => wait,
    }
}

/// Selects an instance for a request that this region cannot run, in the region with the shortest wait among those
/// that `allowed` accepts and that have room.
///
/// Only requests in progress count against the room. Each instance that may forward to a region uses an equal part
/// of its room, so that all together do not exceed it, however late its next report is.
pub fn select_with_room(
    board: &mut Board,
    now: Duration,
    request: &Request<'_>,
    allowed: impl Fn(&str) -> bool,
) -> Result<RemoteInstance, Shortage> {
    let service_hash = short_hash(request.service);
    let round_trip = board.parameters.region_delay * 2;
    let counts = instance_counts(board);
    let mut shortage = Shortage::NoUpstream;
    let mut best: Option<(Duration, Duration, SmolStr)> = None;
    for region in counts.keys() {
        let is_excluded = request.tried_regions.contains(region) || !allowed(region);
        if *region == board.identity.region || is_excluded {
            continue;
        }
        if !board.members.ready(now).any(|m| m.region == *region) {
            continue;
        }
        let wait = match wait_with_room(board, now, region, service_hash, &counts) {
            Ok(wait) if wait + round_trip < request.target_wait => wait,
            Ok(_) => {
                shortage = shortage_of(shortage, Shortage::TooLateElsewhere);
                continue;
            }
            Err(found) => {
                shortage = shortage_of(shortage, found);
                continue;
            }
        };
        let in_progress = board.forwarded.count(region, service_hash);
        let cost = cost(
            wait + WAIT_PER_FORWARDED_REQUEST.saturating_mul(in_progress),
            region,
            request.affinity_key,
        );
        if best.as_ref().is_none_or(|b| cost < b.0) {
            best = Some((cost, wait, region.clone()));
        }
    }
    let (_, wait, region) = best.ok_or(shortage)?;
    let instance = instance_in(board, now, &region, wait + round_trip).ok_or(shortage)?;
    let load = board.members.last_service_load(&region, service_hash);
    if load.is_some_and(|l| l.room.is_none()) {
        board
            .members
            .add_wait(&region, service_hash, WAIT_PER_FORWARDED_REQUEST);
    }
    Ok(instance)
}

/// Returns the shortage that says more of two.
fn shortage_of(known: Shortage, found: Shortage) -> Shortage {
    match known {
        Shortage::NoUpstream => found,
        Shortage::TooLateElsewhere if found == Shortage::NoRoomElsewhere => found,
        known => known,
    }
}

/// Returns the number of known instances by region, this one included.
fn instance_counts(board: &Board) -> BTreeMap<SmolStr, u32> {
    let mut counts = BTreeMap::from([(board.identity.region.clone(), 1)]);
    for member in board.members.all.values() {
        match counts.get_mut(&member.region) {
            Some(count) => *count += 1,
            None => {
                counts.insert(member.region.clone(), 1);
            }
        }
    }
    counts
}

/// Returns the expected wait in `region` if it has room for another request of this instance. `counts` are the
/// numbers of known instances by region.
fn wait_with_room(
    board: &Board,
    now: Duration,
    region: &SmolStr,
    service_hash: u32,
    counts: &BTreeMap<SmolStr, u32>,
) -> Result<Duration, Shortage> {
    let in_progress = board.forwarded.count(region, service_hash);
    let recent = board.members.service_load(now, region, service_hash);
    let Some(load) = board.members.last_service_load(region, service_hash) else {
        return match in_progress < MAX_WITHOUT_REPORT {
            true => Ok(DEFAULT_WAIT),
            false => Err(Shortage::NoRoomElsewhere),
        };
    };
    let Some(room) = load.room else {
        // An instance of an earlier version.
        return match recent {
            Some(load) if load.usable_upstreams == 0 => Err(Shortage::NoUpstream),
            Some(load) => Ok(load.wait),
            None => Ok(DEFAULT_WAIT + WAIT_PER_FORWARDED_REQUEST.saturating_mul(in_progress)),
        };
    };
    let part = match recent {
        // The last report said that there is none. It is old.
        None if room == 0 => MAX_WITHOUT_REPORT,
        _ => part_of(board, now, region, service_hash, room, counts),
    };
    match recent {
        Some(load) if room == 0 && load.wait.is_zero() => Err(Shortage::NoUpstream),
        _ if in_progress >= part => Err(Shortage::NoRoomElsewhere),
        Some(load) if load.usable_upstreams > 0 => Ok(load.wait),
        _ => Ok(DEFAULT_WAIT),
    }
}

/// Returns this instance's part of the room in `region`: an equal one of all that may forward there. Those are the
/// instances of this region and of regions in which no usable upstreams are known, also those that have been silent
/// for a while: they may still forward. In a small fleet, those that do forward divide three quarters of the room
/// among them, once all others know that they do.
fn part_of(
    board: &Board,
    now: Duration,
    region: &SmolStr,
    service_hash: u32,
    room: u32,
    counts: &BTreeMap<SmolStr, u32>,
) -> u32 {
    let forwards = |other: &SmolStr| {
        let load = board.members.service_load(now, other, service_hash);
        other == &board.identity.region || load.is_none_or(|l| l.usable_upstreams == 0)
    };
    let forwarding = counts.iter().filter(|(r, _)| *r != region && forwards(r));
    let parts: u32 = forwarding.map(|(_, count)| *count).sum();
    let parts = parts.max(1);
    let others = board.members.all.values();
    let forwarding_others = others.filter(|m| m.region != *region && forwards(&m.region));
    let active_for = board.forwarded.active_for(now).unwrap_or_default();
    let mut active_part = 0;
    if board.members.is_small_fleet() && active_for >= ANNOUNCEMENT_TIME {
        let active = forwarding_others.clone().filter(|m| m.record.forwards);
        // CAST: far below 2^32.
        active_part = (room / 4).saturating_mul(3) / (active.count() as u32 + 1);
    }
    let remainder = room % parts;
    if remainder == 0 {
        return active_part.max(room / parts);
    }
    // The remainder goes to those with the largest hashes, which change from time to time. Instances whose clocks
    // differ disagree on them for that long.
    let unix_ms = u128::from(board.identity.incarnation) + now.as_millis();
    // CAST: far below 2^64.
    let rotation = (unix_ms / REMAINDER_ROTATION.as_millis()) as u64;
    let key = (u64::from(short_hash(region)) << 32 | u64::from(service_hash)) ^ rotation;
    let weight = |name_hash: u32| rendezvous::weight_of_hashes(key, name_hash.into());
    let own_weight = weight(short_hash(&board.identity.name));
    let ahead = forwarding_others
        .filter(|m| weight(m.name_hash) > own_weight)
        .count();
    // CAST: far below 2^32.
    active_part.max(room / parts + u32::from((ahead as u32) < remainder))
}
