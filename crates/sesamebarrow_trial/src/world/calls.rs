//! Requests that callers send in scenarios and storms.

use std::time::Duration;

use smol_str::SmolStr;

use super::World;
use crate::traffic::Call;

impl World {
    /// Asks for work that is done once only.
    pub fn order(order: &str, key: &str, ticket: SmolStr) -> Call {
        Call {
            order: order.to_owned(),
            key: Some(key.to_owned()),
            service: "payouts".into(),
            method: "POST".into(),
            path: "/payouts".into(),
            ticket: Some(ticket),
            deadline: Duration::from_secs(10),
            estimate: 1,
            real: 1,
        }
    }

    /// Asks a model.
    pub fn question(order: &str, key: &str, estimate: u64, real: u64) -> Call {
        Call {
            order: order.to_owned(),
            key: Some(key.to_owned()),
            service: "statements".into(),
            method: "POST".into(),
            path: "/generate".into(),
            ticket: None,
            deadline: Duration::from_secs(10),
            estimate,
            real,
        }
    }
}
