//! Sends load in an open loop and reports.
//!
//! Arrivals are drawn beforehand from a seed and latencies are counted from the moment
//! at which a request should have been sent, so that a slow answer delays no other
//! request and hides none.

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

/// Runs `load`.
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
    let began = Instant::now();
    for (index, source) in plan.source.iter().enumerate() {
        let key = crate::keys::read_key(&source.key_file)?;
        let sender = Arc::new(Sender::new(source.clone(), key, plan.deadline));
        let arrivals = draw_arrivals(&plan, index);
        for at in arrivals {
            let sender = sender.clone();
            tasks.spawn(async move {
                let due = began + at;
                tokio::time::sleep_until(due).await;
                (index, sender.send(due).await)
            });
        }
    }
    let mut report = Report::new(&plan)?;
    while let Some(done) = tasks.join_next().await {
        let (index, sample) = done?;
        report.add(index, &sample)?;
    }
    Ok(report)
}

/// Draws the arrivals of a source: a Poisson process whose rate follows the peaks.
fn draw_arrivals(plan: &Plan, index: usize) -> Vec<Duration> {
    let source = &plan.source[index];
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64));
    let mut arrivals = Vec::new();
    let peak = source.rate * source.peak;
    let mut at = 0.0;
    loop {
        let draw: f64 = rng.random();
        at -= (1.0 - draw).ln() / peak;
        if at >= plan.duration.as_secs_f64() {
            return arrivals;
        }
        let wanted = source.rate_at(at, plan.duration.as_secs_f64());
        // Thinning turns arrivals at the peak's rate into arrivals at the wanted one.
        if rng.random::<f64>() * peak < wanted {
            arrivals.push(Duration::from_secs_f64(at));
        }
    }
}
