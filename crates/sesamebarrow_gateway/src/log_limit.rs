//! Bounds the log: each kind of line has a budget, so that a burst of requests neither
//! floods the log nor costs the processor what requests need.

use std::sync::atomic::{AtomicU32, Ordering};

/// Lines a second for requests that were answered.
const MAX_ANSWERED_PER_SECOND: u32 = 200;

/// Lines a second for requests that were refused or failed.
const MAX_FAILED_PER_SECOND: u32 = 300;

/// What is left of this second's budgets.
#[derive(Debug)]
pub struct Limiter {
    answered: AtomicU32,
    failed: AtomicU32,
    dropped: AtomicU32,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            answered: AtomicU32::new(MAX_ANSWERED_PER_SECOND),
            failed: AtomicU32::new(MAX_FAILED_PER_SECOND),
            dropped: AtomicU32::new(0),
        }
    }
}

impl Limiter {
    /// Tells whether a line may be written; `failed` for a request that was not served.
    pub fn allow(&self, failed: bool) -> bool {
        let budget = if failed { &self.failed } else { &self.answered };
        let admitted = budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(1)
        });
        if admitted.is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted.is_ok()
    }

    /// Renews the budgets, once a second, and tells how many lines were dropped.
    pub fn reset(&self) {
        self.answered
            .store(MAX_ANSWERED_PER_SECOND, Ordering::Relaxed);
        self.failed.store(MAX_FAILED_PER_SECOND, Ordering::Relaxed);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            log::warn!(dropped; "log lines dropped");
            metrics::counter!("sesamebarrow_log_lines_dropped_total").increment(dropped.into());
        }
    }
}
