//! Notices pauses of the process.
//!
//! A process that was stopped and wakes acts on what it last knew: keys may have been
//! withdrawn, its tokens lent on, its requests timed out. After a gap the instance
//! takes no new work until it has heard the state of the rules again, or until the
//! wait for that is over, since a failure domain cut off must go on serving.

use std::time::Duration;

use sesamebarrow_wire::control::DocumentKind;

use crate::board::Board;

/// Time as the controllers know it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// Time of the event in hand. It never goes back.
    pub now: Duration,
    /// While set, the process has woken from a pause and takes no work until then.
    pub waking: Option<Duration>,
    started: bool,
}

/// Moves the clock on and notices a pause.
pub(crate) fn advance(board: &mut Board, now: Duration) {
    let now = now.max(board.clock.now);
    let gap = now - board.clock.now;
    let paused = board.clock.started && gap >= board.settings.pause;
    board.clock.now = now;
    board.clock.started = true;
    if paused {
        begin_waking(board);
    }
    let over = board.clock.waking.is_some_and(|until| now >= until);
    if over {
        board.clock.waking = None;
    }
}

fn begin_waking(board: &mut Board) {
    board.counters.pauses += 1;
    board.clock.waking = Some(board.now() + board.settings.wake);
    crate::limit::forget_pause(board);
    crate::member::drop_all_links(board);
    for shelf in board.shelves.values_mut() {
        shelf.forget_read();
    }
}

/// Ends the waking once the rules were confirmed after the pause.
pub(crate) fn end_waking(board: &mut Board) {
    if board.clock.waking.is_none() {
        return;
    }
    let age = board.shelves[&DocumentKind::Rules].age(board.now());
    if age.is_some_and(|age| age < board.settings.wake) {
        board.clock.waking = None;
    }
}
