//! Decides which requests a draining instance still accepts.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

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

/// Weight of the latest stream in the average pace of its route.
const PACE_GAIN: f64 = 0.1;

/// Factor from the average duration of streams to one that few exceed.
const DURATION_MARGIN: f64 = 1.5;

/// How long complete streams took, by the name of their route.
#[derive(Clone, Debug, Default)]
pub struct StreamPaces {
    /// Milliseconds for each output token, from the receipt of the request to the end of the stream.
    ms_per_token: HashMap<SmolStr, f64>,
}

impl StreamPaces {
    /// Records that a stream of `output_tokens` was complete after `took`.
    pub fn record(&mut self, route: &SmolStr, took: Duration, output_tokens: u64) {
        // CAST: far below 2^53.
        let ms_per_token = took.as_secs_f64() * 1_000.0 / output_tokens.max(1) as f64;
        let average = self
            .ms_per_token
            .entry(route.clone())
            .or_insert(ms_per_token);
        *average += PACE_GAIN * (ms_per_token - *average);
    }

    /// Returns a duration that few streams of `output_tokens` exceed; `None` if none was complete yet.
    pub fn expected(&self, route: &str, output_tokens: u64) -> Option<Duration> {
        let ms_per_token = self.ms_per_token.get(route)?;
        // CAST: far below 2^53.
        let seconds = ms_per_token * output_tokens as f64 * DURATION_MARGIN / 1_000.0;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Returns whether an instance that has been draining for `draining_for` accepts a request
/// that may run for `max_duration`. Shortly before the end of the notice and after it, it refuses those that
/// the limit could cut off.
pub fn accepts(schedule: Schedule, draining_for: Duration, max_duration: Duration) -> bool {
    let ends_in_time = draining_for.saturating_add(max_duration) <= schedule.limit;
    ends_in_time || draining_for < schedule.notice.mul_f64(ACCEPT_FRACTION)
}
