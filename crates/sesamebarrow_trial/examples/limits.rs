//! Measures how instances share the limits that upstreams name, by fleet size and policy.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example limits`. It prints one table; `--csv FILE` also
//! writes each run, `--seeds N` sets the seeds of each row, `--only TEXT` selects rows whose names contain it.

use anyhow::Context;
use clap::{Arg, Command};
use sesamebarrow_trial::limits::{self, Experiment, Policy, Report};
use strum::IntoEnumIterator;

fn main() -> anyhow::Result<()> {
    let only = Arg::new("only").long("only").value_name("TEXT");
    let seeds = Arg::new("seeds").long("seeds").value_name("N");
    let matches = Command::new("limits")
        .about("Measures how instances share the limits that upstreams name")
        .arg(Arg::new("csv").long("csv").value_name("FILE"))
        .arg(only.default_value(""))
        .arg(
            seeds
                .default_value("20")
                .value_parser(clap::value_parser!(u64)),
        )
        .get_matches();
    let seeds: u64 = matches.get_one("seeds").copied().context("no seeds")?;
    let only = matches.get_one::<String>("only").context("no filter")?;
    let mut csv = vec![
        "row,policy,seed,worst_ratio,bound_after_s,used,used_worst,served,in_vain,free_after_s,bytes_per_s,states"
            .to_owned(),
    ];
    println!(
        "| row | policy | worst ratio | within bound after s | used, worst 10 s | served | came back in vain \
         | free after s | B/s | states |\n|---|---|---|---|---|---|---|---|---|---|"
    );
    for (name, cfg, policy) in rows() {
        if !format!("{name} {policy}").contains(only.as_str()) {
            continue;
        }
        let run = |seed| limits::run(&cfg, policy, seed);
        let reports: Vec<Report> = (0..seeds).map(run).collect();
        for (seed, r) in reports.iter().enumerate() {
            csv.push(csv_line(&name, policy, seed, r));
        }
        println!("{}", table_line(&name, policy, &reports));
    }
    if let Some(path) = matches.get_one::<String>("csv") {
        std::fs::write(path, csv.join("\n") + "\n")?;
    }
    Ok(())
}

fn rows() -> Vec<(String, Experiment, Policy)> {
    let mut rows = Vec::new();
    let small = Experiment::default();
    for policy in Policy::iter() {
        rows.push(("8 instances".to_owned(), small.clone(), policy));
    }
    let large = Experiment {
        instances: 117,
        upstreams: 12,
        ..small.clone()
    };
    for policy in [Policy::None, Policy::Instance, Policy::EqualPart] {
        rows.push(("117 instances".to_owned(), large.clone(), policy));
    }
    for (instances, upstreams) in [(6, 12), (117, 140), (195, 124), (350, 3_000)] {
        for (rate, limited) in [
            (0.25, 1.0),
            (1.0, 0.0),
            (1.0, 0.1),
            (10.0, 0.1),
            (100.0, 0.0),
        ] {
            let cfg = Experiment {
                instances,
                upstreams,
                rate,
                limited,
                ..small.clone()
            };
            let part = match limited {
                0.0 => "one limited".to_owned(),
                part => format!("{:.0}% limited", part * 100.0),
            };
            let name = format!("{instances} instances, {upstreams} upstreams, {part}, {rate}/s");
            rows.push((name, cfg, Policy::Owner));
        }
    }
    rows.extend(
        faults(&small)
            .into_iter()
            .map(|(name, cfg)| (format!("8 instances, {name}"), cfg, Policy::Owner)),
    );
    rows.extend(
        faults(&large)
            .into_iter()
            .map(|(name, cfg)| (format!("117 instances, {name}"), cfg, Policy::Owner)),
    );
    rows
}

/// Returns variants of an experiment with different demand, and with faults.
fn faults(cfg: &Experiment) -> Vec<(String, Experiment)> {
    let mut list = Vec::new();
    for demand in [0.5, 1.0, 10.0] {
        let cfg = Experiment {
            demand,
            ..cfg.clone()
        };
        list.push((format!("demand {demand}"), cfg));
    }
    for loss in [0.1, 0.3] {
        let cfg = Experiment {
            loss,
            ..cfg.clone()
        };
        list.push((format!("loss {loss}"), cfg));
    }
    let skewed = Experiment {
        skew: 10.0,
        ..cfg.clone()
    };
    let cut = Experiment {
        cut: Some((10.0, 40.0)),
        ..cfg.clone()
    };
    let cut_before = Experiment {
        cut: Some((-5.0, 25.0)),
        ..cfg.clone()
    };
    let restart = Experiment {
        restart: Some(20.0),
        ..cfg.clone()
    };
    let all = Experiment {
        loss: 0.1,
        restart: Some(20.0),
        ..cut.clone()
    };
    list.push(("skew 10".to_owned(), skewed));
    list.push(("cut for 30 s".to_owned(), cut));
    list.push(("cut before the naming".to_owned(), cut_before));
    list.push(("a third restarts".to_owned(), restart.clone()));
    let region = Experiment {
        restarts_region: true,
        ..restart
    };
    list.push(("cut, loss 0.1, a third restarts".to_owned(), all));
    list.push(("a whole region restarts".to_owned(), region));
    list
}

fn max(reports: &[Report], value: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(value).fold(0.0, f64::max)
}

fn mean(reports: &[Report], value: impl Fn(&Report) -> f64) -> f64 {
    // CAST: the number of seeds is small.
    reports.iter().map(value).sum::<f64>() / reports.len().max(1) as f64
}

fn served(r: &Report) -> f64 {
    // CAST: small numbers.
    r.served as f64 / r.requests.max(1) as f64
}

fn in_vain(r: &Report) -> f64 {
    // CAST: small numbers.
    r.in_vain as f64 / r.requests.max(1) as f64
}

fn table_line(name: &str, policy: Policy, reports: &[Report]) -> String {
    let free = match reports.iter().all(|r| r.free_after.is_some()) {
        true => format!("{:.1}", max(reports, |r| r.free_after.unwrap_or_default())),
        false => "not seen".to_owned(),
    };
    format!(
        "| {name} | {policy} | {:.2} | {:.1} | {:.2}, {:.2} | {:.2} | {:.2} | {free} | {:.0} | {} |",
        max(reports, |r| r.worst_ratio),
        max(reports, |r| r.bound_after),
        mean(reports, |r| r.used),
        mean(reports, |r| r.used_worst),
        mean(reports, served),
        mean(reports, in_vain),
        mean(reports, |r| r.bytes_per_s),
        reports.iter().map(|r| r.states).max().unwrap_or_default(),
    )
}

fn csv_line(name: &str, policy: Policy, seed: usize, r: &Report) -> String {
    let free = r
        .free_after
        .map_or("none".to_owned(), |s| format!("{s:.2}"));
    format!(
        "{name},{policy},{seed},{:.3},{:.2},{:.3},{:.3},{},{},{free},{:.1},{}",
        r.worst_ratio,
        r.bound_after,
        r.used,
        r.used_worst,
        r.served,
        r.in_vain,
        r.bytes_per_s,
        r.states
    )
}
