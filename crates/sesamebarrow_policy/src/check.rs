//! Invariants of the board, checked in tests and randomised simulations.

use std::collections::BTreeMap;

use crate::at_most_once::RecordState;
use crate::board::{Board, UpstreamKey};
use crate::pipeline::{Stage, TargetKey};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invariant violated: {0}")]
pub struct Violation(pub String);

/// Checks all invariants of the board.
pub fn check(board: &Board) -> Result<(), Violation> {
    check_shares(board)?;
    check_in_flight(board)?;
    check_tickets(board)?;
    check_hops(board)?;
    check_name_indexes(board)
}

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<(), Violation> {
    if holds {
        Ok(())
    } else {
        Err(Violation(message()))
    }
}

/// Checks that no share holds more tokens than its burst less what it has lent, and that
/// no loan is overspent.
fn check_shares(board: &Board) -> Result<(), Violation> {
    for share in board.limits.shares.values() {
        let total = share.micro_tokens + share.refundable_total();
        let limit = share.effective_burst().saturating_sub(share.lent_total());
        ensure(total <= limit, || {
            format!(
                "share of {} holds {total} microtokens, but at most {limit} are allowed",
                share.name
            )
        })?;
        for loan in &share.borrowed {
            ensure(
                loan.reported <= loan.spent && loan.spent <= loan.amount,
                || format!("loan {} of {} is overspent", loan.id, share.name),
            )?;
        }
    }
    Ok(())
}

/// Checks that each upstream counts exactly the requests whose target it is.
fn check_in_flight(board: &Board) -> Result<(), Violation> {
    let mut counts: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
    for request in board.requests.values() {
        if let Some(TargetKey::Upstream(key)) = request.target {
            *counts.entry(key).or_default() += 1;
        }
    }
    for (key, upstream) in &board.upstreams {
        let counted = counts.get(&key).copied().unwrap_or(0);
        ensure(upstream.in_flight == counted, || {
            format!(
                "upstream {} counts {} requests in flight, but {counted} target it",
                upstream.name, upstream.in_flight
            )
        })?;
    }
    Ok(())
}

/// Checks that a request that must run at most once goes to an upstream only from the
/// owner of its ticket, and that the record of a ticket agrees with its request.
fn check_tickets(board: &Board) -> Result<(), Violation> {
    for (id, request) in &board.requests {
        let to_upstream = matches!(request.target, Some(TargetKey::Upstream(_)));
        let may_run_here = request.owned_ticket.is_some() || !request.is_at_most_once();
        ensure(may_run_here || !to_upstream, || {
            format!(
                "request {} targets an upstream, but this process does not own its ticket",
                id.0
            )
        })?;
        let Some(number) = request.owned_ticket else {
            continue;
        };
        let Some(record) = board.records.by_number.get(&number) else {
            return Err(Violation(format!(
                "request {} owns a ticket that has no record",
                id.0
            )));
        };
        let agrees = match record.state {
            RecordState::Pending => matches!(request.stage, Stage::Waiting | Stage::Dispatching),
            RecordState::Running => true,
            RecordState::Completed(_) | RecordState::Unknown | RecordState::Void => false,
        };
        ensure(agrees, || {
            format!(
                "request {} is in stage {}, but the record of its ticket is {:?}",
                id.0, request.stage, record.state
            )
        })?;
    }
    Ok(())
}

/// Checks that no forwarded request is forwarded again.
fn check_hops(board: &Board) -> Result<(), Violation> {
    for (id, request) in &board.requests {
        let is_forwarded_on = matches!(request.target, Some(TargetKey::Instance(_)));
        ensure(!(is_forwarded_on && request.is_forwarded()), || {
            format!("request {} would be forwarded a second time", id.0)
        })?;
    }
    Ok(())
}

/// Checks that each table and its index by name have the same size.
fn check_name_indexes(board: &Board) -> Result<(), Violation> {
    let instances_match = board.instances.len() == board.instances_by_name.len();
    let upstreams_match = board.upstreams.len() == board.upstreams_by_name.len();
    let customers_match = board.limits.shares.len() == board.limits.by_name.len();
    ensure(
        instances_match && upstreams_match && customers_match,
        || "the size of an index by name differs from its table".to_owned(),
    )
}
