//! Commands that use the admin interface of an instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use serde_json::Value;
use sesamebarrow_wire::auth::FleetKeys;

use crate::{client, table};

/// Runs `state`, `metrics` or `drain`.
///
/// Returns whether the instance answered with a success status.
pub async fn run(name: &str, args: &ArgMatches) -> anyhow::Result<bool> {
    let address = *args.get_one::<SocketAddr>("admin").context("no address")?;
    let secret_path = args.get_one::<PathBuf>("secret").context("no secret")?;
    let secret = std::fs::read(secret_path).with_context(|| secret_path.display().to_string())?;
    let token = FleetKeys::new(secret.trim_ascii()).admin_token();
    let (method, path) = match name {
        "drain" => ("POST", "/drain"),
        "metrics" => ("GET", "/metrics"),
        _ => ("GET", "/state"),
    };
    let response = client::call(address, method, path, &token).await?;
    let text = String::from_utf8_lossy(&response.body);
    if !response.status.is_success() {
        eprintln!("{}: {text}", response.status);
        return Ok(false);
    }
    if name == "state" {
        let state: Value = serde_json::from_str(&text)?;
        if args.get_flag("json") {
            println!("{}", serde_json::to_string_pretty(&state)?);
        } else {
            print_state(&state);
        }
    } else {
        print!("{text}");
    }
    Ok(true)
}

fn print_state(state: &Value) {
    println!(
        "{} in {} ({}), {}{}",
        state["name"].as_str().unwrap_or_default(),
        state["domain"].as_str().unwrap_or_default(),
        state["region"].as_str().unwrap_or("no region"),
        if state["ready"] == true {
            "ready"
        } else {
            "not ready"
        },
        if state["draining"] == true {
            ", draining"
        } else {
            ""
        }
    );
    for name in ["rules", "list"] {
        let document = &state[name];
        println!(
            "{name}: revision {}, confirmed {} ms ago",
            document["revision"], document["age_ms"]
        );
        for fault in ["fault", "read_fault"] {
            if let Some(text) = document[fault].as_str() {
                println!("  {text}");
            }
        }
    }
    let columns = [
        "name",
        "domain",
        "listed",
        "linked",
        "takes_work",
        "rules_revision",
    ];
    table::print("instances", &state["instances"], &columns);
    let columns = ["name", "service", "state", "load", "capacity", "ejected"];
    table::print("upstreams", &state["upstreams"], &columns);
    let columns = [
        "name", "rate", "burst", "tokens", "lent", "borrowed", "waiting",
    ];
    table::print("customers", &state["customers"], &columns);
    let columns = ["id", "customer", "service", "stage", "target", "attempts"];
    table::print("requests", &state["requests"], &columns);
}
