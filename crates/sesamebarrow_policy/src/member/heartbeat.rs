//! Heartbeats, which are sent on every link.

use std::time::Duration;

use sesamebarrow_wire::control::{self, DocumentKind};
use smol_str::SmolStr;

use super::find;
use crate::board::{Board, Instance};
use crate::event::Message;
use crate::{config, quarantine, upstream};

/// Sends heartbeats even if the interval since the last ones is not over.
pub(crate) fn send_heartbeats_now(board: &mut Board) {
    schedule_heartbeats(board);
    send_due_heartbeats(board);
}

/// Makes the next tick send heartbeats.
pub(crate) fn schedule_heartbeats(board: &mut Board) {
    board.heartbeat_sent_at = None;
}

/// Sends heartbeats when they are due.
pub(crate) fn send_due_heartbeats(board: &mut Board) {
    let now = board.now();
    let due = board
        .heartbeat_sent_at
        .is_none_or(|at| now - at >= board.settings.heartbeat_interval);
    if !due {
        return;
    }
    board.heartbeat_sent_at = Some(now);
    board.heartbeat_sequence += 1;
    let loads = upstream::loads_to_share(board);
    let blames = quarantine::take_due_blames(board);
    let receivers: Vec<(SmolStr, bool)> = board
        .instances
        .values()
        .filter(|i| i.link.is_some())
        .map(|i| (i.name.clone(), i.domain == board.identity.domain))
        .collect();
    for (name, same_domain) in receivers {
        let loads = if same_domain {
            loads.clone()
        } else {
            Vec::new()
        };
        let mut heartbeat = build(board, loads);
        heartbeat.blames = blames.clone();
        heartbeat.orders = quarantine::take_orders_for(board, &name);
        board.send_message(name, Message::Heartbeat(heartbeat));
    }
}

/// Builds a heartbeat with the state of this instance.
fn build(board: &Board, loads: Vec<control::UpstreamLoad>) -> control::Heartbeat {
    let age = |kind| {
        let age = board.documents[&kind].age(board.now());
        age.map_or(u32::MAX, millis)
    };
    control::Heartbeat {
        sequence: board.heartbeat_sequence,
        rules_revision: board.documents[&DocumentKind::Rules].revision(),
        list_revision: board.documents[&DocumentKind::List].revision(),
        rules_age_ms: age(DocumentKind::Rules),
        list_age_ms: age(DocumentKind::List),
        running: u32::try_from(board.requests.len()).unwrap_or(u32::MAX),
        ready: board.is_ready(),
        draining: board.draining,
        loads,
        refused_documents: config::faulty_revisions(board),
        blames: Vec::new(),
        orders: Vec::new(),
        orders_digest: Some(board.quarantine.digest()),
    }
}

/// Returns whole milliseconds, limited to the range of the type.
pub(crate) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Handles a heartbeat.
pub(super) fn handle_heartbeat(board: &mut Board, from: &SmolStr, heartbeat: &control::Heartbeat) {
    let now = board.now();
    let Some(key) = find(board, from) else {
        return;
    };
    let Some(link) = board.instances[key].link.as_mut() else {
        return;
    };
    if heartbeat.sequence <= link.sequence {
        return;
    }
    link.sequence = heartbeat.sequence;
    link.last_heard = now;
    link.rules_revision = heartbeat.rules_revision;
    link.list_revision = heartbeat.list_revision;
    link.ready = heartbeat.ready && !heartbeat.draining;
    link.requests_in_progress = heartbeat.running;
    quarantine::handle_heartbeat(board, from, heartbeat);
    handle_revisions(board, from, heartbeat);
    for report in &heartbeat.refused_documents {
        config::handle_faulty_revision(board, report);
    }
    for load in &heartbeat.loads {
        let age = Duration::from_millis(u64::from(load.age_ms));
        upstream::record_load(board, &load.upstream, load.running, load.queued, age);
    }
}

fn handle_revisions(board: &mut Board, from: &SmolStr, heartbeat: &control::Heartbeat) {
    let revisions = [
        (
            DocumentKind::Rules,
            heartbeat.rules_revision,
            heartbeat.rules_age_ms,
        ),
        (
            DocumentKind::List,
            heartbeat.list_revision,
            heartbeat.list_age_ms,
        ),
    ];
    for (kind, revision, age) in revisions {
        let age = Duration::from_millis(u64::from(age));
        config::handle_reported_revision(board, from, kind, revision, age);
    }
}

/// Returns whether `instance` is linked and has newer rules than this one.
pub(crate) fn has_newer_rules(board: &Board, instance: &Instance) -> bool {
    instance
        .link
        .as_ref()
        .is_some_and(|l| l.rules_revision > board.rules_revision())
}
