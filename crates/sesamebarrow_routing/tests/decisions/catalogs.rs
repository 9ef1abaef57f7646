//! Tests that a catalog never goes back to older items, and that applying a delta yields
//! the same items.

use sesamebarrow_routing::Catalog;
use sesamebarrow_routing::catalog::{Change, Item};

fn put(key: &str, revision: u64) -> Change {
    Change {
        key: key.into(),
        item: Some(Item {
            value: key.as_bytes().to_vec(),
            revision,
        }),
        revision,
    }
}

fn delete(key: &str, revision: u64) -> Change {
    Change {
        key: key.into(),
        item: None,
        revision,
    }
}

fn catalog_of(changes: &[Change]) -> Catalog {
    let mut catalog = Catalog::default();
    for change in changes {
        catalog.apply(change);
    }
    catalog
}

/// Brings `behind` up to date with a delta from `ahead`.
fn catch_up(behind: &mut Catalog, ahead: &Catalog) {
    let delta = ahead.delta_since(behind.revision);
    for change in behind.changes_from(&delta) {
        behind.apply(&change);
    }
    behind.advance_to(delta.revision);
}

#[test]
fn older_change_of_an_item_is_ignored() {
    let mut catalog = catalog_of(&[put("a", 5)]);
    assert!(!catalog.apply(&put("a", 4)));
    assert!(!catalog.apply(&delete("a", 5)));
    assert_eq!(catalog.items["a"].revision, 5);
}

#[test]
fn delta_contains_changes_and_deletions() {
    let mut ahead = Catalog::default();
    [put("a", 1), put("b", 2)].iter().for_each(|c| {
        ahead.apply(c);
    });
    let mut behind = Catalog::default();
    catch_up(&mut behind, &ahead);
    assert_eq!(behind.items, ahead.items);
    [delete("a", 3), put("c", 4)].iter().for_each(|c| {
        ahead.apply(c);
    });
    let delta = ahead.delta_since(behind.revision);
    assert!(!delta.full);
    assert_eq!(delta.items.len(), 1);
    catch_up(&mut behind, &ahead);
    assert_eq!(behind.items, ahead.items);
    assert_eq!(behind.revision, 4);
}

#[test]
fn full_catalog_is_sent_when_deletions_are_no_longer_kept() {
    let mut ahead = catalog_of(&[put("old", 1)]);
    let mut behind = catalog_of(&[put("old", 1)]);
    for n in 0..600 {
        ahead.apply(&put("x", 2 + 2 * n));
        ahead.apply(&delete("x", 3 + 2 * n));
    }
    ahead.apply(&delete("old", 2_000));
    assert!(ahead.delta_since(behind.revision).full);
    catch_up(&mut behind, &ahead);
    assert!(behind.items.is_empty());
}

#[test]
fn full_read_keeps_items_that_changed_after_it_began() {
    let catalog = catalog_of(&[put("a", 1), put("late", 9)]);
    let read = catalog_of(&[put("b", 3)]);
    let keys: Vec<_> = catalog
        .diff(&read.items, 5)
        .into_iter()
        .map(|c| c.key)
        .collect();
    assert_eq!(keys, ["b", "a"], "`a` is deleted, `late` is kept");
}
