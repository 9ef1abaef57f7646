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

/// Weight of the latest stream in the averages of its route.
const DURATION_GAIN: f64 = 0.1;

/// Number of mean deviations above the average that few streams exceed.
const DEVIATIONS: f64 = 3.0;

/// Milliseconds for each output token, from the receipt of a request to the end of its stream.
#[derive(Clone, Copy, Debug)]
struct TokenTime {
    average: f64,
    /// Average distance from the average.
    deviation: f64,
}

/// How long complete streams took, by the name of their route.
#[derive(Clone, Debug, Default)]
pub struct StreamDurations(HashMap<SmolStr, TokenTime>);

impl StreamDurations {
    /// Records that a stream of `output_tokens` was complete after `took`.
    pub fn record(&mut self, route: &SmolStr, took: Duration, output_tokens: u64) {
        // CAST: far below 2^53.
        let ms = took.as_secs_f64() * 1_000.0 / output_tokens.max(1) as f64;
        let time = self.0.entry(route.clone()).or_insert(TokenTime {
            average: ms,
            deviation: ms / 2.0,
        });
        let distance = ms - time.average;
        time.average += DURATION_GAIN * distance;
        time.deviation += DURATION_GAIN * (distance.abs() - time.deviation);
    }

    /// Returns a duration that few streams of `output_tokens` exceed; `None` if none was complete yet.
    pub fn expected(&self, route: &str, output_tokens: u64) -> Option<Duration> {
        let time = self.0.get(route)?;
        // CAST: far below 2^53.
        let ms = (time.average + DEVIATIONS * time.deviation) * output_tokens as f64;
        Duration::try_from_secs_f64(ms / 1_000.0).ok()
    }

    /// Forgets the routes of which `is_in_force` is false.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.0.retain(|route, _| is_in_force(route));
    }
}

/// Returns whether an instance that has been draining for `draining_for` accepts a request
/// that may run for `max_duration`. Shortly before the end of the notice and after it, it refuses those that
/// the limit could cut off.
pub fn accepts(schedule: Schedule, draining_for: Duration, max_duration: Duration) -> bool {
    let ends_in_time = draining_for.saturating_add(max_duration) <= schedule.limit;
    ends_in_time || draining_for < schedule.notice.mul_f64(ACCEPT_FRACTION)
}
