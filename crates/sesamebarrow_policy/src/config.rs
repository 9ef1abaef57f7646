//! Published documents: who reads them, how they pass between instances, and when they
//! come into force.
//!
//! In each region one instance waits on the platform; which one changes with every
//! revision, so that the cost of reading goes round. The others take changes from
//! neighbours and read for themselves only when their knowledge grows old.

mod adopt;
mod relay;

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use sesamebarrow_rules::Document;
use sesamebarrow_rules::document::Delta;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::board::Board;
use crate::event::Action;
use crate::member;

pub(crate) use relay::{
    handle_document, handle_document_request, handle_refused_revision, refused_revisions,
    request_if_newer,
};

/// Changes kept for neighbours that are behind.
const MAX_CHANGES: usize = 64;

/// One change of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The revision before.
    pub base: u64,
    /// The revision after.
    pub revision: u64,
    /// What changed.
    pub delta: Delta,
    /// Digest of the revision after.
    pub digest: [u8; 32],
}

/// One published document and what is known of its age.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentState {
    /// The revision in force. Its number only rises.
    pub current: Option<Document>,
    /// The newest changes, oldest first.
    pub changes: VecDeque<Change>,
    /// When the platform was last known to have nothing newer than `current`.
    pub confirmed_at: Option<Duration>,
    /// The newest revision that was refused.
    pub refused_revision: u64,
    /// The newest published revision that is known to have a fault, here or elsewhere.
    pub faulty_revision: u64,
    /// The fault, or why a neighbour's change could not be applied.
    pub fault: Option<SmolStr>,
    /// What went wrong with the last read of the platform.
    pub read_fault: Option<SmolStr>,
    /// Number of the read under way.
    pub pending_read: Option<u64>,
    /// Number of the newest read.
    pub last_read: u64,
    /// When a read may be made again after one that failed.
    pub next_read_at: Duration,
    /// When a neighbour was last asked.
    pub requested_at: Option<Duration>,
}

impl DocumentState {
    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |d| d.revision)
    }

    /// Returns the newest revision looked at, also if it was refused.
    pub fn newest_examined(&self) -> u64 {
        self.revision().max(self.refused_revision)
    }

    /// Returns the time since the platform confirmed the revision in force.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Gives up a read that was under way before a pause.
    pub(crate) fn abandon_read(&mut self) {
        self.pending_read = None;
        self.next_read_at = Duration::ZERO;
    }

    fn confirm(&mut self, at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |c| c.max(at)));
    }
}

/// Starts the reads of the platform that this instance has to make.
pub(crate) fn start_reads(board: &mut Board) {
    for kind in [DocumentKind::Rules, DocumentKind::List] {
        let now = board.now();
        let state = &board.shelves[&kind];
        if state.pending_read.is_some() || now < state.next_read_at {
            continue;
        }
        let quiet = state
            .age(now)
            .is_none_or(|age| age >= board.settings.relay_timeout);
        let reader = is_reader(board, state.revision());
        let recovering = board.clock.recovering_until.is_some();
        if !quiet && !reader && !recovering {
            continue;
        }
        let known_revision = state.newest_examined();
        let fresh = state.age(now).is_some() && !quiet && !recovering;
        let Some(state) = board.shelves.get_mut(&kind) else {
            continue;
        };
        state.last_read += 1;
        state.pending_read = Some(state.last_read);
        let read_id = state.last_read;
        board.counters.platform_reads += 1;
        board.push_action(Action::ReadDocument {
            kind,
            read_id,
            known_revision,
            wait_for_newer: reader && fresh,
        });
    }
}

/// Tells whether this instance waits on the platform for its region.
///
/// Each revision draws one failure domain of the region anew and one instance in it, so
/// that the cost of reading whole documents goes round.
fn is_reader(board: &Board, revision: u64) -> bool {
    let subject = revision.to_be_bytes();
    let domain_is_drawn = match (&board.rules, board.my_region()) {
        (Some(rules), Some(region)) => {
            let mine = member::rendezvous_weight(&board.me.domain, &subject);
            let mates = rules.domains.iter().filter(|(_, d)| d.region == *region);
            mates
                .map(|(name, _)| member::rendezvous_weight(name, &subject))
                .all(|weight| weight <= mine)
        }
        _ => true,
    };
    domain_is_drawn && member::is_responsible_for(board, &subject)
}

/// Takes a newer document from the platform.
pub(crate) fn handle_read(board: &mut Board, kind: DocumentKind, read: u64, document: Document) {
    let now = board.now();
    let revision = document.revision;
    if !end_read(board, kind, read) {
        return;
    }
    if revision < board.shelves[&kind].revision() {
        note_behind(board, kind, revision);
        return;
    }
    adopt::adopt(board, kind, document);
    if let Some(state) = board.shelves.get_mut(&kind) {
        state.confirm(now);
    }
    crate::clock::end_recovery(board);
}

/// Takes the platform's word that nothing is newer.
pub(crate) fn handle_confirmation(board: &mut Board, kind: DocumentKind, read: u64, revision: u64) {
    let now = board.now();
    if !end_read(board, kind, read) {
        return;
    }
    if revision < board.shelves[&kind].revision() {
        note_behind(board, kind, revision);
        return;
    }
    if let Some(state) = board.shelves.get_mut(&kind)
        && state.current.is_some()
    {
        state.confirm(now);
    }
    crate::clock::end_recovery(board);
}

/// Takes a failed read.
pub(crate) fn handle_read_failure(
    board: &mut Board,
    kind: DocumentKind,
    read: u64,
    fault: SmolStr,
) {
    if !end_read(board, kind, read) {
        return;
    }
    back_off(board, kind);
    if let Some(state) = board.shelves.get_mut(&kind) {
        state.read_fault = Some(fault);
    }
}

/// Ends a read; false if it was given up, as after a pause, in which its answer may have
/// grown old on the way.
fn end_read(board: &mut Board, kind: DocumentKind, read: u64) -> bool {
    let Some(state) = board.shelves.get_mut(&kind) else {
        return false;
    };
    if state.pending_read != Some(read) {
        return false;
    }
    state.read_fault = None;
    state.pending_read = None;
    true
}

/// A platform that was restored from a copy may be behind; it cannot take us back.
fn note_behind(board: &mut Board, kind: DocumentKind, revision: u64) {
    back_off(board, kind);
    if let Some(state) = board.shelves.get_mut(&kind) {
        let held = state.revision();
        let fault = format!("the platform offers revision {revision}, {held} is in force");
        state.read_fault = Some(SmolStr::from(fault));
    }
}

/// Spreads the next read over one to two times the pause between reads.
fn back_off(board: &mut Board, kind: DocumentKind) {
    let spread = 1.0 + board.rng.random::<f64>();
    let until = board.now() + board.settings.read_backoff.mul_f64(spread);
    if let Some(state) = board.shelves.get_mut(&kind) {
        state.next_read_at = until;
    }
}
