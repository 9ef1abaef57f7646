//! Serves the directory, which tells clients where to connect, and the platform's readiness
//! check.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sesamebarrow_platform::directory;
use sesamebarrow_routing::place;

use crate::meter::MeteredBody;
use crate::relay::{self, Body};
use crate::shared::Shared;

/// Handles a query to the directory.
pub async fn resolve(shared: Arc<Shared>, req: Request<MeteredBody>) -> Response<Body> {
    if req.uri().path() != directory::RESOLVE_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = directory::decode_query(req.uri().query().unwrap_or_default());
    let now = shared.now();
    let port = shared.listen.callers.port();
    let placement = place::place(&shared.board(), now, &query.host, &query.region);
    if placement.instances.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    metrics::histogram!("sesamebarrow_directory_silence_seconds")
        .record(placement.silence.as_secs_f64());
    let addresses: Vec<_> = placement
        .instances
        .into_iter()
        .map(|ip| SocketAddr::new(ip.into(), port))
        .collect();
    let body = directory::encode_response(&addresses, placement.ttl);
    let mut response = Response::new(relay::full_body(Bytes::from(body)));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Handles the readiness check.
pub async fn ready(shared: Arc<Shared>, req: Request<MeteredBody>) -> Response<Body> {
    if req.uri().path() != directory::READY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let ready = shared.board().is_ready();
    empty_response(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(relay::full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
