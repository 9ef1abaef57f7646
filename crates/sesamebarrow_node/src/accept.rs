//! The callers' interface: HTTP/1.1 and HTTP/2 with prior knowledge.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use sesamebarrow_policy::event::Candidate;
use sesamebarrow_policy::{Action, Event, Head, Origin};
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::attempt::Call;
use crate::credential::{self, Key};
use crate::exchange::{self, ReadCall, Reply};
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Body};
use crate::telemetry;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Characters of a prompt that make a token at the least.
const BYTES_PER_TOKEN: u64 = 2;

/// Largest body whose length the head does not tell, in bytes. Its tokens are reserved
/// before it is read.
const MAX_UNSIZED_BYTES: u64 = 8 * 1024;

/// Serves callers until `stop`, then lets every connection end its exchanges.
pub async fn serve(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let builder = builder();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Streamed tokens are small and must not wait for more.
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        let service = hyper::service::service_fn(move |req| answer(node.clone(), req));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!(error:% = error; "connection ended");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Pause after a failed accept, for want of descriptors most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for a head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(32 * 1024)
        .keep_alive_interval(Duration::from_secs(10))
        .keep_alive_timeout(Duration::from_secs(10));
    builder
}

async fn answer(node: Arc<Node>, req: Request<Incoming>) -> Result<Response<Body>, relay::Broken> {
    let began = Instant::now();
    let id = node.next_request_id();
    let result = route(node, &id, req).await;
    let mut response = match result {
        Ok(response) => response,
        Err(Fault::Problem(problem)) => {
            note(&id, &problem, began);
            problem.into_response(Some(&id))
        }
        Err(Fault::Broken) => {
            telemetry::count_answer("broken", "cancelled");
            log::info!(request = id.as_str(), outcome = "cancelled"; "request");
            return Err(relay::Broken);
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", value);
    }
    Ok(response)
}

fn note(id: &SmolStr, problem: &Problem, began: Instant) {
    let reason = problem.kind.rsplit(':').next().unwrap_or_default();
    let outcome = problem.outcome.to_string();
    let millis = began.elapsed().as_millis();
    log::info!(
        request = id.as_str(), outcome = outcome.as_str(), reason, status = problem.status,
        millis; "request"
    );
    metrics::counter!(
        "sesamebarrow_answers_total", "result" => outcome, "reason" => reason.to_owned()
    )
    .increment(1);
}

enum Fault {
    Problem(Problem),
    Broken,
}

impl From<Problem> for Fault {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

async fn route(
    node: Arc<Node>,
    id: &SmolStr,
    req: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let path = req.uri().path();
    if path == "/placement" && req.method() == Method::GET {
        return place(&node, &req).await;
    }
    let Some(rest) = path.strip_prefix("/s/") else {
        let title = "expected /placement or /s/SERVICE/…";
        return Err(Problem::bad_input(StatusCode::NOT_FOUND, "no-such-path", title).into());
    };
    let (service, path) = match rest.split_once('/') {
        Some((service, path)) => (service, format!("/{path}")),
        None => (rest, "/".to_owned()),
    };
    let service = SmolStr::new(service);
    handle(node, id, req, service, path).await
}

async fn handle(
    node: Arc<Node>,
    id: &SmolStr,
    req: Request<Incoming>,
    service: SmolStr,
    path: String,
) -> Result<Response<Body>, Fault> {
    let began = Instant::now();
    let (parts, body) = req.into_parts();
    let key = Key::take(&parts.headers).map_err(|e| bad_credential(&e))?;
    let length = body.size_hint().upper().unwrap_or(MAX_UNSIZED_BYTES);
    let head = read_head(&node, &parts, &service, &path, key.as_ref(), length)?;
    let query = parts.uri.query().map(|q| format!("?{q}"));
    let has_key_parameter = parts.uri.query().is_some_and(credential::has_key_parameter);
    if has_key_parameter {
        let problem = bad_credential(&credential::Error::Misplaced);
        return Err(problem.doubted(head.ticket.is_some()).into());
    }
    let call = Call {
        id: id.clone(),
        method: parts.method,
        path: format!("{path}{}", query.unwrap_or_default()),
        fields: credential::request_fields(&parts.headers),
        body: Bytes::new(),
    };
    let method = call.method.clone();
    let read = read_call(&node, call, key, body, length);
    let reply = exchange::run(node, head, read).await;
    let outcome = match &reply {
        Some(Reply::Answer { status, .. }) => status.as_u16(),
        _ => 0,
    };
    if outcome > 0 {
        let millis = began.elapsed().as_millis();
        log::info!(
            request = id.as_str(), service = service.as_str(), method = method.as_str(),
            outcome = "answered", status = outcome, millis; "request"
        );
        telemetry::count_answer("answered", "none");
    }
    respond(reply)
}

fn respond(reply: Option<Reply>) -> Result<Response<Body>, Fault> {
    match reply {
        Some(Reply::Answer {
            status,
            fields,
            body,
        }) => {
            let mut response = Response::new(relay::streamed(body));
            *response.status_mut() = status;
            *response.headers_mut() = fields;
            Ok(response)
        }
        Some(Reply::Refused(refusal)) => Err(Problem::from_refusal(&refusal).into()),
        Some(Reply::Problem(problem)) => Err(problem.into()),
        None => Err(Fault::Broken),
    }
}

fn bad_credential(error: &credential::Error) -> Problem {
    Problem::bad_input(StatusCode::BAD_REQUEST, "bad-credential", error.to_string())
}

fn read_head(
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
        deadline,
        estimate: prompt.saturating_add(answer),
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
fn read_call(node: &Node, call: Call, key: Option<Key>, body: Incoming, length: u64) -> ReadCall {
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

#[derive(Serialize)]
struct Placement {
    instances: Vec<PlacedInstance>,
    ttl_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<SmolStr>,
}

#[derive(Serialize)]
struct PlacedInstance {
    name: SmolStr,
    region: SmolStr,
    url: SmolStr,
}

async fn place(node: &Node, req: &Request<Incoming>) -> Result<Response<Body>, Fault> {
    let key = Key::take(req.headers()).map_err(|e| bad_credential(&e))?;
    let query = req.uri().query().unwrap_or_default();
    let service = query.split('&').find_map(|p| p.strip_prefix("service="));
    let Some(service) = service.map(SmolStr::new) else {
        let title = "expected ?service=NAME";
        return Err(Problem::bad_input(StatusCode::BAD_REQUEST, "bad-query", title).into());
    };
    let key = key.as_ref().map(Key::digest);
    let mut ticket = node
        .driver
        .begin(|id| Event::PlacementAsked { id, key, service });
    match ticket.rx.recv().await {
        Some(Action::Placed {
            candidates,
            ttl,
            ticket,
            ..
        }) => Ok(placement_response(&candidates, ttl, ticket)),
        Some(Action::Refuse { refusal, .. }) => Err(Problem::from_refusal(&refusal).into()),
        _ => Err(Fault::Broken),
    }
}

fn placement_response(
    candidates: &[Candidate],
    ttl: Duration,
    ticket: Option<SmolStr>,
) -> Response<Body> {
    let placement = Placement {
        instances: candidates
            .iter()
            .map(|c| PlacedInstance {
                name: c.name.clone(),
                region: c.region.clone(),
                url: format_smolstr!("http://{}", c.http),
            })
            .collect(),
        ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        ticket,
    };
    json(&placement)
}

/// Returns a JSON answer.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(relay::full(body));
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}
