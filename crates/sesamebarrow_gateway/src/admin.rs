//! Metrics and the state dump, for operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::json;

use crate::relay::{self, Body};
use crate::shared::Shared;

/// Upper bounds of the buckets of latencies, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.5, 5.0, 12.0];

/// Installs the recorder of this process.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)?
        .install_recorder()?;
    Ok(handle)
}

/// Answers an operator.
pub async fn answer(
    shared: Arc<Shared>,
    metrics: PrometheusHandle,
    req: Request<Incoming>,
) -> Response<Body> {
    match req.uri().path() {
        "/metrics" => {
            publish(&shared);
            Response::new(relay::full(Bytes::from(metrics.render())))
        }
        "/state" => Response::new(relay::full(Bytes::from(dump(&shared).to_string()))),
        _ => {
            let mut response = Response::new(relay::full(Bytes::new()));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn publish(shared: &Shared) {
    let now = shared.now();
    let board = shared.board();
    let heard = board.members.heard(now).count();
    let version = board.config.as_ref().map_or(0, |c| c.version);
    // CAST: counts of this size are exact in a float.
    metrics::gauge!("sesamebarrow_members_heard").set(heard as f64);
    metrics::gauge!("sesamebarrow_config_version").set(version as f64);
    metrics::gauge!("sesamebarrow_upstreams").set(board.upstreams.all.len() as f64);
}

/// Returns what the process knows; no keys and no data of requests.
fn dump(shared: &Shared) -> serde_json::Value {
    let now = shared.now();
    let board = shared.board();
    let members: Vec<_> = board
        .members
        .all
        .values()
        .map(|m| {
            json!({
                "name": m.record.name, "region": m.region, "ready": m.record.ready,
                "silent_ms": now.saturating_sub(m.heard).as_millis() as u64, "hops": m.hops,
            })
        })
        .collect();
    let upstreams: Vec<_> = board
        .upstreams
        .all
        .values()
        .map(|u| {
            json!({
                "id": u.entry.id, "service": u.entry.service, "ready": u.entry.ready,
                "running": u.running, "unread": u.unread, "memory": u.memory,
                "outstanding": u.outstanding(now), "cold": u.is_cold(now),
                "failures": u.failures, "fault_ratio": u.fault_ratio,
            })
        })
        .collect();
    json!({
        "name": board.me.name, "region": board.me.region, "ready": board.is_ready(),
        "refuses_streams": shared.refuses_streams.load(Ordering::Relaxed),
        "config": board.config.as_ref().map(|c| c.version),
        "changed": board.changed, "evacuated": board.evacuated.iter().collect::<Vec<_>>(),
        "members": members, "upstreams": upstreams,
    })
}
