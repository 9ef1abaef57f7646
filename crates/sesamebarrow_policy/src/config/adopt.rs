//! Parses a new document and brings it into force.

use std::sync::Arc;

use sesamebarrow_rules::parser::ParseError;
use sesamebarrow_rules::{Document, Rules, list};
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use super::{Change, MAX_CHANGES};
use crate::board::Board;
use crate::{limit, member, pipeline, upstream};

/// Maximum number of faults of a refused document that are shown.
const MAX_SHOWN_FAULTS: usize = 5;

/// Brings `document` into force if it is newer and has no fault.
///
/// Returns whether it did so. A document with any fault is refused as a whole.
pub(super) fn adopt(board: &mut Board, kind: DocumentKind, document: Document) -> bool {
    if document.revision <= board.documents[&kind].newest_examined() {
        return false;
    }
    let text = document.text();
    let previous_rules = board.rules.clone();
    let result = match kind {
        DocumentKind::Rules => sesamebarrow_rules::parse(&text).map(|rules| {
            board.rules = Some(Arc::new(rules));
        }),
        DocumentKind::List => list::parse(&text).map(|list| {
            board.list = Arc::new(list);
        }),
    };
    match result {
        Ok(()) => {
            store(board, kind, document);
            apply(board, kind, previous_rules.as_deref());
            true
        }
        Err(faults) => {
            refuse(board, kind, document.revision, &faults);
            false
        }
    }
}

/// Stores `document` as the current one, and the change that leads to it.
fn store(board: &mut Board, kind: DocumentKind, document: Document) {
    let Some(state) = board.documents.get_mut(&kind) else {
        return;
    };
    if let Some(old) = &state.current {
        state.changes.push_back(Change {
            base_revision: old.revision,
            revision: document.revision,
            delta: document.delta_from(old),
            digest: *document.digest(),
        });
        if state.changes.len() > MAX_CHANGES {
            state.changes.pop_front();
        }
    }
    state.current = Some(document);
    state.fault = None;
}

/// Records that a document was refused, and why.
fn refuse(board: &mut Board, kind: DocumentKind, revision: u64, faults: &[ParseError]) {
    let shown: Vec<String> = faults
        .iter()
        .take(MAX_SHOWN_FAULTS)
        .map(ToString::to_string)
        .collect();
    let fault = format!("revision {revision} refused: {}", shown.join("; "));
    // Neighbours are informed, because operators may query any instance.
    member::schedule_heartbeats(board);
    if let Some(state) = board.documents.get_mut(&kind) {
        state.refused_revision = revision;
        state.faulty_revision = revision;
        state.fault = Some(SmolStr::from(fault));
    }
}

/// Updates every table that depends on the document.
fn apply(board: &mut Board, kind: DocumentKind, previous_rules: Option<&Rules>) {
    if kind == DocumentKind::List {
        member::apply_list(board);
        limit::apply_list(board);
    }
    member::update_regions(board);
    upstream::apply_list_and_rules(board);
    if kind == DocumentKind::Rules {
        limit::apply_rules(board, previous_rules);
        pipeline::cancel_revoked(board);
    }
    // Neighbours are informed of the new revision at once.
    member::send_heartbeats_now(board);
}
