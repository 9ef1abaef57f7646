//! Requests to a simulation and their results, as callers see them.

use std::time::Duration;

use sesamebarrow_policy::{Execution, Refusal};
use smol_str::SmolStr;

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the work that the caller wants done; a retry has the same id.
    pub work_id: String,
    /// API key, if any.
    pub key: Option<String>,
    /// Requested service.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// URL path below the service prefix.
    pub path: SmolStr,
    /// Ticket, if any.
    pub ticket: Option<SmolStr>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Upper bound of the tokens that the request may use.
    pub estimated_tokens: u64,
    /// Tokens that the request will use.
    pub actual_tokens: u64,
}

impl Call {
    /// Returns the id by which executions are counted: the ticket, or the work id if there is
    /// no ticket.
    pub fn execution_id(&self) -> &str {
        self.ticket.as_deref().unwrap_or(&self.work_id)
    }
}

/// Result of a submission for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A complete answer, with the id of the work that it answers.
    Answered(String),
    /// A refusal.
    Refused(Refusal),
    /// The connection broke before a complete answer.
    Broken,
}

impl Completion {
    /// Returns a short description.
    pub fn summary(&self) -> String {
        match self {
            Self::Answered(_) => "whole".to_owned(),
            Self::Refused(r) => format!("{} {}", r.execution, r.reason),
            Self::Broken => "broken".to_owned(),
        }
    }

    /// Returns whether the caller was told that the request did not run.
    pub fn reports_not_run(&self) -> bool {
        matches!(self, Self::Refused(r) if r.execution == Execution::NotRun)
    }
}

/// A request submitted to an instance.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The request.
    pub call: Call,
    /// Index of the instance that received it.
    pub node: usize,
    /// Time of submission.
    pub submitted_at: Duration,
    /// Time and kind of the completion; `None` while the caller waits.
    pub completion: Option<(Duration, Completion)>,
}
