//! Correction of estimated waits by the waits that requests had.
//!
//! The correction follows the time, not the number of answers: an instance of a large fleet
//! gets few of them, and must not estimate the waits of a quiet time by those of the peak
//! before it.

use std::time::Duration;

/// Time in which a correction moves most of the way to the error of new answers.
const ADJUSTMENT_TIME: Duration = Duration::from_millis(1_100);

/// Maximum fraction of one answer's error that is added, so that a single late answer says
/// little.
const MAX_GAIN: f64 = 0.15;

/// Time in which a correction that no answer confirms loses most of its value.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Maximum correction in milliseconds.
const MAX_MS: f64 = 500.0;

/// Correction of the estimated waits of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitCorrection {
    /// Milliseconds added to estimates; never negative.
    ms: f64,
    updated_at: Duration,
}

impl WaitCorrection {
    /// Returns the milliseconds to add to an estimate.
    pub fn ms(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.ms * (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Records how long a first event took compared with its corrected estimate.
    pub fn record(&mut self, now: Duration, estimated: Duration, took: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        let gain = 1.0 - (-elapsed.as_secs_f64() / ADJUSTMENT_TIME.as_secs_f64()).exp();
        // The estimate already contains the correction, so the error is what is still
        // missing.
        let error_ms = (took.as_secs_f64() - estimated.as_secs_f64()) * 1_000.0;
        let corrected_ms = self.ms(now) + gain.min(MAX_GAIN) * error_ms;
        *self = Self {
            ms: corrected_ms.clamp(0.0, MAX_MS),
            updated_at: now,
        };
    }
}
