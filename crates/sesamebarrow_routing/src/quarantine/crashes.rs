//! The crashes that led to an order, which all instances compare with those of other orders.

use crate::quarantine::QUARANTINE_CRASHES;
use crate::rendezvous;

/// Short ids of as many crashes as lead to an order; 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes([u32; QUARANTINE_CRASHES]);

/// Returns the short id of a crash of `run`, which had crashed `earlier` times before.
pub(super) fn short_id(run: u64, earlier: u32) -> u32 {
    // CAST: the lower half of the hash.
    (rendezvous::weight_of_hashes(run, earlier.into()) as u32).max(1)
}

impl Crashes {
    /// Takes the first of `ids`.
    pub fn from_ids(ids: impl IntoIterator<Item = u32>) -> Self {
        let mut crashes = Self::default();
        for (place, id) in crashes.0.iter_mut().zip(ids) {
            *place = id;
        }
        crashes
    }

    /// Returns the ids.
    pub fn ids(&self) -> impl Iterator<Item = u32> {
        self.0.iter().copied().filter(|id| *id != 0)
    }

    /// Returns whether a crash is one of these.
    pub fn contain(&self, id: u32) -> bool {
        self.0.contains(&id)
    }
}
