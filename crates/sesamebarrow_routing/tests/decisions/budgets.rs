//! Tests that all instances together stay within the retry budget.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::budget::RetryBudget;
use smol_str::SmolStr;

use crate::fleet::{ms, parameters};

/// Simulates `instances` instances that each receive a request in every `interval` and try to retry
/// it three times. Returns the number of retries that each request got on average.
fn simulate(instances: usize, interval: Duration) -> f64 {
    let limit = parameters().budget;
    let service = SmolStr::new("pay");
    let mut budgets: Vec<_> = (0..instances).map(|_| RetryBudget::new(limit)).collect();
    let mut first_attempts: Vec<Duration> = Vec::new();
    let mut retries: Vec<Duration> = Vec::new();
    let mut rng = StdRng::seed_from_u64(20);
    let mut now = ms(5_000);
    while now < ms(35_000) {
        for budget in &mut budgets {
            budget.record_first_attempt(now, &service, instances);
            first_attempts.push(now);
            retries.extend(
                (0..3)
                    .filter(|_| budget.try_spend(now, &service, instances, rng.random()))
                    .map(|_| now),
            );
        }
        now += interval;
    }
    let within = |list: &[Duration], from: Duration| {
        let window = list
            .iter()
            .filter(|at| **at >= from && **at < from + limit.window);
        window.count() as f64
    };
    for from in (5..25).map(Duration::from_secs) {
        let allowed = limit.ratio * within(&first_attempts, from) + limit.slack;
        let made = within(&retries, from);
        assert!(
            made <= allowed,
            "{made} retries in the window from {from:?}, allowed {allowed}"
        );
    }
    retries.len() as f64 / first_attempts.len() as f64
}

/// Defines a test for a number of instances and the milliseconds between two requests of each. Each
/// request must get `$retries` on average.
macro_rules! budget_test {
    ($name:ident, $instances:expr, $interval_ms:expr, $retries:expr) => {
        #[test]
        fn $name() {
            let retries = simulate($instances, ms($interval_ms));
            assert!(retries >= $retries, "{retries} retries for each request");
        }
    };
}

budget_test!(one_instance_stays_within_the_budget, 1, 20, 0.1);
// Regression test (run trouble-3, seed 257259429039): eight instances exceeded the limit.
budget_test!(eight_instances_stay_within_the_budget, 8, 125, 0.1);
budget_test!(eighty_instances_stay_within_the_budget, 80, 333, 0.1);
budget_test!(
    instances_of_a_large_fleet_stay_within_the_budget,
    350,
    1_000,
    0.1
);
budget_test!(
    instances_of_a_large_fleet_with_few_requests_stay_within_the_budget,
    350,
    9_000,
    0.1
);
