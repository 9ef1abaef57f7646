//! Requests that crash upstreams: what is blamed and refused is decided as for routed traffic, by
//! [`sesamebarrow_routing::quarantine`].
//!
//! Each instance collects all blame. Heartbeats carry blame that is new to their sender on to its neighbours,
//! and orders to those whose digest differs. The listed instance with the highest rendezvous weight for a suspect
//! makes its trials, but not at the only upstream of a service.

use std::time::Duration;

use sesamebarrow_routing::board::quarantine::Change;
use sesamebarrow_routing::quarantine::message::{BlameEntry, OrderEntry};
use sesamebarrow_routing::quarantine::{Admission, Order, Suspect, Suspects};
use sesamebarrow_routing::{rendezvous, token};
use sesamebarrow_rules::list;
use sesamebarrow_wire::control;
use smol_str::SmolStr;

use crate::board::Board;
use crate::event::{Action, RequestId};
use crate::member;
use crate::pipeline::{Request, TargetKey};
use crate::refusal::{Reason, Refusal};

/// Maximum number of crashes under one request.
const MAX_CRASHES_PER_REQUEST: u32 = 2;

/// Maximum number of blame entries in a heartbeat.
const MAX_BLAMES: usize = 64;

/// Sets the suspects of a request, whose body was read.
pub(crate) fn identify(board: &mut Board, id: RequestId, fingerprint: u64) {
    let Some(request) = board.requests.get_mut(&id) else {
        return;
    };
    let customer = token::customer_hash(request.customer.as_deref().unwrap_or_default());
    let fingerprint = rendezvous::weight_of_hashes(fingerprint, customer);
    request.suspects = Suspects::of_request(customer, fingerprint, &[]);
}

/// Checks that a request is not quarantined, unless it is a trial.
pub(crate) fn admit(board: &mut Board, id: RequestId) -> Result<(), Refusal> {
    let now = board.now();
    let Some(request) = board.requests.get(&id) else {
        return Ok(());
    };
    if request.is_trial {
        return Ok(());
    }
    let is_at_upstream = matches!(request.target, Some(TargetKey::Upstream(_)));
    let service = &request.head.service;
    let may_try = request.attempts == 1 && is_at_upstream && has_several_upstreams(board, service);
    let refusal = Refusal::not_run(Reason::Harmful);
    match board.quarantine.admission(now, &request.suspects) {
        Admission::Allowed => Ok(()),
        Admission::Quarantined(_) => Err(refusal),
        Admission::TrialDue(trial) => {
            let may_try = may_try && trial.suspects.iter().all(|s| makes_trials(board, *s));
            if !may_try {
                return Err(refusal);
            }
            let grant = |suspect| board.quarantine.grant_trial(now, suspect);
            let orders: Vec<Order> = trial.suspects.into_iter().filter_map(grant).collect();
            if let Some(request) = board.requests.get_mut(&id) {
                request.is_trial = true;
            }
            announce(board, Change::Trial, &orders);
            Ok(())
        }
    }
}

/// Takes back the trial of a request that no upstream ran.
pub(crate) fn take_back_trial(board: &mut Board, suspects: &Suspects) {
    let now = board.now();
    let take_back = |suspect| board.quarantine.take_back_trial(now, suspect);
    let orders: Vec<Order> = suspects.iter().filter_map(take_back).collect();
    announce(board, Change::TrialReturned, &orders);
}

/// Releases suspects that are proven to be sound, and whose crashes others explain.
fn release_explained(board: &mut Board) {
    let now = board.now();
    let released = board.quarantine.release_explained(now);
    announce(board, Change::Explained, &released);
}

/// Returns whether a service has several live upstreams, in all regions together.
fn has_several_upstreams(board: &Board, service: &str) -> bool {
    let is_live = |u: &&list::Upstream| u.service == service && u.state == list::State::Live;
    board.list.upstreams.values().filter(is_live).count() > 1
}

/// Returns whether this instance makes the trials of `suspect`.
fn makes_trials(board: &Board, suspect: Suspect) -> bool {
    let weight = |name: &SmolStr| {
        let name_hash = token::customer_hash(name);
        rendezvous::weight_of_hashes(suspect.key(), name_hash)
    };
    let own = weight(&board.identity.name);
    board.list.instances.keys().all(|name| weight(name) <= own)
}

/// Returns whether a request may be repeated as far as crashes are concerned.
pub(crate) fn may_repeat(board: &Board, request: &Request) -> bool {
    let is_suspected = || board.quarantine.is_suspected(&request.suspects);
    request.crashes == 0
        || (request.crashes < MAX_CRASHES_PER_REQUEST && !request.is_trial && !is_suspected())
}

/// Records that the upstream of a request has crashed.
pub(crate) fn record_crash(board: &mut Board, id: RequestId) {
    let now = board.now();
    let Some(request) = board.requests.get_mut(&id) else {
        return;
    };
    let Some(TargetKey::Upstream(key)) = request.target else {
        return;
    };
    request.crashes += 1;
    let suspects = request.suspects.clone();
    let Some(upstream) = board.upstreams.get(key) else {
        return;
    };
    // The list does not tell runs apart, so crashes are told apart by their time.
    let run = token::customer_hash(&upstream.name);
    let orders = board.quarantine.record_crash(now, run, &suspects);
    announce(board, Change::Quarantined, &orders);
    release_explained(board);
    member::send_heartbeats_now(board);
}

/// Records that a request was answered completely.
pub(crate) fn record_answer(board: &mut Board, id: RequestId) {
    let now = board.now();
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let suspects = request.suspects.clone();
    let revoked = board.quarantine.record_answer(now, &suspects);
    announce(board, Change::Revoked, &revoked);
}

/// Returns the blame for the next heartbeats.
pub(crate) fn take_due_blames(board: &mut Board) -> Vec<BlameEntry> {
    let due = board.quarantine.take_due_reports(board.clock.now);
    let entries = due
        .into_iter()
        .map(|(blame, age)| BlameEntry::new(blame, age));
    entries.take(MAX_BLAMES).collect()
}

/// Returns the orders for the next heartbeat to the instance `name`; none if it seems to have them.
pub(crate) fn take_orders_for(board: &mut Board, name: &str) -> Vec<OrderEntry> {
    let now = board.now();
    let link = member::find(board, name).and_then(|key| board.instances[key].link.as_mut());
    if !link.is_some_and(|link| std::mem::take(&mut link.lacks_orders)) {
        return Vec::new();
    }
    let orders = board.quarantine.orders();
    orders.map(|order| OrderEntry::new(now, order)).collect()
}

/// Handles the blame and the orders in a heartbeat of the instance `from`.
pub(crate) fn handle_heartbeat(board: &mut Board, from: &str, heartbeat: &control::Heartbeat) {
    let now = board.now();
    let blames = heartbeat.blames.iter().filter_map(|entry| entry.decode());
    let orders: Vec<Order> = blames
        .filter_map(|(blame, age)| board.quarantine.relay_blame(now, age, blame))
        .collect();
    announce(board, Change::Quarantined, &orders);
    merge_orders(board, now, &heartbeat.orders);
    release_explained(board);
    let digest = board.quarantine.digest();
    let link = member::find(board, from).and_then(|key| board.instances[key].link.as_mut());
    if let (Some(link), Some(theirs)) = (link, heartbeat.orders_digest) {
        link.lacks_orders |= theirs != digest;
    }
}

fn merge_orders(board: &mut Board, now: Duration, entries: &[OrderEntry]) {
    for order in entries.iter().filter_map(|entry| entry.decode(now)) {
        let (is_new, revocation) = board.quarantine.merge_order(now, order);
        if is_new {
            let change = match order.in_force {
                true => Change::Learned,
                false => Change::Unlearned,
            };
            announce(board, change, &[order]);
        }
        announce(board, Change::Revoked, revocation.as_slice());
    }
}

/// Removes what is too old.
pub(crate) fn remove_expired(board: &mut Board) {
    board.quarantine.remove_expired(board.clock.now);
}

/// Logs changes of orders and sends them to all neighbours with the next heartbeats, which are due at once.
fn announce(board: &mut Board, change: Change, orders: &[Order]) {
    if orders.is_empty() {
        return;
    }
    for order in orders.iter().copied() {
        board.push_action(Action::LogQuarantine { change, order });
    }
    for link in board.instances.values_mut().filter_map(|i| i.link.as_mut()) {
        link.lacks_orders = true;
    }
    member::schedule_heartbeats(board);
}
