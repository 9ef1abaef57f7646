//! The rules and the list, which the platform publishes: which instance reads these
//! documents, how instances pass them on, and how they come into force.
//!
//! In each region one instance keeps a long poll for new revisions open at the platform. It
//! is chosen again with every revision, which spreads the cost of reading whole documents.
//! The other instances receive changes from their neighbours, and read the platform
//! themselves only if the age of their documents reaches
//! [`Settings::max_relayed_document_age`].
//!
//! [`Settings::max_relayed_document_age`]: crate::Settings::max_relayed_document_age

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
    faulty_revisions, handle_document, handle_document_request, handle_faulty_revision,
    handle_reported_revision,
};

/// Maximum number of changes of a document kept for neighbours with an older revision.
const MAX_CHANGES: usize = 64;

/// The change from one revision of a document to a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The revision before.
    pub base_revision: u64,
    /// The revision after.
    pub revision: u64,
    /// The removed and added lines.
    pub delta: Delta,
    /// Digest of the document at the revision after.
    pub digest: [u8; 32],
}

/// State of one published document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentState {
    /// The document in force. Its revision never decreases.
    pub current: Option<Document>,
    /// The newest changes, oldest first.
    pub changes: VecDeque<Change>,
    /// When the platform was last known to have nothing newer than `current`, apart from
    /// refused revisions.
    pub confirmed_at: Option<Duration>,
    /// The newest revision that this instance refused; 0 for none.
    pub refused_revision: u64,
    /// The newest revision known to have a fault, found here or by another instance; 0 for
    /// none.
    pub faulty_revision: u64,
    /// The fault of that revision, or why a change from a neighbour could not be applied.
    pub fault: Option<SmolStr>,
    /// Why the last read of the platform failed, or that the platform offered an older
    /// revision; `None` otherwise.
    pub read_fault: Option<SmolStr>,
    /// Id of the read in progress.
    pub pending_read_id: Option<u64>,
    /// Id of the newest read.
    pub last_read_id: u64,
    /// Earliest time of the next read after a failed one.
    pub next_read_at: Duration,
    /// When the document was last requested from a neighbour that has not answered yet.
    pub requested_at: Option<Duration>,
}

impl DocumentState {
    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |d| d.revision)
    }

    /// Returns the newest revision examined, whether it was accepted or refused.
    pub fn newest_examined(&self) -> u64 {
        self.revision().max(self.refused_revision)
    }

    /// Returns the time since the platform confirmed the revision in force; `None` if it
    /// never did.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Abandons a read that was in progress before a pause, and lets the next one start at
    /// once.
    pub(crate) fn abandon_read(&mut self) {
        self.pending_read_id = None;
        self.next_read_at = Duration::ZERO;
    }

    /// Records that the platform had nothing newer than `current` at the time `at`, apart
    /// from refused revisions.
    fn confirm(&mut self, at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |c| c.max(at)));
    }
}

/// Starts the reads of the platform that this instance has to make.
pub(crate) fn start_reads(board: &mut Board) {
    for kind in [DocumentKind::Rules, DocumentKind::List] {
        let now = board.now();
        let state = &board.documents[&kind];
        if state.pending_read_id.is_some() || now < state.next_read_at {
            continue;
        }
        let stale = state
            .age(now)
            .is_none_or(|age| age >= board.settings.max_relayed_document_age);
        let is_region_reader = is_region_reader(board, state.revision());
        let recovering = board.clock.recovering_until.is_some();
        if !stale && !is_region_reader && !recovering {
            continue;
        }
        let known_revision = state.newest_examined();
        // A stale or recovering instance needs a confirmation at once, so its read must not
        // wait.
        let may_wait = state.age(now).is_some() && !stale && !recovering;
        let Some(state) = board.documents.get_mut(&kind) else {
            continue;
        };
        state.last_read_id += 1;
        state.pending_read_id = Some(state.last_read_id);
        let read_id = state.last_read_id;
        board.counters.platform_reads += 1;
        board.push_action(Action::ReadDocument {
            kind,
            read_id,
            known_revision,
            wait_for_newer: is_region_reader && may_wait,
        });
    }
}

/// Returns whether this instance is the one that keeps a long poll open at the platform for
/// its region.
///
/// Each revision selects one failure domain of the region, and one instance of that
/// domain, by rendezvous hashing. This spreads the cost of reading whole documents.
fn is_region_reader(board: &Board, revision: u64) -> bool {
    let key = revision.to_be_bytes();
    let domain_is_chosen = match (&board.rules, board.my_region()) {
        (Some(rules), Some(region)) => {
            let own_weight = member::rendezvous_weight(&board.identity.domain, &key);
            let region_domains = rules.domains.iter().filter(|(_, d)| d.region == *region);
            region_domains
                .map(|(name, _)| member::rendezvous_weight(name, &key))
                .all(|weight| weight <= own_weight)
        }
        // The region is unknown without rules that contain this domain. Only the choice
        // within the domain applies then.
        _ => true,
    };
    domain_is_chosen && member::is_responsible_for(board, &key)
}

/// Handles a document that a read of the platform returned.
pub(crate) fn handle_document_read(
    board: &mut Board,
    kind: DocumentKind,
    read_id: u64,
    document: Document,
) {
    let now = board.now();
    let revision = document.revision;
    if !end_read(board, kind, read_id) {
        return;
    }
    if revision < board.documents[&kind].revision() {
        record_older_revision(board, kind, revision);
        return;
    }
    adopt::adopt(board, kind, document);
    if let Some(state) = board.documents.get_mut(&kind) {
        state.confirm(now);
    }
    crate::clock::end_recovery(board);
}

/// Handles the platform's answer that it has nothing newer.
pub(crate) fn handle_unchanged(board: &mut Board, kind: DocumentKind, read_id: u64, revision: u64) {
    let now = board.now();
    if !end_read(board, kind, read_id) {
        return;
    }
    if revision < board.documents[&kind].revision() {
        record_older_revision(board, kind, revision);
        return;
    }
    if let Some(state) = board.documents.get_mut(&kind)
        && state.current.is_some()
    {
        state.confirm(now);
    }
    crate::clock::end_recovery(board);
}

/// Handles a failed read.
pub(crate) fn handle_read_failure(
    board: &mut Board,
    kind: DocumentKind,
    read_id: u64,
    fault: SmolStr,
) {
    if !end_read(board, kind, read_id) {
        return;
    }
    back_off(board, kind);
    if let Some(state) = board.documents.get_mut(&kind) {
        state.read_fault = Some(fault);
    }
}

/// Ends a read. Returns false if the read was abandoned, as it is after a pause, because
/// its answer may be outdated.
fn end_read(board: &mut Board, kind: DocumentKind, read_id: u64) -> bool {
    let Some(state) = board.documents.get_mut(&kind) else {
        return false;
    };
    if state.pending_read_id != Some(read_id) {
        return false;
    }
    state.read_fault = None;
    state.pending_read_id = None;
    true
}

/// Records that the platform offers a revision older than the one in force. The one in
/// force is kept.
///
/// This happens when the platform was restored from a backup.
fn record_older_revision(board: &mut Board, kind: DocumentKind, revision: u64) {
    back_off(board, kind);
    if let Some(state) = board.documents.get_mut(&kind) {
        let held = state.revision();
        let fault = format!(
            "the platform offers revision {revision}, but the newer revision {held} stays in force"
        );
        state.read_fault = Some(SmolStr::from(fault));
    }
}

/// Delays the next read by a random time of one to two times the back-off.
fn back_off(board: &mut Board, kind: DocumentKind) {
    let spread = 1.0 + board.rng.random::<f64>();
    let until = board.now() + board.settings.read_backoff.mul_f64(spread);
    if let Some(state) = board.documents.get_mut(&kind) {
        state.next_read_at = until;
    }
}
