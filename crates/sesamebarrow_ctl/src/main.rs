//! The operators' tool: checks rule files, queries and controls instances, reads logs and
//! sends load.

mod admin;
mod cli;
mod client;
mod explain;
mod keys;
mod load;
mod placement;
mod rules;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("sesamebarrowctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command. Returns `false` if it failed and has printed the reason.
fn run(matches: &clap::ArgMatches) -> anyhow::Result<bool> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(true);
    };
    match name {
        "rules" => rules::run(args),
        "key" => keys::run(args),
        "explain" => explain::run(args),
        _ => tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?
            .block_on(run_async(name, args)),
    }
}

async fn run_async(name: &str, args: &clap::ArgMatches) -> anyhow::Result<bool> {
    match name {
        "place" => placement::run(args).await,
        "load" => load::run(args).await,
        other => admin::run(other, args).await,
    }
}
