//! Shares of each customer's rate.
//!
//! A token is one unit of the customer's rate: a model token, or a request if the rate
//! counts requests.
//!
//! Each instance admits a fraction of the rate, in proportion to the demand that all
//! instances report. All instances compute the fractions from the same reports. An instance
//! uses its own report only after the propagation time, when the others have it too;
//! otherwise two instances whose demand rises at the same time would each rely on the
//! other's previous demand.
//!
//! The fraction of an instance that is no longer heard from stays reserved for it. In a
//! network partition the fractions on both sides therefore add up to at most the full rate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::gossip::{Demand, short_hash};
use crate::member::{GOSSIP_INTERVAL, MAX_RECORDS, Member, Members};

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_500);

/// Fraction of its capacity to which each share is filled once after the start. Skipped if
/// one reply cannot contain the records of all instances, since this instance may then not
/// know all of them. A few such fills within one window stay within the tolerance.
const INITIAL_FILL_FRACTION: f64 = 0.3;

/// Time in which a share that is less than half full should be refilled to half; the tokens
/// needed for this count as demand.
const HALF_REFILL_TIME: Duration = Duration::from_secs(2);

/// Minimum fraction of the rate that is divided equally. More is divided equally while the
/// total demand leaves more of the rate unused.
const MIN_EQUAL_WEIGHT: f64 = 0.1;

/// Fraction of [`Tolerance::slack`] that is divided among the shares.
const SHARE_SLACK_FRACTION: f64 = 0.6;

/// Fraction of [`Tolerance::slack`] that all shares together may use as debt.
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

/// Time after its start in which an instance discovers the others. If it has heard from none
/// by then, it assumes that it is the only one. Until then it sends no requests to cold
/// upstreams that have a rate limit, and computes no fractions unless it has heard from
/// another instance.
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

/// Token bucket for this instance's fraction of a customer's rate.
#[derive(Clone, Debug)]
struct Share {
    /// Hash of the customer's name, under which its demand is reported.
    name_hash: u32,
    /// Tokens in the share; negative while it is in debt. Refills stop at the share's
    /// capacity.
    available_tokens: f64,
    refilled_at: Duration,
    /// Fraction of the rate that this instance may admit, 0 to 1.
    fraction: f64,
    /// Fraction of the slack and of the maximum debt that this instance may use, the same for
    /// all instances, 0 to 1.
    tolerance_fraction: f64,
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
    shares: HashMap<SmolStr, Share>,
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
            shares: HashMap::new(),
            updated_at: Duration::ZERO,
            initial_fill_done: false,
        }
    }

    /// Creates the share of `customer`, so that it starts to fill before the first request.
    pub fn open_share(&mut self, now: Duration, customer: &SmolStr, (rate, burst): (f64, f64)) {
        if rate > 0.0 {
            self.share(now, customer, (rate, burst));
        }
    }

    fn share(&mut self, now: Duration, customer: &SmolStr, limit: (f64, f64)) -> &mut Share {
        let (rate, burst) = limit;
        let tolerance = self.tolerance;
        let fraction = 1.0 / tolerance.assumed_instances;
        let share = self
            .shares
            .entry(customer.clone())
            .or_insert_with(|| Share {
                name_hash: short_hash(customer),
                available_tokens: tolerance.slack * fraction * SHARE_SLACK_FRACTION * 0.5,
                refilled_at: now,
                fraction,
                tolerance_fraction: fraction,
                rate,
                burst,
                high_demand: false,
                requested_tokens: 0.0,
                reports: VecDeque::new(),
            });
        (share.rate, share.burst) = (rate, burst);
        refill(share, now, tolerance);
        share
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
        let share = self.share(now, customer, limit);
        share.requested_tokens += cost;
        let capacity = share_capacity(share, tolerance);
        let mut max_debt = max_debt_of(share, tolerance);
        if !share.high_demand {
            max_debt *= LOW_DEMAND_DEBT_FACTOR;
        } else if cost > capacity * SMALL_REQUEST_FRACTION {
            max_debt *= LARGE_REQUEST_DEBT_FACTOR;
        }
        // A request larger than the share's capacity needs a full share and leaves it in
        // debt.
        let needed = cost.min(capacity * FULL_FRACTION) - cost.min(max_debt);
        if share.available_tokens >= needed {
            share.available_tokens -= cost;
            return Ok(());
        }
        let tokens_per_s = (share.fraction * rate).max(1.0);
        Err(Exceeded {
            retry_after: Duration::from_secs_f64(
                ((needed - share.available_tokens) / tokens_per_s).min(60.0),
            ),
            fraction: share.fraction,
            available_tokens: share.available_tokens,
        })
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, customer: &SmolStr, cost: f64) {
        if let Some(share) = self.shares.get_mut(customer) {
            let capacity = share_capacity(share, self.tolerance);
            share.available_tokens = (share.available_tokens + cost).min(capacity);
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
        let mut demands: Vec<(f64, u32, f64)> = Vec::with_capacity(self.shares.len());
        for share in self.shares.values_mut() {
            refill(share, now, tolerance);
            let demand_per_s = demand(share, tolerance);
            if demand_per_s >= 1.0 {
                demands.push((
                    demand_per_s / share.rate.max(1.0),
                    share.name_hash,
                    demand_per_s,
                ));
            }
        }
        demands.sort_by(|a, b| b.0.total_cmp(&a.0));
        demands.truncate(max_customers);
        // CAST: saturates far above any rate.
        let report = demands
            .iter()
            .map(|(_, name_hash, demand_per_s)| (*name_hash, *demand_per_s as u32));
        let (customer_hashes, tokens_per_s) = report.unzip();
        let report = Demand {
            customer_hashes,
            tokens_per_s,
        };
        for share in self.shares.values_mut() {
            let demand_per_s = report.tokens_per_s_of(share.name_hash);
            share.reports.push_back((now, f64::from(demand_per_s)));
            while share.reports.len() > 1
                && now.saturating_sub(share.reports[1].0) >= propagation_time
            {
                share.reports.pop_front();
            }
        }
        report
    }

    /// Recomputes the fractions from the reports of all instances, unless this was done less
    /// than half a gossip interval ago: replies also count as rounds.
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
        for share in self.shares.values_mut() {
            refill(share, now, tolerance);
            let (fraction, total_demand) =
                compute_fraction(now, share, members, tolerance.assumed_instances);
            share.high_demand = total_demand > share.rate * HIGH_DEMAND_FRACTION;
            // While a member is silent, its demand may have changed, so fractions must not
            // grow.
            share.fraction = if fresh {
                fraction
            } else {
                fraction.min(share.fraction)
            };
            // CAST: the number of instances is small.
            share.tolerance_fraction = 1.0 / (members.all.len() + 1) as f64;
            let capacity = share_capacity(share, tolerance);
            if initial_fill {
                share.available_tokens =
                    share.available_tokens.max(capacity * INITIAL_FILL_FRACTION);
            }
            share.available_tokens = share.available_tokens.min(capacity);
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
    share: &Share,
    members: &mut Members,
    assumed_instances: f64,
) -> (f64, f64) {
    let name_hash = share.name_hash;
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
    let own_demand = share.reports.front().map_or(0.0, |t| t.1);
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
    let equal_weight = (1.0 - total_demand / share.rate.max(1.0)).max(MIN_EQUAL_WEIGHT);
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
fn demand(share: &Share, tolerance: Tolerance) -> f64 {
    let missing_tokens = (share_capacity(share, tolerance) / 2.0 - share.available_tokens).max(0.0);
    share.requested_tokens / DEMAND_WINDOW.as_secs_f64()
        + missing_tokens / HALF_REFILL_TIME.as_secs_f64()
}

/// Returns the maximum number of tokens in the share.
fn share_capacity(share: &Share, tolerance: Tolerance) -> f64 {
    let enlargement = 1.0 + tolerance.overshoot * SHARE_OVERSHOOT_FRACTION;
    share.fraction * share.burst * enlargement
        + share.tolerance_fraction * tolerance.slack * SHARE_SLACK_FRACTION
}

/// Returns the maximum debt of the share. All instances may be in debt at the same time.
fn max_debt_of(share: &Share, tolerance: Tolerance) -> f64 {
    let allowed_tokens = share.rate * tolerance.window.as_secs_f64() + share.burst;
    share.tolerance_fraction
        * (allowed_tokens * tolerance.overshoot * DEBT_OVERSHOOT_FRACTION
            + tolerance.slack * DEBT_SLACK_FRACTION)
}

fn refill(share: &mut Share, now: Duration, tolerance: Tolerance) {
    let elapsed_s = now.saturating_sub(share.refilled_at).as_secs_f64();
    share.refilled_at = now;
    let capacity = share_capacity(share, tolerance);
    let refill_tokens = elapsed_s
        * share.fraction
        * share.rate
        * (1.0 + tolerance.overshoot * SHARE_OVERSHOOT_FRACTION);
    // If the capacity was lowered, surplus tokens are kept until they are spent, but not
    // added to.
    if share.available_tokens < capacity {
        share.available_tokens = (share.available_tokens + refill_tokens).min(capacity);
    }
    share.requested_tokens *= (-elapsed_s / DEMAND_WINDOW.as_secs_f64()).exp();
}
