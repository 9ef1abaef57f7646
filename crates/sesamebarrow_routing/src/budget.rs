//! The retry budget, which keeps retries from overloading upstreams.
//!
//! All instances share one limit per service. Each instance takes an equal part of the
//! slack plus a ratio of its own first attempts, so that the instances need not coordinate.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// The limit that all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed in addition in each window, by all instances together.
    pub slack: f64,
    /// Window in which retries are counted.
    pub window: Duration,
}

/// Fraction of the limit that is used. The rest covers late information about the
/// number of instances.
const USED_FRACTION: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    credit: f64,
    refilled_at: Duration,
}

/// The retry budgets of one instance, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limit: Limit,
    buckets: HashMap<SmolStr, Bucket>,
}

impl RetryBudget {
    /// Creates the budgets of an instance.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            buckets: HashMap::new(),
        }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Counts a first attempt at `service`.
    pub fn record_first_attempt(&mut self, now: Duration, service: &SmolStr, instances: usize) {
        let max_credit = self.max_credit(instances);
        let earned = self.limit.ratio * USED_FRACTION;
        let bucket = self.refill(now, service, instances);
        bucket.credit = (bucket.credit + earned).min(max_credit);
    }

    /// Spends one retry to `service`. Returns false if the budget does not allow it.
    pub fn try_spend(&mut self, now: Duration, service: &SmolStr, instances: usize) -> bool {
        let bucket = self.refill(now, service, instances);
        if bucket.credit < 1.0 {
            return false;
        }
        bucket.credit -= 1.0;
        true
    }

    /// Returns the maximum credit: half of this instance's part of the slack, so that a full
    /// bucket and the refill of one window together stay within that part. At least 1, so
    /// that an instance of a large fleet can retry at all.
    fn max_credit(&self, instances: usize) -> f64 {
        // CAST: the number of instances is small.
        (self.limit.slack * USED_FRACTION / 2.0 / instances.max(1) as f64).max(1.0)
    }

    fn refill(&mut self, now: Duration, service: &SmolStr, instances: usize) -> &mut Bucket {
        let max_credit = self.max_credit(instances);
        let per_second = max_credit / self.limit.window.as_secs_f64();
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            credit: max_credit,
            refilled_at: now,
        });
        let elapsed_s = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.refilled_at = now;
        bucket.credit = (bucket.credit + elapsed_s * per_second).min(max_credit);
        bucket
    }
}
