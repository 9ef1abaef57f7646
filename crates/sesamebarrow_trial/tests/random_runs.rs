//! Randomised simulations with fixed seeds. The example `random_runs` takes any seeds.

use std::time::Duration;

use sesamebarrow_policy::Settings;
use sesamebarrow_trial::{FaultMix, RandomRun};

const RUN_TIME: Duration = Duration::from_secs(40);

fn run(fault_mix: FaultMix, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let violations = RandomRun::new(seed, fault_mix, Settings::default()).run(RUN_TIME);
        assert!(
            violations.is_empty(),
            "seed {seed}, {fault_mix:?}: {violations:#?}"
        );
    }
}

/// Defines a test that runs `$seeds` with the faults in `$fault_mix`.
macro_rules! random_run_test {
    ($name:ident, $seeds:expr, $fault_mix:expr) => {
        #[test]
        fn $name() {
            run($fault_mix, $seeds);
        }
    };
}

random_run_test!(invariants_hold_without_faults, 0..20, FaultMix::default());
random_run_test!(
    invariants_hold_when_messages_are_lost_or_reordered,
    0..40,
    FaultMix {
        messages: true,
        ..FaultMix::default()
    }
);
random_run_test!(
    invariants_hold_when_links_are_cut,
    0..40,
    FaultMix {
        messages: true,
        cuts: true,
        ..FaultMix::default()
    }
);
random_run_test!(
    invariants_hold_when_processes_are_killed_and_restarted,
    0..40,
    FaultMix {
        messages: true,
        kills: true,
        ..FaultMix::default()
    }
);
random_run_test!(
    invariants_hold_when_processes_pause,
    0..40,
    FaultMix {
        messages: true,
        pauses: true,
        ..FaultMix::default()
    }
);
random_run_test!(
    invariants_hold_when_documents_change,
    0..40,
    FaultMix {
        messages: true,
        document_changes: true,
        ..FaultMix::default()
    }
);
random_run_test!(
    invariants_hold_when_upstreams_fail,
    0..40,
    FaultMix {
        upstreams: true,
        messages: true,
        ..FaultMix::default()
    }
);
random_run_test!(
    invariants_hold_under_all_faults_at_once,
    0..100,
    FaultMix::ALL
);
