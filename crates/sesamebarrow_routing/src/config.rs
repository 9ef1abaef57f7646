//! The configuration that the operator publishes: routes, services and customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

/// Digest of an API key; the key itself is never kept.
pub type KeyDigest = [u8; 32];

/// Returns the digest under which `key` is looked up.
pub fn digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events; runs at most once unless the route allows resuming.
    Streaming,
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: SmolStr,
    /// Part of the requests, relative to the other backends' weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: SmolStr,
    /// Host that it serves.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
    /// Services that serve it; never empty.
    pub backends: Vec<Backend>,
    /// Longest time for a final answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which its data may be; empty for all.
    pub allowed_regions: Vec<SmolStr>,
}

impl Route {
    /// Tells whether a request may be sent again after it may have run.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight; `draw` is uniform in `0.0..1.0`.
    pub fn pick_service(&self, draw: f64) -> &SmolStr {
        let total: u32 = self.backends.iter().map(|b| b.weight).sum();
        let mut left = draw * f64::from(total);
        for backend in &self.backends {
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return &backend.service;
            }
        }
        &self.backends[self.backends.len() - 1].service
    }
}

/// What a model engine of a service can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Tokens that its memory holds.
    pub kv_tokens: u64,
    /// Requests that it runs in one batch.
    pub slots: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// Connections that one upstream accepts from all instances together; 0 if not said.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold upstream bears; 0 for no bound.
    pub cold_rate: f64,
    /// The engine, of a model service.
    pub engine: Option<Engine>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: SmolStr,
    /// Rank; takes precedence over the route's.
    pub priority: Option<u8>,
    /// Tokens a second over all instances; 0 for no limit.
    pub rate: f64,
    /// Tokens that may be spent at once over all instances.
    pub burst: f64,
    /// Cost of a request that states no tokens.
    pub default_cost: u64,
    /// Whether the rate counts tokens rather than requests.
    pub counts_tokens: bool,
    /// Regions in which its data may be; empty for all.
    pub allowed_regions: Vec<SmolStr>,
}

impl Customer {
    /// Returns what a request with `tokens` (prompt and output bound) costs.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        let cost = match (self.counts_tokens, tokens) {
            (false, _) => 1,
            (true, Some(tokens)) => tokens,
            (true, None) => self.default_cost,
        };
        // CAST: token counts are far below 2^53.
        cost as f64
    }
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Its version; only ever rises.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: HashMap<SmolStr, Service>,
    /// All customers.
    pub customers: Vec<Arc<Customer>>,
    /// Customers by the digest of a key; values index `customers`.
    pub keys: HashMap<KeyDigest, usize>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Routes of a host, longest prefix first; values index `routes`.
    hosts: HashMap<SmolStr, Vec<usize>>,
}

impl Config {
    /// Builds the index of hosts. Called once, after the routes are in place.
    pub fn build_host_index(mut self) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (at, route) in self.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|&at| std::cmp::Reverse(self.routes[at].prefix.len()));
        }
        self.hosts = hosts;
        self
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let list = self.hosts.get(host)?;
        let at = list
            .iter()
            .find(|&&at| path.starts_with(self.routes[at].prefix.as_str()))?;
        Some(&self.routes[*at])
    }

    /// Returns the customer that holds `key`.
    pub fn customer_by_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(&digest(key)).map(|&at| &self.customers[at])
    }

    /// Returns the customer named `name`.
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.iter().find(|c| c.name == name)
    }

    /// Returns the routes of `host` that are bound to regions.
    pub fn region_bound_routes(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        let list = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        let routes = list.iter().map(|&at| &self.routes[at]);
        routes.filter(|r| !r.allowed_regions.is_empty())
    }
}

/// Tells whether data bound to `homes` may be in `region`; no homes bind nothing.
pub fn is_region_allowed(homes: &[SmolStr], region: &str) -> bool {
    homes.is_empty() || homes.iter().any(|h| h == region)
}
