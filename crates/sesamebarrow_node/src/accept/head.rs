//! Reads a request: its head before anything is decided, its body afterwards.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};
use sesamebarrow_policy::{Head, Origin};
use smol_str::SmolStr;

use crate::attempt::Call;
use crate::credential::{self, Key};
use crate::exchange::ReadCall;
use crate::node::Node;
use crate::problem::Problem;

/// Bytes of a prompt that make a token at the least. What is reserved must not be less
/// than the real cost.
const BYTES_PER_TOKEN: u64 = 1;

/// Largest body whose length the head does not tell, in bytes. Its tokens are reserved
/// before it is read.
pub(super) const MAX_UNSIZED_BYTES: u64 = 8 * 1024;

/// Turns a credential that cannot be taken into a problem.
pub(super) fn bad_credential(error: &credential::Error) -> Problem {
    Problem::bad_input(StatusCode::BAD_REQUEST, "bad-credential", error.to_string())
}

/// Reads the head of a request whose body has `length` bytes at most.
pub(super) fn read(
    node: &Node,
    parts: &hyper::http::request::Parts,
    service: &SmolStr,
    path: &str,
    key: Option<&Key>,
    length: u64,
) -> Result<Head, Problem> {
    let headers = &parts.headers;
    let ticket = single(headers, "idempotency-key")?.map(SmolStr::new);
    let deadline = number(headers, "x-deadline-ms")?;
    let deadline = deadline.map_or(node.settings.request.deadline, Duration::from_millis);
    let max_tokens = number(headers, "x-max-tokens")?;
    let limit = node.settings.request.max_body_bytes as u64;
    if length > limit {
        return Err(too_large(limit).doubted(ticket.is_some()));
    }
    let prompt = length.div_ceil(BYTES_PER_TOKEN);
    let answer = max_tokens.unwrap_or(node.settings.request.max_tokens);
    Ok(Head {
        origin: Origin::Caller {
            key: key.map(Key::digest),
        },
        service: service.clone(),
        method: SmolStr::new(parts.method.as_str()),
        path: SmolStr::new(path),
        ticket,
        time_left: deadline,
        estimated_tokens: prompt.saturating_add(answer),
    })
}

fn too_large(limit: u64) -> Problem {
    let title = format!("expected a body of {limit} bytes at most");
    Problem::bad_input(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", title)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let title = format!("expected one {name}");
        return Err(Problem::bad_input(
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
        Problem::bad_input(StatusCode::BAD_REQUEST, "bad-field", title)
    })
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = single(headers, name)? else {
        return Ok(None);
    };
    text.trim().parse().map(Some).map_err(|_| {
        let title = format!("expected a whole number in {name}");
        Problem::bad_input(StatusCode::BAD_REQUEST, "bad-field", title)
    })
}

/// Returns what reads the body, once the head has passed.
pub(super) fn read_call(
    node: &Node,
    call: Call,
    key: Option<Key>,
    body: Incoming,
    length: u64,
) -> ReadCall {
    let limit = usize::try_from(length).unwrap_or(usize::MAX);
    let timeout = node.settings.request.read_timeout;
    Box::pin(async move {
        let collect = Limited::new(body, limit).collect();
        let collected = tokio::time::timeout(timeout, collect).await.map_err(|_| {
            let title = "the body did not come in time";
            Problem::bad_input(StatusCode::REQUEST_TIMEOUT, "body-too-slow", title)
        })?;
        let body = collected
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    too_large(limit as u64)
                } else {
                    let title = "the body broke off";
                    Problem::bad_input(StatusCode::BAD_REQUEST, "body-broken", title)
                }
            })?
            .to_bytes();
        if let Some(key) = &key {
            credential::check_placement(key, &call.path, &call.fields, &body)
                .map_err(|e| bad_credential(&e))?;
        }
        Ok(Call { body, ..call })
    })
}
