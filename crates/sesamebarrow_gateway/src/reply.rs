//! Responses that the gateway returns instead of an upstream's response.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use sesamebarrow_platform::head;

use crate::relay::{self, Body};
use crate::sends::Sends;

/// Time after which a client may retry at another instance if this one stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Why the gateway returns no upstream's response. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No route matches.
    #[error("no-route")]
    NoRoute,
    /// The API key is missing or unknown.
    #[error("unknown-key")]
    UnknownKey,
    /// The request body is too large.
    #[error("body-too-large")]
    BodyTooLarge,
    /// The request body is incomplete or cannot be read.
    #[error("bad-body")]
    BadBody,
    /// The customer's rate is exceeded. Contains the delay after which to retry.
    #[error("rate")]
    Rate(Duration),
    /// The request has not run and will not. Contains the reason and the delay after which to
    /// retry.
    #[error("{0}")]
    NotRun(&'static str, Duration),
    /// The request has not run and will not: this instance stops before it would end.
    #[error("stopping")]
    Stopping,
    /// The request has not run and will not: it, or a part of its prompt, crashes upstreams.
    #[error("harmful-request")]
    Harmful,
    /// The request may have run. Contains the reason.
    #[error("{0}")]
    Unknown(&'static str),
    /// The request may have run, and its deadline has passed.
    #[error("timeout")]
    TimedOut,
}

impl Refusal {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Rate(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotRun(..) | Self::Stopping | Self::Harmful => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether it promises that the request has not run and will not.
    pub fn promises_not_run(self) -> bool {
        head::promises_not_run(self.status())
    }

    /// Returns the refusal of a request that was sent as `sends` say: one that promises nothing if one of them may have run.
    pub fn after(self, sends: &Sends) -> Self {
        match self.promises_not_run() && sends.possible_runs() > 0 {
            true => Self::Unknown("may-have-run"),
            false => self,
        }
    }

    /// Returns the delay after which the client may retry, if a retry makes sense.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Rate(after) | Self::NotRun(_, after) => Some(after),
            Self::Stopping => Some(STOPPING_RETRY_AFTER),
            _ => None,
        }
    }

    /// Builds the response.
    pub fn into_response(self) -> Response<Body> {
        let text = format!("{{\"error\":\"{self}\"}}");
        let mut response = Response::new(relay::full_body(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let content_type = hyper::header::HeaderValue::from_static("application/json");
        headers.insert(hyper::header::CONTENT_TYPE, content_type);
        if let Some(after) = self.retry_after() {
            head::write_retry_after(headers, after);
        }
        response
    }
}
