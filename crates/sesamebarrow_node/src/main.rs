//! The `sesamebarrow` program. Without a subcommand it runs the entry instance of this crate;
//! with `routed` it runs the gateway of `sesamebarrow_gateway`, which has settings of its own.

use std::process::ExitCode;

use sesamebarrow_node::{Settings, cli, logs, run};

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let result = start(&matches);
    logs::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesamebarrow: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(matches: &clap::ArgMatches) -> anyhow::Result<()> {
    if let Some(matches) = matches.subcommand_matches(cli::ROUTED) {
        return start_routed(matches);
    }
    let path = cli::settings_path(matches);
    let settings = Settings::load(&path)?;
    if cli::only_check(matches) {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    logs::start(settings.log.level, logs::Output::Stderr)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()?;
    let result = runtime.block_on(run(settings));
    // What still blocks must not hold up the end of the process.
    runtime.shutdown_background();
    result
}

/// Serves traffic that is routed by host and path.
///
/// Uses a single thread because a small instance has less than one processor.
fn start_routed(matches: &clap::ArgMatches) -> anyhow::Result<()> {
    let path = cli::settings_path(matches);
    let settings = sesamebarrow_gateway::Settings::load(&path)?;
    if cli::only_check(matches) {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    logs::start(settings.log.level, logs::Output::Stdout)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(sesamebarrow_gateway::run(settings, &path));
    runtime.shutdown_background();
    result
}
