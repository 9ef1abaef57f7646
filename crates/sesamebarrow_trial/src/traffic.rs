//! Requests of a world, as their callers see them.

use std::time::Duration;

use sesamebarrow_policy::{Execution, Refusal};
use smol_str::SmolStr;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's name for what it wants done; the same for repeated sendings.
    pub work_id: String,
    /// The key, or none.
    pub key: Option<String>,
    /// The service.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path below the service.
    pub path: SmolStr,
    /// The ticket.
    pub ticket: Option<SmolStr>,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Tokens that it may cost.
    pub estimated_tokens: u64,
    /// Tokens that it will cost.
    pub actual_tokens: u64,
}

impl Call {
    /// Returns what names the work: its ticket, or its order without one.
    pub fn execution_id(&self) -> &str {
        self.ticket.as_deref().unwrap_or(&self.work_id)
    }
}

/// How a sending ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A whole answer, and the order that it answers.
    Answered(String),
    /// A refusal.
    Refused(Refusal),
    /// The connection broke off.
    Broken,
}

impl Completion {
    /// Returns a short text.
    pub fn summary(&self) -> String {
        match self {
            Self::Answered(_) => "whole".to_owned(),
            Self::Refused(r) => format!("{} {}", r.execution, r.reason),
            Self::Broken => "broken".to_owned(),
        }
    }

    /// Tells whether the caller was told that the order did not run.
    pub fn reports_not_run(&self) -> bool {
        matches!(self, Self::Refused(r) if r.execution == Execution::NotRun)
    }
}

/// A sending.
#[derive(Clone, Debug)]
pub struct Submission {
    /// What was sent.
    pub call: Call,
    /// To which instance.
    pub node: usize,
    /// When.
    pub submitted_at: Duration,
    /// How it ended.
    pub completion: Option<(Duration, Completion)>,
}
