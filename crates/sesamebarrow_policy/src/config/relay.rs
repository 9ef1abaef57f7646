//! Passes documents between neighbours as changes.

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

/// Time after which an unanswered question is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// Takes a neighbour's word on its revision and its age; asks for one that is newer.
pub(crate) fn request_if_newer(
    board: &mut Board,
    from: &SmolStr,
    kind: DocumentKind,
    revision: u64,
    age: Duration,
) {
    let now = board.now();
    let Some(state) = board.shelves.get_mut(&kind) else {
        return;
    };
    if revision > 0 && revision == state.revision() {
        state.confirm(now.saturating_sub(age));
        crate::clock::end_recovery(board);
        return;
    }
    let waiting = state.requested_at.is_some_and(|at| now - at < ASK_AGAIN);
    if revision <= state.newest_examined() || waiting {
        return;
    }
    state.requested_at = Some(now);
    let have = state.revision();
    ask(board, from, kind, have);
}

/// Returns the refused revisions that neighbours are to hear of.
pub(crate) fn refused_revisions(board: &Board) -> Vec<control::RefusedDocument> {
    let faulty = board
        .shelves
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

/// Takes a neighbour's word that a newer revision has a fault.
pub(crate) fn handle_refused_revision(board: &mut Board, refused: &control::RefusedDocument) {
    let Ok(kind) = DocumentKind::try_from(refused.kind) else {
        return;
    };
    let Some(state) = board.shelves.get_mut(&kind) else {
        return;
    };
    if refused.revision > state.faulty_revision.max(state.revision()) {
        state.faulty_revision = refused.revision;
        state.fault = Some(SmolStr::new(&refused.fault));
        member::schedule_heartbeats(board);
    }
}

fn ask(board: &mut Board, from: &SmolStr, kind: DocumentKind, have: u64) {
    let ask = control::DocumentRequest {
        kind: kind.into(),
        held_revision: have,
    };
    board.send_message(from.clone(), Message::DocumentRequest(ask));
}

/// Answers a neighbour that is behind: the changes since its revision, or the whole.
pub(crate) fn handle_document_request(
    board: &mut Board,
    from: &SmolStr,
    ask: &control::DocumentRequest,
) {
    let Ok(kind) = DocumentKind::try_from(ask.kind) else {
        return;
    };
    let messages = changes_since(&board.shelves[&kind], kind, ask.held_revision);
    for message in messages {
        board.send_message(from.clone(), Message::Document(message));
    }
}

fn changes_since(state: &DocumentState, kind: DocumentKind, have: u64) -> Vec<control::Document> {
    let Some(current) = &state.current else {
        return Vec::new();
    };
    if have >= current.revision {
        return Vec::new();
    }
    let start = state.changes.iter().position(|s| s.base == have);
    if let Some(start) = start.filter(|_| have > 0) {
        return state
            .changes
            .iter()
            .skip(start)
            .map(|s| encode(kind, s.revision, s.base, &s.delta, &s.digest))
            .collect();
    }
    let whole = current.delta_from_empty();
    vec![encode(kind, current.revision, 0, &whole, current.digest())]
}

fn encode(
    kind: DocumentKind,
    revision: u64,
    base: u64,
    delta: &Delta,
    digest: &[u8],
) -> control::Document {
    let strings = |lines: &[Arc<str>]| lines.iter().map(ToString::to_string).collect();
    control::Document {
        kind: kind.into(),
        revision,
        base_revision: base,
        removed: strings(&delta.removed),
        added: strings(&delta.added),
        digest: bytes::Bytes::copy_from_slice(digest),
    }
}

/// Takes a document that a neighbour passed on.
pub(crate) fn handle_document(board: &mut Board, from: &SmolStr, message: &control::Document) {
    let Ok(kind) = DocumentKind::try_from(message.kind) else {
        return;
    };
    let Some(state) = board.shelves.get_mut(&kind) else {
        return;
    };
    state.requested_at = None;
    if message.revision <= state.newest_examined() {
        return;
    }
    let base = state.current.as_ref().filter(|_| message.base_revision > 0);
    if message.base_revision != base.map_or(0, |d| d.revision) {
        // Another neighbour's answer came in between; the next heartbeat asks again.
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
            state.fault = Some(SmolStr::from(format!("from {from}: {mismatch}")));
            ask(board, from, kind, 0);
        }
    }
}
