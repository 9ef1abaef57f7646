//! Tests of guarantees that need real processes: real sockets, signals and clocks.
//!
//! Every test polls with a generous time limit and asserts nothing about elapsed time.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_standin::deploy::SECRET;
use sesamebarrow_standin::http::{self, ReceivedResponse};
use sesamebarrow_standin::process::wait_until;
use sesamebarrow_standin::upstream::{Fault, NOISE};
use sesamebarrow_standin::{DeploymentSpec, Fleet};
use sesamebarrow_wire::auth::FleetKeys;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const KEY: &str = "process-test-key-0001";
const OTHER_KEY: &str = "process-test-key-0002";

fn rules(keys: &[&str]) -> String {
    let mut text = "region lima # ana\n\
         domain lim-1 region=lima slots=2 # ana\n\
         region piura # ana\n\
         domain piu-1 region=piura slots=1 # ana\n\
         service statements kind=model # luis\n\
         service payouts kind=plain # luis\n\
         customer paita regions=lima rate=100000 burst=1000000 # rosa\n\
         allow paita statements # rosa\n\
         allow paita payouts # rosa\n\
         route payouts POST /payouts non-idempotent # luis\n\
         route payouts GET /hours open # luis\n"
        .to_owned();
    for key in keys {
        let digest = KeyDigest::of(key.as_bytes());
        text.push_str(&format!("key paita blake3={digest} # rosa\n"));
    }
    text
}

/// A running deployment and the folder of its settings and logs.
struct TestEnv {
    fleet: Fleet,
    _folder: TempDir,
}

/// Starts two instances in Lima and one in Piura, a model engine and a payout service.
async fn start() -> anyhow::Result<TestEnv> {
    start_changed(&rules(&[KEY]), |_| {}).await
}

/// Starts the same deployment with other rules and after `change`.
async fn start_changed(
    rules: &str,
    change: impl FnOnce(&mut DeploymentSpec),
) -> anyhow::Result<TestEnv> {
    let folder = TempDir::new()?;
    let mut deployment = DeploymentSpec::new()?;
    deployment.add_instance("lim-1-a", "lim-1", 0)?;
    deployment.add_instance("lim-1-b", "lim-1", 1)?;
    deployment.add_instance("piu-1-a", "piu-1", 0)?;
    deployment.add_upstream("eng-lim", "lim-1", "statements", 8)?;
    deployment.add_upstream("pay-lim", "lim-1", "payouts", 8)?;
    change(&mut deployment);
    let models = ["statements"];
    let fleet = Fleet::start(deployment, rules, &models, folder.path()).await?;
    Ok(TestEnv {
        fleet,
        _folder: folder,
    })
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Requests `tokens` tokens from the model service.
async fn send_prompt(http: SocketAddr, key: &str, tokens: u32) -> anyhow::Result<ReceivedResponse> {
    let body = format!("{{\"prompt\":\"hello\",\"max_tokens\":{tokens}}}");
    let bearer = bearer(key);
    let headers = [("authorization", bearer.as_str())];
    http::call(http, "POST", "/s/statements/generate", &headers, body).await
}

/// Gets a ticket for the payout service.
async fn fetch_ticket(http: SocketAddr) -> anyhow::Result<String> {
    let bearer = bearer(KEY);
    let headers = [("authorization", bearer.as_str())];
    let response = http::call(http, "GET", "/placement?service=payouts", &headers, "").await?;
    let ticket = response.json()["ticket"].as_str().map(ToOwned::to_owned);
    ticket.ok_or_else(|| anyhow::anyhow!("no ticket: {}", response.text()))
}

/// Sends `order` to the payout service with `ticket` as its idempotency key.
async fn send_payout(
    http: SocketAddr,
    ticket: &str,
    order: &str,
) -> anyhow::Result<ReceivedResponse> {
    let bearer = bearer(KEY);
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", ticket),
        ("x-deadline-ms", "3000"),
    ];
    let order = order.to_owned();
    http::call(http, "POST", "/s/payouts/payouts", &headers, order).await
}

fn outcome(response: &ReceivedResponse) -> String {
    response.json()["outcome"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Returns the state dump of an instance.
async fn fetch_state(admin: SocketAddr) -> anyhow::Result<ReceivedResponse> {
    let token = FleetKeys::new(SECRET.as_bytes()).admin_token();
    let token = bearer(&token);
    let headers = [("authorization", token.as_str())];
    http::call(admin, "GET", "/state", &headers, "").await
}

/// Defines a test named after the guarantee that it checks, with a deployment of its own.
macro_rules! process_test {
    ($name:ident, $($env:ident)+, $body:block) => {
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() -> anyhow::Result<()> {
            let $($env)+ = start().await?;
            $body
            Ok(())
        }
    };
}

#[path = "processes/at_most_once.rs"]
mod at_most_once;
#[path = "processes/harmful_requests.rs"]
mod harmful_requests;
#[path = "processes/input_and_responses.rs"]
mod input_and_responses;
#[path = "processes/lengths.rs"]
mod lengths;
#[path = "processes/lifecycle.rs"]
mod lifecycle;
#[path = "processes/planned_work.rs"]
mod planned_work;
#[path = "processes/residency_and_keys.rs"]
mod residency_and_keys;
