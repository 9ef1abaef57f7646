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

/// Fraction of the notice in which an instance accepts requests of any duration. Those that are received later were
/// sent by clients that could have learned of the shutdown.
const ACCEPT_FRACTION: f64 = 0.9;

/// Returns whether an instance that has been draining for `draining_for` accepts a request
/// that may run for `max_duration`. Shortly before the end of the notice and after it, it refuses those that
/// the limit could cut off.
pub fn accepts(schedule: Schedule, draining_for: Duration, max_duration: Duration) -> bool {
    let ends_in_time = draining_for.saturating_add(max_duration) <= schedule.limit;
    ends_in_time || draining_for < schedule.notice.mul_f64(ACCEPT_FRACTION)
}
