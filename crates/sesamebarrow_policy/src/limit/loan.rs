//! Loans of tokens between instances.

use std::time::Duration;

use sesamebarrow_wire::control;
use smol_str::SmolStr;

use super::MICRO_TOKENS_PER_TOKEN;
use super::share::{Borrowed, Lent, PendingLoanRequest, Share};
use crate::board::{Board, CustomerKey};
use crate::event::Message;
use crate::member;
use crate::settings::Sharing;

/// Maximum number of unanswered loan requests of one customer at a time.
const MAX_PENDING_LOAN_REQUESTS: usize = 3;

/// Time after which an unanswered loan request counts as lost.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without loan requests after a lender had nothing to spare.
const DECLINED_LOAN_BACKOFF: Duration = Duration::from_millis(20);

/// The lender keeps a loan longer by one part in this many, because its clock may run
/// that much faster than the borrower's.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Requests a loan if the available tokens do not cover the expected demand.
pub(super) fn request_loan(board: &mut Board, key: CustomerKey) {
    if board.settings.sharing == Sharing::Static || board.draining {
        return;
    }
    let now = board.now();
    let horizon = board.settings.loan_horizon;
    let share = &mut board.limits.shares[key];
    share
        .pending_loan_requests
        .retain(|_, request| now - request.sent_at < LOAN_REQUEST_TIMEOUT);
    let queued: u64 = share.waiting.iter().map(|w| w.cost_micro_tokens).sum();
    let wanted = share
        .expected_demand(now, horizon)
        .max(share.largest_recent_cost)
        + queued;
    let wanted = wanted.min(share.fleet_burst);
    let missing = wanted.saturating_sub(share.available(now));
    if missing < MICRO_TOKENS_PER_TOKEN
        || share.pending_loan_requests.len() >= MAX_PENDING_LOAN_REQUESTS
        || now < share.next_loan_request_at
    {
        return;
    }
    let Some(lender) = next_lender(board, key) else {
        return;
    };
    let id = board.limits.next_id();
    let share = &mut board.limits.shares[key];
    let customer = share.name.to_string();
    share.pending_loan_requests.insert(
        id,
        PendingLoanRequest {
            lender: lender.clone(),
            sent_at: now,
        },
    );
    let request = control::LoanRequest {
        id,
        customer,
        tokens: missing.div_ceil(MICRO_TOKENS_PER_TOKEN),
    };
    board.send_message(lender, Message::LoanRequest(request));
}

/// Returns the next instance that holds a share, in round-robin order. Each round starts
/// with the instances of this region.
fn next_lender(board: &mut Board, key: CustomerKey) -> Option<SmolStr> {
    let region = board.my_region().cloned()?;
    let share = &board.limits.shares[key];
    let pending_lenders: Vec<&SmolStr> = share
        .pending_loan_requests
        .values()
        .map(|r| &r.lender)
        .collect();
    let mut lenders: Vec<(bool, SmolStr)> = board
        .instances
        .values()
        .filter(|i| member::takes_work(board, i) && i.link.is_some())
        .filter(|i| share.is_held_by(&i.domain, i.slot))
        .filter(|i| !pending_lenders.contains(&&i.name))
        .map(|i| (i.region != region, i.name.clone()))
        .collect();
    lenders.sort();
    if lenders.is_empty() {
        return None;
    }
    let share = &mut board.limits.shares[key];
    share.lender_cursor = share.lender_cursor.wrapping_add(1);
    let index = share.lender_cursor % lenders.len();
    Some(lenders.swap_remove(index).1)
}

/// Handles a loan request: lends what this instance can spare.
pub(crate) fn handle_loan_request(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    request: &control::LoanRequest,
) {
    let last = board.limits.last_loan_requests.get(from).copied();
    let repeated = last.is_some_and(|(last_incarnation, last_id)| {
        last_incarnation == incarnation && request.id <= last_id
    });
    if repeated {
        return;
    }
    board
        .limits
        .last_loan_requests
        .insert(from.clone(), (incarnation, request.id));
    let tokens = lend(board, from, incarnation, request);
    let loan = control::Loan {
        id: request.id,
        tokens,
    };
    board.send_message(from.clone(), Message::Loan(loan));
}

/// Moves tokens from this instance's share to a new loan and returns their number.
fn lend(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    request: &control::LoanRequest,
) -> u64 {
    let now = board.now();
    let horizon = board.settings.loan_horizon;
    let expires =
        now + board.settings.loan_lifetime + board.settings.loan_lifetime / CLOCK_DRIFT_DIVISOR;
    if board.settings.sharing == Sharing::Static {
        return 0;
    }
    let Some(key) = board.limits.by_name.get(request.customer.as_str()) else {
        return 0;
    };
    let share = &mut board.limits.shares[*key];
    share.refill(now);
    let own_demand = share
        .expected_demand(now, horizon)
        .max(share.largest_recent_cost);
    let spare = share.micro_tokens.saturating_sub(own_demand) / MICRO_TOKENS_PER_TOKEN;
    let tokens = spare.min(request.tokens);
    if tokens == 0 {
        return 0;
    }
    let amount = tokens * MICRO_TOKENS_PER_TOKEN;
    // The tokens are removed from this share before they are sent.
    share.micro_tokens -= amount;
    let lent = Lent {
        amount,
        spent: 0,
        expires,
    };
    share
        .lent
        .insert((from.clone(), incarnation, request.id), lent);
    tokens
}

/// Handles the answer to a loan request; a repeated answer is ignored.
pub(crate) fn handle_loan(board: &mut Board, from: &SmolStr, loan: &control::Loan) {
    let now = board.now();
    let lifetime = board.settings.loan_lifetime;
    let Some((key, request)) = remove_loan_request(board, from, loan.id) else {
        return;
    };
    let share = &mut board.limits.shares[key];
    if loan.tokens == 0 {
        share.next_loan_request_at = now + DECLINED_LOAN_BACKOFF;
        return;
    }
    let expires = request.sent_at + lifetime;
    if now < expires {
        share.borrowed.push(Borrowed {
            id: loan.id,
            lender: from.clone(),
            amount: loan.tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN),
            spent: 0,
            reported: 0,
            expires,
        });
        share.borrowed.sort_by_key(|l| l.expires);
    }
    super::serve_waiting(board, key);
}

fn remove_loan_request(
    board: &mut Board,
    from: &SmolStr,
    id: u64,
) -> Option<(CustomerKey, PendingLoanRequest)> {
    let (key, share) = board.limits.shares.iter_mut().find(|(_, s)| {
        s.pending_loan_requests
            .get(&id)
            .is_some_and(|r| r.lender == *from)
    })?;
    let request = share.pending_loan_requests.remove(&id)?;
    Some((key, request))
}

/// Reports spent tokens to the lenders, so that their shares can refill.
pub(super) fn report_spending(board: &mut Board, key: CustomerKey) {
    let share = &mut board.limits.shares[key];
    let mut reports = Vec::new();
    for loan in &mut share.borrowed {
        if loan.spent > loan.reported {
            loan.reported = loan.spent;
            reports.push((loan.lender.clone(), build_report(loan, false)));
        }
    }
    share.borrowed.retain(|l| l.spent < l.amount);
    for (lender, report) in reports {
        board.send_message(lender, Message::LoanReport(report));
    }
}

fn build_report(loan: &Borrowed, closed: bool) -> control::LoanReport {
    control::LoanReport {
        id: loan.id,
        spent_micro_tokens: loan.spent,
        closed,
    }
}

/// Handles a borrower's report.
pub(crate) fn handle_loan_report(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    report: &control::LoanReport,
) {
    let now = board.now();
    let loan_key = (from.clone(), incarnation, report.id);
    let share = board
        .limits
        .shares
        .values_mut()
        .find(|s| s.lent.contains_key(&loan_key));
    if let Some(share) = share {
        share.refill(now);
        settle_loan(share, &loan_key, report);
    }
}

fn settle_loan(share: &mut Share, loan_key: &(SmolStr, u64, u64), report: &control::LoanReport) {
    let Some(lent) = share.lent.get_mut(loan_key) else {
        return;
    };
    lent.spent = lent.spent.max(report.spent_micro_tokens.min(lent.amount));
    let rest = lent.amount - lent.spent;
    if report.closed {
        // The borrower had stopped using the rest before it sent the report.
        share.lent.remove(loan_key);
        share.micro_tokens += rest;
    } else if rest == 0 {
        share.lent.remove(loan_key);
    }
}

/// Removes expired loans, both lent and borrowed ones.
pub(super) fn expire(board: &mut Board, key: CustomerKey) {
    let now = board.now();
    let share = &mut board.limits.shares[key];
    share.borrowed.retain(|l| now < l.expires);
    share.lent.retain(|_, l| now < l.expires);
}

/// Gives the unspent borrowed tokens back to their lenders before the process stops.
pub(crate) fn return_loans(board: &mut Board) {
    let mut reports = Vec::new();
    for share in board.limits.shares.values_mut() {
        for loan in share.borrowed.drain(..) {
            reports.push((loan.lender.clone(), build_report(&loan, true)));
        }
    }
    for (lender, report) in reports {
        board.send_message(lender, Message::LoanReport(report));
    }
}

/// Handles the restart of an instance, whose loan request ids start over.
///
/// Tokens lent to the old process stay lent until the loans expire, because that process
/// may still run.
pub(crate) fn handle_borrower_restart(board: &mut Board, name: &SmolStr) {
    board.limits.last_loan_requests.remove(name);
}
