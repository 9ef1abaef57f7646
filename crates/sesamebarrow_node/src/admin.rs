//! The admin interface for operators, which has its own listener.
//!
//! `/health` and `/ready` need no token. `/state`, `/metrics` and `/drain` require the bearer
//! token that is derived from the fleet's secret.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use metrics_exporter_prometheus::PrometheusHandle;
use sesamebarrow_gateway::meter::{Metered, MeteredBody};
use sesamebarrow_policy::Event;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;

use crate::accept;
use crate::driver::Command;
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Body};

/// Data that the handlers share.
pub struct Context {
    /// State of the process.
    pub node: Arc<Node>,
    /// Token that operators must send.
    pub token: String,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

/// Serves operators until the process ends.
pub async fn serve(cx: Arc<Context>, listener: TcpListener) {
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                accept::pause_after_failure(&error).await;
                continue;
            }
        };
        let cx = cx.clone();
        tokio::spawn(async move {
            let (stream, meter) = Metered::new(stream);
            let service = hyper::service::service_fn(move |req: Request<Incoming>| {
                meter.reset();
                let req = req.map(|body| MeteredBody::new(body, meter.clone()));
                handle_request(cx.clone(), req)
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "admin connection failed");
            }
        });
    }
}

async fn handle_request(
    cx: Arc<Context>,
    req: Request<MeteredBody>,
) -> Result<Response<Body>, Infallible> {
    let response = match route(&cx, &req).await {
        Ok(response) => response,
        Err(problem) => problem.into_response(None),
    };
    Ok(response)
}

async fn route(cx: &Context, req: &Request<MeteredBody>) -> Result<Response<Body>, Problem> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/health") => Ok(text("ok\n")),
        (&Method::GET, "/ready") => ready(cx).await,
        (&Method::GET, "/state") => {
            check_token(cx, req)?;
            let state = cx.node.driver.query(Command::Snapshot).await;
            Ok(relay::json(&state.map_err(stopping_problem)?))
        }
        (&Method::GET, "/metrics") => {
            check_token(cx, req)?;
            let updated = cx.node.driver.query(Command::UpdateMetrics).await;
            updated.map_err(stopping_problem)?;
            Ok(text(cx.metrics.render()))
        }
        (&Method::POST, "/drain") => {
            check_token(cx, req)?;
            log::info!("drain requested");
            cx.node.driver.send_event(Event::Drain);
            Ok(text("draining\n"))
        }
        _ => {
            let title = "expected /health, /ready, /state, /metrics or POST /drain";
            Err(Problem::rejection(
                StatusCode::NOT_FOUND,
                "no-such-path",
                title,
            ))
        }
    }
}

async fn ready(cx: &Context) -> Result<Response<Body>, Problem> {
    let ready = cx
        .node
        .driver
        .query(Command::Ready)
        .await
        .map_err(stopping_problem)?;
    if ready {
        return Ok(text("ready\n"));
    }
    let title = "This instance takes no work.";
    Err(Problem::rejection(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        title,
    ))
}

fn check_token(cx: &Context, req: &Request<MeteredBody>) -> Result<(), Problem> {
    let token = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    if bool::from(token.ct_eq(cx.token.as_bytes())) {
        return Ok(());
    }
    let title = "expected the fleet's admin token";
    Err(Problem::rejection(
        StatusCode::UNAUTHORIZED,
        "bad-token",
        title,
    ))
}

fn stopping_problem(error: anyhow::Error) -> Problem {
    Problem::rejection(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        error.to_string(),
    )
}

fn text(body: impl Into<bytes::Bytes>) -> Response<Body> {
    Response::new(relay::full(body))
}
