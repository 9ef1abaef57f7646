//! Passes an answer on: whole, in order, and visibly broken where it broke.

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

use crate::exchange::{self, Answer, Tries};
use crate::held::Held;
use crate::intake::Job;
use crate::pace::Pace;
use crate::reply::Refusal;
use crate::shared::Shared;
use crate::telemetry;

/// Largest answer of a plain request that is taken in whole before it is passed on.
const MAX_WHOLE: usize = 1024 * 1024;

/// The answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// A body towards a caller.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// Returns a body that holds `bytes`.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Passes on the answer to `job`.
pub async fn pass_on(
    shared: &Arc<Shared>,
    job: Job,
    mut tries: Tries,
    answer: Answer,
) -> Result<Response<Body>, Refusal> {
    if head::is_event_stream(answer.head.headers()) {
        return Ok(stream(shared, job, tries, answer));
    }
    let mut answer = answer;
    loop {
        let whole = tokio::time::timeout(job.left(), take_whole(&mut answer)).await;
        let (refusal, end) = match whole {
            Ok(Ok(body)) => return Ok(finish(shared, &job, answer, body)),
            Ok(Err(Broken)) => (Refusal::Unknown("answer-broken"), AttemptOutcome::Broken),
            Err(_) => (Refusal::TimedOut, AttemptOutcome::Silent),
        };
        answer.held.end(end);
        log::info!(request = job.id.as_str(), outcome:% = refusal; "attempt ended");
        if !job.plan.may_repeat {
            return Err(refusal);
        }
        answer = match exchange::run(shared, &job, &mut tries).await {
            Ok(answer) => answer,
            Err(_) => return Err(refusal),
        };
    }
}

async fn take_whole(answer: &mut Answer) -> Result<Bytes, Broken> {
    let mut buf = BytesMut::new();
    while let Some(frame) = answer.body.frame().await {
        let frame = frame.map_err(|_| Broken)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_WHOLE {
            return Err(Broken);
        }
    }
    Ok(buf.freeze())
}

fn finish(shared: &Shared, job: &Job, answer: Answer, body: Bytes) -> Response<Body> {
    let status = answer.head.status();
    let end = if exchange::is_failure(status) {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Whole
    };
    let target = answer.held.target().clone();
    answer.held.end(end);
    log_end(shared, job, &target, status.as_u16(), "whole", None);
    let (mut parts, ()) = answer.head.into_parts();
    strip(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    Response::from_parts(parts, full(body))
}

fn strip(headers: &mut HeaderMap) {
    let withheld: Vec<_> = headers
        .keys()
        .filter(|n| !head::may_return(n))
        .cloned()
        .collect();
    for name in withheld {
        headers.remove(name);
    }
}

/// Writes the line of a request that an upstream answered; `pace` of a stream.
fn log_end(
    shared: &Shared,
    job: &Job,
    target: &str,
    status: u16,
    outcome: &'static str,
    pace: Option<&Pace>,
) {
    let first_ms = pace.and_then(|p| p.first).map_or(0, |f| f.as_millis());
    let pause_ms = pace.map_or(0, |p| p.longest_pause.as_millis());
    let left_ms = job.left().as_millis();
    let millis = job.began.elapsed().as_millis();
    if shared.lines.allow(outcome != "whole") {
        log::info!(
            request = job.id.as_str(), route = job.plan.route.as_str(),
            customer = job.plan.customer.as_deref().unwrap_or("none"), target, status, outcome,
            millis, first_ms, pause_ms, left_ms, hopped = job.plan.hopped;
            "request ended"
        );
    }
    metrics::counter!("sesamebarrow_answers_total", "outcome" => outcome).increment(1);
    metrics::histogram!("sesamebarrow_answer_seconds").record(job.began.elapsed().as_secs_f64());
}

fn stream(shared: &Arc<Shared>, job: Job, tries: Tries, answer: Answer) -> Response<Body> {
    let (mut parts, ()) = answer.head.into_parts();
    strip(&mut parts.headers);
    shared.requests.fetch_add(1, Ordering::Relaxed);
    let relay = Relay {
        shared: shared.clone(),
        ends: Box::pin(tokio::time::sleep_until(job.ends.into())),
        events: Events::new(job.plan.resumable, job.last_event.clone()),
        job: Arc::new(job),
        target: answer.held.target().clone(),
        source: Source::Open(answer.body, Some(Box::new(answer.held))),
        tries: Some(tries),
        status: parts.status.as_u16(),
        pace: Pace::default(),
    };
    Response::from_parts(parts, relay.boxed_unsync())
}

/// Cuts a stream into events, so that a stream which goes on elsewhere continues after
/// the last whole one.
#[derive(Debug)]
struct Events {
    /// Whether only whole events are passed on.
    whole: bool,
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Id of the last whole event.
    last: Option<SmolStr>,
}

impl Events {
    fn new(whole: bool, last: Option<SmolStr>) -> Self {
        Self {
            whole,
            partial: BytesMut::new(),
            last,
        }
    }

    /// Takes a chunk and returns what can be passed on.
    fn take(&mut self, chunk: Bytes) -> Bytes {
        if !self.whole {
            return chunk;
        }
        self.partial.extend_from_slice(&chunk);
        let end = memchr::memmem::rfind(&self.partial, b"\n\n");
        let Some(end) = end else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end + 2).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let line = events
        .split(|b| *b == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    Some(SmolStr::new(std::str::from_utf8(line).ok()?.trim()))
}

enum Source {
    /// The stream comes from an upstream.
    Open(Incoming, Option<Box<Held>>),
    /// It is to go on at another one.
    Resuming(BoxFuture<'static, (Tries, Result<Answer, Refusal>)>),
    /// It has ended.
    Done,
}

/// The body of a stream.
struct Relay {
    shared: Arc<Shared>,
    job: Arc<Job>,
    source: Source,
    events: Events,
    /// `None` while a resumption holds it.
    tries: Option<Tries>,
    ends: Pin<Box<Sleep>>,
    status: u16,
    /// Name of the upstream or instance that the stream comes from.
    target: SmolStr,
    pace: Pace,
}

impl Relay {
    fn log_end(&self, outcome: &'static str) {
        let pace = Some(&self.pace);
        log_end(
            &self.shared,
            &self.job,
            &self.target,
            self.status,
            outcome,
            pace,
        );
    }

    /// Ends the attempt in hand.
    fn end(&mut self, end: AttemptOutcome) {
        if let Source::Open(_, Some(held)) = std::mem::replace(&mut self.source, Source::Done) {
            held.end(end);
        }
    }

    fn fail(&mut self, outcome: &'static str) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.log_end(outcome);
        self.source = Source::Done;
        Poll::Ready(Some(Err(Broken)))
    }

    /// Begins to go on at another upstream; tells whether it may.
    fn resume(&mut self) -> bool {
        let Some(mut tries) = self.tries.take().filter(|_| self.events.whole) else {
            return false;
        };
        self.events.partial.clear();
        let shared = self.shared.clone();
        let job = self.job.clone();
        let last = self.events.last.clone();
        self.source = Source::Resuming(Box::pin(async move {
            let result = exchange::run_from(&shared, &job, &mut tries, last.as_ref()).await;
            (tries, result)
        }));
        true
    }
}

impl HttpBody for Relay {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let this = self.get_mut();
        loop {
            let polled = match &mut this.source {
                Source::Done => return Poll::Ready(None),
                Source::Resuming(future) => match future.as_mut().poll(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready((tries, Ok(answer))) if answer.head.status().is_success() => {
                        this.tries = Some(tries);
                        this.target = answer.held.target().clone();
                        log::info!(
                            request = this.job.id.as_str(), target = this.target.as_str();
                            "stream resumed"
                        );
                        this.source = Source::Open(answer.body, Some(Box::new(answer.held)));
                        continue;
                    }
                    Poll::Ready(_) => return this.fail("not-resumed"),
                },
                Source::Open(body, _) => Pin::new(body).poll_frame(cx),
            };
            let Poll::Ready(polled) = polled else {
                ready!(this.ends.as_mut().poll(cx));
                this.end(AttemptOutcome::Silent);
                return this.fail("timeout");
            };
            match polled {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Source::Open(_, Some(held)) = &mut this.source {
                        held.note_read();
                    }
                    let data = this.events.take(data);
                    if !data.is_empty() {
                        this.pace.note(this.job.began);
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                None if this.events.partial.is_empty() => {
                    this.end(AttemptOutcome::Whole);
                    this.log_end("whole");
                    return Poll::Ready(None);
                }
                Some(Err(_)) | None => {
                    this.end(AttemptOutcome::Broken);
                    log::info!(
                        request = this.job.id.as_str(),
                        event = this.events.last.as_deref().unwrap_or("none"); "stream broken"
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

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.requests.fetch_sub(1, Ordering::Relaxed);
        if let Some(first) = self.pace.first {
            telemetry::note_stream(&self.job.plan.route, first, self.pace.longest_pause);
        }
        if !matches!(self.source, Source::Done) {
            self.log_end("cancelled");
        }
    }
}
