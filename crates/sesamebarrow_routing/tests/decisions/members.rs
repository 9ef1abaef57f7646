//! Tests which instances know each other, and which read the store.

use std::time::Duration;

use sesamebarrow_routing::upstream::RequestLoad;

use crate::fleet::{Fleet, MODEL, config, customer, entry, ms, route};

fn fleet(count: usize) -> Fleet {
    let config = config(&[], vec![route("r", &[])]);
    Fleet::new(&[("a", count), ("b", count), ("c", count)], config)
}

fn readers(fleet: &Fleet, region: &str) -> usize {
    let in_region = |index: &usize| fleet.instances[*index].board.identity.region == region;
    let instances = (0..fleet.instances.len()).filter(in_region);
    let reads = |index: &usize| {
        fleet.instances[*index]
            .board
            .is_store_reader(fleet.process_time(*index))
    };
    instances.filter(reads).count()
}

/// Defines a test for a number of instances in each of three regions.
macro_rules! discovery_test {
    ($name:ident, $count:expr, $time:expr) => {
        #[test]
        fn $name() {
            let mut fleet = fleet($count);
            fleet.advance(ms($time));
            for instance in &fleet.instances {
                let known = instance.board.instance_count(fleet.now);
                assert_eq!(known, 3 * $count, "{}", instance.board.identity.name);
            }
            for region in ["a", "b", "c"] {
                assert_eq!(readers(&fleet, region), 2.min($count));
            }
        }
    };
}

discovery_test!(three_instances_discover_each_other, 1, 1_500);
discovery_test!(six_instances_discover_each_other, 2, 1_500);
discovery_test!(seventy_five_instances_discover_each_other, 25, 6_000);

#[test]
fn another_instance_reads_when_a_reader_gets_no_answer_from_the_store() {
    let mut fleet = fleet(4);
    fleet.advance(ms(2_000));
    let reads = |f: &Fleet, index: usize| {
        f.instances[index]
            .board
            .is_store_reader(f.process_time(index))
    };
    let first = (0..4)
        .find(|index| reads(&fleet, *index))
        .expect("one instance reads the store");
    fleet.instances[first].board.store_answers = false;
    fleet.advance(ms(1_200));
    assert!(!reads(&fleet, first));
    assert_eq!(readers(&fleet, "a"), 2);
}

#[test]
fn restarted_instance_whose_clock_was_set_back_is_alive() {
    let mut fleet = fleet(1);
    fleet.advance(ms(2_000));
    fleet.restart(1);
    fleet.instances[1].board.identity.incarnation = 0;
    fleet.advance(ms(2_500));
    let process_time = fleet.process_time(0);
    let alive: Vec<_> = fleet.instances[0]
        .board
        .members
        .alive(process_time)
        .collect();
    let restarted = alive.iter().find(|m| m.record.name == "b-0");
    assert_eq!(restarted.map(|m| m.record.incarnation), Some(0));
}

#[test]
fn idle_connections_of_a_region_fit_the_limit_of_an_upstream() {
    let mut fleet = fleet(25);
    fleet.advance(ms(6_000));
    let max_idle = |index: usize| {
        fleet.instances[index]
            .board
            .max_idle_connections(fleet.now, MODEL)
    };
    let total: usize = (0..25).map(max_idle).sum();
    assert!(
        (25..=300).contains(&total),
        "{total} idle connections, allowed are 25 to 300, half of the connection limit"
    );
}

#[test]
fn idle_connections_of_a_large_region_fit_the_limit_of_an_upstream() {
    let mut config = config(&[], vec![route("r", &[])]);
    let service = config.services.get_mut(MODEL).expect("a service");
    service.max_connections = 96;
    let mut fleet = Fleet::new(&[("a", 117)], config);
    fleet.advance(ms(6_000));
    let max_idle = |index: usize| {
        fleet.instances[index]
            .board
            .max_idle_connections(fleet.now, MODEL)
    };
    let total: usize = (0..117).map(max_idle).sum();
    assert!(
        total <= 48,
        "{total} idle connections, allowed are half of 96"
    );
    assert!(
        total >= 40,
        "{total} idle connections, allowed are half of 96"
    );
}

/// Returns 342 instances in 19 regions; each region has 18 instances and 24 upstreams.
fn large_fleet() -> Fleet {
    let name = |n: usize| format!("customer-{n}");
    let customers: Vec<_> = (0..24).map(|n| customer(&name(n), 1e6)).collect();
    let regions: Vec<String> = (0..19).map(|n| format!("region-{n}")).collect();
    let domains: Vec<_> = regions.iter().map(|r| (r.as_str(), 18)).collect();
    let mut fleet = Fleet::new(&domains, config(&customers, vec![route("r", &[])]));
    for instance in &mut fleet.instances {
        let region = instance.board.identity.region.clone();
        for n in 0..24 {
            let entry = entry(&format!("{region}-upstream-{n}"), &region, Duration::ZERO);
            instance.board.put_upstream(Duration::ZERO, entry);
        }
    }
    fleet
}

/// Makes twelve customers send a request to each instance, and each instance run a request
/// at each upstream.
fn add_load(fleet: &mut Fleet) {
    let request_load = RequestLoad {
        prefill_tokens: 4_000,
        kv_tokens: 9_000,
    };
    for index in 0..fleet.instances.len() {
        let now = fleet.process_time(index);
        for n in 0..12 {
            let name = format!("customer-{}", (index + n) % 24);
            // Whether the request is admitted does not matter here.
            fleet.take(index, &name, 4_000.0, |_, _| true);
        }
        let upstreams = &mut fleet.instances[index].board.upstreams;
        let keys: Vec<_> = upstreams.all.keys().collect();
        for key in keys {
            upstreams.start_attempt(now, key, request_load);
        }
    }
}

/// Returns the fraction of the other instances that instance `index` does not consider
/// alive.
fn dead_fraction(fleet: &Fleet, index: usize) -> f64 {
    let alive = fleet.instances[index]
        .board
        .members
        .alive(fleet.process_time(index));
    1.0 - alive.count() as f64 / (fleet.instances.len() - 1) as f64
}

/// The limit for control traffic is 6 KB per second for each of 350 instances.
#[test]
fn datagrams_of_a_large_fleet_stay_within_6_kb_per_second() {
    let mut fleet = large_fleet();
    fleet.advance(ms(4_000));
    let (bytes, started_at) = (fleet.sent_bytes, fleet.now);
    for _ in 0..6 {
        add_load(&mut fleet);
        fleet.advance(ms(500));
    }
    let seconds = (fleet.now - started_at).as_secs_f64();
    let bytes_per_s = (fleet.sent_bytes - bytes) as f64 / seconds / fleet.instances.len() as f64;
    println!(
        "{bytes_per_s:.0} B/s for each of {} instances",
        fleet.instances.len()
    );
    assert!(bytes_per_s <= 6_000.0, "{bytes_per_s:.0} B/s");
}

/// Running instances must not be considered dead. One in a hundred may be, for a moment.
#[test]
fn large_fleet_hears_from_nearly_all_instances() {
    let mut fleet = large_fleet();
    fleet.advance(ms(8_000));
    for _ in 0..4 {
        fleet.advance(ms(700));
        let indices = 0..fleet.instances.len();
        let mean = indices
            .map(|index| dead_fraction(&fleet, index))
            .sum::<f64>()
            / fleet.instances.len() as f64;
        let known = fleet
            .instances
            .iter()
            .map(|i| i.board.instance_count(fleet.now))
            .min();
        println!("{mean:.4} not considered alive, at least {known:?} known");
        assert!(mean <= 0.01, "fraction {mean:.4} not considered alive");
    }
}

/// As above, with regions in which most instances hear of each other only through others.
#[test]
fn large_regions_hear_from_nearly_all_instances() {
    let mut fleet = fleet(65);
    fleet.advance(ms(8_000));
    for _ in 0..4 {
        fleet.advance(ms(700));
        let indices = 0..fleet.instances.len();
        let dead = indices.map(|index| dead_fraction(&fleet, index));
        let mean = dead.sum::<f64>() / fleet.instances.len() as f64;
        println!("{mean:.4} not considered alive");
        assert!(mean <= 0.01, "fraction {mean:.4} not considered alive");
        let known = fleet
            .instances
            .iter()
            .map(|i| i.board.instance_count(fleet.now));
        assert_eq!(known.min(), Some(fleet.instances.len()));
    }
}

/// As above, while two instances begin to stop in each second and as many start again.
#[test]
fn datagrams_of_a_large_fleet_with_restarts_stay_within_6_kb_per_second() {
    let mut fleet = large_fleet();
    fleet.advance(ms(8_000));
    let stops: Vec<usize> = (0..24).map(|n| n * 19 % 342).collect();
    let (mut bytes, mut started_at) = (0, fleet.now);
    for half_second in 0..24 {
        if half_second == 16 {
            (bytes, started_at) = (fleet.sent_bytes, fleet.now);
        }
        let now = fleet.process_time(stops[half_second]);
        fleet.instances[stops[half_second]].board.draining_since = Some(now);
        if half_second >= 16 {
            fleet.restart(stops[half_second - 16]);
        }
        add_load(&mut fleet);
        fleet.advance(ms(500));
    }
    let seconds = (fleet.now - started_at).as_secs_f64();
    let bytes_per_s = (fleet.sent_bytes - bytes) as f64 / seconds / fleet.instances.len() as f64;
    println!("{bytes_per_s:.0} B/s with restarts");
    assert!(bytes_per_s <= 6_000.0, "{bytes_per_s:.0} B/s");
}

/// An instance that does not answer must not be asked again while another one has what is new.
#[test]
fn another_source_is_asked_after_one_that_failed() {
    let mut fleet = fleet(2);
    fleet.advance(ms(1_500));
    for ahead in [1, 2] {
        fleet.instances[ahead].board.revision = 7;
    }
    fleet.advance(ms(1_500));
    let now = fleet.process_time(0);
    let names = [1, 2].map(|index| fleet.instances[index].board.identity.name.clone());
    let board = &mut fleet.instances[0].board;
    for _ in 0..20 {
        let (name, _) = board
            .select_newer_instance(now, Some(&names[0]))
            .expect("one");
        assert_eq!(name, names[1]);
    }
    board
        .members
        .all
        .get_mut(&names[1])
        .expect("known")
        .revision = 0;
    let (name, _) = board
        .select_newer_instance(now, Some(&names[0]))
        .expect("one");
    assert_eq!(name, names[0], "it is the only one");
}
