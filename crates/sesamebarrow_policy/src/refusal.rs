//! Refusals: why a request is refused, and whether it may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a refusal states about the execution of the request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request did not run and will not run, so it is safe to send it again.
    NotRun,
    /// The request ran, but its response is no longer stored.
    Completed,
    /// The request may have run.
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
    /// The instance has no configuration yet, or has just resumed after a pause.
    NotReady,
    /// The instance is shutting down.
    Draining,
    /// The request has no API key, or one that is unknown or revoked.
    BadKey,
    /// The customer may not call the service.
    NotAllowed,
    /// The service does not exist.
    UnknownService,
    /// The customer does not allow its data to be processed in this region.
    WrongRegion,
    /// The customer has used up its rate and burst.
    RateExceeded,
    /// The request needs a ticket.
    NeedsTicket,
    /// The ticket was not issued by this fleet for this customer and service.
    BadTicket,
    /// An earlier request with this ticket ended before it was sent; the caller needs a new
    /// ticket.
    TicketVoid,
    /// The ticket was already used for a different request.
    TicketReused,
    /// An earlier request with this ticket is still running.
    StillRunning,
    /// The process that owns the ticket no longer exists or cannot be reached.
    OwnerLost,
    /// The ticket has expired.
    TicketExpired,
    /// The request ran, but its response is no longer stored.
    AnswerGone,
    /// All usable upstreams are at capacity, or the instance cannot record more tickets.
    Overloaded,
    /// The service has no live upstream here.
    NoUpstream,
    /// The deadline has passed.
    DeadlinePassed,
    /// The upstream failed.
    UpstreamFailed,
    /// The request crashes upstreams.
    Harmful,
    /// The rules of this instance are older than those of the instance that owns the ticket.
    OutOfDate,
    /// This instance has a fault.
    Internal,
    /// The request was forwarded by an instance and would have to be forwarded again, or
    /// was forwarded more than once.
    Loop,
}

impl Reason {
    /// Returns the HTTP status code.
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
            Self::Internal => 500,
            Self::UpstreamFailed => 502,
            Self::NotReady
            | Self::Draining
            | Self::Overloaded
            | Self::NoUpstream
            | Self::Harmful
            | Self::OutOfDate => 503,
            Self::DeadlinePassed => 504,
            Self::Loop => 508,
        }
    }

    /// Returns the title for callers, which is part of the public interface.
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
            Self::Harmful => "The request crashes upstreams.",
            Self::OutOfDate => "This instance's rules are out of date.",
            Self::Internal => "This instance has a fault.",
            Self::Loop => "A request passes between instances once at most.",
        }
    }
}

/// The final response that an instance gives when it refuses a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Delay after which to retry; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
    /// Names of instances that may take the request, best first.
    pub instances: Vec<SmolStr>,
    /// New ticket with which to send the request again.
    pub ticket: Option<SmolStr>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            retry_after: None,
            instances: Vec::new(),
            ticket: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(reason)
        }
    }

    /// Replaces [`Execution::NotRun`] by [`Execution::Unknown`], for requests of which an
    /// earlier attempt may have run.
    pub fn with_unknown_execution(mut self) -> Self {
        if self.execution == Execution::NotRun {
            self.execution = Execution::Unknown;
        }
        self
    }

    /// Sets the delay after which to retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
