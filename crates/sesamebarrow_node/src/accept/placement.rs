//! Answers placement queries, in which callers ask which instances they should use.

use std::time::Duration;

use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use sesamebarrow_policy::event::Candidate;
use sesamebarrow_policy::{Action, Event, Reason, Refusal};
use smol_str::{SmolStr, format_smolstr};

use super::head;
use super::unread::RequestBody;
use crate::credential::Key;
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Body};

#[derive(Serialize)]
struct Placement {
    instances: Vec<RecommendedInstance>,
    ttl_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<SmolStr>,
}

#[derive(Serialize)]
struct RecommendedInstance {
    name: SmolStr,
    region: SmolStr,
    url: SmolStr,
}

/// Answers `GET /placement?service=NAME`.
pub(super) async fn respond(
    node: &Node,
    req: &Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let key = Key::from_headers(req.headers()).map_err(|e| head::bad_credential(&e))?;
    let query = req.uri().query().unwrap_or_default();
    let service = query.split('&').find_map(|p| p.strip_prefix("service="));
    let Some(service) = service.map(SmolStr::new) else {
        let title = "expected ?service=NAME";
        return Err(Problem::rejection(
            StatusCode::BAD_REQUEST,
            "bad-query",
            title,
        ));
    };
    let key = key.as_ref().map(Key::digest);
    let mut handle = node
        .driver
        .submit(|id| Event::PlacementRequested { id, key, service });
    match handle.rx.recv().await {
        Some(Action::ReturnPlacement {
            candidates,
            ttl,
            ticket,
            ..
        }) => Ok(placement_response(&candidates, ttl, ticket)),
        Some(Action::Refuse { refusal, .. }) => Err(Problem::from_refusal(&refusal)),
        _ => Err(Problem::from_refusal(&Refusal::not_run(Reason::Internal))),
    }
}

fn placement_response(
    candidates: &[Candidate],
    ttl: Duration,
    ticket: Option<SmolStr>,
) -> Response<Body> {
    let placement = Placement {
        instances: candidates
            .iter()
            .map(|c| RecommendedInstance {
                name: c.name.clone(),
                region: c.region.clone(),
                url: format_smolstr!("http://{}", c.http),
            })
            .collect(),
        ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        ticket,
    };
    relay::json(&placement)
}
