//! Runs one stand-in in a process of its own.
//!
//! `standin platform ADDRESS`, `standin model ADDRESS NAME PACE_MS` or
//! `standin plain ADDRESS NAME`.

use std::time::Duration;

use clap::{Arg, Command};
use sesamebarrow_standin::upstream::Kind;
use sesamebarrow_standin::{Platform, Upstream};
use tokio::net::TcpListener;

fn command() -> Command {
    let address = Arg::new("address").required(true);
    let name = Arg::new("name").required(true);
    let pace = Arg::new("pace")
        .default_value("20")
        .value_parser(clap::value_parser!(u64));
    Command::new("standin")
        .subcommand_required(true)
        .subcommand(Command::new("platform").arg(address.clone()))
        .subcommand(
            Command::new("model")
                .arg(address.clone())
                .arg(name.clone())
                .arg(pace),
        )
        .subcommand(Command::new("plain").arg(address).arg(name))
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let Some((role, args)) = matches.subcommand() else {
        return Ok(());
    };
    let text = |key: &str| args.get_one::<String>(key).cloned().unwrap_or_default();
    let listener = TcpListener::bind(text("address")).await?;
    match role {
        "platform" => Platform::default().serve(listener).await,
        "model" => {
            let millis = args.get_one::<u64>("pace").copied().unwrap_or_default();
            let pace = Duration::from_millis(millis);
            let upstream = Upstream::new(text("name"), Kind::Model { pace }, false);
            upstream.serve(listener).await;
        }
        _ => {
            Upstream::new(text("name"), Kind::Plain, true)
                .serve(listener)
                .await;
        }
    }
    Ok(())
}
