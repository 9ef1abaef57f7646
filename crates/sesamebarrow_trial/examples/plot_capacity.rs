//! Plots the results that `capacity --json FILE` has written.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example plot_capacity -- FILE FOLDER`.

use std::path::PathBuf;

use anyhow::Context;
use clap::{Arg, Command, value_parser};
use plotters::prelude::*;
use serde_json::Value;

/// Field, title and limit, if any, of each plot; the limit is drawn as a red line.
const PLOTS: [(&str, &str, Option<f64>); 6] = [
    (
        "heartbeat_bytes",
        "heartbeats, B/s of one instance",
        Some(6000.0),
    ),
    (
        "platform_bytes",
        "read from the platform, B/s of one instance",
        Some(6000.0),
    ),
    ("platform_calls", "platform calls/s of the fleet", None),
    (
        "busy_percent",
        "policy, % of a core of one instance",
        Some(2.0),
    ),
    (
        "most_busy_percent",
        "policy, % of a core, busiest instance",
        Some(2.0),
    ),
    ("memory", "policy state, MiB of one instance", None),
];

const SIZE_PIXELS: (u32, u32) = (480, 320);

fn draw_plot(
    rows: &[Value],
    plot: (&str, &str, Option<f64>),
    path: &PathBuf,
) -> anyhow::Result<()> {
    let (field, title, limit) = plot;
    let points: Vec<(f64, f64)> = rows
        .iter()
        .filter_map(|r| Some((r["instances"].as_f64()?, r[field].as_f64()?)))
        .collect();
    let largest = points
        .iter()
        .map(|p| p.1)
        .fold(limit.unwrap_or(0.0), f64::max);
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 15))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..400.0, 0.0..largest * 1.1)?;
    chart.configure_mesh().x_desc("instances").draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, BLUE.filled())))?;
    if let Some(limit) = limit {
        chart.draw_series(LineSeries::new([(0.0, limit), (400.0, limit)], &RED))?;
    }
    root.present()?;
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let path = |name: &'static str| {
        Arg::new(name)
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    let matches = Command::new("plot_capacity")
        .arg(path("file"))
        .arg(path("folder"))
        .get_matches();
    let file = matches.get_one::<PathBuf>("file").context("no file")?;
    let folder = matches.get_one::<PathBuf>("folder").context("no folder")?;
    let rows: Vec<Value> = serde_json::from_slice(&std::fs::read(file)?)?;
    std::fs::create_dir_all(folder)?;
    for plot in PLOTS {
        draw_plot(&rows, plot, &folder.join(format!("{}.svg", plot.0)))?;
    }
    Ok(())
}
