//! The messages that instances exchange about prompt parts that crash upstreams. Times are sent as ages, since
//! the clocks of instances differ.

use std::time::Duration;

use crate::quarantine::{Blame, Order};

/// Maximum number of entries in one message, so that its datagram stays below 512 bytes.
pub const MAX_ENTRIES: usize = 12;

/// Blame for the judges of its parts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Blames {
    /// At most [`MAX_ENTRIES`].
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<BlameEntry>,
}

/// One [`Blame`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct BlameEntry {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Hash of the run of the upstream.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Hash of the customer's name.
    #[prost(fixed64, tag = "3")]
    pub customer: u64,
    /// Milliseconds since the crash.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// Orders, some of which may be new to the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Orders {
    /// At most [`MAX_ENTRIES`].
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<OrderEntry>,
    /// Whether the receiver sends those that are new to it to all instances.
    #[prost(bool, tag = "2")]
    pub spread: bool,
}

/// One [`Order`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct OrderEntry {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Hash of the name of the customer that it binds; none for all.
    #[prost(fixed64, optional, tag = "2")]
    pub customer: Option<u64>,
    /// Number of changes.
    #[prost(uint32, tag = "3")]
    pub serial: u32,
    /// Whether it is in force.
    #[prost(bool, tag = "4")]
    pub in_force: bool,
    /// Number of trials granted.
    #[prost(uint32, tag = "5")]
    pub trials: u32,
    /// Milliseconds since it was given or revoked, or the last trial was granted.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Milliseconds since the last known crash.
    #[prost(uint64, tag = "7")]
    pub crash_age_ms: u64,
}

/// Asks the first judge of a part for a trial.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TrialRequest {
    /// Identifies the request among those of its sender's process.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Id of the part.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
}

/// Answers a [`TrialRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TrialGrant {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether one request with the part may be sent.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

fn to_ms(duration: Duration) -> u64 {
    // CAST: far below 2^64 milliseconds.
    duration.as_millis() as u64
}

impl BlameEntry {
    /// Encodes `blame`.
    pub fn new(blame: Blame, age: Duration) -> Self {
        Self {
            part: blame.part,
            run: blame.run,
            customer: blame.customer,
            // CAST: blame is sent for a few seconds only.
            age_ms: to_ms(age) as u32,
        }
    }

    /// Decodes the blame and its age.
    pub fn decode(self) -> (Blame, Duration) {
        let blame = Blame {
            part: self.part,
            run: self.run,
            customer: self.customer,
        };
        (blame, Duration::from_millis(self.age_ms.into()))
    }
}

impl OrderEntry {
    /// Encodes `order`.
    pub fn new(now: Duration, order: &Order) -> Self {
        Self {
            part: order.part,
            customer: order.customer,
            serial: order.serial,
            in_force: order.in_force,
            trials: order.trials,
            age_ms: to_ms(now.saturating_sub(order.since)),
            crash_age_ms: to_ms(now.saturating_sub(order.last_crash_at)),
        }
    }

    /// Decodes the order, in the time of this process. Times before its start count as its start, which
    /// only delays what depends on them.
    pub fn decode(self, now: Duration) -> Order {
        Order {
            part: self.part,
            customer: self.customer,
            serial: self.serial,
            in_force: self.in_force,
            trials: self.trials,
            since: now.saturating_sub(Duration::from_millis(self.age_ms)),
            last_crash_at: now.saturating_sub(Duration::from_millis(self.crash_age_ms)),
        }
    }
}
