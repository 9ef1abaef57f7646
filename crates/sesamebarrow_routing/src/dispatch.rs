//! Gives requests places at the engines of a service, with exact figures of one instance.
//!
//! Instances that decide by themselves know each other's load seconds late: together they send an engine more
//! prompts than it can read between two events of the streams that run there. For a service whose routes
//! declare a longest pause between events, one instance of each region is the *dispatcher*, selected by
//! rendezvous hashing. The others ask it for a place before they send a request, and report its first event
//! and its end. It keeps the places of all requests ([`engine`]), the measured speed of the engines ([`speed`])
//! and how much they may read at a time ([`pace`]), lets requests wait in order ([`queue`]), sends them to regions with capacity ([`capacity`]) and tells
//! refused callers when to come back ([`comeback`]).
//!
//! Nothing depends on the dispatcher: an instance that gets no answer decides by itself ([`crate::admit`]).

mod bid;
pub mod capacity;
pub mod comeback;
pub mod engine;
pub mod message;
pub mod pace;
pub mod queue;
pub mod service;
pub mod speed;

use std::time::Duration;

use crate::dispatch::capacity::Remote;

pub use service::{Service, Summary};

/// When and by whom services are dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Services are dispatched if one of their routes declares a longest pause between events of at least this;
    /// `None` dispatches none. Engines of which callers expect shorter pauses read so little at a time that
    /// prompts do not hold up streams.
    pub min_pause: Option<Duration>,
    /// Processor time of this instance, in cores.
    pub processor_share: f64,
    /// Prompt tokens that an engine is assumed to read per millisecond until that is measured. A guess that is too
    /// slow is corrected by the first prompts; one that is too fast holds up every stream until then.
    pub first_guess_per_ms: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            min_pause: None,
            processor_share: 1.0,
            first_guess_per_ms: 30.0,
        }
    }
}

/// Number of ranks of one priority.
const RANKS_PER_PRIORITY: u8 = 4;

/// Target latency of the first rank of a priority; each further one has twice as much.
const FIRST_RANK_TARGET: Duration = Duration::from_millis(1_500);

/// Returns the order in which requests give way; 0 is the most urgent. Of the same priority, those whose answers
/// are due sooner come first; targets within a factor of two count as the same.
pub fn rank(priority: u8, target: Duration) -> u8 {
    let is_beyond = |step: &u8| target > FIRST_RANK_TARGET * (1 << step);
    // CAST: at most the number of steps.
    let step = (0..RANKS_PER_PRIORITY - 1).filter(is_beyond).count() as u8;
    priority
        .saturating_mul(RANKS_PER_PRIORITY)
        .saturating_add(step)
}

/// Returns the priority that an engine is told for a request of this rank: from 0, the most urgent, to 9.
pub fn engine_priority(rank: u8) -> u8 {
    (rank / (RANKS_PER_PRIORITY / 2)).min(9)
}

/// An engine that a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Its run.
    pub run: u64,
    /// Requests that it runs in one batch.
    pub slots: u32,
    /// Tokens that its KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Prompt tokens that it would have to prefill.
    pub prefill_tokens: u64,
    /// How many of them another engine has cached.
    pub repeated_tokens: u64,
    /// Part of its recent answers that failed.
    pub failure_ratio: f64,
    /// How full its recent refusals show it to be, from 0 to 1.
    pub refusal_level: f64,
}

/// A decision of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The request has a place at this engine.
    Granted {
        /// Its run.
        run: u64,
        /// Prompt tokens that it has to prefill.
        prefill_tokens: u64,
        /// Estimated time until the first event.
        wait: Duration,
    },
    /// It waits, for this time at most.
    Waiting(Duration),
    /// The region with this hash should run it.
    Forward(u32),
    /// It cannot be served. The caller should come back after this time.
    Refused(Duration),
}

/// What the decision about a request depends on besides the service's state.
#[derive(Clone, Debug)]
pub struct Circumstances<'a> {
    /// The engines that it may be sent to.
    pub candidates: &'a [Candidate],
    /// The regions that it may be forwarded to and their capacity.
    pub remotes: &'a [Remote],
    /// Time to another region and back.
    pub round_trip: Duration,
    /// Longest pause between two events that the routes of the service allow.
    pub max_pause: Duration,
}
