//! Catalogs only go forward, and a delta leads to the same items.

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

fn built(changes: &[Change]) -> Catalog {
    let mut catalog = Catalog::default();
    for change in changes {
        catalog.apply(change);
    }
    catalog
}

/// Brings `behind` up to date from `ahead`.
fn bring(behind: &mut Catalog, ahead: &Catalog) {
    let delta = ahead.delta_since(behind.revision);
    for change in behind.changes_from(&delta) {
        behind.apply(&change);
    }
    behind.record_full_read(delta.revision);
}

#[test]
fn older_news_of_an_item_is_ignored() {
    let mut catalog = built(&[put("a", 5)]);
    assert!(!catalog.apply(&put("a", 4)));
    assert!(!catalog.apply(&delete("a", 5)));
    assert_eq!(catalog.items["a"].revision, 5);
}

#[test]
fn delta_brings_changes_and_deletions() {
    let mut ahead = Catalog::default();
    [put("a", 1), put("b", 2)].iter().for_each(|c| {
        ahead.apply(c);
    });
    let mut behind = Catalog::default();
    bring(&mut behind, &ahead);
    assert_eq!(behind.items, ahead.items);
    [delete("a", 3), put("c", 4)].iter().for_each(|c| {
        ahead.apply(c);
    });
    let delta = ahead.delta_since(behind.revision);
    assert!(!delta.full);
    assert_eq!(delta.items.len(), 1);
    bring(&mut behind, &ahead);
    assert_eq!(behind.items, ahead.items);
    assert_eq!(behind.revision, 4);
}

#[test]
fn one_that_lacks_forgotten_deletions_gets_the_whole_catalog() {
    let mut ahead = built(&[put("old", 1)]);
    let mut behind = built(&[put("old", 1)]);
    for n in 0..600 {
        ahead.apply(&put("x", 2 + 2 * n));
        ahead.apply(&delete("x", 3 + 2 * n));
    }
    ahead.apply(&delete("old", 2_000));
    assert!(ahead.delta_since(behind.revision).full);
    bring(&mut behind, &ahead);
    assert!(behind.items.is_empty());
}

#[test]
fn reading_keeps_what_changed_after_it_began() {
    let catalog = built(&[put("a", 1), put("late", 9)]);
    let read = built(&[put("b", 3)]);
    let keys: Vec<_> = catalog
        .diff(&read.items, 5)
        .into_iter()
        .map(|c| c.key)
        .collect();
    assert_eq!(keys, ["b", "a"], "`a` is gone, `late` stays");
}
