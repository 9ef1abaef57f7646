//! Tests that instances find each other again although the seeds of their settings are down.

use crate::buckets::config_with;
use crate::fleet::{Fleet, ms};

/// Longer than the silence after which a member is removed.
const LONG_CUT_MS: u64 = 45_000;

/// Time in which instances that reach each other find each other.
const JOIN_MS: u64 = 20_000;

fn known(fleet: &Fleet, index: usize) -> usize {
    fleet.instances[index].board.members.all.len()
}

/// Cuts the instances below `size` off from the others for a long time. The seeds have ended before.
fn check_sides_join(counts: &[(&str, usize)], size: usize) {
    let mut fleet = Fleet::new(counts, config_with(&[6_000.0], 1));
    let all = fleet.instances.len();
    fleet.seeds = vec![0, 1];
    fleet.advance(ms(10_000));
    fleet.kill(0);
    fleet.kill(1);
    fleet.advance(ms(LONG_CUT_MS));
    let until = fleet.now + ms(LONG_CUT_MS);
    while fleet.now < until {
        fleet.step(|from, to| (from < size) == (to < size));
    }
    assert_eq!(
        known(&fleet, size),
        all - size - 1,
        "the others are removed"
    );
    fleet.advance(ms(JOIN_MS));
    for index in 2..all {
        assert_eq!(known(&fleet, index), all - 3, "instance {index}");
    }
}

/// Defines a test of a long cut.
macro_rules! long_cut_test {
    ($($name:ident: $counts:expr, $size:expr;)*) => {$(
        #[test]
        fn $name() {
            check_sides_join($counts, $size);
        }
    )*};
}

long_cut_test! {
    // After 30 s of silence each side forgot the addresses of the other, and the seeds were down.
    halves_that_a_long_cut_separated_join_without_seeds: &[("a", 5), ("b", 5)], 5;
    halves_of_a_region_that_a_long_cut_separated_join_without_seeds: &[("a", 9)], 5;
    large_halves_that_a_long_cut_separated_join_without_seeds: &[("a", 60), ("b", 60)], 60;
}

/// Each instance alone has nobody left to ask but those that it has lost.
#[test]
fn instances_that_were_all_cut_off_from_each_other_join_without_seeds() {
    let mut fleet = Fleet::new(&[("a", 4), ("b", 4)], config_with(&[6_000.0], 1));
    fleet.seeds = vec![0];
    fleet.advance(ms(10_000));
    fleet.kill(0);
    let until = fleet.now + ms(LONG_CUT_MS);
    while fleet.now < until {
        fleet.step(|from, to| from == to);
    }
    assert_eq!(known(&fleet, 5), 0);
    fleet.advance(ms(JOIN_MS));
    for index in 1..8 {
        assert_eq!(known(&fleet, index), 6, "instance {index}");
    }
}
