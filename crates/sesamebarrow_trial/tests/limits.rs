//! Tests that instances together keep to the limits that upstreams name, over virtual time, and that planted faults
//! are seen. More seeds: `cargo run --release -p sesamebarrow_trial --example limits -- --seeds 200`.

use sesamebarrow_trial::limits::{self, Experiment, Policy, Report};

/// Part of the limits that must be used while demand exceeds them.
const MIN_USED: f64 = 0.85;

/// Times in seconds within which the instances of a small fleet must keep to a limit, and be free after it.
const MAX_BOUND_AFTER: f64 = 6.0;
const MAX_FREE_AFTER: f64 = 15.0;

const SEEDS: u64 = 4;

fn reports(cfg: &Experiment, policy: Policy) -> Vec<Report> {
    (0..SEEDS)
        .map(|seed| limits::run(cfg, policy, seed))
        .collect()
}

fn check(cfg: &Experiment) {
    for (seed, report) in reports(cfg, Policy::Owner).iter().enumerate() {
        assert!(report.worst_ratio <= 1.0, "seed {seed}: {report:?}");
        assert!(
            report.bound_after <= MAX_BOUND_AFTER,
            "seed {seed}: {report:?}"
        );
        assert!(report.used >= MIN_USED, "seed {seed}: {report:?}");
        let free_after = report.free_after.unwrap_or(f64::INFINITY);
        assert!(free_after <= MAX_FREE_AFTER, "seed {seed}: {report:?}");
    }
}

/// Defines a test that limits are kept and used.
macro_rules! limit_tests {
    ($($name:ident: $cfg:expr;)*) => {$(
        #[test]
        fn $name() {
            check(&$cfg);
        }
    )*};
}

fn small() -> Experiment {
    Experiment::default()
}

fn of_40() -> Experiment {
    Experiment {
        instances: 40,
        upstreams: 12,
        ..small()
    }
}

limit_tests! {
    limits_are_kept_by_8_instances: small();
    limits_are_kept_by_40_instances: of_40();
    limits_are_kept_at_ten_times_the_demand: Experiment { demand: 10.0, ..small() };
    limits_are_kept_under_skewed_demand: Experiment { skew: 10.0, ..small() };
    limits_are_kept_while_messages_are_lost: Experiment { loss: 0.3, ..small() };
    limits_are_kept_while_domains_are_cut_off: Experiment { cut: Some((10.0, 40.0)), ..small() };
    limits_are_kept_if_they_are_named_during_a_cut:
        Experiment { cut: Some((-5.0, 25.0)), ..small() };
    limits_are_kept_while_a_third_restarts: Experiment { restart: Some(20.0), ..of_40() };
    limits_are_kept_while_a_third_restarts_during_a_cut:
        Experiment { cut: Some((10.0, 40.0)), restart: Some(20.0), ..of_40() };
    limits_of_a_quarter_are_kept: Experiment { rate: 0.25, ..of_40() };
    limits_of_20_are_kept: Experiment { rate: 20.0, ..of_40() };
}

/// Defines a test that a planted fault is seen.
macro_rules! fault_tests {
    ($($name:ident: $policy:expr, $sees:expr;)*) => {$(
        #[test]
        fn $name() {
            let reports = reports(&small(), $policy);
            assert!(reports.iter().all($sees), "{reports:?}");
        }
    )*};
}

fn exceeds(report: &Report) -> bool {
    report.worst_ratio > 1.0
}

fault_tests! {
    limits_that_nobody_keeps_are_exceeded: Policy::None, exceeds;
    limits_that_each_instance_keeps_by_itself_are_exceeded: Policy::Instance, exceeds;
    forwarded_requests_without_permits_are_seen: Policy::HopsNotCounted, exceeds;
    limits_that_never_end_are_seen: Policy::NeverEnds, |r| r.free_after.is_none();
}
