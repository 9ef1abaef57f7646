//! The report of a load run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::plan::Plan;
use super::send::{Outcome, Sample};

/// Maximum latency that the histograms record, in microseconds; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Number of significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of one source's requests by outcome.
struct SourceCounts {
    name: String,
    entitled: f64,
    sent: u64,
    whole: u64,
    rate_refused: u64,
    refused: u64,
    broken: u64,
}

/// Counts and latencies of a load run.
pub struct Report {
    sources: Vec<SourceCounts>,
    first_byte: Histogram<u64>,
    whole_answer: Histogram<u64>,
    duration_s: f64,
}

impl Report {
    /// Builds an empty report.
    pub fn new(plan: &Plan) -> anyhow::Result<Self> {
        let sources = plan
            .source
            .iter()
            .map(|source| SourceCounts {
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
            sources,
            first_byte: Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)?,
            whole_answer: Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)?,
            duration_s: plan.duration.as_secs_f64(),
        })
    }

    /// Adds the result of one request.
    pub fn add(&mut self, source_index: usize, sample: &Sample) -> anyhow::Result<()> {
        let counts = &mut self.sources[source_index];
        counts.sent += 1;
        match sample.outcome {
            Outcome::Whole => {
                counts.whole += 1;
                self.first_byte.record(micros(sample.until_first_byte))?;
                self.whole_answer.record(micros(sample.until_end))?;
            }
            Outcome::RateRefused => counts.rate_refused += 1,
            Outcome::Refused => counts.refused += 1,
            Outcome::Broken => counts.broken += 1,
        }
        Ok(())
    }

    /// Returns the lowest ratio, over all sources, of whole responses to the requests to which
    /// the source is entitled: its entitled rate times the duration, but no more than it sent.
    fn worst_served(&self) -> f64 {
        self.sources
            .iter()
            .filter(|c| c.sent > 0)
            .map(|c| {
                let entitled = (c.sent as f64).min(c.entitled * self.duration_s);
                c.whole as f64 / entitled
            })
            .fold(f64::INFINITY, f64::min)
    }

    /// Prints the report as text.
    pub fn print(&self) {
        for counts in &self.sources {
            println!(
                "{}: sent {}, whole {}, refused for rate {}, refused otherwise {}, broken {}",
                counts.name,
                counts.sent,
                counts.whole,
                counts.rate_refused,
                counts.refused,
                counts.broken
            );
        }
        for (name, histogram) in [
            ("first byte", &self.first_byte),
            ("whole answer", &self.whole_answer),
        ] {
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
            .sources
            .iter()
            .map(|c| {
                json!({
                    "name": c.name, "sent": c.sent, "whole": c.whole,
                    "rate_refused": c.rate_refused, "refused": c.refused, "broken": c.broken,
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
            "first_byte": latency(&self.first_byte),
            "whole_answer": latency(&self.whole_answer),
            "worst_served": self.worst_served(),
        })
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(MAX_LATENCY_MICROS)
        .clamp(1, MAX_LATENCY_MICROS)
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
