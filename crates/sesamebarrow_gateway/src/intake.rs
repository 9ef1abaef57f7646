//! Turns a client's request into a job: finds the route, identifies the customer and reserves
//! tokens.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Uri};
use sesamebarrow_platform::head;
use sesamebarrow_routing::admit::RequestSpec;
use sesamebarrow_routing::config::{Customer, Route, is_region_allowed};
use sesamebarrow_routing::dispatch;
use sesamebarrow_routing::drain::{self, Schedule};
use sesamebarrow_routing::fingerprint::{self, Content};
use sesamebarrow_routing::limit;
use sesamebarrow_routing::quarantine::Suspects;
use sesamebarrow_routing::token as routing_token;
use sesamebarrow_routing::{Config, RequestKind};
use smol_str::SmolStr;

use crate::memory::{self, Held};
use crate::meter::MeteredBody;
use crate::reply::Refusal;
use crate::run::ANSWER_TIME;
use crate::shared::Shared;
use crate::token::{self, Reservation};

/// Time for which a client is assumed to wait if its request states no time.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Assumed number of output tokens of requests that state none.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;

/// Part of the client's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Time after which a client may retry if this instance has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Properties of a request that follow from its route and customer. They are also sent to an
/// instance that the request is forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// The service that runs the request.
    pub service: SmolStr,
    /// Name of the route, for logs.
    pub route: SmolStr,
    /// Name of the customer.
    pub customer: Option<SmolStr>,
    /// Whether it may be retried although an earlier attempt may have run.
    pub may_repeat: bool,
    /// Whether its response is an event stream, unless it says otherwise.
    pub streams: bool,
    /// Whether its response is a stream that another upstream can resume.
    pub resumable: bool,
    /// Maximum number of attempts that may run it.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether another instance forwarded it to this one.
    pub from_instance: bool,
    /// Whether the bytes of a streamed response are numbered for the instance that forwarded it.
    pub numbers_stream: bool,
}

/// Regions that a request's data may enter: those that both its route and its customer allow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    route: Vec<SmolStr>,
    customer: Vec<SmolStr>,
}

impl Residency {
    /// Returns whether the data may enter `region`.
    pub fn allows(&self, region: &str) -> bool {
        is_region_allowed(&self.route, region) && is_region_allowed(&self.customer, region)
    }
}

/// A request that this instance handles.
pub struct Job {
    /// Id of the client's attempt.
    pub id: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: PathAndQuery,
    /// Headers that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The memory that the body holds.
    pub held: Held,
    /// Properties that follow from the route and the customer.
    pub policy: RequestPolicy,
    /// Regions that the request's data may enter.
    pub residency: Residency,
    /// Properties that the selection of an upstream depends on. Each attempt uses a copy whose
    /// `target_wait` is set from the time that is left.
    pub spec: RequestSpec,
    /// What is blamed if an upstream crashes under the request. Set by [`Self::with_suspects`].
    pub suspects: Suspects,
    /// Id of the event after which a resumed stream continues.
    pub last_event: Option<SmolStr>,
    /// Time at which the request's head was received.
    pub started_at: Instant,
    /// Time by which the response should begin.
    pub response_due_at: Instant,
    /// Time at which the request is aborted.
    pub deadline: Instant,
    /// The tokens reserved for the request.
    pub reservation: Reservation,
}

impl Job {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the job with its suspects, which follow from its other fields.
    pub fn with_suspects(mut self) -> Self {
        let customer = self.policy.customer.as_deref().unwrap_or_default();
        let fingerprint = fingerprint::of_request(&Content {
            method: self.method.as_str(),
            host: head::read_host(&self.headers).unwrap_or_default(),
            path_and_query: self.path_and_query.as_str(),
            customer,
            body: &self.body,
        });
        let customer = routing_token::customer_hash(customer);
        self.suspects = Suspects::of_request(customer, fingerprint, &self.spec.prompt);
        self
    }
}

/// Receives a client's request and turns it into a job.
pub async fn receive(shared: &Arc<Shared>, req: Request<MeteredBody>) -> Result<Job, Refusal> {
    let started_at = Instant::now();
    let (parts, body) = req.into_parts();
    let request_head = head::read_request(&parts.headers);
    let (config, route, customer) =
        match check_head(shared, &parts, request_head.api_key.as_deref()) {
            Ok(checked) => checked,
            Err(refusal) => {
                memory::discard(body);
                return Err(refusal);
            }
        };
    let mut held = shared.memory.hold(
        customer.as_ref().map(|c| c.name.as_str()),
        priority(&route, customer.as_deref()),
    );
    let body = read_body(body, config.limits.max_body_bytes, &mut held).await?;
    // The configuration may have changed while the body was received.
    let config = shared.board().config.clone().unwrap_or(config);
    let (route, customer) = if config.route(&route.host, parts.uri.path()) == Some(&route) {
        (route, customer)
    } else {
        let route = find_route(&config, &parts)?;
        let customer = identify(&config, &route, request_head.api_key.as_deref())?;
        (route, customer)
    };
    shared.board().record_route_request(&route);
    let client_timeout = request_head
        .client_timeout
        .unwrap_or(DEFAULT_CLIENT_TIMEOUT);
    let timeout = client_timeout
        .saturating_sub(RESPONSE_MARGIN)
        .min(route.timeout);
    let (prompt_tokens, output_tokens) = request_head.tokens.unwrap_or((0, DEFAULT_OUTPUT_TOKENS));
    let output_tokens = request_head
        .output_tokens_hint
        .map_or(output_tokens, |h| h.min(output_tokens));
    if !may_accept(shared, &route, timeout, output_tokens) {
        return Err(Refusal::Stopping);
    }
    let reservation = match &customer {
        Some(customer) => {
            let tokens = request_head.tokens.map(|(input, output)| input + output);
            token::reserve(shared, &request_head.id, customer, tokens).await?
        }
        None => Reservation::none(shared),
    };
    let random = rand::random();
    let service = route.pick_service(random).clone();
    let priority = priority(&route, customer.as_deref());
    let mut headers = HeaderMap::with_capacity(parts.headers.len());
    for (name, value) in &parts.headers {
        if head::may_forward(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    Ok(Job {
        id: request_head.id,
        method: parts.method,
        path_and_query: path_and_query(parts.uri),
        headers,
        body,
        held,
        policy: RequestPolicy {
            service: service.clone(),
            route: route.name.clone(),
            customer: customer.as_ref().map(|c| c.name.clone()),
            may_repeat: route.may_repeat(),
            streams: route.kind == RequestKind::Streaming,
            resumable: route.kind == RequestKind::Streaming && route.resumable,
            max_attempts: route.max_attempts,
            priority,
            from_instance: false,
            numbers_stream: false,
        },
        residency: Residency {
            route: route.allowed_regions.clone(),
            customer: customer.map_or_else(Vec::new, |c| c.allowed_regions.clone()),
        },
        spec: RequestSpec {
            service,
            prompt: request_head.prompt,
            prompt_tokens,
            output_tokens,
            target_wait: route.target_latency,
            tried_upstreams: Vec::new(),
            rank: dispatch::rank(priority, route.target_latency),
            urgency: limit::urgency(priority, route.may_repeat()),
            skips_limited: false,
            is_trial: false,
        },
        suspects: Suspects::default(),
        last_event: request_head.last_event,
        started_at,
        response_due_at: started_at + route.target_latency,
        deadline: started_at + timeout,
        reservation,
    }
    .with_suspects())
}

type Checked = (Arc<Config>, Arc<Route>, Option<Arc<Customer>>);

/// Checks what the head of a request shows, before its body is received.
fn check_head(shared: &Shared, parts: &Parts, api_key: Option<&str>) -> Result<Checked, Refusal> {
    let config = shared.board().config.clone();
    let Some(config) = config else {
        return Err(Refusal::NotRun("no-configuration", NO_CONFIG_RETRY_AFTER));
    };
    let route = find_route(&config, parts)?;
    let customer = identify(&config, &route, api_key)?;
    if route.kind == RequestKind::Streaming && shared.refuses_streams.load(Ordering::Relaxed) {
        return Err(Refusal::Stopping);
    }
    Ok((config, route, customer))
}

/// Returns whether this instance may accept a client's request that takes up to `timeout`. A stream that is expected to
/// outlast a stop is left to another instance from the start of the stop on.
fn may_accept(shared: &Shared, route: &Route, timeout: Duration, output_tokens: u64) -> bool {
    let notice = shared.settings().shutdown.notice;
    let is_stream = route.kind == RequestKind::Streaming;
    if !is_stream || !shared.board().has_ready_instance(shared.now()) {
        return may_accept_within(shared, timeout, notice);
    }
    let board = shared.board();
    let expected = board.stream_durations.expected(&route.name, output_tokens);
    drop(board);
    let duration = expected.map_or(timeout, |e| e.min(timeout));
    may_accept_within(shared, duration, Duration::ZERO)
}

/// Returns whether this instance may accept a forwarded request that takes up to `timeout`. Other instances can take
/// it at once, so that it is never accepted if the limit of a stop could cut it off.
pub fn may_accept_forwarded(shared: &Shared, timeout: Duration) -> bool {
    may_accept_within(shared, timeout, Duration::ZERO)
}

fn may_accept_within(shared: &Shared, timeout: Duration, notice: Duration) -> bool {
    // Its own time-out is answered before the process answers what is left.
    let limit = shared.settings().shutdown.limit.saturating_sub(ANSWER_TIME);
    let schedule = Schedule { notice, limit };
    let draining_for = shared.board().draining_for(shared.now());
    draining_for.is_none_or(|draining_for| drain::accepts(schedule, draining_for, timeout))
}

/// Returns the path and query of a request.
pub fn path_and_query(uri: Uri) -> PathAndQuery {
    let path_and_query = uri.into_parts().path_and_query;
    path_and_query.unwrap_or(PathAndQuery::from_static("/"))
}

/// Returns the priority; the customer's takes precedence over the route's.
fn priority(route: &Route, customer: Option<&Customer>) -> u8 {
    customer.and_then(|c| c.priority).unwrap_or(route.priority)
}

fn find_route(config: &Config, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = parts.uri.host().or_else(|| head::read_host(&parts.headers));
    let route = host.and_then(|host| config.route(host, parts.uri.path()));
    route.cloned().ok_or(Refusal::NoRoute)
}

fn identify(
    config: &Config,
    route: &Route,
    api_key: Option<&str>,
) -> Result<Option<Arc<Customer>>, Refusal> {
    let customer = api_key.and_then(|key| config.customer_by_key(key)).cloned();
    // If the configuration contains no customers, every request is accepted.
    if customer.is_none() && !route.public && !config.customers.is_empty() {
        return Err(Refusal::UnknownKey);
    }
    Ok(customer)
}

/// Receives a body of at most `max_bytes`, for which `held` must have room: before it is received if its length is
/// declared, and otherwise as it grows.
pub async fn read_body(
    mut body: MeteredBody,
    max_bytes: usize,
    held: &mut Held,
) -> Result<Bytes, Refusal> {
    use hyper::body::Body as _;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = body.size_hint().exact().unwrap_or_default();
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if declared > max_bytes {
        memory::discard(body);
        return Err(Refusal::BodyTooLarge);
    }
    if let Err(full) = held.grow_to(declared) {
        memory::discard(body);
        return Err(memory::refusal(full));
    }
    let mut buf = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::BadBody)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len().saturating_add(data.len()) > max_bytes {
            memory::discard(body);
            return Err(Refusal::BodyTooLarge);
        }
        buf.extend_from_slice(&data);
        if let Err(full) = held.grow_to(buf.capacity()) {
            memory::discard(body);
            return Err(memory::refusal(full));
        }
    }
    Ok(buf.freeze())
}
