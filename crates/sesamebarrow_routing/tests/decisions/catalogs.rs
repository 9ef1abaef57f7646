//! Tests that a catalog never goes back to older items, and that applying a delta yields
//! the same items.

use std::time::Duration;

use sesamebarrow_routing::catalog::read::Pages;
use sesamebarrow_routing::catalog::{Change, Item, Position};
use sesamebarrow_routing::upstream::Entry;
use sesamebarrow_routing::{Catalog, admit};

use crate::fleet::{Fleet, config, entry, ms, route};

/// Returns a revision of a later era.
fn at(era: u16, revision: u64) -> u64 {
    Position { era, revision }.pack()
}

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
    let (delta, since) = (ahead.delta_since(behind.revision), behind.revision);
    for change in behind.changes_from(&delta) {
        behind.apply(&change);
    }
    behind.advance_by(&delta, since);
}

/// Applies a read of the store, which has `items` at `revision`.
fn read_store(catalog: &mut Catalog, items: &[Change], revision: u64) {
    let mut pages = Pages::default();
    pages.add_page(catalog_of(items).items, revision);
    let (delta, since) = (pages.into_delta(), catalog.revision);
    for change in catalog.changes_from(&delta) {
        catalog.apply(&change);
    }
    catalog.advance_by(&delta, since);
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
fn full_read_replaces_a_catalog_of_an_earlier_revision() {
    let catalog = catalog_of(&[put("a", 1)]);
    let read = catalog_of(&[put("b", 3)]);
    let changes = catalog.diff(&read.items, 5);
    assert_eq!(changes, [put("b", 3), delete("a", 5)]);
}

#[test]
fn full_read_keeps_items_that_changed_after_it_began() {
    let catalog = catalog_of(&[put("a", 1), put("b", 3), put("late", 9)]);
    let read = catalog_of(&[put("b", 3)]);
    let changes = catalog.diff(&read.items, 5);
    assert_eq!(changes, [delete("a", 5)], "`late` is kept");
}

/// Returns the catalog of a store after it was restored to `items` at `revision`.
fn restored(catalog: &Catalog, items: &[(&str, u64)], revision: u64) -> Catalog {
    let mut catalog = catalog.clone();
    let changes = items.iter().map(|(key, revision)| put(key, *revision));
    let read = catalog_of(&changes.collect::<Vec<_>>());
    for change in catalog.diff(&read.items, revision) {
        catalog.apply(&change);
    }
    catalog.advance_to(revision);
    catalog
}

#[test]
fn positions_are_ordered_by_era_first() {
    let positions = [(0, 0), (0, 9), (1, 0), (1, 3), (2, 1)].map(|(era, n)| at(era, n));
    assert!(positions.is_sorted(), "{positions:?}");
    assert_eq!(at(0, 77), 77, "without eras nothing changes");
    let position = Position {
        era: 3,
        revision: 12,
    };
    assert_eq!(Position::unpack(position.pack()), position);
}

#[test]
fn revision_given_out_twice_does_not_pass_for_the_first() {
    let before = catalog_of(&[put("a", 5), put("b", 9)]);
    let mut catalog = restored(&before, &[("a", at(1, 4))], at(1, 6));
    assert_eq!(catalog.items["a"].revision, at(1, 4));
    assert!(!catalog.items.contains_key("b"), "the copy lacks it");
    assert!(!catalog.apply(&put("a", 8)), "a change of the last era");
    assert!(catalog.apply(&put("b", at(1, 9))), "written again");
}

#[test]
fn instance_that_was_cut_off_through_two_restorations_catches_up() {
    let mut behind = catalog_of(&[put("a", 5), put("gone", 6), put("b", 9)]);
    let first = restored(&behind, &[("a", at(1, 4)), ("gone", at(1, 4))], at(1, 6));
    let second = restored(&first, &[("a", at(2, 5))], at(2, 5));
    assert!(second.delta_since(behind.revision).full);
    catch_up(&mut behind, &second);
    assert_eq!(behind.items, second.items);
    assert_eq!(behind.revision, second.revision);
}

#[test]
fn deltas_within_a_later_era_hold_its_deletions() {
    let first = restored(
        &catalog_of(&[put("a", 5)]),
        &[("a", at(1, 4)), ("b", at(1, 5))],
        at(1, 6),
    );
    let (mut ahead, mut behind) = (first.clone(), first);
    ahead.apply(&delete("b", at(1, 8)));
    let delta = ahead.delta_since(behind.revision);
    assert!(!delta.full);
    catch_up(&mut behind, &ahead);
    assert_eq!(behind.items, ahead.items);
}

const NOW: Duration = Duration::from_secs(20);

/// Returns a board that has just seen the store come back.
fn board_after_restoration() -> sesamebarrow_routing::Board {
    let mut fleet = Fleet::new(&[("a", 1)], config(&[], vec![route("r", &[])]));
    let mut board = fleet.instances.remove(0).board;
    board.put_upstream(Duration::ZERO, entry("up", "a", Duration::ZERO));
    board.last_store_outage_at = Some(NOW);
    board
}

#[test]
fn evacuation_that_a_restored_store_lacks_holds_until_it_is_published_again() {
    let mut board = board_after_restoration();
    board.set_evacuated(ms(5_000), "a", true);
    board.set_evacuated(NOW, "a", false);
    assert!(board.evacuated.contains("a"));
    board.set_evacuated(NOW + ms(1_000), "a", true);
    board.begin_gossip_round(NOW + ms(9_000));
    assert!(board.evacuated.contains("a"), "it was published again");
}

#[test]
fn evacuation_that_a_restored_store_lacks_ends_if_it_is_not_published_again() {
    let mut board = board_after_restoration();
    board.set_evacuated(ms(5_000), "a", true);
    board.set_evacuated(NOW, "a", false);
    board.begin_gossip_round(NOW + ms(2_400));
    assert!(board.evacuated.contains("a"));
    board.begin_gossip_round(NOW + ms(2_600));
    assert!(!board.evacuated.contains("a"));
}

#[test]
fn upstream_that_drains_is_not_made_ready_by_a_restored_store() {
    let mut board = board_after_restoration();
    let ready = entry("up", "a", Duration::ZERO);
    let mut draining = ready.clone();
    draining.ready = false;
    board.put_upstream(ms(19_000), draining);
    board.put_upstream(NOW, ready.clone());
    let is_ready = |board: &sesamebarrow_routing::Board| {
        let key = board.upstreams.key("up").expect("known");
        board.upstreams.all[key].entry.ready
    };
    assert!(!is_ready(&board));
    let mut new_run = ready;
    new_run.started_at_ms = Some(2);
    board.put_upstream(NOW + ms(1_000), new_run);
    assert!(is_ready(&board));
}

#[test]
fn removed_upstream_that_drained_is_not_made_ready_by_a_restored_store() {
    let mut board = board_after_restoration();
    let ready = entry("up", "a", Duration::ZERO);
    let mut draining = ready.clone();
    draining.ready = false;
    board.put_upstream(ms(15_000), draining);
    board.upstreams.remove(ms(19_000), "up", 0);
    board.put_upstream(NOW, ready);
    let key = board.upstreams.key("up").expect("known");
    assert!(!admit::may_send(&board, NOW, key));
}

#[test]
fn entry_of_an_ended_run_in_a_restored_store_is_ignored() {
    let mut board = board_after_restoration();
    let first_run = entry("up", "a", Duration::ZERO);
    let mut second_run = first_run.clone();
    second_run.started_at_ms = Some(2);
    board.put_upstream(ms(19_000), second_run);
    board.put_upstream(NOW + ms(100), first_run.clone());
    let started_at = |board: &sesamebarrow_routing::Board| {
        let key = board.upstreams.key("up").expect("known");
        board.upstreams.all[key].entry.started_at_ms
    };
    assert_eq!(started_at(&board), Some(2));
    // Long after it, a clock that was set back explains an earlier start.
    board.put_upstream(NOW + ms(9_000), first_run);
    assert_eq!(started_at(&board), Some(1));
}

/// Returns a board from which the upstream `up` was removed while it was ready, and whose store was then restored
/// from an older copy.
fn board_without_a_ready_upstream() -> sesamebarrow_routing::Board {
    let mut board = board_after_restoration();
    board.last_store_outage_at = None;
    board.remove_upstream(ms(15_000), "up");
    board.last_store_outage_at = Some(NOW);
    board.store_era = 1;
    board
}

fn may_send(board: &sesamebarrow_routing::Board, now: Duration) -> bool {
    let key = board.upstreams.key("up");
    key.is_some_and(|key| admit::may_send(board, now, key))
}

#[test]
fn removed_upstream_is_not_used_when_a_restored_store_contains_it() {
    let mut board = board_without_a_ready_upstream();
    let run = entry("up", "a", Duration::ZERO);
    board.put_upstream(NOW, run.clone());
    assert!(!may_send(&board, NOW));
    // What was written since the copy is written again.
    board.put_upstream(NOW + ms(1_200), run);
    assert!(!may_send(&board, NOW + ms(1_200)));
    board.remove_upstream(NOW + ms(1_300), "up");
    assert!(board.upstreams.key("up").is_none());
}

#[test]
fn removed_upstream_is_used_if_its_entry_does_not_lapse_after_a_restoration() {
    let mut board = board_without_a_ready_upstream();
    board.put_upstream(NOW, entry("up", "a", Duration::ZERO));
    assert!(!may_send(&board, NOW + ms(9_900)));
    assert!(may_send(&board, NOW + ms(10_100)));
}

#[test]
fn new_run_of_a_removed_upstream_is_used_at_once_after_a_restoration() {
    let mut board = board_without_a_ready_upstream();
    let run = entry("up", "a", Duration::ZERO);
    board.put_upstream(NOW, run.clone());
    let started_at_ms = Some(2);
    board.put_upstream(
        NOW + ms(100),
        Entry {
            started_at_ms,
            ..run
        },
    );
    // A restarted upstream may be cold.
    assert!(may_send(&board, NOW + ms(100)));
}

#[test]
fn removed_upstream_that_is_published_again_by_the_same_store_is_used_at_once() {
    let mut board = board_without_a_ready_upstream();
    board.store_era = 0;
    board.put_upstream(NOW, entry("up", "a", Duration::ZERO));
    assert!(may_send(&board, NOW));
}

#[test]
fn ended_run_in_a_restored_store_is_ignored_at_any_time() {
    let mut board = board_after_restoration();
    let first_run = entry("up", "a", Duration::ZERO);
    let second_run = Entry {
        started_at_ms: Some(2),
        ..first_run.clone()
    };
    board.put_upstream(ms(19_000), second_run);
    board.store_era = 1;
    board.put_upstream(NOW + ms(9_000), first_run);
    let key = board.upstreams.key("up").expect("known");
    assert_eq!(board.upstreams.all[key].entry.started_at_ms, Some(2));
}

#[test]
fn entry_without_a_start_time_tells_no_new_run() {
    let mut board = board_after_restoration();
    let draining = Entry {
        ready: false,
        ..entry("up", "a", Duration::ZERO)
    };
    board.put_upstream(ms(15_000), draining);
    let forged = Entry {
        started_at_ms: None,
        ..entry("up", "a", Duration::ZERO)
    };
    board.put_upstream(ms(16_000), forged.clone());
    assert!(!may_send(&board, ms(16_000)));
    board.last_store_outage_at = None;
    board.remove_upstream(ms(17_000), "up");
    board.put_upstream(ms(18_000), forged);
    assert!(!may_send(&board, ms(18_000)));
}

#[test]
fn late_read_does_not_bring_a_deleted_item_back() {
    let mut catalog = catalog_of(&[put("a", 5)]);
    assert!(catalog.apply(&delete("a", 7)));
    assert!(!catalog.apply(&put("a", 6)));
    assert!(catalog.apply(&put("a", 8)));
}

/// A read whose later page contains a newer change than its first one misses what changed in between on the first.
#[test]
fn read_in_pages_is_complete_only_with_the_changes_made_meanwhile() {
    let mut pages = Pages::default();
    let first = [put("b", 3), put("c", 4), put("moved", 5)];
    pages.add_page(catalog_of(&first).items, 60);
    pages.add_page(catalog_of(&[put("y", 62)]).items, 63);
    assert_eq!(pages.missing_since(), Some(60));
    let missing = [
        put("a", 61),
        put("y", 61),
        delete("b", 62),
        delete("moved", 62),
        put("moved", 63),
    ];
    pages.add_changes(missing, 63);
    assert_eq!(pages.missing_since(), None);
    let delta = pages.into_delta();
    let items: Vec<_> = delta
        .items
        .iter()
        .map(|(k, i)| (&**k, i.revision))
        .collect();
    assert_eq!(items, [("a", 61), ("c", 4), ("moved", 63), ("y", 62)]);
    assert_eq!(delta.revision, 63);
}

/// An instance hands on the deletion of an item that it never had to one that has it.
#[test]
fn deletion_of_an_item_that_the_sender_never_knew_is_handed_on() {
    let mut store = catalog_of(&[put("old", 10)]);
    let mut sender = store.clone();
    store.apply(&put("short-lived", 11));
    let mut receiver = store.clone();
    store.apply(&delete("short-lived", 12));
    catch_up(&mut sender, &store);
    catch_up(&mut receiver, &sender);
    assert_eq!(receiver.items, store.items);
}

/// A read does not show what was created and deleted since the catalog before it.
#[test]
fn deletion_that_a_read_skipped_is_made_good_by_the_full_catalog() {
    let mut reader = catalog_of(&[put("old", 10)]);
    let mut receiver = reader.clone();
    receiver.apply(&put("short-lived", 12));
    let before = reader.clone();
    read_store(&mut reader, &[put("old", 10), put("new", 19)], 20);
    let mut through_another = before.clone();
    catch_up(&mut through_another, &reader);
    for sender in [&reader, &through_another] {
        let mut receiver = receiver.clone();
        catch_up(&mut receiver, sender);
        assert_eq!(receiver.items, reader.items);
        assert!(!sender.delta_since(before.revision).full);
        assert!(!sender.delta_since(20).full);
    }
}

/// A read that took longer than another instance's changes needed to arrive brings back nothing that they deleted.
#[test]
fn read_that_is_older_than_the_catalog_does_not_bring_a_deleted_item_back() {
    let mut catalog = Catalog::default();
    let ahead = catalog_of(&[
        put("kept", 40),
        put("gone", 50),
        delete("gone", 65),
        put("new", 70),
    ]);
    catch_up(&mut catalog, &ahead);
    read_store(&mut catalog, &[put("kept", 40), put("gone", 50)], 60);
    assert_eq!(catalog.items, ahead.items);
    assert_eq!(catalog.revision, 70);
}
