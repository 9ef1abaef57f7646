//! Sends load in an open loop and reports the results.
//!
//! Send times are drawn from a seed and do not depend on responses. Latencies count from the
//! time at which a request was due, so they include any delay before it was sent. A slow
//! response neither delays other requests nor hides their latency (no coordinated omission).

mod plan;
mod report;
mod send;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use clap::ArgMatches;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use plan::Plan;
use report::Report;
use send::Sender;

/// Runs the command `load`.
pub async fn run(args: &ArgMatches) -> anyhow::Result<bool> {
    let path = args.get_one::<PathBuf>("plan").context("no plan")?;
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let plan: Plan = toml::from_str(&text).with_context(|| path.display().to_string())?;
    plan.check()?;
    let report = execute(Arc::new(plan)).await?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report.to_json())?);
    } else {
        report.print();
    }
    Ok(true)
}

async fn execute(plan: Arc<Plan>) -> anyhow::Result<Report> {
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for (index, source) in plan.source.iter().enumerate() {
        let key = crate::keys::read_key(&source.key_file)?;
        let sender = Arc::new(Sender::new(source.clone(), key, plan.deadline));
        let arrivals = draw_arrivals(&plan, index);
        for offset in arrivals {
            let sender = sender.clone();
            tasks.spawn(async move {
                let due = start + offset;
                tokio::time::sleep_until(due).await;
                (index, sender.send(due).await)
            });
        }
    }
    let mut report = Report::new(&plan)?;
    while let Some(result) = tasks.join_next().await {
        let (index, sample) = result?;
        report.add(index, &sample)?;
    }
    Ok(report)
}

/// Draws the send times of a source, counted from the start of the run.
///
/// They form a Poisson process whose rate is that of [`plan::Source::rate_at`].
fn draw_arrivals(plan: &Plan, index: usize) -> Vec<Duration> {
    let source = &plan.source[index];
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64));
    let mut arrivals = Vec::new();
    let peak_rate = source.rate * source.peak;
    let mut offset_s = 0.0;
    loop {
        let uniform: f64 = rng.random();
        offset_s -= (1.0 - uniform).ln() / peak_rate;
        if offset_s >= plan.duration.as_secs_f64() {
            return arrivals;
        }
        let rate = source.rate_at(offset_s, plan.duration.as_secs_f64());
        // Thinning: the candidates come at the peak rate, and each is kept with the
        // probability `rate / peak_rate`.
        if rng.random::<f64>() * peak_rate < rate {
            arrivals.push(Duration::from_secs_f64(offset_s));
        }
    }
}
