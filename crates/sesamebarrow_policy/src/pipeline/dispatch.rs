//! Dispatch of a request to its target, with a second check immediately before sending.

use super::{Stage, TargetKey, authorise, choose, identify, refuse, settle};
use crate::board::Board;
use crate::event::{Action, RequestId, Target};
use crate::refusal::{Reason, Refusal};
use crate::{at_most_once, member, quarantine};

use sesamebarrow_rules::list::State;

/// Starts an attempt at `target`.
pub(super) fn dispatch(board: &mut Board, id: RequestId, target: TargetKey) {
    let Some(destination) = resolve_target(board, id, target) else {
        return;
    };
    let Some(request) = board.requests.get_mut(&id) else {
        return;
    };
    request.target = Some(target);
    request.stage = Stage::Dispatching;
    request.attempts += 1;
    let at_most_once = request.is_at_most_once();
    match target {
        TargetKey::Upstream(key) => {
            request.tried_upstreams.push(key);
            board.upstreams[key].in_flight += 1;
        }
        TargetKey::Instance(_) => board.counters.forwarded += 1,
    }
    board.push_action(Action::Dispatch {
        id,
        target: destination,
        at_most_once,
    });
}

fn resolve_target(board: &Board, id: RequestId, target: TargetKey) -> Option<Target> {
    let request = board.requests.get(&id)?;
    match target {
        TargetKey::Upstream(key) => {
            let upstream = board.upstreams.get(key)?;
            Some(Target::Upstream {
                key,
                name: upstream.name.clone(),
                address: upstream.address,
            })
        }
        TargetKey::Instance(key) => Some(Target::Instance {
            name: board.instances.get(key)?.name.clone(),
            customer: request.customer.clone(),
            reserved_tokens: request.reservation.map_or(0, |_| request.cost_tokens),
        }),
    }
}

/// Repeats the checks with the current state of the board, then sends the request,
/// chooses another target, or refuses the request.
pub(super) fn confirm_send(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    if request.stage != Stage::Dispatching {
        return;
    }
    if let Err(refusal) = recheck(board, id) {
        refuse(board, id, refusal);
        return;
    }
    if let Err(refusal) = quarantine::admit(board, id) {
        refuse(board, id, refusal);
        return;
    }
    if !is_target_valid(board, id) {
        settle::release_target(board, id);
        choose::choose(board, id);
        return;
    }
    let Some(request) = board.requests.get_mut(&id) else {
        return;
    };
    request.stage = Stage::Running;
    if let Some(number) = request.owned_ticket {
        at_most_once::mark_running(board, number);
    }
    board.push_action(Action::SendRequest { id });
}

/// Checks what may have changed since the request arrived: whether the process is
/// recovering from a pause, the deadline, the key, the service and the region.
fn recheck(board: &Board, id: RequestId) -> Result<(), Refusal> {
    let request = &board.requests[&id];
    if board.clock.recovering_until.is_some() {
        let retry_after = board.settings.recovery_timeout;
        return Err(Refusal::not_run(Reason::NotReady).with_retry_after(retry_after));
    }
    if board.now() >= request.deadline {
        return Err(Refusal::not_run(Reason::DeadlinePassed));
    }
    if !identify::is_key_valid(board, request) {
        return Err(Refusal::not_run(Reason::BadKey));
    }
    let Some(customer) = &request.customer else {
        return Ok(());
    };
    authorise::check_service(board, customer, &request.head.service)?;
    authorise::check_region(board, customer)
}

/// Returns whether the target may still receive the request.
fn is_target_valid(board: &Board, id: RequestId) -> bool {
    let request = &board.requests[&id];
    match request.target {
        Some(TargetKey::Upstream(key)) => board
            .upstreams
            .get(key)
            .is_some_and(|u| u.state == State::Live),
        Some(TargetKey::Instance(key)) => {
            let customer = request.customer.as_deref().unwrap_or_default();
            board.instances.get(key).is_some_and(|i| {
                board.allows_region(customer, &i.region) && !member::has_newer_rules(board, i)
            })
        }
        None => false,
    }
}
