//! An upstream: a model engine that streams tokens, or a plain service that counts how
//! often each order ran.
//!
//! Faults are ordered by path: `/fault/MODE` with `none`, `silent` (takes requests and
//! never answers), `cut` (breaks answers off in the middle), `late` (answers after a
//! second) or `refuse` (closes connections unanswered).

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::http::{self, Body, Broken};

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Streams tokens, with this pause between two.
    Model {
        /// Pause between two tokens.
        pace: Duration,
    },
    /// Answers at once and counts orders.
    Plain,
}

/// How it misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// Takes requests and never answers.
    Silent,
    /// Breaks answers off in the middle.
    Cut,
    /// Answers after a second.
    Late,
}

/// What it has seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// How often each order ran, by its body.
    pub runs: BTreeMap<String, u32>,
    /// Every field of every request, as `name: value`.
    pub fields: Vec<String>,
    /// Every path.
    pub paths: Vec<String>,
}

/// The stand-in's state.
#[derive(Clone)]
pub struct Upstream(Arc<Inner>);

struct Inner {
    name: String,
    kind: Kind,
    running: AtomicU32,
    fault: Mutex<Fault>,
    seen: Mutex<Seen>,
    record: bool,
}

/// Tokens of an answer where the request names no number.
const DEFAULT_TOKENS: u32 = 16;

/// Time by which a late answer is late.
const LATE: Duration = Duration::from_secs(1);

impl Upstream {
    /// Builds an upstream. With `record`, it keeps what it sees.
    pub fn new(name: impl Into<String>, kind: Kind, record: bool) -> Self {
        Self(Arc::new(Inner {
            name: name.into(),
            kind,
            running: AtomicU32::new(0),
            fault: Mutex::default(),
            seen: Mutex::default(),
            record,
        }))
    }

    /// Sets how it misbehaves.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.0.fault) = fault;
    }

    /// Returns what it has seen.
    pub fn seen(&self) -> Seen {
        lock(&self.0.seen).clone()
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |req| {
            let upstream = self.clone();
            async move { upstream.answer(req).await }
        })
        .await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
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
            return self.order_fault(mode);
        }
        self.work(req).await
    }

    fn order_fault(&self, mode: &str) -> Response<Body> {
        let fault = match mode {
            "none" => Fault::None,
            "silent" => Fault::Silent,
            "cut" => Fault::Cut,
            "late" => Fault::Late,
            _ => return http::text(StatusCode::BAD_REQUEST, "unknown fault\n"),
        };
        self.set_fault(fault);
        http::text(StatusCode::OK, "ordered\n")
    }

    async fn work(&self, req: Request<Incoming>) -> Response<Body> {
        let running = Running::new(self.0.clone());
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return http::text(StatusCode::BAD_REQUEST, "the body broke off\n");
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        self.note(&parts, &body);
        let fault = *lock(&self.0.fault);
        match fault {
            Fault::Silent => std::future::pending().await,
            Fault::Late => tokio::time::sleep(LATE).await,
            Fault::None | Fault::Cut => {}
        }
        match self.0.kind {
            Kind::Plain if fault == Fault::Cut => cut(),
            Kind::Plain => {
                let answer = format!("{{\"upstream\":\"{}\",\"ok\":true}}", self.0.name);
                http::text(StatusCode::OK, answer)
            }
            Kind::Model { pace } => {
                let tokens = tokens_wanted(&body);
                generate(running, tokens, pace, fault == Fault::Cut)
            }
        }
    }

    fn note(&self, parts: &hyper::http::request::Parts, body: &str) {
        if !self.0.record {
            return;
        }
        let mut seen = lock(&self.0.seen);
        *seen.runs.entry(body.to_owned()).or_default() += 1;
        seen.paths.push(parts.uri.to_string());
        for (name, value) in &parts.headers {
            let value = String::from_utf8_lossy(value.as_bytes());
            seen.fields.push(format!("{name}: {value}"));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    match mutex.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    }
}

/// Counts a request for as long as it runs.
struct Running(Arc<Inner>);

impl Running {
    fn new(inner: Arc<Inner>) -> Self {
        inner.running.fetch_add(1, Ordering::Relaxed);
        Self(inner)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads `"max_tokens": N` from a request's JSON.
fn tokens_wanted(body: &str) -> u32 {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    value["max_tokens"]
        .as_u64()
        .and_then(|n| u32::try_from(n).ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Streams `tokens` tokens as events.
fn generate(running: Running, tokens: u32, pace: Duration, cut: bool) -> Response<Body> {
    let end = if cut { tokens / 2 } else { tokens };
    let stream = stream::unfold((running, 0), move |(running, sent)| async move {
        if sent < end {
            if !pace.is_zero() {
                tokio::time::sleep(pace).await;
            }
            let event = format!("data: {{\"token\":\"t{sent}\"}}\n\n");
            return Some((Ok(Frame::data(Bytes::from(event))), (running, sent + 1)));
        }
        if cut || sent > end {
            return None;
        }
        let last = format!("data: {{\"usage\":{{\"total_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n");
        Some((Ok(Frame::data(Bytes::from(last))), (running, sent + 1)))
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Returns an answer whose body breaks off.
fn cut() -> Response<Body> {
    let parts = [Ok(Frame::data(Bytes::from("{\"ok\":"))), Err(Broken)];
    Response::new(BodyExt::boxed(StreamBody::new(stream::iter(parts))))
}
