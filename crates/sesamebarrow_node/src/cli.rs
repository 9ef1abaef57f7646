//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};

/// Returns the command line's description.
pub fn command() -> Command {
    Command::new("sesamebarrow")
        .about("Entry instance of the sesamebarrow inference gateway")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings file in TOML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Returns the path of the settings file.
pub fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default()
}

/// Tells whether the settings are only to be checked.
pub fn only_check(matches: &ArgMatches) -> bool {
    matches.get_flag("check")
}
