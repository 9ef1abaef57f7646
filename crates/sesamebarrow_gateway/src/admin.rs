//! Serves the metrics and the state dump to operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;
use sesamebarrow_routing::board::limit::Owner;
use sesamebarrow_routing::token;

use crate::meter::MeteredBody;
use crate::relay::{self, Body};
use crate::shared::Shared;
use crate::telemetry;

/// Handles an operator's request.
pub async fn handle(
    shared: Arc<Shared>,
    metrics: PrometheusHandle,
    req: Request<MeteredBody>,
) -> Response<Body> {
    match req.uri().path() {
        "/metrics" => {
            telemetry::update_gauges(&shared);
            Response::new(relay::full_body(Bytes::from(metrics.render())))
        }
        "/state" => Response::new(relay::full_body(Bytes::from(
            state_dump(&shared).to_string(),
        ))),
        _ => {
            let mut response = Response::new(relay::full_body(Bytes::new()));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

/// Returns the state dump. It contains no API keys and no data of requests.
fn state_dump(shared: &Shared) -> serde_json::Value {
    let now = shared.now();
    let (held, held_limit) = shared.memory.usage();
    let board = shared.board();
    let members: Vec<_> = board
        .members
        .all
        .values()
        .map(|m| {
            json!({
                "name": m.record.name, "region": m.region, "ready": m.is_ready(),
                "silent_ms": m.silence(now).as_millis() as u64, "hops": m.forwarded_in_progress,
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
                "running": u.in_progress, "unread": u.prefill_tokens, "memory": u.kv_tokens,
                "outstanding": u.outstanding(now), "cold": u.is_cold(now), "absent": u.absence.is_absent(),
                "failures": u.availability.consecutive_failures,
                "fault_ratio": u.availability.failure_ratio, "leaving": u.availability.leaving,
                "rest_ms": u.availability.rest_until.saturating_sub(now).as_millis() as u64,
                "ramp": u.availability.ramp,
                "refusal_level": u.availability.refusals.level(now, u.in_progress, u64::MAX),
                "misdirected_ms": u.availability.misdirected_until.saturating_sub(now).as_millis() as u64,
            })
        })
        .collect();
    let limits: Vec<_> = board
        .upstreams
        .all
        .values()
        .filter_map(|u| {
            let limit = board.limits.in_force(u.run_hash)?;
            let pause = board.limits.pause(now, u.run_hash, u8::MAX);
            let owner = match board.limit_owner(now, u.run_hash).0 {
                Owner::Own => "own".to_owned(),
                Owner::Other(ip) => ip.to_string(),
            };
            Some(json!({
                "upstream": u.entry.id, "rate": limit.rate, "owner": owner, "serial": limit.serial,
                "permits": limit.bucket.permits(), "paused_ms": pause.map_or(0, |p| p.as_millis() as u64),
                "named_ms_ago": now.saturating_sub(limit.named_at).as_millis() as u64,
            }))
        })
        .collect();
    let customers = board.config.iter().flat_map(|c| &c.customers);
    let buckets: Vec<_> = customers
        .filter_map(|c| {
            let bucket = board.quota.bucket_state(token::customer_hash(&c.name))?;
            Some(json!({
                "customer": c.name, "part": bucket.refill_fraction,
                "level": bucket.available_tokens, "wanted": bucket.lead_tokens,
            }))
        })
        .collect();
    let orders: Vec<_> = board
        .quarantine
        .orders()
        .map(|o| {
            json!({
                "kind": o.suspect.kind.to_string(), "suspect": format!("{:x}", o.suspect.id),
                "in_force": o.in_force,
                "all_customers": o.customer.is_none(), "serial": o.serial, "trials": o.trials,
                "age_ms": now.saturating_sub(o.since).as_millis() as u64,
                "crash_age_ms": now.saturating_sub(o.last_crash_at).as_millis() as u64,
            })
        })
        .collect();
    let blamed = board.quarantine.blamed();
    let blamed: Vec<_> = blamed
        .map(|(suspect, crashes)| {
            let (kind, id) = (suspect.kind.to_string(), format!("{:x}", suspect.id));
            json!({ "kind": kind, "suspect": id, "crashes": crashes })
        })
        .collect();
    let dispatched: Vec<_> = board
        .dispatched()
        .map(|service| {
            let dispatcher = match board.dispatcher(now, service) {
                Some(Owner::Own) => "own".to_owned(),
                Some(Owner::Other(ip)) => ip.to_string(),
                None => "none".to_owned(),
            };
            json!({ "service": service, "dispatcher": dispatcher })
        })
        .collect();
    let dispatching: Vec<_> = board
        .dispatched_services()
        .map(|(service, state)| {
            let s = state.summary(now);
            json!({
                "service": service, "waiting": s.waiting, "held": s.held,
                "busy_engines": s.busy_engines, "most_backlog_ms": s.most_backlog_ms,
                "most_slowness": s.most_slowness, "places_per_s": s.rate_per_s,
                "granted": s.counts[0], "forwarded": s.counts[1], "refused": s.counts[2],
                "tokens_per_ms": 1.0 / s.speed.ms_per_token,
            })
        })
        .collect();
    json!({
        "dispatched": dispatched, "dispatching": dispatching,
        "limits": limits, "quarantine": orders, "blamed": blamed,
        "name": board.identity.name, "region": board.identity.region, "ready": board.is_ready(),
        "refuses_streams": shared.refuses_streams.load(Ordering::Relaxed),
        "config": board.config.as_ref().map(|c| c.version),
        "changed": board.revision, "evacuated": board.evacuated.iter().collect::<Vec<_>>(),
        "held_bytes": held, "held_bytes_limit": held_limit, "members": members, "upstreams": upstreams, "buckets": buckets,
    })
}
