//! Detects pauses of the process.
//!
//! A process that was suspended and continues acts on outdated state: keys may have been
//! revoked, its slot given to another process, tokens that it borrowed reclaimed and lent
//! again, its requests timed out. After a pause the instance takes no new requests until
//! the rules are confirmed again. It waits for that no longer than
//! [`Settings::recovery_timeout`], because a failure domain that is cut off must go on
//! serving.
//!
//! [`Settings::recovery_timeout`]: crate::Settings::recovery_timeout

use std::time::Duration;

use sesamebarrow_wire::control::DocumentKind;

use crate::board::Board;

/// The time that the controllers use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// Time of the event being handled. Never decreases.
    pub now: Duration,
    /// Set after a pause: no new requests are taken until this time, or until the rules
    /// are confirmed before it.
    pub recovering_until: Option<Duration>,
    /// Whether an event has been handled. The gap before the first one is no pause.
    started: bool,
}

/// Advances the clock and detects a pause.
pub(crate) fn advance(board: &mut Board, now: Duration) {
    let now = now.max(board.clock.now);
    let gap = now - board.clock.now;
    let paused = board.clock.started && gap >= board.settings.pause_threshold;
    board.clock.now = now;
    board.clock.started = true;
    if paused {
        begin_recovery(board);
    }
    let over = board
        .clock
        .recovering_until
        .is_some_and(|until| now >= until);
    if over {
        board.clock.recovering_until = None;
    }
}

fn begin_recovery(board: &mut Board) {
    board.counters.pauses += 1;
    board.clock.recovering_until = Some(board.now() + board.settings.recovery_timeout);
    crate::limit::skip_pause(board);
    crate::member::close_all_links(board);
    for state in board.documents.values_mut() {
        state.abandon_read();
    }
}

/// Ends the recovery if the rules have been confirmed after the pause.
pub(crate) fn end_recovery(board: &mut Board) {
    if board.clock.recovering_until.is_none() {
        return;
    }
    // A confirmation from before the pause is older than `recovery_timeout`, which is shorter
    // than `pause_threshold`.
    let age = board.documents[&DocumentKind::Rules].age(board.now());
    if age.is_some_and(|age| age < board.settings.recovery_timeout) {
        board.clock.recovering_until = None;
    }
}
