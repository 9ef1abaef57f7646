//! Measures when the events of a stream come.

use std::time::{Duration, Instant};

/// When a stream's events came.
#[derive(Debug, Default)]
pub struct Pace {
    /// Time from the request's head to the first event.
    pub first: Option<Duration>,
    newest: Option<Instant>,
    /// Longest time between two of them.
    pub longest_pause: Duration,
}

impl Pace {
    /// Notes an event of the answer to a request that began at `began`.
    pub fn note(&mut self, began: Instant) {
        let now = Instant::now();
        self.first.get_or_insert(now - began);
        if let Some(before) = self.newest.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
    }
}
