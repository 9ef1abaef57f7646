//! Random runs with fixed seeds; `examples/storm.rs` takes more of them.

use std::time::Duration;

use sesamebarrow_policy::Settings;
use sesamebarrow_trial::{Mix, Storm};

const TIME: Duration = Duration::from_secs(40);

fn run(mix: Mix, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let broken = Storm::new(seed, mix, Settings::default()).run(TIME);
        assert!(broken.is_empty(), "seed {seed}, {mix:?}: {broken:#?}");
    }
}

/// Names a case by its faults.
macro_rules! storm {
    ($name:ident, $seeds:expr, $mix:expr) => {
        #[test]
        fn $name() {
            run($mix, $seeds);
        }
    };
}

storm!(promises_hold_in_calm, 0..20, Mix::default());
storm!(
    promises_hold_when_messages_go_astray,
    0..40,
    Mix {
        messages: true,
        ..Mix::default()
    }
);
storm!(
    promises_hold_when_links_are_cut,
    0..40,
    Mix {
        messages: true,
        cuts: true,
        ..Mix::default()
    }
);
storm!(
    promises_hold_when_processes_are_replaced,
    0..40,
    Mix {
        messages: true,
        kills: true,
        ..Mix::default()
    }
);
storm!(
    promises_hold_when_processes_pause,
    0..40,
    Mix {
        messages: true,
        pauses: true,
        ..Mix::default()
    }
);
storm!(
    promises_hold_when_rules_change,
    0..40,
    Mix {
        messages: true,
        changes: true,
        ..Mix::default()
    }
);
storm!(
    promises_hold_when_upstreams_fail,
    0..40,
    Mix {
        upstreams: true,
        messages: true,
        ..Mix::default()
    }
);
storm!(promises_hold_under_all_faults_at_once, 0..100, Mix::ALL);
