//! Shares of each customer's rate.
//!
//! Each instance admits a fraction of the rate, in proportion to the demand that all
//! instances report. All instances compute the fractions from the same reports, which are
//! some time old, so that two instances whose demand rises at the same time do not both
//! rely on the other's previous demand. The fraction of an instance that is no longer heard
//! from stays reserved for it. In a network partition the fractions on both sides therefore
//! add up to at most the full rate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::gossip::{Demand, short_hash};
use crate::member::{GOSSIP_INTERVAL, MAX_RECORDS, Member, Members};

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_500);

/// Fraction to which shares are filled at the start, if the first reply of another instance
/// contained the records of all instances. A few such fills within one window stay within
/// the tolerance.
const INITIAL_FILL_FRACTION: f64 = 0.3;

/// Time in which a share that is less than half full should be refilled to half; the tokens
/// needed for this count as demand.
const HALF_REFILL_TIME: Duration = Duration::from_secs(2);

/// Minimum fraction of the rate that is divided equally. More is divided equally while the
/// total demand leaves more of the rate unused.
const MIN_EQUAL_WEIGHT: f64 = 0.1;

/// Fraction of the slack that is divided among the shares.
const SHARE_SLACK_FRACTION: f64 = 0.6;

/// Fraction of the slack that may be used as debt.
const DEBT_SLACK_FRACTION: f64 = 0.3;

/// Fraction of a share's capacity up to which a request counts as small.
const SMALL_REQUEST_FRACTION: f64 = 0.1;

/// Fraction of the maximum debt that larger requests may use, so that small requests of a
/// customer above its rate still succeed.
const LARGE_REQUEST_DEBT_FACTOR: f64 = 0.6;

/// Fraction of the rate above which the total demand of a customer counts as high.
const HIGH_DEMAND_FRACTION: f64 = 0.85;

/// Factor on the maximum debt while a customer stays below its rate. Its share then runs
/// out only because of single requests, and the debt is soon paid off.
const LOW_DEMAND_DEBT_FACTOR: f64 = 2.0;

/// Fraction of a share's capacity at which the share counts as full.
const FULL_FRACTION: f64 = 0.9;

/// Fraction of the allowed overshoot by which shares are enlarged.
const SHARE_OVERSHOOT_FRACTION: f64 = 0.5;

/// Fraction of the allowed overshoot that all shares together may use as debt. The rest
/// covers reports that arrive late.
const DEBT_OVERSHOOT_FRACTION: f64 = 0.15;

/// Time after which an instance that has heard from no other assumes that it is the only
/// one.
pub const DISCOVERY_TIME: Duration = Duration::from_millis(1_600);

/// How far the tokens of all instances together may exceed a customer's rate; the same for
/// all customers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window in which the tokens admitted by all instances are counted.
    pub window: Duration,
    /// Fraction by which the tokens in a window may exceed rate and burst.
    pub overshoot: f64,
    /// Tokens allowed in addition in each window.
    pub slack: f64,
    /// Maximum number of instances that may start without having heard from each other.
    pub assumed_instances: f64,
}

/// Describes a request that exceeds its customer's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// Time after which the share will hold enough tokens.
    pub retry_after: Duration,
    /// Fraction of the rate that this instance may admit, 0 to 1.
    pub fraction: f64,
    /// Tokens in the share; negative while it is in debt.
    pub available_tokens: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    /// Hash of the customer's name, under which its demand is reported.
    name_hash: u32,
    /// Tokens in the share; negative while it is in debt. Refills stop at the share's
    /// capacity.
    available_tokens: f64,
    refilled_at: Duration,
    /// Fraction of the rate that this instance may admit, 0 to 1.
    fraction: f64,
    /// This instance's equal fraction of the slack, 0 to 1.
    equal_fraction: f64,
    rate: f64,
    burst: f64,
    /// Whether the demand at all instances together is close to the rate or above it.
    high_demand: bool,
    /// Tokens requested, decaying over [`DEMAND_WINDOW`].
    requested_tokens: f64,
    /// Demand that was reported to other instances, with the time of each report.
    reports: VecDeque<(Duration, f64)>,
}

/// The shares that one instance holds, by customer.
#[derive(Debug)]
pub struct Quota {
    tolerance: Tolerance,
    buckets: HashMap<SmolStr, Bucket>,
    updated_at: Duration,
    /// Whether the fill at the start was done or skipped.
    initial_fill_done: bool,
}

impl Quota {
    /// Creates the shares of a new process. They start nearly empty, so that a restart does
    /// not grant another full burst.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            updated_at: Duration::ZERO,
            initial_fill_done: false,
        }
    }

    /// Creates the share of `customer`, so that it starts to fill before the first request.
    pub fn open_share(&mut self, now: Duration, customer: &SmolStr, (rate, burst): (f64, f64)) {
        if rate > 0.0 {
            self.bucket(now, customer, (rate, burst));
        }
    }

    fn bucket(&mut self, now: Duration, customer: &SmolStr, limit: (f64, f64)) -> &mut Bucket {
        let (rate, burst) = limit;
        let tolerance = self.tolerance;
        let fraction = 1.0 / tolerance.assumed_instances;
        let bucket = self
            .buckets
            .entry(customer.clone())
            .or_insert_with(|| Bucket {
                name_hash: short_hash(customer),
                available_tokens: tolerance.slack * fraction * SHARE_SLACK_FRACTION * 0.5,
                refilled_at: now,
                fraction,
                equal_fraction: fraction,
                rate,
                burst,
                high_demand: false,
                requested_tokens: 0.0,
                reports: VecDeque::new(),
            });
        (bucket.rate, bucket.burst) = (rate, burst);
        refill(bucket, now, tolerance);
        bucket
    }

    /// Takes `cost` from the share of `customer`.
    pub fn take(
        &mut self,
        now: Duration,
        customer: &SmolStr,
        limit: (f64, f64),
        cost: f64,
    ) -> Result<(), Exceeded> {
        let rate = limit.0;
        if rate <= 0.0 {
            return Ok(());
        }
        let tolerance = self.tolerance;
        let bucket = self.bucket(now, customer, limit);
        bucket.requested_tokens += cost;
        let capacity = share_capacity(bucket, tolerance);
        let mut max_debt = max_debt_of(bucket, tolerance);
        if !bucket.high_demand {
            max_debt *= LOW_DEMAND_DEBT_FACTOR;
        } else if cost > capacity * SMALL_REQUEST_FRACTION {
            max_debt *= LARGE_REQUEST_DEBT_FACTOR;
        }
        // A request larger than the share's capacity needs a full share and leaves it in
        // debt.
        let needed = cost.min(capacity * FULL_FRACTION) - cost.min(max_debt);
        if bucket.available_tokens >= needed {
            bucket.available_tokens -= cost;
            return Ok(());
        }
        let tokens_per_s = (bucket.fraction * rate).max(1.0);
        Err(Exceeded {
            retry_after: Duration::from_secs_f64(
                ((needed - bucket.available_tokens) / tokens_per_s).min(60.0),
            ),
            fraction: bucket.fraction,
            available_tokens: bucket.available_tokens,
        })
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, customer: &SmolStr, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            let capacity = share_capacity(bucket, self.tolerance);
            bucket.available_tokens = (bucket.available_tokens + cost).min(capacity);
        }
    }

    /// Replaces the tolerance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Returns the demand to report, for at most `max_customers` customers, and records the
    /// report. Other instances use it after `propagation_time`, and so does this instance.
    /// Demand that is not reported does not count towards this instance's fraction either.
    pub fn report_demand(
        &mut self,
        now: Duration,
        propagation_time: Duration,
        max_customers: usize,
    ) -> Demand {
        let tolerance = self.tolerance;
        let mut demands: Vec<(f64, u32, f64)> = Vec::with_capacity(self.buckets.len());
        for bucket in self.buckets.values_mut() {
            refill(bucket, now, tolerance);
            let rate = demand(bucket, tolerance);
            if rate >= 1.0 {
                demands.push((rate / bucket.rate.max(1.0), bucket.name_hash, rate));
            }
        }
        demands.sort_by(|a, b| b.0.total_cmp(&a.0));
        demands.truncate(max_customers);
        // CAST: saturates far above any rate.
        let report = demands
            .iter()
            .map(|(_, name_hash, rate)| (*name_hash, *rate as u32));
        let (customer_hashes, tokens_per_s) = report.unzip();
        let report = Demand {
            customer_hashes,
            tokens_per_s,
        };
        for bucket in self.buckets.values_mut() {
            let rate = report.tokens_per_s_of(bucket.name_hash);
            bucket.reports.push_back((now, f64::from(rate)));
            while bucket.reports.len() > 1
                && now.saturating_sub(bucket.reports[1].0) >= propagation_time
            {
                bucket.reports.pop_front();
            }
        }
        report
    }

    /// Recomputes the fractions from the reports of all instances.
    pub fn update_fractions(&mut self, now: Duration, members: &mut Members) {
        if now.saturating_sub(self.updated_at) < GOSSIP_INTERVAL / 2 {
            return;
        }
        self.updated_at = now;
        if members.all.is_empty() && now < DISCOVERY_TIME {
            return;
        }
        let tolerance = self.tolerance;
        let fresh = members.is_fresh(now);
        let initial_fill = !std::mem::replace(&mut self.initial_fill_done, true)
            && members.all.len() < MAX_RECORDS;
        for bucket in self.buckets.values_mut() {
            refill(bucket, now, tolerance);
            let (fraction, total_demand) =
                compute_fraction(now, bucket, members, tolerance.assumed_instances);
            bucket.high_demand = total_demand > bucket.rate * HIGH_DEMAND_FRACTION;
            // While a member is silent, its demand may have changed, so fractions must not
            // grow.
            bucket.fraction = if fresh {
                fraction
            } else {
                fraction.min(bucket.fraction)
            };
            // CAST: the number of instances is small.
            bucket.equal_fraction = 1.0 / (members.all.len() + 1) as f64;
            let capacity = share_capacity(bucket, tolerance);
            if initial_fill {
                bucket.available_tokens = bucket
                    .available_tokens
                    .max(capacity * INITIAL_FILL_FRACTION);
            }
            bucket.available_tokens = bucket.available_tokens.min(capacity);
        }
    }
}

/// Returns whether the fraction of `member` may be recomputed: this instance hears from it
/// and it acknowledges this instance, so that both use the same reports.
fn is_connected(
    member: &Member,
    now: Duration,
    (alive_timeout, ack_timeout): (Duration, Duration),
) -> bool {
    now.saturating_sub(member.last_heard) < alive_timeout
        && now.saturating_sub(member.last_acked) < ack_timeout
}

/// Returns this instance's fraction of the rate, and the total demand at all connected
/// instances.
fn compute_fraction(
    now: Duration,
    bucket: &Bucket,
    members: &mut Members,
    assumed_instances: f64,
) -> (f64, f64) {
    let name_hash = bucket.name_hash;
    let timeouts = (members.alive_timeout(), members.ack_timeout());
    let connected = members
        .all
        .values()
        .filter(|m| is_connected(m, now, timeouts))
        .count();
    let reserved: f64 = members
        .all
        .values()
        .filter(|m| !is_connected(m, now, timeouts))
        .map(|m| {
            m.rate_fractions
                .get(&name_hash)
                .copied()
                .unwrap_or(1.0 / assumed_instances)
        })
        .sum();
    let unreserved = (1.0 - reserved).max(0.0);
    // CAST: the number of instances is small.
    let equal_fraction = 1.0 / (connected + 1) as f64;
    let own_demand = bucket.reports.front().map_or(0.0, |t| t.1);
    let demand_of = |m: &Member| {
        let demand = m.record.demand.as_ref();
        demand.map_or(0.0, |d| f64::from(d.tokens_per_s_of(name_hash)))
    };
    let other_demand: f64 = members
        .all
        .values()
        .filter(|m| is_connected(m, now, timeouts))
        .map(demand_of)
        .sum();
    let total_demand = own_demand + other_demand;
    let equal_weight = (1.0 - total_demand / bucket.rate.max(1.0)).max(MIN_EQUAL_WEIGHT);
    let fraction_for = |demand: f64| {
        let demand_fraction = if total_demand > 0.0 {
            demand / total_demand
        } else {
            equal_fraction
        };
        unreserved * (equal_weight * equal_fraction + (1.0 - equal_weight) * demand_fraction)
    };
    for member in members.all.values_mut() {
        if is_connected(member, now, timeouts) {
            let fraction = fraction_for(demand_of(member));
            member.rate_fractions.insert(name_hash, fraction);
        }
    }
    (fraction_for(own_demand), total_demand)
}

/// Returns the demand in tokens per second: the requested tokens, and those needed to
/// refill the share to half.
fn demand(bucket: &Bucket, tolerance: Tolerance) -> f64 {
    let missing_tokens =
        (share_capacity(bucket, tolerance) / 2.0 - bucket.available_tokens).max(0.0);
    bucket.requested_tokens / DEMAND_WINDOW.as_secs_f64()
        + missing_tokens / HALF_REFILL_TIME.as_secs_f64()
}

/// Returns the maximum number of tokens in the share.
fn share_capacity(bucket: &Bucket, tolerance: Tolerance) -> f64 {
    let enlargement = 1.0 + tolerance.overshoot * SHARE_OVERSHOOT_FRACTION;
    bucket.fraction * bucket.burst * enlargement
        + bucket.equal_fraction * tolerance.slack * SHARE_SLACK_FRACTION
}

/// Returns the maximum debt of the share. All instances may be in debt at the same time.
fn max_debt_of(bucket: &Bucket, tolerance: Tolerance) -> f64 {
    let allowed_tokens = bucket.rate * tolerance.window.as_secs_f64() + bucket.burst;
    bucket.equal_fraction
        * (allowed_tokens * tolerance.overshoot * DEBT_OVERSHOOT_FRACTION
            + tolerance.slack * DEBT_SLACK_FRACTION)
}

fn refill(bucket: &mut Bucket, now: Duration, tolerance: Tolerance) {
    let elapsed_s = now.saturating_sub(bucket.refilled_at).as_secs_f64();
    bucket.refilled_at = now;
    let capacity = share_capacity(bucket, tolerance);
    let refill_tokens = elapsed_s
        * bucket.fraction
        * bucket.rate
        * (1.0 + tolerance.overshoot * SHARE_OVERSHOOT_FRACTION);
    // If the capacity was lowered, surplus tokens are kept until they are spent, but not
    // added to.
    if bucket.available_tokens < capacity {
        bucket.available_tokens = (bucket.available_tokens + refill_tokens).min(capacity);
    }
    bucket.requested_tokens *= (-elapsed_s / DEMAND_WINDOW.as_secs_f64()).exp();
}
