//! Bounds how much is sent over a longer time without delaying a burst.

use std::time::Duration;

/// How much may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// At once.
    pub burst: f64,
    /// Per second, over a longer time.
    pub per_s: f64,
}

/// What was sent beyond the rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// At most the burst, as of `since`.
    debt: f64,
    since: Duration,
}

impl Allowance {
    /// Returns how many of `wanted` may be sent now, and counts these as sent.
    pub fn take(&mut self, now: Duration, rate: Rate, wanted: usize) -> usize {
        let allowed = wanted.min(self.available(now, rate));
        // CAST: at most the burst.
        self.debt += allowed as f64;
        allowed
    }

    /// Counts `wanted` as sent if all of it may be sent now. Returns whether it may.
    pub fn take_all(&mut self, now: Duration, rate: Rate, wanted: usize) -> bool {
        wanted <= self.available(now, rate) && self.take(now, rate, wanted) == wanted
    }

    fn available(&mut self, now: Duration, rate: Rate) -> usize {
        let repaid = now.saturating_sub(self.since).as_secs_f64() * rate.per_s;
        self.debt = (self.debt - repaid).max(0.0);
        self.since = now;
        // CAST: between 0 and the burst.
        (rate.burst - self.debt).max(0.0) as usize
    }
}
