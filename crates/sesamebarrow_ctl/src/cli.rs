//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command};

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help(help)
}

fn admin(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("admin")
                .required(true)
                .value_name("ADDRESS")
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Admin address of the instance"),
        )
        .arg(file("secret", "File with the fleet's secret").long("secret"))
}

/// Returns the command line's description.
pub fn command() -> Command {
    Command::new("sesamebarrowctl")
        .about("Operators' tool of the sesamebarrow inference gateway")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(rules())
        .subcommand(key())
        .subcommand(place())
        .subcommand(
            admin("state", "Show the state of an instance").arg(
                Arg::new("json")
                    .long("json")
                    .action(ArgAction::SetTrue)
                    .help("Print the whole dump as JSON"),
            ),
        )
        .subcommand(admin("metrics", "Print an instance's metrics"))
        .subcommand(admin("drain", "Let an instance stop gracefully"))
        .subcommand(load())
        .subcommand(explain())
}

fn rules() -> Command {
    Command::new("rules")
        .about("Check, format and compare rule files")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a rule file")
                .arg(file("file", "Rule file")),
        )
        .subcommand(
            Command::new("fmt")
                .about("Print a rule file in its customary layout")
                .arg(file("file", "Rule file"))
                .arg(
                    Arg::new("write")
                        .long("write")
                        .action(ArgAction::SetTrue)
                        .help("Write the file in place"),
                ),
        )
        .subcommand(
            Command::new("diff")
                .about("Tell what differs between two rule files")
                .arg(file("old", "Old rule file"))
                .arg(file("new", "New rule file")),
        )
}

fn key() -> Command {
    Command::new("key")
        .about("Make keys and their digests")
        .subcommand_required(true)
        .subcommand(Command::new("new").about("Make a key and print it with its digest"))
        .subcommand(
            Command::new("digest")
                .about("Print the digest of the key in a file")
                .arg(file("file", "File with the key")),
        )
}

fn place() -> Command {
    Command::new("place")
        .about("Ask an instance which instances a caller should use")
        .arg(
            Arg::new("http")
                .required(true)
                .value_name("ADDRESS")
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Callers' address of any instance"),
        )
        .arg(Arg::new("service").required(true).help("Service"))
        .arg(file("key", "File with the caller's key").long("key"))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Print what logs say of one request, in order")
        .arg(
            Arg::new("id")
                .required(true)
                .help("The caller's attempt id"),
        )
        .arg(file("logs", "Logs of instances").num_args(1..))
}

fn load() -> Command {
    Command::new("load")
        .about("Send load as described in a TOML file and report")
        .arg(file("plan", "Plan of the load"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}
