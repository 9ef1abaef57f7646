//! Decides for how long an engine may read prompts without a gap while streams run there.
//!
//! Meant for prompts that keep arriving at engines with running streams: between two events of a stream, an
//! engine may read a chunk of other prompts in each step. How much that is differs between engines and is
//! nowhere stated, so the time follows the pauses that streams had.

use std::time::Duration;

/// Limits of the time of reading, as a multiple of the longest allowed pause. The lower one leaves time for the
/// steps of the event itself. At the upper one, engines hold up no stream by reading.
const RANGE: (f64, f64) = (0.8, 4.0);

/// Changes of the time of reading by a stream, by its longest pause as a part of the longest allowed one. Shorter
/// pauses than the first say nothing, since little was read meanwhile.
const CHANGES: [(f64, f64); 3] = [(0.4, 1.002), (0.75, 0.97), (1.0, 0.9)];

/// Time of reading without a gap, as a multiple of the longest allowed pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    multiple: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { multiple: RANGE.0 }
    }
}

impl Pace {
    /// Records the longest pause that a stream had.
    pub fn observe(&mut self, pause: Duration, max_pause: Duration) {
        let part = pause.as_secs_f64() / max_pause.as_secs_f64();
        let reached = CHANGES.iter().rev().find(|(from, _)| part >= *from);
        let change = reached.map_or(1.0, |(_, change)| *change);
        self.multiple = (self.multiple * change).clamp(RANGE.0, RANGE.1);
    }

    /// Returns for how long an engine may read without a gap.
    pub fn max_reading(&self, max_pause: Duration) -> Duration {
        max_pause.mul_f64(self.multiple)
    }
}
