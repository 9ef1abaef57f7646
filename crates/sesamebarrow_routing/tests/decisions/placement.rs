//! Tests which instances clients are sent to.

use std::time::Duration;

use sesamebarrow_routing::place;

use crate::fleet::{Fleet, config, ms, route};

fn fleet() -> Fleet {
    let routes = vec![route("bound", &["a", "b"]), route("free", &[])];
    let mut fleet = Fleet::new(&[("a", 2), ("b", 1), ("c", 2)], config(&[], routes));
    fleet.advance(ms(3_000));
    fleet
}

/// Returns the numbers of the instances that instance `index` returns for clients in
/// `region`.
fn placed_instances(fleet: &Fleet, index: usize, region: &str) -> Vec<u8> {
    let board = &fleet.instances[index].board;
    let placement = place::place(board, fleet.process_time(index), "host.example", region);
    let addresses = placement.instances.iter();
    let mut numbers: Vec<_> = addresses.map(|a| a.octets()[3]).collect();
    numbers.sort_unstable();
    numbers
}

fn drain(fleet: &mut Fleet, index: usize) {
    let process_time = fleet.process_time(index);
    fleet.instances[index].board.draining_since = Some(process_time);
}

#[test]
fn clients_stay_in_their_region() {
    let fleet = fleet();
    assert_eq!(placed_instances(&fleet, 4, "a"), [0, 1]);
    assert_eq!(placed_instances(&fleet, 0, "c"), [3, 4]);
}

#[test]
fn clients_of_an_unreachable_region_go_to_an_allowed_region() {
    let mut fleet = fleet();
    let until = fleet.now + ms(4_000);
    while fleet.now < until {
        fleet.step(|from, to| from != 2 && to != 2);
    }
    assert_eq!(placed_instances(&fleet, 3, "b"), [0, 1]);
}

/// Regression test (run hunt-02dd-7): an unused route is restricted to the third region, so
/// that no region is allowed by all routes.
#[test]
fn clients_go_where_most_requests_are_allowed() {
    let routes = vec![route("bound", &["a", "b"]), route("unused", &["c"])];
    let mut fleet = Fleet::new(&[("a", 2), ("b", 1), ("c", 2)], config(&[], routes));
    let used = fleet.config.routes[0].clone();
    for instance in &mut fleet.instances {
        (0..9).for_each(|_| instance.board.record_route_request(&used));
    }
    fleet.advance(ms(3_000));
    drain(&mut fleet, 2);
    fleet.advance(ms(2_500));
    assert_eq!(placed_instances(&fleet, 3, "b"), [0, 1]);
}

/// Regression test (run trouble-2, seed 519045783843): all instances of the preferred regions
/// drained at once, and the directory returned instances of the third region.
#[test]
fn clients_go_to_a_draining_allowed_region_before_another_region() {
    let mut fleet = fleet();
    drain(&mut fleet, 2);
    fleet.advance(ms(2_500));
    drain(&mut fleet, 0);
    fleet.advance(ms(2_500));
    drain(&mut fleet, 1);
    fleet.advance(ms(800));
    assert_eq!(placed_instances(&fleet, 3, "b"), [1]);
}

/// Regression test (run hunt-26cf-15): all instances of the preferred regions were stopped
/// one after another, 2 s apart. The last was returned for 1.8 s, 0.5 s too short for the
/// first to have restarted.
#[test]
fn last_draining_instance_is_returned_until_the_first_can_have_restarted() {
    let mut fleet = fleet();
    drain(&mut fleet, 2);
    fleet.advance(ms(2_000));
    drain(&mut fleet, 0);
    fleet.advance(ms(2_000));
    drain(&mut fleet, 1);
    fleet.advance(ms(2_300));
    assert_eq!(placed_instances(&fleet, 3, "b"), [1]);
    // A draining instance accepts streams for 2.9 s; the answer must expire before that.
    let board = &fleet.instances[3].board;
    let placement = place::place(board, fleet.process_time(3), "host.example", "b");
    assert!(placement.ttl <= ms(2_900 - 2_300), "{:?}", placement.ttl);
}

/// Regression test (run trouble-2, seed 1087045285754): for half a second no instance of the preferred regions
/// could be returned, and clients kept the answer for up to three seconds.
#[test]
fn clients_soon_ask_again_when_only_another_region_is_left() {
    let mut fleet = fleet();
    (0..3).for_each(|index| drain(&mut fleet, index));
    fleet.advance(ms(3_000));
    assert_eq!(placed_instances(&fleet, 3, "b"), [3, 4]);
    let board = &fleet.instances[3].board;
    let placement = place::place(board, fleet.process_time(3), "host.example", "b");
    assert!(placement.ttl <= ms(300), "{:?}", placement.ttl);
}

#[test]
fn dead_instances_are_not_returned() {
    let mut fleet = fleet();
    let until = fleet.now + ms(4_000);
    while fleet.now < until {
        fleet.step(|from, _| from != 1);
    }
    assert_eq!(placed_instances(&fleet, 0, "a"), [0]);
}

/// Regression test (run fresh-66a0): because of two requests on a route with fewer allowed
/// regions, only one region was preferred, and the clients of 237 other requests were sent to
/// the third region.
#[test]
fn few_requests_on_a_narrow_route_exclude_no_region() {
    let routes = vec![route("bound", &["a", "b"]), route("narrow", &["a"])];
    let mut fleet = Fleet::new(&[("a", 2), ("b", 1), ("c", 2)], config(&[], routes.clone()));
    fleet.advance(ms(3_000));
    let board = &mut fleet.instances[0].board;
    (0..237).for_each(|_| board.record_route_request(&routes[0]));
    (0..2).for_each(|_| board.record_route_request(&routes[1]));
    drain(&mut fleet, 0);
    drain(&mut fleet, 1);
    fleet.advance(ms(3_000));
    drain(&mut fleet, 2);
    fleet.advance(ms(800));
    assert_eq!(placed_instances(&fleet, 0, "a"), [2]);
}

/// Regression test (run trouble-2, seed 577617419446): all instances of the preferred regions
/// were stopped one after another. The first to restart sent clients to the third region
/// before it knew the configuration.
#[test]
fn instance_without_a_configuration_returns_no_other_region() {
    let mut fleet = fleet();
    drain(&mut fleet, 1);
    drain(&mut fleet, 2);
    fleet.advance(ms(3_000));
    fleet.instances[0].board.config = None;
    assert!(placed_instances(&fleet, 0, "a").is_empty());
}

#[test]
fn instance_without_a_configuration_is_not_returned() {
    let mut fleet = fleet();
    fleet.instances[0].board.config = None;
    fleet.advance(ms(1_000));
    assert_eq!(placed_instances(&fleet, 3, "a"), [1]);
    assert_eq!(fleet.instances[0].board.draining_for(Duration::ZERO), None);
}
