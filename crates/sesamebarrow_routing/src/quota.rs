//! Shares of each customer's rate.
//!
//! Every instance admits its part of the rate, in proportion to the demand that each one
//! tells. Parts are computed from what was told a while ago, by all alike, so that two
//! instances whose demand rises at once do not both count on the other's old one. The
//! part of an instance that is no longer heard stays reserved for it: on both sides of a
//! cut the parts then sum to no more than the rate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::gossip::{Demand, short_hash};
use crate::member::{GOSSIP_INTERVAL, MAX_RECORDS, Member, Members};

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_500);

/// Part of a share's burst at its start, where the first answer of another instance names
/// all there are. It fits into the users' bound a few times in a window.
const BEGIN: f64 = 0.3;

/// Time in which a share that is less than half full asks to be filled up to there.
const REFILL_TIME: Duration = Duration::from_secs(2);

/// Least part of the rate that is divided evenly, whatever the demand; more is while
/// the demand of all together leaves more.
const LEAST_EVEN: f64 = 0.1;

/// Part of the fixed slack that shares hold.
const SLACK: f64 = 0.6;

/// Part of the fixed slack that may be owed.
const SLACK_DEBT: f64 = 0.3;

/// Part of a share's burst up to which a request is small.
const SMALL: f64 = 0.1;

/// Part of the debt that is open to larger requests, so that a customer above its rate
/// still gets its small ones through.
const LARGE_DEBT: f64 = 0.6;

/// Part of the rate above which a customer's demand counts as exceeding it.
const PRESSED: f64 = 0.85;

/// Factor on the debt of a customer that stays below its rate: single requests then make
/// shares run out, and what they owe is soon earned.
const CALM_DEBT: f64 = 2.0;

/// Part of a share's burst at which it counts as full.
const FULL: f64 = 0.9;

/// Part of what the bound leaves above rate and burst by which shares are larger.
const SHARE_OVER: f64 = 0.5;

/// Part of it that may be owed by all shares together; the rest covers late news.
const DEBT_OVER: f64 = 0.15;

/// Time after which an instance that hears nobody takes itself to be alone.
pub const DISCOVERY_TIME: Duration = Duration::from_millis(1_600);

/// The users' bound that does not depend on the customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Window in which the tokens of all instances are counted.
    pub window: Duration,
    /// Part by which a window's tokens may exceed rate and burst.
    pub overshoot: f64,
    /// Tokens in a window beyond that.
    pub slack: f64,
    /// Most instances that may run without hearing of each other at the start.
    pub assumed_instances: f64,
}

/// Why a request is not within its customer's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// When the share will hold enough.
    pub retry_after: Duration,
    /// This instance's part of the rate, 0 to 1.
    pub fraction: f64,
    /// Tokens that the share holds.
    pub available_tokens: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    /// Hash of the customer's name, by which its demand is told.
    hash: u32,
    /// Tokens at hand; never above the share's burst.
    level: f64,
    refilled: Duration,
    /// This instance's part of the rate, 0 to 1.
    part: f64,
    /// This instance's part of the fixed slack, 0 to 1.
    even: f64,
    rate: f64,
    burst: f64,
    /// Whether all instances together are asked for about the whole rate.
    pressed: bool,
    /// Tokens asked for, decaying over [`DEMAND_WINDOW`].
    asked: f64,
    /// What was told to others, with the time.
    told: VecDeque<(Duration, f64)>,
}

/// The shares of one instance.
#[derive(Debug)]
pub struct Quota {
    bound: Bound,
    buckets: HashMap<SmolStr, Bucket>,
    settled: Duration,
    /// Whether shares were filled for the start.
    begun: bool,
}

impl Quota {
    /// Builds the shares of a new process, nearly empty: a restart mints no whole burst.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            buckets: HashMap::new(),
            settled: Duration::ZERO,
            begun: false,
        }
    }

    /// Begins the share of `customer`, so that it fills before the first request.
    pub fn open_share(&mut self, now: Duration, customer: &SmolStr, (rate, burst): (f64, f64)) {
        if rate > 0.0 {
            self.bucket(now, customer, (rate, burst));
        }
    }

    fn bucket(&mut self, now: Duration, customer: &SmolStr, limit: (f64, f64)) -> &mut Bucket {
        let (rate, burst) = limit;
        let bound = self.bound;
        let part = 1.0 / bound.assumed_instances;
        let bucket = self
            .buckets
            .entry(customer.clone())
            .or_insert_with(|| Bucket {
                hash: short_hash(customer),
                level: bound.slack * part * SLACK * 0.5,
                refilled: now,
                part,
                even: part,
                rate,
                burst,
                pressed: false,
                asked: 0.0,
                told: VecDeque::new(),
            });
        (bucket.rate, bucket.burst) = (rate, burst);
        refill(bucket, now, bound);
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
        let bound = self.bound;
        let bucket = self.bucket(now, customer, limit);
        bucket.asked += cost;
        let share = burst_share(bucket, bound);
        let mut owed = debt(bucket, bound);
        if !bucket.pressed {
            owed *= CALM_DEBT;
        } else if cost > share * SMALL {
            owed *= LARGE_DEBT;
        }
        // A request larger than the share's burst needs the whole of it, and leaves a debt.
        let needed = cost.min(share * FULL) - cost.min(owed);
        if bucket.level >= needed {
            bucket.level -= cost;
            return Ok(());
        }
        let speed = (bucket.part * rate).max(1.0);
        Err(Exceeded {
            retry_after: Duration::from_secs_f64(((needed - bucket.level) / speed).min(60.0)),
            fraction: bucket.part,
            available_tokens: bucket.level,
        })
    }

    /// Gives back what a request took that has not run.
    pub fn refund(&mut self, customer: &SmolStr, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            let most = burst_share(bucket, self.bound);
            bucket.level = (bucket.level + cost).min(most);
        }
    }

    /// Puts another bound in force.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Returns the demand to tell, of at most `most` customers, and notes that it was told;
    /// all others count on it after `news_time`, and only then does this instance. Demand
    /// that is not told does not count for this instance's part either.
    pub fn report_demand(&mut self, now: Duration, news_time: Duration, most: usize) -> Demand {
        let bound = self.bound;
        let mut demands: Vec<(f64, u32, f64)> = Vec::with_capacity(self.buckets.len());
        for bucket in self.buckets.values_mut() {
            refill(bucket, now, bound);
            let rate = demand(bucket, bound);
            if rate >= 1.0 {
                demands.push((rate / bucket.rate.max(1.0), bucket.hash, rate));
            }
        }
        demands.sort_by(|a, b| b.0.total_cmp(&a.0));
        demands.truncate(most);
        // CAST: saturates far above any rate.
        let told = demands.iter().map(|(_, hash, rate)| (*hash, *rate as u32));
        let (customers, rates) = told.unzip();
        let told = Demand { customers, rates };
        for bucket in self.buckets.values_mut() {
            let rate = told.rate_of(bucket.hash);
            bucket.told.push_back((now, f64::from(rate)));
            while bucket.told.len() > 1 && now.saturating_sub(bucket.told[1].0) >= news_time {
                bucket.told.pop_front();
            }
        }
        told
    }

    /// Computes the parts anew from what all instances told.
    pub fn update_fractions(&mut self, now: Duration, members: &mut Members) {
        if now.saturating_sub(self.settled) < GOSSIP_INTERVAL / 2 {
            return;
        }
        self.settled = now;
        if members.all.is_empty() && now < DISCOVERY_TIME {
            return;
        }
        let bound = self.bound;
        let fresh = members.is_fresh(now);
        let begins = !std::mem::replace(&mut self.begun, true) && members.all.len() < MAX_RECORDS;
        for bucket in self.buckets.values_mut() {
            refill(bucket, now, bound);
            let (part, total) = part(now, bucket, members, bound.assumed_instances);
            bucket.pressed = total > bucket.rate * PRESSED;
            // While some are silent, those that hear each other must not count on demand
            // that may have changed.
            bucket.part = if fresh { part } else { part.min(bucket.part) };
            // CAST: the number of instances is small.
            bucket.even = 1.0 / (members.all.len() + 1) as f64;
            let most = burst_share(bucket, bound);
            if begins {
                bucket.level = bucket.level.max(most * BEGIN);
            }
            bucket.level = bucket.level.min(most);
        }
    }
}

/// Tells whether the part of `member` can be counted anew: it is heard, and hears this
/// instance, so that both count on the same news.
fn is_linked(member: &Member, now: Duration, (unheard, patience): (Duration, Duration)) -> bool {
    now.saturating_sub(member.last_heard) < unheard
        && now.saturating_sub(member.last_acked) < patience
}

/// Returns this instance's part and the demand of all that are linked.
fn part(now: Duration, bucket: &Bucket, members: &mut Members, strangers: f64) -> (f64, f64) {
    let id = bucket.hash;
    let times = (members.alive_timeout(), members.ack_timeout());
    let linked = members
        .all
        .values()
        .filter(|m| is_linked(m, now, times))
        .count();
    let reserved: f64 = members
        .all
        .values()
        .filter(|m| !is_linked(m, now, times))
        .map(|m| {
            m.rate_fractions
                .get(&id)
                .copied()
                .unwrap_or(1.0 / strangers)
        })
        .sum();
    let free = (1.0 - reserved).max(0.0);
    // CAST: the number of instances is small.
    let even = 1.0 / (linked + 1) as f64;
    let mine = bucket.told.front().map_or(0.0, |t| t.1);
    let demand_of = |m: &Member| {
        let told = m.record.demand.as_ref();
        told.map_or(0.0, |d| f64::from(d.rate_of(id)))
    };
    let others: f64 = members
        .all
        .values()
        .filter(|m| is_linked(m, now, times))
        .map(demand_of)
        .sum();
    let total = mine + others;
    let spare = (1.0 - total / bucket.rate.max(1.0)).max(LEAST_EVEN);
    let weigh = |demand: f64| {
        let wanted = if total > 0.0 { demand / total } else { even };
        free * (spare * even + (1.0 - spare) * wanted)
    };
    for member in members.all.values_mut() {
        if is_linked(member, now, times) {
            let share = weigh(demand_of(member));
            member.rate_fractions.insert(id, share);
        }
    }
    (weigh(mine), total)
}

/// Returns the tokens a second that the share is asked for, and those that it lacks.
fn demand(bucket: &Bucket, bound: Bound) -> f64 {
    let lacking = (burst_share(bucket, bound) / 2.0 - bucket.level).max(0.0);
    bucket.asked / DEMAND_WINDOW.as_secs_f64() + lacking / REFILL_TIME.as_secs_f64()
}

/// Returns the most tokens that the share may hold.
fn burst_share(bucket: &Bucket, bound: Bound) -> f64 {
    let factor = 1.0 + bound.overshoot * SHARE_OVER;
    bucket.part * bucket.burst * factor + bucket.even * bound.slack * SLACK
}

/// Returns the tokens that the share may owe; all instances may at once.
fn debt(bucket: &Bucket, bound: Bound) -> f64 {
    let entitled = bucket.rate * bound.window.as_secs_f64() + bucket.burst;
    bucket.even * (entitled * bound.overshoot * DEBT_OVER + bound.slack * SLACK_DEBT)
}

fn refill(bucket: &mut Bucket, now: Duration, bound: Bound) {
    let gap = now.saturating_sub(bucket.refilled).as_secs_f64();
    bucket.refilled = now;
    let most = burst_share(bucket, bound);
    let gain = gap * bucket.part * bucket.rate * (1.0 + bound.overshoot * SHARE_OVER);
    // What a lowered share holds above its burst is kept until it is spent, not grown.
    if bucket.level < most {
        bucket.level = (bucket.level + gain).min(most);
    }
    bucket.asked *= (-gap / DEMAND_WINDOW.as_secs_f64()).exp();
}
