//! At-most-once execution of requests that are not idempotent.
//!
//! Such a request carries a ticket that names its owner, the one process that may run it.
//! The owner keeps the outcome of the request in memory. Any other instance forwards the
//! request to the owner, or responds that the outcome is unknown; no other process ever
//! runs it. When the owner's process has ended, its tickets are permanently invalid.

mod ticket;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::board::Board;
use crate::event::StoredResponse;
use crate::refusal::{Execution, Reason, Refusal};

pub use ticket::{Scope, Ticket};

/// Retry time given to a caller whose request is still running, or cannot be recorded yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of the request of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The request was admitted; no byte of it has been sent.
    Pending,
    /// The driver was told to send the request to an upstream. The state stays while an
    /// attempt that sent nothing is retried.
    Running,
    /// The whole response was received; `None` if it was not stored or has been discarded.
    Completed(Option<Arc<StoredResponse>>),
    /// The request was sent to an upstream, and its outcome is not known.
    Unknown,
    /// The request was refused, or its caller disconnected, before any byte of it was sent.
    /// No request with this ticket will ever run.
    Void,
}

/// The record of one ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// State of the request.
    pub state: RecordState,
    /// Method and path of the first request with this ticket.
    pub method_and_path: (SmolStr, SmolStr),
    /// When the ticket expires. The record is kept at least until then.
    pub expires: Duration,
}

/// Records of the tickets that this process owns and has received.
#[derive(Clone, Debug)]
pub struct Records {
    /// Key under which tickets are signed, the same in the whole fleet.
    key: [u8; 32],
    /// Records by the ticket's number.
    pub by_number: BTreeMap<u64, Record>,
    /// Numbers of the tickets whose responses are stored, oldest first.
    stored_responses: VecDeque<u64>,
    /// Total bytes of stored responses. After each event it is within the limit of the
    /// settings.
    stored_bytes: usize,
}

impl Records {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self {
            key,
            by_number: BTreeMap::new(),
            stored_responses: VecDeque::new(),
            stored_bytes: 0,
        }
    }
}

/// How to proceed with a request that carries a valid ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Run the request: this process owns the ticket and receives it for the first time.
    Run(u64),
    /// Forward the request to the instance that owns the ticket.
    Forward(SmolStr),
    /// Reply with the stored response.
    Replay(Arc<StoredResponse>),
}

/// Issues a ticket that this process owns.
pub(crate) fn issue(board: &mut Board, customer: &str, service: &str) -> SmolStr {
    use rand::RngExt;
    let ticket = Ticket {
        owner: board.identity.name.clone(),
        incarnation: board.identity.incarnation,
        issued: board.now(),
        number: board.rng.random(),
    };
    ticket.sign(&board.records.key, &Scope { customer, service })
}

/// Decides how to proceed with a request that is not idempotent.
///
/// If another process owns the ticket, a refusal never says that the request did not run,
/// because an earlier attempt with the ticket may have run.
pub(crate) fn admit(
    board: &mut Board,
    scope: &Scope<'_>,
    ticket: Option<&SmolStr>,
    method_and_path: (SmolStr, SmolStr),
) -> Result<Admission, Refusal> {
    let Some(text) = ticket else {
        return Err(refuse_with_ticket(board, scope, Reason::NeedsTicket));
    };
    let Some(ticket) = Ticket::verify(text, &board.records.key, scope) else {
        return Err(refuse_with_ticket(board, scope, Reason::BadTicket));
    };
    if ticket.owner != board.identity.name {
        return Ok(Admission::Forward(ticket.owner));
    }
    if ticket.incarnation != board.identity.incarnation {
        return Err(Refusal::unknown(Reason::OwnerLost));
    }
    let expires = ticket.issued + board.settings.ticket_lifetime;
    if board.now() >= expires {
        return Err(Refusal::unknown(Reason::TicketExpired));
    }
    if let Some(record) = board.records.by_number.get(&ticket.number) {
        return handle_repeated(record, &method_and_path);
    }
    if board.records.by_number.len() >= board.settings.max_ticket_records {
        // No record is kept, so the ticket stays valid for a later attempt. The refusal must
        // therefore not say that the request will not run.
        return Err(Refusal::unknown(Reason::Overloaded).with_retry_after(RETRY_AFTER));
    }
    let record = Record {
        state: RecordState::Pending,
        method_and_path,
        expires,
    };
    board.records.by_number.insert(ticket.number, record);
    Ok(Admission::Run(ticket.number))
}

/// Refuses a request without a valid ticket and issues a new ticket. Such a request never
/// ran, because requests run only with a valid ticket.
fn refuse_with_ticket(board: &mut Board, scope: &Scope<'_>, reason: Reason) -> Refusal {
    let mut refusal = Refusal::not_run(reason).with_retry_after(Duration::ZERO);
    refusal.ticket = Some(issue(board, scope.customer, scope.service));
    refusal
}

/// Decides how to proceed with a repeated request from its record.
fn handle_repeated(
    record: &Record,
    method_and_path: &(SmolStr, SmolStr),
) -> Result<Admission, Refusal> {
    if record.method_and_path != *method_and_path {
        return Err(Refusal::unknown(Reason::TicketReused));
    }
    match &record.state {
        RecordState::Pending | RecordState::Running => {
            Err(Refusal::unknown(Reason::StillRunning).with_retry_after(RETRY_AFTER))
        }
        RecordState::Completed(Some(response)) => Ok(Admission::Replay(response.clone())),
        RecordState::Completed(None) => Err(Refusal {
            execution: Execution::Completed,
            ..Refusal::not_run(Reason::AnswerGone)
        }),
        RecordState::Unknown => Err(Refusal::unknown(Reason::UpstreamFailed)),
        RecordState::Void => Err(Refusal::not_run(Reason::TicketVoid)),
    }
}

/// Records that the request is being sent to an upstream.
pub(crate) fn mark_running(board: &mut Board, number: u64) {
    set_state(board, number, RecordState::Running);
}

/// Records that the request was refused or its caller disconnected before any byte of it
/// was sent.
pub(crate) fn mark_void(board: &mut Board, number: u64) {
    set_state(board, number, RecordState::Void);
}

/// Records that the request failed after bytes of it had been sent.
pub(crate) fn mark_unknown(board: &mut Board, number: u64) {
    set_state(board, number, RecordState::Unknown);
}

/// Records the whole response, and discards the oldest stored ones beyond the limit.
pub(crate) fn record_response(
    board: &mut Board,
    number: u64,
    response: Option<Arc<StoredResponse>>,
) {
    let size = response.as_ref().map_or(0, |r| r.body.len());
    set_state(board, number, RecordState::Completed(response));
    if size > 0 {
        board.records.stored_responses.push_back(number);
        board.records.stored_bytes += size;
    }
    while board.records.stored_bytes > board.settings.max_stored_response_bytes {
        let Some(oldest) = board.records.stored_responses.pop_front() else {
            return;
        };
        discard_response(&mut board.records, oldest);
    }
}

fn discard_response(records: &mut Records, number: u64) {
    let Some(record) = records.by_number.get_mut(&number) else {
        return;
    };
    if let RecordState::Completed(response) = &mut record.state {
        let size = response.take().map_or(0, |r| r.body.len());
        records.stored_bytes -= size;
    }
}

fn set_state(board: &mut Board, number: u64, state: RecordState) {
    if let Some(record) = board.records.by_number.get_mut(&number) {
        record.state = state;
    }
}

/// Removes the records of expired tickets, except those of requests still in progress.
pub(crate) fn expire(board: &mut Board) {
    let now = board.now();
    let records = &mut board.records;
    let is_expired = |record: &Record| {
        let in_progress = matches!(record.state, RecordState::Pending | RecordState::Running);
        now >= record.expires && !in_progress
    };
    let expired: Vec<u64> = records
        .by_number
        .iter()
        .filter(|(_, r)| is_expired(r))
        .map(|(number, _)| *number)
        .collect();
    for number in expired {
        discard_response(records, number);
        records.by_number.remove(&number);
    }
    records
        .stored_responses
        .retain(|number| records.by_number.contains_key(number));
}
