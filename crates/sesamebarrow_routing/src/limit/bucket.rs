//! The bucket of a limit: permits that become available at the limit's rate, or in slots.

use std::time::Duration;

use crate::limit::slot::Slots;

/// Permits that may accumulate at any rate.
const MIN_CAPACITY: f64 = 2.0;

/// As [`MIN_CAPACITY`], at each of several deputies.
const DEPUTY_MIN_CAPACITY: f64 = 1.0;

/// Time over which further permits may accumulate.
const CAPACITY_TIME: Duration = Duration::from_millis(250);

/// Maximum time until a permit that a refusal may state.
pub const MAX_DUE: Duration = Duration::from_secs(30);

/// Maximum time until a slot of which only one refused request is told.
const MAX_PROMISED_SLOT: Duration = Duration::from_secs(2);

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
    /// Slots that are due until this time since 1970 were granted or belong to others; `None` while permits become
    /// available at a rate.
    slots_until: Option<Duration>,
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
            slots_until: None,
            promised_until: Duration::ZERO,
            precedence: None,
            grants: 0,
        }
    }

    /// Removes all permits. Some were asked for, and none may be granted.
    pub fn clear(&mut self, now: Duration) {
        *self = Self::empty(now);
    }

    /// Returns whether nothing was asked for lately.
    pub fn is_unused(&self, now: Duration) -> bool {
        now.saturating_sub(self.refilled_at) > UNUSED_TIME
    }

    /// Returns the number of permits available when it was last used.
    pub fn permits(&self) -> f64 {
        self.permits
    }

    /// Adds the permits of the time since the last call, at `rate` permits per second. What was granted in slots
    /// until then leaves none.
    fn refill(&mut self, now: Duration, rate: f64, min_capacity: f64) {
        if self.slots_until.take().is_some() {
            self.refilled_at = now;
            self.promised_until = now;
        }
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = min_capacity + rate * CAPACITY_TIME.as_secs_f64();
        self.permits = (self.permits + elapsed * rate).min(capacity);
    }

    /// Takes a permit for a request; 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit is due for this request, if there is none for it now.
    pub fn take(&mut self, now: Duration, rate: f64, urgency: u8) -> Result<(), Duration> {
        self.take_up_to(now, rate, MIN_CAPACITY, urgency)
    }

    /// As [`Self::take`], from the bucket of a deputy.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit is due for this request, if there is none for it now.
    pub fn take_as_deputy(
        &mut self,
        now: Duration,
        rate: f64,
        urgency: u8,
    ) -> Result<(), Duration> {
        self.take_up_to(now, rate, DEPUTY_MIN_CAPACITY, urgency)
    }

    fn take_up_to(
        &mut self,
        now: Duration,
        rate: f64,
        min_capacity: f64,
        urgency: u8,
    ) -> Result<(), Duration> {
        self.refill(now, rate, min_capacity);
        if self.permits >= 1.0 && self.may_grant(now, urgency) {
            self.permits -= 1.0;
            self.record_granted(urgency);
            return Ok(());
        }
        self.record_refused(now, urgency);
        Err(self.promise(now, rate))
    }

    /// As [`Self::take`], but in slots. `clock` is `now` as time since 1970.
    ///
    /// # Errors
    ///
    /// Returns the time until a slot is due for this request, if there is none for it now.
    pub fn take_slot(
        &mut self,
        now: Duration,
        clock: Duration,
        slots: &Slots,
        urgency: u8,
    ) -> Result<(), Duration> {
        self.refilled_at = now;
        let until = match self.slots_until {
            Some(until) => until,
            None => {
                self.permits = 0.0;
                self.promised_until = now;
                clock
            }
        };
        self.slots_until = Some(until);
        let due_at = slots.next_after(until.max(clock.saturating_sub(slots.lifetime())));
        if due_at <= clock && self.may_grant(now, urgency) {
            self.slots_until = Some(due_at);
            self.record_granted(urgency);
            return Ok(());
        }
        self.record_refused(now, urgency);
        Err(self.promise_slot(now, clock, slots))
    }

    /// Returns whether a permit may go to a request, and not to a more urgent one that was refused.
    fn may_grant(&mut self, now: Duration, urgency: u8) -> bool {
        self.precedence = self.precedence.filter(|(_, until)| now < *until);
        let is_ordered = !(self.grants + 1).is_multiple_of(GRANTS_PER_UNORDERED);
        !is_ordered || self.precedence.is_none_or(|(first, _)| first >= urgency)
    }

    fn record_granted(&mut self, urgency: u8) {
        self.grants = self.grants.wrapping_add(1);
        if self.precedence.is_some_and(|(first, _)| urgency <= first) {
            self.precedence = None;
        }
    }

    fn record_refused(&mut self, now: Duration, urgency: u8) {
        self.precedence = self.precedence.filter(|(_, until)| now < *until);
        let first = self.precedence.map_or(urgency, |(u, _)| u.min(urgency));
        if first == urgency {
            self.precedence = Some((first, now + PRECEDENCE_TIME));
        }
    }

    /// Returns the time until the next slot that was not promised to an earlier request. All are told of the next
    /// one while slots are rare, since it lapses if it is not taken.
    fn promise_slot(&mut self, now: Duration, clock: Duration, slots: &Slots) -> Duration {
        let due_in = |at: Duration| slots.next_after(at).saturating_sub(clock);
        let promised = due_in(clock + self.promised_until.saturating_sub(now));
        let due_in = match promised <= MAX_PROMISED_SLOT {
            true => promised,
            false => due_in(clock).min(MAX_DUE),
        };
        self.promised_until = now + due_in;
        due_in
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
