//! Commands that check, format and compare rule files.

use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use sesamebarrow_rules::diff::Change;

/// Runs `rules`.
pub fn run(args: &ArgMatches) -> anyhow::Result<bool> {
    match args.subcommand() {
        Some(("check", args)) => check(args),
        Some(("fmt", args)) => format(args),
        Some(("diff", args)) => diff(args),
        _ => Ok(true),
    }
}

fn read(args: &ArgMatches, name: &str) -> anyhow::Result<(PathBuf, String)> {
    let path = args.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    Ok((path, text))
}

fn check(args: &ArgMatches) -> anyhow::Result<bool> {
    let (path, text) = read(args, "file")?;
    match sesamebarrow_rules::parse(&text) {
        Ok(rules) => {
            println!(
                "{}: {} customers, {} services, {} instance slots in {} failure domains",
                path.display(),
                rules.customers.len(),
                rules.services.len(),
                rules.total_slots(),
                rules.domains.len()
            );
            Ok(true)
        }
        Err(errors) => {
            for error in errors {
                eprintln!("{}:{error}", path.display());
            }
            Ok(false)
        }
    }
}

fn format(args: &ArgMatches) -> anyhow::Result<bool> {
    let (path, text) = read(args, "file")?;
    let formatted = sesamebarrow_rules::format(&text);
    if args.get_flag("write") {
        std::fs::write(&path, formatted)?;
    } else {
        print!("{formatted}");
    }
    Ok(true)
}

fn diff(args: &ArgMatches) -> anyhow::Result<bool> {
    let (_, old) = read(args, "old")?;
    let (_, new) = read(args, "new")?;
    for change in sesamebarrow_rules::diff(&old, &new) {
        match change {
            Change::Added(rule) => println!("+ {rule}"),
            Change::Removed(rule) => println!("- {rule}"),
        }
    }
    Ok(true)
}
