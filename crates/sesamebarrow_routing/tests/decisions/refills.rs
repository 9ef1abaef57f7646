//! Tests at which part of each customer's rate the buckets of all instances together refill.

use std::time::Duration;

use sesamebarrow_routing::token;

use crate::buckets::{LARGE, SMALL, config_with};
use crate::fleet::{Fleet, Instance, ms};

fn refill_fraction(instance: &Instance, customer: u64) -> f64 {
    let state = instance.board.quota.bucket_state(customer);
    state.map_or(0.0, |s| s.refill_fraction)
}

/// Returns the fraction of each of 19 customers' rates that all buckets together refill at.
fn refill_fractions(fleet: &Fleet) -> Vec<f64> {
    let fraction = |n: u32| {
        let customer = token::customer_hash(&format!("customer-{n}"));
        let instances = fleet.instances.iter();
        instances.map(|i| refill_fraction(i, customer)).sum()
    };
    (0..19).map(fraction).collect()
}

/// Buckets refill at exactly the rate soon after a start, and never at more than the rate
/// and the eighth that is added to it.
fn check_refill_after_start(fleet: &mut Fleet, start_time: Duration) {
    let started_at = fleet.now;
    while fleet.now < started_at + start_time + ms(2_000) {
        fleet.advance(ms(100));
        let after = fleet.now - started_at;
        let fractions = refill_fractions(fleet);
        for fraction in &fractions {
            assert!(*fraction <= 1.125, "{fraction} of a rate after {after:?}");
            if after > start_time {
                let exact = (fraction - 1.0).abs() < 1e-9;
                assert!(exact, "{fraction} of a rate after {after:?}");
            }
        }
    }
}

#[test]
fn instances_that_start_without_reaching_each_other_refill_no_more_than_each_rate() {
    let counts = [("a", 117), ("b", 117), ("c", 116)];
    let mut fleet = Fleet::new(&counts, config_with(&[600_000.0; 19], 1));
    let until = fleet.now + ms(45_000);
    while fleet.now < until {
        fleet.step(|from, to| from == to);
        for fraction in refill_fractions(&fleet) {
            assert!(
                fraction <= 1.0 + 1e-9,
                "{fraction} of a rate at {:?}",
                fleet.now
            );
        }
    }
}

/// Defines a test that starts a fleet, and then restarts all its instances at once.
macro_rules! refill_test {
    ($name:ident, $counts:expr, $start_time:expr) => {
        #[test]
        fn $name() {
            let rates = [600_000.0; 19];
            let mut fleet = Fleet::new($counts, config_with(&rates, 1));
            check_refill_after_start(&mut fleet, $start_time);
            (0..fleet.instances.len()).for_each(|at| fleet.restart(at));
            check_refill_after_start(&mut fleet, $start_time);
        }
    };
}

refill_test!(six_instances_refill_each_rate_once, SMALL, ms(1_600));
refill_test!(
    seventy_five_instances_refill_each_rate_once,
    &[("a", 25), ("b", 25), ("c", 25)],
    ms(3_000)
);
refill_test!(
    one_hundred_ninety_five_instances_refill_each_rate_once,
    LARGE,
    ms(3_000)
);

#[test]
fn instances_of_the_previous_version_leave_room_for_the_others() {
    let mut fleet = Fleet::new(&[("a", 4), ("b", 4)], config_with(&[600_000.0], 1));
    fleet.advance(ms(10_000));
    for index in [0, 1, 4, 5] {
        fleet.instances[index].previous_version = true;
    }
    fleet.advance(ms(4_000));
    let customer = token::customer_hash("customer-0");
    let fraction: f64 = [2, 3, 6, 7]
        .iter()
        .map(|index| refill_fraction(&fleet.instances[*index], customer))
        .sum();
    // An instance of the previous version divides at least a tenth of each rate equally, so
    // the four new ones get a twentieth.
    assert!(fraction <= 0.05 + 1e-9, "{fraction} of the rate");
    assert!(
        fraction > 0.0,
        "customers are served by the new instances too"
    );
}
