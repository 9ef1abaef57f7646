//! Authentication: finds the customer that owns the key of a request.

use sesamebarrow_rules::{KeyDigest, RequestClass};
use smol_str::SmolStr;

use super::Request;
use crate::board::Board;
use crate::event::{Head, Origin};
use crate::refusal::{Reason, Refusal};

/// What identification establishes about a request: its customer, its key and its class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Identification {
    pub(super) customer: Option<SmolStr>,
    pub(super) key: Option<KeyDigest>,
    pub(super) class: RequestClass,
}

/// Finds the customer and the class of a request, or refuses it.
pub(super) fn identify(board: &Board, head: &Head) -> Result<Identification, Refusal> {
    let retry_after = board.settings.recovery_timeout;
    let Some(rules) = &board.rules else {
        return Err(Refusal::not_run(Reason::NotReady).with_retry_after(retry_after));
    };
    if board.clock.recovering_until.is_some() {
        return Err(Refusal::not_run(Reason::NotReady).with_retry_after(retry_after));
    }
    let is_forwarded = matches!(head.origin, Origin::Instance { .. });
    if board.refuses_all || (board.draining && !is_forwarded) {
        return Err(Refusal::not_run(Reason::Draining).with_retry_after(retry_after));
    }
    let class = rules.classify(&head.service, &head.method, &head.path);
    let class = class.ok_or_else(|| Refusal::not_run(Reason::UnknownService))?;
    let is_open_route = class == RequestClass::Open;
    let (customer, key) = match &head.origin {
        Origin::Caller { key } => (key.and_then(|k| board.customer_of(&k).cloned()), *key),
        Origin::Instance { customer, .. } => (customer.clone(), None),
    };
    // An open route needs no key, but refuses an unknown one.
    if customer.is_none() && (!is_open_route || key.is_some()) {
        return Err(Refusal::not_run(Reason::BadKey));
    }
    Ok(Identification {
        customer,
        key,
        class,
    })
}

/// Returns whether the key of the request still belongs to its customer.
pub(super) fn is_key_valid(board: &Board, request: &Request) -> bool {
    match (&request.key, &request.customer) {
        (Some(key), Some(customer)) => board.customer_of(key) == Some(customer),
        _ => true,
    }
}
