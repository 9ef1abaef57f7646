//! The share of one customer's rate and burst that this instance holds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use super::{Holder, MICRO_TOKENS_PER_TOKEN};
use crate::board::CustomerKey;
use crate::event::RequestId;

/// Time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time without demand after which the tick no longer handles a share. Also the retry time
/// given to a customer whose rate is zero.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Tokens lent to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lent {
    /// Amount lent, in microtokens.
    pub amount: u64,
    /// Amount that the borrower has reported as spent, in microtokens.
    pub spent: u64,
    /// When the loan has expired at the borrower even if the clocks drift.
    pub expires: Duration,
}

/// Tokens borrowed from another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Borrowed {
    /// The loan's id.
    pub id: u64,
    /// The lender.
    pub lender: SmolStr,
    /// Amount lent, in microtokens.
    pub amount: u64,
    /// Amount spent, in microtokens; never above `amount`.
    pub spent: u64,
    /// Amount reported to the lender as spent, in microtokens; never above `spent`.
    pub reported: u64,
    /// When the loan expires. Counted from the loan request, which was sent before the
    /// lender answered, so that the loan expires here before it does at the lender.
    pub expires: Duration,
}

impl Borrowed {
    fn unspent(&self) -> u64 {
        self.amount - self.spent
    }
}

/// A loan request that has not been answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingLoanRequest {
    /// The instance that was asked.
    pub lender: SmolStr,
    /// When it was sent.
    pub sent_at: Duration,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request.
    pub id: RequestId,
    /// Tokens that it waits for.
    pub cost_micro_tokens: u64,
    /// When the request is refused unless it has got its tokens.
    pub until: Duration,
}

/// Tokens reserved for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The customer.
    pub customer: CustomerKey,
    /// Key of the reservation among the refundable amounts of the share.
    pub id: u64,
    /// Microtokens taken from this instance's share.
    pub from_share: u64,
    /// Microtokens taken from loans.
    pub from_loans: u64,
}

/// The limit of a share before a change, which still caps the new one until `until`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PreviousLimit {
    rate: u64,
    burst: u64,
    until: Duration,
}

/// One customer's share. Amounts are in microtokens.
#[derive(Clone, Debug)]
pub struct Share {
    /// The customer's name.
    pub name: SmolStr,
    /// The customer's rate over the whole fleet, per second.
    pub fleet_rate: u64,
    /// The customer's burst over the whole fleet.
    pub fleet_burst: u64,
    /// The slots that hold a share, recomputed whenever the customer's rule or the
    /// domains change.
    pub holders: Vec<Holder>,
    /// Number of shares into which rate and burst are split; 0 if this slot holds none.
    pub share_count: u64,
    /// This share's rate under the rules in force, per second.
    pub rate: u64,
    /// This share's burst under the rules in force.
    pub burst: u64,
    /// The limit before the last change, while it still applies.
    previous: Option<PreviousLimit>,
    /// Tokens that may be spent.
    ///
    /// `micro_tokens + refundable_total + lent_total()` never exceeds the effective burst.
    pub micro_tokens: u64,
    /// Cost of requests beyond their reservations. New tokens pay it off first.
    debt: u64,
    /// Amount that each reservation may still give back, by the reservation's id.
    refundable: BTreeMap<u64, u64>,
    /// Sum of `refundable`.
    refundable_total: u64,
    /// Loans to other instances, by borrower, the borrower's incarnation and loan id.
    pub lent: BTreeMap<(SmolStr, u64, u64), Lent>,
    /// Loans from other instances, sorted by expiry.
    pub borrowed: Vec<Borrowed>,
    /// Loan requests that have not been answered, by id.
    pub pending_loan_requests: BTreeMap<u64, PendingLoanRequest>,
    /// Round-robin position among the lenders.
    pub lender_cursor: usize,
    /// No loan is requested before this time, because a lender had nothing to spare.
    pub next_loan_request_at: Duration,
    /// Requests that wait for tokens, in order of arrival.
    pub waiting: VecDeque<WaitingRequest>,
    /// Average demand per second.
    demand_per_s: f64,
    demand_updated_at: Duration,
    /// Largest cost of a request since the demand last fell to zero.
    pub largest_recent_cost: u64,
    refilled_at: Duration,
}

impl Share {
    /// Creates an empty share. If an earlier process held this share, its tokens were lost
    /// with it.
    pub(super) fn new(name: SmolStr, now: Duration) -> Self {
        Self {
            name,
            fleet_rate: 0,
            fleet_burst: 0,
            holders: Vec::new(),
            share_count: 0,
            rate: 0,
            burst: 0,
            previous: None,
            micro_tokens: 0,
            debt: 0,
            refundable: BTreeMap::new(),
            refundable_total: 0,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            pending_loan_requests: BTreeMap::new(),
            lender_cursor: 0,
            next_loan_request_at: Duration::ZERO,
            waiting: VecDeque::new(),
            demand_per_s: 0.0,
            demand_updated_at: now,
            largest_recent_cost: 0,
            refilled_at: now,
        }
    }

    /// Returns whether a slot holds a share of the customer's rate.
    pub fn is_held_by(&self, domain: &str, slot: Option<u16>) -> bool {
        self.holders
            .iter()
            .any(|h| h.domain == domain && Some(h.slot) == slot)
    }

    /// Returns this share's rate and burst; zero if this process does not own the slot.
    pub(super) fn local_limit(&self, owns_slot: bool) -> (u64, u64) {
        if !owns_slot {
            return (0, 0);
        }
        let split = |total: u64| total.checked_div(self.share_count).unwrap_or(0);
        (split(self.fleet_rate), split(self.fleet_burst))
    }

    /// Changes rate and burst. For `propagation_time` the smaller of the old and the new
    /// values applies, because other instances may still use the old rules.
    pub(super) fn change_limit(
        &mut self,
        now: Duration,
        rate: u64,
        burst: u64,
        propagation_time: Duration,
    ) {
        self.refill(now);
        if (rate, burst) == (self.rate, self.burst) {
            return;
        }
        let (old_rate, old_burst) = (self.effective_rate(), self.effective_burst());
        self.previous = Some(PreviousLimit {
            rate: old_rate,
            burst: old_burst,
            until: now + propagation_time,
        });
        self.rate = rate;
        self.burst = burst;
        self.clamp();
    }

    /// Sets rate and burst for the first time: when the process first owns its slot, or for
    /// a new customer. Nothing was held here before, so the share may refill at the new rate
    /// at once.
    pub(super) fn set_initial_limit(&mut self, now: Duration, rate: u64, burst: u64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.previous = None;
    }

    fn effective_rate(&self) -> u64 {
        self.previous.map_or(self.rate, |p| p.rate.min(self.rate))
    }

    /// Returns the burst that applies now, capped by the previous one after a change.
    pub fn effective_burst(&self) -> u64 {
        self.previous
            .map_or(self.burst, |p| p.burst.min(self.burst))
    }

    /// Returns the amount that is lent and not reported as spent.
    pub fn lent_total(&self) -> u64 {
        self.lent.values().map(|l| l.amount - l.spent).sum()
    }

    /// Returns the amount that reservations may still give back.
    pub fn refundable_total(&self) -> u64 {
        self.refundable_total
    }

    /// Returns the maximum sum of tokens and refundable amounts.
    fn capacity(&self) -> u64 {
        self.effective_burst().saturating_sub(self.lent_total())
    }

    /// Adds the tokens accrued since the last call.
    pub(super) fn refill(&mut self, now: Duration) {
        if let Some(previous) = self.previous
            && now >= previous.until
        {
            // The previous limit applies up to its end.
            let until = previous.until.max(self.refilled_at);
            self.refill_to(until);
            self.previous = None;
        }
        self.refill_to(now);
    }

    fn refill_to(&mut self, now: Duration) {
        let rate = self.effective_rate();
        let elapsed = now.saturating_sub(self.refilled_at);
        // The product needs u128. The quotient saturates, and is clamped to the capacity.
        let added = u128::from(rate) * elapsed.as_micros() / 1_000_000;
        let added = u64::try_from(added).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at.max(now);
        let paid = added.min(self.debt);
        self.debt -= paid;
        self.micro_tokens = self.micro_tokens.saturating_add(added - paid);
        self.clamp();
    }

    /// Limits tokens and refundable amounts to the capacity. New tokens displace refundable
    /// amounts, the oldest first, so that a long request does not stop the refill.
    fn clamp(&mut self) {
        let capacity = self.capacity();
        self.micro_tokens = self.micro_tokens.min(capacity);
        let left = capacity - self.micro_tokens;
        while self.refundable_total > left {
            let Some(mut oldest) = self.refundable.first_entry() else {
                self.refundable_total = 0;
                return;
            };
            let cut = (*oldest.get()).min(self.refundable_total - left);
            *oldest.get_mut() -= cut;
            self.refundable_total -= cut;
            if *oldest.get() == 0 {
                oldest.remove();
            }
        }
    }

    /// Returns the tokens that the share has at `now`. An idle share is refilled only when
    /// it is used.
    pub fn micro_tokens_at(&self, now: Duration) -> u64 {
        let mut share = self.clone();
        share.refill(now);
        share.micro_tokens
    }

    /// Continues at `now` without adding tokens for the time since the last refill.
    pub(super) fn skip_refill_to(&mut self, now: Duration) {
        self.refilled_at = now;
    }

    /// Returns the amount that can be spent at `now`, loans included.
    pub(super) fn available(&self, now: Duration) -> u64 {
        let loans: u64 = self
            .borrowed
            .iter()
            .filter(|l| now < l.expires)
            .map(Borrowed::unspent)
            .sum();
        self.micro_tokens + loans
    }

    /// Reserves `cost`, from loans before this share, because loans expire.
    pub(super) fn try_reserve(
        &mut self,
        customer: CustomerKey,
        id: u64,
        cost: u64,
        now: Duration,
    ) -> Option<Reservation> {
        if self.available(now) < cost {
            return None;
        }
        let mut rest = cost;
        for loan in self.borrowed.iter_mut().filter(|l| now < l.expires) {
            let part = loan.unspent().min(rest);
            loan.spent += part;
            rest -= part;
        }
        self.micro_tokens -= rest;
        if rest > 0 {
            self.refundable.insert(id, rest);
            self.refundable_total += rest;
        }
        Some(Reservation {
            customer,
            id,
            from_share: rest,
            from_loans: cost - rest,
        })
    }

    /// Gives back what was reserved and not spent, up to the amount still refundable, and
    /// charges what was spent beyond the reservation.
    pub(super) fn settle(&mut self, reservation: &Reservation, spent: u64) {
        let refundable = self.refundable.remove(&reservation.id).unwrap_or(0);
        self.refundable_total -= refundable;
        let reserved = reservation.from_share + reservation.from_loans;
        let unspent = reserved.saturating_sub(spent);
        let excess = spent.saturating_sub(reserved);
        self.micro_tokens += unspent.min(refundable);
        let paid = excess.min(self.micro_tokens);
        self.micro_tokens -= paid;
        self.debt += excess - paid;
    }

    /// Adds `cost` to the demand.
    pub(super) fn record_demand(&mut self, now: Duration, cost: u64) {
        self.decay_demand(now);
        self.demand_per_s += cost as f64 / DEMAND_WINDOW.as_secs_f64();
        self.largest_recent_cost = self.largest_recent_cost.max(cost);
    }

    fn decay_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        self.demand_updated_at = now;
        self.demand_per_s *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        // Below a thousandth of a token per second the demand counts as zero.
        if self.demand_per_s < MICRO_TOKENS_PER_TOKEN as f64 / 1_000.0 {
            self.demand_per_s = 0.0;
            self.largest_recent_cost = 0;
        }
    }

    /// Returns the demand expected over `horizon`.
    pub(super) fn expected_demand(&mut self, now: Duration, horizon: Duration) -> u64 {
        self.decay_demand(now);
        // CAST: a demand beyond the type's range saturates.
        (self.demand_per_s * horizon.as_secs_f64()) as u64
    }

    /// Returns whether the tick has to handle this share.
    pub(super) fn is_active(&self, now: Duration) -> bool {
        !self.waiting.is_empty()
            || !self.borrowed.is_empty()
            || !self.lent.is_empty()
            || !self.pending_loan_requests.is_empty()
            || (self.demand_per_s > 0.0
                && now.saturating_sub(self.demand_updated_at) < IDLE_TIMEOUT)
    }

    /// Returns the time in which the customer's rate over the whole fleet adds the tokens
    /// that this share lacks for `cost`.
    pub(super) fn refill_time(&self, cost: u64) -> Duration {
        let missing = cost.saturating_sub(self.micro_tokens);
        if self.fleet_rate == 0 {
            return IDLE_TIMEOUT;
        }
        Duration::from_secs_f64(missing as f64 / self.fleet_rate as f64)
    }
}
