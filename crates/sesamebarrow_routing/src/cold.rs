//! Admission to cold upstreams.
//!
//! A cold upstream bears few requests a second over all instances. The instance of its
//! region with the highest rendezvous weight admits them; if some instance of the region
//! is not heard, another may do the same, so each then takes an equal part.

use std::collections::VecDeque;
use std::time::Duration;

/// The shared bound, in requests that are sent in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor on the rate that the service states.
    pub rate_factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// Window in which sends are counted; longer than the bound's second by what the way to
/// the upstream may vary.
const WINDOW: Duration = Duration::from_millis(1_200);

/// Sends to one cold upstream.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    recent: VecDeque<Duration>,
}

impl SendWindow {
    /// Tells whether one more of `most` sends in a window is allowed at `now`.
    pub fn allows(&self, now: Duration, most: usize) -> bool {
        let since = now.saturating_sub(WINDOW);
        self.recent.iter().filter(|&&at| at > since).count() < most
    }

    /// Counts a send.
    pub fn record(&mut self, now: Duration) {
        let since = now.saturating_sub(WINDOW);
        while self.recent.front().is_some_and(|&at| at <= since) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }
}

/// Returns the sends in a window that one instance may make.
///
/// `rate` is the service's; `known` counts the instances of the region that may act, and
/// `all_heard` tells whether each of them is heard from.
pub fn max_sends(bound: Bound, rate: f64, known: usize, all_heard: bool) -> usize {
    let total = rate * bound.rate_factor + bound.slack;
    // Half is left to an instance that has not yet learnt that this one owns the upstream.
    let parts = if all_heard { 2 } else { known.max(2) };
    // CAST: a small positive number, rounded down.
    (total / parts as f64).floor().max(1.0) as usize
}
