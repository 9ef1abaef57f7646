//! Measures how many upstreams crash under harmful requests, by fleet size and policy.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example containment`. It prints one table;
//! `--csv FILE` also writes each run, `--seeds N` sets the seeds of each row, `--only TEXT` selects rows whose
//! names contain it.

use anyhow::Context;
use clap::{Arg, Command};
use sesamebarrow_trial::containment::{self, Experiment, Harm, Policy, Report};
use strum::IntoEnumIterator;

fn main() -> anyhow::Result<()> {
    let matches = Command::new("containment")
        .about("Measures the containment of requests that crash upstreams")
        .arg(Arg::new("csv").long("csv").value_name("FILE"))
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("TEXT")
                .default_value(""),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("20")
                .value_parser(clap::value_parser!(u64)),
        )
        .get_matches();
    let seeds: u64 = matches.get_one("seeds").copied().context("no seeds")?;
    let only = matches.get_one::<String>("only").context("no filter")?;
    let mut csv = vec![
        "row,policy,seed,crashes,late,before,meanwhile,after,refused,wrong_s,bytes_per_s,entries"
            .to_owned(),
    ];
    println!(
        "| row | policy | crashes p50 / p99 / worst | late worst | served before, meanwhile, after | \
         wrongly refused | wrong order s | B/s | entries |\n|---|---|---|---|---|---|---|---|---|"
    );
    for (name, cfg, policy) in rows() {
        if !format!("{name} {policy}").contains(only.as_str()) {
            continue;
        }
        let run = |seed| containment::run(&cfg, policy, seed);
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

/// Returns the experiment of a fleet of a given size.
fn sized(instances: usize, upstreams: usize, batch: usize) -> Experiment {
    // CAST: small numbers. Fills two thirds of the slots, but sends no more than a simulation bears.
    let sound_per_s = (upstreams as f64 * batch as f64 * 0.6).min(1_500.0);
    Experiment {
        instances,
        upstreams,
        batch,
        sound_per_s,
        ..Experiment::default()
    }
}

fn rows() -> Vec<(String, Experiment, Policy)> {
    let mut rows = Vec::new();
    let small = sized(8, 18, 16);
    for policy in Policy::iter() {
        rows.push(("8 instances".into(), small.clone(), policy));
    }
    for (instances, upstreams, batch) in [
        (6, 12, 128),
        (117, 140, 24),
        (195, 118, 24),
        (350, 3_000, 8),
    ] {
        let cfg = sized(instances, upstreams, batch);
        rows.push((format!("{instances} instances"), cfg, Policy::Fleet));
    }
    let mut add = |name: &str, cfg: Experiment| rows.push((name.into(), cfg, Policy::Fleet));
    for loss in [0.1, 0.3] {
        let cfg = Experiment {
            loss,
            ..small.clone()
        };
        add(&format!("8 instances, loss {loss}"), cfg);
        let cfg = Experiment {
            loss,
            ..sized(195, 118, 24)
        };
        add(&format!("195 instances, loss {loss}"), cfg);
    }
    for position in [0, 2] {
        let cfg = Experiment {
            position,
            ..small.clone()
        };
        add(&format!("8 instances, position {position}"), cfg);
    }
    for harmful_per_s in [0.1, 0.5, 20.0] {
        let cfg = Experiment {
            harmful_per_s,
            seconds: 120.0,
            harmful_spans: vec![(0.0, 120.0)],
            ..small.clone()
        };
        add(&format!("8 instances, {harmful_per_s} a second"), cfg);
    }
    let spans = vec![(0.0, 10.0), (70.0, 120.0)];
    let cfg = Experiment {
        harmful_spans: spans,
        seconds: 120.0,
        ..small.clone()
    };
    add("8 instances, comes back after a minute", cfg);
    let cfg = Experiment {
        cut: Some((0.0, 30.0)),
        ..small.clone()
    };
    add("8 instances, cut for 30 s", cfg);
    let cfg = Experiment {
        cut: Some((0.0, 30.0)),
        ..sized(195, 118, 24)
    };
    add("195 instances, cut for 30 s", cfg);
    let cfg = Experiment {
        restart: Some(15.0),
        ..small.clone()
    };
    add("8 instances, a third restarts", cfg);
    for own_crashes_per_min in [1.0, 5.0, 60.0] {
        let cfg = Experiment {
            own_crashes_per_min,
            harmful_spans: Vec::new(),
            seconds: 120.0,
            ..small.clone()
        };
        add(
            &format!("8 instances, only {own_crashes_per_min} own crashes a minute"),
            cfg,
        );
        let cfg = Experiment {
            own_crashes_per_min,
            harmful_spans: Vec::new(),
            seconds: 120.0,
            ..sized(195, 118, 24)
        };
        add(
            &format!("195 instances, only {own_crashes_per_min} own crashes a minute"),
            cfg,
        );
    }
    rows.extend(repeated_rows());
    rows
}

/// Returns the rows of harmful requests that come again, beside sound ones that do as well.
fn repeated_rows() -> Vec<(String, Experiment, Policy)> {
    let repeated = |harm, cfg: Experiment| Experiment {
        harm,
        repeated_reads: 20,
        harmful_per_s: 2.0,
        ..cfg
    };
    let small = || sized(8, 18, 16);
    let one = repeated(Harm::Requests(1), small());
    let mut rows = Vec::new();
    for policy in [
        Policy::Fleet,
        Policy::Instance,
        Policy::None,
        Policy::NoAcquittal,
    ] {
        rows.push(("repeated request, 8 instances".into(), one.clone(), policy));
    }
    let mut add = |name: &str, cfg: Experiment| {
        rows.push((format!("repeated request, {name}"), cfg, Policy::Fleet));
    };
    let few = Experiment {
        sound_per_s: 8.0,
        ..repeated(Harm::Requests(1), sized(8, 3, 6))
    };
    add("8 instances, 3 upstreams", few);
    for harmful_per_s in [0.05, 20.0] {
        let cfg = Experiment {
            harmful_per_s,
            harmful_spans: vec![(0.0, 200.0)],
            seconds: 200.0,
            ..one.clone()
        };
        add(&format!("8 instances, {harmful_per_s} a second"), cfg);
    }
    add(
        "8 instances, loss 0.3",
        Experiment {
            loss: 0.3,
            ..one.clone()
        },
    );
    let cut = Some((0.0, 30.0));
    add(
        "8 instances, cut for 30 s",
        Experiment { cut, ..one.clone() },
    );
    let restart = Some(15.0);
    add(
        "8 instances, a third restarts",
        Experiment {
            restart,
            ..one.clone()
        },
    );
    add(
        "8 instances, with a prompt",
        repeated(Harm::Prompts(1), small()),
    );
    for requests in [5, 100] {
        let cfg = Experiment {
            harmful_per_s: 5.0,
            ..repeated(Harm::Requests(requests), small())
        };
        add(&format!("8 instances, {requests} different ones"), cfg);
    }
    for (instances, upstreams, batch) in [(117, 140, 24), (195, 118, 24), (350, 3_000, 8)] {
        let cfg = Experiment {
            repeated_reads: 200,
            ..repeated(Harm::Requests(1), sized(instances, upstreams, batch))
        };
        add(&format!("{instances} instances"), cfg);
    }
    rows
}

fn csv_line(name: &str, policy: Policy, seed: usize, r: &Report) -> String {
    format!(
        "{name},{policy},{seed},{},{},{:.4},{:.4},{:.4},{},{:.1},{:.1},{}",
        r.crashes,
        r.late,
        r.before.fraction(),
        r.meanwhile.fraction(),
        r.after.fraction(),
        r.wrongly_refused,
        r.longest_wrong.as_secs_f64(),
        r.bytes_per_s,
        r.max_entries,
    )
}

fn table_line(name: &str, policy: Policy, reports: &[Report]) -> String {
    let mut crashes: Vec<u64> = reports.iter().map(|r| r.crashes).collect();
    crashes.sort_unstable();
    let at = |part: f64| crashes[((crashes.len() - 1) as f64 * part).round() as usize];
    let worst = |f: fn(&Report) -> f64| reports.iter().map(f).fold(0.0, f64::max);
    let mean = |f: fn(&Report) -> f64| reports.iter().map(f).sum::<f64>() / reports.len() as f64;
    format!(
        "| {name} | {policy} | {} / {} / {} | {} | {:.3}, {:.3}, {:.3} | {} | {:.1} | {:.0} | {} |",
        at(0.5),
        at(0.99),
        at(1.0),
        worst(|r| r.late as f64),
        mean(|r| r.before.fraction()),
        mean(|r| r.meanwhile.fraction()),
        mean(|r| r.after.fraction()),
        reports.iter().map(|r| r.wrongly_refused).sum::<u64>(),
        worst(|r| r.longest_wrong.as_secs_f64()),
        mean(|r| r.bytes_per_s),
        worst(|r| r.max_entries as f64),
    )
}
