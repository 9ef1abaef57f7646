//! Requests that callers send in scenarios and random runs.

use std::time::Duration;

use smol_str::SmolStr;

use super::Simulation;
use crate::traffic::Call;

impl Simulation {
    /// Builds a non-idempotent request, which may run at most once.
    pub fn payout_call(work_id: &str, key: &str, ticket: SmolStr) -> Call {
        Call {
            work_id: work_id.to_owned(),
            key: Some(key.to_owned()),
            service: "payouts".into(),
            method: "POST".into(),
            path: "/payouts".into(),
            ticket: Some(ticket),
            time_left: Duration::from_secs(10),
            estimated_tokens: 1,
            actual_tokens: 1,
        }
    }

    /// Builds a request to a model.
    pub fn model_call(work_id: &str, key: &str, estimated_tokens: u64, actual_tokens: u64) -> Call {
        Call {
            work_id: work_id.to_owned(),
            key: Some(key.to_owned()),
            service: "statements".into(),
            method: "POST".into(),
            path: "/generate".into(),
            ticket: None,
            time_left: Duration::from_secs(10),
            estimated_tokens,
            actual_tokens,
        }
    }
}
