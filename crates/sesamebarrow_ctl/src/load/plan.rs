//! The load plan, which is read from a TOML file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// Maximum number of requests in one run.
const MAX_REQUESTS: f64 = 1_000_000.0;

/// A load plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the random send times.
    pub seed: u64,
    /// Time during which requests are sent.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Deadline of each request.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Sources of requests.
    pub source: Vec<Source>,
}

/// The callers of one customer in one region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Name of the source in the report.
    pub name: String,
    /// File with the customer's key.
    pub key_file: PathBuf,
    /// Address at which the instance that is asked for placements serves callers.
    pub entry: SocketAddr,
    /// Name of the service.
    pub service: String,
    /// Path below the service.
    pub path: String,
    /// Mean requests per second at the time farthest from the peak.
    pub rate: f64,
    /// Rate at the peak as a multiple of `rate`.
    #[serde(default = "no_peak")]
    pub peak: f64,
    /// Time of the peak as a fraction of the duration.
    #[serde(default)]
    pub peak_at: f64,
    /// Length of each prompt in bytes.
    #[serde(default = "default_prompt_bytes")]
    pub prompt_bytes: usize,
    /// Maximum number of tokens in each response.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Requests per second to which the customer is entitled; used only in the report.
    #[serde(default)]
    pub entitled: Option<f64>,
}

fn no_peak() -> f64 {
    1.0
}

fn default_prompt_bytes() -> usize {
    200
}

fn default_max_tokens() -> u64 {
    16
}

impl Source {
    /// Returns the rate in requests per second at `offset_s` seconds of the run.
    ///
    /// It follows one period of a cosine between `rate` and the peak rate.
    pub fn rate_at(&self, offset_s: f64, duration_s: f64) -> f64 {
        let phase = (offset_s / duration_s - self.peak_at) * std::f64::consts::TAU;
        let peak_fraction = (1.0 + phase.cos()) / 2.0;
        self.rate * (1.0 + (self.peak - 1.0) * peak_fraction)
    }
}

impl Plan {
    /// Checks the values, as far as their types do not.
    pub fn check(&self) -> anyhow::Result<()> {
        let mut requests = 0.0;
        for source in &self.source {
            let name = &source.name;
            anyhow::ensure!(
                source.rate > 0.0,
                "source {name}: rate must be greater than 0"
            );
            anyhow::ensure!(source.peak >= 1.0, "source {name}: peak must be at least 1");
            anyhow::ensure!(
                source.entry.ip().is_loopback() || source.rate <= 1000.0,
                "source {name}: rate must be at most 1000 unless entry is a loopback address"
            );
            requests += source.rate * source.peak * self.duration.as_secs_f64();
        }
        anyhow::ensure!(
            requests <= MAX_REQUESTS,
            "the plan may send up to {requests:.0} requests (peak rates times duration); the maximum is {MAX_REQUESTS}"
        );
        Ok(())
    }
}
