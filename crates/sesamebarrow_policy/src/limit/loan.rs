//! Lending tokens between instances.

use std::time::Duration;

use sesamebarrow_wire::control;
use smol_str::SmolStr;

use super::MICROTOKENS_PER_TOKEN;
use super::share::{Ask, Borrowed, Lent, Share};
use crate::board::{Board, CustomerKey};
use crate::event::Message;
use crate::member;
use crate::settings::Sharing;

/// Asks of one customer that may be under way at a time.
const ASKS: usize = 3;

/// Time after which an ask counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Rest after a lender had nothing to spare.
const REST: Duration = Duration::from_millis(20);

/// A lender's clock may run this share faster than a borrower's: one in fifty.
const DRIFT: u32 = 50;

/// Asks for tokens while what is at hand does not cover the demand ahead.
pub(super) fn borrow(board: &mut Board, key: CustomerKey) {
    if board.settings.sharing == Sharing::Static || board.draining {
        return;
    }
    let now = board.now();
    let horizon = board.settings.loan_horizon;
    let share = &mut board.limits.shares[key];
    share.asks.retain(|_, ask| now - ask.at < ASK_TIMEOUT);
    let queued: u64 = share.waiting.iter().map(|w| w.cost).sum();
    let ahead = share.demand_over(now, horizon).max(share.peak) + queued;
    let ahead = ahead.min(share.fleet_burst);
    let missing = ahead.saturating_sub(share.available(now));
    if missing < MICROTOKENS_PER_TOKEN || share.asks.len() >= ASKS || now < share.ask_after {
        return;
    }
    let Some(lender) = next_lender(board, key) else {
        return;
    };
    let id = board.limits.next();
    let share = &mut board.limits.shares[key];
    let customer = share.name.to_string();
    share.asks.insert(
        id,
        Ask {
            lender: lender.clone(),
            at: now,
        },
    );
    let ask = control::LoanRequest {
        id,
        customer,
        tokens: missing.div_ceil(MICROTOKENS_PER_TOKEN),
    };
    board.send_message(lender, Message::LoanRequest(ask));
}

/// Returns the next instance in turn that holds a share, those of this region first in
/// each round.
fn next_lender(board: &mut Board, key: CustomerKey) -> Option<SmolStr> {
    let region = board.my_region().cloned()?;
    let share = &board.limits.shares[key];
    let asked: Vec<&SmolStr> = share.asks.values().map(|a| &a.lender).collect();
    let mut lenders: Vec<(bool, SmolStr)> = board
        .instances
        .values()
        .filter(|i| member::takes_work(board, i) && i.link.is_some())
        .filter(|i| share.is_held_by(&i.domain, i.slot))
        .filter(|i| !asked.contains(&&i.name))
        .map(|i| (i.region != region, i.name.clone()))
        .collect();
    lenders.sort();
    if lenders.is_empty() {
        return None;
    }
    let share = &mut board.limits.shares[key];
    share.turn = share.turn.wrapping_add(1);
    let index = share.turn % lenders.len();
    Some(lenders.swap_remove(index).1)
}

/// Lends what this instance can spare.
pub(crate) fn handle_loan_request(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    ask: &control::LoanRequest,
) {
    let newest = board.limits.seen.get(from).copied();
    let repeated = newest.is_some_and(|(seen, id)| seen == incarnation && ask.id <= id);
    if repeated {
        return;
    }
    board
        .limits
        .seen
        .insert(from.clone(), (incarnation, ask.id));
    let tokens = lend(board, from, incarnation, ask);
    let loan = control::Loan { id: ask.id, tokens };
    board.send_message(from.clone(), Message::Loan(loan));
}

fn lend(board: &mut Board, from: &SmolStr, incarnation: u64, ask: &control::LoanRequest) -> u64 {
    let now = board.now();
    let horizon = board.settings.loan_horizon;
    let expires = now + board.settings.loan_lifetime + board.settings.loan_lifetime / DRIFT;
    if board.settings.sharing == Sharing::Static {
        return 0;
    }
    let Some(key) = board.limits.by_name.get(ask.customer.as_str()) else {
        return 0;
    };
    let share = &mut board.limits.shares[*key];
    share.accrue(now);
    let own = share.demand_over(now, horizon).max(share.peak);
    let spare = share.tokens.saturating_sub(own) / MICROTOKENS_PER_TOKEN;
    let tokens = spare.min(ask.tokens);
    if tokens == 0 {
        return 0;
    }
    let amount = tokens * MICROTOKENS_PER_TOKEN;
    // The tokens leave this share before they are sent.
    share.tokens -= amount;
    let lent = Lent {
        amount,
        spent: 0,
        expires,
    };
    share.lent.insert((from.clone(), incarnation, ask.id), lent);
    tokens
}

/// Takes a loan, once for each ask.
pub(crate) fn handle_loan(board: &mut Board, from: &SmolStr, loan: &control::Loan) {
    let now = board.now();
    let life = board.settings.loan_lifetime;
    let Some((key, ask)) = take_ask(board, from, loan.id) else {
        return;
    };
    let share = &mut board.limits.shares[key];
    if loan.tokens == 0 {
        share.ask_after = now + REST;
        return;
    }
    let expires = ask.at + life;
    if now < expires {
        share.borrowed.push(Borrowed {
            id: loan.id,
            lender: from.clone(),
            amount: loan.tokens.saturating_mul(MICROTOKENS_PER_TOKEN),
            spent: 0,
            reported: 0,
            expires,
        });
        share.borrowed.sort_by_key(|l| l.expires);
    }
    super::serve_waiting(board, key);
}

fn take_ask(board: &mut Board, from: &SmolStr, id: u64) -> Option<(CustomerKey, Ask)> {
    let (key, share) = board
        .limits
        .shares
        .iter_mut()
        .find(|(_, s)| s.asks.get(&id).is_some_and(|a| a.lender == *from))?;
    let ask = share.asks.remove(&id)?;
    Some((key, ask))
}

/// Tells lenders what was spent, so that their room comes back.
pub(super) fn report(board: &mut Board, key: CustomerKey) {
    let share = &mut board.limits.shares[key];
    let mut reports = Vec::new();
    for loan in &mut share.borrowed {
        if loan.spent > loan.reported {
            loan.reported = loan.spent;
            reports.push((loan.lender.clone(), compose_report(loan, false)));
        }
    }
    share.borrowed.retain(|l| l.spent < l.amount);
    for (lender, report) in reports {
        board.send_message(lender, Message::LoanReport(report));
    }
}

fn compose_report(loan: &Borrowed, closed: bool) -> control::LoanReport {
    control::LoanReport {
        id: loan.id,
        spent_micro_tokens: loan.spent,
        closed,
    }
}

/// Takes a borrower's report.
pub(crate) fn handle_loan_report(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    report: &control::LoanReport,
) {
    let now = board.now();
    let name = (from.clone(), incarnation, report.id);
    let lender = board
        .limits
        .shares
        .values_mut()
        .find(|s| s.lent.contains_key(&name));
    if let Some(share) = lender {
        share.accrue(now);
        settle_loan(share, &name, report);
    }
}

fn settle_loan(share: &mut Share, name: &(SmolStr, u64, u64), report: &control::LoanReport) {
    let Some(lent) = share.lent.get_mut(name) else {
        return;
    };
    lent.spent = lent.spent.max(report.spent_micro_tokens.min(lent.amount));
    let rest = lent.amount - lent.spent;
    if report.closed {
        // The borrower has given the rest up before it said so.
        share.lent.remove(name);
        share.tokens += rest;
    } else if rest == 0 {
        share.lent.remove(name);
    }
}

/// Forgets loans whose life is over, on both sides.
pub(super) fn expire(board: &mut Board, key: CustomerKey) {
    let now = board.now();
    let share = &mut board.limits.shares[key];
    share.borrowed.retain(|l| now < l.expires);
    share.lent.retain(|_, l| now < l.expires);
}

/// Gives all loans back before the process stops.
pub(crate) fn return_loans(board: &mut Board) {
    let mut reports = Vec::new();
    for share in board.limits.shares.values_mut() {
        for loan in share.borrowed.drain(..) {
            reports.push((loan.lender.clone(), compose_report(&loan, true)));
        }
    }
    for (lender, report) in reports {
        board.send_message(lender, Message::LoanReport(report));
    }
}

/// Notes that an instance's process was replaced. Its loans keep their room until they
/// expire, since the old process may still run.
pub(crate) fn handle_borrower_restart(board: &mut Board, name: &SmolStr) {
    board.limits.seen.remove(name);
}
