//! Asks an instance which instances a caller should use.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;

use crate::{client, keys};

/// Runs `place`. Returns whether the instance answered with a success status.
pub async fn run(args: &ArgMatches) -> anyhow::Result<bool> {
    let address = *args.get_one::<SocketAddr>("http").context("no address")?;
    let service = args.get_one::<String>("service").context("no service")?;
    let key_path = args.get_one::<PathBuf>("key").context("no key")?;
    let key = keys::read_key(key_path)?;
    let path = format!("/placement?service={service}");
    let response = client::call(address, "GET", &path, &key).await?;
    let value: serde_json::Value = serde_json::from_slice(&response.body)?;
    println!("{}", serde_json::to_string_pretty(&value)?);
    Ok(response.status.is_success())
}
