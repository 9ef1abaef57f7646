//! Orders that quarantine a suspect, and how those of several instances are merged.

use std::time::Duration;

use crate::quarantine::Suspect;
use crate::quarantine::crashes::Crashes;
use crate::rendezvous;

/// Time after an order until a request may be a trial, if the suspect is shared: sound requests have it too.
const SHARED_TRIAL_DELAY: Duration = Duration::from_secs(4);

/// The same for a suspect of one request alone, of which each trial costs an upstream if it is harmful and none but
/// its own caller waits for if it is sound.
const SINGLE_TRIAL_DELAY: Duration = Duration::from_secs(48);

/// Factor by which the delay grows after each trial.
const TRIAL_DELAY_FACTOR: u32 = 16;

/// Maximum number of times that the delay grows.
const MAX_DELAY_STEPS: u32 = 3;

/// Time for which an order is in force after its last trial, and longer than the longest delay.
const LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Time for which a revoked order is kept, so that no instance brings it back.
const REVOKED_LIFETIME: Duration = Duration::from_secs(600);

/// Time after a suspect was released in which upstreams may crash under requests that were sent before, with what
/// explains its crashes.
const EXPLAINED_TIME: Duration = Duration::from_secs(2);

/// Number of values that [`digest`] has besides 0; they fit two bytes of a datagram.
const DIGEST_VALUES: u64 = 16_383;

/// An order to refuse requests with a suspect, or its revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// What is refused.
    pub suspect: Suspect,
    /// Hash of the name of the customer whose requests are refused; `None` for all.
    pub customer: Option<u64>,
    /// Number of times that the order was given, extended or revoked. A larger one is newer.
    pub serial: u32,
    /// Whether it is in force; otherwise it was revoked.
    pub in_force: bool,
    /// Number of trials granted since it was given.
    pub trials: u32,
    /// When it was given or revoked, or the last trial was granted.
    pub since: Duration,
    /// When an upstream last crashed under a request with the suspect.
    pub last_crash_at: Duration,
    /// The crashes that led to it.
    pub crashes: Crashes,
    /// Whether the suspect was released once since other orders explain these crashes. It never is again: whatever
    /// crashes upstreams without those others is quarantined for good.
    pub was_explained: bool,
}

impl Order {
    /// Returns whether requests of a customer are refused.
    pub fn binds(&self, customer: u64) -> bool {
        self.in_force && self.customer.is_none_or(|c| c == customer)
    }

    /// Returns when the next trial may be granted.
    pub fn trial_due_at(&self) -> Duration {
        self.since + self.trial_delay()
    }

    fn trial_delay(&self) -> Duration {
        self.first_trial_delay() * TRIAL_DELAY_FACTOR.pow(self.trials.min(MAX_DELAY_STEPS))
    }

    fn first_trial_delay(&self) -> Duration {
        match self.suspect.kind.is_shared() {
            true => SHARED_TRIAL_DELAY,
            false => SINGLE_TRIAL_DELAY,
        }
    }

    /// Grants a trial.
    pub fn grant_trial(&mut self, now: Duration) {
        self.trials = self.trials.saturating_add(1);
        self.since = now;
    }

    /// Records a crash under a request with the suspect. If a trial was due, the request was one of several suspects that
    /// another judge granted. Returns whether it was.
    pub fn record_failed_trial(&mut self, crashed_at: Duration) -> bool {
        let was_due = crashed_at >= self.trial_due_at();
        if was_due {
            self.grant_trial(crashed_at);
        }
        was_due
    }

    /// Takes back the last trial, which no upstream ran. The next one is due soon. Returns whether there was one under
    /// which no upstream has crashed.
    pub fn take_back_trial(&mut self, now: Duration) -> bool {
        if !self.in_force || self.trials == 0 || self.last_crash_at > self.since {
            return false;
        }
        self.trials -= 1;
        self.serial = self.serial.saturating_add(1);
        // With few trials before, the time may lie before the start of this process.
        self.since = (now + self.first_trial_delay()).saturating_sub(self.trial_delay());
        true
    }

    /// Extends the order to all customers if it does not bind `customer`. Returns whether it did so.
    pub fn extend_to(&mut self, customer: u64) -> bool {
        if self.binds(customer) {
            return false;
        }
        self.customer = None;
        self.serial = self.serial.saturating_add(1);
        true
    }

    /// Revokes the order.
    pub fn revoke(&mut self, now: Duration) {
        self.in_force = false;
        self.serial = self.serial.saturating_add(1);
        self.since = now;
    }

    /// Returns whether its suspect was released, and a crash at `at` is none that others explain.
    pub fn is_explanation_refuted(&self, at: Duration) -> bool {
        self.was_explained && !self.in_force && at > self.since + EXPLAINED_TIME
    }

    /// Returns whether this order replaces `known`, which is of the same suspect. Of two that were changed at the
    /// same time the stricter one counts.
    pub fn replaces(&self, known: &Self) -> bool {
        let rank = |o: &Self| (o.serial, o.in_force, o.customer.is_none(), o.trials);
        rank(self) > rank(known)
    }

    /// Returns whether the order is so old that it no longer counts.
    pub fn is_expired(&self, now: Duration) -> bool {
        let lifetime = match self.in_force {
            true => LIFETIME,
            false => REVOKED_LIFETIME,
        };
        now.saturating_sub(self.since) >= lifetime
    }
}

/// Returns a digest of the given orders; 0 if there are none.
pub fn digest<'a>(orders: impl Iterator<Item = &'a Order>) -> u32 {
    let hash = |o: &Order| {
        let changes = u64::from(o.serial) << 32 | u64::from(o.trials) << 1 | u64::from(o.in_force);
        rendezvous::weight_of_hashes(o.suspect.key() ^ o.customer.unwrap_or_default(), changes)
    };
    let sum = orders.map(hash).reduce(u64::wrapping_add);
    // CAST: less than 2^14.
    sum.map_or(0, |sum| (sum % DIGEST_VALUES) as u32 + 1)
}
