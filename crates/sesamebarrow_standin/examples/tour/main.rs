//! Starts a small deployment on loopback as separate processes and sends requests to it.
//!
//! Run with `cargo build && cargo run -p sesamebarrow_standin --example tour`.
//!
//! Shows a placement, a streamed response, a payout that runs at most once, a status check
//! and a refusal, then stops every instance gracefully. With `--stay SECONDS` the deployment
//! keeps running for that time before it stops, to try out the examples of `docs/callers.md`.
//!
//! The stand-ins are more processes of this program, started as `tour standin …`.

mod standin;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use clap::{Arg, Command};
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_standin::DeploymentSpec;
use sesamebarrow_standin::http;
use sesamebarrow_standin::process::{self, Process};

const KEY: &str = "tour-key-0123456789";

fn rules() -> String {
    let digest = KeyDigest::of(KEY.as_bytes());
    format!(
        "region lima # ana\n\
         region piura # ana\n\
         domain lim-1 region=lima slots=2 # ana\n\
         domain piu-1 region=piura slots=2 # ana\n\
         service statements kind=model # luis\n\
         service payouts kind=plain cost=10 # luis\n\
         customer paita regions=lima rate=2000 burst=8000 # rosa\n\
         key paita blake3={digest} # rosa\n\
         allow paita statements # rosa\n\
         allow paita payouts # rosa\n\
         route payouts POST /payouts non-idempotent # luis\n\
         route payouts GET /status idempotent # luis\n"
    )
}

/// Returns a deployment of two instances in each of two failure domains.
fn new_deployment() -> anyhow::Result<DeploymentSpec> {
    let mut deployment = DeploymentSpec::new()?;
    for (name, domain, slot) in [
        ("lim-1-a", "lim-1", 0),
        ("lim-1-b", "lim-1", 1),
        ("piu-1-a", "piu-1", 0),
        ("piu-1-b", "piu-1", 1),
    ] {
        deployment.add_instance(name, domain, slot)?;
    }
    deployment.add_upstream("eng-lim", "lim-1", "statements", 8)?;
    deployment.add_upstream("pay-lim", "lim-1", "payouts", 8)?;
    deployment.add_upstream("eng-piu", "piu-1", "statements", 8)?;
    Ok(deployment)
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let stay = Arg::new("stay")
        .long("stay")
        .value_name("SECONDS")
        .default_value("0")
        .value_parser(clap::value_parser!(u64));
    let command = Command::new("tour")
        .arg(stay)
        .subcommand(standin::command());
    let matches = command.get_matches();
    if let Some((_, matches)) = matches.subcommand() {
        return standin::run(matches).await;
    }
    let stay = matches.get_one("stay").copied().unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("sesamebarrow-tour-{}", std::process::id()));
    let result = tour(&folder, Duration::from_secs(stay)).await;
    // The folder holds only the settings and the secret of this run.
    let _ = std::fs::remove_dir_all(&folder);
    result
}

async fn tour(folder: &Path, stay_time: Duration) -> anyhow::Result<()> {
    let deployment = new_deployment()?;
    let settings = deployment.write(folder)?;
    let programs = process::program_folder()?;
    let standins = start_standins(&deployment, &std::env::current_exe()?).await?;
    publish(deployment.platform, "rules", &rules()).await?;
    publish(deployment.platform, "list", &deployment.list(&[])).await?;
    let mut instances = Vec::new();
    for (instance, settings) in deployment.instances.iter().zip(&settings) {
        let settings = settings.to_string_lossy();
        let args = ["--settings", settings.as_ref()];
        let program = programs.join("sesamebarrow");
        instances.push(Process::start(&instance.name, &program, &args, None)?);
    }
    for instance in &deployment.instances {
        process::wait_until_ok(instance.admin, "/ready").await?;
    }
    println!("{} instances are ready", instances.len());
    send_requests(&deployment).await?;
    keep_running(&deployment, folder, stay_time).await;
    for process in &mut instances {
        let status = process.stop()?;
        anyhow::ensure!(status.success(), "an instance exited with {status}");
    }
    println!("all instances stopped gracefully");
    drop(standins);
    Ok(())
}

/// Prints the variables that `docs/callers.md` uses and keeps the deployment running for
/// `stay_time`.
async fn keep_running(deployment: &DeploymentSpec, folder: &Path, stay_time: Duration) {
    if stay_time.is_zero() {
        return;
    }
    let first = &deployment.instances[0];
    println!("export GATEWAY=http://{} KEY={KEY}", first.http);
    println!(
        "export ADMIN={} SECRET={}",
        first.admin,
        folder.join("secret").display()
    );
    tokio::time::sleep(stay_time).await;
}

async fn start_standins(
    deployment: &DeploymentSpec,
    program: &Path,
) -> anyhow::Result<Vec<Process>> {
    let platform = deployment.platform.to_string();
    let mut processes = vec![Process::start(
        "platform",
        program,
        &["standin", "platform", &platform],
        None,
    )?];
    process::wait_until_listening(deployment.platform).await?;
    for upstream in &deployment.upstreams {
        let address = upstream.http.to_string();
        let role = if upstream.service == "statements" {
            "model"
        } else {
            "plain"
        };
        let args = ["standin", role, address.as_str(), upstream.name.as_str()];
        processes.push(Process::start(&upstream.name, program, &args, None)?);
        process::wait_until_listening(upstream.http).await?;
    }
    Ok(processes)
}

async fn publish(platform: SocketAddr, name: &str, text: &str) -> anyhow::Result<()> {
    let path = format!("/v1/documents/{name}");
    let response = http::call(
        platform,
        "PUT",
        &path,
        &[("x-revision", "1")],
        text.to_owned(),
    );
    anyhow::ensure!(
        response.await?.status.is_success(),
        "the platform did not accept document {name}"
    );
    Ok(())
}

async fn send_requests(deployment: &DeploymentSpec) -> anyhow::Result<()> {
    let bearer = format!("Bearer {KEY}");
    let key = ("authorization", bearer.as_str());
    let other_region = deployment.instances[2].http;
    let placement = http::call(
        other_region,
        "GET",
        "/placement?service=payouts",
        &[key],
        "",
    )
    .await?;
    println!("placement: {}", placement.text());
    let allowed = placement.json()["instances"][0]["url"]
        .as_str()
        .and_then(|u| u.strip_prefix("http://"))
        .context("no instance in the placement")?
        .parse::<SocketAddr>()?;

    let body = "{\"prompt\":\"why did my share change?\",\"max_tokens\":4}";
    let response = http::call(
        allowed,
        "POST",
        "/s/statements/v1/generate",
        &[key, ("x-max-tokens", "4")],
        body,
    )
    .await?;
    println!(
        "streamed answer ({}):\n{}",
        response.status,
        response.text()
    );

    let placement = http::call(allowed, "GET", "/placement?service=payouts", &[key], "").await?;
    let ticket = placement.json()["ticket"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let order = "{\"boat\":\"Estrella\",\"soles\":120}";
    let headers = [key, ("idempotency-key", ticket.as_str())];
    let payout = http::call(allowed, "POST", "/s/payouts/payouts", &headers, order).await?;
    println!("payout ({}): {}", payout.status, payout.text());
    let again = http::call(allowed, "POST", "/s/payouts/payouts", &headers, order).await?;
    println!("the same payout again ({}): {}", again.status, again.text());
    let upstream = &deployment.upstreams[1];
    let seen = http::call(upstream.http, "GET", "/seen", &[], "").await?;
    println!("times that it ran: {}", seen.json()["runs"][order]);

    let status = http::call(allowed, "GET", "/s/payouts/status", &[key], "").await?;
    println!("status check ({}): {}", status.status, status.text());

    let refused = http::call(
        other_region,
        "POST",
        "/s/statements/v1/generate",
        &[key],
        body,
    )
    .await?;
    println!("refusal ({}): {}", refused.status, refused.text());
    Ok(())
}
