//! The end of an attempt: a retry, the final response, and the settlement of tokens.

use std::sync::Arc;

use super::{Stage, TargetKey, choose, end_with_refusal, refuse};
use crate::board::{Board, UpstreamKey};
use crate::event::{Outcome, RequestId, StoredResponse};
use crate::refusal::{Execution, Reason, Refusal};
use crate::{at_most_once, limit, quarantine, upstream};

/// Retry budget that one retry consumes, in hundredths of a retry.
const RETRY_COST_HUNDREDTHS: u32 = 100;

/// Maximum retry budget, in hundredths of a retry.
const MAX_RETRY_BUDGET_HUNDREDTHS: u32 = 100 * RETRY_COST_HUNDREDTHS;

/// Handles the result of an attempt.
pub(super) fn finish_attempt(board: &mut Board, id: RequestId, outcome: Outcome) {
    if !board.requests.contains_key(&id) {
        return;
    }
    match outcome {
        Outcome::Completed {
            tokens,
            response,
            is_server_error,
        } => {
            if !is_server_error {
                quarantine::record_answer(board, id);
            }
            handle_completion(board, id, tokens, response);
        }
        Outcome::NotSent => handle_unsent(board, id),
        Outcome::Refused(refusal) => handle_refusal(board, id, refusal),
        Outcome::Interrupted { relayed, crashed } => {
            if crashed {
                quarantine::record_crash(board, id);
            }
            handle_interruption(board, id, relayed);
        }
    }
}

fn handle_completion(
    board: &mut Board,
    id: RequestId,
    tokens: Option<u64>,
    response: Option<Arc<StoredResponse>>,
) {
    board.counters.completed += 1;
    let earned_budget = board.settings.retry_budget_percent;
    board.retry_budget_hundredths =
        (board.retry_budget_hundredths + earned_budget).min(MAX_RETRY_BUDGET_HUNDREDTHS);
    let cost_tokens = board.requests[&id].cost_tokens;
    if let Some(key) = upstream_of(board, id) {
        upstream::record_success(board, key);
    }
    if let Some(number) = board.requests[&id].owned_ticket {
        at_most_once::record_response(board, number, response);
    }
    remove_and_charge(board, id, tokens.unwrap_or(cost_tokens));
}

/// Handles a refusal by the instance to which the request was forwarded.
fn handle_refusal(board: &mut Board, id: RequestId, refusal: Refusal) {
    if refusal.execution == Execution::NotRun {
        mark_unsent(board, id);
    }
    let is_retryable =
        refusal.execution == Execution::NotRun && !board.requests[&id].is_at_most_once();
    if is_retryable && may_retry(board, id) {
        retry(board, id);
    } else if board.requests[&id].may_have_run {
        end_with_refusal(board, id, refusal.with_unknown_execution());
    } else {
        end_with_refusal(board, id, refusal);
    }
}

/// Handles an attempt of which no byte can have reached the target.
fn handle_unsent(board: &mut Board, id: RequestId) {
    if let Some(key) = upstream_of(board, id) {
        upstream::record_failure(board, key);
    }
    mark_unsent(board, id);
    let request = &board.requests[&id];
    let was_forwarded = matches!(request.target, Some(TargetKey::Instance(_)));
    if request.is_at_most_once() && was_forwarded {
        // Only the owner of the ticket may run the request, and an earlier request with
        // the same ticket may have reached it.
        end_with_refusal(board, id, Refusal::unknown(Reason::OwnerLost));
    } else if may_retry(board, id) {
        retry(board, id);
    } else {
        let retry_after = board.settings.read_backoff;
        refuse(
            board,
            id,
            Refusal::not_run(Reason::UpstreamFailed).with_retry_after(retry_after),
        );
    }
}

/// Marks a request as not sent, after an attempt that did not run.
fn mark_unsent(board: &mut Board, id: RequestId) {
    if let Some(request) = board.requests.get_mut(&id) {
        request.stage = Stage::Dispatching;
    }
}

fn handle_interruption(board: &mut Board, id: RequestId, relayed: bool) {
    board.counters.broken += 1;
    if let Some(key) = upstream_of(board, id) {
        upstream::record_failure(board, key);
    }
    if let Some(number) = board.requests[&id].owned_ticket {
        at_most_once::mark_unknown(board, number);
    }
    let request = &board.requests[&id];
    let at_most_once = request.is_at_most_once();
    if relayed {
        let cost_tokens = request.cost_tokens;
        remove_and_charge(board, id, cost_tokens);
    } else if !at_most_once && may_retry(board, id) {
        if let Some(request) = board.requests.get_mut(&id) {
            request.may_have_run = true;
        }
        retry(board, id);
    } else {
        let reason = match request.target {
            Some(TargetKey::Instance(_)) if at_most_once => Reason::OwnerLost,
            _ => Reason::UpstreamFailed,
        };
        refuse(board, id, Refusal::unknown(reason));
    }
}

fn may_retry(board: &Board, id: RequestId) -> bool {
    let request = &board.requests[&id];
    request.attempts < board.settings.max_attempts
        && board.now() < request.deadline
        && board.retry_budget_hundredths >= RETRY_COST_HUNDREDTHS
        && !request.is_forwarded()
        && quarantine::may_repeat(board, request)
}

fn retry(board: &mut Board, id: RequestId) {
    board.retry_budget_hundredths -= RETRY_COST_HUNDREDTHS;
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

/// Clears the target of a request and releases its place at the upstream.
pub(super) fn release_target(board: &mut Board, id: RequestId) {
    let key = upstream_of(board, id);
    if let Some(request) = board.requests.get_mut(&id) {
        request.target = None;
    }
    if let Some(upstream) = key.and_then(|k| board.upstreams.get_mut(k)) {
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
    }
}

/// Removes a request and charges its tokens. A request that cannot have run costs nothing.
pub(crate) fn abandon_request(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let spent_tokens = match request.stage {
        Stage::Running | Stage::Answering => request.cost_tokens,
        Stage::Waiting | Stage::Dispatching if request.may_have_run => request.cost_tokens,
        Stage::Waiting | Stage::Dispatching => 0,
    };
    remove_and_charge(board, id, spent_tokens);
}

/// Removes a request from the board and settles its reserved tokens.
fn remove_and_charge(board: &mut Board, id: RequestId, spent_tokens: u64) {
    release_target(board, id);
    let Some(request) = board.requests.remove(&id) else {
        return;
    };
    if request.stage == Stage::Waiting
        && let Some(customer) = &request.customer
    {
        limit::cancel_waiting(board, customer, id);
    }
    if let Some(reservation) = &request.reservation {
        limit::settle(board, reservation, spent_tokens);
    }
    let is_unsent = matches!(request.stage, Stage::Waiting | Stage::Dispatching);
    if request.is_trial && is_unsent && !request.may_have_run {
        quarantine::take_back_trial(board, &request.suspects);
    }
}
