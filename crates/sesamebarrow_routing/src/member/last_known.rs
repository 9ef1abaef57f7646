//! When an instance was last known to run.

use std::time::Duration;

/// The latest time at which an instance is known to have run. News take time to arrive and are passed on, so it is
/// never later than the time at which they were true. It may lie before the start of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastKnown {
    received_at: Duration,
    /// How old the news were when they were received.
    age: Duration,
}

impl LastKnown {
    /// Returns the time of news that were received at `now` and were `age` old.
    pub fn new(now: Duration, age: Duration) -> Self {
        Self {
            received_at: now,
            age,
        }
    }

    /// Returns the time that has passed since.
    pub fn silence(self, now: Duration) -> Duration {
        let since_received = now.saturating_sub(self.received_at);
        since_received.saturating_add(self.age)
    }

    /// Applies news that were received at `now` and were `age` old, unless newer ones are known.
    pub fn update(&mut self, now: Duration, age: Duration) {
        if age < self.silence(now) {
            *self = Self::new(now, age);
        }
    }
}
