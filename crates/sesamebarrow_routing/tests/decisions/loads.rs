//! Tests what instances know of the load of upstreams and regions, and how estimates of
//! waits follow a change of load.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::admit::{self, Rejection, RequestSpec};
use sesamebarrow_routing::spill;
use sesamebarrow_routing::upstream::{Key, ReportedLoad};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

const BUSY: ReportedLoad = ReportedLoad {
    running: 128,
    queued: 90,
    slowness_percent: 0,
};

/// Returns a fleet with `upstreams` upstreams in each region.
fn fleet(domains: &[(&str, usize)], upstreams: usize) -> Fleet {
    let mut fleet = Fleet::new(domains, config(&[], vec![route("r", &[])]));
    for instance in &mut fleet.instances {
        let region = instance.board.identity.region.clone();
        for n in 0..upstreams {
            let entry = entry(&format!("{region}-up-{n}"), &region, Duration::ZERO);
            instance.board.put_upstream(Duration::ZERO, entry);
        }
    }
    fleet.advance(ms(6_000));
    fleet
}

fn request() -> RequestSpec {
    RequestSpec {
        service: MODEL.into(),
        prompt_tokens: 2_000,
        output_tokens: 60,
        target_wait: ms(800),
        ..RequestSpec::default()
    }
}

fn keys(fleet: &Fleet, index: usize) -> Vec<Key> {
    fleet.instances[index]
        .board
        .upstreams
        .of_service(MODEL)
        .to_vec()
}

/// Records that an upstream reported its load in an answer to instance `index`.
fn report(fleet: &mut Fleet, index: usize, key: Key, load: ReportedLoad) {
    let now = fleet.process_time(index);
    let upstreams = &mut fleet.instances[index].board.upstreams;
    upstreams.record_reported_load(now, key, load);
}

fn select(fleet: &mut Fleet, index: usize) -> Result<Key, Rejection> {
    let now = fleet.process_time(index);
    let selected = admit::select_upstream(&mut fleet.instances[index].board, now, &request());
    selected.map(|s| s.key)
}

#[test]
fn load_that_an_upstream_reports_to_one_instance_is_known_to_the_others() {
    let mut fleet = fleet(&[("a", 3), ("b", 2)], 1);
    let key = keys(&fleet, 0)[0];
    assert!(select(&mut fleet, 2).is_ok());
    report(&mut fleet, 0, key, BUSY);
    fleet.advance(ms(700));
    assert_eq!(select(&mut fleet, 2), Err(Rejection::Overload));
    // Without a newer report the upstream is tried again.
    fleet.advance(ms(1_500));
    assert!(select(&mut fleet, 2).is_ok());
}

/// A report is used for a second. Most instances must have one of each upstream by then.
#[test]
fn reported_loads_spread_through_a_large_region() {
    let mut fleet = fleet(&[("a", 65), ("b", 65), ("c", 65)], 54);
    let mut rng = StdRng::seed_from_u64(1);
    // Each upstream answers seven requests a second, at random instances.
    for _ in 0..300 {
        for _ in 0..4 {
            let index = rng.random_range(0..65);
            let keys = keys(&fleet, index);
            let key = keys[rng.random_range(0..keys.len())];
            report(&mut fleet, index, key, ReportedLoad::default());
        }
        fleet.step(|_, _| true);
    }
    let known = (0..65).map(|index| {
        let now = fleet.process_time(index);
        let upstreams = &fleet.instances[index].board.upstreams;
        upstreams.recent_reports(now).count()
    });
    let fraction = known.sum::<usize>() as f64 / (65 * 54) as f64;
    println!("{fraction:.2} of the upstreams with a recent report");
    assert!(
        fraction > 0.5,
        "{fraction:.2} of the upstreams with a recent report"
    );
}

/// Instances that get few answers must not take a quiet time for the peak before it.
#[test]
fn estimates_recover_soon_after_a_peak_at_an_instance_with_few_requests() {
    let mut fleet = fleet(&[("a", 1)], 1);
    let board = &mut fleet.instances[0].board;
    let key = board.upstreams.of_service(MODEL)[0];
    board.upstreams.all[key].in_progress = 1;
    let estimate = |board: &mut sesamebarrow_routing::Board, now| {
        let selected = admit::select_upstream(board, now, &request());
        selected
            .expect("an upstream with one request accepts another")
            .estimated_wait
    };
    let peak_end = ms(20_000);
    for n in 0..150 {
        let at = ms(15_000) + ms(33 * n);
        board.record_first_event(at, &MODEL.into(), ms(400), ms(2_400));
    }
    let at_peak = estimate(board, peak_end);
    assert!(at_peak > ms(400), "{at_peak:?} is estimated at the peak");
    // One answer every 700 ms, as soon as an idle upstream gives it.
    for n in 1..=8 {
        let at = peak_end + ms(700 * n);
        let estimated = estimate(board, at);
        board.record_first_event(at, &MODEL.into(), estimated, ms(90));
    }
    let after = estimate(board, peak_end + ms(6_000));
    assert!(
        after < ms(200),
        "{after:?} is estimated six seconds after the peak"
    );
}

#[test]
fn nothing_is_forwarded_to_a_region_without_usable_upstreams() {
    let mut fleet = fleet(&[("a", 2), ("b", 2)], 1);
    for _ in 0..10 {
        for index in [2, 3] {
            let key = keys(&fleet, index)[0];
            report(&mut fleet, index, key, BUSY);
        }
        fleet.advance(ms(500));
    }
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    let selected = spill::select_instance(board, now, MODEL, |_| true, &[], None);
    assert_eq!(selected, None);
}

/// Returns what is selected at the first instance for a trial in a fleet with one upstream in each region.
fn select_for_trial(domains: &[(&str, usize)]) -> Result<(), Rejection> {
    let mut fleet = fleet(domains, 1);
    let now = fleet.process_time(0);
    let trial = RequestSpec {
        service: MODEL.into(),
        prompt_tokens: 100,
        output_tokens: 20,
        target_wait: ms(800),
        is_trial: true,
        ..RequestSpec::default()
    };
    admit::select_upstream(&mut fleet.instances[0].board, now, &trial).map(|_| ())
}

#[test]
fn trial_takes_the_last_upstream_of_a_region_while_another_region_serves() {
    assert_eq!(select_for_trial(&[("a", 2), ("b", 2)]), Ok(()));
}

#[test]
fn trial_does_not_take_the_last_upstream_of_a_service() {
    assert_eq!(select_for_trial(&[("a", 2)]), Err(Rejection::Overload));
}
