//! The plan of a load, from a TOML file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// Most requests of one run.
const MAX_REQUESTS: f64 = 1_000_000.0;

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all draws.
    pub seed: u64,
    /// How long requests are sent.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Deadline of each request.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Where requests come from.
    pub source: Vec<Source>,
}

/// One customer's callers in one region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Name in the report.
    pub name: String,
    /// File with the customer's key.
    pub key_file: PathBuf,
    /// Callers' address of the instance that is asked for placements.
    pub entry: SocketAddr,
    /// Service.
    pub service: String,
    /// Path below the service.
    pub path: String,
    /// Mean requests per second outside the peak.
    pub rate: f64,
    /// Factor of the rate at the peak.
    #[serde(default = "no_peak")]
    pub peak: f64,
    /// Middle of the peak, as a share of the duration.
    #[serde(default)]
    pub peak_at: f64,
    /// Bytes of a prompt.
    #[serde(default = "default_prompt")]
    pub prompt_bytes: usize,
    /// Tokens of an answer.
    #[serde(default = "default_tokens")]
    pub max_tokens: u64,
    /// Requests per second to which the customer is entitled, for the report.
    #[serde(default)]
    pub entitled: Option<f64>,
}

fn no_peak() -> f64 {
    1.0
}

fn default_prompt() -> usize {
    200
}

fn default_tokens() -> u64 {
    16
}

impl Source {
    /// Returns the rate at `at` seconds of `duration`: a smooth peak around its middle.
    pub fn rate_at(&self, at: f64, duration: f64) -> f64 {
        let turn = (at / duration - self.peak_at) * std::f64::consts::TAU;
        let height = (1.0 + turn.cos()) / 2.0;
        self.rate * (1.0 + (self.peak - 1.0) * height)
    }
}

impl Plan {
    /// Checks what the types do not.
    pub fn check(&self) -> anyhow::Result<()> {
        let mut requests = 0.0;
        for source in &self.source {
            let name = &source.name;
            anyhow::ensure!(
                source.rate > 0.0,
                "source {name}: rate: expected more than 0"
            );
            anyhow::ensure!(
                source.peak >= 1.0,
                "source {name}: peak: expected 1 or more"
            );
            anyhow::ensure!(
                source.entry.ip().is_loopback() || source.rate <= 1000.0,
                "source {name}: rate: expected 1000 at most beyond loopback"
            );
            requests += source.rate * source.peak * self.duration.as_secs_f64();
        }
        anyhow::ensure!(
            requests <= MAX_REQUESTS,
            "expected {MAX_REQUESTS} requests at most, the plan has {requests}"
        );
        Ok(())
    }
}
