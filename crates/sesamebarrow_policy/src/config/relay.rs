//! Relays documents between neighbours, as changes where possible.

use std::sync::Arc;
use std::time::Duration;

use sesamebarrow_rules::Document;
use sesamebarrow_rules::document::Delta;
use sesamebarrow_wire::control::{self, DocumentKind};
use smol_str::SmolStr;

use super::{DocumentState, adopt};
use crate::board::Board;
use crate::event::Message;
use crate::member;

/// Time after which a document that did not arrive may be requested again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles the revision and age of a document that a neighbour reports.
///
/// If the revision is the one in force, the neighbour's confirmation counts here too. If it
/// is newer, the document is requested.
pub(crate) fn handle_reported_revision(
    board: &mut Board,
    from: &SmolStr,
    kind: DocumentKind,
    revision: u64,
    age: Duration,
) {
    let now = board.now();
    let Some(state) = board.documents.get_mut(&kind) else {
        return;
    };
    if revision > 0 && revision == state.revision() {
        state.confirm(now.saturating_sub(age));
        crate::clock::end_recovery(board);
        return;
    }
    let pending = state
        .requested_at
        .is_some_and(|at| now - at < REQUEST_TIMEOUT);
    if revision <= state.newest_examined() || pending {
        return;
    }
    state.requested_at = Some(now);
    let held_revision = state.revision();
    request_document(board, from, kind, held_revision);
}

/// Returns the faulty revisions that heartbeats report to neighbours. They include revisions
/// that only other instances have refused, although the message calls all of them refused.
pub(crate) fn faulty_revisions(board: &Board) -> Vec<control::RefusedDocument> {
    let faulty = board
        .documents
        .iter()
        .filter(|(_, s)| s.faulty_revision > s.revision());
    faulty
        .map(|(kind, state)| control::RefusedDocument {
            kind: (*kind).into(),
            revision: state.faulty_revision,
            fault: state.fault.as_deref().unwrap_or_default().to_owned(),
        })
        .collect()
}

/// Handles a neighbour's report that a newer revision has a fault.
pub(crate) fn handle_faulty_revision(board: &mut Board, report: &control::RefusedDocument) {
    let Ok(kind) = DocumentKind::try_from(report.kind) else {
        return;
    };
    let Some(state) = board.documents.get_mut(&kind) else {
        return;
    };
    if report.revision > state.faulty_revision.max(state.revision()) {
        state.faulty_revision = report.revision;
        state.fault = Some(SmolStr::new(&report.fault));
        member::schedule_heartbeats(board);
    }
}

fn request_document(board: &mut Board, from: &SmolStr, kind: DocumentKind, held_revision: u64) {
    let request = control::DocumentRequest {
        kind: kind.into(),
        held_revision,
    };
    board.send_message(from.clone(), Message::DocumentRequest(request));
}

/// Answers a neighbour with an older revision: sends the changes since that revision, or
/// the whole document if they are no longer kept.
pub(crate) fn handle_document_request(
    board: &mut Board,
    from: &SmolStr,
    request: &control::DocumentRequest,
) {
    let Ok(kind) = DocumentKind::try_from(request.kind) else {
        return;
    };
    let messages = changes_since(&board.documents[&kind], kind, request.held_revision);
    for message in messages {
        board.send_message(from.clone(), Message::DocumentUpdate(message));
    }
}

fn changes_since(
    state: &DocumentState,
    kind: DocumentKind,
    held_revision: u64,
) -> Vec<control::DocumentUpdate> {
    let Some(current) = &state.current else {
        return Vec::new();
    };
    if held_revision >= current.revision {
        return Vec::new();
    }
    let start = state
        .changes
        .iter()
        .position(|c| c.base_revision == held_revision);
    if let Some(start) = start.filter(|_| held_revision > 0) {
        return state
            .changes
            .iter()
            .skip(start)
            .map(|c| build_message(kind, c.revision, c.base_revision, &c.delta, &c.digest))
            .collect();
    }
    let whole = current.delta_from_empty();
    vec![build_message(
        kind,
        current.revision,
        0,
        &whole,
        current.digest(),
    )]
}

/// Builds the message that carries a change.
fn build_message(
    kind: DocumentKind,
    revision: u64,
    base_revision: u64,
    delta: &Delta,
    digest: &[u8],
) -> control::DocumentUpdate {
    let strings = |lines: &[Arc<str>]| lines.iter().map(ToString::to_string).collect();
    control::DocumentUpdate {
        kind: kind.into(),
        revision,
        base_revision,
        removed: strings(&delta.removed),
        added: strings(&delta.added),
        digest: bytes::Bytes::copy_from_slice(digest),
    }
}

/// Handles a document or a change from a neighbour.
pub(crate) fn handle_document(
    board: &mut Board,
    from: &SmolStr,
    message: &control::DocumentUpdate,
) {
    let Ok(kind) = DocumentKind::try_from(message.kind) else {
        return;
    };
    let Some(state) = board.documents.get_mut(&kind) else {
        return;
    };
    state.requested_at = None;
    if message.revision <= state.newest_examined() {
        return;
    }
    let base = state.current.as_ref().filter(|_| message.base_revision > 0);
    if message.base_revision != base.map_or(0, |d| d.revision) {
        // Another neighbour's answer arrived first. The next heartbeat leads to a new request.
        return;
    }
    let lines = |lines: &[String]| lines.iter().map(|l| Arc::from(l.as_str())).collect();
    let delta = Delta {
        removed: lines(&message.removed),
        added: lines(&message.added),
    };
    match Document::apply(base, message.revision, &delta, &message.digest) {
        Ok(document) => {
            adopt::adopt(board, kind, document);
        }
        Err(mismatch) => {
            state.fault = Some(SmolStr::from(format!(
                "change from {from} could not be applied, requesting the whole document: {mismatch}"
            )));
            request_document(board, from, kind, 0);
        }
    }
}
