//! Refusals and rejections as problem documents (RFC 9457).

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use sesamebarrow_policy::{Execution, Reason, Refusal};
use smol_str::SmolStr;

use crate::relay::{self, Body};

/// A problem document.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// URN that ends with the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable description.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub outcome: Execution,
    /// Time after which the caller should retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Instances that may accept the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub instances: Vec<SmolStr>,
    /// Ticket with which the caller can send the request again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<SmolStr>,
}

/// A problem document with the id of the request.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    #[serde(flatten)]
    problem: &'a Problem,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a SmolStr>,
}

impl Problem {
    /// Creates the problem document for a refusal.
    pub fn from_refusal(refusal: &Refusal) -> Self {
        Self {
            kind: urn(&refusal.reason.to_string()),
            title: refusal.reason.title().to_owned(),
            status: refusal.reason.status(),
            outcome: refusal.execution,
            retry_after_ms: refusal.retry_after.map(as_millis_u64),
            instances: refusal.instances.clone(),
            ticket: refusal.ticket.clone(),
        }
    }

    /// Creates the problem document for a request that was rejected before it ran.
    pub fn rejection(status: StatusCode, reason: &str, title: impl Into<String>) -> Self {
        Self {
            kind: urn(reason),
            title: title.into(),
            status: status.as_u16(),
            outcome: Execution::NotRun,
            retry_after_ms: None,
            instances: Vec::new(),
            ticket: None,
        }
    }

    /// Changes the outcome from [`Execution::NotRun`] to [`Execution::Unknown`] if the
    /// request has a ticket, since an earlier request with this ticket may have run.
    pub fn with_unknown_execution_if(mut self, has_ticket: bool) -> Self {
        if has_ticket && self.outcome == Execution::NotRun {
            self.outcome = Execution::Unknown;
        }
        self
    }

    /// Returns the HTTP response to the request with the id `request`.
    pub fn into_response(self, request: Option<&SmolStr>) -> Response<Body> {
        let document = ProblemDocument {
            problem: &self,
            request,
        };
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let mut response = Response::new(relay::full(body));
        let status = StatusCode::from_u16(self.status);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(after.div_ceil(1000)));
        }
        response
    }
}

fn urn(name: &str) -> String {
    format!("urn:sesamebarrow:problem:{name}")
}

fn as_millis_u64(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Decodes a refusal from another instance. Replaces an unknown reason by
/// [`Reason::UpstreamFailed`] and an unknown execution by [`Execution::Unknown`].
pub fn decode_refusal(refused: &sesamebarrow_wire::stream::Refused) -> Refusal {
    let reason = refused.reason.parse().unwrap_or(Reason::UpstreamFailed);
    let execution = refused.execution.parse().unwrap_or(Execution::Unknown);
    let retry_after = Duration::from_millis(u64::from(refused.retry_after_ms));
    Refusal {
        reason,
        execution,
        retry_after: (!retry_after.is_zero()).then_some(retry_after),
        instances: refused.instances.iter().map(SmolStr::from).collect(),
        ticket: Some(SmolStr::from(&refused.ticket)).filter(|t| !t.is_empty()),
    }
}

/// Encodes a refusal for the instance that forwarded the request.
pub fn encode_refusal(stream: u64, refusal: &Refusal) -> sesamebarrow_wire::stream::Refused {
    let retry_after = refusal.retry_after.map_or(0, as_millis_u64);
    sesamebarrow_wire::stream::Refused {
        stream,
        reason: refusal.reason.to_string(),
        retry_after_ms: u32::try_from(retry_after).unwrap_or(u32::MAX),
        instances: refusal.instances.iter().map(ToString::to_string).collect(),
        execution: refusal.execution.to_string(),
        ticket: refusal.ticket.as_deref().unwrap_or_default().to_owned(),
    }
}
