//! Tokens of the customer's rate.

use sesamebarrow_rules::ServiceKind;

use super::{Request, choose, refuse_over_rate};
use crate::board::Board;
use crate::event::{Head, Origin, RequestId};
use crate::limit::{self, Reserved};

/// Returns the tokens that a request may cost at most.
pub(super) fn cost(board: &Board, head: &Head) -> u64 {
    let service = board
        .rules
        .as_ref()
        .and_then(|r| r.services.get(&head.service));
    match service {
        Some(service) if service.kind == ServiceKind::Plain => u64::from(service.cost),
        _ => head.estimated_tokens.max(1),
    }
}

/// Reserves the tokens and goes on, waits for them, or refuses.
pub(super) fn reserve(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let Some(customer) = payer(request) else {
        choose::choose(board, id);
        return;
    };
    let cost = request.cost;
    match limit::reserve(board, &customer, cost, id) {
        Reserved::Now(reservation) => super::resume(board, id, reservation),
        Reserved::Wait => {}
        Reserved::Never(retry) => refuse_over_rate(board, id, retry),
    }
}

/// Returns the customer whose tokens are taken here; `None` on open routes and where the
/// instance that handed the request on has reserved them.
fn payer(request: &Request) -> Option<smol_str::SmolStr> {
    let paid = matches!(request.head.origin, Origin::Instance { .. }) && request.ticket.is_none();
    request.customer.clone().filter(|_| !paid)
}
