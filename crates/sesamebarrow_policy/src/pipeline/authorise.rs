//! What the customer may do, and whether its data may be here.

use smol_str::SmolStr;

use super::identify::Caller;
use crate::board::Board;
use crate::event::{Head, Origin};
use crate::placement;
use crate::refusal::{Reason, Refusal};

/// Instances that may hand a request on, all hops together.
const MAX_HOPS: u32 = 1;

/// Checks that the request may run in this region.
pub(super) fn authorise(board: &Board, head: &Head, caller: &Caller) -> Result<(), Refusal> {
    check_hops(head)?;
    let Some(customer) = &caller.customer else {
        return Ok(());
    };
    check_service(board, customer, &head.service)?;
    check_region(board, customer)
}

/// A request that has passed an instance is never handed on; one that claims to have
/// passed more was handed on by mistake.
fn check_hops(head: &Head) -> Result<(), Refusal> {
    match head.origin {
        Origin::Instance { hops, .. } if hops > MAX_HOPS => Err(Refusal::not_run(Reason::Loop)),
        _ => Ok(()),
    }
}

/// Checks that the customer may call the service.
pub(super) fn check_service(
    board: &Board,
    customer: &SmolStr,
    service: &str,
) -> Result<(), Refusal> {
    let allowed = board
        .rules
        .as_ref()
        .and_then(|r| r.customers.get(customer))
        .is_some_and(|c| c.services.contains(service));
    if allowed {
        Ok(())
    } else {
        Err(Refusal::not_run(Reason::NotAllowed))
    }
}

/// Checks that the customer's data may be in this region.
pub(super) fn check_region(board: &Board, customer: &SmolStr) -> Result<(), Refusal> {
    let region = board.my_region().cloned().unwrap_or_default();
    if board.allows_region(customer, &region) {
        return Ok(());
    }
    let mut refusal = Refusal::not_run(Reason::WrongRegion);
    refusal.instances = placement::candidates(board, customer)
        .into_iter()
        .map(|c| c.name)
        .collect();
    Err(refusal)
}
