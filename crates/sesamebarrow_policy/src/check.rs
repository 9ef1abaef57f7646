//! Invariants over the board, for tests and random runs.

use std::collections::BTreeMap;

use crate::board::{Board, UpstreamKey};
use crate::once::State;
use crate::pipeline::{Stage, TargetKey};

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("broken invariant: {0}")]
pub struct Violation(pub String);

/// Checks every invariant of the board.
pub fn check(board: &Board) -> Result<(), Violation> {
    check_shares(board)?;
    check_own_counts(board)?;
    check_tickets(board)?;
    check_hops(board)?;
    check_names(board)
}

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<(), Violation> {
    if holds {
        Ok(())
    } else {
        Err(Violation(message()))
    }
}

/// No share holds more than its burst.
fn check_shares(board: &Board) -> Result<(), Violation> {
    for share in board.limits.shares.values() {
        let total = share.tokens + share.held();
        let room = share.burst_now().saturating_sub(share.lent_total());
        ensure(total <= room, || {
            format!("share of {}: {total} in a room of {room}", share.name)
        })?;
        for loan in &share.loans {
            ensure(
                loan.reported <= loan.spent && loan.spent <= loan.amount,
                || format!("loan {} of {} is overspent", loan.id, share.name),
            )?;
        }
    }
    Ok(())
}

/// Each upstream counts the requests whose target it is.
fn check_own_counts(board: &Board) -> Result<(), Violation> {
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
                "{} counts {} requests, {counted} are there",
                upstream.name, upstream.in_flight
            )
        })?;
    }
    Ok(())
}

/// A request that runs at most once goes to an upstream only at its ticket's owner, and
/// the ticket's record agrees with the request that is under way for it.
fn check_tickets(board: &Board) -> Result<(), Violation> {
    for (id, request) in &board.requests {
        let to_upstream = matches!(request.target, Some(TargetKey::Upstream(_)));
        let owned = request.owned_ticket.is_some() || !request.is_at_most_once();
        ensure(owned || !to_upstream, || {
            format!("request {} goes to an upstream without its owner", id.0)
        })?;
        let Some(number) = request.owned_ticket else {
            continue;
        };
        let Some(record) = board.records.by_number.get(&number) else {
            return Err(Violation(format!("request {} has no record", id.0)));
        };
        let agrees = match record.state {
            State::Pending => matches!(request.stage, Stage::Waiting | Stage::Dispatching),
            State::Running => true,
            State::Done(_) | State::Lost | State::Void => false,
        };
        ensure(agrees, || {
            format!(
                "request {} is {} in {:?}",
                id.0, request.stage, record.state
            )
        })?;
    }
    Ok(())
}

/// No request makes a second hop.
fn check_hops(board: &Board) -> Result<(), Violation> {
    for (id, request) in &board.requests {
        let handed_on = matches!(request.target, Some(TargetKey::Instance(_)));
        ensure(!(handed_on && request.is_forwarded()), || {
            format!("request {} would make a second hop", id.0)
        })?;
    }
    Ok(())
}

/// Tables and their indexes hold the same names.
fn check_names(board: &Board) -> Result<(), Violation> {
    let instances = board.instances.len() == board.instances_by_name.len();
    let upstreams = board.upstreams.len() == board.upstreams_by_name.len();
    let customers = board.limits.shares.len() == board.limits.names.len();
    ensure(instances && upstreams && customers, || {
        "an index differs from its table".to_owned()
    })
}
