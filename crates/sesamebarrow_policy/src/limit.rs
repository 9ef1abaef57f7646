//! Rate and burst of each customer, counted over the whole fleet without shared state.
//!
//! The slots that hold a customer split its rate and burst into equal shares. Tokens
//! move between shares by loans: the lender takes them off its own share before it
//! sends them, so that a token is never in two places, and one whose message is lost is
//! lost. Over the whole fleet the unspent tokens never exceed the burst and are minted
//! at the rate at most, which bounds what is admitted in any window.

mod holder;
mod loan;
mod share;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sesamebarrow_rules::Rules;
use sesamebarrow_rules::list::State;
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::board::{Board, CustomerKey};
use crate::event::RequestId;
use crate::pipeline;
use crate::settings::Sharing;

pub use holder::{Holder, holders};
pub(crate) use loan::{
    handle_borrower_restart, handle_loan, handle_loan_report, handle_loan_request, return_loans,
};
pub use share::{Borrowed, Lent, Reservation, Share};

/// Millionths of a token, the unit in which shares are kept.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Requests of one customer that may wait for tokens at a time.
const WAITING: usize = 32;

/// Longest wait for tokens that others may lend.
const WAIT: Duration = Duration::from_millis(250);

/// Shortest time after which a caller without tokens should come back.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// All customers' shares at this instance.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// The shares.
    pub shares: SlotMap<CustomerKey, Share>,
    /// Shares by the customer's name; the same set as `shares`.
    pub by_name: HashMap<SmolStr, CustomerKey>,
    /// Whether the list in force names this process as the one of its slot.
    pub named: bool,
    /// Whether any list did so before.
    was_named: bool,
    /// The number of the newest ask or reservation.
    pub sequence: u64,
    /// The newest ask taken from each instance's process, so that a repeated or late
    /// ask is not served twice.
    pub seen: BTreeMap<SmolStr, (u64, u64)>,
}

impl Limits {
    fn next(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

/// What came of an attempt to reserve tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReserveOutcome {
    /// The tokens are reserved.
    Granted(Reservation),
    /// Others may lend them soon.
    Queued,
    /// Come back after this time.
    Denied(Duration),
}

/// Reserves `tokens` of the customer, which is under the rules in force.
pub(crate) fn reserve(
    board: &mut Board,
    customer: &str,
    tokens: u64,
    id: RequestId,
) -> ReserveOutcome {
    let Some(key) = board.limits.by_name.get(customer).copied() else {
        return ReserveOutcome::Denied(RETRY_AFTER);
    };
    let now = board.now();
    let cost = tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
    let number = board.limits.next();
    let share = &mut board.limits.shares[key];
    share.accrue(now);
    share.note_demand(now, cost);
    if share.waiting.is_empty()
        && let Some(reservation) = share.take(key, number, cost, now)
    {
        return ReserveOutcome::Granted(reservation);
    }
    let fits = cost <= share.fleet_burst;
    let room = share.waiting.len() < WAITING;
    let retry = share.time_until(cost).max(RETRY_AFTER);
    if !fits || !room {
        return ReserveOutcome::Denied(retry);
    }
    share.waiting.push_back(share::Waiting {
        id,
        cost,
        until: now + WAIT,
    });
    loan::borrow(board, key);
    ReserveOutcome::Queued
}

/// Settles a reservation against the tokens that were really spent.
pub(crate) fn settle(board: &mut Board, reservation: &Reservation, spent: u64) {
    let now = board.now();
    if let Some(share) = board.limits.shares.get_mut(reservation.customer) {
        share.accrue(now);
        share.settle(reservation, spent.saturating_mul(MICROTOKENS_PER_TOKEN));
    }
}

/// Brings the shares in line with the rules that replaced `previous`.
pub(crate) fn apply_rules(board: &mut Board, previous: Option<&Rules>) {
    let Some(rules) = board.rules.clone() else {
        return;
    };
    let now = board.now();
    let propagation = board.settings.propagation_time;
    let same_domains = previous.is_some_and(|p| p.domains == rules.domains);
    for (name, customer) in &rules.customers {
        let before = previous.and_then(|p| p.customers.get(name));
        if same_domains && before == Some(customer) {
            continue;
        }
        let key = find_or_add(&mut board.limits, name, now);
        let named = board.limits.named;
        let share = &mut board.limits.shares[key];
        share.fleet_rate = customer.rate * MICROTOKENS_PER_TOKEN;
        share.fleet_burst = customer.burst * MICROTOKENS_PER_TOKEN;
        share.holders = holders(&rules, name, board.settings.holders_per_region);
        let mine = share.is_held_by(&board.me.domain, Some(board.me.slot));
        share.parts = if mine { share.holders.len() as u64 } else { 0 };
        let (rate, burst) = share.part(named);
        if before.is_some() {
            share.rebase(now, rate, burst, propagation);
        } else {
            share.start(now, rate, burst);
        }
    }
    for (name, key) in &board.limits.by_name {
        if !rules.customers.contains_key(name) {
            let share = &mut board.limits.shares[*key];
            share.rebase(now, 0, 0, propagation);
        }
    }
}

/// Brings the shares in line with the list: the process that it names in a slot has the
/// slot's shares, and another that still runs there has none.
pub(crate) fn apply_list(board: &mut Board) {
    let named = holds_slot(board);
    if named == board.limits.named {
        return;
    }
    let now = board.now();
    let propagation = board.settings.propagation_time;
    let first = !board.limits.was_named;
    board.limits.named = named;
    board.limits.was_named |= named;
    for share in board.limits.shares.values_mut() {
        let (rate, burst) = share.part(named);
        if first {
            share.start(now, rate, burst);
        } else {
            share.rebase(now, rate, burst, propagation);
        }
    }
}

/// Tells whether the list gives this instance its slot. Of several live ones in a slot
/// the first by name has it, so that all who hold one list agree.
fn holds_slot(board: &Board) -> bool {
    let me = &board.me;
    let mut there = board
        .list
        .instances
        .iter()
        .filter(|(_, i)| i.domain == me.domain && i.slot == me.slot && i.state == State::Live);
    there.next().is_some_and(|(name, _)| *name == me.name)
}

fn find_or_add(limits: &mut Limits, name: &SmolStr, now: Duration) -> CustomerKey {
    if let Some(key) = limits.by_name.get(name) {
        return *key;
    }
    let key = limits.shares.insert(Share::new(name.clone(), now));
    limits.by_name.insert(name.clone(), key);
    key
}

/// Lets nothing accrue for a pause of the process.
pub(crate) fn skip_pause(board: &mut Board) {
    let now = board.clock.now;
    for share in board.limits.shares.values_mut() {
        share.skip_to(now);
    }
}

/// Lets shares accrue, serves waiting requests and borrows ahead of demand.
pub(crate) fn tick(board: &mut Board) {
    let now = board.now();
    let busy: Vec<CustomerKey> = board
        .limits
        .shares
        .iter()
        .filter(|(_, s)| s.is_busy(now))
        .map(|(key, _)| key)
        .collect();
    for key in busy {
        let share = &mut board.limits.shares[key];
        share.accrue(now);
        loan::expire(board, key);
        serve_waiting(board, key);
        if board.settings.sharing == Sharing::Lending {
            loan::report(board, key);
            loan::borrow(board, key);
        }
    }
}

/// Serves the requests that wait for tokens, in their order.
fn serve_waiting(board: &mut Board, key: CustomerKey) {
    let now = board.now();
    while let Some(first) = board.limits.shares[key].waiting.front().copied() {
        let number = board.limits.next();
        let share = &mut board.limits.shares[key];
        if let Some(reservation) = share.take(key, number, first.cost, now) {
            share.waiting.pop_front();
            pipeline::resume(board, first.id, reservation);
        } else if now >= first.until {
            let retry = share.time_until(first.cost).max(RETRY_AFTER);
            share.waiting.pop_front();
            pipeline::refuse_over_rate(board, first.id, retry);
        } else {
            return;
        }
    }
}

/// Forgets that a request waits for tokens.
pub(crate) fn stop_waiting(board: &mut Board, customer: &str, id: RequestId) {
    if let Some(key) = board.limits.by_name.get(customer) {
        board.limits.shares[*key].waiting.retain(|w| w.id != id);
    }
}
