//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command};

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help(help)
}

fn admin_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("admin")
                .required(true)
                .value_name("ADDRESS")
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Admin address of the instance"),
        )
        .arg(file_arg("secret", "File with the fleet's secret").long("secret"))
}

/// Returns the definition of all commands and their arguments.
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
            admin_command("state", "Show the state of an instance").arg(
                Arg::new("json")
                    .long("json")
                    .action(ArgAction::SetTrue)
                    .help("Print the whole state as JSON"),
            ),
        )
        .subcommand(admin_command("metrics", "Print an instance's metrics"))
        .subcommand(admin_command("drain", "Shut down an instance gracefully"))
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
                .arg(file_arg("file", "Rule file")),
        )
        .subcommand(
            Command::new("fmt")
                .about("Print a rule file in the standard format")
                .arg(file_arg("file", "Rule file"))
                .arg(
                    Arg::new("write")
                        .long("write")
                        .action(ArgAction::SetTrue)
                        .help("Overwrite the file instead of printing it"),
                ),
        )
        .subcommand(
            Command::new("diff")
                .about("Print the differences between two rule files")
                .arg(file_arg("old", "Old rule file"))
                .arg(file_arg("new", "New rule file")),
        )
}

fn key() -> Command {
    Command::new("key")
        .about("Generate keys and compute their digests")
        .subcommand_required(true)
        .subcommand(Command::new("new").about("Generate a key and print it with its digest"))
        .subcommand(
            Command::new("digest")
                .about("Print the digest of the key in a file")
                .arg(file_arg("file", "File with the key")),
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
                .help("Address at which any instance serves callers"),
        )
        .arg(
            Arg::new("service")
                .required(true)
                .help("Name of the service"),
        )
        .arg(file_arg("key", "File with the caller's key").long("key"))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Print the log lines of one request in order of time")
        .arg(
            Arg::new("id")
                .required(true)
                .help("Id of the request: `x-request-id` of the response, or the attempt id that the caller sent"),
        )
        .arg(file_arg("logs", "Log files of instances").num_args(1..))
}

fn load() -> Command {
    Command::new("load")
        .about("Send the load described in a TOML file and report the results")
        .arg(file_arg("plan", "Load plan in TOML"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}
