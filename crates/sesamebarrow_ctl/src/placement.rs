//! Asks for a placement.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;

use crate::{client, keys};

/// Runs `place`.
pub async fn run(args: &ArgMatches) -> anyhow::Result<bool> {
    let address = *args.get_one::<SocketAddr>("http").context("no address")?;
    let service = args.get_one::<String>("service").context("no service")?;
    let path = args.get_one::<PathBuf>("key").context("no key")?;
    let key = keys::read_key(path)?;
    let question = format!("/placement?service={service}");
    let answer = client::call(address, "GET", &question, &key).await?;
    let value: serde_json::Value = serde_json::from_slice(&answer.body)?;
    println!("{}", serde_json::to_string_pretty(&value)?);
    Ok(answer.status.is_success())
}
