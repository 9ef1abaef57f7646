//! Authorisation: whether the customer may call the service, and whether its data may be
//! processed in this region.

use smol_str::SmolStr;

use super::identify::Identification;
use crate::board::Board;
use crate::event::{Head, Origin};
use crate::placement;
use crate::refusal::{Reason, Refusal};

/// Maximum number of times that a request may be forwarded between instances.
const MAX_HOPS: u32 = 1;

/// Checks the hops of the request, the service and the region.
pub(super) fn authorise(
    board: &Board,
    head: &Head,
    identification: &Identification,
) -> Result<(), Refusal> {
    check_hops(head)?;
    let Some(customer) = &identification.customer else {
        return Ok(());
    };
    check_service(board, customer, &head.service)?;
    check_region(board, customer)
}

/// Refuses a request that was forwarded more than once. An instance never forwards a
/// request that was forwarded to it, so more hops indicate a fault.
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

/// Checks that the customer's data may be processed in this region. The refusal names
/// instances that may take the request.
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
