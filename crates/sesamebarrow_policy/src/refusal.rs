//! Why a request is refused, and what that says of its having run.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a refusal says of the request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// It did not run and will not, so that it is safe to send again.
    NotRun,
    /// It ran; its answer is no longer held.
    Completed,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::EnumString,
    strum::Display,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The instance holds no configuration yet, or has just woken from a pause.
    NotReady,
    /// The instance is stopping.
    Draining,
    /// No key, or one that is not in force.
    BadKey,
    /// The customer may not call the service.
    NotAllowed,
    /// No such service.
    UnknownService,
    /// The customer's data may not be in this region.
    WrongRegion,
    /// The customer's rate and burst are spent.
    RateExceeded,
    /// The request needs a ticket.
    NeedsTicket,
    /// The ticket is not one that this fleet gave out for this customer and service.
    BadTicket,
    /// An earlier sending with this ticket was refused; it needs a new one.
    TicketVoid,
    /// The ticket was used for another request.
    TicketReused,
    /// An earlier sending with this ticket still runs.
    StillRunning,
    /// The instance that owns the ticket is gone or cannot be reached.
    OwnerLost,
    /// The ticket's life is over.
    TicketExpired,
    /// The request ran; its answer is no longer held.
    AnswerGone,
    /// No upstream has room.
    Overloaded,
    /// No upstream of the service is known here.
    NoUpstream,
    /// The deadline has passed.
    DeadlinePassed,
    /// The upstream failed.
    UpstreamFailed,
    /// The instance's rules are older than those of a neighbour.
    OutOfDate,
    /// The request came from an instance and would have to go to another.
    Loop,
}

impl Reason {
    /// Returns the HTTP status that fits.
    pub fn status(self) -> u16 {
        match self {
            Self::BadKey => 401,
            Self::NotAllowed => 403,
            Self::UnknownService => 404,
            Self::StillRunning | Self::TicketVoid | Self::OwnerLost | Self::TicketExpired => 409,
            Self::AnswerGone => 410,
            Self::WrongRegion => 421,
            Self::TicketReused => 422,
            Self::NeedsTicket => 428,
            Self::RateExceeded => 429,
            Self::BadTicket => 400,
            Self::UpstreamFailed => 502,
            Self::NotReady
            | Self::Draining
            | Self::Overloaded
            | Self::NoUpstream
            | Self::OutOfDate => 503,
            Self::DeadlinePassed => 504,
            Self::Loop => 508,
        }
    }

    /// Returns a sentence for callers.
    pub fn title(self) -> &'static str {
        match self {
            Self::NotReady => "This instance is not ready.",
            Self::Draining => "This instance is stopping.",
            Self::BadKey => "The key is missing or not in force.",
            Self::NotAllowed => "The customer may not call this service.",
            Self::UnknownService => "There is no such service.",
            Self::WrongRegion => "The customer's data may not be in this region.",
            Self::RateExceeded => "The customer's rate and burst are spent.",
            Self::NeedsTicket => "This request needs a ticket as its Idempotency-Key.",
            Self::BadTicket => "The ticket is not valid for this customer and service.",
            Self::TicketVoid => "An earlier sending with this ticket was refused.",
            Self::TicketReused => "The ticket was used for another request.",
            Self::StillRunning => "An earlier sending with this ticket still runs.",
            Self::OwnerLost => "The instance that owns the ticket cannot be reached.",
            Self::TicketExpired => "The ticket's life is over.",
            Self::AnswerGone => "The request ran; its answer is no longer held.",
            Self::Overloaded => "No upstream has room.",
            Self::NoUpstream => "No upstream of the service is known here.",
            Self::DeadlinePassed => "The deadline has passed.",
            Self::UpstreamFailed => "The upstream failed.",
            Self::OutOfDate => "This instance's rules are out of date.",
            Self::Loop => "A request passes between instances once at most.",
        }
    }
}

/// The final answer to a request that is given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What it says of the request's having run.
    pub execution: Execution,
    /// When to come back; `None` where coming back would not help.
    pub retry_after: Option<Duration>,
    /// Instances that may take the request, the best first.
    pub instances: Vec<SmolStr>,
    /// A fresh ticket with which to send the request again.
    pub ticket: Option<SmolStr>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after: None,
            instances: Vec::new(),
            ticket: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(reason)
        }
    }

    /// Takes back that the request did not run, where an earlier attempt may have.
    pub fn with_unknown_execution(mut self) -> Self {
        if self.execution == Execution::NotRun {
            self.execution = Execution::Unknown;
        }
        self
    }

    /// Adds when to come back.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
