//! Tests that all instances together send only a few requests per second to a cold
//! upstream.

use std::time::Duration;

use sesamebarrow_routing::admit::{self, RequestSpec};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

/// 3.7 per second times the rate factor of 1.5, plus the slack of 3, rounded down.
const MAX_SENDS_PER_S: usize = 8;

fn fleet() -> Fleet {
    Fleet::new(&[("a", 3), ("b", 1)], config(&[], vec![route("r", &[])]))
}

/// Publishes an upstream, cold for the time `cold`, to all instances.
fn publish(fleet: &mut Fleet, cold: Duration) {
    for index in 0..fleet.instances.len() {
        let process_time = fleet.process_time(index);
        let board = &mut fleet.instances[index].board;
        board.put_upstream(process_time, entry("up", "a", cold));
    }
}

/// Sends a request at each instance every 20 ms. Returns the times at which requests were
/// sent to the upstream.
fn send_requests(
    fleet: &mut Fleet,
    duration: Duration,
    reaches: impl Fn(usize, usize) -> bool,
) -> Vec<Duration> {
    let until = fleet.now + duration;
    let mut sent = Vec::new();
    while fleet.now < until {
        fleet.step(&reaches);
        fleet.step(&reaches);
        for index in 0..fleet.instances.len() {
            let process_time = fleet.process_time(index);
            let board = &mut fleet.instances[index].board;
            let request = RequestSpec {
                service: MODEL.into(),
                prompt_tokens: 500,
                target_wait: ms(2_000),
                ..RequestSpec::default()
            };
            if let Ok(selected) = admit::select_upstream(board, process_time, &request) {
                let (key, load) = (selected.key, selected.request_load);
                board.upstreams.start_attempt(process_time, key, load);
                sent.push(fleet.now);
            }
        }
    }
    sent
}

fn check_limit(sent: &[Duration]) {
    for start in sent {
        let within = sent
            .iter()
            .filter(|at| *at >= start && **at < *start + ms(1_000));
        let count = within.count();
        assert!(
            count <= MAX_SENDS_PER_S,
            "{count} requests in the second from {start:?}"
        );
    }
}

#[test]
fn sends_of_all_instances_stay_within_the_limit() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let sent = send_requests(&mut fleet, ms(5_000), |_, _| true);
    check_limit(&sent);
    assert!(
        sent.len() >= 8,
        "only {} requests sent to a cold upstream",
        sent.len()
    );
}

/// Regression test (run hunt-8bdc-11): after three instances restarted together, each
/// considered itself the owner of the upstream, and they sent ten requests within one
/// second.
#[test]
fn instances_that_restart_together_stay_within_the_limit() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let mut sent = send_requests(&mut fleet, ms(1_500), |_, _| true);
    (0..4).for_each(|index| fleet.restart(index));
    publish(&mut fleet, ms(60_000));
    sent.extend(send_requests(&mut fleet, ms(4_000), |_, _| true));
    check_limit(&sent);
}

#[test]
fn instances_that_cannot_reach_each_other_stay_within_the_limit() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let sent = send_requests(&mut fleet, ms(8_000), |from, to| from == to);
    check_limit(&sent);
}

#[test]
fn upstream_of_an_evacuated_domain_gets_no_requests_and_is_cold_afterwards() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    for index in 0..3 {
        let process_time = fleet.process_time(index);
        fleet.instances[index]
            .board
            .set_evacuated(process_time, "a", true);
    }
    let sent = send_requests(&mut fleet, ms(1_000), |_, _| true);
    assert!(sent.is_empty(), "requests were sent to an evacuated domain");
    for index in 0..3 {
        let process_time = fleet.process_time(index);
        fleet.instances[index]
            .board
            .set_evacuated(process_time, "a", false);
    }
    check_limit(&send_requests(&mut fleet, ms(2_000), |_, _| true));
}

/// Returns the requests sent to a cold upstream by a region of `count` instances of which `gone` have
/// been silent for a while. Those that are left send a request every 20 ms.
fn send_with_gone(count: usize, gone: usize, reaches_others: bool) -> Vec<Duration> {
    let mut fleet = Fleet::new(&[("a", count)], config(&[], vec![route("r", &[])]));
    fleet.advance(ms(6_000));
    publish(&mut fleet, ms(60_000));
    let reaches =
        |from: usize, to: usize| from == to || reaches_others && from >= gone && to >= gone;
    let until = fleet.now + ms(7_000);
    while fleet.now < until {
        fleet.step(reaches);
    }
    send_requests(&mut fleet, ms(3_000), reaches)
}

#[test]
fn instances_of_a_large_region_that_cannot_reach_each_other_stay_within_the_limit() {
    check_limit(&send_with_gone(65, 0, false));
}

#[test]
fn cold_upstream_is_warmed_while_one_instance_of_a_large_region_is_gone() {
    let sent = send_with_gone(65, 1, true);
    check_limit(&sent);
    assert!(sent.len() >= 3, "only {} requests sent", sent.len());
}
