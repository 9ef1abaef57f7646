//! Suspects that were blamed for one crash only, together with many others.

use std::collections::HashMap;
use std::time::Duration;

use crate::quarantine::{Blame, Suspect};

/// Maximum number of suspects; those of more crashes than the bound of the users' pages allows, under prompts as
/// long as the head of a request may be.
const MAX_SUSPECTS: usize = 32_768;

/// The first blame of suspects. Most of them are made up for one request and never come again.
#[derive(Clone, Debug, Default)]
pub(super) struct Once {
    /// At most [`MAX_SUSPECTS`].
    first: HashMap<Suspect, (Duration, Blame)>,
}

impl Once {
    /// Returns whether a suspect was blamed.
    pub(super) fn contains(&self, suspect: Suspect) -> bool {
        self.first.contains_key(&suspect)
    }

    /// Returns whether the suspect of `blame` was blamed for another crash before.
    pub(super) fn is_of_another_crash(&self, blame: &Blame) -> bool {
        let first = self.first.get(&blame.suspect);
        first.is_some_and(|(_, first)| !first.is_of_same_crash(blame))
    }

    /// Records the first blame of a suspect. Returns whether there was none.
    pub(super) fn insert(&mut self, at: Duration, blame: Blame) -> bool {
        if self.first.contains_key(&blame.suspect) {
            return false;
        }
        if self.first.len() >= MAX_SUSPECTS {
            self.drop_older_half();
        }
        self.first.insert(blame.suspect, (at, blame));
        true
    }

    /// Removes a suspect, and returns its blame.
    pub(super) fn remove(&mut self, suspect: Suspect) -> Option<(Duration, Blame)> {
        self.first.remove(&suspect)
    }

    /// Removes blame that arose before `time`.
    pub(super) fn remove_before(&mut self, time: Duration) {
        self.first.retain(|_, (at, _)| *at > time);
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Duration> = self.first.values().map(|(at, _)| *at).collect();
        let (_, median, _) = times.select_nth_unstable(MAX_SUSPECTS / 2);
        let median = *median;
        self.remove_before(median);
    }
}
