//! The HTTP server for callers: HTTP/1.1 and HTTP/2 with prior knowledge.

mod head;
mod placement;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use sesamebarrow_gateway::meter::{Metered, MeteredBody};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::attempt::OutboundRequest;
use crate::credential::{self, Key};
use crate::exchange::{self, Reply};
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Body};
use crate::telemetry;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Serves callers until `stop` is cancelled, then waits for the exchanges in progress on
/// all connections.
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
                pause_after_failure(&error).await;
                continue;
            }
        };
        // Without this, small chunks of streamed responses would be delayed.
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        let (stream, meter) = Metered::new(stream);
        let service = hyper::service::service_fn(move |req: Request<Incoming>| {
            meter.reset();
            let req = req.map(|body| MeteredBody::new(body, meter.clone()));
            handle_request(node.clone(), req)
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!(error:% = error; "connection failed");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Delay after a failed accept. The likely cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Logs a failed accept, and waits before the next one.
pub async fn pause_after_failure(error: &std::io::Error) {
    log::warn!(error:% = error; "cannot accept connection");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

/// Maximum time to receive the head of an HTTP/1.1 request.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(32 * 1024)
        .keep_alive_interval(Duration::from_secs(10))
        .keep_alive_timeout(Duration::from_secs(10));
    builder
}

async fn handle_request(
    node: Arc<Node>,
    req: Request<MeteredBody>,
) -> Result<Response<Body>, relay::Interrupted> {
    let started_at = Instant::now();
    let id = node.next_request_id();
    let reads_chunks = req.version() > Version::HTTP_10;
    let result = route(node, &id, req).await;
    let mut response = match result {
        Ok(response) => response,
        Err(Failure::Problem(problem)) => {
            record_problem(&id, &problem, started_at);
            problem.into_response(Some(&id))
        }
        Err(Failure::NoResponse) => {
            telemetry::count_response("broken", "cancelled");
            log::info!(request = id.as_str(), outcome = "cancelled"; "request");
            return Err(relay::Interrupted);
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", value);
    }
    if reads_chunks || response.body().size_hint().exact().is_some() {
        return Ok(response);
    }
    // The caller could not tell a body that breaks off from a complete one.
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, relay::full(body)))
}

fn record_problem(id: &SmolStr, problem: &Problem, started_at: Instant) {
    let reason = problem.kind.rsplit(':').next().unwrap_or_default();
    let outcome = problem.outcome.to_string();
    let millis = started_at.elapsed().as_millis();
    log::info!(
        request = id.as_str(), outcome = outcome.as_str(), reason, status = problem.status,
        millis; "request"
    );
    telemetry::count_response(outcome, reason.to_owned());
}

/// Why a request gets no response from an upstream.
enum Failure {
    /// The request is rejected with a problem document.
    Problem(Problem),
    /// The connection is closed without a response, usually because the key was revoked.
    NoResponse,
}

impl From<Problem> for Failure {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

async fn route(
    node: Arc<Node>,
    id: &SmolStr,
    req: Request<MeteredBody>,
) -> Result<Response<Body>, Failure> {
    let path = req.uri().path();
    if path == "/placement" && req.method() == Method::GET {
        return placement::respond(&node, &req).await;
    }
    let Some(rest) = path.strip_prefix("/s/") else {
        let title = "expected /placement or /s/SERVICE/…";
        return Err(Problem::rejection(StatusCode::NOT_FOUND, "no-such-path", title).into());
    };
    let (service, path) = match rest.split_once('/') {
        Some((service, path)) => (service, format!("/{path}")),
        None => (rest, "/".to_owned()),
    };
    let service = SmolStr::new(service);
    handle_service_request(node, id, req, service, path).await
}

async fn handle_service_request(
    node: Arc<Node>,
    id: &SmolStr,
    req: Request<MeteredBody>,
    service: SmolStr,
    path: String,
) -> Result<Response<Body>, Failure> {
    let started_at = Instant::now();
    let (parts, body) = req.into_parts();
    let key = Key::from_headers(&parts.headers).map_err(|e| head::bad_credential(&e))?;
    let max_length = body
        .size_hint()
        .upper()
        .unwrap_or(head::MAX_BYTES_IF_LENGTH_UNKNOWN);
    let head = head::read(&node, &parts, &service, &path, key.as_ref(), max_length)?;
    let query = parts.uri.query().map(|q| format!("?{q}"));
    let has_key_parameter = parts.uri.query().is_some_and(credential::has_key_parameter);
    if has_key_parameter {
        let problem = head::bad_credential(&credential::Error::Misplaced);
        return Err(problem
            .with_unknown_execution_if(head.ticket.is_some())
            .into());
    }
    let outbound = OutboundRequest {
        id: id.clone(),
        method: parts.method,
        path: format!("{path}{}", query.unwrap_or_default()),
        fields: credential::request_fields(&parts.headers),
        body: Bytes::new(),
    };
    let method = outbound.method.clone();
    let outbound_future = head::read_body(&node, outbound, key, body, max_length);
    let reply = exchange::run(node, head, outbound_future).await;
    let status_code = match &reply {
        Some(Reply::Response { status, .. }) => status.as_u16(),
        _ => 0,
    };
    if status_code > 0 {
        let millis = started_at.elapsed().as_millis();
        // Logged when the response head is known. A streamed body may still be interrupted.
        log::info!(
            request = id.as_str(), service = service.as_str(), method = method.as_str(),
            outcome = "answered", status = status_code, millis; "request"
        );
        telemetry::count_response("answered", "none");
    }
    into_response(&method, reply)
}

fn into_response(method: &Method, reply: Option<Reply>) -> Result<Response<Body>, Failure> {
    match reply {
        Some(Reply::Response {
            status,
            fields,
            length,
            body,
        }) => {
            let is_head = *method == Method::HEAD;
            let body_length = if is_head { Some(0) } else { length };
            let mut response = Response::new(relay::streamed(body, body_length));
            *response.status_mut() = status;
            *response.headers_mut() = fields;
            if let Some(length) = length.filter(|l| is_head && *l > 0) {
                let value = HeaderValue::from(length);
                response.headers_mut().insert(CONTENT_LENGTH, value);
            }
            Ok(response)
        }
        Some(Reply::Refused(refusal)) => Err(Problem::from_refusal(&refusal).into()),
        Some(Reply::Problem(problem)) => Err(problem.into()),
        None => Err(Failure::NoResponse),
    }
}
