//! Compares the gateway's choice of upstreams with baselines in a region at its peak load.

use sesamebarrow_trial::engine::{Engine, Event, Settings};
use sesamebarrow_trial::placement::{self, Experiment, Policy, Report};

fn peak_experiment() -> Experiment {
    let text = include_str!("../experiments/peak.toml");
    let cfg: Experiment = toml::from_str(text).expect("peak.toml is a valid experiment");
    Experiment {
        instances: 5,
        upstreams: 12,
        seconds: 4,
        ..cfg
    }
}

fn on_time_ratio(report: &Report) -> f64 {
    report.on_time as f64 / report.asked as f64
}

#[test]
fn gateway_serves_peak_better_than_both_baselines() {
    let cfg = peak_experiment();
    let gateway = placement::run(&cfg, Policy::Gateway, 1);
    for baseline in [Policy::LeastOutstanding, Policy::RoundRobin] {
        let report = placement::run(&cfg, baseline, 1);
        assert!(
            on_time_ratio(&gateway) > on_time_ratio(&report),
            "{gateway:?} against {baseline}: {report:?}"
        );
    }
    // The users accept at most 60 refused or failed requests of 100.
    assert!(on_time_ratio(&gateway) > 0.4, "{gateway:?}");
}

/// Part of the answers that may be late for a limited upstream, beside one that is away.
const LIMITED_TOLERANCE: f64 = 0.01;

#[test]
fn limited_upstream_costs_callers_no_more_than_one_that_is_away() {
    let text = include_str!("../experiments/limited.toml");
    let cfg: Experiment = toml::from_str(text).expect("limited.toml is a valid experiment");
    let away = Experiment {
        upstreams: cfg.upstreams - 1,
        load: cfg.load * cfg.upstreams as f64 / (cfg.upstreams - 1) as f64,
        limits: Vec::new(),
        ..cfg.clone()
    };
    let limited = placement::run(&cfg, Policy::Gateway, 1);
    let away = placement::run(&away, Policy::Gateway, 1);
    assert!(
        on_time_ratio(&limited) >= on_time_ratio(&away) - LIMITED_TOLERANCE,
        "{limited:?} against {away:?}"
    );
}

#[test]
fn same_seed_gives_same_report() {
    let cfg = peak_experiment();
    let run = || placement::run(&cfg, Policy::Gateway, 2);
    assert_eq!(run(), run());
}

#[test]
fn idle_engine_answers_at_configured_speed() {
    let cfg = Settings::default();
    let mut engine = Engine::new(cfg);
    assert!(engine.enqueue(0.0, 1, &[], (9_180, 80)));
    let mut events = Vec::new();
    engine.run_until(2_000.0, &mut events);
    let Some(Event::Done {
        first_event_ms,
        longest_pause_ms,
        ..
    }) = events.last()
    else {
        panic!("{events:?}");
    };
    // 53 ms until the request takes a slot, 100 ms of prefill and ten steps of 4 ms: three for
    // the prefill, of which the last generates the first token, and one for each of the seven
    // other tokens of the first event.
    assert!(
        (180.0..=205.0).contains(first_event_ms),
        "{first_event_ms} ms"
    );
    assert!(
        (30.0..=40.0).contains(longest_pause_ms),
        "{longest_pause_ms} ms"
    );
}
