//! The retry budget: resends that this instance may make without a storm.
//!
//! All instances share one bound for each service. Each takes its part of the fixed
//! allowance, and a ratio of its own first sends, so that no exchange is needed.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// The shared bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Resends for each first send.
    pub ratio: f64,
    /// Resends beyond that in one window, over all instances.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the bound that is used: what instances see of each other is late.
const SAFETY: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    credit: f64,
    refilled: Duration,
}

/// The budgets of one instance, by service.
#[derive(Debug)]
pub struct RetryBudget {
    bound: Bound,
    buckets: HashMap<SmolStr, Bucket>,
}

impl RetryBudget {
    /// Builds the budget of an instance.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            buckets: HashMap::new(),
        }
    }

    /// Puts another bound in force.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a first send to `service`.
    pub fn record_first_send(&mut self, now: Duration, service: &SmolStr, instances: usize) {
        let most = self.most(instances);
        let gain = self.bound.ratio * SAFETY;
        let bucket = self.refill(now, service, instances);
        bucket.credit = (bucket.credit + gain).min(most);
    }

    /// Takes one resend to `service`, if the budget allows it.
    pub fn try_spend(&mut self, now: Duration, service: &SmolStr, instances: usize) -> bool {
        let bucket = self.refill(now, service, instances);
        if bucket.credit < 1.0 {
            return false;
        }
        bucket.credit -= 1.0;
        true
    }

    /// Largest credit: half of the slack, so that a full bucket and a window's refill
    /// together stay within the slack.
    fn most(&self, instances: usize) -> f64 {
        // CAST: the number of instances is small.
        (self.bound.slack * SAFETY / 2.0 / instances.max(1) as f64).max(1.0)
    }

    fn refill(&mut self, now: Duration, service: &SmolStr, instances: usize) -> &mut Bucket {
        let most = self.most(instances);
        let per_second = most / self.bound.window.as_secs_f64();
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            credit: most,
            refilled: now,
        });
        let gap = now.saturating_sub(bucket.refilled).as_secs_f64();
        bucket.refilled = now;
        bucket.credit = (bucket.credit + gap * per_second).min(most);
        bucket
    }
}
