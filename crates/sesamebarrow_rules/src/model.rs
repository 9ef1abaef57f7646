//! What a valid rule file says, as plain data.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The digest of a caller's key. The key itself is never stored.
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

/// What stands behind a service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine that answers with a stream of tokens.
    Model,
    /// An ordinary HTTP service.
    Plain,
}

/// Whether a request may be sent more than once.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// May be repeated.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Idempotent and open to callers without a key.
    Open,
}

/// A failure domain and the number of instances that serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// The region that holds the domain.
    pub region: SmolStr,
    /// Number of instance slots, numbered from 0.
    pub slots: u16,
}

/// A service that callers name in the path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// What stands behind it.
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
    /// Path below the service; a trailing `*` matches any rest.
    pub path: SmolStr,
    /// Whether a request on it may be repeated.
    pub class: RequestClass,
}

impl Route {
    /// Tells whether the route covers `method` and `path`.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        if self.method != method {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => self.path == path,
        }
    }
}

/// A customer's entitlement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Regions in which the customer's data may be.
    pub regions: BTreeSet<SmolStr>,
    /// Tokens per second over the whole fleet.
    pub rate: u64,
    /// Tokens that may be spent at once over the whole fleet.
    pub burst: u64,
    /// Services that the customer may call.
    pub services: BTreeSet<SmolStr>,
}

/// A whole, checked rule file.
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
    /// The customer of each key in force.
    pub keys: BTreeMap<KeyDigest, SmolStr>,
    /// Routes, the most specific path first.
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

    /// Returns how a request may be treated, or `None` for an unknown service.
    ///
    /// Where no route covers a request of a plain service, a method that is safe by
    /// HTTP is idempotent and every other is not.
    pub fn classify(&self, service: &str, method: &str, path: &str) -> Option<RequestClass> {
        let kind = self.services.get(service)?.kind;
        let route = self
            .routes
            .iter()
            .find(|r| r.service == service && r.covers(method, path));
        if let Some(route) = route {
            return Some(route.class);
        }
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        if safe || kind == ServiceKind::Model {
            Some(RequestClass::Idempotent)
        } else {
            Some(RequestClass::NonIdempotent)
        }
    }
}
