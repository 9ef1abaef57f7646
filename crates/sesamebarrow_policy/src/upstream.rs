//! Upstreams of this region: load reports, ejection of failing upstreams, and balancing.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use sesamebarrow_rules::list::State;
use sesamebarrow_wire::control;
use smol_str::SmolStr;

use crate::board::{Board, Upstream, UpstreamKey};
use crate::event::Action;
use crate::member;
use crate::settings::Balancing;

/// Of the upstreams of a service that the list calls live, at most one in this many is
/// ejected at a time.
const MIN_LIVE_PER_EJECTED: usize = 2;

/// Updates the upstreams from the list and the rules.
pub(crate) fn apply_list_and_rules(board: &mut Board) {
    let Some(region) = board.my_region().cloned() else {
        return;
    };
    let Some(rules) = board.rules.clone() else {
        return;
    };
    let list = board.list.clone();
    let mut listed = BTreeSet::new();
    for (name, entry) in &list.upstreams {
        if rules.region_of(&entry.domain) != Some(&region) {
            continue;
        }
        listed.insert(name.clone());
        let listed_entry = Upstream {
            name: name.clone(),
            domain: entry.domain.clone(),
            service: entry.service.clone(),
            address: entry.http,
            capacity: entry.capacity,
            state: entry.state,
            in_flight: 0,
            reported_load: 0,
            load_measured_at: None,
            load_checked_at: None,
            polled_here: false,
            consecutive_failures: 0,
            ejected_until: None,
        };
        insert_or_update(board, listed_entry);
    }
    for upstream in board.upstreams.values_mut() {
        if !listed.contains(&upstream.name) {
            upstream.state = State::Leaving;
        }
    }
    remove_unlisted(board, &listed);
}

fn insert_or_update(board: &mut Board, listed_entry: Upstream) {
    match board.upstreams_by_name.get(&listed_entry.name) {
        Some(key) => {
            let existing = &mut board.upstreams[*key];
            existing.domain = listed_entry.domain;
            existing.service = listed_entry.service;
            existing.address = listed_entry.address;
            existing.capacity = listed_entry.capacity;
            existing.state = listed_entry.state;
        }
        None => {
            let name = listed_entry.name.clone();
            let key = board.upstreams.insert(listed_entry);
            board.upstreams_by_name.insert(name, key);
        }
    }
}

/// Removes upstreams that are no longer in the list and have no attempt in flight.
fn remove_unlisted(board: &mut Board, listed: &BTreeSet<SmolStr>) {
    let removable: Vec<UpstreamKey> = board
        .upstreams
        .iter()
        .filter(|(_, u)| u.in_flight == 0 && !listed.contains(&u.name))
        .map(|(key, _)| key)
        .collect();
    for key in removable {
        if let Some(upstream) = board.upstreams.remove(key) {
            board.upstreams_by_name.remove(&upstream.name);
        }
    }
}

/// Records a load report that is `age` old, unless a newer one is already known.
pub(crate) fn record_load(board: &mut Board, name: &str, running: u32, queued: u32, age: Duration) {
    let measured_at = board.now().saturating_sub(age);
    let Some(key) = board.upstreams_by_name.get(name) else {
        return;
    };
    let upstream = &mut board.upstreams[*key];
    if upstream
        .load_measured_at
        .is_none_or(|last| measured_at >= last)
    {
        upstream.reported_load = running.saturating_add(queued);
        upstream.load_measured_at = Some(measured_at);
    }
}

/// Polls the load of the upstreams that this instance polls for its failure domain.
pub(crate) fn poll_loads(board: &mut Board) {
    let now = board.now();
    let interval = board.settings.load_poll_interval;
    let is_due = |u: &Upstream| u.load_checked_at.is_none_or(|at| now - at >= interval);
    let due: Vec<UpstreamKey> = board
        .upstreams
        .iter()
        .filter(|(_, u)| u.state == State::Live && is_due(u))
        .map(|(key, _)| key)
        .collect();
    for key in due {
        let is_poller = must_poll(board, &board.upstreams[key]);
        let upstream = &mut board.upstreams[key];
        upstream.load_checked_at = Some(now);
        upstream.polled_here = is_poller;
        if !is_poller {
            continue;
        }
        let action = Action::PollLoad {
            upstream: upstream.name.clone(),
            address: upstream.address,
        };
        board.push_action(action);
    }
}

/// Returns whether this instance polls the load of `upstream` for its failure domain.
fn must_poll(board: &Board, upstream: &Upstream) -> bool {
    upstream.domain == board.identity.domain
        && member::is_responsible_for(board, upstream.name.as_bytes())
}

/// Returns the recent loads that this instance has polled itself, to share them with the
/// instances of its failure domain.
pub(crate) fn loads_to_share(board: &Board) -> Vec<control::UpstreamLoad> {
    let now = board.now();
    let polled = board.upstreams.values().filter(|u| u.polled_here);
    polled
        .filter_map(|u| {
            let age = now.saturating_sub(u.load_measured_at?);
            if age > board.settings.max_load_age {
                return None;
            }
            Some(control::UpstreamLoad {
                upstream: u.name.to_string(),
                running: u.reported_load,
                // Only the sum of running and queued requests is kept.
                queued: 0,
                age_ms: member::millis(age),
            })
        })
        .collect()
}

/// Returns the estimated number of requests at `upstream`: the reported load if it is
/// recent, and at least the attempts of this instance.
pub(crate) fn load(board: &Board, upstream: &Upstream) -> u32 {
    let is_recent = upstream
        .load_measured_at
        .is_some_and(|at| board.now().saturating_sub(at) <= board.settings.max_load_age);
    if is_recent {
        upstream.reported_load.max(upstream.in_flight)
    } else {
        upstream.in_flight
    }
}

/// Returns whether `upstream` is currently ejected.
pub(crate) fn is_ejected(board: &Board, upstream: &Upstream) -> bool {
    upstream
        .ejected_until
        .is_some_and(|until| board.now() < until)
}

/// Reason why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The service has no live upstream here that has not been tried.
    NoneLive,
    /// All upstreams that could be used are at capacity.
    AllFull,
}

/// Chooses an upstream of `service` that is not in `tried`. Ejected upstreams are used
/// only if all that are left are ejected.
pub(crate) fn choose(
    board: &mut Board,
    service: &str,
    tried: &[UpstreamKey],
) -> Result<UpstreamKey, Unavailable> {
    let live: Vec<UpstreamKey> = board
        .upstreams
        .iter()
        .filter(|(key, u)| u.service == service && u.state == State::Live && !tried.contains(key))
        .map(|(key, _)| key)
        .collect();
    if live.is_empty() {
        return Err(Unavailable::NoneLive);
    }
    let not_ejected: Vec<UpstreamKey> = live
        .iter()
        .copied()
        .filter(|key| !is_ejected(board, &board.upstreams[*key]))
        .collect();
    let usable = if not_ejected.is_empty() {
        live
    } else {
        not_ejected
    };
    let available: Vec<UpstreamKey> = usable
        .into_iter()
        .filter(|key| {
            let upstream = &board.upstreams[*key];
            load(board, upstream) < upstream.capacity
        })
        .collect();
    if available.is_empty() {
        return Err(Unavailable::AllFull);
    }
    Ok(pick(board, &available))
}

/// Picks one of `available`, which must not be empty, with the configured balancing
/// method.
fn pick(board: &mut Board, available: &[UpstreamKey]) -> UpstreamKey {
    match board.settings.balancing {
        Balancing::RoundRobin => {
            board.round_robin_cursor = board.round_robin_cursor.wrapping_add(1);
            available[board.round_robin_cursor % available.len()]
        }
        Balancing::TwoChoices => {
            let a = available[board.rng.random_range(0..available.len())];
            let b = available[board.rng.random_range(0..available.len())];
            if is_more_loaded(board, a, b) { b } else { a }
        }
    }
}

/// Returns whether `a` has a higher ratio of load to capacity than `b`.
fn is_more_loaded(board: &Board, a: UpstreamKey, b: UpstreamKey) -> bool {
    let a = &board.upstreams[a];
    let b = &board.upstreams[b];
    let cross_product =
        |u: &Upstream, other: &Upstream| u64::from(load(board, u)) * u64::from(other.capacity);
    cross_product(a, b) > cross_product(b, a)
}

/// Records a failed attempt. Ejects the upstream after too many consecutive failures, as
/// long as enough upstreams of its service stay in use.
pub(crate) fn record_failure(board: &mut Board, key: UpstreamKey) {
    let now = board.now();
    let Some(upstream) = board.upstreams.get_mut(key) else {
        return;
    };
    upstream.consecutive_failures += 1;
    if upstream.consecutive_failures < board.settings.eject_after_failures {
        return;
    }
    let service = upstream.service.clone();
    let same_service = board
        .upstreams
        .values()
        .filter(|u| u.service == service && u.state == State::Live);
    let (mut live, mut ejected) = (0, 0);
    for other in same_service {
        live += 1;
        ejected += usize::from(is_ejected(board, other));
    }
    if (ejected + 1) * MIN_LIVE_PER_EJECTED <= live {
        board.upstreams[key].ejected_until = Some(now + board.settings.ejection_time);
    }
}

/// Records a successful attempt, which also ends an ejection.
pub(crate) fn record_success(board: &mut Board, key: UpstreamKey) {
    if let Some(upstream) = board.upstreams.get_mut(key) {
        upstream.consecutive_failures = 0;
        upstream.ejected_until = None;
    }
}
