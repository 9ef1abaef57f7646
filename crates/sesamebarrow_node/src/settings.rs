//! Settings of an entry instance, read from a TOML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
pub use sesamebarrow_gateway::settings::{Error, Level, Log};
use sesamebarrow_policy::settings::{Balancing, Sharing};
use smol_str::SmolStr;

/// Minimum length of the secret that all instances of the fleet share.
const MIN_SECRET_BYTES: usize = 16;

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Slot in the failure domain, counted from 0. The rules state how many slots the domain
    /// has. Shares of the customers' rates belong to slots.
    pub slot: u16,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// File that contains the fleet's secret.
    pub secret_file: PathBuf,
    /// Addresses on which the instance listens.
    pub listen: Listen,
    /// Access to the platform.
    pub platform: Platform,
    /// Addresses of instances to which the instance connects while it has no link, to get the
    /// configuration when the platform cannot be reached.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Limits of a request.
    #[serde(default)]
    pub request: Request,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Algorithms of the policy. They can be replaced by simple ones for comparison.
    #[serde(default)]
    pub policy: Policy,
}

/// Addresses on which the instance listens.
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

/// Access to the platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the configuration service.
    pub address: SocketAddr,
    /// Time for which the platform may hold a read until there is a newer document.
    #[serde(default = "default_watch", with = "humantime_serde")]
    pub watch: Duration,
    /// Maximum time for a read, not counting the time for which the platform holds it.
    #[serde(default = "default_read_timeout", with = "humantime_serde")]
    pub timeout: Duration,
}

/// Limits of a request.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Request {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the response to a request that must run at most once, in bytes. Such a
    /// response is buffered completely; a larger one counts as an interrupted attempt.
    pub max_kept_bytes: usize,
    /// Maximum time to receive a request body.
    #[serde(with = "humantime_serde")]
    pub read_timeout: Duration,
    /// Deadline of a request without `x-deadline-ms`.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Maximum time between two chunks of a response.
    #[serde(with = "humantime_serde")]
    pub stall: Duration,
    /// Maximum time to connect to an upstream or another instance.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Tokens reserved for the response to a request without `x-max-tokens`.
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
    /// Time between the start of a shutdown and the end of listening, in which callers can
    /// switch to other instances.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Maximum time of a shutdown, including `notice`. Requests that are still in progress
    /// then are aborted.
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

/// Algorithms of the policy.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How instances share the tokens of a customer's rate.
    pub sharing: Sharing,
    /// How the upstream of a request is chosen.
    pub balancing: Balancing,
    /// Whether requests may go to another region when no upstream of this region can take
    /// them.
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

    /// Checks the values that the types do not restrict.
    pub fn check(&self) -> Result<(), Error> {
        let checks = [
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
        for (field, is_valid) in checks {
            if !is_valid {
                return Err(Error::Value {
                    field,
                    expected: "expected a value that is not zero or empty".to_owned(),
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
                expected: format!(
                    "expected {MIN_SECRET_BYTES} or more bytes after trimming white space"
                ),
            });
        }
        Ok(secret)
    }
}
