//! The data types of a valid rule file.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The BLAKE3 digest of a caller's key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl FromStr for KeyDigest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(*blake3::Hash::from_hex(text)?.as_bytes()))
    }
}

/// What kind of upstream serves a service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model server that answers with a stream of tokens.
    Model,
    /// An ordinary HTTP service.
    Plain,
}

/// Whether a request may be sent more than once, and whether it needs a key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// May be sent more than once; needs a key.
    Idempotent,
    /// Must run at most once; needs a key.
    NonIdempotent,
    /// May be sent more than once, also by callers without a key.
    Open,
}

/// A failure domain and the number of instances that serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// The region that the domain is in.
    pub region: SmolStr,
    /// Number of instance slots; they are numbered from 0.
    pub slots: u16,
}

/// A service that callers name in the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// What kind of upstream serves it.
    pub kind: ServiceKind,
    /// Tokens that one request of a plain service costs.
    pub cost: u32,
}

/// One route of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service's name.
    pub service: SmolStr,
    /// HTTP method in capitals.
    pub method: SmolStr,
    /// Path below the service; a trailing `*` matches any suffix.
    pub path: SmolStr,
    /// The class of its requests.
    pub class: RequestClass,
}

impl Route {
    /// Returns whether the route matches `method` and `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if self.method != method {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => self.path == path,
        }
    }
}

/// What a customer is entitled to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Regions in which the customer's data may reside.
    pub regions: BTreeSet<SmolStr>,
    /// Rate limit in tokens per second, over the whole fleet.
    pub rate: u64,
    /// Burst limit: tokens that may be used at once, over the whole fleet.
    pub burst: u64,
    /// Services that the customer may call.
    pub services: BTreeSet<SmolStr>,
}

/// A rule file that passed all checks.
///
/// Every name that one rule refers to is declared by another rule of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// Regions by name.
    pub regions: BTreeSet<SmolStr>,
    /// Failure domains by name.
    pub domains: BTreeMap<SmolStr, Domain>,
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Customers by name.
    pub customers: BTreeMap<SmolStr, Customer>,
    /// The customer of each valid key.
    pub keys: BTreeMap<KeyDigest, SmolStr>,
    /// Routes: exact paths before those with `*`, longer paths before shorter ones.
    pub routes: Vec<Route>,
}

impl Rules {
    /// Returns the number of instance slots of all domains.
    pub fn total_slots(&self) -> u32 {
        self.domains.values().map(|d| u32::from(d.slots)).sum()
    }

    /// Returns the region of `domain`.
    pub fn region_of(&self, domain: &str) -> Option<&SmolStr> {
        self.domains.get(domain).map(|d| &d.region)
    }

    /// Returns the class of a request, or `None` for an unknown service.
    ///
    /// The first matching route decides. Where none matches, requests to a model are
    /// idempotent; those to a plain service are idempotent if HTTP defines the method
    /// as safe, and non-idempotent otherwise.
    pub fn classify(&self, service: &str, method: &str, path: &str) -> Option<RequestClass> {
        let kind = self.services.get(service)?.kind;
        let route = self
            .routes
            .iter()
            .find(|r| r.service == service && r.matches(method, path));
        if let Some(route) = route {
            return Some(route.class);
        }
        let is_safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        if is_safe || kind == ServiceKind::Model {
            Some(RequestClass::Idempotent)
        } else {
            Some(RequestClass::NonIdempotent)
        }
    }
}
