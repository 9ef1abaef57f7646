//! The bucket of a limit: permits that become available at the limit's rate.

use std::time::Duration;

/// Permits that may accumulate at any rate.
const MIN_CAPACITY: f64 = 2.0;

/// Time over which further permits may accumulate.
const CAPACITY_TIME: Duration = Duration::from_millis(250);

/// Maximum time until a permit that a refusal may state.
pub const MAX_DUE: Duration = Duration::from_secs(30);

/// Time for which a refused request that is more urgent goes before others.
const PRECEDENCE_TIME: Duration = Duration::from_secs(2);

/// Time without requests after which an instance that is not the owner grants nothing more.
const UNUSED_TIME: Duration = Duration::from_secs(2);

/// One of so many permits goes to whoever asks first, so that requests that are never the most urgent ones
/// are served as well.
const GRANTS_PER_UNORDERED: u32 = 4;

/// Permits for requests to one upstream.
#[derive(Clone, Debug)]
pub struct Bucket {
    permits: f64,
    refilled_at: Duration,
    /// Time at which the permit for the refused request that was last told of one becomes available.
    promised_until: Duration,
    /// The most urgent request that was refused, and until when it goes before others.
    precedence: Option<(u8, Duration)>,
    grants: u32,
}

impl Bucket {
    /// Returns a bucket without permits.
    pub fn empty(now: Duration) -> Self {
        Self {
            permits: 0.0,
            refilled_at: now,
            promised_until: Duration::ZERO,
            precedence: None,
            grants: 0,
        }
    }

    /// Returns whether nothing was asked for lately.
    pub fn is_unused(&self, now: Duration) -> bool {
        now.saturating_sub(self.refilled_at) > UNUSED_TIME
    }

    /// Returns the number of permits available when it was last used.
    pub fn permits(&self) -> f64 {
        self.permits
    }

    /// Adds the permits of the time since the last call, at `rate` permits per second.
    fn refill(&mut self, now: Duration, rate: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = MIN_CAPACITY + rate * CAPACITY_TIME.as_secs_f64();
        self.permits = (self.permits + elapsed * rate).min(capacity);
    }

    /// Takes a permit for a request; 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit is due for this request, if there is none for it now.
    pub fn take(&mut self, now: Duration, rate: f64, urgency: u8) -> Result<(), Duration> {
        self.refill(now, rate);
        self.precedence = self.precedence.filter(|(_, until)| now < *until);
        let is_ordered = !(self.grants + 1).is_multiple_of(GRANTS_PER_UNORDERED);
        let gives_way = is_ordered && self.precedence.is_some_and(|(first, _)| first < urgency);
        if self.permits >= 1.0 && !gives_way {
            self.permits -= 1.0;
            self.grants = self.grants.wrapping_add(1);
            if self.precedence.is_some_and(|(first, _)| urgency <= first) {
                self.precedence = None;
            }
            return Ok(());
        }
        let first = self.precedence.map_or(urgency, |(u, _)| u.min(urgency));
        if first == urgency {
            self.precedence = Some((first, now + PRECEDENCE_TIME));
        }
        Err(self.promise(now, rate))
    }

    /// Returns the time until the next permit that was not promised to an earlier request.
    fn promise(&mut self, now: Duration, rate: f64) -> Duration {
        // Fails if the rate is 0.
        let seconds = |s: f64| {
            Duration::try_from_secs_f64(s)
                .unwrap_or(MAX_DUE)
                .min(MAX_DUE)
        };
        let next = now + seconds((1.0 - self.permits).max(0.0) / rate);
        let after_promised = self.promised_until + seconds(1.0 / rate);
        self.promised_until = next.max(after_promised).min(now + MAX_DUE);
        self.promised_until - now
    }
}
