//! Measures when the events of a stream come.

use std::time::{Duration, Instant};

/// When a stream's events came.
#[derive(Debug, Default)]
pub struct StreamTiming {
    /// Time from the request's head to the first event.
    pub first_event: Option<Duration>,
    last_event_at: Option<Instant>,
    /// Longest time between two of them.
    pub longest_pause: Duration,
}

impl StreamTiming {
    /// Notes an event of the answer to a request that began at `began`.
    pub fn record_event(&mut self, began: Instant) {
        let now = Instant::now();
        self.first_event.get_or_insert(now - began);
        if let Some(before) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
    }
}
