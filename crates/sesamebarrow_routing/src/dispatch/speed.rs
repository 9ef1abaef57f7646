//! Measures how fast engines read prompts.
//!
//! Meant for engines whose speed no setting states, that differ from one another, or that slow down for a
//! while: an estimate that takes them for equal sends most work to the slow ones.
//!
//! The first event of a request comes after the engine has read its prompt and then made the event, between
//! whose steps it reads the prompts that were sent meanwhile. So only first events of requests after which
//! none was sent to the engine say how fast it reads.

use std::time::Duration;

/// Planned reading time in milliseconds from which a first event says how fast an engine reads.
const MIN_MEASURED_MS: f64 = 50.0;

/// Planned reading time in milliseconds up to which a first event says how long one takes besides.
const MAX_UNREAD_MS: f64 = 30.0;

/// Weight of one first event in what is measured of a service, to which all its engines contribute.
const SERVICE_GAIN: f64 = 0.05;

/// Weight of one first event in what is particular to an engine.
const ENGINE_GAIN: f64 = 0.2;

/// Part of what is particular to an engine that is kept at each measurement, so that it does not drift together
/// with what the engines have in common.
const ENGINE_KEPT: f64 = 0.99;

/// Part of the planned time below which a prompt was rather cached without the dispatcher's knowledge.
const MIN_UNSURE_RATIO: f64 = 0.6;

/// Limits of one measurement relative to the plan, so that a single one says little.
const MEASURED_RANGE: (f64, f64) = (0.2, 5.0);

/// Limits of an engine's slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);

/// Limits of the time of a first event besides reading, in milliseconds.
const FIRST_RANGE_MS: (f64, f64) = (10.0, 1_000.0);

/// Time for which the slowness that an upstream states is believed. It changes many times a second.
const STATED_LIFETIME: Duration = Duration::from_millis(250);

/// Largest slowness that an upstream may state.
const MAX_STATED: f64 = 20.0;

/// A first event, compared with its plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// Milliseconds that were planned for reading, from when the request was sent.
    pub planned_ms: f64,
    /// Tokens that were planned to be read in that time, at the usual speed.
    pub tokens: f64,
    /// Milliseconds from then to the first event.
    pub took_ms: f64,
    /// Whether all that was planned was surely read. Prompts may be cached without the dispatcher's knowledge.
    pub is_sure: bool,
    /// Whether no request was sent to the engine after it.
    pub is_last: bool,
}

/// How fast the engines of a service work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Milliseconds to read one prompt token.
    pub ms_per_token: f64,
    /// Milliseconds until the first event besides reading, at an engine that reads nothing else; also the time
    /// between two events of such an engine.
    pub first_ms: f64,
    /// The same at engines as busy as they are, on average.
    pub busy_first_ms: f64,
}

impl Speed {
    /// Returns the speed that is assumed before any was measured.
    pub fn assumed(prefill_per_ms: f64) -> Self {
        Self {
            ms_per_token: 1.0 / prefill_per_ms,
            first_ms: 60.0,
            busy_first_ms: 60.0,
        }
    }

    /// Records a first event of an engine.
    pub fn observe(&mut self, slowness: &mut Slowness, measured: Measurement) {
        let Measurement {
            planned_ms,
            tokens,
            took_ms,
            is_sure,
            is_last,
        } = measured;
        let besides_ms = (took_ms - planned_ms).clamp(FIRST_RANGE_MS.0, FIRST_RANGE_MS.1);
        self.busy_first_ms += SERVICE_GAIN * (besides_ms - self.busy_first_ms);
        if !is_last {
            return;
        }
        if planned_ms <= MAX_UNREAD_MS {
            self.first_ms += SERVICE_GAIN * (besides_ms - self.first_ms);
        }
        if planned_ms < MIN_MEASURED_MS {
            return;
        }
        let ratio = (took_ms - self.first_ms) / (tokens * self.ms_per_token);
        let ratio = ratio.clamp(MEASURED_RANGE.0, MEASURED_RANGE.1);
        if is_sure || ratio > MIN_UNSURE_RATIO {
            self.ms_per_token *= ratio.powf(SERVICE_GAIN);
            slowness.observe(ratio);
        }
    }
}

/// What is particular to one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    /// Time that its work takes, relative to the service's speed.
    measured: f64,
    /// What it stated last, relative to its usual speed, and when.
    stated: Option<(Duration, f64)>,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            measured: 1.0,
            stated: None,
        }
    }
}

impl Slowness {
    /// Records how much longer a first event took than planned.
    fn observe(&mut self, ratio: f64) {
        let measured = self.measured * ratio.powf(ENGINE_GAIN);
        self.measured = measured
            .powf(ENGINE_KEPT)
            .clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
    }

    /// Records what the upstream states, in percent of its usual time. Zero means that it states nothing.
    pub fn state(&mut self, at: Duration, percent: u32) {
        let stated = f64::from(percent) / 100.0;
        if percent > 0 && stated <= MAX_STATED {
            self.stated = Some((at, stated));
        }
    }

    /// Returns the factor on work of `ms` milliseconds that begins now. What the upstream states counts only for
    /// the part of the work that ends before the statement expires.
    pub fn factor(&self, now: Duration, ms: f64) -> f64 {
        let Some((at, stated)) = self.stated else {
            return self.measured();
        };
        let left_ms = (at + STATED_LIFETIME).saturating_sub(now).as_secs_f64() * 1_000.0;
        let part = (left_ms / ms.max(1.0)).clamp(0.0, 1.0);
        self.measured() * (1.0 + (stated - 1.0) * part)
    }

    /// Returns the measured slowness.
    pub fn measured(&self) -> f64 {
        self.measured
    }
}
