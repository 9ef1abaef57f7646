//! What is simulated, and what happened.

use std::time::Duration;

/// What harmful requests have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// A part of their prompts.
    Part,
    /// They are this number of requests without prompts, each of which comes again and again.
    Requests(u64),
    /// They are this number of requests with prompts, each of which comes again and again. Sound requests
    /// share all but the last part of their prompts.
    Prompts(u64),
}

impl Harm {
    /// Returns the number of crashes from which the users' rule counts.
    pub fn counted_crashes(self) -> u64 {
        match self {
            Self::Part => 5,
            Self::Requests(requests) | Self::Prompts(requests) => 3 * requests,
        }
    }
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// What harmful requests have in common.
    pub harm: Harm,
    /// Number of different sound requests without prompts that come again and again. They are half of the
    /// sound requests; if it is 0, all of these have prompts.
    pub repeated_reads: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams, in all regions together.
    pub upstreams: usize,
    /// Number of requests that an upstream runs at once.
    pub batch: usize,
    /// Harmful requests per second, between the times in seconds after the warm-up.
    pub harmful_per_s: f64,
    /// Spans in seconds after the warm-up in which harmful requests come.
    pub harmful_spans: Vec<(f64, f64)>,
    /// Number of different harmful parts, of which each harmful request has one.
    pub harmful_parts: u64,
    /// Number of parts that all prompts share.
    pub common_parts: u64,
    /// Whether prompts have a part that few others have.
    pub subjects: bool,
    /// Sound requests per second.
    pub sound_per_s: f64,
    /// Span in seconds after the warm-up in which no sound requests come.
    pub sound_pause: Option<(f64, f64)>,
    /// Time that a sound request runs.
    pub run_time: Duration,
    /// Crashes per minute that no request causes.
    pub own_crashes_per_min: f64,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Span in seconds after the warm-up in which the first region is cut off from the others.
    pub cut: Option<(f64, f64)>,
    /// Time in seconds after the warm-up at which a third of the instances restart.
    pub restart: Option<f64>,
    /// The same for all instances.
    pub restart_of_all: Option<f64>,
    /// Whether requests may be repeated after a crash.
    pub repeatable: bool,
    /// Position of a harmful part: 0 for the first.
    pub position: usize,
    /// Duration in seconds after the warm-up.
    pub seconds: f64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            harm: Harm::Part,
            repeated_reads: 0,
            instances: 8,
            upstreams: 18,
            batch: 16,
            harmful_per_s: 4.0,
            harmful_spans: vec![(0.0, 60.0)],
            harmful_parts: 1,
            common_parts: 1,
            subjects: true,
            sound_per_s: 100.0,
            sound_pause: None,
            run_time: Duration::from_millis(900),
            own_crashes_per_min: 0.0,
            loss: 0.0,
            cut: None,
            restart: None,
            restart_of_all: None,
            repeatable: true,
            position: 1,
            seconds: 60.0,
        }
    }
}

/// What is blamed for crashes, and at which instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// All suspects, in the whole fleet.
    Fleet,
    /// All suspects, at each instance by itself.
    Instance,
    /// The first part, in the whole fleet.
    FirstPart,
    /// The customer, in the whole fleet.
    Customer,
    /// Nothing.
    None,
    /// As `Fleet`, but complete answers acquit nothing; a planted fault.
    NoAcquittal,
    /// As `Fleet`, but crashes under repeated requests are not bounded; a planted fault.
    NoBound,
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Upstreams that crashed under harmful requests.
    pub crashes: u64,
    /// Of these, those before the first order.
    pub crashes_before_order: u64,
    /// Harmful requests that reached upstreams later than [`CONTACT_TIME`](super::CONTACT_TIME) after crash
    /// number [`Harm::counted_crashes`].
    pub late: u64,
    /// Sound requests sent and served in the warm-up.
    pub before: Served,
    /// The same from the first harmful request until [`CONTACT_TIME`](super::CONTACT_TIME) after that crash.
    pub meanwhile: Served,
    /// The same after that.
    pub after: Served,
    /// Sound requests sent and begun later than twice [`CONTACT_TIME`](super::CONTACT_TIME) after crash number
    /// [`Harm::counted_crashes`], or the last one if there are fewer.
    pub begun_after: Served,
    /// Sound requests refused as harmful.
    pub wrongly_refused: u64,
    /// Longest time for which a sound suspect was quarantined anywhere.
    pub longest_wrong: Duration,
    /// Bytes of messages sent by each instance, per second.
    pub bytes_per_s: f64,
    /// Largest number of blamed suspects and orders at an instance.
    pub max_entries: usize,
}

/// Number of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Requests sent.
    pub asked: u64,
    /// Requests answered completely.
    pub served: u64,
}

impl Served {
    /// Returns the fraction that was served; 1 if there were no requests.
    pub fn fraction(self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        // CAST: small numbers.
        self.served as f64 / self.asked as f64
    }
}
