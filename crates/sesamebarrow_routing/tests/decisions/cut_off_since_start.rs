//! Tests that instances which hear from no other since their start, as after a loss of power in which the seeds went
//! down, keep to the limits that all share.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::admit::{self, RequestSpec};
use smol_str::SmolStr;

use crate::fleet::{Fleet, MODEL, config, entry, ms, parameters, route};

/// Number of instances of one region.
const INSTANCES: usize = 8;

/// Connections that an upstream of the fleet's service accepts.
const MAX_CONNECTIONS: usize = 600;

/// Restarts all instances, none of which reaches another, and lets some time pass.
fn restarted(expects_others: bool) -> Fleet {
    let mut fleet = Fleet::new(&[("a", INSTANCES)], config(&[], vec![route("r", &[])]));
    fleet.advance(ms(3_000));
    for index in 0..INSTANCES {
        fleet.restart(index);
        let mut parameters = parameters();
        parameters.expects_others = expects_others;
        fleet.instances[index].board.set_parameters(parameters);
    }
    pass(&mut fleet, ms(2_000));
    fleet
}

fn pass(fleet: &mut Fleet, time: Duration) {
    let until = fleet.now + time;
    while fleet.now < until {
        fleet.step(|from, to| from == to);
    }
}

/// Sends as many requests as are admitted to a cold upstream for a second.
fn sent_to_cold_upstream(fleet: &mut Fleet) -> usize {
    let mut sent = 0;
    for index in 0..INSTANCES {
        let now = fleet.process_time(index);
        let board = &mut fleet.instances[index].board;
        board.put_upstream(now, entry("up", "a", ms(8_000)));
    }
    for _ in 0..50 {
        pass(fleet, ms(20));
        for index in 0..INSTANCES {
            let now = fleet.process_time(index);
            let board = &mut fleet.instances[index].board;
            let request = RequestSpec {
                service: MODEL.into(),
                prompt_tokens: 500,
                target_wait: ms(2_000),
                ..RequestSpec::default()
            };
            if let Ok(selected) = admit::select_upstream(board, now, &request) {
                let load = selected.request_load;
                board.upstreams.start_attempt(now, selected.key, load);
                sent += 1;
            }
        }
    }
    sent
}

/// Each instance that knew no other used half of the limit.
#[test]
fn cold_upstream_is_not_overrun_by_instances_that_each_seem_to_own_it() {
    let limit = parameters().cold;
    // CAST: a small number.
    let allowed = (3.7 * limit.rate_factor + limit.slack) as usize;
    let sent = sent_to_cold_upstream(&mut restarted(true));
    assert!(sent <= allowed, "{sent} sent, {allowed} allowed");
}

/// One whose settings name no others is not cut off from them.
#[test]
fn only_instance_that_is_configured_uses_a_cold_upstream() {
    let mut fleet = restarted(false);
    assert!(sent_to_cold_upstream(&mut fleet) > 0);
}

/// Each instance that knew no other had the whole budget.
#[test]
fn retries_of_all_stay_within_the_budget() {
    let mut fleet = restarted(true);
    let limit = parameters().budget;
    let mut rng = StdRng::seed_from_u64(1);
    let mut granted = 0;
    for _ in 0..limit.window.as_secs() {
        pass(&mut fleet, ms(1_000));
        for index in 0..INSTANCES {
            let now = fleet.process_time(index);
            let board = &mut fleet.instances[index].board;
            let instances = board.instance_count(now);
            for _ in 0..20 {
                let (roll, service) = (rng.random(), SmolStr::new(MODEL));
                granted += usize::from(board.budget.try_spend(now, &service, instances, roll));
            }
        }
    }
    // CAST: a small number.
    let slack = limit.slack as usize;
    assert!(granted <= slack, "{granted} retries, {slack} allowed");
}

/// Each instance that knew no other kept as many connections as all together may.
#[test]
fn idle_connections_of_all_fit_the_limit_of_an_upstream() {
    let fleet = restarted(true);
    let idle = |index: usize| {
        let now = fleet.process_time(index);
        fleet.instances[index]
            .board
            .max_idle_connections(now, MODEL)
    };
    assert!(idle(0) * 350 <= MAX_CONNECTIONS);
}

/// The small parts end as soon as others are heard from.
#[test]
fn instances_that_find_each_other_use_the_whole_of_each_limit() {
    let mut fleet = restarted(true);
    fleet.advance(ms(3_000));
    for index in 0..INSTANCES {
        let now = fleet.process_time(index);
        let board = &fleet.instances[index].board;
        assert_eq!(board.instance_count(now), INSTANCES);
        assert_eq!(board.region_instance_count(now), INSTANCES);
    }
}
