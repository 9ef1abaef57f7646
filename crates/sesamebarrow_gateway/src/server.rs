//! Accepts connections and handles the requests of clients and other instances.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Poll, ready};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use sesamebarrow_routing::config::Limits;
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::exchange;
use crate::inbound::{self, BodyGuard, EndGuard, Progress, Stage, Tracked};
use crate::intake::{self, Job};
use crate::listener::Listener;
use crate::meter::{Meter, Metered, MeteredBody};
use crate::relay::{self, Body};
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;
use crate::{hop, socket, supervise};

/// Pause after a failed accept, which most likely means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Additional time for which idle connections stay open, so that a request sent at the end of
/// the configured idle time is still received.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Minimum size in bytes of a read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Time for which a connection that nothing was received on stays open once connections are closed. Its client may
/// be about to send a request.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Maximum time for which a connection that this instance has closed is read on. Otherwise, what its client still
/// sends would reset it, and the client might not be able to read the last answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Serves connections of `listener` until the process ends; `handler` answers requests.
pub async fn serve<F, R>(shared: Arc<Shared>, listener: Arc<Listener>, handler: F)
where
    F: Fn(Arc<Shared>, Request<MeteredBody>) -> R + Clone + Send + Unpin + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let mut backlog = Vec::new();
    loop {
        match listener.accept(&mut backlog).await {
            Ok(stream) => spawn_connection(&shared, stream, handler.clone()),
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_connection<F, R>(shared: &Arc<Shared>, stream: TcpStream, handler: F)
where
    F: Fn(Arc<Shared>, Request<MeteredBody>) -> R + Clone + Send + Unpin + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = socket::set_options(&stream) {
        log::debug!(error:% = error; "cannot set socket options");
        return;
    }
    let config = shared.board().config.clone();
    let limits = config.map_or_else(Limits::default, |c| c.limits);
    let progress = Progress::new(shared);
    let (stream, meter) = Metered::new(stream);
    let stream = Tracked::new(stream, progress.clone());
    let service = {
        let (shared, progress) = (shared.clone(), progress.clone());
        hyper::service::service_fn(move |req: Request<Incoming>| {
            meter.reset();
            progress.record_handler();
            let guard = BodyGuard(progress.clone());
            let req = req.map(|body| MeteredBody::new(body, meter.clone()).guarded(guard));
            let response = handler(shared.clone(), req);
            let progress = progress.clone();
            Box::pin(async move {
                let response = response.await;
                Ok::<_, Infallible>(response.map(|body| inbound::answer_body(body, progress)))
            })
        })
    };
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        // This timeout covers both the idle time before a request and the receipt of its head;
        // `Limits::head_timeout` is not used.
        .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES) * 2);
    let close_idle = shared.close_idle.clone();
    shared.inbound_connections.spawn(async move {
        let end_guard = EndGuard(progress.clone());
        let mut stream = stream;
        loop {
            let mut connection = http.serve_connection(TokioIo::new(stream), service.clone());
            let ended = serve_connection(&mut connection, &progress, close_idle.clone()).await;
            let parts = connection.into_parts();
            stream = parts.io.into_inner();
            match ended {
                // The HTTP library has read the beginning of a request with the one before.
                Ok(End::Idle) if !parts.read_buf.is_empty() && !progress.peer_closed() => {
                    stream = stream.with_unused(parts.read_buf);
                }
                Ok(_) => break,
                Err(error) => {
                    log::debug!(error:% = error; "inbound connection failed");
                    break;
                }
            }
        }
        drop(end_guard);
        if !progress.peer_closed() {
            linger(stream.into_inner()).await;
        }
    });
}

/// How the HTTP library ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It was closed between two requests, of which the first was answered without a word of closing.
    Idle,
    /// It was closed with an answer that says so, or by its peer.
    Said,
}

/// Serves the requests of a connection until it ends. Once `close_idle` is cancelled, it ends when it owes no answer.
async fn serve_connection<S, B>(
    connection: &mut http1::Connection<TokioIo<Tracked<Metered<TcpStream>>>, S>,
    progress: &Progress,
    close_idle: CancellationToken,
) -> hyper::Result<End>
where
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::Future: Unpin,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut closing = std::pin::pin!(async {
        close_idle.cancelled().await;
        // The runtime looks at its sockets before this goes on, so what has arrived is read first.
        tokio::task::yield_now().await;
    });
    let mut unused = std::pin::pin!(None);
    let (mut is_closing, mut is_last) = (false, false);
    let mut end = End::Said;
    poll_fn(|cx| {
        loop {
            if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
                return Poll::Ready(ended.map(|()| end));
            }
            if is_last {
                return Poll::Pending;
            }
            if !is_closing {
                ready!(closing.as_mut().poll(cx));
                is_closing = true;
            }
            match progress.stage() {
                Stage::Opened => {
                    if unused.is_none() {
                        unused.set(Some(tokio::time::sleep(FIRST_REQUEST_TIME)));
                    }
                    if let Some(unused) = unused.as_mut().as_pin_mut() {
                        ready!(unused.poll(cx));
                    }
                }
                // The HTTP library would drop the part of a head that it holds.
                Stage::Receiving => return Poll::Pending,
                Stage::Idle => end = End::Idle,
                Stage::Handling | Stage::Answering => {}
            }
            is_last = true;
            Pin::new(&mut *connection).graceful_shutdown();
        }
    })
    .await
}

/// Closes a connection for writing, and drops what its client still sends, until the client closes it too.
async fn linger(mut stream: Metered<TcpStream>) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0; 4 * 1024];
    let rest = async { while let Ok(1..) = stream.read(&mut buf).await {} };
    // A client that does not close it in time is reset.
    let _ = tokio::time::timeout(LINGER_TIME, rest).await;
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
    let may_omit_body = req.headers().contains_key(EXPECT);
    let work = answer_client(&shared, req, reads_chunks);
    let result = supervise::catch("client-request", work).await;
    let result = result.unwrap_or(Err(FAILED));
    // A client that waits to be told to send its body may send its next request instead.
    let closes = result.is_err() && may_omit_body;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal_response(&shared, &id, refusal, started_at),
    };
    if closes || shared.closes_connections.load(Ordering::Relaxed) {
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
    let work = async {
        let meter = req.body().meter().clone();
        let received = hop::receive(&shared, req);
        let job = unless_ending(&shared, received, Refusal::Stopping).await?;
        answer(&shared, job, &meter).await
    };
    let result = supervise::catch("forwarded-request", work).await;
    let result = result.unwrap_or(Err(FAILED));
    result.unwrap_or_else(|refusal| {
        let mut response = refusal_response(&shared, &id, refusal, started_at);
        hop::write_refusal(&mut response, refusal, &id);
        response
    })
}

/// Refusal of a request whose handler has panicked.
const FAILED: Refusal = Refusal::Unknown("internal-error");

async fn answer_client(
    shared: &Arc<Shared>,
    req: Request<MeteredBody>,
    reads_chunks: bool,
) -> Result<Response<Body>, Refusal> {
    let meter = req.body().meter().clone();
    let received = intake::receive(shared, req);
    let job = unless_ending(shared, received, Refusal::Stopping).await?;
    let held = job.held.another();
    let response = answer(shared, job, &meter).await?;
    if reads_chunks {
        return Ok(response);
    }
    unless_ending(shared, relay::buffer_response(response, held), ENDED).await
}

/// Answers `job`. Its client may read the answer as slowly as the deadline allows.
async fn answer(shared: &Arc<Shared>, job: Job, meter: &Meter) -> Result<Response<Body>, Refusal> {
    let deadline = job.deadline;
    let response = proxy(shared, job).await;
    let time_left = deadline.saturating_duration_since(Instant::now());
    meter.set_write_timeout(Some(time_left));
    response
}

async fn proxy(shared: &Arc<Shared>, job: Job) -> Result<Response<Body>, Refusal> {
    let mut history = AttemptHistory::default();
    let response = tokio::select! {
        biased;
        response = exchange::make_attempts(shared, &job, &mut history) => response,
        () = shared.ends.cancelled() => Err(match history.sends.possible_runs() {
            0 => Refusal::Stopping,
            _ => ENDED,
        }),
    };
    let response = match response {
        Ok(response) => response,
        Err(refusal) => {
            let answered = refusal.after(&history.sends);
            if answered != refusal {
                log::error!(
                    request = job.id.as_str(), outcome:% = refusal,
                    sends = history.sends.count(), evidence = history.sends.evidence().as_str();
                    "promise without evidence"
                );
            }
            record_promise(shared, &job, &history, answered);
            return Err(answered);
        }
    };
    unless_ending(
        shared,
        relay::relay_response(shared, job, history, response),
        ENDED,
    )
    .await
}

/// Logs and counts that the caller of `job` is told that it has not run, with what shows that.
fn record_promise(shared: &Shared, job: &Job, history: &AttemptHistory, refusal: Refusal) {
    if !refusal.promises_not_run() {
        return;
    }
    let sends = &history.sends;
    metrics::counter!("sesamebarrow_promises_total", "evidence" => sends.weakest_evidence())
        .increment(1);
    if sends.count() > 0 && shared.log_limiter.allow_promise() {
        log::info!(
            request = job.id.as_str(), outcome:% = refusal, sends = sends.count(),
            possible_runs = sends.possible_runs(), evidence = sends.evidence().as_str(),
            forwarded = job.policy.from_instance;
            "promised not run"
        );
    }
}

/// Refusal of a request that may have run when the process ends.
const ENDED: Refusal = Refusal::Unknown("stopped");

/// Returns the result of `work`, or `refusal` if the process is about to end before it.
async fn unless_ending<T>(
    shared: &Shared,
    work: impl Future<Output = Result<T, Refusal>>,
    refusal: Refusal,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        result = work => result,
        () = shared.ends.cancelled() => Err(refusal),
    }
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
