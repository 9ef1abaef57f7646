//! The published items, as one instance knows them: keys, values and revisions.
//!
//! A catalog is a function of the store's revision, so that of two catalogs the one
//! with the newer change is right and may replace the other whole. Instances that the
//! store turns away take it from those that it serves.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

/// An item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// Its value, as published.
    #[prost(bytes = "vec", tag = "1")]
    pub value: Vec<u8>,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: SmolStr,
    /// The new item; `None` where it was deleted.
    pub item: Option<Item>,
    /// Revision of the change.
    pub revision: u64,
}

/// All items known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Items by key.
    pub items: BTreeMap<SmolStr, Item>,
    /// Revision of the newest change applied; never falls.
    pub revision: u64,
    /// Deletions since `remembered`, oldest first.
    gone: VecDeque<(SmolStr, u64)>,
    /// Revision since which all deletions are in `gone`.
    remembered: u64,
}

/// Deletions that are remembered for others; more of them are sent as a whole catalog.
const GONE: usize = 512;

/// What another instance lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Items that changed; all of them where `whole`.
    pub items: BTreeMap<SmolStr, Item>,
    /// Keys that were deleted, with the revision.
    pub deleted: Vec<(SmolStr, u64)>,
    /// Whether what is not among `items` does not exist.
    pub full: bool,
    /// Revision to which this leads.
    pub revision: u64,
}

impl Catalog {
    /// Applies one change; tells whether it was news.
    pub fn apply(&mut self, change: &Change) -> bool {
        let known = self.items.get(&change.key).map_or(0, |i| i.revision);
        if change.revision <= known || (change.item.is_none() && known == 0) {
            return false;
        }
        match &change.item {
            Some(item) => {
                self.items.insert(change.key.clone(), item.clone());
            }
            None => {
                self.items.remove(&change.key);
                self.gone.push_back((change.key.clone(), change.revision));
                if self.gone.len() > GONE
                    && let Some((_, revision)) = self.gone.pop_front()
                {
                    self.remembered = self.remembered.max(revision);
                }
            }
        }
        self.revision = self.revision.max(change.revision);
        true
    }

    /// Notes that a full reading at `revision` was applied.
    pub fn record_full_read(&mut self, revision: u64) {
        if self.revision == 0 {
            self.remembered = revision;
        }
        self.revision = self.revision.max(revision);
    }

    /// Returns what an instance lacks whose newest change is `since`.
    pub fn delta_since(&self, since: u64) -> Delta {
        let full = since < self.remembered || since == 0;
        let items = self
            .items
            .iter()
            .filter(|(_, i)| full || i.revision > since);
        let gone = self
            .gone
            .iter()
            .filter(|(_, revision)| !full && *revision > since);
        Delta {
            items: items
                .map(|(key, item)| (key.clone(), item.clone()))
                .collect(),
            deleted: gone.cloned().collect(),
            full,
            revision: self.revision,
        }
    }

    /// Returns the changes that a delta of another instance means here.
    pub fn changes_from(&self, delta: &Delta) -> Vec<Change> {
        if delta.full {
            return self.diff(&delta.items, delta.revision);
        }
        let items = delta.items.iter().map(|(key, item)| Change {
            key: key.clone(),
            item: Some(item.clone()),
            revision: item.revision,
        });
        let gone = delta.deleted.iter().map(|(key, revision)| Change {
            key: key.clone(),
            item: None,
            revision: *revision,
        });
        let mut changes: Vec<_> = items.chain(gone).collect();
        changes.sort_by_key(|c| c.revision);
        changes
    }

    /// Returns the changes that lead to `items`, a full reading at `revision`.
    ///
    /// An item that changed after `revision` here stays as it is.
    pub fn diff(&self, items: &BTreeMap<SmolStr, Item>, revision: u64) -> Vec<Change> {
        let newer = items.iter().filter(|(key, item)| {
            let known = self.items.get(*key).map_or(0, |i| i.revision);
            item.revision > known
        });
        let mut changes: Vec<_> = newer
            .map(|(key, item)| Change {
                key: key.clone(),
                item: Some(item.clone()),
                revision: item.revision,
            })
            .collect();
        let gone = self
            .items
            .iter()
            .filter(|(key, item)| !items.contains_key(*key) && item.revision <= revision);
        changes.extend(gone.map(|(key, _)| Change {
            key: key.clone(),
            item: None,
            revision,
        }));
        changes
    }
}
