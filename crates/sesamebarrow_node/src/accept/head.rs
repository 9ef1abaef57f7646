//! Reads requests of callers: the head before the policy decides, the body afterwards.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, StatusCode};
use sesamebarrow_policy::{Head, Origin};
use smol_str::SmolStr;

use super::unread::RequestBody;
use crate::attempt::OutboundRequest;
use crate::credential::{self, Key};
use crate::exchange::OutboundFuture;
use crate::node::Node;
use crate::problem::Problem;

/// Lower bound of the prompt bytes that make one token. With it, the tokens reserved are never
/// fewer than those that the prompt costs.
const MIN_BYTES_PER_TOKEN: u64 = 1;

/// Maximum size of a body whose length is not stated in the head. Its tokens are reserved
/// before it is read.
pub(super) const MAX_BYTES_IF_LENGTH_UNKNOWN: u64 = 8 * 1024;

/// Returns the problem document for an unusable credential.
pub(super) fn bad_credential(error: &credential::Error) -> Problem {
    Problem::rejection(StatusCode::BAD_REQUEST, "bad-credential", error.to_string())
}

/// Reads the head of a request whose body has at most `max_length` bytes.
pub(super) fn read(
    node: &Node,
    parts: &hyper::http::request::Parts,
    service: &SmolStr,
    path: &str,
    key: Option<&Key>,
    max_length: u64,
) -> Result<Head, Problem> {
    let headers = &parts.headers;
    // For a request that must run at most once, the ticket names the process that may run it.
    let ticket = single_value(headers, "idempotency-key")?.map(SmolStr::new);
    let deadline = parse_number(headers, "x-deadline-ms")?;
    let time_left = deadline.map_or(node.settings.request.deadline, Duration::from_millis);
    let max_tokens = parse_number(headers, "x-max-tokens")?;
    let limit = node.settings.request.max_body_bytes as u64;
    if max_length > limit {
        return Err(too_large(limit).with_unknown_execution_if(ticket.is_some()));
    }
    let prompt_tokens = max_length.div_ceil(MIN_BYTES_PER_TOKEN);
    let response_tokens = max_tokens.unwrap_or(node.settings.request.max_tokens);
    Ok(Head {
        origin: Origin::Caller {
            key: key.map(Key::digest),
        },
        service: service.clone(),
        method: SmolStr::new(parts.method.as_str()),
        path: SmolStr::new(path),
        ticket,
        time_left,
        estimated_tokens: prompt_tokens.saturating_add(response_tokens),
    })
}

fn too_large(limit: u64) -> Problem {
    let title = format!("expected a body of {limit} bytes at most");
    Problem::rejection(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", title)
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let title = format!("expected one {name}");
        return Err(Problem::rejection(
            StatusCode::BAD_REQUEST,
            "bad-field",
            title,
        ));
    }
    let Some(value) = first else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| {
        let title = format!("expected visible ASCII in {name}");
        Problem::rejection(StatusCode::BAD_REQUEST, "bad-field", title)
    })
}

fn parse_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    text.trim().parse().map(Some).map_err(|_| {
        let title = format!("expected a whole number in {name}");
        Problem::rejection(StatusCode::BAD_REQUEST, "bad-field", title)
    })
}

/// Returns a future that reads the body and completes `outbound` with it. It starts only after
/// the policy has chosen a target.
pub(super) fn read_body(
    node: &Node,
    outbound: OutboundRequest,
    key: Option<Key>,
    body: RequestBody,
    max_length: u64,
) -> OutboundFuture {
    let limit = usize::try_from(max_length).unwrap_or(usize::MAX);
    let timeout = node.settings.request.read_timeout;
    Box::pin(async move {
        let collect = Limited::new(body, limit).collect();
        let collected = tokio::time::timeout(timeout, collect).await.map_err(|_| {
            let title = "the body did not come in time";
            Problem::rejection(StatusCode::REQUEST_TIMEOUT, "body-too-slow", title)
        })?;
        let body = collected
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    too_large(limit as u64)
                } else {
                    let title = "the body broke off";
                    Problem::rejection(StatusCode::BAD_REQUEST, "body-broken", title)
                }
            })?
            .to_bytes();
        if let Some(key) = &key {
            credential::check_key_absent(key, &outbound.path, &outbound.fields, &body)
                .map_err(|e| bad_credential(&e))?;
        }
        Ok(OutboundRequest { body, ..outbound })
    })
}
