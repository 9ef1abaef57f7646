//! Limits requests to cold upstreams.
//!
//! A cold upstream can serve only a few requests per second from all instances together.
//! The instance of its region with the highest rendezvous weight owns the upstream, and
//! only the owner sends it requests. While some instances of the region are not heard from,
//! several may consider themselves the owner; each then uses a part of the limit, which is none if
//! more are not heard from than the limit has requests.

use std::collections::VecDeque;
use std::time::Duration;

/// The limit that all instances share, in requests sent in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Factor on the request rate that the service states for cold upstreams.
    pub rate_factor: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

/// Window in which sends are counted. It is longer than the one second of the limit, to
/// allow for variation in the delay to the upstream.
const WINDOW: Duration = Duration::from_millis(1_200);

/// Recent sends to one cold upstream.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    recent: VecDeque<Duration>,
}

impl SendWindow {
    /// Returns whether a send at `now` stays within `max_sends` per window.
    pub fn allows(&self, now: Duration, max_sends: usize) -> bool {
        let since = now.saturating_sub(WINDOW);
        self.recent.iter().filter(|&&at| at > since).count() < max_sends
    }

    /// Records a send.
    pub fn record(&mut self, now: Duration) {
        let since = now.saturating_sub(WINDOW);
        while self.recent.front().is_some_and(|&at| at <= since) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }
}

/// Returns how many requests the owner of an upstream may send in a window.
///
/// `rate` is the rate that the service states, and `unreached` the number of instances of the
/// region that are not heard from. Each of them may consider itself the owner too; one more part is
/// left to an instance that does not know yet that this one is.
pub fn max_sends(limit: Limit, rate: f64, unreached: usize) -> usize {
    let total_sends = rate * limit.rate_factor + limit.slack;
    // CAST: a small number that is not negative, rounded down.
    (total_sends / (2 + unreached) as f64).floor().max(0.0) as usize
}
