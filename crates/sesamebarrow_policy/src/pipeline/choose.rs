//! Where a request goes: an upstream of this region, or an instance of another.

use std::time::Duration;

use smol_str::SmolStr;

use super::{TargetKey, dispatch, refuse};
use crate::board::{Board, InstanceKey};
use crate::event::RequestId;
use crate::refusal::{Reason, Refusal};
use crate::upstream::Missing;
use crate::{member, upstream};

/// When a caller should come back where no upstream has room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses a target for the next attempt.
pub(super) fn choose(board: &mut Board, id: RequestId) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    if request.is_at_most_once() && request.ticket.is_none() {
        // Another process owns the ticket: this one must never run it.
        refuse(board, id, Refusal::unknown(Reason::OwnerLost));
        return;
    }
    let service = request.head.service.clone();
    let tried = request.tried.clone();
    let missing = match upstream::choose(board, &service, &tried) {
        Ok(key) => {
            dispatch::dispatch(board, id, TargetKey::Upstream(key));
            return;
        }
        Err(missing) => missing,
    };
    if let Some(key) = choose_spill(board, id) {
        board.counters.spilled += 1;
        dispatch::dispatch(board, id, TargetKey::Instance(key));
        return;
    }
    let reason = match missing {
        Missing::Full => Reason::Overloaded,
        Missing::None if !tried.is_empty() => Reason::UpstreamFailed,
        Missing::None => Reason::NoUpstream,
    };
    refuse(
        board,
        id,
        Refusal::not_run(reason).with_retry_after(RETRY_AFTER),
    );
}

/// Hands a request to the instance that owns its ticket.
pub(super) fn choose_owner(board: &mut Board, id: RequestId, owner: &SmolStr) {
    let Some(request) = board.requests.get(&id) else {
        return;
    };
    let lost = Refusal::unknown(Reason::OwnerLost);
    if request.is_forwarded() {
        // One hop is all: the sender took this instance for the owner.
        refuse(board, id, Refusal::unknown(Reason::Loop));
        return;
    }
    let customer = request.customer.clone().unwrap_or_default();
    let Some(key) = member::find(board, owner) else {
        refuse(board, id, lost);
        return;
    };
    let instance = &board.instances[key];
    if !board.allows_region(&customer, &instance.region) {
        refuse(board, id, Refusal::unknown(Reason::WrongRegion));
    } else if member::is_behind(board, instance) {
        let wait = board.settings.wake;
        refuse(
            board,
            id,
            Refusal::unknown(Reason::OutOfDate).with_retry_after(wait),
        );
    } else {
        dispatch::dispatch(board, id, TargetKey::Instance(key));
    }
}

/// Chooses the least busy instance of another region that may have the request.
fn choose_spill(board: &Board, id: RequestId) -> Option<InstanceKey> {
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
        // A body must not leave for a region that newer rules may forbid.
        .filter(|(_, i)| i.link.is_some() && !member::is_behind(board, i))
        .filter(|(key, _)| request.target != Some(TargetKey::Instance(*key)))
        .min_by_key(|(_, i)| (i.link.as_ref().map(|l| l.running), i.name.clone()))
        .map(|(key, _)| key)
}
