//! A request's way, step by step: [`identify`], [`authorise`], [`reserve`], [`choose`],
//! [`dispatch`] and [`settle`]. Relaying the bytes between the last two is the node's.

mod authorise;
mod choose;
mod dispatch;
mod identify;
mod reserve;
mod settle;

use std::time::Duration;

use sesamebarrow_rules::{KeyDigest, RequestClass};
use smol_str::SmolStr;

use crate::board::{Board, InstanceKey, UpstreamKey};
use crate::event::{Action, Head, Origin, Outcome, RequestId};
use crate::limit::{self, Reservation};
use crate::once::{self, Admission};
use crate::refusal::{Reason, Refusal};

/// How far a request has come.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr, serde::Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Waits for tokens.
    Waiting,
    /// A connection to its target is being made; no byte has left.
    Dispatching,
    /// Bytes of it may have left.
    Running,
    /// Its answer is on the way to the caller.
    Answering,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKey {
    /// To an upstream.
    Upstream(UpstreamKey),
    /// To another instance.
    Instance(InstanceKey),
}

/// A request under way.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its head.
    pub head: Head,
    /// The customer; `None` on a route open to all.
    pub customer: Option<SmolStr>,
    /// The digest of the key that came with it, where it came from a caller.
    pub key: Option<KeyDigest>,
    /// How it may be treated.
    pub class: RequestClass,
    /// When its answer must have begun.
    pub deadline: Duration,
    /// How far it has come.
    pub stage: Stage,
    /// Tokens reserved for it here.
    pub reservation: Option<Reservation>,
    /// Tokens that it may cost.
    pub cost: u64,
    /// Number of the ticket, where this process owns it.
    pub ticket: Option<u64>,
    /// Where the attempt in hand goes.
    ///
    /// While it is an upstream, that upstream's `own` counts this request.
    pub target: Option<TargetKey>,
    /// Attempts so far.
    pub attempts: u32,
    /// Upstreams tried.
    pub tried: Vec<UpstreamKey>,
    /// Whether an earlier attempt broke off after bytes of it had left, so that the
    /// request may have run whatever becomes of the attempt in hand.
    pub may_have_run: bool,
    /// Whether the caller has its final answer or is gone, while the attempt goes on.
    pub detached: bool,
}

impl Request {
    /// Tells whether the request runs at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.class == RequestClass::NonIdempotent
    }

    /// Tells whether the request came from another instance.
    pub fn is_forwarded(&self) -> bool {
        matches!(self.head.origin, Origin::Instance { .. })
    }
}

/// Takes a request's head and carries the request as far as it goes at once.
pub(crate) fn handle_arrival(board: &mut Board, id: RequestId, head: Head) {
    match head.origin {
        Origin::Caller { .. } => board.counters.arrived += 1,
        Origin::Instance { .. } => board.counters.arrived_forwarded += 1,
    }
    let ticket = head.ticket.clone();
    match admit(board, id, head) {
        Ok(()) => {}
        Err(refusal) => {
            // Whether the ticket is this process's and unused was not looked at: an
            // earlier sending may have run.
            let refusal = match ticket {
                Some(_) => refusal.with_unknown_execution(),
                None => refusal,
            };
            say_refusal(board, id, refusal);
        }
    }
}

/// Identifies and authorises the request and takes it onto the board.
fn admit(board: &mut Board, id: RequestId, head: Head) -> Result<(), Refusal> {
    let caller = identify::identify(board, &head)?;
    authorise::authorise(board, &head, &caller)?;
    let mut request = Request {
        deadline: board.now() + head.time_left,
        cost: reserve::cost(board, &head),
        customer: caller.customer,
        key: caller.key,
        class: caller.class,
        head,
        stage: Stage::Waiting,
        reservation: None,
        ticket: None,
        target: None,
        attempts: 0,
        tried: Vec::new(),
        may_have_run: false,
        detached: false,
    };
    if !request.is_at_most_once() {
        // The key names no owner here; such a request may run anywhere.
        request.head.ticket = None;
        board.requests.insert(id, request);
        reserve::reserve(board, id);
        return Ok(());
    }
    take_ticketed(board, id, request);
    Ok(())
}

/// Takes a request that runs at most once; from here its refusals speak for themselves.
fn take_ticketed(board: &mut Board, id: RequestId, mut request: Request) {
    let customer = request.customer.clone().unwrap_or_default();
    let bearer = once::Bearer {
        customer: &customer,
        service: &request.head.service.clone(),
    };
    let target = (request.head.method.clone(), request.head.path.clone());
    let ticket = request.head.ticket.clone();
    match once::admit(board, &bearer, ticket.as_ref(), target) {
        Ok(Admission::Run(number)) => {
            request.ticket = Some(number);
            board.requests.insert(id, request);
            reserve::reserve(board, id);
        }
        Ok(Admission::HandTo(owner)) => {
            board.requests.insert(id, request);
            choose::choose_owner(board, id, &owner);
        }
        Ok(Admission::Replay(response)) => board.push_action(Action::Replay { id, response }),
        Err(refusal) => say_refusal(board, id, refusal),
    }
}

/// Goes on with a request whose tokens have come.
pub(crate) fn resume(board: &mut Board, id: RequestId, reservation: Reservation) {
    let Some(request) = board.requests.get_mut(&id) else {
        limit::settle(board, &reservation, 0);
        return;
    };
    request.reservation = Some(reservation);
    choose::choose(board, id);
}

/// Refuses a request whose tokens have not come.
pub(crate) fn refuse_over_rate(board: &mut Board, id: RequestId, retry: Duration) {
    board.counters.refused_rate += 1;
    refuse(
        board,
        id,
        Refusal::not_run(Reason::RateExceeded).with_retry_after(retry),
    );
}

/// Checks a request once more at the moment of sending.
pub(crate) fn handle_ready_to_send(board: &mut Board, id: RequestId) {
    dispatch::depart(board, id);
}

/// Takes the beginning of an answer; from here the deadline is met.
pub(crate) fn handle_response_started(board: &mut Board, id: RequestId) {
    if let Some(request) = board.requests.get_mut(&id)
        && request.stage == Stage::Running
    {
        request.stage = Stage::Answering;
    }
}

/// Takes the end of an attempt.
pub(crate) fn handle_attempt_end(board: &mut Board, id: RequestId, outcome: Outcome) {
    settle::settle(board, id, outcome);
}

/// Takes a caller's going away.
///
/// A request that runs at most once goes on if bytes of it may have left, so that its
/// answer can be kept. Before that nobody would send it.
pub(crate) fn handle_caller_disconnected(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get_mut(&id) else {
        return;
    };
    let left = matches!(request.stage, Stage::Running | Stage::Answering);
    if request.is_at_most_once() && left {
        request.detached = true;
        return;
    }
    if let Some(number) = request.ticket {
        once::note_refusal(board, number);
    }
    settle::forget(board, id);
}

/// Answers a request that is on the board with a refusal and forgets it.
///
/// Bytes of the request must not have left, unless the refusal says so.
pub(crate) fn refuse(board: &mut Board, id: RequestId, refusal: Refusal) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let refusal = match request.ticket {
        Some(number) => {
            if matches!(request.stage, Stage::Running | Stage::Answering) {
                once::note_loss(board, number);
            } else {
                // The ticket is used up, so that a late sending cannot make the
                // refusal untrue.
                once::note_refusal(board, number);
            }
            refusal
        }
        None if request.is_at_most_once() || request.may_have_run => {
            refusal.with_unknown_execution()
        }
        None => refusal,
    };
    pass_on(board, id, refusal);
}

/// Forgets a request and gives its caller, if it still waits, the refusal as it is.
fn pass_on(board: &mut Board, id: RequestId, refusal: Refusal) {
    let told = board.requests.get(&id).is_some_and(|r| r.detached);
    settle::forget(board, id);
    if !told {
        say_refusal(board, id, refusal);
    }
}

fn say_refusal(board: &mut Board, id: RequestId, refusal: Refusal) {
    board.counters.refused += 1;
    board.push_action(Action::Refuse { id, refusal });
}

/// Breaks off the requests whose key is no longer in force.
///
/// A request that runs at most once is let end: breaking it off would take nothing
/// back and leave its outcome unknown.
pub(crate) fn cancel_revoked(board: &mut Board) {
    let ids: Vec<RequestId> = board.requests.keys().copied().collect();
    for id in ids {
        let request = &board.requests[&id];
        if identify::is_in_force(board, request) {
            continue;
        }
        match request.stage {
            Stage::Running | Stage::Answering if request.is_at_most_once() => {}
            Stage::Running | Stage::Answering => {
                board.counters.cancelled += 1;
                settle::forget(board, id);
                board.push_action(Action::Cancel { id });
            }
            Stage::Waiting | Stage::Dispatching => {
                refuse(board, id, Refusal::not_run(Reason::BadKey));
            }
        }
    }
}

/// Gives up the requests whose deadline has passed.
pub(crate) fn expire(board: &mut Board) {
    let now = board.now();
    let late: Vec<RequestId> = board
        .requests
        .iter()
        .filter(|(_, r)| now >= r.deadline && !r.detached && r.stage != Stage::Answering)
        .map(|(id, _)| *id)
        .collect();
    for id in late {
        give_up(board, id);
    }
}

fn give_up(board: &mut Board, id: RequestId) {
    let request = &board.requests[&id];
    if request.stage != Stage::Running {
        refuse(board, id, Refusal::not_run(Reason::DeadlinePassed));
        return;
    }
    let refusal = Refusal::unknown(Reason::DeadlinePassed);
    if !request.is_at_most_once() {
        refuse(board, id, refusal);
        return;
    }
    // The attempt goes on, so that a late answer can be kept for its ticket.
    if let Some(request) = board.requests.get_mut(&id) {
        request.detached = true;
    }
    say_refusal(board, id, refusal);
}
