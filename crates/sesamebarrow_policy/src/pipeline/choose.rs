//! Choice of a target: an upstream of this region, or an instance.

use std::time::Duration;

use smol_str::SmolStr;

use super::{TargetKey, dispatch, refuse};
use crate::board::{Board, InstanceKey};
use crate::event::RequestId;
use crate::refusal::{Reason, Refusal};
use crate::upstream::Unavailable;
use crate::{member, upstream};

/// Delay after which a caller should retry if no upstream can take its request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses a target for the next attempt, or refuses the request.
pub(super) fn choose(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    if request.is_at_most_once() && request.owned_ticket.is_none() {
        // Another process owns the ticket, so this process must never run the request.
        refuse(board, id, Refusal::unknown(Reason::OwnerLost));
        return;
    }
    let service = request.head.service.clone();
    let tried = request.tried_upstreams.clone();
    let unavailable = match upstream::choose(board, &service, &tried) {
        Ok(key) => {
            dispatch::dispatch(board, id, TargetKey::Upstream(key));
            return;
        }
        Err(unavailable) => unavailable,
    };
    if let Some(key) = choose_spill_target(board, id) {
        board.counters.spilled += 1;
        dispatch::dispatch(board, id, TargetKey::Instance(key));
        return;
    }
    let reason = match unavailable {
        Unavailable::AllFull => Reason::Overloaded,
        Unavailable::NoneLive if !tried.is_empty() => Reason::UpstreamFailed,
        Unavailable::NoneLive => Reason::NoUpstream,
    };
    refuse(
        board,
        id,
        Refusal::not_run(reason).with_retry_after(RETRY_AFTER),
    );
}

/// Forwards a request to the instance that owns its ticket.
pub(super) fn forward_to_owner(board: &mut Board, id: RequestId, owner: &SmolStr) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let owner_lost = Refusal::unknown(Reason::OwnerLost);
    if request.is_forwarded() {
        // Only one hop is allowed: the sender wrongly took this instance for the owner.
        refuse(board, id, Refusal::unknown(Reason::Loop));
        return;
    }
    let customer = request.customer.clone().unwrap_or_default();
    let Some(key) = member::find(board, owner) else {
        refuse(board, id, owner_lost);
        return;
    };
    let instance = &board.instances[key];
    if !board.allows_region(&customer, &instance.region) {
        refuse(board, id, Refusal::unknown(Reason::WrongRegion));
    } else if member::has_newer_rules(board, instance) {
        let retry_after = board.settings.recovery_timeout;
        refuse(
            board,
            id,
            Refusal::unknown(Reason::OutOfDate).with_retry_after(retry_after),
        );
    } else {
        dispatch::dispatch(board, id, TargetKey::Instance(key));
    }
}

/// Chooses the instance of another region with the fewest requests in progress, among
/// those that may take the request.
fn choose_spill_target(board: &Board, id: RequestId) -> Option<InstanceKey> {
    let request = board.requests.get(&id)?;
    if !board.settings.spill || request.is_at_most_once() || request.is_forwarded() {
        return None;
    }
    let customer = request.customer.as_ref()?;
    let region = board.my_region()?;
    board
        .instances
        .iter()
        .filter(|(_, i)| i.region != *region && member::takes_work(board, i))
        .filter(|(_, i)| board.allows_region(customer, &i.region))
        // An instance with newer rules is left out: those rules may forbid its region for
        // the customer's data.
        .filter(|(_, i)| i.link.is_some() && !member::has_newer_rules(board, i))
        .filter(|(key, _)| request.target != Some(TargetKey::Instance(*key)))
        .min_by_key(|(_, i)| {
            (
                i.link.as_ref().map(|l| l.requests_in_progress),
                i.name.clone(),
            )
        })
        .map(|(key, _)| key)
}
