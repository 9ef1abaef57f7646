//! Decides when refused callers come back.
//!
//! Meant for callers that are refused by the dozen in a peak and retry once: told the same time, they meet
//! again and are refused again.

use std::collections::HashMap;
use std::time::Duration;

use crate::rendezvous;

/// Smallest time that a refusal names.
const MIN_DELAY: Duration = Duration::from_millis(200);

/// Part of the time that a caller still waits for which it follows what a refusal says.
const MAX_TIME_FRACTION: f64 = 1.0 / 3.0;

/// Part of the places that come free that refused callers are given; the rest is for new ones.
const RETURN_FRACTION: f64 = 0.5;

/// Number of places a second that are assumed to come free if none was given lately.
const MIN_RATE: f64 = 2.0;

/// Time by which a caller may be early or late to count as one that has come back as it was told.
const TOLERANCE: Duration = Duration::from_millis(700);

/// Maximum number of callers that are remembered.
const MAX_EXPECTED: usize = 4_096;

/// Part of the time until a caller's aim in which it should come back, so that it can still be served in time.
const MAX_AIM_FRACTION: f64 = 0.75;

/// A caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Rank of its request.
    pub rank: u32,
    /// What its request has in common with the one that it comes back with; 0 if nothing.
    pub request: u64,
    /// Until when it has to get a place to be served in time.
    pub aim: Duration,
    /// How long it waits for the answer.
    pub time_left: Duration,
}

/// The callers that were refused and are expected to come back.
#[derive(Clone, Debug, Default)]
pub struct Comebacks {
    /// When the last of them comes back, by rank.
    last_due: HashMap<u32, Duration>,
    /// When each comes back, and its aim, by what identifies its request. Each counts once.
    expected: HashMap<u64, (Duration, Duration)>,
}

impl Comebacks {
    /// Returns after which time a refused caller should come back, and expects it then. `place_in` is the
    /// expected time until there is capacity for its rank, and `rate` the places given per second.
    pub fn schedule(
        &mut self,
        now: Duration,
        caller: &Caller,
        place_in: Duration,
        rate: f64,
    ) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / (rate.max(MIN_RATE) * RETURN_FRACTION));
        let soonest = now + place_in.max(MIN_DELAY);
        let last = self.last_due.get(&caller.rank).copied().unwrap_or_default();
        let mut latest = caller.time_left.mul_f64(MAX_TIME_FRACTION);
        let until_aim = caller.aim.saturating_sub(now);
        if until_aim > MIN_DELAY * 2 {
            latest = latest.min(until_aim.mul_f64(MAX_AIM_FRACTION));
        }
        let latest = now + latest.max(MIN_DELAY);
        let mut due = soonest.max(last + interval);
        if due > latest {
            // No place is expected in time, so it comes back at a time that others were not told.
            // CAST: at most 1,023.
            let hash = rendezvous::weight_of_hashes(caller.request, caller.rank.into());
            let spread = (hash % 1_024) as f64 / 1_024.0;
            let range = latest.saturating_sub(soonest);
            due = soonest.min(latest) + range.mul_f64(spread);
        } else {
            self.last_due.insert(caller.rank, due);
        }
        self.expect(now, caller, due);
        due.saturating_sub(now)
    }

    fn expect(&mut self, now: Duration, caller: &Caller, due: Duration) {
        if self.expected.len() >= MAX_EXPECTED {
            self.expected.retain(|_, (due, _)| now <= *due + TOLERANCE);
        }
        if caller.request != 0 && self.expected.len() < MAX_EXPECTED {
            self.expected.insert(caller.request, (due, caller.aim));
        }
    }

    /// Returns the aim of a request's first attempt if it comes back when it was told to. It counts once.
    pub fn take(&mut self, now: Duration, request: u64) -> Option<Duration> {
        let (due, aim) = self.expected.remove(&request)?;
        let is_due = now + TOLERANCE >= due && now <= due + TOLERANCE;
        is_due.then_some(aim)
    }
}
