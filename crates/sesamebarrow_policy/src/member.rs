//! Who else serves: links, heartbeats and the platform's list.
//!
//! Inside a failure domain every instance is every other's neighbour. Between domains
//! the links form fingers: from the domain at place `i` to those at `i + 1`, `i + 2`,
//! `i + 4` and so on, each held by one instance. Any domain is thus reached in a number
//! of steps that grows with the logarithm of the domains, and no instance holds more
//! than a few links however large the fleet.

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
    dial_neighbours, drop_all_links, drop_silent_links, handle_link_down, handle_link_up,
};

/// Returns the weight of `name` for `subject`: the highest of a set is chosen, and the
/// choice moves only if the chosen name goes or a higher one comes.
pub(crate) fn rendezvous_weight(name: &str, subject: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject);
    hasher.update(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Tells whether a duty of the failure domain falls to this instance: to the one with the
/// highest weight for `subject` among those that it hears.
pub(crate) fn is_responsible_for(board: &Board, subject: &[u8]) -> bool {
    let mine = rendezvous_weight(&board.me.name, subject);
    board
        .instances
        .values()
        .filter(|i| i.domain == board.me.domain && board.has_live_link(i))
        .all(|i| rendezvous_weight(&i.name, subject) < mine)
}

/// Takes a control message.
pub(crate) fn handle_message(
    board: &mut Board,
    from: &SmolStr,
    incarnation: u64,
    message: Message,
) {
    // A message from a link that was given up may be old, whatever it says.
    let current = find(board, from)
        .and_then(|key| board.instances[key].link.as_ref())
        .is_some_and(|link| link.incarnation == incarnation);
    if !current {
        return;
    }
    match message {
        Message::Heartbeat(beat) => heartbeat::take(board, from, &beat),
        Message::DocumentRequest(ask) => config::handle_document_request(board, from, &ask),
        Message::Document(document) => config::handle_document(board, from, &document),
        Message::LoanRequest(ask) => limit::handle_loan_request(board, from, incarnation, &ask),
        Message::Loan(loan) => limit::handle_loan(board, from, &loan),
        Message::LoanReport(report) => limit::handle_loan_report(board, from, incarnation, &report),
    }
}

/// Brings the instances in line with the list.
pub(crate) fn apply_list(board: &mut Board) {
    let list = board.list.clone();
    for instance in board.instances.values_mut() {
        if !list.instances.contains_key(&instance.name) {
            instance.listed_state = None;
        }
    }
    for (name, entry) in &list.instances {
        if *name == board.me.name {
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
    forget_gone(board);
}

/// Brings the instances' regions in line with the rules.
pub(crate) fn apply_rules(board: &mut Board) {
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

/// Forgets instances that neither the list nor a link names.
fn forget_gone(board: &mut Board) {
    let gone: Vec<InstanceKey> = board
        .instances
        .iter()
        .filter(|(_, i)| i.listed_state.is_none() && i.link.is_none())
        .map(|(key, _)| key)
        .collect();
    for key in gone {
        if let Some(instance) = board.instances.remove(key) {
            board.instances_by_name.remove(&instance.name);
        }
    }
}

/// Tells whether new work may be sent to `instance`.
///
/// Where a link stands, it tells more than the list, which lags.
pub(crate) fn takes_work(board: &Board, instance: &Instance) -> bool {
    if instance.listed_state == Some(State::Leaving) {
        return false;
    }
    match &instance.link {
        Some(link) => link.ready && board.has_live_link(instance),
        None => instance.listed_state == Some(State::Live) && !instance.neighbour,
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
        neighbour: false,
        last_dialled: None,
    });
    board.instances_by_name.insert(name.clone(), key);
    key
}

/// Begins a graceful shutdown.
pub(crate) fn begin_drain(board: &mut Board) {
    board.draining = true;
    send_heartbeats_now(board);
    limit::return_loans(board);
}

/// Ends a graceful shutdown once no request is under way.
pub(crate) fn finish_drain(board: &mut Board) {
    if board.draining && !board.drained && board.requests.is_empty() {
        board.drained = true;
        board.push_action(Action::Drained);
    }
}
