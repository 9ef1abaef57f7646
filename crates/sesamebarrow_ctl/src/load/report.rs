//! The report of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::plan::Plan;
use super::send::{End, Sample};

/// Longest latency that the histograms tell apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// One source's part of the report.
struct Line {
    name: String,
    entitled: f64,
    sent: u64,
    whole: u64,
    rate_refused: u64,
    refused: u64,
    broken: u64,
}

/// A report.
pub struct Report {
    lines: Vec<Line>,
    first: Histogram<u64>,
    whole: Histogram<u64>,
    seconds: f64,
}

impl Report {
    /// Builds an empty report.
    pub fn new(plan: &Plan) -> anyhow::Result<Self> {
        let lines = plan
            .source
            .iter()
            .map(|source| Line {
                name: source.name.clone(),
                entitled: source.entitled.unwrap_or(f64::INFINITY),
                sent: 0,
                whole: 0,
                rate_refused: 0,
                refused: 0,
                broken: 0,
            })
            .collect();
        Ok(Self {
            lines,
            first: Histogram::new_with_max(LONGEST_MICROS, DIGITS)?,
            whole: Histogram::new_with_max(LONGEST_MICROS, DIGITS)?,
            seconds: plan.duration.as_secs_f64(),
        })
    }

    /// Adds what one request showed.
    pub fn add(&mut self, source: usize, sample: &Sample) -> anyhow::Result<()> {
        let line = &mut self.lines[source];
        line.sent += 1;
        match sample.end {
            End::Whole => {
                line.whole += 1;
                self.first.record(micros(sample.first))?;
                self.whole.record(micros(sample.whole))?;
            }
            End::RateRefused => line.rate_refused += 1,
            End::Refused => line.refused += 1,
            End::Broken => line.broken += 1,
        }
        Ok(())
    }

    /// Returns the least of served to entitled, over all sources.
    fn worst_served(&self) -> f64 {
        self.lines
            .iter()
            .filter(|l| l.sent > 0)
            .map(|l| {
                let entitled = (l.sent as f64).min(l.entitled * self.seconds);
                l.whole as f64 / entitled
            })
            .fold(f64::INFINITY, f64::min)
    }

    /// Prints the report as text.
    pub fn print(&self) {
        for line in &self.lines {
            println!(
                "{}: sent {}, whole {}, refused for rate {}, refused otherwise {}, broken {}",
                line.name, line.sent, line.whole, line.rate_refused, line.refused, line.broken
            );
        }
        for (name, histogram) in [("first byte", &self.first), ("whole answer", &self.whole)] {
            println!(
                "{name}: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
                millis(histogram, 0.5),
                millis(histogram, 0.99),
                millis(histogram, 0.999)
            );
        }
        println!(
            "worst served: {:.3} of its entitlement",
            self.worst_served()
        );
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> Value {
        let sources: Vec<Value> = self
            .lines
            .iter()
            .map(|l| {
                json!({
                    "name": l.name, "sent": l.sent, "whole": l.whole,
                    "rate_refused": l.rate_refused, "refused": l.refused, "broken": l.broken,
                })
            })
            .collect();
        let latency = |h: &Histogram<u64>| {
            json!({
                "p50_ms": millis(h, 0.5), "p99_ms": millis(h, 0.99), "p999_ms": millis(h, 0.999),
            })
        };
        json!({
            "sources": sources,
            "first_byte": latency(&self.first),
            "whole_answer": latency(&self.whole),
            "worst_served": self.worst_served(),
        })
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(LONGEST_MICROS)
        .clamp(1, LONGEST_MICROS)
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
