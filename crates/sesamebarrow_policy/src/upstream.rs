//! Upstreams of this region: their load, their failures, and which to use.

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

/// Of the live upstreams of a service, the share that may be ejected at a time is one
/// in this many.
const EJECT_ONE_IN: usize = 2;

/// Brings the upstreams in line with the list and the rules.
pub(crate) fn apply_list(board: &mut Board) {
    let Some(region) = board.my_region().cloned() else {
        return;
    };
    let Some(rules) = board.rules.clone() else {
        return;
    };
    let list = board.list.clone();
    let mut kept = BTreeSet::new();
    for (name, entry) in &list.upstreams {
        if rules.region_of(&entry.domain) != Some(&region) {
            continue;
        }
        kept.insert(name.clone());
        let fresh = Upstream {
            name: name.clone(),
            domain: entry.domain.clone(),
            service: entry.service.clone(),
            address: entry.http,
            capacity: entry.capacity,
            state: entry.state,
            in_flight: 0,
            reported_load: 0,
            load_reported_at: None,
            load_checked_at: None,
            polled_here: false,
            consecutive_failures: 0,
            ejected_until: None,
        };
        update(board, fresh);
    }
    for upstream in board.upstreams.values_mut() {
        if !kept.contains(&upstream.name) {
            upstream.state = State::Leaving;
        }
    }
    forget_idle(board, &kept);
}

fn update(board: &mut Board, fresh: Upstream) {
    match board.upstreams_by_name.get(&fresh.name) {
        Some(key) => {
            let known = &mut board.upstreams[*key];
            known.domain = fresh.domain;
            known.service = fresh.service;
            known.address = fresh.address;
            known.capacity = fresh.capacity;
            known.state = fresh.state;
        }
        None => {
            let name = fresh.name.clone();
            let key = board.upstreams.insert(fresh);
            board.upstreams_by_name.insert(name, key);
        }
    }
}

/// Forgets upstreams that the list no longer names, once nothing runs at them.
fn forget_idle(board: &mut Board, kept: &BTreeSet<SmolStr>) {
    let gone: Vec<UpstreamKey> = board
        .upstreams
        .iter()
        .filter(|(_, u)| u.in_flight == 0 && !kept.contains(&u.name))
        .map(|(key, _)| key)
        .collect();
    for key in gone {
        if let Some(upstream) = board.upstreams.remove(key) {
            board.upstreams_by_name.remove(&upstream.name);
        }
    }
}

/// Takes a report of load that is `age` old.
pub(crate) fn record_load(board: &mut Board, name: &str, running: u32, queued: u32, age: Duration) {
    let at = board.now().saturating_sub(age);
    let Some(key) = board.upstreams_by_name.get(name) else {
        return;
    };
    let upstream = &mut board.upstreams[*key];
    if upstream.load_reported_at.is_none_or(|known| at >= known) {
        upstream.reported_load = running.saturating_add(queued);
        upstream.load_reported_at = Some(at);
    }
}

/// Asks for the loads that this instance reads for its domain.
pub(crate) fn poll_loads(board: &mut Board) {
    let now = board.now();
    let every = board.settings.load_poll;
    let is_due = |u: &Upstream| u.load_checked_at.is_none_or(|at| now - at >= every);
    let due: Vec<UpstreamKey> = board
        .upstreams
        .iter()
        .filter(|(_, u)| u.state == State::Live && is_due(u))
        .map(|(key, _)| key)
        .collect();
    for key in due {
        let mine = polls(board, &board.upstreams[key]);
        let upstream = &mut board.upstreams[key];
        upstream.load_checked_at = Some(now);
        upstream.polled_here = mine;
        if !mine {
            continue;
        }
        let action = Action::PollLoad {
            upstream: upstream.name.clone(),
            address: upstream.address,
        };
        board.push_action(action);
    }
}

/// Tells whether this instance reads the load of `upstream` for its domain.
fn polls(board: &Board, upstream: &Upstream) -> bool {
    upstream.domain == board.me.domain && member::has_duty(board, upstream.name.as_bytes())
}

/// Returns the loads that this instance has read itself, for its neighbours.
pub(crate) fn loads_to_share(board: &Board) -> Vec<control::UpstreamLoad> {
    let now = board.now();
    let own = board.upstreams.values().filter(|u| u.polled_here);
    own.filter_map(|u| {
        let age = now.saturating_sub(u.load_reported_at?);
        if age > board.settings.load_age {
            return None;
        }
        Some(control::UpstreamLoad {
            upstream: u.name.to_string(),
            running: u.reported_load,
            queued: 0,
            age_ms: member::millis(age),
        })
    })
    .collect()
}

/// Returns the requests thought to be at `upstream`.
pub(crate) fn load(board: &Board, upstream: &Upstream) -> u32 {
    let fresh = upstream
        .load_reported_at
        .is_some_and(|at| board.now().saturating_sub(at) <= board.settings.load_age);
    if fresh {
        upstream.reported_load.max(upstream.in_flight)
    } else {
        upstream.in_flight
    }
}

/// Tells whether `upstream` is ejected.
pub(crate) fn is_ejected(board: &Board, upstream: &Upstream) -> bool {
    upstream
        .ejected_until
        .is_some_and(|until| board.now() < until)
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The service has none that is live here.
    NoneLive,
    /// All have as much as they run well.
    AllFull,
}

/// Chooses an upstream of `service` other than those of `tried`.
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
    let sound: Vec<UpstreamKey> = live
        .iter()
        .copied()
        .filter(|key| !is_ejected(board, &board.upstreams[*key]))
        .collect();
    let sound = if sound.is_empty() { live } else { sound };
    let room: Vec<UpstreamKey> = sound
        .into_iter()
        .filter(|key| {
            let upstream = &board.upstreams[*key];
            load(board, upstream) < upstream.capacity
        })
        .collect();
    if room.is_empty() {
        return Err(Unavailable::AllFull);
    }
    Ok(draw(board, &room))
}

/// Draws one of `room`, which is not empty.
fn draw(board: &mut Board, room: &[UpstreamKey]) -> UpstreamKey {
    match board.settings.balancing {
        Balancing::RoundRobin => {
            board.next_in_turn = board.next_in_turn.wrapping_add(1);
            room[board.next_in_turn % room.len()]
        }
        Balancing::TwoChoices => {
            let a = room[board.rng.random_range(0..room.len())];
            let b = room[board.rng.random_range(0..room.len())];
            if busier(board, a, b) { b } else { a }
        }
    }
}

/// Tells whether `a` is nearer to its capacity than `b`.
fn busier(board: &Board, a: UpstreamKey, b: UpstreamKey) -> bool {
    let a = &board.upstreams[a];
    let b = &board.upstreams[b];
    let share =
        |u: &Upstream, other: &Upstream| u64::from(load(board, u)) * u64::from(other.capacity);
    share(a, b) > share(b, a)
}

/// Notes a failed attempt and ejects an upstream that fails again and again, as long as
/// enough others stay.
pub(crate) fn note_failure(board: &mut Board, key: UpstreamKey) {
    let now = board.now();
    let Some(upstream) = board.upstreams.get_mut(key) else {
        return;
    };
    upstream.consecutive_failures += 1;
    if upstream.consecutive_failures < board.settings.eject_after {
        return;
    }
    let service = upstream.service.clone();
    let mates = board
        .upstreams
        .values()
        .filter(|u| u.service == service && u.state == State::Live);
    let (mut live, mut ejected) = (0, 0);
    for mate in mates {
        live += 1;
        ejected += usize::from(is_ejected(board, mate));
    }
    if (ejected + 1) * EJECT_ONE_IN <= live {
        board.upstreams[key].ejected_until = Some(now + board.settings.eject);
    }
}

/// Notes an attempt that ended well.
pub(crate) fn note_success(board: &mut Board, key: UpstreamKey) {
    if let Some(upstream) = board.upstreams.get_mut(key) {
        upstream.consecutive_failures = 0;
        upstream.ejected_until = None;
    }
}
