//! The datagrams of [`crate::dispatch`].

use crate::cache::PromptPart;
use crate::dispatch::capacity::Capacity;

/// Asks the dispatcher of a service for an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlaceRequest {
    /// Identifies the request among those of its sender's process. A request that is sent again has the same id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Hash of the service's name.
    #[prost(fixed32, tag = "2")]
    pub service_hash: u32,
    /// Ids of the prompt's parts, in order.
    #[prost(fixed64, repeated, tag = "3")]
    pub part_ids: Vec<u64>,
    /// Tokens of the prompt's parts, in the order of `part_ids`.
    #[prost(uint32, repeated, tag = "4")]
    pub part_tokens: Vec<u32>,
    /// Number of prompt tokens.
    #[prost(uint32, tag = "5")]
    pub prompt_tokens: u32,
    /// Number of output tokens to expect.
    #[prost(uint32, tag = "6")]
    pub output_tokens: u32,
    /// Order in which requests give way ([`crate::dispatch::rank`]).
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    /// Milliseconds within which the answer should begin.
    #[prost(uint32, tag = "8")]
    pub target_ms: u32,
    /// Milliseconds for which the caller still waits for the whole answer.
    #[prost(uint32, tag = "9")]
    pub time_left_ms: u32,
    /// Runs of upstreams that must not be selected.
    #[prost(fixed64, repeated, tag = "10")]
    pub avoided_runs: Vec<u64>,
    /// Hashes of the regions that the request may be forwarded to.
    #[prost(fixed32, repeated, tag = "11")]
    pub open_regions: Vec<u32>,
}

impl PlaceRequest {
    /// Returns the parts of the prompt.
    pub fn prompt(&self) -> Vec<PromptPart> {
        let parts = self.part_ids.iter().zip(&self.part_tokens);
        let part = |(&id, &tokens): (&u64, &u32)| PromptPart { id, tokens };
        parts.map(part).collect()
    }
}

/// Decision about a [`PlaceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Decision {
    /// The receiver does not dispatch the service, or knows no upstream that it may select.
    Unknown = 0,
    /// The request may be sent to the upstream.
    Granted = 1,
    /// The request waits for an upstream. Another answer follows.
    Waiting = 2,
    /// The request should be forwarded to the region.
    Forward = 3,
    /// The request cannot be served now.
    Refused = 4,
}

/// Answers a [`PlaceRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The decision.
    #[prost(enumeration = "Decision", tag = "2")]
    pub decision: i32,
    /// Run of the upstream, if granted.
    #[prost(fixed64, tag = "3")]
    pub run: u64,
    /// Prompt tokens that the upstream has to prefill, if granted.
    #[prost(uint32, tag = "4")]
    pub prefill_tokens: u32,
    /// Estimated milliseconds until the first event, if granted; until the caller may come back, if refused;
    /// until the request leaves the queue, if it waits.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// Hash of the region to forward to.
    #[prost(fixed32, tag = "6")]
    pub region_hash: u32,
    /// Capacity of the service in this region; `None` if the request has waited.
    #[prost(message, optional, tag = "7")]
    pub capacity: Option<StatedCapacity>,
}

/// A [`Capacity`] as it is sent.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StatedCapacity {
    /// [`Capacity::held`] in percent.
    #[prost(uint32, tag = "1")]
    pub held_percent: u32,
    /// [`Capacity::held_urgent`] in percent.
    #[prost(uint32, tag = "2")]
    pub held_urgent_percent: u32,
    /// [`Capacity::reading`] in percent.
    #[prost(uint32, tag = "3")]
    pub reading_percent: u32,
    /// [`Capacity::free_slots`].
    #[prost(uint32, tag = "4")]
    pub free_slots: u32,
    /// [`Capacity::free_reading_ms`].
    #[prost(uint32, tag = "5")]
    pub free_reading_ms: u32,
    /// [`Capacity::reading_urgent`] in percent.
    #[prost(uint32, tag = "6")]
    pub reading_urgent_percent: u32,
}

impl From<Capacity> for StatedCapacity {
    fn from(capacity: Capacity) -> Self {
        // CAST: parts are at most 1, and the others bounded by the number of engines.
        Self {
            held_percent: (capacity.held * 100.0) as u32,
            held_urgent_percent: (capacity.held_urgent * 100.0) as u32,
            reading_percent: (capacity.reading * 100.0) as u32,
            reading_urgent_percent: (capacity.reading_urgent * 100.0) as u32,
            free_slots: capacity.free_slots as u32,
            free_reading_ms: capacity.free_reading_ms as u32,
        }
    }
}

impl From<&StatedCapacity> for Capacity {
    fn from(stated: &StatedCapacity) -> Self {
        let part = |percent: u32| (f64::from(percent) / 100.0).min(1.0);
        Self {
            held: part(stated.held_percent),
            held_urgent: part(stated.held_urgent_percent),
            reading: part(stated.reading_percent),
            reading_urgent: part(stated.reading_urgent_percent),
            free_slots: stated.free_slots.into(),
            free_reading_ms: stated.free_reading_ms.into(),
        }
    }
}

/// What happened to a request that holds a place at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Event {
    /// Unknown to this version.
    Other = 0,
    /// Its first event arrived.
    Started = 1,
    /// It ended without showing anything about the upstream. Instances of earlier versions also send this for
    /// one that was never sent.
    Ended = 2,
    /// The upstream failed it.
    Failed = 3,
    /// The upstream could not be reached.
    Unreachable = 4,
    /// The upstream refused it.
    Refused = 5,
    /// Its answer was complete.
    Completed = 6,
    /// Its connection ended before its answer was complete.
    Broken = 7,
    /// It was never sent. Dispatchers of earlier versions read it as [`Self::Other`], which ends it too.
    Withdrawn = 8,
    /// Another upstream is at the address. Dispatchers of earlier versions read it as [`Self::Other`].
    Misdirected = 9,
}

/// An event of a request that holds a place.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Notice {
    /// Id of the request or hold.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The event.
    #[prost(enumeration = "Event", tag = "2")]
    pub event: i32,
    /// Milliseconds since the event.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// How long work takes at the upstream at the moment, in percent of the usual; 0 if it does not say.
    #[prost(uint32, tag = "4")]
    pub slowness_percent: u32,
    /// Longest time in milliseconds between two events of its stream, at its end; 0 if there were none.
    #[prost(uint32, tag = "5")]
    pub pause_ms: u32,
}

/// A request that holds a place that this dispatcher did not grant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hold {
    /// Identifies the request among those of its sender's process.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Run of the upstream.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Prompt tokens that the upstream still has to prefill.
    #[prost(uint32, tag = "3")]
    pub prefill_tokens: u32,
    /// KV cache tokens that it takes.
    #[prost(uint32, tag = "4")]
    pub kv_tokens: u32,
    /// Order in which requests give way ([`crate::dispatch::rank`]).
    #[prost(uint32, tag = "5")]
    pub rank: u32,
    /// Milliseconds for which the caller still waits.
    #[prost(uint32, tag = "6")]
    pub time_left_ms: u32,
}

/// Events and holds, several at a time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Notices {
    /// Events.
    #[prost(message, repeated, tag = "1")]
    pub notices: Vec<Notice>,
    /// Holds.
    #[prost(message, repeated, tag = "2")]
    pub holds: Vec<Hold>,
}
