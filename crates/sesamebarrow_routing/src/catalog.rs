//! The published items, as one instance knows them: keys, values and revisions.
//!
//! A catalog is a function of the store's revision, so that of two catalogs the one
//! with the newer change is right and may replace the other whole. Instances that the
//! store turns away take it from those that it serves.

use std::collections::BTreeMap;

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
    pub changed: u64,
    /// Store revision up to which no change is missing; never below `changed`.
    pub complete: u64,
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
            }
        }
        self.changed = self.changed.max(change.revision);
        self.complete = self.complete.max(change.revision);
        true
    }

    /// Notes that no change up to `revision` is missing.
    pub fn confirm(&mut self, revision: u64) {
        self.complete = self.complete.max(revision);
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
