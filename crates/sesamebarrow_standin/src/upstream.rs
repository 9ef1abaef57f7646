//! An upstream: a model engine that streams tokens, or a plain service that counts how
//! often each request body was processed.
//!
//! A request to `/fault/MODE` sets the fault to inject: `none`, `silent` (accepts requests
//! and never responds), `cut` (truncates responses) or `late` (responds after one second). A plain
//! service answers `/length/N` with N bytes and `/status/N` with that status and no body.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode, Version};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http::{self, Body, BodyAborted};

/// Kind of service that an upstream simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Streams tokens at a fixed rate.
    Model {
        /// Time between two tokens.
        token_interval: Duration,
    },
    /// Responds at once.
    Plain,
}

/// Fault that an upstream injects into its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Accepts requests and never responds.
    Silent,
    /// Truncates response bodies.
    Cut,
    /// Responds after one second.
    Late,
    /// Crashes in the middle of a plain response that only its connection frames. The kernel closes that in order.
    Crash,
    /// Writes [`NOISE`] before the last events of a stream.
    Noise,
}

/// Bytes that are no event, though a blank line ends them.
pub const NOISE: &str = "what is this\n\n";

/// Requests that an upstream has received.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// How often each request was processed, by request body.
    pub runs: BTreeMap<String, u32>,
    /// Every header of every request, as `name: value`.
    #[serde(rename = "fields")]
    pub headers: Vec<String>,
    /// Path and query of every request.
    pub paths: Vec<String>,
}

/// A stand-in for an upstream; clones share their state.
#[derive(Clone)]
pub struct Upstream(Arc<Inner>);

struct Inner {
    name: String,
    kind: Kind,
    running: AtomicU32,
    fault: Mutex<Fault>,
    seen: Mutex<Seen>,
    record: bool,
    /// Text in the path or body of requests that crash the upstream.
    harmful: Mutex<Option<String>>,
    crashed: Notify,
}

/// Time after a crash in which the upstream accepts no connections.
const CRASH_TIME: Duration = Duration::from_secs(1);

/// Tokens in a response if the request does not set `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// Delay before the response under [`Fault::Late`].
const LATE_RESPONSE_DELAY: Duration = Duration::from_secs(1);

impl Upstream {
    /// Creates an upstream. `record` makes it keep the requests that it receives.
    pub fn new(name: impl Into<String>, kind: Kind, record: bool) -> Self {
        Self(Arc::new(Inner {
            name: name.into(),
            kind,
            running: AtomicU32::new(0),
            fault: Mutex::default(),
            seen: Mutex::default(),
            record,
            harmful: Mutex::default(),
            crashed: Notify::new(),
        }))
    }

    /// Makes later requests crash the upstream if their path or body contains `text`.
    pub fn crash_at(&self, text: &str) {
        *lock(&self.0.harmful) = Some(text.to_owned());
    }

    /// Sets the fault that applies to later requests.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.0.fault) = fault;
    }

    /// Returns the requests received so far; empty unless recording is on.
    pub fn seen(&self) -> Seen {
        lock(&self.0.seen).clone()
    }

    /// Serves until the future is dropped. After a crash it accepts connections again in a while.
    pub async fn serve(self, mut listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        loop {
            let upstream = self.clone();
            let serving = http::serve(listener, move |req| {
                let upstream = upstream.clone();
                async move { upstream.handle(req).await }
            });
            tokio::select! {
                () = serving => return,
                () = self.0.crashed.notified() => {}
            }
            tokio::time::sleep(CRASH_TIME).await;
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == "/load" {
            let running = self.0.running.load(Ordering::Relaxed);
            let load = format!("{{\"running\":{running},\"queued\":0}}");
            return http::text(StatusCode::OK, load);
        }
        if path == "/seen" {
            let seen = serde_json::to_vec(&self.seen()).unwrap_or_default();
            return http::text(StatusCode::OK, seen);
        }
        if let Some(mode) = path.strip_prefix("/fault/") {
            return self.set_fault_mode(mode);
        }
        self.process(req).await
    }

    fn set_fault_mode(&self, mode: &str) -> Response<Body> {
        let fault = match mode {
            "none" => Fault::None,
            "silent" => Fault::Silent,
            "cut" => Fault::Cut,
            "late" => Fault::Late,
            "crash" => Fault::Crash,
            "noise" => Fault::Noise,
            _ => return http::text(StatusCode::BAD_REQUEST, "unknown fault\n"),
        };
        self.set_fault(fault);
        http::text(StatusCode::OK, "ordered\n")
    }

    async fn process(&self, req: Request<Incoming>) -> Response<Body> {
        let running = RunningGuard::new(self.0.clone());
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return http::text(StatusCode::BAD_REQUEST, "the body broke off\n");
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        self.record_request(&parts, &body);
        let harmful = lock(&self.0.harmful).clone();
        if harmful.is_some_and(|text| body.contains(&text) || parts.uri.path().contains(&text)) {
            self.crash().await;
            return truncated_response();
        }
        let fault = *lock(&self.0.fault);
        match fault {
            Fault::Silent => std::future::pending().await,
            Fault::Late => tokio::time::sleep(LATE_RESPONSE_DELAY).await,
            Fault::Crash => self.crash().await,
            Fault::None | Fault::Cut | Fault::Noise => {}
        }
        match self.0.kind {
            Kind::Plain if fault == Fault::Cut => truncated_response(),
            Kind::Plain if fault == Fault::Crash => short_response(),
            Kind::Plain if let Some(response) = requested_response(parts.uri.path()) => response,
            Kind::Plain => {
                let padding = " ".repeat(requested_padding(&body));
                let json = format!("{{\"upstream\":\"{}\",\"ok\":true}}", self.0.name);
                http::text(StatusCode::OK, json + &padding)
            }
            Kind::Model { token_interval } => {
                let tokens = requested_tokens(&body);
                stream_tokens(running, tokens, token_interval, fault)
            }
        }
    }

    /// Stops to accept connections for a while.
    async fn crash(&self) {
        self.0.crashed.notify_one();
        // Lets the listener close first.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    fn record_request(&self, parts: &hyper::http::request::Parts, body: &str) {
        if !self.0.record {
            return;
        }
        let mut seen = lock(&self.0.seen);
        *seen.runs.entry(body.to_owned()).or_default() += 1;
        seen.paths.push(parts.uri.to_string());
        for (name, value) in &parts.headers {
            let value = String::from_utf8_lossy(value.as_bytes());
            seen.headers.push(format!("{name}: {value}"));
        }
    }
}

/// Returns the response that the path asks for, if it does.
fn requested_response(path: &str) -> Option<Response<Body>> {
    if let Some(length) = path.strip_prefix("/length/") {
        return Some(http::text(StatusCode::OK, vec![b'x'; length.parse().ok()?]));
    }
    let status = path.strip_prefix("/status/")?.parse().ok()?;
    Some(http::text(StatusCode::from_u16(status).ok()?, Bytes::new()))
}

/// Locks `mutex` even if a thread panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    match mutex.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    }
}

/// Counts a request as running until the guard is dropped.
struct RunningGuard(Arc<Inner>);

impl RunningGuard {
    fn new(inner: Arc<Inner>) -> Self {
        inner.running.fetch_add(1, Ordering::Relaxed);
        Self(inner)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads `"max_tokens": N` from a request's JSON.
fn requested_tokens(body: &str) -> u32 {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    value["max_tokens"]
        .as_u64()
        .and_then(|n| u32::try_from(n).ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Reads `"padding": N` from a request's JSON, the number of bytes that lengthen the response.
fn requested_padding(body: &str) -> usize {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    value["padding"]
        .as_u64()
        .and_then(|n| usize::try_from(n).ok())
        .unwrap_or(0)
}

/// Streams `tokens` tokens as server-sent events, or only half of them and no final event
/// under [`Fault::Cut`].
fn stream_tokens(
    running: RunningGuard,
    tokens: u32,
    token_interval: Duration,
    fault: Fault,
) -> Response<Body> {
    let truncate = fault == Fault::Cut;
    let noise = if fault == Fault::Noise { NOISE } else { "" };
    let end = if truncate { tokens / 2 } else { tokens };
    let stream = stream::unfold((running, 0), move |(running, sent)| async move {
        if sent < end {
            if !token_interval.is_zero() {
                tokio::time::sleep(token_interval).await;
            }
            let event = format!("data: {{\"token\":\"t{sent}\"}}\n\n");
            return Some((Ok(Frame::data(Bytes::from(event))), (running, sent + 1)));
        }
        if truncate || sent > end {
            return None;
        }
        let final_events =
            format!("{noise}data: {{\"usage\":{{\"total_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n");
        Some((
            Ok(Frame::data(Bytes::from(final_events))),
            (running, sent + 1),
        ))
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response whose body is aborted after its first bytes.
fn truncated_response() -> Response<Body> {
    let parts = [Ok(Frame::data(Bytes::from("{\"ok\":"))), Err(BodyAborted)];
    Response::new(BodyExt::boxed(StreamBody::new(stream::iter(parts))))
}

/// Returns a response that ends after its first bytes, in order. HTTP/1.0 has no chunks, so only its connection frames it.
fn short_response() -> Response<Body> {
    let parts = [Ok(Frame::data(Bytes::from("{\"ok\":")))];
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(stream::iter(parts))));
    *response.version_mut() = Version::HTTP_10;
    response
}
