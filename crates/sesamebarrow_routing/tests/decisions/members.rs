//! Who knows whom, and who reads the store.

use std::time::Duration;

use sesamebarrow_routing::upstream::RequestLoad;
use smol_str::SmolStr;

use crate::fleet::{Fleet, MODEL, config, customer, entry, ms, route};

fn fleet(count: usize) -> Fleet {
    let config = config(&[], vec![route("r", &[])]);
    Fleet::new(&[("a", count), ("b", count), ("c", count)], config)
}

fn readers(fleet: &Fleet, region: &str) -> usize {
    let near = |at: &usize| fleet.instances[*at].state.identity.region == region;
    let instances = (0..fleet.instances.len()).filter(near);
    let reads = |at: &usize| fleet.instances[*at].state.is_store_reader(fleet.local(*at));
    instances.filter(reads).count()
}

/// Names a case by the number of instances in each of three regions.
macro_rules! all_meet {
    ($name:ident, $count:expr, $time:expr) => {
        #[test]
        fn $name() {
            let mut fleet = fleet($count);
            fleet.pass(ms($time));
            for instance in &fleet.instances {
                let known = instance.state.instance_count();
                assert_eq!(known, 3 * $count, "{}", instance.state.identity.name);
            }
            for region in ["a", "b", "c"] {
                assert_eq!(readers(&fleet, region), 2.min($count));
            }
        }
    };
}

all_meet!(three_instances_meet, 1, 1_500);
all_meet!(six_instances_meet, 2, 1_500);
all_meet!(seventy_five_instances_meet, 25, 6_000);

#[test]
fn another_reads_where_the_store_turns_a_reader_away() {
    let mut fleet = fleet(4);
    fleet.pass(ms(2_000));
    let reads = |f: &Fleet, at: usize| f.instances[at].state.is_store_reader(f.local(at));
    let first = (0..4).find(|at| reads(&fleet, *at)).expect("someone reads");
    fleet.instances[first].state.store_answers = false;
    fleet.pass(ms(1_200));
    assert!(!reads(&fleet, first));
    assert_eq!(readers(&fleet, "a"), 2);
}

#[test]
fn restarted_instance_whose_clock_went_back_is_heard() {
    let mut fleet = fleet(1);
    fleet.pass(ms(2_000));
    fleet.restart(1);
    fleet.instances[1].state.identity.incarnation = 0;
    fleet.pass(ms(2_500));
    let local = fleet.local(0);
    let heard: Vec<_> = fleet.instances[0].state.members.alive(local).collect();
    let back = heard.iter().find(|m| m.record.name == "b-0");
    assert_eq!(back.map(|m| m.record.incarnation), Some(0));
}

#[test]
fn idle_connections_of_a_region_fit_what_an_upstream_accepts() {
    let mut fleet = fleet(25);
    fleet.pass(ms(6_000));
    let kept = |at: usize| fleet.instances[at].state.max_idle_connections(MODEL);
    let all: usize = (0..25).map(kept).sum();
    assert!(
        (25..=300).contains(&all),
        "{all} of 600, half for idle ones"
    );
}

/// 342 instances in 19 regions with 24 upstreams each.
fn large_fleet() -> Fleet {
    let name = |n: usize| format!("customer-{n}");
    let customers: Vec<_> = (0..24).map(|n| customer(&name(n), 1e6)).collect();
    let regions: Vec<String> = (0..19).map(|n| format!("region-{n}")).collect();
    let domains: Vec<_> = regions.iter().map(|r| (r.as_str(), 18)).collect();
    let mut fleet = Fleet::new(&domains, config(&customers, vec![route("r", &[])]));
    for instance in &mut fleet.instances {
        let region = instance.state.identity.region.clone();
        for n in 0..24 {
            let entry = entry(&format!("{region}-upstream-{n}"), &region, Duration::ZERO);
            instance.state.put_upstream(Duration::ZERO, entry);
        }
    }
    fleet
}

/// Lets each instance be asked for by a dozen customers and run a request at each upstream.
fn load(fleet: &mut Fleet) {
    let size = RequestLoad {
        prefill_tokens: 4_000,
        memory_tokens: 9_000,
    };
    for at in 0..fleet.instances.len() {
        let now = fleet.local(at);
        for n in 0..12 {
            let name = SmolStr::from(format!("customer-{}", (at + n) % 24));
            let quota = &mut fleet.instances[at].state.quota;
            // Whether it is admitted does not matter here.
            let _ = quota.take(now, &name, (1e6, 1e6), 4_000.0);
        }
        let upstreams = &mut fleet.instances[at].state.upstreams;
        let keys: Vec<_> = upstreams.all.keys().collect();
        for key in keys {
            upstreams.start_attempt(now, key, size, &[], 350_000);
        }
    }
}

/// Part of the other instances that `at` takes as silent.
fn unheard(fleet: &Fleet, at: usize) -> f64 {
    let heard = fleet.instances[at].state.members.alive(fleet.local(at));
    1.0 - heard.count() as f64 / (fleet.instances.len() - 1) as f64
}

/// The users' bound is 6 KB a second for control at 350 instances.
#[test]
fn datagrams_of_350_instances_stay_within_their_bytes() {
    let mut fleet = large_fleet();
    fleet.pass(ms(4_000));
    let (bytes, began) = (fleet.sent_bytes, fleet.now);
    for _ in 0..6 {
        load(&mut fleet);
        fleet.pass(ms(500));
    }
    let seconds = (fleet.now - began).as_secs_f64();
    let each = (fleet.sent_bytes - bytes) as f64 / seconds / fleet.instances.len() as f64;
    println!(
        "{each:.0} B/s for each of {} instances",
        fleet.instances.len()
    );
    assert!(each <= 6_000.0, "{each:.0} B/s");
}

/// Whoever is up must not be taken as lost; one in a hundred for a moment is borne.
#[test]
fn large_fleet_hears_nearly_all() {
    let mut fleet = large_fleet();
    fleet.pass(ms(8_000));
    for _ in 0..4 {
        fleet.pass(ms(700));
        let all = 0..fleet.instances.len();
        let mean = all.map(|at| unheard(&fleet, at)).sum::<f64>() / fleet.instances.len() as f64;
        let known = fleet
            .instances
            .iter()
            .map(|i| i.state.instance_count())
            .min();
        println!("{mean:.4} unheard, {known:?} known at least");
        assert!(mean <= 0.01, "{mean:.4} unheard");
    }
}
