//! Relays responses to clients, completely and in order. A response that ends early is also cut
//! off for the client, so that it cannot be mistaken for a complete one.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as HttpBody;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{HeaderMap, Method, Response};
use sesamebarrow_platform::head;
use sesamebarrow_routing::upstream::AttemptOutcome;

use crate::crash;
use crate::event_stream::{self, Position};
use crate::exchange::{self, UpstreamResponse};
use crate::framing::Framing;
use crate::hop;
use crate::intake::Job;
use crate::memory::Held;
use crate::quarantine;
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;
use crate::stream;
use crate::stream_timing::StreamTiming;

/// Maximum size of a response other than a stream, which is buffered before it is relayed.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// A response body ended early or was too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response body is incomplete or too large")]
pub struct BodyError;

/// Body of a response to a client or another instance.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Receives the whole body of `response`, unless its length is known, and holds it in `held`. A client that
/// reads no chunks could not tell a stream that breaks off from a complete one.
pub async fn buffer_response(
    response: Response<Body>,
    mut held: Held,
) -> Result<Response<Body>, Refusal> {
    if response.body().size_hint().exact().is_some() {
        return Ok(response);
    }
    let (parts, mut body) = response.into_parts();
    match collect(&mut body, &mut held, || {}).await {
        Ok(bytes) => Ok(Response::from_parts(
            parts,
            full_body(held.into_bytes(bytes)),
        )),
        Err(BodyError) => Err(Refusal::Unknown("answer-broken")),
    }
}

/// Receives a body of at most [`MAX_BUFFERED_BYTES`], counts it in `held`, and calls `record_frame` for each part. Its trailers are dropped, since a
/// body that is sent with its length cannot have any.
async fn collect(
    body: &mut (impl HttpBody<Data = Bytes> + Unpin),
    held: &mut Held,
    mut record_frame: impl FnMut(),
) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError)?;
        record_frame();
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_BUFFERED_BYTES || held.follow(buf.capacity()).is_err() {
            return Err(BodyError);
        }
    }
    Ok(buf.freeze())
}

/// Relays the response to `job`. If a buffered response ends early, the request is retried where
/// that is allowed.
pub async fn relay_response(
    shared: &Arc<Shared>,
    job: Job,
    mut history: AttemptHistory,
    response: UpstreamResponse,
) -> Result<Response<Body>, Refusal> {
    if is_stream(&job, &response.head) {
        return Ok(stream::build_response(shared, job, history, response));
    }
    let mut response = response;
    loop {
        let mut held = job.held.another();
        let body = read_body(&mut response, &mut held);
        let body = tokio::time::timeout(job.time_left(), body).await;
        let (refusal, outcome) = match body {
            Ok(Ok(body)) => return Ok(finish_response(shared, &job, response, (body, held))),
            Ok(Err(BodyError)) => (Refusal::Unknown("answer-broken"), AttemptOutcome::Broken),
            Err(_) => {
                let heard_at = Some(response.heard_at);
                let outcome = response.attempt.outcome_at_deadline(&job, heard_at);
                (Refusal::TimedOut, outcome)
            }
        };
        if outcome == AttemptOutcome::Broken {
            history.examination = crash::examine(shared, &job, &response.attempt, 0);
        }
        response.attempt.end(outcome);
        log::info!(request = job.id.as_str(), outcome:% = refusal; "attempt ended");
        if !job.policy.may_repeat {
            return Err(refusal);
        }
        response = match exchange::make_attempts(shared, &job, &mut history).await {
            Ok(response) => response,
            Err(_) => return Err(refusal),
        };
    }
}

/// Returns whether the response to `job` is an event stream. On a streaming route a success is one unless it names another
/// media type.
fn is_stream(job: &Job, head: &Response<()>) -> bool {
    let names_type = event_stream::states_media_type(head.headers());
    let is_implied = job.policy.streams && head.status().is_success() && !names_type;
    is_implied || event_stream::is_event_stream(head.headers())
}

async fn read_body(response: &mut UpstreamResponse, held: &mut Held) -> Result<Bytes, BodyError> {
    let UpstreamResponse { body, heard_at, .. } = response;
    let body = collect(body, held, || *heard_at = Instant::now()).await?;
    if response.framing != Framing::Connection {
        return Ok(body);
    }
    if head::contains_response(&body) || !response.attempt.confirm_end().await {
        return Err(BodyError);
    }
    Ok(body)
}

fn finish_response(
    shared: &Shared,
    job: &Job,
    response: UpstreamResponse,
    (body, held): (Bytes, Held),
) -> Response<Body> {
    let status = response.head.status();
    let outcome = if exchange::is_failure(status) {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Whole
    };
    let target = response.attempt.target_name().clone();
    let is_new_connection = response.attempt.expected().is_first;
    response.attempt.end(outcome);
    // Something in front of a crashed upstream may answer with a server error.
    if !status.is_server_error() {
        quarantine::record_answer(shared, job);
    }
    let end = End {
        target: &target,
        status: status.as_u16(),
        outcome: "whole",
        framing: response.framing,
        is_new_connection,
        stream: None,
    };
    record_end(shared, job, &end);
    let (mut parts, ()) = response.head.into_parts();
    replace_internal_headers(&mut parts.headers, job, &target);
    if job.method != Method::HEAD || !states_one_length(&parts.headers) {
        // The HTTP library writes the length of the body.
        parts.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(parts, full_body(held.into_bytes(body)))
}

/// Returns whether the headers state one length, which is a number.
fn states_one_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let is_number = |v: &HeaderValue| !v.is_empty() && v.as_bytes().iter().all(u8::is_ascii_digit);
    lengths.next().is_some_and(is_number) && lengths.next().is_none()
}

/// Replaces the headers of a target's response that are not meant for whoever sent the request.
pub fn replace_internal_headers(headers: &mut HeaderMap, job: &Job, target: &str) {
    let not_returned: Vec<_> = headers
        .keys()
        .filter(|n| !head::may_return(n) || hop::is_between_instances(n))
        .cloned()
        .collect();
    for name in not_returned {
        headers.remove(name);
    }
    if job.policy.from_instance {
        hop::write_upstream(headers, target);
    }
}

/// End of a response that was received from a target.
pub struct End<'a> {
    /// Name of the upstream or instance.
    pub target: &'a str,
    /// HTTP status.
    pub status: u16,
    /// How the response ended, for logs and metrics.
    pub outcome: &'static str,
    /// What ends the body of the response.
    pub framing: Framing,
    /// Whether the connection had carried no response before.
    pub is_new_connection: bool,
    /// Properties of a stream.
    pub stream: Option<StreamEnd<'a>>,
}

/// End of a stream.
#[derive(Clone, Copy)]
pub struct StreamEnd<'a> {
    /// Number of complete events that were received.
    pub events: u64,
    /// Number of targets that sent a part of the stream.
    pub parts: u32,
    /// Where in an event the stream ended.
    pub position: Position,
    /// Times at which events were relayed.
    pub timing: &'a StreamTiming,
}

/// Logs and counts the end of a request for which a response was received.
pub fn record_end(shared: &Shared, job: &Job, end: &End<'_>) {
    let timing = end.stream.map(|s| s.timing);
    let first_ms = timing
        .and_then(|t| t.first_event)
        .map_or(0, |f| f.as_millis());
    let pause_ms = timing.map_or(0, |t| t.longest_pause.as_millis());
    let left_ms = job.time_left().as_millis();
    let millis = job.started_at.elapsed().as_millis();
    let framing: &str = end.framing.into();
    let ended_at: &str = end.stream.map_or("none", |s| s.position.into());
    if shared.log_limiter.allow(end.outcome != "whole") {
        log::info!(
            request = job.id.as_str(), route = job.policy.route.as_str(),
            customer = job.policy.customer.as_deref().unwrap_or("none"), target = end.target,
            status = end.status, outcome = end.outcome, millis, first_ms, pause_ms, left_ms,
            hopped = job.policy.from_instance, framing, ended_at,
            events = end.stream.map_or(0, |s| s.events),
            parts = end.stream.map_or(1, |s| s.parts), new_connection = end.is_new_connection;
            "request ended"
        );
    }
    metrics::counter!("sesamebarrow_answers_total", "outcome" => end.outcome).increment(1);
    metrics::counter!(
        "sesamebarrow_answer_ends_total",
        "framing" => end.framing.to_string(), "position" => ended_at.to_owned(),
        "outcome" => end.outcome
    )
    .increment(1);
    metrics::histogram!("sesamebarrow_answer_seconds")
        .record(job.started_at.elapsed().as_secs_f64());
}
