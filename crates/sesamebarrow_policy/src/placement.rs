//! Placement: which instances a caller should use.
//!
//! Every instance responds to placement queries from its own state, also while it is
//! partitioned from the others.

use std::time::Duration;

use sesamebarrow_rules::KeyDigest;
use smol_str::SmolStr;

use crate::at_most_once;
use crate::board::Board;
use crate::event::{Action, Candidate, RequestId};
use crate::member;
use crate::refusal::{Reason, Refusal};

/// Handles a placement query.
pub(crate) fn handle_query(
    board: &mut Board,
    id: RequestId,
    key: Option<KeyDigest>,
    service: &str,
) {
    match build_placement(board, id, key, service) {
        Ok(action) => board.push_action(action),
        Err(refusal) => board.push_action(Action::Refuse { id, refusal }),
    }
}

fn build_placement(
    board: &mut Board,
    id: RequestId,
    key: Option<KeyDigest>,
    service: &str,
) -> Result<Action, Refusal> {
    let retry_after = board.settings.recovery_timeout;
    let Some(rules) = board.rules.clone() else {
        return Err(Refusal::not_run(Reason::NotReady).with_retry_after(retry_after));
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
    let ticket =
        may_issue_ticket(board, &customer).then(|| at_most_once::issue(board, &customer, service));
    Ok(Action::ReturnPlacement {
        id,
        candidates,
        ttl: ttl(board),
        ticket,
    })
}

/// Returns whether this instance may own a ticket for `customer`: the customer must allow
/// this region, and the instance must be ready and not be shutting down.
fn may_issue_ticket(board: &Board, customer: &str) -> bool {
    let Some(my_region) = board.my_region() else {
        return false;
    };
    board.is_ready() && board.allows_region(customer, my_region)
}

fn ttl(board: &Board) -> Duration {
    if board.draining {
        Duration::ZERO
    } else {
        board.settings.placement_lifetime
    }
}

/// Returns the instances that may serve the customer, best first. They are ordered by
/// distance, then by whether they hold a share of the customer's rate, then by load.
pub(crate) fn candidates(board: &Board, customer: &str) -> Vec<Candidate> {
    let my_region = board.my_region().cloned().unwrap_or_default();
    let Some(key) = board.limits.by_name.get(customer) else {
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
        let distance = distance(board, &my_region, &instance.domain, &instance.region);
        let requests_in_progress = instance.link.as_ref().map_or(0, |l| l.requests_in_progress);
        let candidate = Candidate {
            name: instance.name.clone(),
            region: instance.region.clone(),
            http,
        };
        let is_holder = share.is_held_by(&instance.domain, instance.slot);
        ranked.push(((distance, !is_holder, requests_in_progress), candidate));
    }
    if let Some(candidate) = own_candidate(board, customer, &my_region) {
        let is_holder = share.is_held_by(&board.identity.domain, Some(board.identity.slot));
        let requests_in_progress = u32::try_from(board.requests.len()).unwrap_or(u32::MAX);
        ranked.push(((0, !is_holder, requests_in_progress), candidate));
    }
    ranked.sort_by(|(a, x), (b, y)| (a, &x.name).cmp(&(b, &y.name)));
    ranked.into_iter().map(|(_, c)| c).collect()
}

/// Returns 0 for this failure domain, 1 for this region and 2 for any other region.
fn distance(board: &Board, my_region: &str, domain: &str, instance_region: &SmolStr) -> u8 {
    if domain == board.identity.domain {
        0
    } else if instance_region == my_region {
        1
    } else {
        2
    }
}

fn own_candidate(board: &Board, customer: &str, my_region: &SmolStr) -> Option<Candidate> {
    if !board.is_ready() || !board.allows_region(customer, my_region) {
        return None;
    }
    let entry = board.list.instances.get(&board.identity.name)?;
    let is_live = entry.state == sesamebarrow_rules::list::State::Live;
    is_live.then(|| Candidate {
        name: board.identity.name.clone(),
        region: my_region.clone(),
        http: entry.http,
    })
}
