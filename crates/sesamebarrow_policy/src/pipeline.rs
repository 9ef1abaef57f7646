//! The request pipeline: `identify`, `authorise`, `reserve`, `choose`,
//! `dispatch` and `settle`. Between the last two, the driver relays the bytes.

mod authorise;
mod choose;
mod dispatch;
mod identify;
mod reserve;
mod settle;

use std::time::Duration;

use sesamebarrow_routing::quarantine::Suspects;
use sesamebarrow_rules::{KeyDigest, RequestClass};
use smol_str::SmolStr;

use crate::at_most_once::{self, Admission};
use crate::board::{Board, InstanceKey, UpstreamKey};
use crate::event::{Action, Head, Origin, Outcome, RequestId};
use crate::limit::{self, Reservation};
use crate::quarantine;
use crate::refusal::{Reason, Refusal};

/// Stage of a request in the pipeline.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr, serde::Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The request waits for rate-limit tokens.
    Waiting,
    /// The driver is connecting to the target. No byte of the request has been sent in this
    /// attempt.
    Dispatching,
    /// Bytes of the request may have been sent.
    Running,
    /// The response is being sent to the caller.
    Answering,
}

/// Target of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKey {
    /// An upstream.
    Upstream(UpstreamKey),
    /// Another instance.
    Instance(InstanceKey),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// Head of the request.
    pub head: Head,
    /// Customer; `None` for a request without a key, which only open routes accept.
    pub customer: Option<SmolStr>,
    /// Digest of the API key, if the request came from a caller with a key.
    pub key: Option<KeyDigest>,
    /// Class of the request, which decides whether it may be retried.
    pub class: RequestClass,
    /// Time by which the response must have started.
    pub deadline: Duration,
    /// Current stage.
    pub stage: Stage,
    /// Tokens that this instance reserved for it.
    pub reservation: Option<Reservation>,
    /// Tokens that are reserved for it: its fixed cost, or an estimate.
    pub cost_tokens: u64,
    /// Number of its ticket, if this process owns the ticket.
    pub owned_ticket: Option<u64>,
    /// Target of the current attempt.
    ///
    /// While the target is an upstream, `in_flight` of that upstream counts this request.
    pub target: Option<TargetKey>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Upstreams that were tried.
    pub tried_upstreams: Vec<UpstreamKey>,
    /// What is blamed if an upstream crashes; empty before the body was read.
    pub suspects: Suspects,
    /// Number of attempts under which an upstream crashed.
    pub crashes: u32,
    /// Whether it may be sent once although it is quarantined.
    pub is_trial: bool,
    /// Whether an earlier attempt was interrupted after bytes of the request were sent.
    /// The request may then have run, whatever the result of the current attempt.
    pub may_have_run: bool,
    /// Whether the attempt continues although the caller has received its final response
    /// or has disconnected.
    pub detached: bool,
}

impl Request {
    /// Returns whether the request must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.class == RequestClass::NonIdempotent
    }

    /// Returns whether the request came from another instance.
    pub fn is_forwarded(&self) -> bool {
        matches!(self.head.origin, Origin::Instance { .. })
    }
}

/// Admits a request and advances it until it has to wait for an event.
pub(crate) fn handle_arrival(board: &mut Board, id: RequestId, head: Head) {
    match head.origin {
        Origin::Caller { .. } => board.counters.arrived += 1,
        Origin::Instance { .. } => board.counters.arrived_forwarded += 1,
    }
    let ticket = head.ticket.clone();
    match admit_request(board, id, head) {
        Ok(()) => {}
        Err(refusal) => {
            // It has not been checked who owns the ticket and whether it was used before, so
            // an earlier request with the same ticket may have run.
            let refusal = match ticket {
                Some(_) => refusal.with_unknown_execution(),
                None => refusal,
            };
            send_refusal(board, id, refusal);
        }
    }
}

/// Identifies and authorises a request and adds it to the board.
fn admit_request(board: &mut Board, id: RequestId, head: Head) -> Result<(), Refusal> {
    let identification = identify::identify(board, &head)?;
    authorise::authorise(board, &head, &identification)?;
    let mut request = Request {
        deadline: board.now() + head.time_left,
        cost_tokens: reserve::cost_tokens(board, &head),
        customer: identification.customer,
        key: identification.key,
        class: identification.class,
        head,
        stage: Stage::Waiting,
        reservation: None,
        owned_ticket: None,
        target: None,
        attempts: 0,
        tried_upstreams: Vec::new(),
        suspects: Suspects::default(),
        crashes: 0,
        is_trial: false,
        may_have_run: false,
        detached: false,
    };
    if !request.is_at_most_once() {
        // A request that may run more than once has no owner, so its ticket is ignored.
        request.head.ticket = None;
        board.requests.insert(id, request);
        reserve::reserve(board, id);
        return Ok(());
    }
    admit_ticketed(board, id, request);
    Ok(())
}

/// Admits a request that must run at most once. It sends its refusals itself, because they
/// already state whether the request may have run, and `handle_arrival` would change them.
fn admit_ticketed(board: &mut Board, id: RequestId, mut request: Request) {
    let customer = request.customer.clone().unwrap_or_default();
    let scope = at_most_once::Scope {
        customer: &customer,
        service: &request.head.service.clone(),
    };
    let method_and_path = (request.head.method.clone(), request.head.path.clone());
    let ticket = request.head.ticket.clone();
    match at_most_once::admit(board, &scope, ticket.as_ref(), method_and_path) {
        Ok(Admission::Run(number)) => {
            request.owned_ticket = Some(number);
            board.requests.insert(id, request);
            reserve::reserve(board, id);
        }
        Ok(Admission::Forward(owner)) => {
            board.requests.insert(id, request);
            choose::forward_to_owner(board, id, &owner);
        }
        Ok(Admission::Replay(response)) => board.push_action(Action::Replay { id, response }),
        Err(refusal) => send_refusal(board, id, refusal),
    }
}

/// Continues with a request whose tokens are reserved.
pub(crate) fn resume(board: &mut Board, id: RequestId, reservation: Reservation) {
    let Some(request) = board.requests.get_mut(&id) else {
        limit::settle(board, &reservation, 0);
        return;
    };
    request.reservation = Some(reservation);
    choose::choose(board, id);
}

/// Refuses a request because its customer exceeded its rate.
pub(crate) fn refuse_over_rate(board: &mut Board, id: RequestId, retry_after: Duration) {
    board.counters.refused_rate += 1;
    refuse(
        board,
        id,
        Refusal::not_run(Reason::RateExceeded).with_retry_after(retry_after),
    );
}

/// Checks a request again immediately before it is sent, then sends it if it still may be.
pub(crate) fn handle_ready_to_send(board: &mut Board, id: RequestId, fingerprint: u64) {
    quarantine::identify(board, id, fingerprint);
    dispatch::confirm_send(board, id);
}

/// Records that the response has started, which meets the deadline.
pub(crate) fn handle_response_started(board: &mut Board, id: RequestId) {
    if let Some(request) = board.requests.get_mut(&id)
        && request.stage == Stage::Running
    {
        request.stage = Stage::Answering;
    }
}

/// Handles the result of an attempt.
pub(crate) fn handle_attempt_end(board: &mut Board, id: RequestId, outcome: Outcome) {
    settle::finish_attempt(board, id, outcome);
}

/// Handles the disconnection of a caller.
///
/// A request that must run at most once continues if bytes of it may have been sent, so
/// that its response can be stored. Otherwise the request is dropped and never sent.
pub(crate) fn handle_caller_disconnected(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get_mut(&id) else {
        return;
    };
    let was_sent = matches!(request.stage, Stage::Running | Stage::Answering);
    if request.is_at_most_once() && was_sent {
        request.detached = true;
        return;
    }
    if let Some(number) = request.owned_ticket {
        at_most_once::mark_void(board, number);
    }
    settle::abandon_request(board, id);
}

/// Refuses a request that is on the board and removes it.
///
/// If bytes of the request may have been sent in the current attempt, `refusal` must already
/// say so. Earlier attempts, and tickets that another process owns, are accounted for here.
pub(crate) fn refuse(board: &mut Board, id: RequestId, refusal: Refusal) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let refusal = match request.owned_ticket {
        Some(number) => {
            if matches!(request.stage, Stage::Running | Stage::Answering) {
                at_most_once::mark_unknown(board, number);
            } else {
                // The ticket becomes unusable. Otherwise a delayed duplicate could run
                // after the refusal has said that the request did not run.
                at_most_once::mark_void(board, number);
            }
            refusal
        }
        None if request.is_at_most_once() || request.may_have_run => {
            refusal.with_unknown_execution()
        }
        None => refusal,
    };
    end_with_refusal(board, id, refusal);
}

/// Removes a request and sends the refusal unchanged, unless its caller has already been
/// answered or has disconnected.
fn end_with_refusal(board: &mut Board, id: RequestId, refusal: Refusal) {
    let is_detached = board.requests.get(&id).is_some_and(|r| r.detached);
    settle::abandon_request(board, id);
    if !is_detached {
        send_refusal(board, id, refusal);
    }
}

fn send_refusal(board: &mut Board, id: RequestId, refusal: Refusal) {
    board.counters.refused += 1;
    board.push_action(Action::Refuse { id, refusal });
}

/// Ends the requests whose key has been revoked. Those whose response has started are
/// cancelled, the others refused.
///
/// A request that must run at most once and may have been sent continues. Cancelling it
/// would undo nothing and leave its outcome unknown.
pub(crate) fn cancel_revoked(board: &mut Board) {
    let ids: Vec<RequestId> = board.requests.keys().copied().collect();
    for id in ids {
        let request = &board.requests[&id];
        if identify::is_key_valid(board, request) {
            continue;
        }
        match request.stage {
            Stage::Running | Stage::Answering if request.is_at_most_once() => {}
            Stage::Running => {
                board.counters.cancelled += 1;
                refuse(board, id, Refusal::unknown(Reason::BadKey));
            }
            Stage::Answering => {
                board.counters.cancelled += 1;
                settle::abandon_request(board, id);
                board.push_action(Action::Cancel { id });
            }
            Stage::Waiting | Stage::Dispatching => {
                refuse(board, id, Refusal::not_run(Reason::BadKey));
            }
        }
    }
}

/// Ends the requests whose deadline has passed.
pub(crate) fn expire(board: &mut Board) {
    let now = board.now();
    let expired: Vec<RequestId> = board
        .requests
        .iter()
        .filter(|(_, r)| now >= r.deadline && !r.detached && r.stage != Stage::Answering)
        .map(|(id, _)| *id)
        .collect();
    for id in expired {
        give_up(board, id, Refusal::not_run(Reason::DeadlinePassed));
    }
}

/// Refuses the requests whose response has not started, since the process is about to end.
pub(crate) fn refuse_remaining(board: &mut Board) {
    board.refuses_all = true;
    let remaining: Vec<RequestId> = board
        .requests
        .iter()
        .filter(|(_, r)| !r.detached && r.stage != Stage::Answering)
        .map(|(id, _)| *id)
        .collect();
    let refusal =
        Refusal::not_run(Reason::Draining).with_retry_after(board.settings.recovery_timeout);
    for id in remaining {
        give_up(board, id, refusal.clone());
    }
}

/// Refuses a request whose response has not started. The refusal says that the request may
/// have run if bytes of it may have been sent.
fn give_up(board: &mut Board, id: RequestId, refusal: Refusal) {
    let request = &board.requests[&id];
    if request.stage != Stage::Running {
        refuse(board, id, refusal);
        return;
    }
    let refusal = refusal.with_unknown_execution();
    if !request.is_at_most_once() {
        refuse(board, id, refusal);
        return;
    }
    // The attempt continues, so that a late response can be stored for its ticket.
    if let Some(request) = board.requests.get_mut(&id) {
        request.detached = true;
    }
    send_refusal(board, id, refusal);
}
