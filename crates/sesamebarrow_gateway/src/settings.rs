//! Settings of one process, from a TOML file.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::{budget, cold, dispatch, quota};
use smol_str::SmolStr;

/// The settings cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error. It is part of the message, and therefore not the `source` too.
        cause: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("cannot parse {path}: {cause}")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The parse error with its position. It is part of the message, and therefore not the
        /// `source` too.
        cause: Box<toml::de::Error>,
    },
    /// A field has an invalid value.
    #[error("{field}: {expected}")]
    Value {
        /// Path of the field.
        field: &'static str,
        /// Describes the valid values.
        expected: String,
    },
}

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique among all instances.
    pub name: SmolStr,
    /// Failure domain of the instance.
    pub domain: SmolStr,
    /// Address at which clients and other instances reach this one.
    pub ip: Ipv4Addr,
    /// Instances to contact at the start; they need not exist any more. The ports are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Region of each failure domain.
    pub domains: HashMap<SmolStr, SmolStr>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Limits that apply to all instances together, and estimates for routing.
    pub limits: Limits,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Services whose requests one instance of each region dispatches.
    #[serde(default)]
    pub dispatch: Dispatch,
    /// Memory of the process.
    #[serde(default)]
    pub memory: Memory,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on. All instances use the same ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of clients.
    pub callers: SocketAddr,
    /// The readiness check.
    pub ready: SocketAddr,
    /// The directory, which tells clients where to connect.
    pub directory: SocketAddr,
    /// Catalog requests of other instances.
    pub sync: SocketAddr,
    /// Requests that other instances forward.
    pub hop: SocketAddr,
    /// Gossip datagrams of other instances, over UDP.
    pub gossip: SocketAddr,
    /// Datagrams of other instances about tokens of customers' rates, over UDP.
    pub tokens: SocketAddr,
    /// Metrics and the state dump.
    pub admin: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Limits that apply to all instances together, and estimates for routing.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Retries allowed per request that is sent for the first time.
    pub retry_ratio: f64,
    /// Additional retries in one window.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    #[serde(with = "humantime_serde")]
    pub retry_window: Duration,
    /// Window in which a customer's tokens are counted.
    #[serde(with = "humantime_serde")]
    pub quota_window: Duration,
    /// Fraction by which the tokens in a window may exceed a customer's rate and burst.
    pub quota_over: f64,
    /// Additional tokens in one window.
    pub quota_slack: f64,
    /// Factor on the request rate that a service states for its cold upstreams, those that are
    /// still warming up.
    pub cold_ratio: f64,
    /// Additional requests per second to each cold upstream.
    pub cold_slack: f64,
    /// Prompt tokens that an engine prefills per millisecond.
    #[serde(default = "default_prefill_per_ms")]
    pub prefill_per_ms: f64,
    /// One-way delay between regions.
    #[serde(default = "default_region_delay", with = "humantime_serde")]
    pub region_delay: Duration,
}

/// Default of `prefill_per_ms`. The users' specifications give this rate for both of their
/// deployments.
fn default_prefill_per_ms() -> f64 {
    91.8
}

/// Default of `region_delay`. The users' specifications give this delay for both of their
/// deployments.
fn default_region_delay() -> Duration {
    Duration::from_millis(80)
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// Time in which new requests are still accepted, until clients no longer use cached
    /// directory responses that contain this instance.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Maximum duration of the shutdown, after which running requests are aborted. It must be
    /// shorter than the time after which the platform kills the process.
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

/// Services whose requests one instance of each region dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dispatch {
    /// A service is dispatched if one of its routes declares a longest pause between events of at least this; if
    /// not set, none is.
    #[serde(with = "humantime_serde::option")]
    pub min_pause: Option<Duration>,
    /// Processor time of this instance, in cores. Instances with more are preferred as dispatchers.
    pub processor_share: f64,
    /// Prompt tokens that an engine is assumed to read per millisecond until that is measured.
    pub first_guess_per_ms: f64,
}

impl Default for Dispatch {
    fn default() -> Self {
        let dispatch::Parameters {
            min_pause,
            processor_share,
            first_guess_per_ms,
        } = dispatch::Parameters::default();
        Self {
            min_pause,
            processor_share,
            first_guess_per_ms,
        }
    }
}

/// Memory of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Memory that the process may use, in MiB, above which the platform ends it.
    pub process_mib: usize,
    /// Memory that bodies of requests and answers may hold, in MiB; a part of `process_mib` if not set.
    pub bodies_mib: Option<usize>,
}

/// Percentage of a process's memory that bodies may hold. The rest is for the process itself, its connections and
/// their buffers.
const BODIES_PERCENT: usize = 35;

const BYTES_PER_MIB: usize = 1024 * 1024;

/// Range of the memory of a process, in MiB.
const PROCESS_MIB_RANGE: std::ops::RangeInclusive<usize> = 32..=1024 * 1024;

impl Default for Memory {
    fn default() -> Self {
        Self {
            process_mib: 256,
            bodies_mib: None,
        }
    }
}

impl Memory {
    /// Returns the number of bytes that bodies may hold.
    pub fn budget_bytes(self) -> usize {
        match self.bodies_mib {
            Some(mib) => mib * BYTES_PER_MIB,
            None => self.process_mib * BYTES_PER_MIB / 100 * BODIES_PERCENT,
        }
    }
}

/// Logging.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: Level,
}

/// Log levels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Failures that were handled.
    Warn,
    /// Requests and changes, one line each.
    #[default]
    Info,
    /// Individual steps.
    Debug,
}

/// Reads and parses a settings file without validating the values further.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    toml::from_str(&text).map_err(|cause| Error::Parse {
        path: path.to_owned(),
        cause: Box::new(cause),
    })
}

/// Prompt tokens per millisecond that an engine may be assumed to read.
const FIRST_GUESS_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100_000.0;

/// Largest processor time of an instance, in cores.
const MAX_PROCESSOR_SHARE: f64 = 1024.0;

impl Settings {
    /// Reads and validates the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = read(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the fields in which `new` differs and that take effect only after a restart. The others take
    /// effect at once.
    pub fn restart_fields(&self, new: &Self) -> Vec<&'static str> {
        let changes = [
            ("name", self.name != new.name),
            ("domain", self.domain != new.domain),
            ("ip", self.ip != new.ip),
            ("domains", !self.can_replace_domains(new)),
            ("listen", self.listen != new.listen),
            ("memory", self.memory != new.memory),
            ("log", self.log != new.log),
        ];
        let changed = changes.into_iter().filter(|(_, changed)| *changed);
        changed.map(|(field, _)| field).collect()
    }

    /// Returns these settings with what takes effect at once from `new`.
    pub fn with_reloaded(&self, new: Self) -> Self {
        let domains = match self.can_replace_domains(&new) {
            true => new.domains,
            false => self.domains.clone(),
        };
        Self {
            seeds: new.seeds,
            domains,
            store: new.store,
            limits: new.limits,
            shutdown: new.shutdown,
            dispatch: new.dispatch,
            ..self.clone()
        }
    }

    /// Returns whether this instance stays in its region with the failure domains of `new`.
    fn can_replace_domains(&self, new: &Self) -> bool {
        new.domains.get(&self.domain) == self.domains.get(&self.domain)
    }

    /// Returns the addresses of the seeds other than this instance.
    pub fn other_seeds(&self) -> Vec<Ipv4Addr> {
        let ips = self.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        });
        ips.filter(|ip| *ip != self.ip).collect()
    }

    /// Validates what the types do not ensure.
    pub fn check(&self) -> Result<(), Error> {
        let limits = &self.limits;
        let checks = [
            ("name", !self.name.is_empty(), "expected a name"),
            (
                "domains",
                self.domains.contains_key(&self.domain),
                "expected an entry for this instance's failure domain",
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
                "dispatch.processor_share",
                self.dispatch.processor_share > 0.0
                    && self.dispatch.processor_share <= MAX_PROCESSOR_SHARE,
                "expected a number of cores, above zero and at most 1024",
            ),
            (
                "dispatch.first_guess_per_ms",
                FIRST_GUESS_RANGE.contains(&self.dispatch.first_guess_per_ms),
                "expected a number of tokens from 0.01 to 100000",
            ),
            (
                "limits.quota_window",
                !limits.quota_window.is_zero(),
                "expected a time above zero",
            ),
            (
                "limits",
                [
                    limits.retry_ratio,
                    limits.retry_slack,
                    limits.quota_over,
                    limits.quota_slack,
                    limits.cold_ratio,
                    limits.cold_slack,
                ]
                .iter()
                .all(|n| n.is_finite() && *n >= 0.0),
                "expected ratios and slacks to be finite and not below zero",
            ),
            (
                "memory.process_mib",
                PROCESS_MIB_RANGE.contains(&self.memory.process_mib),
                "expected a number of MiB from 32 to 1048576",
            ),
            (
                "memory.bodies_mib",
                self.memory
                    .bodies_mib
                    .is_none_or(|b| b >= 1 && b < self.memory.process_mib),
                "expected a number of MiB of at least 1 and below memory.process_mib",
            ),
            (
                "shutdown",
                self.shutdown.notice <= self.shutdown.limit,
                "expected notice to be no longer than limit",
            ),
        ];
        for (field, valid, expected) in checks {
            if !valid {
                return Err(Error::Value {
                    field,
                    expected: expected.to_owned(),
                });
            }
        }
        Ok(())
    }

    /// Returns the parameters of the routing decisions.
    pub fn parameters(&self) -> Parameters {
        let limits = self.limits;
        Parameters {
            stop_limit: self.shutdown.limit,
            budget: budget::Limit {
                ratio: limits.retry_ratio,
                slack: limits.retry_slack,
                window: limits.retry_window,
            },
            quota: quota::Tolerance {
                window: limits.quota_window,
                overshoot: limits.quota_over,
                slack: limits.quota_slack,
            },
            cold: cold::Limit {
                rate_factor: limits.cold_ratio,
                slack: limits.cold_slack,
            },
            dispatch: dispatch::Parameters {
                min_pause: self.dispatch.min_pause,
                processor_share: self.dispatch.processor_share,
                first_guess_per_ms: self.dispatch.first_guess_per_ms,
            },
            prefill_per_ms: limits.prefill_per_ms,
            region_delay: limits.region_delay,
            expects_others: self.seeds.iter().any(|seed| *seed != self.listen.sync),
        }
    }
}
