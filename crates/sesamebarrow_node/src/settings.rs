//! Settings of one process, from a TOML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
pub use sesamebarrow_gateway::settings::{Error, Level, Log};
use sesamebarrow_policy::settings::{Balancing, Sharing};
use smol_str::SmolStr;

/// Fewest bytes of a fleet secret.
const MIN_SECRET_BYTES: usize = 16;

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Slot in the domain, as the rules number them.
    pub slot: u16,
    /// Worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// File that holds the fleet's secret.
    pub secret_file: PathBuf,
    /// Where to listen.
    pub listen: Listen,
    /// The platform.
    pub platform: Platform,
    /// Addresses of instances to ask while the platform cannot be reached.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Bounds of one request.
    #[serde(default)]
    pub request: Request,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Ways to decide, for comparison with plain ones.
    #[serde(default)]
    pub policy: Policy,
}

/// Where to listen.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub http: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// The platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the configuration service.
    pub address: SocketAddr,
    /// Longest wait of one watch.
    #[serde(default = "default_watch", with = "humantime_serde")]
    pub watch: Duration,
    /// Longest time for one read, a watch's wait not counted.
    #[serde(default = "default_read_timeout", with = "humantime_serde")]
    pub timeout: Duration,
}

/// Bounds of one request.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Request {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest answer kept whole for a request that runs at most once, in bytes.
    pub max_kept_bytes: usize,
    /// Longest time to read a request's head or body.
    #[serde(with = "humantime_serde")]
    pub read_timeout: Duration,
    /// Deadline where the caller names none.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Longest silence within an answer.
    #[serde(with = "humantime_serde")]
    pub stall: Duration,
    /// Longest time to connect to an upstream or an instance.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Tokens that an answer may have where the caller names no bound.
    pub max_tokens: u64,
}

impl Default for Request {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            max_kept_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            deadline: Duration::from_secs(30),
            stall: Duration::from_secs(15),
            connect_timeout: Duration::from_secs(1),
            max_tokens: 256,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// Time for callers to learn of other instances before this one stops listening.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Longest time until what still runs is cut off.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(1),
            limit: Duration::from_secs(60),
        }
    }
}

/// Ways to decide.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How tokens of a rate move between instances.
    pub sharing: Sharing,
    /// How an upstream is chosen.
    pub balancing: Balancing,
    /// Whether requests may go to another region for want of room.
    pub spill: bool,
}

impl Default for Policy {
    fn default() -> Self {
        let defaults = sesamebarrow_policy::Settings::default();
        Self {
            sharing: defaults.sharing,
            balancing: defaults.balancing,
            spill: defaults.spill,
        }
    }
}

fn default_threads() -> usize {
    2
}

fn default_watch() -> Duration {
    Duration::from_secs(4)
}

fn default_read_timeout() -> Duration {
    Duration::from_secs(2)
}

impl Settings {
    /// Reads and checks the settings in `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = sesamebarrow_gateway::settings::read(path)?;
        settings.check()?;
        settings.secret()?;
        Ok(settings)
    }

    /// Checks what the types do not.
    pub fn check(&self) -> Result<(), Error> {
        let positive = [
            ("threads", self.threads > 0),
            ("name", !self.name.is_empty()),
            ("domain", !self.domain.is_empty()),
            ("request.max_body_bytes", self.request.max_body_bytes > 0),
            ("request.max_tokens", self.request.max_tokens > 0),
            ("request.deadline", !self.request.deadline.is_zero()),
            ("request.stall", !self.request.stall.is_zero()),
            ("request.read_timeout", !self.request.read_timeout.is_zero()),
            ("platform.timeout", !self.platform.timeout.is_zero()),
        ];
        for (field, is_valid) in positive {
            if !is_valid {
                return Err(Error::Value {
                    field,
                    expected: "expected more than nothing".to_owned(),
                });
            }
        }
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if !self.name.chars().all(is_allowed) {
            return Err(Error::Value {
                field: "name",
                expected: "expected a-z, 0-9 and `-`".to_owned(),
            });
        }
        Ok(())
    }

    /// Reads the fleet's secret.
    pub fn secret(&self) -> Result<Vec<u8>, Error> {
        let bytes = std::fs::read(&self.secret_file).map_err(|cause| Error::Read {
            path: self.secret_file.clone(),
            cause,
        })?;
        let secret = bytes.trim_ascii().to_vec();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(Error::Value {
                field: "secret_file",
                expected: format!("expected a file with {MIN_SECRET_BYTES} bytes or more"),
            });
        }
        Ok(secret)
    }
}
