//! Limits the number of log lines per second about ended and refused requests and failed attempts,
//! separately for answered and for failed requests and for what shows that a request did not run, so that a burst of requests neither floods the
//! log nor uses processor time that requests need.
//!
//! Not limited are `rate exceeded`, `stream broken`, `stream resumed`, and `attempt ended` for a
//! response body that was not received completely.

use std::sync::atomic::{AtomicU32, Ordering};

/// Maximum number of lines per second for answered requests.
const MAX_ANSWERED_LINES_PER_SECOND: u32 = 200;

/// Maximum number of lines per second for refused and failed requests.
const MAX_FAILED_LINES_PER_SECOND: u32 = 300;

/// Maximum number of lines per second that say why a request that was sent is said not to have run.
const MAX_PROMISE_LINES_PER_SECOND: u32 = 100;

/// The lines that may still be written in the current second.
#[derive(Debug)]
pub struct Limiter {
    answered_lines_left: AtomicU32,
    failed_lines_left: AtomicU32,
    promise_lines_left: AtomicU32,
    dropped: AtomicU32,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            answered_lines_left: AtomicU32::new(MAX_ANSWERED_LINES_PER_SECOND),
            failed_lines_left: AtomicU32::new(MAX_FAILED_LINES_PER_SECOND),
            promise_lines_left: AtomicU32::new(MAX_PROMISE_LINES_PER_SECOND),
            dropped: AtomicU32::new(0),
        }
    }
}

impl Limiter {
    /// Returns whether a line may be written, and counts it. `failed` selects the limit for
    /// refused and failed requests.
    pub fn allow(&self, failed: bool) -> bool {
        self.take(if failed {
            &self.failed_lines_left
        } else {
            &self.answered_lines_left
        })
    }

    /// Returns whether a line about a promise may be written, and counts it. Such lines are few, and are not to be lost
    /// among those of an overload.
    pub fn allow_promise(&self) -> bool {
        self.take(&self.promise_lines_left)
    }

    fn take(&self, budget: &AtomicU32) -> bool {
        let admitted = budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(1)
        });
        if admitted.is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted.is_ok()
    }

    /// Resets the limits and logs how many lines were dropped. Must be called once per second.
    pub fn reset(&self) {
        self.answered_lines_left
            .store(MAX_ANSWERED_LINES_PER_SECOND, Ordering::Relaxed);
        self.failed_lines_left
            .store(MAX_FAILED_LINES_PER_SECOND, Ordering::Relaxed);
        self.promise_lines_left
            .store(MAX_PROMISE_LINES_PER_SECOND, Ordering::Relaxed);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            log::warn!(dropped; "log lines dropped");
            metrics::counter!("sesamebarrow_log_lines_dropped_total").increment(dropped.into());
        }
    }
}
