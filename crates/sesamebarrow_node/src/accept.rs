//! The HTTP server for callers: HTTP/1.1 and HTTP/2 with prior knowledge.

mod head;
mod placement;
mod unread;

use std::convert::Infallible;
use std::io::ErrorKind;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use sesamebarrow_gateway::meter::{Metered, MeteredBody};
use sesamebarrow_policy::{Reason, Refusal};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::unread::RequestBody;

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
    let builder = builder();
    let connections = TaskTracker::new();
    let serve_stream = |stream| {
        let connection = serve_connection(node.clone(), builder.clone(), stream, stop.clone());
        connections.spawn(connection);
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_stream(stream),
            Err(error) => pause_after_failure(&error).await,
        }
    }
    // Closing the listener resets the connections that it has not accepted.
    accept_pending(listener).into_iter().for_each(serve_stream);
    connections.close();
    connections.wait().await;
}

/// Closes the listener and returns the connections that are waiting to be accepted.
fn accept_pending(listener: TcpListener) -> Vec<TcpStream> {
    let mut pending = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return pending;
    };
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                let stream = stream
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(stream));
                pending.extend(stream);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return pending,
            Err(error) => {
                log::warn!(error:% = error; "cannot accept connection");
                if error.kind() != ErrorKind::ConnectionAborted {
                    return pending;
                }
            }
        }
    }
}

/// Serves a connection until it is closed. After `stop`, it is closed once all requests that
/// have arrived are answered.
async fn serve_connection(
    node: Arc<Node>,
    builder: auto::Builder<TokioExecutor>,
    stream: TcpStream,
    stop: CancellationToken,
) {
    // Without this, small chunks of streamed responses would be delayed.
    let _ = stream.set_nodelay(true);
    let (stream, meter) = Metered::new(stream);
    let in_progress = Arc::new(watch::Sender::new(0));
    let mut requests = in_progress.subscribe();
    let service = hyper::service::service_fn(move |req: Request<Incoming>| {
        meter.reset();
        // HTTP/2 can announce its end without losing requests.
        let guard = (req.version() < Version::HTTP_2).then(|| InProgress::new(&in_progress));
        let has_expectation = req.headers().contains_key(hyper::header::EXPECT);
        let req = req
            .map(|body| RequestBody::new(MeteredBody::new(body, meter.clone()), has_expectation));
        let response = handle_request(node.clone(), req);
        async move { Ok::<_, Infallible>(response.await.map(|body| hold(guard, body))) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let close = async {
        stop.cancelled().await;
        loop {
            // The sender lives as long as the connection.
            let _ = requests.wait_for(|count| *count == 0).await;
            let next = requests.wait_for(|count| *count > 0);
            if tokio::time::timeout(CLOSE_DELAY, next).await.is_err() {
                return;
            }
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "connection failed");
    }
}

/// Time for which connections without a request stay open after the process has stopped accepting
/// them, so that a request that has arrived but was not read is answered. Responses close them from
/// then on.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Counts a request of a connection as in progress until it is dropped.
struct InProgress(Arc<watch::Sender<u32>>);

impl InProgress {
    fn new(count: &Arc<watch::Sender<u32>>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Returns `body`, which holds `guard` until it is dropped.
fn hold(guard: Option<InProgress>, body: Body) -> Body {
    let hold = move |error| {
        let _guard = &guard;
        error
    };
    body.map_err(hold).boxed()
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

async fn handle_request(node: Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    let started_at = Instant::now();
    let id = node.next_request_id();
    let version = req.version();
    let draining = node.draining.clone();
    let answer = AssertUnwindSafe(answer(node, &id, req))
        .catch_unwind()
        .await;
    let result = answer.unwrap_or_else(|_| {
        let refusal = Refusal::unknown(Reason::Internal);
        Err(Problem::from_refusal(&refusal))
    });
    let mut response = result.unwrap_or_else(|problem| {
        record_problem(&id, &problem, started_at);
        problem.into_response(Some(&id))
    });
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert("x-request-id", value);
    }
    if draining.is_cancelled() && version < Version::HTTP_2 {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    node: Arc<Node>,
    id: &SmolStr,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let reads_chunks = req.version() > Version::HTTP_10;
    let max_bytes = node.settings.request.max_kept_bytes;
    let response = route(node, id, req).await?;
    if reads_chunks || response.body().size_hint().exact().is_some() {
        return Ok(response);
    }
    // The caller could not tell a body that breaks off from a complete one.
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body =
        body.map_err(|_| Problem::from_refusal(&Refusal::unknown(Reason::UpstreamFailed)))?;
    Ok(Response::from_parts(parts, relay::full(body.to_bytes())))
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

async fn route(
    node: Arc<Node>,
    id: &SmolStr,
    req: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let path = req.uri().path();
    if path == "/placement" && req.method() == Method::GET {
        return placement::respond(&node, &req).await;
    }
    let Some(rest) = path.strip_prefix("/s/") else {
        let title = "expected /placement or /s/SERVICE/…";
        return Err(Problem::rejection(
            StatusCode::NOT_FOUND,
            "no-such-path",
            title,
        ));
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
    req: Request<RequestBody>,
    service: SmolStr,
    path: String,
) -> Result<Response<Body>, Problem> {
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
        return Err(problem.with_unknown_execution_if(head.ticket.is_some()));
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
        Reply::Response { status, .. } => status.as_u16(),
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

fn into_response(method: &Method, reply: Reply) -> Result<Response<Body>, Problem> {
    match reply {
        Reply::Response {
            status,
            fields,
            length,
            body,
        } => {
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
        Reply::Refused(refusal) => Err(Problem::from_refusal(&refusal)),
        Reply::Problem(problem) => Err(problem),
    }
}
