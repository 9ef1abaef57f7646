//! What is simulated, and what happened.

use std::time::Duration;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Experiment {
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
    /// Sound requests per second.
    pub sound_per_s: f64,
    /// Crashes per minute that no request causes.
    pub own_crashes_per_min: f64,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Span in seconds after the warm-up in which the first region is cut off from the others.
    pub cut: Option<(f64, f64)>,
    /// Time in seconds after the warm-up at which a third of the instances restart.
    pub restart: Option<f64>,
    /// Whether requests may be repeated after a crash.
    pub repeatable: bool,
    /// Position of the harmful part: 0 for the first.
    pub position: usize,
    /// Duration in seconds after the warm-up.
    pub seconds: f64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            instances: 8,
            upstreams: 18,
            batch: 16,
            harmful_per_s: 4.0,
            harmful_spans: vec![(0.0, 60.0)],
            sound_per_s: 100.0,
            own_crashes_per_min: 0.0,
            loss: 0.0,
            cut: None,
            restart: None,
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
    /// Shared parts, in the whole fleet.
    Fleet,
    /// Shared parts, at each instance by itself.
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
    /// Harmful requests that reached upstreams later than [`CONTACT_TIME`] after crash number
    /// [`COUNTED_CRASHES`].
    pub late: u64,
    /// Sound requests sent and served in the warm-up.
    pub before: Served,
    /// The same from the first harmful request until [`CONTACT_TIME`] after crash number [`COUNTED_CRASHES`].
    pub meanwhile: Served,
    /// The same after that.
    pub after: Served,
    /// Sound requests refused because of their parts.
    pub wrongly_refused: u64,
    /// Longest time for which a sound part was quarantined anywhere.
    pub longest_wrong: Duration,
    /// Bytes of messages sent by each instance, per second.
    pub bytes_per_s: f64,
    /// Largest number of blamed parts and orders at an instance.
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
