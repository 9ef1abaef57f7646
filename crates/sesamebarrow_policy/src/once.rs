//! At most once: requests that are not idempotent.
//!
//! Such a request carries a ticket that names the one process that may run it. That
//! process keeps what became of it in memory. Any other instance hands the request to
//! the owner or says that the outcome is unknown; nobody else ever runs it. When the
//! owner's process is gone, its tickets are dead for good.

mod ticket;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::board::Board;
use crate::event::StoredResponse;
use crate::refusal::{Execution, Reason, Refusal};

pub use ticket::{Scope, Ticket};

/// Time after which to ask again for a request that still runs.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// What became of a ticket's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It was taken in; no byte has left.
    Pending,
    /// It was handed to an upstream.
    Running,
    /// The whole answer came; `None` where it is no longer held.
    Done(Option<Arc<StoredResponse>>),
    /// It was handed to an upstream, and what became of it is not known.
    Unknown,
    /// It was refused before any byte left, and the caller was told that it did not run.
    Void,
}

/// The record of one ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What became of the request.
    pub state: State,
    /// Method and path of the first sending.
    pub target: (SmolStr, SmolStr),
    /// When the ticket's life ends; the record is kept until then.
    pub expires: Duration,
}

/// The records of all tickets that this process owns and has seen.
#[derive(Clone, Debug)]
pub struct Records {
    key: [u8; 32],
    /// Records by the ticket's number.
    pub by_number: BTreeMap<u64, Record>,
    /// Numbers of records with a kept answer, oldest first.
    kept: VecDeque<u64>,
    /// Bytes of kept answers; never above the setting after an event.
    kept_bytes: usize,
}

impl Records {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self {
            key,
            by_number: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
        }
    }
}

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// This process owns it, and it has not been seen: go on.
    Run(u64),
    /// Another process owns it.
    Forward(SmolStr),
    /// Answer with the kept answer.
    Replay(Arc<StoredResponse>),
}

/// Gives out a ticket that this process owns.
pub(crate) fn issue(board: &mut Board, customer: &str, service: &str) -> SmolStr {
    use rand::RngExt;
    let ticket = Ticket {
        owner: board.me.name.clone(),
        incarnation: board.me.incarnation,
        issued: board.now(),
        number: board.rng.random(),
    };
    ticket.sign(&board.records.key, &Scope { customer, service })
}

/// Takes in a request that is not idempotent.
///
/// A refusal of a ticket that another process owns never says that the request did not
/// run, since an earlier sending may have.
pub(crate) fn admit(
    board: &mut Board,
    scope: &Scope<'_>,
    ticket: Option<&SmolStr>,
    target: (SmolStr, SmolStr),
) -> Result<Admission, Refusal> {
    let Some(text) = ticket else {
        return Err(needs_ticket(board, scope, Reason::NeedsTicket));
    };
    let Some(ticket) = Ticket::verify(text, &board.records.key, scope) else {
        return Err(needs_ticket(board, scope, Reason::BadTicket));
    };
    if ticket.owner != board.me.name {
        return Ok(Admission::Forward(ticket.owner));
    }
    if ticket.incarnation != board.me.incarnation {
        return Err(Refusal::unknown(Reason::OwnerLost));
    }
    let expires = ticket.issued + board.settings.ticket_lifetime;
    if board.now() >= expires {
        return Err(Refusal::unknown(Reason::TicketExpired));
    }
    if let Some(record) = board.records.by_number.get(&ticket.number) {
        return repeat(record, &target);
    }
    if board.records.by_number.len() >= board.settings.max_ticket_records {
        // Nothing is remembered of it, so the ticket stays good for a later sending,
        // which is why it must not be said that the request will not run.
        return Err(Refusal::unknown(Reason::Overloaded).with_retry_after(ASK_AGAIN));
    }
    let record = Record {
        state: State::Pending,
        target,
        expires,
    };
    board.records.by_number.insert(ticket.number, record);
    Ok(Admission::Run(ticket.number))
}

/// Refuses a request without a usable ticket; it never ran, since only a ticket lets it.
fn needs_ticket(board: &mut Board, scope: &Scope<'_>, reason: Reason) -> Refusal {
    let mut refusal = Refusal::not_run(reason).with_retry_after(Duration::ZERO);
    refusal.ticket = Some(issue(board, scope.customer, scope.service));
    refusal
}

/// Answers a repeated sending by the record.
fn repeat(record: &Record, target: &(SmolStr, SmolStr)) -> Result<Admission, Refusal> {
    if record.target != *target {
        return Err(Refusal::unknown(Reason::TicketReused));
    }
    match &record.state {
        State::Pending | State::Running => {
            Err(Refusal::unknown(Reason::StillRunning).with_retry_after(ASK_AGAIN))
        }
        State::Done(Some(answer)) => Ok(Admission::Replay(answer.clone())),
        State::Done(None) => Err(Refusal {
            execution: Execution::Completed,
            ..Refusal::not_run(Reason::AnswerGone)
        }),
        State::Unknown => Err(Refusal::unknown(Reason::UpstreamFailed)),
        State::Void => Err(Refusal::not_run(Reason::TicketVoid)),
    }
}

/// Notes that the request leaves for an upstream.
pub(crate) fn mark_running(board: &mut Board, number: u64) {
    set(board, number, State::Running);
}

/// Notes that the request was refused before any byte of it left.
pub(crate) fn mark_void(board: &mut Board, number: u64) {
    set(board, number, State::Void);
}

/// Notes that the request broke off after bytes of it had left.
pub(crate) fn mark_unknown(board: &mut Board, number: u64) {
    set(board, number, State::Unknown);
}

/// Notes the whole answer.
pub(crate) fn record_answer(board: &mut Board, number: u64, answer: Option<Arc<StoredResponse>>) {
    let size = answer.as_ref().map_or(0, |a| a.body.len());
    set(board, number, State::Done(answer));
    if size > 0 {
        board.records.kept.push_back(number);
        board.records.kept_bytes += size;
    }
    while board.records.kept_bytes > board.settings.max_kept_answer_bytes {
        let Some(oldest) = board.records.kept.pop_front() else {
            return;
        };
        release_answer(&mut board.records, oldest);
    }
}

fn release_answer(records: &mut Records, number: u64) {
    let Some(record) = records.by_number.get_mut(&number) else {
        return;
    };
    if let State::Done(answer) = &mut record.state {
        let size = answer.take().map_or(0, |a| a.body.len());
        records.kept_bytes -= size;
    }
}

fn set(board: &mut Board, number: u64, state: State) {
    if let Some(record) = board.records.by_number.get_mut(&number) {
        record.state = state;
    }
}

/// Forgets records whose tickets have expired.
pub(crate) fn expire(board: &mut Board) {
    let now = board.now();
    let records = &mut board.records;
    let over = |record: &Record| {
        let open = matches!(record.state, State::Pending | State::Running);
        now >= record.expires && !open
    };
    let gone: Vec<u64> = records
        .by_number
        .iter()
        .filter(|(_, r)| over(r))
        .map(|(number, _)| *number)
        .collect();
    for number in gone {
        release_answer(records, number);
        records.by_number.remove(&number);
    }
    records
        .kept
        .retain(|number| records.by_number.contains_key(number));
}
