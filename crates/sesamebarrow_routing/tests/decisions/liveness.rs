//! Tests that the directory does not name instances that ended long ago, whatever happens to the others meanwhile.

use std::time::Duration;

use sesamebarrow_routing::place;

use crate::fleet::{Fleet, config, ms, route};

/// Time after the end of an instance from which the directory may not name it.
const NAMED_AT_MOST: Duration = Duration::from_secs(9);

/// Time for which the directory is watched after that.
const WATCHED: Duration = Duration::from_secs(8);

/// Time for which a fleet runs before anything happens.
const WARMUP: Duration = Duration::from_secs(8);

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(
        &[("a", count), ("b", count), ("c", count)],
        config(&[], vec![route("r", &[])]),
    );
    fleet.advance(WARMUP);
    fleet
}

/// Returns the names of the running instances whose directory names the instance at `ended`.
fn naming(fleet: &Fleet, ended: usize) -> Vec<String> {
    let ip = fleet.instances[ended].board.identity.ip;
    let region = fleet.instances[ended].board.identity.region.clone();
    let names = |index: &usize| {
        let (board, now) = (&fleet.instances[*index].board, fleet.process_time(*index));
        let placement = place::place(board, now, "host.example", &region);
        placement.instances.contains(&ip)
    };
    (0..fleet.instances.len())
        .filter(|index| *index != ended && fleet.runs(*index))
        .filter(names)
        .map(|index| fleet.instances[index].board.identity.name.to_string())
        .collect()
}

/// Runs the fleet after the end of the instance at `ended`, with `disturb` at each 100 ms after it, and checks that
/// nobody names it any more.
fn watch(fleet: &mut Fleet, ended: usize, mut disturb: impl FnMut(&mut Fleet, Duration)) {
    let ended_at = fleet.now;
    loop {
        let since = fleet.now - ended_at;
        if since >= NAMED_AT_MOST + WATCHED {
            return;
        }
        disturb(fleet, since);
        fleet.advance(ms(100));
        let named_by = naming(fleet, ended);
        assert!(
            fleet.now - ended_at < NAMED_AT_MOST || named_by.is_empty(),
            "named {:?} after its end by {named_by:?}",
            fleet.now - ended_at
        );
    }
}

/// Defines a test in which the instance at `$ended` of three times `$count` ends after `$before`, and `$disturb` is
/// done each 100 ms after it.
macro_rules! ended_instance_test {
    ($($name:ident: $count:expr, $ended:expr, $before:expr, $disturb:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = fleet($count);
            let before: fn(&mut Fleet) = $before;
            before(&mut fleet);
            fleet.kill($ended);
            watch(&mut fleet, $ended, $disturb);
        }
    )*};
}

/// Restarts one instance after the other, `step` ones in each 100 ms.
fn restart_in_turn(fleet: &mut Fleet, since: Duration, ended: usize, step: usize) {
    let count = fleet.instances.len();
    let tick = (since.as_millis() / 100) as usize;
    for index in (tick * step..(tick + 1) * step).map(|n| n * 7 % count) {
        if index != ended {
            fleet.restart(index);
        }
    }
}

ended_instance_test! {
    ended_instance_is_not_named: 2, 3, |_| {}, |_, _| {};
    ended_instance_of_a_large_fleet_is_not_named: 40, 3, |_| {}, |_, _| {};
    restarts_do_not_bring_an_ended_instance_back:
        4, 3, |_| {}, |fleet, since| restart_in_turn(fleet, since, 3, 1);
    restarts_in_a_large_fleet_do_not_bring_an_ended_instance_back:
        40, 3, |_| {}, |fleet, since| restart_in_turn(fleet, since, 3, 2);
    instance_that_ends_right_after_its_start_is_not_named:
        4, 3, |fleet| { fleet.kill(3); fleet.advance(ms(1_000)); fleet.restart(3); fleet.advance(ms(300)); },
        |_, _| {};
    instance_of_a_large_fleet_that_ends_right_after_its_start_is_not_named:
        40, 3, |fleet| { fleet.kill(3); fleet.advance(ms(1_000)); fleet.restart(3); fleet.advance(ms(300)); },
        |_, _| {};
    instance_that_ends_again_and_again_is_not_named:
        4, 3,
        |fleet| for _ in 0..5 { fleet.kill(3); fleet.advance(ms(500)); fleet.restart(3); fleet.advance(ms(300)); },
        |_, _| {};
    frozen_instance_does_not_bring_an_ended_one_back:
        4, 3, |fleet| { fleet.freeze(1); fleet.advance(ms(2_000)); },
        |fleet, since| if since == ms(8_500) { fleet.thaw(1) };
    frozen_instance_of_a_large_fleet_does_not_bring_an_ended_one_back:
        40, 3, |fleet| { fleet.freeze(1); fleet.advance(ms(4_000)); },
        |fleet, since| if since == ms(8_500) { fleet.thaw(1) };
}
