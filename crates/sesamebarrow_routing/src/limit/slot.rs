//! Slots: the permits of a limit while a part of the region's instances does not hear the others.
//!
//! Slots are numbered on the clock that all instances share, and each instance of the region owns every n-th one.
//! Whoever grants for some of the instances grants their slots only, so what all sides grant together does not
//! depend on how many sides there are, or on when they begin.

use std::time::Duration;

/// Time for which a slot may be granted after it is due, beside the time between two slots.
const GRANT_TIME: Duration = Duration::from_millis(200);

/// The slots of a limit that one instance grants.
#[derive(Clone, Debug)]
pub struct Slots {
    /// Whether it grants them, one after the other until they repeat. At least one is true.
    granted: Vec<bool>,
    /// Slots per second, those of others included. Positive.
    rate: f64,
}

impl Slots {
    /// Returns the slots of a region's instances at `rate` a second. Each instance has a weight that does not depend
    /// on who asks, and whether its slots are granted here, which must be so for one at least.
    pub fn new(instances: impl IntoIterator<Item = (u64, bool)>, rate: f64) -> Self {
        let mut instances: Vec<_> = instances.into_iter().collect();
        instances.sort_unstable();
        Self {
            granted: instances.into_iter().map(|(_, granted)| granted).collect(),
            rate,
        }
    }

    /// Returns when the first slot after `at` that is granted here is due; both are times since 1970.
    pub fn next_after(&self, at: Duration) -> Duration {
        // CAST: saturates at the times and rates that a peer may state.
        let first = (at.as_secs_f64() * self.rate) as u64;
        let cycle = self.granted.len() as u64;
        let is_granted = |number: &u64| self.granted[(number % cycle) as usize];
        let due_at = |number: u64| {
            let seconds = number as f64 / self.rate;
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        };
        let numbers = (first..=first.saturating_add(cycle + 1)).filter(is_granted);
        let mut due = numbers.map(due_at);
        due.find(|due| *due > at).unwrap_or(Duration::MAX)
    }

    /// Returns for how long a slot may be granted after it is due.
    pub fn lifetime(&self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.rate).unwrap_or(Duration::MAX);
        GRANT_TIME.saturating_add(interval)
    }
}
