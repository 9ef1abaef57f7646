//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("sesamebarrow")
        .about("Entry instance of the sesamebarrow inference gateway")
        .version(clap::crate_version!())
        .subcommand_negates_reqs(true)
        .args(arguments())
        .subcommand(
            Command::new(ROUTED)
                .about("Serve traffic that is routed by host and path")
                .args(arguments()),
        )
}

/// Name of the subcommand that serves traffic routed by host and path.
pub const ROUTED: &str = "routed";

fn arguments() -> [Arg; 2] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(clap::value_parser!(PathBuf))
            .help("Settings file in TOML"),
        Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help("Check the settings and exit"),
    ]
}

/// Returns the path of the settings file.
pub fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default()
}

/// Returns whether the program must only check the settings.
pub fn only_check(matches: &ArgMatches) -> bool {
    matches.get_flag("check")
}
