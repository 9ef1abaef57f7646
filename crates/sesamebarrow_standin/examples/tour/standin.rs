//! Runs one stand-in in a separate process.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use sesamebarrow_standin::upstream::Kind;
use sesamebarrow_standin::{Platform, Upstream};
use tokio::net::TcpListener;

/// Returns the `standin` command. Its subcommand is the role; the arguments are the listen
/// address and, for upstreams, a name.
pub fn command() -> Command {
    let address = Arg::new("address").required(true);
    let name = Arg::new("name").required(true);
    let token_interval = Arg::new("pace")
        .default_value("20")
        .value_parser(clap::value_parser!(u64));
    Command::new("standin")
        .about("Runs one stand-in")
        .subcommand_required(true)
        .subcommand(Command::new("platform").arg(address.clone()))
        .subcommand(
            Command::new("model")
                .arg(address.clone())
                .arg(name.clone())
                .arg(token_interval),
        )
        .subcommand(Command::new("plain").arg(address).arg(name))
}

/// Serves until the process is killed.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let Some((role, args)) = matches.subcommand() else {
        return Ok(());
    };
    let text = |key: &str| args.get_one::<String>(key).cloned().unwrap_or_default();
    let listener = TcpListener::bind(text("address")).await?;
    match role {
        "platform" => Platform::default().serve(listener).await,
        "model" => {
            let millis = args.get_one::<u64>("pace").copied().unwrap_or_default();
            let token_interval = Duration::from_millis(millis);
            let upstream = Upstream::new(text("name"), Kind::Model { token_interval }, false);
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
