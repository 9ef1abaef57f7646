//! What refusals for want of capacity say about an upstream.
//!
//! An upstream that refuses at once is always empty, so the load that is known of it says nothing. Its refusal does: who
//! sends it one more request now waits as at a full one. That estimate falls with each complete answer and with time,
//! and requests in progress above the number at which it refused keep it up. It adds to the estimates of all upstreams
//! alike, so that those of an overloaded service are compared as before.

use std::time::Duration;

/// Time in which an estimate that nothing confirms loses most of its value, after the first refusal. Doubles with each
/// later one that no answer precedes.
const FIRST_DECAY_TIME: Duration = Duration::from_millis(250);

/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 3;

/// Fraction of the estimate that is left after a complete answer, which frees a slot or shows a free one.
const LEFT_AFTER_ANSWER: f64 = 0.5;

/// Number of concurrent requests at which a bound ends.
const MAX_BOUND: u32 = 64;

/// Level above which an upstream counts as one that refuses.
const REFUSING_LEVEL: f64 = 0.5;

/// What the refusals of one run of an upstream say about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refusals {
    /// How full the upstream was at `updated_at`, from 0 to 1.
    level: f64,
    updated_at: Duration,
    /// Time of the refusal that last counted by itself.
    refused_at: Duration,
    /// Number of doublings of [`FIRST_DECAY_TIME`]; at most [`MAX_DOUBLINGS`].
    doublings: u32,
    /// Number of concurrent requests of this instance from which on the upstream counts as full; at least 1. `None` if
    /// it has not refused, or enough answers have followed.
    bound: Option<u32>,
    /// Tokens of the smallest request that was refused; smaller ones may find room. 0 if they are not known.
    min_tokens: u64,
}

impl Refusals {
    /// Records a refusal of a request with so many tokens, beside `in_progress` others of this instance.
    pub fn observe_refusal(&mut self, now: Duration, in_progress: u32, tokens: u64) {
        let has_refused = self.bound.is_some();
        // Refusals of requests that were sent together are one observation.
        let is_confirmed = now.saturating_sub(self.refused_at) >= self.decay_time();
        if !has_refused || is_confirmed {
            self.refused_at = now;
        }
        if has_refused && is_confirmed {
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        }
        self.min_tokens = match has_refused {
            true => self.min_tokens.min(tokens),
            false => tokens,
        };
        self.level = 1.0;
        self.updated_at = now;
        let room = in_progress.max(1);
        self.bound = Some(self.bound.map_or(room, |known| known.min(room)));
    }

    /// Records that the answer to a request with so many tokens has begun: it found room, and one more may. `in_progress`
    /// counts it.
    pub fn observe_start(&mut self, in_progress: u32, tokens: u64) {
        if tokens >= self.min_tokens
            && let Some(bound) = &mut self.bound
        {
            *bound = (*bound).max(in_progress + 1);
        }
    }

    /// Records a complete answer to a request with so many tokens. It says nothing about larger requests.
    pub fn observe_answer(&mut self, now: Duration, tokens: u64) {
        let Some(bound) = self.bound else {
            return;
        };
        if tokens < self.min_tokens {
            return;
        }
        self.level = self.level_now(now) * LEFT_AFTER_ANSWER;
        self.updated_at = now;
        self.doublings = self.doublings.saturating_sub(1);
        self.bound = (bound < MAX_BOUND).then(|| bound * 2);
        if self.bound.is_none() {
            *self = Self::default();
        }
    }

    /// Returns how full the upstream is, from 0 to 1, for one more request with so many tokens beside `in_progress` of
    /// this instance.
    pub fn level(&self, now: Duration, in_progress: u32, tokens: u64) -> f64 {
        match self.bound {
            Some(_) if tokens < self.min_tokens => 0.0,
            Some(bound) if in_progress >= bound => 1.0,
            Some(_) => self.level_now(now),
            None => 0.0,
        }
    }

    /// Returns the number of requests of this instance that the upstream may take, if it counts as one that refuses.
    pub fn refusing_bound(&self, now: Duration, in_progress: u32, tokens: u64) -> Option<u32> {
        let refuses = self.level(now, in_progress, tokens) > REFUSING_LEVEL;
        self.bound.filter(|_| refuses)
    }

    fn decay_time(&self) -> Duration {
        FIRST_DECAY_TIME * 2_u32.pow(self.doublings)
    }

    fn level_now(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.level * (-elapsed.as_secs_f64() / self.decay_time().as_secs_f64()).exp()
    }
}
