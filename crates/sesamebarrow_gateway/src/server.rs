//! Accepts connections and handles the requests of clients and other instances.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use sesamebarrow_routing::config::Limits;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};

use crate::exchange;
use crate::intake::{self, Job};
use crate::meter::{Metered, MeteredBody};
use crate::relay::{self, Body};
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;
use crate::{hop, socket};

/// Pause after a failed accept, which most likely means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Additional time for which idle connections stay open, so that a request sent at the end of
/// the configured idle time is still received.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Minimum size in bytes of a read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves connections of `listener` until the process ends; `handler` answers requests.
pub async fn serve<F, R>(shared: Arc<Shared>, listener: Arc<TcpListener>, handler: F)
where
    F: Fn(Arc<Shared>, Request<MeteredBody>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&shared, stream, handler.clone()),
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_connection<F, R>(shared: &Arc<Shared>, stream: TcpStream, handler: F)
where
    F: Fn(Arc<Shared>, Request<MeteredBody>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = socket::set_options(&stream) {
        log::debug!(error:% = error; "cannot set socket options");
        return;
    }
    let config = shared.board().config.clone();
    let limits = config.map_or_else(Limits::default, |c| c.limits);
    let shared = shared.clone();
    let close_idle = shared.close_idle.clone();
    let tracker = shared.inbound_connections.clone();
    let (stream, meter) = Metered::new(stream);
    let service = hyper::service::service_fn(move |req: Request<Incoming>| {
        meter.reset();
        let req = req.map(|body| MeteredBody::new(body, meter.clone()));
        let response = handler(shared.clone(), req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout covers both the idle time before a request and the receipt of its head;
        // `Limits::head_timeout` is not used.
        .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tracker.spawn(async move {
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = close_idle.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!(error:% = error; "inbound connection failed");
        }
    });
}

/// Counts a request as active until it is dropped.
struct ActiveRequest(Arc<Shared>);

impl ActiveRequest {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.active_requests.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles a client's request.
pub async fn handle_client(shared: Arc<Shared>, req: Request<MeteredBody>) -> Response<Body> {
    let _active = ActiveRequest::new(&shared);
    let started_at = Instant::now();
    let id = sesamebarrow_platform::head::read_attempt_id(req.headers());
    let reads_chunks = req.version() > Version::HTTP_10;
    let result = match intake::receive(&shared, req).await {
        Ok(job) => {
            let held = job.held.another();
            match proxy(&shared, job).await {
                Ok(response) if !reads_chunks => relay::buffer_response(response, held).await,
                result => result,
            }
        }
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal_response(&shared, &id, refusal, started_at),
    };
    if shared.closes_connections.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Handles a request that another instance forwarded.
pub async fn handle_instance(shared: Arc<Shared>, req: Request<MeteredBody>) -> Response<Body> {
    let _active = ActiveRequest::new(&shared);
    let started_at = Instant::now();
    let id = sesamebarrow_platform::head::read_attempt_id(req.headers());
    let result = match hop::receive(&shared, req).await {
        Ok(job) => proxy(&shared, job).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| {
        let mut response = refusal_response(&shared, &id, refusal, started_at);
        hop::write_refusal(&mut response, refusal, &id);
        response
    })
}

async fn proxy(shared: &Arc<Shared>, job: Job) -> Result<Response<Body>, Refusal> {
    let mut history = AttemptHistory::default();
    let response = exchange::make_attempts(shared, &job, &mut history).await?;
    relay::relay_response(shared, job, history, response).await
}

fn refusal_response(
    shared: &Shared,
    id: &SmolStr,
    refusal: Refusal,
    started_at: Instant,
) -> Response<Body> {
    let status = refusal.status().as_u16();
    let millis = started_at.elapsed().as_millis();
    let retry_ms = refusal.retry_after().map_or(0, |r| r.as_millis());
    if shared.log_limiter.allow(true) {
        let config = shared.board().config.as_ref().map_or(0, |c| c.version);
        log::info!(
            request = id.as_str(), status, outcome:% = refusal, millis, retry_ms, config;
            "request refused"
        );
    }
    let reason = refusal.to_string();
    metrics::counter!("sesamebarrow_refusals_total", "reason" => reason).increment(1);
    refusal.into_response()
}
