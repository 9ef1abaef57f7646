//! The platform: versioned documents that clients read and watch.
//!
//! Tests and examples publish a document with `PUT /v1/documents/NAME` and its revision in
//! `x-revision`, as an operator would. The gateway only reads.
//!
//! This is not the platform of the crate `sesamebarrow_platform`, for whose store
//! `platform/tests/support/store.rs` stands in.

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

/// A published document.
#[derive(Clone, Debug, Default)]
struct Document {
    revision: u64,
    text: String,
}

/// A stand-in for the platform; clones share their state.
#[derive(Clone)]
pub struct Platform(Arc<Inner>);

struct Inner {
    documents: watch::Sender<HashMap<String, Document>>,
    calls: AtomicU64,
}

impl Default for Platform {
    fn default() -> Self {
        Self(Arc::new(Inner {
            documents: watch::Sender::new(HashMap::new()),
            calls: AtomicU64::new(0),
        }))
    }
}

impl Platform {
    /// Publishes a document, even if its revision is lower than the published one.
    pub fn publish(&self, name: &str, revision: u64, text: impl Into<String>) {
        let document = Document {
            revision,
            text: text.into(),
        };
        self.0.documents.send_modify(|documents| {
            documents.insert(name.to_owned(), document);
        });
    }

    /// Returns the number of requests received so far.
    pub fn calls(&self) -> u64 {
        self.0.calls.load(Ordering::Relaxed)
    }

    /// Serves until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |req| {
            let platform = self.clone();
            async move { platform.handle(req).await }
        })
        .await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
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
        let after = query_number(query, "after");
        let wait = Duration::from_millis(query_number(query, "wait"));
        let mut documents = self.0.documents.subscribe();
        let newer = |documents: &HashMap<String, Document>| {
            documents.get(name).is_some_and(|v| v.revision > after)
        };
        // A timeout is no error: the response then says that nothing newer was published.
        let _ = tokio::time::timeout(wait, documents.wait_for(newer)).await;
        let document = self.0.documents.borrow().get(name).cloned();
        let Some(document) = document else {
            return http::text(StatusCode::NOT_FOUND, "nothing published\n");
        };
        let status = if document.revision > after {
            StatusCode::OK
        } else {
            StatusCode::NOT_MODIFIED
        };
        let body = if status == StatusCode::OK {
            document.text
        } else {
            String::new()
        };
        let mut response = http::text(status, body);
        response
            .headers_mut()
            .insert("x-revision", document.revision.into());
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

/// Returns the number in query parameter `name`, or 0 if it is missing or malformed.
fn query_number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
