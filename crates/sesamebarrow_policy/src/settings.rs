//! Timeouts, intervals and limits of the controllers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How instances share the tokens of a customer's rate.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Sharing {
    /// Every instance spends only its own share.
    Static,
    /// Instances lend each other tokens.
    Lending,
}

/// How the upstream of a request is chosen.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Balancing {
    /// Takes the upstreams in turn.
    RoundRobin,
    /// Takes the less loaded of two upstreams drawn at random.
    TwoChoices,
}

/// Settings of the controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats on a link.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a link counts as lost.
    pub link_timeout: Duration,
    /// Shortest gap between events that counts as a pause of the process.
    pub pause_threshold: Duration,
    /// Longest time after a pause for which requests are refused until the rules are
    /// confirmed. Also the retry time given to callers while this instance is not ready,
    /// draining or out of date.
    pub recovery_timeout: Duration,
    /// Age of a document from which an instance reads the platform itself instead
    /// of relying on its neighbours.
    pub max_relayed_document_age: Duration,
    /// Shortest time between a failed read of the platform and the next one. Also the retry
    /// time given to a caller whose request could not be sent.
    pub read_backoff: Duration,
    /// Time within which a change of a document reaches every reachable instance.
    pub propagation_time: Duration,
    /// Lifetime of a loan of tokens.
    pub loan_lifetime: Duration,
    /// Time ahead for which an instance borrows tokens to cover the expected demand.
    pub loan_horizon: Duration,
    /// Number of slots in each region that hold a share of a customer's rate.
    pub holders_per_region: usize,
    /// Lifetime of a ticket and of the record of its request.
    pub ticket_lifetime: Duration,
    /// Maximum number of records of non-idempotent requests kept at a time.
    pub max_ticket_records: usize,
    /// Maximum number of bytes of responses stored for repeated tickets, over all records.
    pub max_stored_response_bytes: usize,
    /// Time for which callers may use a placement response.
    pub placement_lifetime: Duration,
    /// Maximum number of attempts at an idempotent request, the first included.
    pub max_attempts: u32,
    /// Retries allowed per completed request, in percent.
    pub retry_budget_percent: u32,
    /// Consecutive failures after which an upstream is ejected.
    pub eject_after_failures: u32,
    /// Time for which an ejected upstream gets no requests, unless all upstreams that a
    /// request can still use are ejected.
    pub ejection_time: Duration,
    /// Time between two reads of an upstream's load.
    pub load_poll_interval: Duration,
    /// Greatest age at which a load report is still used.
    pub max_load_age: Duration,
    /// How instances share the tokens of a customer's rate.
    pub sharing: Sharing,
    /// How the upstream of a request is chosen.
    pub balancing: Balancing,
    /// Whether requests may go to another region when no upstream of this region can take
    /// them.
    pub spill: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            link_timeout: Duration::from_secs(3),
            pause_threshold: Duration::from_secs(2),
            recovery_timeout: Duration::from_secs(1),
            max_relayed_document_age: Duration::from_secs(10),
            read_backoff: Duration::from_secs(1),
            propagation_time: Duration::from_secs(14),
            loan_lifetime: Duration::from_secs(2),
            loan_horizon: Duration::from_millis(500),
            holders_per_region: 3,
            ticket_lifetime: Duration::from_secs(600),
            max_ticket_records: 10_000,
            max_stored_response_bytes: 16 * 1024 * 1024,
            placement_lifetime: Duration::from_secs(10),
            max_attempts: 3,
            retry_budget_percent: 10,
            eject_after_failures: 3,
            ejection_time: Duration::from_secs(10),
            load_poll_interval: Duration::from_secs(2),
            max_load_age: Duration::from_secs(6),
            sharing: Sharing::Lending,
            balancing: Balancing::TwoChoices,
            spill: true,
        }
    }
}
