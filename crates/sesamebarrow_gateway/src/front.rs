//! Accepts connections of callers and of other instances.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use sesamebarrow_routing::config::Limits;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};

use crate::exchange::{self, Tries};
use crate::intake::{self, Job};
use crate::relay::{self, Body};
use crate::reply::Refusal;
use crate::shared::Shared;
use crate::{hop, socket};

/// Pause after a failed accept, for want of descriptors most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time beyond the stated idle time, so that a caller never meets the very end of it.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Smallest read buffer that the HTTP library takes.
const MIN_BUFFER: usize = 8 * 1024;

/// Serves `listener` with `answer` until the process ends.
pub async fn serve<F, R>(shared: Arc<Shared>, listener: TcpListener, answer: F)
where
    F: Fn(Arc<Shared>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&shared, stream, answer.clone()),
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_connection<F, R>(shared: &Arc<Shared>, stream: TcpStream, answer: F)
where
    F: Fn(Arc<Shared>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = socket::tune(&stream) {
        log::debug!(error:% = error; "connection refuses options");
        return;
    }
    let config = shared.board().config.clone();
    let limits = config.map_or_else(Limits::default, |c| c.limits);
    let shared = shared.clone();
    let stop = shared.stop.clone();
    let tracker = shared.connections.clone();
    let service = hyper::service::service_fn(move |req| {
        let answered = answer(shared.clone(), req);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tracker.spawn(async move {
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!(error:% = error; "connection ended");
        }
    });
}

/// Counts a request as under way until it is dropped.
struct UnderWay(Arc<Shared>);

impl UnderWay {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.requests.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a caller.
pub async fn answer_caller(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let _under_way = UnderWay::new(&shared);
    let began = Instant::now();
    let id = sesamebarrow_platform::head::read_attempt_id(req.headers());
    let result = match intake::take(&shared, req).await {
        Ok(job) => carry(&shared, job).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refused(&shared, &id, refusal, began),
    };
    if shared.closing.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Answers another instance.
pub async fn answer_instance(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let _under_way = UnderWay::new(&shared);
    let began = Instant::now();
    let id = sesamebarrow_platform::head::read_attempt_id(req.headers());
    let result = match hop::take(&shared, req).await {
        Ok(job) => carry(&shared, job).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| {
        let mut response = refused(&shared, &id, refusal, began);
        hop::mark(&mut response, refusal);
        response
    })
}

async fn carry(shared: &Arc<Shared>, job: Job) -> Result<Response<Body>, Refusal> {
    let mut tries = Tries::default();
    let answer = exchange::run(shared, &job, &mut tries).await?;
    relay::pass_on(shared, job, tries, answer).await
}

fn refused(shared: &Shared, id: &SmolStr, refusal: Refusal, began: Instant) -> Response<Body> {
    let status = refusal.status().as_u16();
    let millis = began.elapsed().as_millis();
    let retry_ms = refusal.retry_after().map_or(0, |r| r.as_millis());
    if shared.lines.allow(true) {
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
