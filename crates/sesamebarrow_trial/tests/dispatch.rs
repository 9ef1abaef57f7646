//! Tests of what callers get under the loads that `sesamebarrow_routing::dispatch` is meant for, beside the
//! decision of an instance by itself, which here even knows the exact load of all.

#[path = "dispatch/play.rs"]
mod play;

use play::{DIGEST, Decider, Kind, Load, QUERY, Served, play};

fn both(load: &Load) -> (Vec<Served>, Vec<Served>) {
    let dispatched = play(load.clone(), Decider::Dispatcher);
    let soonest = play(load.clone(), Decider::Soonest);
    println!(
        "seed {}: dispatched {dispatched:?}\n  soonest {soonest:?}",
        load.seed
    );
    (dispatched, soonest)
}

/// Defines a test of a load, for several seeds.
macro_rules! load_test {
    ($name:ident, $load:expr, |$played:ident, $dispatched:ident, $soonest:ident| $check:block) => {
        #[test]
        fn $name() {
            for seed in 1..=3 {
                let $played: Load = Load { seed, ..$load };
                let ($dispatched, $soonest) = both(&$played);
                $check
            }
        }
    };
}

fn paused(served: &[Served]) -> u32 {
    served.iter().map(|s| s.paused).sum()
}

fn in_time(served: &[Served]) -> u32 {
    served.iter().map(|s| s.in_time).sum()
}

load_test!(
    prompts_that_keep_arriving_do_not_hold_up_running_streams,
    Load::default(),
    |_load, dispatched, soonest| {
        assert!(paused(&dispatched) * 3 <= paused(&soonest));
        assert!(in_time(&dispatched) >= in_time(&soonest));
    }
);

load_test!(
    the_urgent_kind_is_served_when_patient_requests_come_in_a_burst,
    Load {
        kinds: vec![
            DIGEST,
            Kind {
                rate: 200.0,
                ..QUERY
            }
        ],
        ..Load::default()
    },
    |_load, dispatched, soonest| {
        let (urgent, patient) = (dispatched[0], dispatched[1]);
        assert!(urgent.in_time_ratio() > soonest[0].in_time_ratio());
        assert!(
            urgent.served_ratio() + 0.05 >= patient.served_ratio(),
            "{dispatched:?}"
        );
        assert!(
            patient.served_ratio() >= urgent.served_ratio() / 4.0,
            "starved: {dispatched:?}"
        );
    }
);

load_test!(
    more_is_served_in_time_although_engines_differ_in_speed,
    Load {
        slowness: vec![1.0, 1.0, 1.3, 1.0, 1.0, 2.0, 1.0, 1.0],
        ..Load::default()
    },
    |_load, dispatched, soonest| {
        assert!(in_time(&dispatched) > in_time(&soonest));
        assert!(paused(&dispatched) * 3 <= paused(&soonest));
    }
);

load_test!(
    refused_callers_that_come_back_as_told_are_served_more_often,
    Load {
        kinds: vec![
            DIGEST,
            Kind {
                rate: 160.0,
                ..QUERY
            }
        ],
        seconds: 4.0,
        ..Load::default()
    },
    |load, dispatched, _soonest| {
        let load = Load {
            comeback_ms: Some(200.0),
            ..load
        };
        let at_once = play(load, Decider::Dispatcher);
        println!("all back after 200 ms: {at_once:?}");
        assert!(dispatched[1].refused_again < at_once[1].refused_again);
    }
);
