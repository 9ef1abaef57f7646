//! Runs many randomised simulations and prints each seed that violated an invariant.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example random_runs -- --seeds 1000`.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use sesamebarrow_policy::Settings;
use sesamebarrow_trial::{FaultMix, RandomRun};

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn main() -> ExitCode {
    let matches = Command::new("random_runs")
        .arg(number("first", "0", "First seed"))
        .arg(number("seeds", "100", "Number of seeds"))
        .arg(number(
            "seconds",
            "40",
            "Virtual time of each run under faults, in seconds",
        ))
        .get_matches();
    let get = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let time = Duration::from_secs(get("seconds"));
    let mut failed = 0;
    for seed in get("first")..get("first") + get("seeds") {
        let violations = RandomRun::new(seed, FaultMix::ALL, Settings::default()).run(time);
        if !violations.is_empty() {
            failed += 1;
            println!("seed {seed}: {violations:#?}");
        }
    }
    println!("{} runs, {failed} violated an invariant", get("seeds"));
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
