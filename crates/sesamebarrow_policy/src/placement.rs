//! Placement: which instances a caller should use.
//!
//! Every instance answers, also when it is cut off, by what it knows.

use std::time::Duration;

use sesamebarrow_rules::KeyDigest;
use smol_str::SmolStr;

use crate::board::Board;
use crate::event::{Action, Candidate, RequestId};
use crate::member;
use crate::once;
use crate::refusal::{Reason, Refusal};

/// Answers a placement question.
pub(crate) fn handle_query(
    board: &mut Board,
    id: RequestId,
    key: Option<KeyDigest>,
    service: &str,
) {
    match place(board, id, key, service) {
        Ok(action) => board.push_action(action),
        Err(refusal) => board.push_action(Action::Refuse { id, refusal }),
    }
}

fn place(
    board: &mut Board,
    id: RequestId,
    key: Option<KeyDigest>,
    service: &str,
) -> Result<Action, Refusal> {
    let wait = board.settings.wake;
    let Some(rules) = board.rules.clone() else {
        return Err(Refusal::not_run(Reason::NotReady).with_retry_after(wait));
    };
    let customer = key.and_then(|k| board.customer_of(&k).cloned());
    let customer = customer.ok_or_else(|| Refusal::not_run(Reason::BadKey))?;
    if !rules.services.contains_key(service) {
        return Err(Refusal::not_run(Reason::UnknownService));
    }
    if !rules.customers[&customer].services.contains(service) {
        return Err(Refusal::not_run(Reason::NotAllowed));
    }
    let candidates = candidates(board, &customer);
    let ticket = may_own(board, &customer).then(|| once::issue(board, &customer, service));
    Ok(Action::ReturnPlacement {
        id,
        candidates,
        ttl: ttl(board),
        ticket,
    })
}

/// A ticket's owner must be where the customer's data may be, and must last.
fn may_own(board: &Board, customer: &str) -> bool {
    let Some(region) = board.my_region() else {
        return false;
    };
    board.is_ready() && board.allows_region(customer, region)
}

fn ttl(board: &Board) -> Duration {
    if board.draining {
        Duration::ZERO
    } else {
        board.settings.placement
    }
}

/// Returns the instances that may serve the customer, the best first: those that hold a
/// share of its rate, by this domain, this region and the rest, and by their load.
pub(crate) fn candidates(board: &Board, customer: &str) -> Vec<Candidate> {
    let region = board.my_region().cloned().unwrap_or_default();
    let Some(key) = board.limits.names.get(customer) else {
        return Vec::new();
    };
    let share = &board.limits.shares[*key];
    let mut ranked = Vec::new();
    for instance in board.instances.values() {
        let Some(http) = instance.http else {
            continue;
        };
        if !member::takes_work(board, instance) || !board.allows_region(customer, &instance.region)
        {
            continue;
        }
        let distance = distance(board, &region, &instance.domain, &instance.region);
        let running = instance.link.as_ref().map_or(0, |l| l.running);
        let candidate = Candidate {
            name: instance.name.clone(),
            region: instance.region.clone(),
            http,
        };
        let holder = share.is_held_by(&instance.domain, instance.slot);
        ranked.push(((distance, !holder, running), candidate));
    }
    if let Some(candidate) = myself(board, customer, &region) {
        let holder = share.is_held_by(&board.me.domain, Some(board.me.slot));
        let running = u32::try_from(board.requests.len()).unwrap_or(u32::MAX);
        ranked.push(((0, !holder, running), candidate));
    }
    ranked.sort_by(|(a, x), (b, y)| (a, &x.name).cmp(&(b, &y.name)));
    ranked.into_iter().map(|(_, c)| c).collect()
}

/// Returns 0 in this domain, 1 in this region and 2 elsewhere.
fn distance(board: &Board, region: &str, domain: &str, other: &SmolStr) -> u8 {
    if domain == board.me.domain {
        0
    } else if other == region {
        1
    } else {
        2
    }
}

fn myself(board: &Board, customer: &str, region: &SmolStr) -> Option<Candidate> {
    if !board.is_ready() || !board.allows_region(customer, region) {
        return None;
    }
    let entry = board.list.instances.get(&board.me.name)?;
    let live = entry.state == sesamebarrow_rules::list::State::Live;
    live.then(|| Candidate {
        name: board.me.name.clone(),
        region: region.clone(),
        http: entry.http,
    })
}
