//! Relays responses to clients, completely and in order. A response that ends early is also cut
//! off for the client, so that it cannot be mistaken for a complete one.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Response};
use sesamebarrow_platform::head;
use sesamebarrow_routing::upstream::AttemptOutcome;
use smol_str::SmolStr;
use tokio::time::Sleep;

use crate::attempt::Attempt;
use crate::exchange::{self, AttemptHistory, UpstreamResponse};
use crate::intake::Job;
use crate::reply::Refusal;
use crate::shared::Shared;
use crate::stream_timing::StreamTiming;
use crate::telemetry;

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

/// Relays the response to `job`. If a buffered response ends early, the request is retried where
/// that is allowed.
pub async fn relay_response(
    shared: &Arc<Shared>,
    job: Job,
    mut history: AttemptHistory,
    response: UpstreamResponse,
) -> Result<Response<Body>, Refusal> {
    if head::is_event_stream(response.head.headers()) {
        return Ok(build_stream_response(shared, job, history, response));
    }
    let mut response = response;
    loop {
        let body = tokio::time::timeout(job.time_left(), read_body(&mut response)).await;
        let (refusal, outcome) = match body {
            Ok(Ok(body)) => return Ok(finish_response(shared, &job, response, body)),
            Ok(Err(BodyError)) => (Refusal::Unknown("answer-broken"), AttemptOutcome::Broken),
            Err(_) => (Refusal::TimedOut, AttemptOutcome::Silent),
        };
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

async fn read_body(response: &mut UpstreamResponse) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = response.body.frame().await {
        let frame = frame.map_err(|_| BodyError)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_BUFFERED_BYTES {
            return Err(BodyError);
        }
    }
    Ok(buf.freeze())
}

fn finish_response(
    shared: &Shared,
    job: &Job,
    response: UpstreamResponse,
    body: Bytes,
) -> Response<Body> {
    let status = response.head.status();
    let outcome = if exchange::is_failure(status) {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Whole
    };
    let target = response.attempt.target_name().clone();
    response.attempt.end(outcome);
    record_end(shared, job, &target, status.as_u16(), "whole", None);
    let (mut parts, ()) = response.head.into_parts();
    remove_internal_headers(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    Response::from_parts(parts, full_body(body))
}

fn remove_internal_headers(headers: &mut HeaderMap) {
    let not_returned: Vec<_> = headers
        .keys()
        .filter(|n| !head::may_return(n))
        .cloned()
        .collect();
    for name in not_returned {
        headers.remove(name);
    }
}

/// Logs and counts the end of a request for which a response was received; `timing` is that of a
/// stream.
fn record_end(
    shared: &Shared,
    job: &Job,
    target: &str,
    status: u16,
    outcome: &'static str,
    timing: Option<&StreamTiming>,
) {
    let first_ms = timing
        .and_then(|t| t.first_event)
        .map_or(0, |f| f.as_millis());
    let pause_ms = timing.map_or(0, |t| t.longest_pause.as_millis());
    let left_ms = job.time_left().as_millis();
    let millis = job.started_at.elapsed().as_millis();
    if shared.log_limiter.allow(outcome != "whole") {
        log::info!(
            request = job.id.as_str(), route = job.policy.route.as_str(),
            customer = job.policy.customer.as_deref().unwrap_or("none"), target, status, outcome,
            millis, first_ms, pause_ms, left_ms, hopped = job.policy.from_instance;
            "request ended"
        );
    }
    metrics::counter!("sesamebarrow_answers_total", "outcome" => outcome).increment(1);
    metrics::histogram!("sesamebarrow_answer_seconds")
        .record(job.started_at.elapsed().as_secs_f64());
}

fn build_stream_response(
    shared: &Arc<Shared>,
    job: Job,
    history: AttemptHistory,
    response: UpstreamResponse,
) -> Response<Body> {
    let (mut parts, ()) = response.head.into_parts();
    remove_internal_headers(&mut parts.headers);
    shared.active_requests.fetch_add(1, Ordering::Relaxed);
    let body = StreamBody {
        shared: shared.clone(),
        deadline: Box::pin(tokio::time::sleep_until(job.deadline.into())),
        events: EventBuffer::new(job.policy.resumable, job.last_event.clone()),
        job: Arc::new(job),
        target: response.attempt.target_name().clone(),
        state: StreamState::Receiving(response.body, Some(Box::new(response.attempt))),
        history: Some(history),
        status: parts.status.as_u16(),
        timing: StreamTiming::default(),
    };
    Response::from_parts(parts, body.boxed_unsync())
}

/// Splits a stream into events, so that a stream that is resumed at another upstream continues
/// after the last complete event.
#[derive(Debug)]
struct EventBuffer {
    /// Whether only complete events are relayed; otherwise, bytes are relayed as they arrive.
    complete_events_only: bool,
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// Id of the last complete event.
    last_id: Option<SmolStr>,
}

impl EventBuffer {
    fn new(complete_events_only: bool, last_id: Option<SmolStr>) -> Self {
        Self {
            complete_events_only,
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Adds a chunk and returns the bytes that can be relayed.
    fn push(&mut self, chunk: Bytes) -> Bytes {
        if !self.complete_events_only {
            return chunk;
        }
        self.partial.extend_from_slice(&chunk);
        let last_end = memchr::memmem::rfind(&self.partial, b"\n\n");
        let Some(last_end) = last_end else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(last_end + 2).freeze();
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }
}

/// Returns the id of the last event that has an id.
fn last_event_id(events: &[u8]) -> Option<SmolStr> {
    let line = events
        .split(|b| *b == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    Some(SmolStr::new(std::str::from_utf8(line).ok()?.trim()))
}

enum StreamState {
    /// Receiving events from the target.
    Receiving(Incoming, Option<Box<Attempt>>),
    /// Making attempts to resume the stream at another target.
    Resuming(BoxFuture<'static, (AttemptHistory, Result<UpstreamResponse, Refusal>)>),
    /// The stream has ended.
    Done,
}

/// The body of a streamed response.
struct StreamBody {
    shared: Arc<Shared>,
    job: Arc<Job>,
    state: StreamState,
    events: EventBuffer,
    /// `None` while attempts to resume the stream use it.
    history: Option<AttemptHistory>,
    deadline: Pin<Box<Sleep>>,
    status: u16,
    /// Name of the upstream or instance that sends the stream.
    target: SmolStr,
    timing: StreamTiming,
}

impl StreamBody {
    fn record_end(&self, outcome: &'static str) {
        let timing = Some(&self.timing);
        record_end(
            &self.shared,
            &self.job,
            &self.target,
            self.status,
            outcome,
            timing,
        );
    }

    /// Ends the current attempt.
    fn end_attempt(&mut self, outcome: AttemptOutcome) {
        if let StreamState::Receiving(_, Some(attempt)) =
            std::mem::replace(&mut self.state, StreamState::Done)
        {
            attempt.end(outcome);
        }
    }

    fn fail(&mut self, outcome: &'static str) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.record_end(outcome);
        self.state = StreamState::Done;
        Poll::Ready(Some(Err(BodyError)))
    }

    /// Starts to resume the stream at another target. Returns whether that is allowed.
    fn resume(&mut self) -> bool {
        let Some(mut history) = self
            .history
            .take()
            .filter(|_| self.events.complete_events_only)
        else {
            return false;
        };
        self.events.partial.clear();
        let shared = self.shared.clone();
        let job = self.job.clone();
        let last_id = self.events.last_id.clone();
        self.state = StreamState::Resuming(Box::pin(async move {
            let result =
                exchange::make_attempts_after(&shared, &job, &mut history, last_id.as_ref()).await;
            (history, result)
        }));
        true
    }
}

impl HttpBody for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        loop {
            let polled = match &mut this.state {
                StreamState::Done => return Poll::Ready(None),
                StreamState::Resuming(future) => match future.as_mut().poll(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready((history, Ok(response))) if response.head.status().is_success() => {
                        this.history = Some(history);
                        this.target = response.attempt.target_name().clone();
                        log::info!(
                            request = this.job.id.as_str(), target = this.target.as_str();
                            "stream resumed"
                        );
                        this.state =
                            StreamState::Receiving(response.body, Some(Box::new(response.attempt)));
                        continue;
                    }
                    Poll::Ready(_) => return this.fail("not-resumed"),
                },
                StreamState::Receiving(body, _) => Pin::new(body).poll_frame(cx),
            };
            let Poll::Ready(polled) = polled else {
                ready!(this.deadline.as_mut().poll(cx));
                this.end_attempt(AttemptOutcome::Silent);
                return this.fail("timeout");
            };
            match polled {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let StreamState::Receiving(_, Some(attempt)) = &mut this.state {
                        attempt.record_first_byte();
                    }
                    let data = this.events.push(data);
                    if !data.is_empty() {
                        this.timing.record_event(this.job.started_at);
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                None if this.events.partial.is_empty() => {
                    this.end_attempt(AttemptOutcome::Whole);
                    this.record_end("whole");
                    return Poll::Ready(None);
                }
                Some(Err(_)) | None => {
                    this.end_attempt(AttemptOutcome::Broken);
                    log::info!(
                        request = this.job.id.as_str(),
                        event = this.events.last_id.as_deref().unwrap_or("none"); "stream broken"
                    );
                    if !this.resume() {
                        return this.fail("broken");
                    }
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.shared.active_requests.fetch_sub(1, Ordering::Relaxed);
        if let Some(first) = self.timing.first_event {
            telemetry::record_stream(&self.job.policy.route, first, self.timing.longest_pause);
        }
        if !matches!(self.state, StreamState::Done) {
            self.record_end("cancelled");
        }
    }
}
