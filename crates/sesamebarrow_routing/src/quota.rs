//! Token buckets for the rates of customers.
//!
//! A token is one unit of a customer's rate: a model token, or a request if the rate counts
//! requests.
//!
//! Each region has the same part of a customer's rate. A few of its instances keep buckets
//! that refill at equal fractions of that part ([`crate::holder`]), so that all buckets
//! together never exceed the rate, also in a network partition. Requests take their tokens
//! from one of them, which borrows from the others, and from those of other regions, ahead
//! of need. Tokens are moved and never copied: a lender removes them before it sends them, and tokens
//! in a lost message are lost.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(800);

/// Time over which the size of the largest request is remembered.
const LARGEST_REQUEST_WINDOW: Duration = Duration::from_secs(5);

/// Demand for which a bucket should hold tokens: the time until borrowed tokens arrive from
/// another region, with a margin for a lost message.
const LOAN_LEAD: Duration = Duration::from_millis(500);

/// Time after which a requested loan is no longer expected: the round trip between regions,
/// with a margin for a busy lender.
const LOAN_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time over which refused clients are asked to return one after the other. Those
/// that would have to wait longer give up.
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);

/// Maximum delay that a refusal asks the client to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Fraction of [`Tolerance::slack`] by which the capacities of all buckets together are
/// enlarged.
const CAPACITY_SLACK_FRACTION: f64 = 0.6;

/// Fraction of [`Tolerance::slack`] that all buckets together may use as debt.
const DEBT_SLACK_FRACTION: f64 = 0.3;

/// Fraction of a bucket's capacity up to which a request counts as small.
const SMALL_REQUEST_FRACTION: f64 = 0.1;

/// Fraction of the maximum debt that larger requests may use, so that small requests of a
/// customer above its rate still succeed.
const LARGE_REQUEST_DEBT_FACTOR: f64 = 0.6;

/// Fraction of a bucket's capacity at which the bucket counts as full.
const FULL_FRACTION: f64 = 0.9;

/// Fraction of the allowed overshoot by which rates and capacities are enlarged.
const RATE_OVERSHOOT_FRACTION: f64 = 0.5;

/// Fraction of the allowed overshoot that all buckets together may use as debt. The rest
/// covers the time until all instances know a new bucket holder.
const DEBT_OVERSHOOT_FRACTION: f64 = 0.15;

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
}

/// Describes a request that exceeds its customer's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// Time after which the bucket will hold enough tokens.
    pub retry_after: Duration,
}

/// The bucket of one customer, as this instance keeps it.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// Fraction of the rate that refills this bucket, 0 to 1; 0 if other instances refill
    /// the region's buckets.
    refill_fraction: f64,
    /// Tokens in the bucket; negative while it is in debt. Refills stop at its capacity.
    available_tokens: f64,
    updated_at: Duration,
    /// Tokens requested, decaying over [`DEMAND_WINDOW`].
    requested_tokens: f64,
    /// Cost of the largest recent request, decaying over [`LARGEST_REQUEST_WINDOW`].
    largest_request: f64,
    /// Cost of refused requests that are expected to return, less the tokens that were
    /// refilled since.
    returning_tokens: f64,
    /// Requests for loans that were not answered yet: when, and how many tokens. Oldest first.
    pending_loans: VecDeque<(Duration, f64)>,
}

/// The buckets that one instance keeps, by the hash of the customer's name.
#[derive(Debug)]
pub struct Quota {
    tolerance: Tolerance,
    /// Number of regions, which have equal parts of each rate.
    regions: f64,
    buckets: HashMap<u64, Bucket>,
    /// Whether the tokens since the start of the process were added.
    start_credited: bool,
}

/// State of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketState {
    /// Fraction of the rate that refills it, 0 to 1.
    pub refill_fraction: f64,
    /// Tokens in it; negative while it is in debt.
    pub available_tokens: f64,
    /// Tokens that its own demand is expected to need until loans arrive.
    pub lead_tokens: f64,
}

/// Tokens that a bucket needs from others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanNeed {
    /// Hash of the customer's name.
    pub customer: u64,
    /// Number of tokens.
    pub tokens: f64,
}

impl Quota {
    /// Creates the buckets of a new process. They start empty, so that a restart does not
    /// grant another full burst.
    pub fn new(tolerance: Tolerance, regions: usize) -> Self {
        Self {
            tolerance,
            // CAST: the number of regions is small.
            regions: regions.max(1) as f64,
            buckets: HashMap::new(),
            start_credited: false,
        }
    }

    /// Replaces the number of regions, which have equal parts of each rate.
    pub fn set_regions(&mut self, regions: usize) {
        // CAST: the number of regions is small.
        self.regions = regions.max(1) as f64;
    }

    /// Replaces the tolerance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the limits of all customers, given as hash, rate and burst; a rate of 0 means no
    /// limit. Buckets of other customers are removed, and tokens above a lowered limit are
    /// dropped.
    pub fn set_limits(&mut self, now: Duration, limits: &[(u64, f64, f64)]) {
        let listed = |customer: &u64| limits.iter().any(|(hash, ..)| hash == customer);
        self.buckets.retain(|customer, _| listed(customer));
        for &(customer, rate, burst) in limits {
            let bucket = self
                .buckets
                .entry(customer)
                .or_insert_with(|| Bucket::new(now));
            let lowered = rate < bucket.rate || burst < bucket.burst;
            (bucket.rate, bucket.burst) = (rate, burst);
            if lowered {
                let capacity = bucket.capacity(self.tolerance);
                bucket.available_tokens = bucket.available_tokens.min(capacity);
            }
        }
    }

    /// Sets the fraction of each rate that refills this instance's bucket. `fraction_of`
    /// returns it for the hash of a customer's name, or `None` if this instance should not
    /// keep a bucket for the customer.
    pub fn set_refill_fractions(
        &mut self,
        now: Duration,
        fraction_of: impl Fn(u64) -> Option<f64>,
    ) {
        for (&customer, bucket) in &mut self.buckets {
            bucket.refill(now, self.tolerance, self.regions);
            let fraction = fraction_of(customer);
            bucket.refill_fraction = fraction.unwrap_or(0.0);
            let unused = bucket.requested_tokens < 1.0;
            if fraction.is_none() && unused {
                // Others keep the buckets again, so what was borrowed is of no more use.
                bucket.available_tokens = bucket.available_tokens.min(0.0);
            }
        }
    }

    /// Adds the tokens that accrued since the start of the process, once and as soon as there
    /// are buckets. Nothing else refilled them: the tokens of an instance that ended, or is
    /// replaced by this one, are not given to others.
    pub fn credit_start(&mut self, now: Duration) {
        if self.start_credited || self.buckets.is_empty() {
            return;
        }
        self.start_credited = true;
        for bucket in self.buckets.values_mut() {
            bucket.updated_at = Duration::ZERO;
            bucket.refill(now, self.tolerance, self.regions);
        }
    }

    /// Takes `cost` from the bucket of `customer`. Customers without a limit, and only
    /// those, always succeed; for an unknown customer the bucket is empty.
    pub fn take(&mut self, now: Duration, customer: u64, cost: f64) -> Result<(), Exceeded> {
        let (tolerance, regions) = (self.tolerance, self.regions);
        let Some(bucket) = self.buckets.get_mut(&customer) else {
            return Err(Exceeded {
                retry_after: LOAN_LEAD,
            });
        };
        if bucket.rate <= 0.0 {
            return Ok(());
        }
        bucket.refill(now, tolerance, regions);
        bucket.requested_tokens += cost;
        bucket.largest_request = bucket.largest_request.max(cost);
        let capacity = bucket.capacity(tolerance);
        let mut max_debt = bucket.max_debt(tolerance);
        if cost > capacity * SMALL_REQUEST_FRACTION {
            max_debt *= LARGE_REQUEST_DEBT_FACTOR;
        }
        // A request larger than the capacity needs a full bucket and leaves it in debt.
        let full = if capacity > 0.0 {
            capacity * FULL_FRACTION
        } else {
            f64::INFINITY
        };
        let needed = cost.min(full) - cost.min(max_debt);
        if bucket.available_tokens >= needed {
            bucket.available_tokens -= cost;
            return Ok(());
        }
        let missing = needed - bucket.available_tokens;
        Err(bucket.refuse(missing, cost, bucket.rate / regions))
    }

    /// Returns the state of this instance's bucket of `customer`; `None` if the customer has
    /// no limit, or this instance neither refills the bucket nor was asked for its tokens.
    pub fn bucket_state(&self, customer: u64) -> Option<BucketState> {
        let bucket = self.buckets.get(&customer)?;
        let is_used = bucket.refill_fraction > 0.0 || bucket.requested_tokens >= 1.0;
        (bucket.rate > 0.0 && is_used).then(|| BucketState {
            refill_fraction: bucket.refill_fraction,
            available_tokens: bucket.available_tokens,
            lead_tokens: bucket.lead_tokens(),
        })
    }

    /// Returns tokens that were taken for a request that did not run.
    pub fn refund(&mut self, customer: u64, tokens: f64) {
        let tolerance = self.tolerance;
        if let Some(bucket) = self.buckets.get_mut(&customer) {
            let max_tokens = bucket.capacity(tolerance).max(bucket.largest_request);
            let refunded = bucket.available_tokens + tokens;
            bucket.available_tokens = refunded.min(max_tokens.max(bucket.available_tokens));
        }
    }

    /// Takes up to `tokens` from the bucket of `customer` for another region, and returns
    /// how many. The bucket keeps what its own demand needs soon.
    pub fn lend(&mut self, now: Duration, customer: u64, tokens: f64) -> f64 {
        let (tolerance, regions) = (self.tolerance, self.regions);
        let Some(bucket) = self.buckets.get_mut(&customer) else {
            return 0.0;
        };
        bucket.refill(now, tolerance, regions);
        let lendable = (bucket.available_tokens - bucket.lead_tokens()).max(0.0);
        let lent = tokens.min(lendable).max(0.0).floor();
        bucket.available_tokens -= lent;
        lent
    }

    /// Adds `lent` tokens to the bucket of `customer`, the answer to a request for
    /// `requested` tokens.
    pub fn receive_loan(&mut self, customer: u64, requested: f64, lent: f64) {
        if let Some(bucket) = self.buckets.get_mut(&customer) {
            bucket.available_tokens += lent;
            let loans = &mut bucket.pending_loans;
            if let Some(position) = loans.iter().position(|(_, tokens)| *tokens == requested) {
                loans.remove(position);
            }
        }
    }

    /// Returns the tokens that buckets need from others now.
    pub fn loans_needed(&mut self, now: Duration) -> Vec<LoanNeed> {
        let (tolerance, regions) = (self.tolerance, self.regions);
        let mut needs = Vec::new();
        for (&customer, bucket) in &mut self.buckets {
            bucket.refill(now, tolerance, regions);
            let expected = |(at, _): &(Duration, f64)| now.saturating_sub(*at) < LOAN_TIMEOUT;
            bucket.pending_loans.retain(expected);
            let pending: f64 = bucket.pending_loans.iter().map(|(_, tokens)| tokens).sum();
            // Together with its region's other buckets it holds at most twice the region's
            // part of the burst.
            let target = bucket.lead_tokens().min(bucket.burst / regions);
            let tokens = (target - bucket.available_tokens - pending).floor();
            if bucket.requested_tokens >= 1.0 && tokens >= 1.0 {
                needs.push(LoanNeed { customer, tokens });
            }
        }
        needs
    }

    /// Records that a loan was requested.
    pub fn record_loan_request(&mut self, now: Duration, requested: LoanNeed) {
        if let Some(bucket) = self.buckets.get_mut(&requested.customer) {
            bucket.pending_loans.push_back((now, requested.tokens));
        }
    }
}

impl Bucket {
    fn new(now: Duration) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            refill_fraction: 0.0,
            available_tokens: 0.0,
            updated_at: now,
            requested_tokens: 0.0,
            largest_request: 0.0,
            returning_tokens: 0.0,
            pending_loans: VecDeque::new(),
        }
    }

    /// Refuses a request of `cost` for which `missing` tokens are missing. `tokens_per_s` is
    /// the region's part of the rate. Clients are asked to return one after the other, as
    /// fast as their region's buckets refill; borrowed tokens come on top.
    fn refuse(&mut self, missing: f64, cost: f64, tokens_per_s: f64) -> Exceeded {
        let tokens_per_s = tokens_per_s.max(1.0);
        let wait_s = (missing + self.returning_tokens) / tokens_per_s;
        let max_returning = tokens_per_s * MAX_RETURN_TIME.as_secs_f64();
        self.returning_tokens = (self.returning_tokens + cost).min(max_returning);
        let min = if self.refill_fraction > 0.0 {
            Duration::ZERO
        } else {
            LOAN_LEAD
        };
        Exceeded {
            retry_after: Duration::from_secs_f64(wait_s).clamp(min, MAX_RETRY_AFTER),
        }
    }

    /// Returns the tokens that the bucket's own demand is expected to need until loans
    /// arrive.
    fn lead_tokens(&self) -> f64 {
        let demand_per_s = self.requested_tokens / DEMAND_WINDOW.as_secs_f64();
        demand_per_s * LOAN_LEAD.as_secs_f64() + self.largest_request
    }

    /// Returns the number of tokens up to which the bucket refills.
    fn capacity(&self, tolerance: Tolerance) -> f64 {
        let enlargement = 1.0 + tolerance.overshoot * RATE_OVERSHOOT_FRACTION;
        self.refill_fraction
            * (self.burst * enlargement + tolerance.slack * CAPACITY_SLACK_FRACTION)
    }

    /// Returns the maximum debt. All buckets may be in debt at the same time.
    fn max_debt(&self, tolerance: Tolerance) -> f64 {
        let allowed_tokens = self.rate * tolerance.window.as_secs_f64() + self.burst;
        self.refill_fraction
            * (allowed_tokens * tolerance.overshoot * DEBT_OVERSHOOT_FRACTION
                + tolerance.slack * DEBT_SLACK_FRACTION)
    }

    fn refill(&mut self, now: Duration, tolerance: Tolerance, regions: f64) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let enlargement = 1.0 + tolerance.overshoot * RATE_OVERSHOOT_FRACTION;
        let refill_tokens = elapsed_s * self.refill_fraction * self.rate * enlargement;
        let capacity = self.capacity(tolerance);
        // Tokens above the capacity are kept until they are spent, but not added to.
        if self.available_tokens < capacity {
            self.available_tokens = (self.available_tokens + refill_tokens).min(capacity);
        }
        let region_tokens = elapsed_s * self.rate / regions;
        self.returning_tokens = (self.returning_tokens - region_tokens).max(0.0);
        self.requested_tokens *= (-elapsed_s / DEMAND_WINDOW.as_secs_f64()).exp();
        self.largest_request *= (-elapsed_s / LARGEST_REQUEST_WINDOW.as_secs_f64()).exp();
    }
}
