//! Times and sizes by which the controllers decide.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How tokens of a customer's rate move between instances.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Sharing {
    /// Every instance spends its own share only.
    Static,
    /// Instances lend each other tokens.
    Lending,
}

/// How an upstream is chosen.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Balancing {
    /// The next one in turn.
    RoundRobin,
    /// The less loaded of two drawn at random.
    TwoChoices,
}

/// The controllers' settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats on a link.
    pub heartbeat: Duration,
    /// Silence after which a link counts as lost.
    pub link_timeout: Duration,
    /// A gap between events that counts as a pause of the process.
    pub pause: Duration,
    /// Longest refusal of work after a pause while knowledge is refreshed.
    pub wake: Duration,
    /// Age of the configuration after which an instance reads for itself.
    pub relay_quiet: Duration,
    /// Time after a failed read of the platform before the next.
    pub read_backoff: Duration,
    /// Time that a change takes to reach every instance that can be reached.
    pub propagation: Duration,
    /// Life of a loan of tokens.
    pub loan: Duration,
    /// Demand that loans are to cover ahead.
    pub loan_horizon: Duration,
    /// Instances in each region that hold a share of a customer's rate.
    pub holders_per_region: usize,
    /// Life of a ticket and of what is remembered of its request.
    pub ticket: Duration,
    /// Requests that are not idempotent remembered at a time.
    pub ticket_records: usize,
    /// Bytes of answers kept for repeated tickets, all records together.
    pub answer_bytes: usize,
    /// Life of a placement.
    pub placement: Duration,
    /// Attempts at an idempotent request.
    pub attempts: u32,
    /// Share of requests that may be retried, in percent.
    pub retry_percent: u32,
    /// Failures in a row after which an upstream is ejected.
    pub eject_after: u32,
    /// Time that an ejected upstream rests.
    pub eject: Duration,
    /// Time between two reads of an upstream's load.
    pub load_poll: Duration,
    /// Age up to which a report of load counts.
    pub load_age: Duration,
    /// How tokens move.
    pub sharing: Sharing,
    /// How an upstream is chosen.
    pub balancing: Balancing,
    /// Whether requests may go to another region for want of room.
    pub spill: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            link_timeout: Duration::from_secs(3),
            pause: Duration::from_secs(2),
            wake: Duration::from_secs(1),
            relay_quiet: Duration::from_secs(10),
            read_backoff: Duration::from_secs(1),
            propagation: Duration::from_secs(14),
            loan: Duration::from_secs(2),
            loan_horizon: Duration::from_millis(500),
            holders_per_region: 3,
            ticket: Duration::from_secs(600),
            ticket_records: 10_000,
            answer_bytes: 16 * 1024 * 1024,
            placement: Duration::from_secs(10),
            attempts: 3,
            retry_percent: 10,
            eject_after: 3,
            eject: Duration::from_secs(10),
            load_poll: Duration::from_secs(2),
            load_age: Duration::from_secs(6),
            sharing: Sharing::Lending,
            balancing: Balancing::TwoChoices,
            spill: true,
        }
    }
}
