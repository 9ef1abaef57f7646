//! Membership: links between instances, heartbeats and the platform's list.
//!
//! Every instance links to all others of its failure domain. Links between domains are
//! spaced as in the finger table of a Chord ring: the domain at position `i` links to
//! those at `i + 1`, `i + 2`, `i + 4` and so on, and one of its instances holds each of
//! these links. The number of hops to any domain thus grows with the logarithm of the
//! number of domains, and no instance holds more than a few links between domains,
//! however large the fleet is.

mod heartbeat;
mod links;

use sesamebarrow_rules::list::State;
use smol_str::SmolStr;

use crate::board::{Board, Instance, InstanceKey};
use crate::event::{Action, Message};
use crate::{config, limit};

pub(crate) use heartbeat::{
    has_newer_rules, millis, schedule_heartbeats, send_due_heartbeats, send_heartbeats_now,
};
pub(crate) use links::{
    close_all_links, close_silent_links, dial_wanted_links, handle_link_down, handle_link_up,
};

/// Returns the weight of `name` for `key` in rendezvous hashing.
///
/// Of a set of names the one with the highest weight is chosen. The choice changes only
/// if the chosen name is removed or one with a higher weight is added.
pub(crate) fn rendezvous_weight(name: &str, key: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(name.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(prefix)
}

/// Returns whether this instance is the one of its failure domain that is responsible for
/// `key`: the one with the highest weight among itself and those to which it has a live
/// link.
pub(crate) fn is_responsible_for(board: &Board, key: &[u8]) -> bool {
    let own_weight = rendezvous_weight(&board.identity.name, key);
    board
        .instances
        .values()
        .filter(|i| i.domain == board.identity.domain && board.has_live_link(i))
        .all(|i| rendezvous_weight(&i.name, key) < own_weight)
}

/// Handles a control message.
pub(crate) fn handle_message(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    message: Message,
) {
    // A message on a link that was closed may be outdated.
    let current = find(board, from)
        .and_then(|key| board.instances[key].link.as_ref())
        .is_some_and(|link| link.incarnation == incarnation);
    if !current {
        return;
    }
    match message {
        Message::Heartbeat(heartbeat) => heartbeat::handle_heartbeat(board, from, &heartbeat),
        Message::DocumentRequest(request) => config::handle_document_request(board, from, &request),
        Message::DocumentUpdate(document) => config::handle_document(board, from, &document),
        Message::LoanRequest(request) => {
            limit::handle_loan_request(board, from, incarnation, &request);
        }
        Message::Loan(loan) => limit::handle_loan(board, from, &loan),
        Message::LoanReport(report) => limit::handle_loan_report(board, from, incarnation, &report),
    }
}

/// Updates the instances from the list.
pub(crate) fn apply_list(board: &mut Board) {
    let list = board.list.clone();
    for instance in board.instances.values_mut() {
        if !list.instances.contains_key(&instance.name) {
            instance.listed_state = None;
        }
    }
    for (name, entry) in &list.instances {
        if *name == board.identity.name {
            continue;
        }
        let key = find_or_add(board, name);
        let instance = &mut board.instances[key];
        instance.domain = entry.domain.clone();
        instance.slot = Some(entry.slot);
        instance.http = Some(entry.http);
        instance.peer = Some(entry.peer);
        instance.listed_state = Some(entry.state);
    }
    remove_unlisted(board);
}

/// Updates the regions of the instances from the rules.
pub(crate) fn update_regions(board: &mut Board) {
    let Some(rules) = board.rules.clone() else {
        return;
    };
    for instance in board.instances.values_mut() {
        instance.region = rules
            .region_of(&instance.domain)
            .cloned()
            .unwrap_or_default();
    }
}

/// Removes instances that are not on the list and have no link.
fn remove_unlisted(board: &mut Board) {
    let removable: Vec<InstanceKey> = board
        .instances
        .iter()
        .filter(|(_, i)| i.listed_state.is_none() && i.link.is_none())
        .map(|(key, _)| key)
        .collect();
    for key in removable {
        if let Some(instance) = board.instances.remove(key) {
            board.instances_by_name.remove(&instance.name);
        }
    }
}

/// Returns whether new requests may be sent to `instance`.
///
/// An instance that the list calls leaving gets none. Otherwise the state of the link takes
/// precedence over the list, which lags behind. An instance to which a link is wanted but
/// not open counts as down.
pub(crate) fn takes_work(board: &Board, instance: &Instance) -> bool {
    if instance.listed_state == Some(State::Leaving) {
        return false;
    }
    match &instance.link {
        Some(link) => link.ready && board.has_live_link(instance),
        None => instance.listed_state == Some(State::Live) && !instance.link_wanted,
    }
}

/// Returns the key of the instance `name`.
pub(crate) fn find(board: &Board, name: &str) -> Option<InstanceKey> {
    board.instances_by_name.get(name).copied()
}

fn find_or_add(board: &mut Board, name: &SmolStr) -> InstanceKey {
    if let Some(key) = find(board, name) {
        return key;
    }
    let key = board.instances.insert(Instance {
        name: name.clone(),
        domain: SmolStr::default(),
        region: SmolStr::default(),
        slot: None,
        http: None,
        peer: None,
        listed_state: None,
        link: None,
        link_wanted: false,
        last_dialled: None,
    });
    board.instances_by_name.insert(name.clone(), key);
    key
}

/// Starts a graceful shutdown.
pub(crate) fn begin_drain(board: &mut Board) {
    board.draining = true;
    send_heartbeats_now(board);
    limit::return_loans(board);
}

/// Completes a graceful shutdown once no request is in progress.
pub(crate) fn finish_drain(board: &mut Board) {
    if board.draining && !board.drained && board.requests.is_empty() {
        board.drained = true;
        board.push_action(Action::Drained);
    }
}
