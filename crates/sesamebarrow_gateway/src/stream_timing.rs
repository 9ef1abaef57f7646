//! Measures the times at which the events of a stream are sent to the client.

use std::time::{Duration, Instant};

/// Timing of a stream's events.
#[derive(Debug, Default)]
pub struct StreamTiming {
    /// Time from receiving the request to the first event.
    pub first_event: Option<Duration>,
    last_event_at: Option<Instant>,
    /// Longest time between two consecutive events.
    pub longest_pause: Duration,
}

impl StreamTiming {
    /// Records that an event is relayed now, for a request that was received at
    /// `request_started_at`. Events that arrive together count as one.
    pub fn record_event(&mut self, request_started_at: Instant) {
        let now = Instant::now();
        self.first_event.get_or_insert(now - request_started_at);
        if let Some(before) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
    }
}
