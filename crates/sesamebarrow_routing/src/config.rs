//! The configuration that the operator publishes: routes, services and customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

/// Digest of an API key. The key itself is never stored.
pub type KeyDigest = [u8; 32];

/// Returns the digest under which the API key `key` is looked up.
pub fn digest_api_key(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events. Runs at most once unless the route allows streams to be resumed.
    Streaming,
}

/// A service that serves a route, and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the requests, relative to the weights of the other backends.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs and metrics and for counting its requests.
    pub name: SmolStr,
    /// Host that the route serves.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// Whether an interrupted stream may be resumed at another upstream.
    pub resumable: bool,
    /// Services that serve the route; never empty.
    pub backends: Vec<Backend>,
    /// Maximum time until the complete answer.
    pub timeout: Duration,
    /// Time within which an answer should begin.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream for which it is still on time, if the route declares one.
    pub max_pause: Option<Duration>,
    /// Maximum number of attempts that may have run one request. Attempts that are known not
    /// to have run it, such as those at unreachable upstreams, do not count.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// Regions that the route's data may enter; empty for all regions.
    pub allowed_regions: Vec<SmolStr>,
}

impl Route {
    /// Returns whether a request that may have run already may be sent again.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight. `random` is uniformly distributed in `0.0..1.0`.
    pub fn pick_service(&self, random: f64) -> &SmolStr {
        let total: u32 = self.backends.iter().map(|b| b.weight).sum();
        let mut remaining = random * f64::from(total);
        for backend in &self.backends {
            remaining -= f64::from(backend.weight);
            if remaining < 0.0 {
                return &backend.service;
            }
        }
        &self.backends[self.backends.len() - 1].service
    }
}

/// Capacity of the model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Tokens that its KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Requests that it runs in one batch. Estimates use this instead of the slots that an
    /// upstream publishes.
    pub slots: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// Connections that one upstream accepts from all instances together; 0 if not stated.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold upstream can serve; 0 for no limit.
    pub cold_rate: f64,
    /// The model engine; `None` for services without one.
    pub engine: Option<Engine>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: SmolStr,
    /// Priority; takes precedence over the route's priority.
    pub priority: Option<u8>,
    /// Rate limit over all instances, in tokens or requests per second; 0 for no limit.
    pub rate: f64,
    /// Tokens or requests that may be used at once, over all instances.
    pub burst: f64,
    /// Cost in tokens of a request that does not state its tokens.
    pub default_cost: u64,
    /// Whether the rate counts tokens rather than requests.
    pub counts_tokens: bool,
    /// Regions that the customer's data may enter; empty for all regions.
    pub allowed_regions: Vec<SmolStr>,
}

impl Customer {
    /// Returns the cost of a request with `tokens` (prompt tokens plus the output limit).
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

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
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
    /// The version, which only ever increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: HashMap<SmolStr, Service>,
    /// All customers.
    pub customers: Vec<Arc<Customer>>,
    /// Indices into `customers`, by the digest of each API key.
    pub customers_by_key_digest: HashMap<KeyDigest, usize>,
    /// Limits on the size and duration of client requests.
    pub limits: Limits,
    /// Routes of each host, longest prefix first; the values are indices into `routes`.
    routes_by_host: HashMap<SmolStr, Vec<usize>>,
}

impl Config {
    /// Builds the index of routes by host. Must be called once, after all routes were
    /// added.
    pub fn build_host_index(mut self) -> Self {
        let mut routes_by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in self.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(index);
        }
        for list in routes_by_host.values_mut() {
            list.sort_by_key(|&index| std::cmp::Reverse(self.routes[index].prefix.len()));
        }
        self.routes_by_host = routes_by_host;
        self
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let list = self.routes_by_host.get(host)?;
        let index = list
            .iter()
            .find(|&&index| path.starts_with(self.routes[index].prefix.as_str()))?;
        Some(&self.routes[*index])
    }

    /// Returns the customer to whom the API key `key` belongs.
    pub fn customer_by_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers_by_key_digest
            .get(&digest_api_key(key))
            .map(|&index| &self.customers[index])
    }

    /// Returns the customer named `name`.
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.iter().find(|c| c.name == name)
    }

    /// Returns the routes of `host` that are restricted to regions.
    pub fn region_restricted_routes(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        let list = self.routes_by_host.get(host).map_or(&[][..], Vec::as_slice);
        let routes = list.iter().map(|&index| &self.routes[index]);
        routes.filter(|r| !r.allowed_regions.is_empty())
    }
}

/// Returns whether data may enter `region`. An empty list allows all regions.
pub fn is_region_allowed(allowed_regions: &[SmolStr], region: &str) -> bool {
    allowed_regions.is_empty() || allowed_regions.iter().any(|allowed| allowed == region)
}
