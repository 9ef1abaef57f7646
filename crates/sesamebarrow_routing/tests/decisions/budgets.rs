//! Tests that all instances together stay within the retry budget.

use std::time::Duration;

use sesamebarrow_routing::budget::RetryBudget;
use smol_str::SmolStr;

use crate::fleet::{ms, parameters};

/// Simulates `instances` instances that each receive `requests_per_s` requests per second
/// and try to retry each one three times.
fn simulate(instances: usize, requests_per_s: u64) {
    let limit = parameters().budget;
    let service = SmolStr::new("pay");
    let mut budgets: Vec<_> = (0..instances).map(|_| RetryBudget::new(limit)).collect();
    let mut first_attempts: Vec<Duration> = Vec::new();
    let mut retries: Vec<Duration> = Vec::new();
    let interval = Duration::from_secs(1) / u32::try_from(requests_per_s).expect("small");
    let mut now = ms(5_000);
    while now < ms(35_000) {
        for budget in &mut budgets {
            budget.record_first_attempt(now, &service, instances);
            first_attempts.push(now);
            retries.extend(
                (0..3)
                    .filter(|_| budget.try_spend(now, &service, instances))
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
}

/// Defines a test for a number of instances.
macro_rules! budget_test {
    ($name:ident, $instances:expr, $requests_per_s:expr) => {
        #[test]
        fn $name() {
            simulate($instances, $requests_per_s);
        }
    };
}

budget_test!(one_instance_stays_within_the_budget, 1, 50);
// Regression test (run trouble-3, seed 257259429039): eight instances exceeded the limit.
budget_test!(eight_instances_stay_within_the_budget, 8, 8);
budget_test!(eighty_instances_stay_within_the_budget, 80, 3);
