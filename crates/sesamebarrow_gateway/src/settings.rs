//! Settings of one process, from a TOML file.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::{budget, cold, quota};
use smol_str::SmolStr;

/// The settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no TOML, or a field is unknown, missing or of the wrong kind.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// A field has a value that cannot be used.
    #[error("{field}: {expected}")]
    Value {
        /// The field's path.
        field: &'static str,
        /// What was expected.
        expected: String,
    },
}

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Address at which instances reach this one.
    pub ip: Ipv4Addr,
    /// Some instances to ask first; they may be gone. Only the address counts.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Region of each failure domain.
    pub domains: HashMap<SmolStr, SmolStr>,
    /// Where to listen.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Bounds that hold for all instances together.
    pub limits: Limits,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Where to listen. Instances use the same ports everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The readiness check.
    pub ready: SocketAddr,
    /// The callers' directory.
    pub directory: SocketAddr,
    /// Catalogs for other instances.
    pub sync: SocketAddr,
    /// Requests of other instances.
    pub hop: SocketAddr,
    /// Datagrams of other instances, over UDP.
    pub gossip: SocketAddr,
    /// Metrics and the state dump.
    pub admin: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that hold for all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Resends for each first send.
    pub retry_ratio: f64,
    /// Resends beyond that in one window.
    pub retry_slack: f64,
    /// Window of the resends.
    #[serde(with = "humantime_serde")]
    pub retry_window: Duration,
    /// Window in which a customer's tokens are counted.
    #[serde(with = "humantime_serde")]
    pub quota_window: Duration,
    /// Part by which a window's tokens may exceed a customer's rate and burst.
    pub quota_over: f64,
    /// Tokens in a window beyond that.
    pub quota_slack: f64,
    /// Factor on the rate that cold upstreams bear.
    pub cold_ratio: f64,
    /// Requests a second beyond that.
    pub cold_slack: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    #[serde(default = "default_prefill")]
    pub prefill_per_ms: f64,
    /// One-way delay between regions.
    #[serde(default = "default_region_delay", with = "humantime_serde")]
    pub region_delay: Duration,
}

/// The users' sheets of both deployments.
fn default_prefill() -> f64 {
    91.8
}

/// The users' sheets of both deployments.
fn default_region_delay() -> Duration {
    Duration::from_millis(80)
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// Time in which callers that still come are served, until the directory's answers
    /// have run out everywhere.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Longest time until what still runs is cut off; below the platform's grace.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            notice: Duration::from_millis(3_200),
            limit: Duration::from_millis(7_700),
        }
    }
}

/// Logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least level that is written.
    pub level: Level,
}

/// Levels of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// What failed and needs an operator.
    Error,
    /// What failed and was dealt with.
    Warn,
    /// One line for each request and change.
    #[default]
    Info,
    /// Each step.
    Debug,
}

/// Reads a settings file without checking what its types do not.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| Error::Parse {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

impl Settings {
    /// Reads and checks the settings in `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = read(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks what the types do not.
    pub fn check(&self) -> Result<(), Error> {
        let limits = &self.limits;
        let holds = [
            ("name", !self.name.is_empty(), "expected a name"),
            (
                "domains",
                self.domains.contains_key(&self.domain),
                "expected the region of this instance's failure domain",
            ),
            (
                "limits.retry_window",
                !limits.retry_window.is_zero(),
                "expected a time above zero",
            ),
            (
                "limits.prefill_per_ms",
                limits.prefill_per_ms > 0.0,
                "expected a number above zero",
            ),
            (
                "limits",
                [limits.retry_ratio, limits.retry_slack, limits.quota_slack]
                    .iter()
                    .all(|n| *n >= 0.0),
                "expected no number below zero",
            ),
            (
                "shutdown",
                self.shutdown.notice <= self.shutdown.limit,
                "expected notice to be no longer than limit",
            ),
        ];
        for (field, holds, expected) in holds {
            if !holds {
                return Err(Error::Value {
                    field,
                    expected: expected.to_owned(),
                });
            }
        }
        Ok(())
    }

    /// Returns the bounds for the board.
    pub fn parameters(&self) -> Parameters {
        let limits = self.limits;
        Parameters {
            budget: budget::Limit {
                ratio: limits.retry_ratio,
                slack: limits.retry_slack,
                window: limits.retry_window,
            },
            quota: quota::Tolerance {
                window: limits.quota_window,
                overshoot: limits.quota_over,
                slack: limits.quota_slack,
                // Two instances in each failure domain is the fewest met so far; a process
                // that hears nobody is alone only until its first datagrams are answered.
                assumed_instances: (self.domains.len() * 2).max(6) as f64,
            },
            cold: cold::Limit {
                rate_factor: limits.cold_ratio,
                slack: limits.cold_slack,
            },
            prefill_per_ms: limits.prefill_per_ms,
            region_delay: limits.region_delay,
        }
    }
}
