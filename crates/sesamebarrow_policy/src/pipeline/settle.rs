//! The end of an attempt: another one, the final answer, and the tokens' account.

use std::sync::Arc;

use super::{Stage, TargetKey, choose, pass_on, refuse};
use crate::board::{Board, UpstreamKey};
use crate::event::{Outcome, RequestId, StoredResponse};
use crate::refusal::{Execution, Reason, Refusal};
use crate::{limit, once, upstream};

/// Hundredths of a retry that one attempt costs.
const RETRY_COST_HUNDREDTHS: u32 = 100;

/// Most hundredths of a retry that may be saved up.
const MAX_RETRY_BUDGET_HUNDREDTHS: u32 = 100 * RETRY_COST_HUNDREDTHS;

/// Takes the end of an attempt.
pub(super) fn settle(board: &mut Board, id: RequestId, outcome: Outcome) {
    if !board.requests.contains_key(&id) {
        return;
    }
    match outcome {
        Outcome::Completed { tokens, response } => complete(board, id, tokens, response),
        Outcome::NotSent => take_unsent(board, id),
        Outcome::Refused(refusal) => take_refusal(board, id, refusal),
        Outcome::Interrupted { relayed } => break_off(board, id, relayed),
    }
}

fn complete(
    board: &mut Board,
    id: RequestId,
    tokens: Option<u64>,
    response: Option<Arc<StoredResponse>>,
) {
    board.counters.completed += 1;
    let earned = board.settings.retry_percent;
    board.retry_budget = (board.retry_budget + earned).min(MAX_RETRY_BUDGET_HUNDREDTHS);
    let cost = board.requests[&id].cost;
    if let Some(key) = upstream_of(board, id) {
        upstream::note_success(board, key);
    }
    if let Some(number) = board.requests[&id].ticket {
        once::note_answer(board, number, response);
    }
    close(board, id, tokens.unwrap_or(cost));
}

/// Takes a refusal by the instance to which the request was handed.
fn take_refusal(board: &mut Board, id: RequestId, refusal: Refusal) {
    if refusal.execution == Execution::NotRun {
        rewind(board, id);
    }
    let again = refusal.execution == Execution::NotRun && !board.requests[&id].is_at_most_once();
    if again && may_retry(board, id) {
        retry(board, id);
    } else if board.requests[&id].may_have_run {
        pass_on(board, id, refusal.with_unknown_execution());
    } else {
        pass_on(board, id, refusal);
    }
}

/// Takes an attempt of which no byte can have reached the other end.
fn take_unsent(board: &mut Board, id: RequestId) {
    if let Some(key) = upstream_of(board, id) {
        upstream::note_failure(board, key);
    }
    rewind(board, id);
    let request = &board.requests[&id];
    let handed_over = matches!(request.target, Some(TargetKey::Instance(_)));
    if request.is_at_most_once() && handed_over {
        // Only the owner may run it, and an earlier sending may have reached it.
        pass_on(board, id, Refusal::unknown(Reason::OwnerLost));
    } else if may_retry(board, id) {
        retry(board, id);
    } else {
        let wait = board.settings.read_backoff;
        refuse(
            board,
            id,
            Refusal::not_run(Reason::UpstreamFailed).with_retry_after(wait),
        );
    }
}

/// Sets a request back to where it stood before its attempt, of which nothing came.
fn rewind(board: &mut Board, id: RequestId) {
    if let Some(request) = board.requests.get_mut(&id) {
        request.stage = Stage::Dispatching;
    }
}

fn break_off(board: &mut Board, id: RequestId, relayed: bool) {
    board.counters.broken += 1;
    if let Some(key) = upstream_of(board, id) {
        upstream::note_failure(board, key);
    }
    if let Some(number) = board.requests[&id].ticket {
        once::note_loss(board, number);
    }
    let request = &board.requests[&id];
    let once = request.is_at_most_once();
    if relayed {
        let cost = request.cost;
        close(board, id, cost);
    } else if !once && may_retry(board, id) {
        if let Some(request) = board.requests.get_mut(&id) {
            request.may_have_run = true;
        }
        retry(board, id);
    } else {
        let reason = match request.target {
            Some(TargetKey::Instance(_)) if once => Reason::OwnerLost,
            _ => Reason::UpstreamFailed,
        };
        refuse(board, id, Refusal::unknown(reason));
    }
}

fn may_retry(board: &Board, id: RequestId) -> bool {
    let request = &board.requests[&id];
    request.attempts < board.settings.attempts
        && board.now() < request.deadline
        && board.retry_budget >= RETRY_COST_HUNDREDTHS
        && !request.is_forwarded()
}

fn retry(board: &mut Board, id: RequestId) {
    board.retry_budget -= RETRY_COST_HUNDREDTHS;
    board.counters.retried += 1;
    release_target(board, id);
    choose::choose(board, id);
}

fn upstream_of(board: &Board, id: RequestId) -> Option<UpstreamKey> {
    match board.requests.get(&id)?.target {
        Some(TargetKey::Upstream(key)) => Some(key),
        _ => None,
    }
}

/// Takes the request off its target's account.
pub(super) fn release_target(board: &mut Board, id: RequestId) {
    let key = upstream_of(board, id);
    if let Some(request) = board.requests.get_mut(&id) {
        request.target = None;
    }
    if let Some(upstream) = key.and_then(|k| board.upstreams.get_mut(k)) {
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
    }
}

/// Forgets a request; one that cannot have run costs nothing.
pub(crate) fn forget(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let spent = match request.stage {
        Stage::Running | Stage::Answering => request.cost,
        Stage::Waiting | Stage::Dispatching if request.may_have_run => request.cost,
        Stage::Waiting | Stage::Dispatching => 0,
    };
    close(board, id, spent);
}

/// Settles the tokens and takes the request off the board.
fn close(board: &mut Board, id: RequestId, spent: u64) {
    release_target(board, id);
    let Some(request) = board.requests.remove(&id) else {
        return;
    };
    if request.stage == Stage::Waiting
        && let Some(customer) = &request.customer
    {
        limit::stop_waiting(board, customer, id);
    }
    if let Some(reservation) = &request.reservation {
        limit::settle(board, reservation, spent);
    }
}
