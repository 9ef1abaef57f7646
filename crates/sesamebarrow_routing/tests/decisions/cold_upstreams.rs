//! Cold upstreams get few requests in any second, from all instances together.

use std::time::Duration;

use sesamebarrow_routing::admit::{self, RequestSpec};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

/// 3.7 a second, over by half, and three.
const MOST: usize = 8;

fn fleet() -> Fleet {
    Fleet::new(&[("a", 3), ("b", 1)], config(&[], vec![route("r", &[])]))
}

/// Tells all instances of a cold upstream.
fn publish(fleet: &mut Fleet, cold: Duration) {
    for at in 0..fleet.instances.len() {
        let local = fleet.local(at);
        let state = &mut fleet.instances[at].state;
        state.put_upstream(local, entry("up", "a", cold));
    }
}

/// Each instance has a request every 20 ms; returns when one was sent.
fn flood(
    fleet: &mut Fleet,
    time: Duration,
    reaches: impl Fn(usize, usize) -> bool,
) -> Vec<Duration> {
    let until = fleet.now + time;
    let mut sent = Vec::new();
    while fleet.now < until {
        fleet.step(&reaches);
        fleet.step(&reaches);
        for at in 0..fleet.instances.len() {
            let local = fleet.local(at);
            let state = &mut fleet.instances[at].state;
            let ask = RequestSpec {
                service: MODEL.into(),
                prompt_tokens: 500,
                target_latency: ms(2_000),
                ..RequestSpec::default()
            };
            if let Ok(chosen) = admit::select_upstream(state, local, &ask) {
                state
                    .upstreams
                    .start_attempt(local, chosen.key, chosen.request_load, &[], 0);
                sent.push(fleet.now);
            }
        }
    }
    sent
}

fn check(sent: &[Duration]) {
    for start in sent {
        let within = sent
            .iter()
            .filter(|at| *at >= start && **at < *start + ms(1_000));
        let count = within.count();
        assert!(count <= MOST, "{count} in the second from {start:?}");
    }
}

#[test]
fn sends_of_all_instances_stay_within_the_bound() {
    let mut fleet = fleet();
    fleet.pass(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let sent = flood(&mut fleet, ms(5_000), |_, _| true);
    check(&sent);
    assert!(
        sent.len() >= 8,
        "only {} sent to a cold upstream",
        sent.len()
    );
}

/// Hunted day hunt-8bdc-11: three instances that came back together each took itself to
/// own the upstream, and sent ten requests in one second.
#[test]
fn instances_that_restart_together_stay_within_the_bound() {
    let mut fleet = fleet();
    fleet.pass(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let mut sent = flood(&mut fleet, ms(1_500), |_, _| true);
    (0..4).for_each(|at| fleet.restart(at));
    publish(&mut fleet, ms(60_000));
    sent.extend(flood(&mut fleet, ms(4_000), |_, _| true));
    check(&sent);
}

#[test]
fn instances_that_cannot_reach_each_other_stay_within_the_bound() {
    let mut fleet = fleet();
    fleet.pass(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let sent = flood(&mut fleet, ms(8_000), |from, to| from == to);
    check(&sent);
}

#[test]
fn upstream_of_an_evacuated_domain_gets_nothing_and_comes_back_cold() {
    let mut fleet = fleet();
    fleet.pass(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    for at in 0..3 {
        let local = fleet.local(at);
        fleet.instances[at].state.set_evacuated(local, "a", true);
    }
    let sent = flood(&mut fleet, ms(1_000), |_, _| true);
    assert!(sent.is_empty(), "sent to an evacuated domain");
    for at in 0..3 {
        let local = fleet.local(at);
        fleet.instances[at].state.set_evacuated(local, "a", false);
    }
    check(&flood(&mut fleet, ms(2_000), |_, _| true));
}
