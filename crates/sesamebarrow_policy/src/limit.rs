//! Rate and burst of each customer over the whole fleet, without shared state.
//!
//! One token is a token of a model, or the unit in which the rules state the cost of a
//! request to a plain service.
//!
//! The slots that are chosen for a customer split its rate and burst into equal shares, each
//! of which is a token bucket. Loans move tokens between shares: the lender removes them
//! from its own share before it sends them, so that no token is ever in two places. The
//! tokens of a lost message are lost. Over the whole fleet the unspent tokens never
//! exceed the burst, and new ones are added at no more than the rate, which bounds what
//! is admitted in any window.

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

/// Number of microtokens in one token. Shares and loans are counted in microtokens.
pub const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Maximum number of requests of one customer that wait for tokens at a time.
const MAX_WAITING_REQUESTS: usize = 32;

/// Longest time that a request waits for tokens from other instances.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Shortest retry time given to a caller that is refused for lack of tokens.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The shares of all customers at this instance.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// The shares.
    pub shares: SlotMap<CustomerKey, Share>,
    /// Keys of `shares` by the customer's name; holds every share.
    pub by_name: HashMap<SmolStr, CustomerKey>,
    /// Whether this process owns its slot according to the list in force.
    pub owns_slot: bool,
    /// Whether this process has ever owned its slot.
    ever_owned_slot: bool,
    /// Id of the newest loan request or reservation.
    pub last_id: u64,
    /// Incarnation and id of the newest loan request handled for each instance, so that
    /// a repeated or late request is not served twice.
    pub last_loan_requests: BTreeMap<SmolStr, (u64, u64)>,
}

impl Limits {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Result of an attempt to reserve tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReserveOutcome {
    /// The tokens are reserved.
    Granted(Reservation),
    /// The request waits for tokens, which other instances may lend.
    Queued,
    /// The request is refused and may be sent again after this time.
    Denied(Duration),
}

/// Reserves `tokens` of a customer for the request `id`.
///
/// The customer must be part of the rules in force.
pub(crate) fn reserve(
    board: &mut Board,
    customer: &str,
    tokens: u64,
    id: RequestId,
) -> ReserveOutcome {
    let Some(key) = board.limits.by_name.get(customer).copied() else {
        return ReserveOutcome::Denied(MIN_RETRY_AFTER);
    };
    let now = board.now();
    let cost_micro_tokens = tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN);
    let reservation_id = board.limits.next_id();
    let share = &mut board.limits.shares[key];
    share.refill(now);
    share.record_demand(now, cost_micro_tokens);
    if share.waiting.is_empty()
        && let Some(reservation) = share.try_reserve(key, reservation_id, cost_micro_tokens, now)
    {
        return ReserveOutcome::Granted(reservation);
    }
    let fits = cost_micro_tokens <= share.fleet_burst;
    let queue_has_room = share.waiting.len() < MAX_WAITING_REQUESTS;
    let retry_after = share.refill_time(cost_micro_tokens).max(MIN_RETRY_AFTER);
    if !fits || !queue_has_room {
        return ReserveOutcome::Denied(retry_after);
    }
    share.waiting.push_back(share::WaitingRequest {
        id,
        cost_micro_tokens,
        until: now + MAX_WAIT,
    });
    loan::request_loan(board, key);
    ReserveOutcome::Queued
}

/// Settles a reservation against the tokens actually spent.
pub(crate) fn settle(board: &mut Board, reservation: &Reservation, spent_tokens: u64) {
    let now = board.now();
    if let Some(share) = board.limits.shares.get_mut(reservation.customer) {
        share.refill(now);
        share.settle(
            reservation,
            spent_tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN),
        );
    }
}

/// Updates the shares from the rules in force, which replaced `previous`.
pub(crate) fn apply_rules(board: &mut Board, previous: Option<&Rules>) {
    let Some(rules) = board.rules.clone() else {
        return;
    };
    let now = board.now();
    let propagation_time = board.settings.propagation_time;
    let same_domains = previous.is_some_and(|p| p.domains == rules.domains);
    for (name, customer) in &rules.customers {
        let previous_customer = previous.and_then(|p| p.customers.get(name));
        if same_domains && previous_customer == Some(customer) {
            continue;
        }
        let key = find_or_add(&mut board.limits, name, now);
        let owns_slot = board.limits.owns_slot;
        let share = &mut board.limits.shares[key];
        share.fleet_rate = customer.rate * MICRO_TOKENS_PER_TOKEN;
        share.fleet_burst = customer.burst * MICRO_TOKENS_PER_TOKEN;
        share.holders = holders(&rules, name, board.settings.holders_per_region);
        let holds_share = share.is_held_by(&board.identity.domain, Some(board.identity.slot));
        share.share_count = if holds_share {
            share.holders.len() as u64
        } else {
            0
        };
        let (rate, burst) = share.local_limit(owns_slot);
        if previous_customer.is_some() {
            share.change_limit(now, rate, burst, propagation_time);
        } else {
            share.set_initial_limit(now, rate, burst);
        }
    }
    for (name, key) in &board.limits.by_name {
        if !rules.customers.contains_key(name) {
            let share = &mut board.limits.shares[*key];
            share.change_limit(now, 0, 0, propagation_time);
        }
    }
}

/// Updates the shares from the list. Only the process that owns a slot has the slot's
/// shares; another process that still runs in the slot has none.
pub(crate) fn apply_list(board: &mut Board) {
    let owns_slot = is_slot_owner(board);
    if owns_slot == board.limits.owns_slot {
        return;
    }
    let now = board.now();
    let propagation_time = board.settings.propagation_time;
    let is_first_ownership = !board.limits.ever_owned_slot;
    board.limits.owns_slot = owns_slot;
    board.limits.ever_owned_slot |= owns_slot;
    for share in board.limits.shares.values_mut() {
        let (rate, burst) = share.local_limit(owns_slot);
        if is_first_ownership {
            share.set_initial_limit(now, rate, burst);
        } else {
            share.change_limit(now, rate, burst, propagation_time);
        }
    }
}

/// Returns whether this instance owns its slot according to the list. If several live
/// instances are in the slot, the first by name owns it, so that all instances with the
/// same list agree.
fn is_slot_owner(board: &Board) -> bool {
    let identity = &board.identity;
    let mut in_slot = board.list.instances.iter().filter(|(_, i)| {
        i.domain == identity.domain && i.slot == identity.slot && i.state == State::Live
    });
    in_slot
        .next()
        .is_some_and(|(name, _)| *name == identity.name)
}

fn find_or_add(limits: &mut Limits, name: &SmolStr, now: Duration) -> CustomerKey {
    if let Some(key) = limits.by_name.get(name) {
        return *key;
    }
    let key = limits.shares.insert(Share::new(name.clone(), now));
    limits.by_name.insert(name.clone(), key);
    key
}

/// Prevents shares from gaining tokens for the time of a pause of the process.
pub(crate) fn skip_pause(board: &mut Board) {
    let now = board.clock.now;
    for share in board.limits.shares.values_mut() {
        share.skip_refill_to(now);
    }
}

/// Refills the active shares, serves waiting requests and requests loans ahead of demand.
pub(crate) fn tick(board: &mut Board) {
    let now = board.now();
    let active: Vec<CustomerKey> = board
        .limits
        .shares
        .iter()
        .filter(|(_, s)| s.is_active(now))
        .map(|(key, _)| key)
        .collect();
    for key in active {
        let share = &mut board.limits.shares[key];
        share.refill(now);
        loan::expire(board, key);
        serve_waiting(board, key);
        if board.settings.sharing == Sharing::Lending {
            loan::report_spending(board, key);
            loan::request_loan(board, key);
        }
    }
}

/// Serves the requests that wait for tokens, in order of arrival, and refuses those whose
/// wait is over.
fn serve_waiting(board: &mut Board, key: CustomerKey) {
    let now = board.now();
    while let Some(first) = board.limits.shares[key].waiting.front().copied() {
        let reservation_id = board.limits.next_id();
        let share = &mut board.limits.shares[key];
        if let Some(reservation) =
            share.try_reserve(key, reservation_id, first.cost_micro_tokens, now)
        {
            share.waiting.pop_front();
            pipeline::resume(board, first.id, reservation);
        } else if now >= first.until {
            let retry_after = share
                .refill_time(first.cost_micro_tokens)
                .max(MIN_RETRY_AFTER);
            share.waiting.pop_front();
            pipeline::refuse_over_rate(board, first.id, retry_after);
        } else {
            return;
        }
    }
}

/// Removes a request from those that wait for tokens.
pub(crate) fn cancel_waiting(board: &mut Board, customer: &str, id: RequestId) {
    if let Some(key) = board.limits.by_name.get(customer) {
        board.limits.shares[*key].waiting.retain(|w| w.id != id);
    }
}
