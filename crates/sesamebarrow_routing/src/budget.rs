//! The retry budget, which keeps retries from overloading upstreams.
//!
//! All instances share one limit per service. Each instance takes an equal part of the
//! slack plus a ratio of its own first attempts, so that the instances need not coordinate.
//! In a large fleet these are fractions of a retry. A fraction is granted at random, with its
//! size as the probability, so that the expected sum over all instances is the sum of their credits.

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

/// Time over which credit that was earned by first attempts may be collected.
const EARNED_CREDIT_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    credit: f64,
    /// Credit earned by first attempts, decaying over [`EARNED_CREDIT_WINDOW`].
    earned_recently: f64,
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
        let earned = self.limit.ratio * USED_FRACTION;
        let bucket = self.refill(now, service, instances);
        bucket.earned_recently += earned;
        bucket.credit += earned;
    }

    /// Spends one retry to `service`. Returns false if the budget does not allow it. `roll` is a
    /// random number from 0 to 1, which decides whether a fraction of a retry is granted; the
    /// fraction is spent in either case.
    pub fn try_spend(
        &mut self,
        now: Duration,
        service: &SmolStr,
        instances: usize,
        roll: f64,
    ) -> bool {
        let bucket = self.refill(now, service, instances);
        let granted = roll < bucket.credit;
        bucket.credit = (bucket.credit - 1.0).max(0.0);
        granted
    }

    /// Returns the maximum credit from the slack: half of this instance's part of it, so that a full
    /// bucket and the refill of one window together stay within that part.
    fn max_slack_credit(&self, instances: usize) -> f64 {
        // CAST: the number of instances is small.
        self.limit.slack * USED_FRACTION / 2.0 / instances.max(1) as f64
    }

    fn refill(&mut self, now: Duration, service: &SmolStr, instances: usize) -> &mut Bucket {
        let max_slack_credit = self.max_slack_credit(instances);
        let per_second = max_slack_credit / self.limit.window.as_secs_f64();
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            credit: max_slack_credit,
            earned_recently: 0.0,
            refilled_at: now,
        });
        let elapsed_s = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.refilled_at = now;
        bucket.earned_recently *= (-elapsed_s / EARNED_CREDIT_WINDOW.as_secs_f64()).exp();
        let max_credit = max_slack_credit + bucket.earned_recently;
        bucket.credit = (bucket.credit + elapsed_s * per_second).min(max_credit);
        bucket
    }
}
