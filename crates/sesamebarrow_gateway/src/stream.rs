//! Relays event streams. A stream that ends early is resumed at another target where its route
//! allows it, and otherwise cut off for the client as well.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use sesamebarrow_routing::upstream::AttemptOutcome;
use smol_str::SmolStr;
use tokio::time::Sleep;

use crate::attempt::Attempt;
use crate::crash;
use crate::event_stream::{self, BYTE_ORDER_MARK, Foreign, Ids, Parser, Position, ResumePoint};
use crate::exchange::{self, UpstreamResponse};
use crate::framing::{self, Framing};
use crate::hop;
use crate::hop::numbering::{Decoder, Encoder};
use crate::intake::Job;
use crate::memory::Held;
use crate::meter::MeteredBody;
use crate::quarantine;
use crate::relay::{self, Body, BodyError, End, StreamEnd};
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;
use crate::stream_timing::StreamTiming;
use crate::telemetry;

/// Builds a response whose body relays the stream of `response`.
pub fn build_response(
    shared: &Arc<Shared>,
    job: Job,
    history: AttemptHistory,
    response: UpstreamResponse,
) -> Response<Body> {
    let (mut parts, ()) = response.head.into_parts();
    let decoder = hop::is_numbered(&parts.headers).then(Decoder::default);
    let target = response.attempt.target_name().clone();
    relay::replace_internal_headers(&mut parts.headers, &job, &target);
    // A stream that breaks off or is resumed has another length than its first target announced.
    parts.headers.remove(CONTENT_LENGTH);
    let encoder = job.policy.numbers_stream.then(Encoder::default);
    if encoder.is_some() {
        hop::write_numbered(&mut parts.headers);
    }
    shared.active_requests.fetch_add(1, Ordering::Relaxed);
    let body = StreamBody {
        shared: shared.clone(),
        deadline: Box::pin(tokio::time::sleep_until(job.deadline.into())),
        events: EventBuffer::new(&job, parts.status),
        job: Arc::new(job),
        target,
        parts: 1,
        is_new_connection: response.attempt.expected().is_first,
        state: StreamState::Receiving(response.body, Some(Box::new(response.attempt))),
        history: Some(history),
        status: parts.status.as_u16(),
        framing: response.framing,
        decoder,
        encoder,
        timing: StreamTiming::default(),
        heard_at: response.heard_at,
    };
    Response::from_parts(parts, body.boxed_unsync())
}

/// Maximum size of an event of a resumable stream, which is held back until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Size above which an event of any other stream is relayed before it is complete.
const MAX_HELD_EVENT_BYTES: usize = 64 * 1024;

/// An event is larger than [`MAX_EVENT_BYTES`], or there is no memory for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event is too large")]
struct EventTooLarge;

/// Holds back events that are not complete, so that a stream can be resumed at another upstream and foreign bytes are
/// not relayed.
#[derive(Debug)]
struct EventBuffer {
    /// Whether only complete events are relayed; otherwise, those that are too large to be held are relayed in parts.
    complete_events_only: bool,
    /// Whether they are relayed to another instance, which checks them again.
    is_hop: bool,
    parser: Parser,
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// The memory that `partial` holds.
    held: Held,
    /// Number of complete events of earlier parts.
    events_before: u64,
    /// Whether nothing of a part that another target continues has been relayed. Inside the joined
    /// stream its byte order mark would belong to the name of its first field.
    is_start_of_part: bool,
}

impl EventBuffer {
    fn new(job: &Job, status: StatusCode) -> Self {
        let policy = &job.policy;
        let (last_id, held) = (job.last_event.clone(), job.held.another());
        let complete_events_only = policy.resumable;
        // An error may come as any events.
        let ids = match policy.streams && status.is_success() {
            true => Ids::Increasing,
            false => Ids::Any,
        };
        // An upstream of any other stream begins anew, whatever its caller has received.
        let last_id = last_id.filter(|id| complete_events_only && !id.is_empty());
        let resume_point = last_id.map_or(ResumePoint::Start, ResumePoint::After);
        Self {
            complete_events_only,
            is_hop: policy.from_instance,
            parser: Parser::new(ids, resume_point),
            partial: BytesMut::new(),
            held,
            events_before: 0,
            is_start_of_part: false,
        }
    }

    /// Adds a chunk and returns the bytes that can be relayed.
    fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventTooLarge> {
        let Some(offset) = self.parser.push(&chunk) else {
            return self.hold(&chunk);
        };
        let mut complete = chunk.slice(..offset);
        if !self.partial.is_empty() {
            self.partial.extend_from_slice(&complete);
            // Its memory is counted until the rest of `chunk` is held.
            complete = std::mem::take(&mut self.partial).freeze();
        }
        if std::mem::take(&mut self.is_start_of_part) && complete.starts_with(BYTE_ORDER_MARK) {
            complete.advance(BYTE_ORDER_MARK.len());
        }
        let early = self.hold(&chunk[offset..])?;
        if early.is_empty() {
            return Ok(complete);
        }
        Ok([complete, early].concat().into())
    }

    /// Holds bytes of an event that is not complete, and returns those that must be relayed nevertheless.
    fn hold(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.partial.extend_from_slice(bytes);
        match self.foreign() {
            // The other instance must not resume the stream either.
            Some(Foreign::Order) if self.is_hop => return Ok(self.partial.split().freeze()),
            Some(_) => return Ok(Bytes::new()),
            None => {}
        }
        let max_bytes = match self.complete_events_only {
            true => MAX_EVENT_BYTES,
            false => MAX_HELD_EVENT_BYTES,
        };
        let fits = self.partial.len() <= max_bytes;
        if fits && self.held.follow(self.partial.capacity()).is_ok() {
            return Ok(Bytes::new());
        }
        if self.complete_events_only {
            return Err(EventTooLarge);
        }
        // Never fails: nothing is held.
        let _ = self.held.follow(0);
        Ok(std::mem::take(&mut self.partial).freeze())
    }

    /// Returns what shows that bytes that were received are no part of the stream.
    fn foreign(&self) -> Option<Foreign> {
        self.parser.foreign()
    }

    /// Returns whether another target can continue the stream without repeating or skipping an event.
    fn can_resume(&self) -> bool {
        // The last id may be the foreign one.
        let is_after_last = self.foreign() != Some(Foreign::Order);
        let is_known = *self.parser.resume_point() != ResumePoint::Nowhere;
        self.complete_events_only && is_after_last && is_known
    }

    /// Returns the position that the current part has reached.
    fn position(&self) -> Position {
        match self.parser.position() {
            Position::Between if self.parser.events() == self.events_before => Position::Start,
            position => position,
        }
    }

    /// Returns the id of the last complete event.
    fn last_id(&self) -> Option<&SmolStr> {
        match self.parser.resume_point() {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Nowhere => None,
        }
    }

    /// Drops the incomplete event, which another target sends again.
    fn restart(&mut self) {
        self.partial = BytesMut::new();
        // Never fails: nothing is held.
        let _ = self.held.follow(0);
        self.parser.restart();
        self.events_before = self.parser.events();
        self.is_start_of_part = true;
    }
}

enum StreamState {
    /// Receiving events from the target.
    Receiving(MeteredBody, Option<Box<Attempt>>),
    /// The body has ended with its connection; finding out whether the target has crashed.
    Confirming(BoxFuture<'static, bool>, Option<Box<Attempt>>),
    /// Making attempts to resume the stream at another target.
    Resuming(BoxFuture<'static, (AttemptHistory, Result<UpstreamResponse, Refusal>)>),
    /// The stream broke. The next poll ends it with an error; what was relayed is sent before.
    Failing,
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
    /// What ends the body that is being received.
    framing: Framing,
    /// Checks the bytes that are received, if they are numbered.
    decoder: Option<Decoder>,
    /// Numbers the bytes that are relayed, if another instance checks them.
    encoder: Option<Encoder>,
    /// Name of the upstream or instance that sends the stream.
    target: SmolStr,
    /// Number of targets that have sent a part of it.
    parts: u32,
    /// Whether the target's connection had carried no response before.
    is_new_connection: bool,
    timing: StreamTiming,
    /// When something was last received from the target.
    heard_at: Instant,
}

impl StreamBody {
    fn record_end(&self, outcome: &'static str) {
        let end = End {
            target: &self.target,
            status: self.status,
            outcome,
            framing: self.framing,
            is_new_connection: self.is_new_connection,
            stream: Some(StreamEnd {
                events: self.events.parser.events(),
                parts: self.parts,
                position: self.events.position(),
                timing: &self.timing,
            }),
        };
        relay::record_end(&self.shared, &self.job, &end);
    }

    /// Records that an event was completed, which also shows that the prompt has been prefilled.
    fn record_event(&mut self) {
        if let StreamState::Receiving(_, Some(attempt)) = &mut self.state {
            attempt.record_first_event();
        }
        self.timing.record_event(self.job.started_at);
    }

    /// Returns how the current attempt ends if the deadline has passed.
    fn outcome_at_deadline(&self) -> AttemptOutcome {
        match &self.state {
            StreamState::Receiving(_, Some(attempt))
            | StreamState::Confirming(_, Some(attempt)) => {
                attempt.outcome_at_deadline(&self.job, Some(self.heard_at))
            }
            _ => AttemptOutcome::Inconclusive,
        }
    }

    /// Ends the current attempt.
    fn end_attempt(&mut self, outcome: AttemptOutcome) {
        let state = std::mem::replace(&mut self.state, StreamState::Done);
        if let StreamState::Receiving(_, Some(mut attempt))
        | StreamState::Confirming(_, Some(mut attempt)) = state
        {
            attempt.record_longest_pause(self.timing.longest_pause);
            attempt.end(outcome);
        }
    }

    /// Ends the stream, which is complete.
    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.end_attempt(AttemptOutcome::Whole);
        // A stream without events shows nothing of what its upstream does at the first one.
        let is_success = StatusCode::from_u16(self.status).is_ok_and(|s| s.is_success());
        if is_success && self.events.parser.events() > 0 {
            let (took, tokens) = (self.job.started_at.elapsed(), self.job.spec.output_tokens);
            let route = &self.job.policy.route;
            let mut board = self.shared.board();
            board.stream_durations.record(route, took, tokens);
            drop(board);
            quarantine::record_answer(&self.shared, &self.job);
        }
        self.record_end("whole");
        Poll::Ready(None)
    }

    /// Starts to find out whether the target has crashed.
    fn confirm_end(&mut self) {
        let state = std::mem::replace(&mut self.state, StreamState::Done);
        if let StreamState::Receiving(_, Some(attempt)) = state {
            let future = Box::pin(attempt.confirm_end());
            self.state = StreamState::Confirming(future, Some(attempt));
        }
    }

    /// Ends the attempt, which broke with `error`, and starts to resume the stream if that is
    /// allowed. Returns whether it is.
    fn recover(&mut self, error: &str) -> bool {
        if let StreamState::Receiving(_, Some(attempt)) | StreamState::Confirming(_, Some(attempt)) =
            &self.state
            && let Some(history) = &mut self.history
        {
            let events = self.events.parser.events();
            history.examination = crash::examine(&self.shared, &self.job, attempt, events);
        }
        self.end_attempt(AttemptOutcome::Broken);
        let (framing, ended_at): (&str, &str) =
            (self.framing.into(), self.events.position().into());
        log::info!(
            request = self.job.id.as_str(),
            event = self.events.last_id().map_or("none", SmolStr::as_str), framing, ended_at, error;
            "stream broken"
        );
        self.resume()
    }

    /// Ends the stream with an error at the next poll. The HTTP library drops what it has not sent
    /// yet when a body fails, so it gets a turn to send the events that were relayed.
    fn fail(
        &mut self,
        cx: &Context<'_>,
        outcome: &'static str,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.record_end(outcome);
        self.state = StreamState::Failing;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Starts to resume the stream at another target. Returns whether that is allowed.
    fn resume(&mut self) -> bool {
        if !self.events.can_resume() {
            return false;
        }
        let Some(mut history) = self.history.take() else {
            return false;
        };
        self.events.restart();
        let shared = self.shared.clone();
        let job = self.job.clone();
        let last_id = self.events.last_id().cloned();
        self.state = StreamState::Resuming(Box::pin(async move {
            let result =
                exchange::make_attempts_after(&shared, &job, &mut history, last_id.as_ref()).await;
            (history, result)
        }));
        true
    }
}

/// Returns whether the response to a resumed request is a part of its stream.
fn continues_stream(head: &Response<()>) -> bool {
    head.status().is_success() && event_stream::is_event_stream(head.headers())
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
            if let Some(foreign) = this.events.foreign()
                && matches!(this.state, StreamState::Receiving(..))
            {
                telemetry::count_foreign_bytes(foreign);
                if this.recover(&format!("foreign bytes: {foreign}")) {
                    continue;
                }
                return this.fail(cx, "broken");
            }
            let polled = match &mut this.state {
                StreamState::Done => return Poll::Ready(None),
                StreamState::Failing => {
                    this.state = StreamState::Done;
                    return Poll::Ready(Some(Err(BodyError)));
                }
                StreamState::Resuming(future) => match future.as_mut().poll(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready((history, Ok(response))) if continues_stream(&response.head) => {
                        this.history = Some(history);
                        this.target = response.attempt.target_name().clone();
                        this.framing = response.framing;
                        this.parts += 1;
                        this.is_new_connection = response.attempt.expected().is_first;
                        this.heard_at = response.heard_at;
                        this.decoder =
                            hop::is_numbered(response.head.headers()).then(Decoder::default);
                        log::info!(
                            request = this.job.id.as_str(), target = this.target.as_str();
                            "stream resumed"
                        );
                        this.state =
                            StreamState::Receiving(response.body, Some(Box::new(response.attempt)));
                        continue;
                    }
                    Poll::Ready(_) => return this.fail(cx, "not-resumed"),
                },
                StreamState::Confirming(future, _) => {
                    if ready!(future.as_mut().poll(cx)) {
                        return this.complete();
                    }
                    if this.recover("target has crashed") {
                        continue;
                    }
                    return this.fail(cx, "broken");
                }
                StreamState::Receiving(body, _) => Pin::new(body).poll_frame(cx),
            };
            let Poll::Ready(polled) = polled else {
                ready!(this.deadline.as_mut().poll(cx));
                let outcome = this.outcome_at_deadline();
                this.end_attempt(outcome);
                return this.fail(cx, "timeout");
            };
            match polled {
                Some(Ok(frame)) => {
                    this.heard_at = Instant::now();
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let data = match &mut this.decoder {
                        None => data,
                        Some(decoder) => match decoder.decode(&data) {
                            Ok(data) => data,
                            Err(gap) if this.recover(&gap.to_string()) => continue,
                            Err(_) => return this.fail(cx, "broken"),
                        },
                    };
                    let events_before = this.events.parser.events();
                    let Ok(data) = this.events.push(data) else {
                        this.end_attempt(AttemptOutcome::Broken);
                        return this.fail(cx, "event-too-large");
                    };
                    if this.events.parser.events() > events_before {
                        this.record_event();
                    }
                    if !data.is_empty() {
                        let data = match &mut this.encoder {
                            None => data,
                            Some(encoder) => encoder.encode(data),
                        };
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                None if this
                    .decoder
                    .as_ref()
                    .is_none_or(Decoder::is_between_records)
                    && framing::is_stream_complete(this.framing, this.events.position()) =>
                {
                    if this.framing != Framing::Connection {
                        return this.complete();
                    }
                    this.confirm_end();
                }
                ended => {
                    let error = match ended {
                        Some(Err(error)) => error.to_string(),
                        _ => "end of body".to_owned(),
                    };
                    if !this.recover(&error) {
                        return this.fail(cx, "broken");
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
        if !matches!(self.state, StreamState::Failing | StreamState::Done) {
            self.record_end("cancelled");
        }
    }
}
