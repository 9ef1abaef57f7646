//! Stand-ins for the platform's store, model runners and clients, and a small fleet of real instances on loopback.
//! Uses the standard library only.

pub mod client;
pub mod fleet;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
