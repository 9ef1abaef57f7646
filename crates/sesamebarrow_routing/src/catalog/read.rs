//! A read of the whole store in pages, which becomes a snapshot before it is used.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::catalog::{Change, Delta, Item};

/// The pages of one read.
///
/// The pages are not a snapshot: a change that is made after its page was read is missing, while one that is made
/// before its page is read is contained, however late it is. Until the changes since the first page are added, the
/// read therefore corresponds to no revision.
#[derive(Debug, Default)]
pub struct Pages {
    items: BTreeMap<SmolStr, Item>,
    /// Revision up to which all changes are contained; `None` before the first page.
    complete_to: Option<u64>,
    /// Revision of the newest page.
    newest: u64,
}

impl Pages {
    /// Adds the items of the next page, which was read when the store was at `revision`.
    pub fn add_page(&mut self, items: BTreeMap<SmolStr, Item>, revision: u64) {
        self.complete_to.get_or_insert(revision);
        self.newest = self.newest.max(revision);
        self.items.extend(items);
    }

    /// Returns the revision since which changes may be missing; `None` if the items are a snapshot.
    pub fn missing_since(&self) -> Option<u64> {
        self.complete_to.filter(|revision| *revision < self.newest)
    }

    /// Adds all changes since [`Self::missing_since`], up to `revision`.
    pub fn add_changes(&mut self, changes: impl IntoIterator<Item = Change>, revision: u64) {
        for change in changes {
            let known = self.items.get(&change.key);
            if known.is_some_and(|known| change.revision <= known.revision) {
                continue;
            }
            match change.item {
                Some(item) => self.items.insert(change.key, item),
                None => self.items.remove(&change.key),
            };
        }
        self.complete_to = self.complete_to.max(Some(revision));
    }

    /// Returns the items as the full catalog at their revision.
    pub fn into_delta(self) -> Delta {
        Delta {
            items: self.items,
            deleted: Vec::new(),
            full: true,
            revision: self.complete_to.unwrap_or_default(),
            gaps: Vec::new(),
        }
    }
}
