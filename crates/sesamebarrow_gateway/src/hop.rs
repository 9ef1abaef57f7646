//! Forwards requests to an instance of another region. A request is forwarded at most once.
//!
//! The first instance identifies the customer and reserves its tokens. It sends its decisions in
//! an envelope header, and the second instance only selects an upstream.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use serde::{Deserialize, Serialize};
use sesamebarrow_platform::bound::MAX_TIME;
use sesamebarrow_platform::head;
use sesamebarrow_routing::admit::RequestSpec;
use sesamebarrow_routing::limit;
use sesamebarrow_routing::quarantine::Suspects;
use sesamebarrow_routing::spill::RemoteInstance;
use smol_str::SmolStr;

use crate::exchange;
use crate::intake::{self, Job, RequestPolicy, Residency, path_and_query};
use crate::memory;
use crate::meter::MeteredBody;
use crate::relay::Body;
use crate::reply::Refusal;
use crate::shared::Shared;
use crate::token::Reservation;

pub mod numbering;

/// Header that contains the envelope.
const ENVELOPE_HEADER: &str = "sesamebarrow-envelope";

/// Header of a response that comes from the second instance itself and not from an upstream. It
/// says whether the request may have run.
const RESULT_HEADER: &str = "sesamebarrow-result";

/// Header of a refusal by a second instance that stops.
const STOPPING_HEADER: &str = "sesamebarrow-stopping";

/// Header of a response that names the upstream that the second instance selected.
const UPSTREAM_HEADER: &str = "sesamebarrow-upstream";

/// Header of a streamed response whose bytes are numbered ([`numbering`]).
const NUMBERED_HEADER: &str = "sesamebarrow-numbered";

/// The decisions of the first instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Envelope {
    service: SmolStr,
    route: SmolStr,
    customer: Option<SmolStr>,
    may_repeat: bool,
    /// Earlier versions do not say it.
    #[serde(default)]
    streams: bool,
    resumable: bool,
    max_attempts: u32,
    priority: u8,
    /// Milliseconds until the deadline.
    left: u64,
    /// Milliseconds until the response should begin.
    target: u64,
    /// Id of the event after which a resumed stream continues.
    last_event: Option<SmolStr>,
    /// Ids of upstreams of the second instance's region that have already run the request.
    #[serde(default)]
    tried_upstreams: Vec<SmolStr>,
    /// Order in which it gives way.
    #[serde(default)]
    rank: u8,
    /// Whether the first instance reads numbered streams; those of earlier versions do not.
    #[serde(default)]
    reads_numbered: bool,
}

/// Whether a request that the second instance refused may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The request has not run and will not.
    NotRun,
    /// The request has not run and will not: it crashes upstreams.
    Harmful,
    /// The request may have run.
    Unknown,
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

/// Returns the address at which the instance at `ip` accepts forwarded requests.
pub fn address(shared: &Shared, ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(ip.into(), shared.listen.hop.port())
}

fn to_millis(duration: Duration) -> u64 {
    // CAST: deadlines are far below 2^64 milliseconds.
    duration.as_millis() as u64
}

fn from_millis(millis: u64) -> Duration {
    Duration::from_millis(millis).min(MAX_TIME)
}

/// Builds the request to the second instance.
pub fn build_request(
    job: &Job,
    remote: &RemoteInstance,
    region_delay: Duration,
    last_event: Option<&SmolStr>,
    tried_upstreams: &[SmolStr],
) -> Request<Full<Bytes>> {
    let mut req = exchange::build_request(job);
    let time_to_target = job
        .response_due_at
        .saturating_duration_since(Instant::now());
    // The times are reduced by the one-way delay between regions, but by no more than the
    // estimated wait, since the first byte of the response arrives that much later.
    let return_delay = remote.estimated_wait.min(region_delay);
    let envelope = Envelope {
        service: job.policy.service.clone(),
        route: job.policy.route.clone(),
        customer: job.policy.customer.clone(),
        may_repeat: job.policy.may_repeat,
        streams: job.policy.streams,
        resumable: job.policy.resumable,
        // Only the first instance decides whether to retry after an attempt that may have run.
        max_attempts: 1,
        priority: job.policy.priority,
        left: to_millis(job.time_left().saturating_sub(return_delay)),
        target: to_millis(time_to_target.saturating_sub(return_delay)),
        last_event: last_event.cloned(),
        tried_upstreams: tried_upstreams.to_vec(),
        rank: job.spec.rank,
        reads_numbered: true,
    };
    let text = serde_json::to_string(&envelope).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(&text) {
        req.headers_mut().insert(ENVELOPE_HEADER, value);
    }
    req
}

/// Reads whether a request that the second instance refused may have run; `None` if the response
/// is an upstream's.
pub fn read_refusal_kind(headers: &HeaderMap) -> Option<RefusalKind> {
    headers.get(RESULT_HEADER)?.to_str().ok()?.parse().ok()
}

/// Reads whether the second instance refused the request because it stops.
pub fn is_stopping(headers: &HeaderMap) -> bool {
    headers.contains_key(STOPPING_HEADER)
}

/// Reads which upstream the second instance selected.
pub fn read_upstream(headers: &HeaderMap) -> Option<SmolStr> {
    headers
        .get(UPSTREAM_HEADER)?
        .to_str()
        .ok()
        .map(SmolStr::new)
}

/// Writes for the first instance which upstream this one selected.
pub fn write_upstream(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(UPSTREAM_HEADER, value);
    }
}

/// Reads whether the bytes of a streamed response are numbered.
pub fn is_numbered(headers: &HeaderMap) -> bool {
    headers.contains_key(NUMBERED_HEADER)
}

/// Writes for the first instance that the bytes of a streamed response are numbered.
pub fn write_numbered(headers: &mut HeaderMap) {
    headers.insert(
        HeaderName::from_static(NUMBERED_HEADER),
        HeaderValue::from_static("1"),
    );
}

/// Returns whether a header belongs to the protocol between instances.
pub fn is_between_instances(name: &HeaderName) -> bool {
    let names = [
        ENVELOPE_HEADER,
        RESULT_HEADER,
        UPSTREAM_HEADER,
        NUMBERED_HEADER,
        STOPPING_HEADER,
    ];
    names.contains(&name.as_str())
}

/// Writes for the first instance which attempt was refused, and whether it may have run.
pub fn write_refusal(response: &mut Response<Body>, refusal: Refusal, id: &str) {
    let refusal_kind = match refusal {
        Refusal::Unknown(_) => RefusalKind::Unknown,
        Refusal::TimedOut => RefusalKind::TimedOut,
        Refusal::Harmful => RefusalKind::Harmful,
        _ => RefusalKind::NotRun,
    };
    head::write_attempt_id(response.headers_mut(), id);
    if refusal == Refusal::Stopping {
        let name = HeaderName::from_static(STOPPING_HEADER);
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static("1"));
    }
    if let Ok(value) = HeaderValue::from_str(&refusal_kind.to_string()) {
        response.headers_mut().insert(RESULT_HEADER, value);
    }
}

/// Receives a forwarded request and turns it into a job.
pub async fn receive(shared: &Arc<Shared>, req: Request<MeteredBody>) -> Result<Job, Refusal> {
    let started_at = Instant::now();
    let (mut parts, body) = req.into_parts();
    let envelope = parts.headers.remove(ENVELOPE_HEADER);
    let envelope: Option<Envelope> = envelope
        .and_then(|v| v.to_str().ok().map(serde_json::from_str))
        .and_then(Result::ok);
    let Some(envelope) = envelope else {
        memory::discard(body);
        return Err(Refusal::NotRun("no-envelope", Duration::ZERO));
    };
    let mut held = shared
        .memory
        .hold(envelope.customer.as_deref(), envelope.priority);
    // The first instance has checked its size.
    let body = intake::read_body(body, usize::MAX, &mut held).await?;
    if !intake::may_accept_forwarded(shared, from_millis(envelope.left)) {
        return Err(Refusal::Stopping);
    }
    let request_head = head::read_request(&parts.headers);
    let (prompt_tokens, output_tokens) = request_head.tokens.unwrap_or((0, 0));
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    parts.headers.remove(hyper::header::TRANSFER_ENCODING);
    let tried_upstreams = {
        let board = shared.board();
        let keys = envelope.tried_upstreams.iter();
        keys.filter_map(|id| board.upstreams.key(id)).collect()
    };
    Ok(Job {
        id: request_head.id,
        method: parts.method,
        path_and_query: path_and_query(parts.uri),
        headers: parts.headers,
        body,
        held,
        policy: RequestPolicy {
            service: envelope.service.clone(),
            route: envelope.route,
            customer: envelope.customer,
            may_repeat: envelope.may_repeat,
            streams: envelope.streams,
            resumable: envelope.resumable,
            max_attempts: envelope.max_attempts,
            priority: envelope.priority,
            from_instance: true,
            numbers_stream: envelope.reads_numbered,
        },
        // The first instance forwards only to regions that the data may enter.
        residency: Residency::default(),
        spec: RequestSpec {
            service: envelope.service,
            prompt: request_head.prompt,
            prompt_tokens,
            output_tokens: request_head
                .output_tokens_hint
                .map_or(output_tokens, |h| h.min(output_tokens)),
            target_wait: from_millis(envelope.target),
            tried_upstreams,
            rank: envelope.rank,
            urgency: limit::urgency(envelope.priority, envelope.may_repeat),
            skips_limited: false,
            is_trial: false,
        },
        suspects: Suspects::default(),
        last_event: envelope.last_event,
        started_at,
        response_due_at: started_at + from_millis(envelope.target),
        deadline: started_at + from_millis(envelope.left),
        reservation: Reservation::none(shared),
    }
    .with_suspects())
}
