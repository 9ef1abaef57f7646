//! The callers' interface: HTTP/1.1 and HTTP/2 with prior knowledge.

mod head;
mod placement;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::attempt::Call;
use crate::credential::{self, Key};
use crate::exchange::{self, Reply};
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Body};
use crate::telemetry;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

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
    telemetry::count_answer(outcome, reason.to_owned());
}

/// Why a request gets no answer of an upstream.
enum Fault {
    /// It is refused.
    Problem(Problem),
    /// Its connection is to end.
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
        return placement::answer(&node, &req).await;
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
    let key = Key::take(&parts.headers).map_err(|e| head::bad_credential(&e))?;
    let length = body.size_hint().upper().unwrap_or(head::MAX_UNSIZED_BYTES);
    let head = head::read(&node, &parts, &service, &path, key.as_ref(), length)?;
    let query = parts.uri.query().map(|q| format!("?{q}"));
    let has_key_parameter = parts.uri.query().is_some_and(credential::has_key_parameter);
    if has_key_parameter {
        let problem = head::bad_credential(&credential::Error::Misplaced);
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
    let read = head::read_call(&node, call, key, body, length);
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
