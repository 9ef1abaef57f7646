//! The messages that instances exchange about requests that crash upstreams. Times are sent as ages, since
//! the clocks of instances differ.

use std::time::Duration;

use crate::quarantine::crashes::Crashes;
use crate::quarantine::{Blame, Kind, Order, Suspect};

/// Maximum number of entries in one message with blame, so that its datagram stays below 512 bytes.
pub const MAX_ENTRIES: usize = 10;

/// Maximum number of orders in one message, so that its datagram stays below 512 bytes.
pub const MAX_ORDERS: usize = 8;

/// Number of further suspects that take as much space as an entry without any: 8 bytes each, of 48.
const SUSPECTS_PER_ENTRY: usize = 6;

/// Space of one message with blame, in further suspects.
const MAX_SUSPECTS: usize = MAX_ENTRIES * SUSPECTS_PER_ENTRY;

/// Blame for the judges of its suspects.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Blames {
    /// At most [`MAX_ENTRIES`], or fewer if they have several suspects.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<BlameEntry>,
}

/// One [`Blame`], or several that differ in their suspects only.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BlameEntry {
    /// Id of the suspect.
    #[prost(fixed64, tag = "1")]
    pub suspect: u64,
    /// Hash of the run of the upstream.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Hash of the customer's name.
    #[prost(fixed64, tag = "3")]
    pub customer: u64,
    /// Milliseconds since the crash.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Kind of the suspect; earlier versions know only parts.
    #[prost(enumeration = "Kind", tag = "5")]
    pub kind: i32,
    /// Hash of the request; 0 from earlier versions.
    #[prost(fixed64, tag = "6")]
    pub request: u64,
    /// Number of earlier crashes of the run.
    #[prost(uint32, tag = "7")]
    pub earlier_crashes: u32,
    /// Ids of further suspects of the same kind, which earlier versions ignore.
    #[prost(fixed64, repeated, tag = "8")]
    pub more_suspects: Vec<u64>,
    /// Whether the suspects are some of very many.
    #[prost(bool, tag = "9")]
    pub one_of_many: bool,
}

/// Orders, some of which may be new to the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Orders {
    /// At most [`MAX_ORDERS`].
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<OrderEntry>,
    /// Whether the receiver sends those that are new to it to all instances.
    #[prost(bool, tag = "2")]
    pub spread: bool,
}

/// One [`Order`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderEntry {
    /// Id of the suspect.
    #[prost(fixed64, tag = "1")]
    pub suspect: u64,
    /// Hash of the name of the customer that it binds; none for all.
    #[prost(fixed64, optional, tag = "2")]
    pub customer: Option<u64>,
    /// Number of changes.
    #[prost(uint32, tag = "3")]
    pub serial: u32,
    /// Whether it is in force.
    #[prost(bool, tag = "4")]
    pub in_force: bool,
    /// Number of trials granted.
    #[prost(uint32, tag = "5")]
    pub trials: u32,
    /// Milliseconds since it was given or revoked, or the last trial was granted.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Milliseconds since the last known crash.
    #[prost(uint64, tag = "7")]
    pub crash_age_ms: u64,
    /// Kind of the suspect; earlier versions know only parts.
    #[prost(enumeration = "Kind", tag = "8")]
    pub kind: i32,
    /// Short ids of the crashes that led to it; none from earlier versions.
    #[prost(fixed32, repeated, tag = "9")]
    pub crashes: Vec<u32>,
    /// Whether its suspect was released once since other orders explain these crashes.
    #[prost(bool, tag = "10")]
    pub was_explained: bool,
}

/// Asks the first judge of a suspect for a trial.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TrialRequest {
    /// Identifies the request among those of its sender's process.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Id of the suspect.
    #[prost(fixed64, tag = "2")]
    pub suspect: u64,
    /// Kind of the suspect; earlier versions know only parts.
    #[prost(enumeration = "Kind", tag = "3")]
    pub kind: i32,
    /// Number of suspects that may be to blame if an upstream crashes under the trial; 0 from earlier versions.
    #[prost(uint32, tag = "4")]
    pub ambiguity: u32,
    /// Whether the trial is not taken: the sender has to ask other judges too.
    #[prost(bool, tag = "5")]
    pub is_question: bool,
}

/// Answers a [`TrialRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TrialGrant {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether one request with the suspect may be sent.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Id of the suspect; 0 from earlier versions, and in the answer to a question.
    #[prost(fixed64, tag = "3")]
    pub suspect: u64,
    /// Kind of the suspect.
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
}

/// Gives back a trial to the first judge of its suspect, since no upstream ran it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TrialReturn {
    /// Id of the suspect.
    #[prost(fixed64, tag = "1")]
    pub suspect: u64,
    /// Kind of the suspect.
    #[prost(enumeration = "Kind", tag = "2")]
    pub kind: i32,
}

fn to_ms(duration: Duration) -> u64 {
    // CAST: far below 2^64 milliseconds.
    duration.as_millis() as u64
}

/// Returns the suspect; `None` if this version does not know its kind.
fn decode_suspect(kind: i32, id: u64) -> Option<Suspect> {
    let kind = Kind::try_from(kind).ok()?;
    Some(Suspect { kind, id })
}

impl BlameEntry {
    /// Encodes `blame`.
    pub fn new(blame: Blame, age: Duration) -> Self {
        Self {
            suspect: blame.suspect.id,
            run: blame.run,
            customer: blame.customer,
            // CAST: blame is sent for a few minutes only.
            age_ms: to_ms(age) as u32,
            kind: blame.suspect.kind.into(),
            request: blame.request,
            earlier_crashes: blame.earlier_crashes,
            more_suspects: Vec::new(),
            one_of_many: blame.one_of_many,
        }
    }

    /// Returns whether the suspects of `other` can be added to this entry.
    fn has_same_crash(&self, other: &Self) -> bool {
        let crash = |e: &Self| (e.run, e.earlier_crashes, e.customer, e.request);
        let form = |e: &Self| (e.kind, e.age_ms, e.one_of_many);
        crash(self) == crash(other) && form(self) == form(other)
    }

    /// Decodes all blame and its age; none if this version does not know the kind of the suspects.
    pub fn decode_all(&self) -> impl Iterator<Item = (Blame, Duration)> {
        let first = self.decode();
        let more = self.more_suspects.iter().filter_map(move |id| {
            let (mut blame, age) = first?;
            blame.suspect.id = *id;
            Some((blame, age))
        });
        first.into_iter().chain(more)
    }

    /// Decodes the blame of the first suspect and its age; `None` if this version does not know the kind of its suspect.
    pub fn decode(&self) -> Option<(Blame, Duration)> {
        let blame = Blame {
            suspect: decode_suspect(self.kind, self.suspect)?,
            run: self.run,
            earlier_crashes: self.earlier_crashes,
            customer: self.customer,
            // Earlier versions do not tell requests apart: each crash is taken for that of another one.
            request: match self.request {
                0 => self.run,
                request => request,
            },
            one_of_many: self.one_of_many,
        };
        Some((blame, Duration::from_millis(self.age_ms.into())))
    }
}

/// Returns messages with `entries`, those of the same crash after each other as one.
pub fn pack_blame(entries: Vec<BlameEntry>) -> Vec<Blames> {
    let mut messages: Vec<Blames> = Vec::new();
    // Space of the last message that is taken, in suspects.
    let mut taken = 0;
    for entry in entries {
        let last = messages
            .last_mut()
            .and_then(|message| message.entries.last_mut());
        if let Some(last) = last.filter(|last| last.has_same_crash(&entry))
            && taken < MAX_SUSPECTS
        {
            last.more_suspects.push(entry.suspect);
            taken += 1;
            continue;
        }
        match messages.last_mut() {
            Some(message) if taken + SUSPECTS_PER_ENTRY <= MAX_SUSPECTS => {
                message.entries.push(entry);
                taken += SUSPECTS_PER_ENTRY;
            }
            _ => {
                let entries = vec![entry];
                messages.push(Blames { entries });
                taken = SUSPECTS_PER_ENTRY;
            }
        }
    }
    messages
}

impl OrderEntry {
    /// Encodes `order`.
    pub fn new(now: Duration, order: &Order) -> Self {
        Self {
            suspect: order.suspect.id,
            customer: order.customer,
            serial: order.serial,
            in_force: order.in_force,
            trials: order.trials,
            age_ms: to_ms(now.saturating_sub(order.since)),
            crash_age_ms: to_ms(now.saturating_sub(order.last_crash_at)),
            kind: order.suspect.kind.into(),
            crashes: order.crashes.ids().collect(),
            was_explained: order.was_explained,
        }
    }

    /// Decodes the order, in the time of this process. Times before its start count as its start, which
    /// only delays what depends on them. Returns `None` if this version does not know the kind of its suspect.
    pub fn decode(&self, now: Duration) -> Option<Order> {
        Some(Order {
            suspect: decode_suspect(self.kind, self.suspect)?,
            customer: self.customer,
            serial: self.serial,
            in_force: self.in_force,
            trials: self.trials,
            since: now.saturating_sub(Duration::from_millis(self.age_ms)),
            last_crash_at: now.saturating_sub(Duration::from_millis(self.crash_age_ms)),
            crashes: Crashes::from_ids(self.crashes.iter().copied()),
            was_explained: self.was_explained,
        })
    }
}

impl TrialReturn {
    /// Gives back a trial of `suspect`.
    pub fn new(suspect: Suspect) -> Self {
        Self {
            suspect: suspect.id,
            kind: suspect.kind.into(),
        }
    }

    /// Returns the suspect; `None` if this version does not know its kind.
    pub fn decode(self) -> Option<Suspect> {
        decode_suspect(self.kind, self.suspect)
    }
}

impl TrialGrant {
    /// Answers `request`.
    pub fn new(request: TrialRequest, granted: bool) -> Self {
        Self {
            id: request.id,
            granted,
            suspect: match request.is_question {
                true => 0,
                false => request.suspect,
            },
            kind: request.kind,
        }
    }

    /// Returns the suspect; `None` if this version does not know its kind, or the sender does not say.
    pub fn decode_suspect(self) -> Option<Suspect> {
        decode_suspect(self.kind, self.suspect).filter(|s| s.id != 0)
    }
}

impl TrialRequest {
    /// Asks for a trial of `suspect`.
    pub fn new(id: u64, suspect: Suspect, ambiguity: u32) -> Self {
        Self {
            id,
            suspect: suspect.id,
            kind: suspect.kind.into(),
            ambiguity,
            is_question: false,
        }
    }

    /// Returns the suspect; `None` if this version does not know its kind.
    pub fn decode(self) -> Option<Suspect> {
        decode_suspect(self.kind, self.suspect)
    }
}
