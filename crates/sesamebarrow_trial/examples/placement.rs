//! Runs the prompt placement experiments with each policy and the same seeds.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example placement`. It prints the results;
//! `--csv FILE` also writes them as CSV, and `--seeds N` runs N seeds instead of one.

use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::{Arg, Command};
use sesamebarrow_trial::placement::{self, Experiment, Policy, Report};

const POLICIES: [Policy; 3] = [
    Policy::Gateway,
    Policy::LeastOutstanding,
    Policy::RoundRobin,
];

fn main() -> anyhow::Result<()> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
    let matches = Command::new("placement")
        .about("Runs the prompt placement experiments")
        .arg(
            Arg::new("folder")
                .default_value(folder)
                .help("Folder of experiments in TOML"),
        )
        .arg(Arg::new("csv").long("csv").value_name("FILE"))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(clap::value_parser!(u64)),
        )
        .get_matches();
    let folder = matches.get_one::<String>("folder").context("no folder")?;
    let seeds = matches.get_one("seeds").copied().unwrap_or(1);
    let mut csv_lines = vec![
        "experiment,policy,seed,asked,on_time,began_late,paused,refused,read_m,reread_m,first_p50,first_p99"
            .to_owned(),
    ];
    for path in experiment_files(Path::new(folder))? {
        let text = std::fs::read_to_string(&path)?;
        let cfg: Experiment = toml::from_str(&text).with_context(|| path.display().to_string())?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        for policy in POLICIES {
            for seed in 0..seeds {
                let report = placement::run(&cfg, policy, seed);
                csv_lines.push(csv_line(&name, policy, seed, &report));
                print_report(&name, policy, seed, &report);
            }
        }
    }
    if let Some(path) = matches.get_one::<String>("csv") {
        std::fs::write(path, csv_lines.join("\n") + "\n")?;
    }
    Ok(())
}

fn experiment_files(folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "toml") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn csv_line(name: &str, policy: Policy, seed: u64, r: &Report) -> String {
    format!(
        "{name},{policy},{seed},{},{},{},{},{},{:.3},{:.3},{:.1},{:.1}",
        r.asked,
        r.on_time,
        r.began_late,
        r.paused,
        r.refused,
        r.prefilled_mtokens,
        r.repeated_prefill_mtokens,
        r.first_p50_ms,
        r.first_p99_ms
    )
}

fn print_report(name: &str, policy: Policy, seed: u64, r: &Report) {
    let percent = |n: u64| 100.0 * n as f64 / r.asked.max(1) as f64;
    println!(
        "{name:<10} {policy:<18} seed {seed}: {:>5} asked, {:>5.1}% on time, {:>5.1}% began late, \
         {:>5.1}% paused, {:>5.1}% refused; {:>5.1}M read, {:>5.1}M again; first p50 {:>5.0} p99 {:>5.0} ms",
        r.asked,
        percent(r.on_time),
        percent(r.began_late),
        percent(r.paused),
        percent(r.refused),
        r.prefilled_mtokens,
        r.repeated_prefill_mtokens,
        r.first_p50_ms,
        r.first_p99_ms,
    );
}
