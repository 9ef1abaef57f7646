//! Brings a document into force.

use std::sync::Arc;

use sesamebarrow_rules::parser::ParseError;
use sesamebarrow_rules::{Document, Rules, list};
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use super::{HISTORY_STEPS, Step};
use crate::board::Board;
use crate::{limit, member, pipeline, upstream};

/// Faults of a refused document that are shown.
const SHOWN_FAULTS: usize = 5;

/// Brings `document` into force if it is newer and without fault.
///
/// Returns whether it did. A document with any fault changes nothing.
pub(super) fn adopt(board: &mut Board, kind: DocumentKind, document: Document) -> bool {
    if document.revision <= board.shelves[&kind].seen() {
        return false;
    }
    let text = document.text();
    let previous = board.rules.clone();
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
            put_on_shelf(board, kind, document);
            apply(board, kind, previous.as_deref());
            true
        }
        Err(faults) => {
            refuse(board, kind, document.revision, &faults);
            false
        }
    }
}

fn put_on_shelf(board: &mut Board, kind: DocumentKind, document: Document) {
    let Some(shelf) = board.shelves.get_mut(&kind) else {
        return;
    };
    if let Some(old) = &shelf.current {
        shelf.steps.push_back(Step {
            base: old.revision,
            revision: document.revision,
            delta: document.delta_from(old),
            digest: *document.digest(),
        });
        if shelf.steps.len() > HISTORY_STEPS {
            shelf.steps.pop_front();
        }
    }
    shelf.current = Some(document);
    shelf.fault = None;
}

fn refuse(board: &mut Board, kind: DocumentKind, revision: u64, faults: &[ParseError]) {
    let shown: Vec<String> = faults
        .iter()
        .take(SHOWN_FAULTS)
        .map(ToString::to_string)
        .collect();
    let fault = format!("revision {revision} refused: {}", shown.join("; "));
    // Operators look at any instance: neighbours are told.
    member::beat_soon(board);
    if let Some(shelf) = board.shelves.get_mut(&kind) {
        shelf.refused = revision;
        shelf.faulty = revision;
        shelf.fault = Some(SmolStr::from(fault));
    }
}

/// Lets every table that depends on the document follow it.
fn apply(board: &mut Board, kind: DocumentKind, previous: Option<&Rules>) {
    if kind == DocumentKind::List {
        member::follow_list(board);
        limit::follow_list(board);
    }
    member::follow_rules(board);
    upstream::apply_list(board);
    if kind == DocumentKind::Rules {
        limit::follow_rules(board, previous);
        pipeline::cancel_revoked(board);
    }
    // Neighbours learn of the new revision at once.
    member::beat_now(board);
}
