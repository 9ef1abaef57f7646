//! Reservation of tokens from the customer's rate.

use sesamebarrow_rules::ServiceKind;

use super::{Request, choose, refuse_over_rate};
use crate::board::Board;
use crate::event::{Head, Origin, RequestId};
use crate::limit::{self, ReserveOutcome};

/// Returns the tokens to reserve for a request.
pub(super) fn cost_tokens(board: &Board, head: &Head) -> u64 {
    let service = board
        .rules
        .as_ref()
        .and_then(|r| r.services.get(&head.service));
    match service {
        Some(service) if service.kind == ServiceKind::Plain => u64::from(service.cost),
        _ => head.estimated_tokens.max(1),
    }
}

/// Reserves the tokens of a request and continues with it, leaves it waiting for tokens,
/// or refuses it.
pub(super) fn reserve(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let Some(customer) = charged_customer(request) else {
        choose::choose(board, id);
        return;
    };
    let cost_tokens = request.cost_tokens;
    match limit::reserve(board, &customer, cost_tokens, id) {
        ReserveOutcome::Granted(reservation) => super::resume(board, id, reservation),
        ReserveOutcome::Queued => {}
        ReserveOutcome::Denied(retry_after) => refuse_over_rate(board, id, retry_after),
    }
}

/// Returns the customer from whose rate this instance takes the tokens; `None` for a
/// request without a key, and where the instance that forwarded the request has reserved
/// them.
fn charged_customer(request: &Request) -> Option<smol_str::SmolStr> {
    let reserved_by_sender =
        matches!(request.head.origin, Origin::Instance { .. }) && request.owned_ticket.is_none();
    request.customer.clone().filter(|_| !reserved_by_sender)
}
