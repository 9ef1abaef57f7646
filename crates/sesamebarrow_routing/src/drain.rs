//! Decides which requests a draining instance still accepts.

use std::time::Duration;

/// Times of a graceful shutdown, from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time in which clients may still be sent to the instance, so that it accepts requests.
    pub notice: Duration,
    /// Time at which running requests are aborted.
    pub limit: Duration,
}

/// Returns whether an instance that has been draining for `draining_for` accepts a request
/// that may run for `max_duration`. After the notice, it refuses those that the limit could
/// cut off.
pub fn accepts(schedule: Schedule, draining_for: Duration, max_duration: Duration) -> bool {
    draining_for < schedule.notice || draining_for + max_duration <= schedule.limit
}
