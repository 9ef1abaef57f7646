//! The items published in the store, as one instance knows them: keys, values and
//! revisions.
//!
//! The contents of a catalog depend only on the store's position: it contains all changes up to it and none
//! after it. Of two catalogs the one with the later position is therefore correct and may replace the other.
//! Instances that get no answer from the store copy the catalog from instances that do.
//!
//! A store that is restored from an older copy begins a new *era*, in which it gives out revisions
//! again. A [`Position`] is the pair of era and revision. Fields named `revision` hold one, packed,
//! so that instances of earlier versions, which know no eras, compare them alike.

pub mod read;

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

/// Number of bits of a packed position that hold the revision.
const REVISION_BITS: u32 = 48;

/// A position in the store: an era and a revision in it. A later era follows all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Number of times that the store was restored from an older copy; 0 if it does not say.
    pub era: u16,
    /// Revision, below 2^48.
    pub revision: u64,
}

impl Position {
    /// Returns the position as one number with the same order.
    pub fn pack(self) -> u64 {
        u64::from(self.era) << REVISION_BITS | self.revision.min((1 << REVISION_BITS) - 1)
    }

    /// Returns the position that `packed` stands for.
    pub fn unpack(packed: u64) -> Self {
        Self {
            // CAST: the remaining 16 bits.
            era: (packed >> REVISION_BITS) as u16,
            revision: packed & ((1 << REVISION_BITS) - 1),
        }
    }
}

/// A published item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// The value, as published.
    #[prost(bytes = "vec", tag = "1")]
    pub value: Vec<u8>,
    /// Revision of the last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A change to one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the item.
    pub key: SmolStr,
    /// The new item, or `None` if it was deleted.
    pub item: Option<Item>,
    /// Revision of the change.
    pub revision: u64,
}

/// All known items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Items by key.
    pub items: BTreeMap<SmolStr, Item>,
    /// Revision of the newest applied change; never decreases. All earlier changes were applied too.
    pub revision: u64,
    /// Deletions after `deletions_since`, oldest first.
    deletions: VecDeque<(SmolStr, u64)>,
    /// Revision after which all deletions are in `deletions`, except for `gaps`.
    deletions_since: u64,
    /// Ranges of which not every deletion is in `deletions`, oldest first; at most [`MAX_GAPS`].
    gaps: VecDeque<Gap>,
}

/// Revisions that a full read skipped. Items that were created and deleted between the two are in no deletion, so
/// that an instance whose revision lies between them needs the full catalog.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Gap {
    /// Revision before the read.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Revision of the read.
    #[prost(uint64, tag = "2")]
    pub until: u64,
}

impl Gap {
    fn contains(&self, revision: u64) -> bool {
        self.after < revision && revision < self.until
    }
}

/// Maximum number of deletions that are kept for other instances. An instance that lacks
/// older ones receives the full catalog.
const MAX_DELETIONS: usize = 512;

/// Maximum number of gaps that are kept.
const MAX_GAPS: usize = 32;

/// The changes that another instance has not received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Changed items, or all items if `full` is set.
    pub items: BTreeMap<SmolStr, Item>,
    /// Deleted keys, with the revision of the deletion.
    pub deleted: Vec<(SmolStr, u64)>,
    /// Whether `items` holds the full catalog, so that all other items have been deleted.
    pub full: bool,
    /// Revision that the receiver reaches by applying this delta.
    pub revision: u64,
    /// Ranges of which `deleted` does not hold every deletion.
    pub gaps: Vec<Gap>,
}

impl Catalog {
    /// Applies a change that follows all changes applied before. Returns false if it is not newer than what is known,
    /// also of a deletion, or if it deletes an unknown item. Such a deletion is recorded: other instances may know
    /// the item.
    pub fn apply(&mut self, change: &Change) -> bool {
        let item_revision = self.items.get(&change.key).map(|i| i.revision);
        let known_revision = item_revision.or_else(|| self.deletion_revision(&change.key));
        if known_revision.is_some_and(|known| change.revision <= known) {
            return false;
        }
        match &change.item {
            Some(item) => {
                self.items.insert(change.key.clone(), item.clone());
            }
            None => {
                self.items.remove(&change.key);
                self.deletions
                    .push_back((change.key.clone(), change.revision));
                if self.deletions.len() > MAX_DELETIONS
                    && let Some((_, revision)) = self.deletions.pop_front()
                {
                    self.deletions_since = self.deletions_since.max(revision);
                }
            }
        }
        self.revision = self.revision.max(change.revision);
        change.item.is_some() || item_revision.is_some()
    }

    /// Returns the revision at which an item was last deleted, as far as that is known.
    fn deletion_revision(&self, key: &str) -> Option<u64> {
        let mut deletions = self.deletions.iter().rev();
        deletions
            .find(|(k, _)| k == key)
            .map(|(_, revision)| *revision)
    }

    /// Returns the era of the store.
    pub fn era(&self) -> u16 {
        Position::unpack(self.revision).era
    }

    /// Records that all changes up to `revision` were applied. If it is of a later era than the
    /// deletions, the changes were those of a full read.
    pub fn advance_to(&mut self, revision: u64) {
        let era = |packed| Position::unpack(packed).era;
        if self.revision == 0 || era(revision) > era(self.deletions_since) {
            self.deletions.clear();
            self.deletions_since = revision;
            self.gaps.clear();
        }
        self.revision = self.revision.max(revision);
    }

    /// Records that all changes of `delta` were applied to this catalog, which was at revision `since`.
    pub fn advance_by(&mut self, delta: &Delta, since: u64) {
        self.advance_to(delta.revision);
        let read = delta.full.then_some(Gap {
            after: since,
            until: delta.revision,
        });
        let gaps = delta.gaps.iter().copied().chain(read);
        let new = gaps.filter(|gap| {
            gap.until > gap.after && gap.until > self.deletions_since && !self.gaps.contains(gap)
        });
        self.gaps.extend(new.collect::<Vec<_>>());
        while self.gaps.len() > MAX_GAPS
            && let Some(oldest) = self.gaps.pop_front()
        {
            self.deletions_since = self.deletions_since.max(oldest.until);
        }
    }

    /// Returns the changes that an instance with revision `since` has not received.
    pub fn delta_since(&self, since: u64) -> Delta {
        let full = since < self.deletions_since
            || since == 0
            || self.gaps.iter().any(|gap| gap.contains(since));
        let items = self
            .items
            .iter()
            .filter(|(_, i)| full || i.revision > since);
        let deletions = self
            .deletions
            .iter()
            .filter(|(_, revision)| !full && *revision > since);
        Delta {
            items: items
                .map(|(key, item)| (key.clone(), item.clone()))
                .collect(),
            deleted: deletions.cloned().collect(),
            full,
            revision: self.revision,
            gaps: self
                .gaps
                .iter()
                .copied()
                .filter(|gap| gap.until > since)
                .collect(),
        }
    }

    /// Returns the changes that a delta from another instance makes to this catalog.
    pub fn changes_from(&self, delta: &Delta) -> Vec<Change> {
        if delta.full {
            return self.diff(&delta.items, delta.revision);
        }
        let items = delta.items.iter().map(|(key, item)| Change {
            key: key.clone(),
            item: Some(item.clone()),
            revision: item.revision,
        });
        let deletions = delta.deleted.iter().map(|(key, revision)| Change {
            key: key.clone(),
            item: None,
            revision: *revision,
        });
        let mut changes: Vec<_> = items.chain(deletions).collect();
        changes.sort_by_key(|c| c.revision);
        changes
    }

    /// Returns the changes that lead to `items`, a full read of the store at `revision`.
    ///
    /// Items in this catalog that changed after `revision` are left as they are, and so are items that it no longer
    /// has because it is at a later revision.
    pub fn diff(&self, items: &BTreeMap<SmolStr, Item>, revision: u64) -> Vec<Change> {
        // A catalog at an earlier revision lacks the items that are new since then, one at a later revision those
        // that were deleted since then.
        let absent_since = if self.revision > revision {
            self.revision
        } else {
            0
        };
        let newer = items.iter().filter(|(key, item)| {
            let known_revision = self.items.get(*key).map_or(absent_since, |i| i.revision);
            item.revision > known_revision
        });
        let mut changes: Vec<_> = newer
            .map(|(key, item)| Change {
                key: key.clone(),
                item: Some(item.clone()),
                revision: item.revision,
            })
            .collect();
        let deletions = self
            .items
            .iter()
            .filter(|(key, item)| !items.contains_key(*key) && item.revision <= revision);
        changes.extend(deletions.map(|(key, _)| Change {
            key: key.clone(),
            item: None,
            revision,
        }));
        changes
    }
}
