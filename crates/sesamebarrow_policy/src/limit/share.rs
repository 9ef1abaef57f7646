//! One customer's share at this instance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use super::{Holder, MICROTOKENS_PER_TOKEN};
use crate::board::CustomerKey;
use crate::event::RequestId;

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time without demand after which a share is left alone by the tick.
const IDLE: Duration = Duration::from_secs(5);

/// Tokens lent to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lent {
    /// What was lent, in millionths.
    pub amount: u64,
    /// What the borrower has reported as spent, in millionths.
    pub spent: u64,
    /// When the loan is void at the borrower at the latest.
    pub expires: Duration,
}

/// Tokens borrowed from another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Borrowed {
    /// The loan's id.
    pub id: u64,
    /// The lender.
    pub lender: SmolStr,
    /// What was lent, in millionths.
    pub amount: u64,
    /// What was spent, in millionths; never above `amount`.
    pub spent: u64,
    /// What was reported as spent, in millionths; never above `spent`.
    pub reported: u64,
    /// When the loan is void. Counted from the ask, which came before the lender's
    /// answer, so that it is void here before it is void at the lender.
    pub expires: Duration,
}

impl Borrowed {
    fn left(&self) -> u64 {
        self.amount - self.spent
    }
}

/// An ask that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Whom it went to.
    pub lender: SmolStr,
    /// When.
    pub at: Duration,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub id: RequestId,
    /// Its cost in millionths.
    pub cost: u64,
    /// When the wait ends.
    pub until: Duration,
}

/// Tokens taken for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The customer.
    pub customer: CustomerKey,
    /// Names the hold on the share's room.
    pub number: u64,
    /// Millionths from the own share.
    pub own: u64,
    /// Millionths from loans.
    pub borrowed: u64,
}

/// A part of rate and burst that held before a change of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Former {
    rate: u64,
    burst: u64,
    until: Duration,
}

/// One customer's share. Amounts are in millionths of a token.
#[derive(Clone, Debug)]
pub struct Share {
    /// The customer.
    pub name: SmolStr,
    /// The customer's rate over the fleet, per second.
    pub fleet_rate: u64,
    /// The customer's burst over the fleet.
    pub fleet_burst: u64,
    /// The slots that hold a share, drawn anew with each change of the customer's rule.
    pub holders: Vec<Holder>,
    /// Shares into which rate and burst are split; 0 where this slot holds none.
    pub parts: u64,
    /// This share's rate under the rules in force, per second.
    pub rate: u64,
    /// This share's burst under the rules in force.
    pub burst: u64,
    former: Option<Former>,
    /// Tokens that may be spent.
    ///
    /// `tokens + refundable_total + lent` never exceeds the burst in force.
    pub tokens: u64,
    /// What requests have cost beyond their reservations; new tokens pay it first.
    debt: u64,
    /// What may still come back from each reservation, by its number.
    refundable: BTreeMap<u64, u64>,
    /// Sum of `refundable`.
    refundable_total: u64,
    /// Loans given, by borrower, its process and the loan's id.
    pub lent: BTreeMap<(SmolStr, u64, u64), Lent>,
    /// Loans taken.
    pub borrowed: Vec<Borrowed>,
    /// Asks under way, by id.
    pub asks: BTreeMap<u64, Ask>,
    /// Next lender in turn.
    pub turn: usize,
    /// No ask before this time, since nobody had anything to spare.
    pub ask_after: Duration,
    /// Requests that wait for tokens, in their order.
    pub waiting: VecDeque<Waiting>,
    /// Averaged demand per second.
    demand: f64,
    demand_at: Duration,
    /// Largest recent cost of a request.
    pub peak: u64,
    accrued_at: Duration,
}

impl Share {
    /// Builds a share that starts empty: what its slot had is gone with the process
    /// that had it.
    pub(super) fn new(name: SmolStr, now: Duration) -> Self {
        Self {
            name,
            fleet_rate: 0,
            fleet_burst: 0,
            holders: Vec::new(),
            parts: 0,
            rate: 0,
            burst: 0,
            former: None,
            tokens: 0,
            debt: 0,
            refundable: BTreeMap::new(),
            refundable_total: 0,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            asks: BTreeMap::new(),
            turn: 0,
            ask_after: Duration::ZERO,
            waiting: VecDeque::new(),
            demand: 0.0,
            demand_at: now,
            peak: 0,
            accrued_at: now,
        }
    }

    /// Tells whether a slot holds a share of the customer's rate.
    pub fn is_held_by(&self, domain: &str, slot: Option<u16>) -> bool {
        self.holders
            .iter()
            .any(|h| h.domain == domain && Some(h.slot) == slot)
    }

    /// Returns this share's rate and burst; nothing where the slot is not this process's.
    pub(super) fn part(&self, named: bool) -> (u64, u64) {
        if !named {
            return (0, 0);
        }
        let part = |whole: u64| whole.checked_div(self.parts).unwrap_or(0);
        (part(self.fleet_rate), part(self.fleet_burst))
    }

    /// Takes a new share of rate and burst. For `propagation` the smaller of old and
    /// new holds, since others may still go by the old rules.
    pub(super) fn rebase(&mut self, now: Duration, rate: u64, burst: u64, propagation: Duration) {
        self.accrue(now);
        if (rate, burst) == (self.rate, self.burst) {
            return;
        }
        let (old_rate, old_burst) = (self.effective_rate(), self.effective_burst());
        self.former = Some(Former {
            rate: old_rate,
            burst: old_burst,
            until: now + propagation,
        });
        self.rate = rate;
        self.burst = burst;
        self.clamp();
    }

    /// Takes the first rules of a process or of a customer: nothing was held here before,
    /// so that the share may accrue at once.
    pub(super) fn start(&mut self, now: Duration, rate: u64, burst: u64) {
        self.accrue(now);
        self.rate = rate;
        self.burst = burst;
        self.former = None;
    }

    fn effective_rate(&self) -> u64 {
        self.former.map_or(self.rate, |f| f.rate.min(self.rate))
    }

    /// Returns the burst in force.
    pub fn effective_burst(&self) -> u64 {
        self.former.map_or(self.burst, |f| f.burst.min(self.burst))
    }

    /// Returns what is lent and not reported as spent.
    pub fn lent_total(&self) -> u64 {
        self.lent.values().map(|l| l.amount - l.spent).sum()
    }

    /// Returns what may still come back from reservations.
    pub fn refundable_total(&self) -> u64 {
        self.refundable_total
    }

    fn room(&self) -> u64 {
        self.effective_burst().saturating_sub(self.lent_total())
    }

    /// Mints what the time since the last call brings.
    pub(super) fn accrue(&mut self, now: Duration) {
        if let Some(former) = self.former
            && now >= former.until
        {
            // The time until then goes by the former share.
            let until = former.until.max(self.accrued_at);
            self.mint(until);
            self.former = None;
        }
        self.mint(now);
    }

    fn mint(&mut self, now: Duration) {
        let rate = self.effective_rate();
        let elapsed = now.saturating_sub(self.accrued_at);
        // CAST: the product is divided back below the burst, which fits.
        let minted = u128::from(rate) * elapsed.as_micros() / 1_000_000;
        let minted = u64::try_from(minted).unwrap_or(u64::MAX);
        self.accrued_at = self.accrued_at.max(now);
        let paid = minted.min(self.debt);
        self.debt -= paid;
        self.tokens = self.tokens.saturating_add(minted - paid);
        self.clamp();
    }

    /// Keeps tokens and holds within the room. Holds give way to new tokens, the oldest
    /// first: a long request must not keep the share from accruing.
    fn clamp(&mut self) {
        let room = self.room();
        self.tokens = self.tokens.min(room);
        let left = room - self.tokens;
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

    /// Returns the tokens that the share will have accrued by `now`. A share at rest is
    /// brought up to date only when it is used.
    pub fn tokens_at(&self, now: Duration) -> u64 {
        let mut share = self.clone();
        share.accrue(now);
        share.tokens
    }

    /// Goes on from `now` as if no time had passed.
    pub(super) fn skip_to(&mut self, now: Duration) {
        self.accrued_at = now;
    }

    /// Returns the tokens that can be spent at `now`, loans included.
    pub(super) fn available(&self, now: Duration) -> u64 {
        let loans: u64 = self
            .borrowed
            .iter()
            .filter(|l| now < l.expires)
            .map(Borrowed::left)
            .sum();
        self.tokens + loans
    }

    /// Takes `cost`, from loans before the own share, since those expire.
    pub(super) fn take(
        &mut self,
        customer: CustomerKey,
        number: u64,
        cost: u64,
        now: Duration,
    ) -> Option<Reservation> {
        if self.available(now) < cost {
            return None;
        }
        let mut rest = cost;
        for loan in self.borrowed.iter_mut().filter(|l| now < l.expires) {
            let part = loan.left().min(rest);
            loan.spent += part;
            rest -= part;
        }
        self.tokens -= rest;
        if rest > 0 {
            self.refundable.insert(number, rest);
            self.refundable_total += rest;
        }
        Some(Reservation {
            customer,
            number,
            own: rest,
            borrowed: cost - rest,
        })
    }

    /// Gives back what was reserved and not spent, as far as its room was kept.
    pub(super) fn settle(&mut self, reservation: &Reservation, spent: u64) {
        let refundable = self.refundable.remove(&reservation.number).unwrap_or(0);
        self.refundable_total -= refundable;
        let reserved = reservation.own + reservation.borrowed;
        let unspent = reserved.saturating_sub(spent);
        let excess = spent.saturating_sub(reserved);
        self.tokens += unspent.min(refundable);
        let paid = excess.min(self.tokens);
        self.tokens -= paid;
        self.debt += excess - paid;
    }

    /// Counts `cost` into the demand.
    pub(super) fn note_demand(&mut self, now: Duration, cost: u64) {
        self.decay_demand(now);
        self.demand += cost as f64 / DEMAND_WINDOW.as_secs_f64();
        self.peak = self.peak.max(cost);
    }

    fn decay_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_at = now;
        self.demand *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        if self.demand < MICROTOKENS_PER_TOKEN as f64 / 1_000.0 {
            self.demand = 0.0;
            self.peak = 0;
        }
    }

    /// Returns the demand expected over `horizon`.
    pub(super) fn demand_over(&mut self, now: Duration, horizon: Duration) -> u64 {
        self.decay_demand(now);
        // CAST: a demand beyond the type's range saturates.
        (self.demand * horizon.as_secs_f64()) as u64
    }

    /// Tells whether the tick has anything to do here.
    pub(super) fn is_busy(&self, now: Duration) -> bool {
        !self.waiting.is_empty()
            || !self.borrowed.is_empty()
            || !self.lent.is_empty()
            || !self.asks.is_empty()
            || (self.demand > 0.0 && now.saturating_sub(self.demand_at) < IDLE)
    }

    /// Returns the time after which the whole rate has brought `cost`.
    pub(super) fn time_until(&self, cost: u64) -> Duration {
        let missing = cost.saturating_sub(self.tokens);
        if self.fleet_rate == 0 {
            return IDLE;
        }
        Duration::from_secs_f64(missing as f64 / self.fleet_rate as f64)
    }
}
