//! The platform: documents that can be read and watched.
//!
//! `PUT /v1/documents/NAME` with a revision in `x-revision` is for whoever plays the
//! operator; the gateway only reads.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{self, Body};

/// One published value.
#[derive(Clone, Debug, Default)]
struct Value {
    revision: u64,
    text: String,
}

/// The stand-in's state.
#[derive(Clone)]
pub struct Platform(Arc<Inner>);

struct Inner {
    values: watch::Sender<HashMap<String, Value>>,
    calls: AtomicU64,
}

impl Default for Platform {
    fn default() -> Self {
        Self(Arc::new(Inner {
            values: watch::Sender::new(HashMap::new()),
            calls: AtomicU64::new(0),
        }))
    }
}

impl Platform {
    /// Publishes a document, whatever its revision.
    pub fn publish(&self, name: &str, revision: u64, text: impl Into<String>) {
        let value = Value {
            revision,
            text: text.into(),
        };
        self.0.values.send_modify(|values| {
            values.insert(name.to_owned(), value);
        });
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> u64 {
        self.0.calls.load(Ordering::Relaxed)
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |req| {
            let platform = self.clone();
            async move { platform.answer(req).await }
        })
        .await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        self.0.calls.fetch_add(1, Ordering::Relaxed);
        let path = req.uri().path().to_owned();
        if path == "/calls" {
            return http::text(StatusCode::OK, self.calls().to_string());
        }
        let Some(name) = path.strip_prefix("/v1/documents/") else {
            return http::text(StatusCode::NOT_FOUND, "no such path\n");
        };
        match *req.method() {
            Method::GET => self.read(name, req.uri().query().unwrap_or_default()).await,
            Method::PUT => self.write(name.to_owned(), req).await,
            _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT\n"),
        }
    }

    async fn read(&self, name: &str, query: &str) -> Response<Body> {
        let after = number(query, "after");
        let wait = Duration::from_millis(number(query, "wait"));
        let mut values = self.0.values.subscribe();
        let newer =
            |values: &HashMap<String, Value>| values.get(name).is_some_and(|v| v.revision > after);
        // No answer in time is an answer too.
        let _ = tokio::time::timeout(wait, values.wait_for(newer)).await;
        let value = self.0.values.borrow().get(name).cloned();
        let Some(value) = value else {
            return http::text(StatusCode::NOT_FOUND, "nothing published\n");
        };
        let status = if value.revision > after {
            StatusCode::OK
        } else {
            StatusCode::NOT_MODIFIED
        };
        let body = if status == StatusCode::OK {
            value.text
        } else {
            String::new()
        };
        let mut response = http::text(status, body);
        response
            .headers_mut()
            .insert("x-revision", value.revision.into());
        response
    }

    async fn write(&self, name: String, req: Request<Incoming>) -> Response<Body> {
        let revision = req
            .headers()
            .get("x-revision")
            .and_then(|v| v.to_str().ok()?.parse().ok());
        let Some(revision) = revision else {
            return http::text(StatusCode::BAD_REQUEST, "expected x-revision\n");
        };
        let Ok(body) = req.into_body().collect().await else {
            return http::text(StatusCode::BAD_REQUEST, "the body broke off\n");
        };
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        self.publish(&name, revision, text);
        http::text(StatusCode::OK, "published\n")
    }
}

fn number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
