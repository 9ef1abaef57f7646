//! Prints the lines of one request from the logs of several instances.

use std::path::{Path, PathBuf};

use anyhow::Context;

/// A log line of the request.
struct Line {
    timestamp: String,
    file: String,
    text: String,
}

/// Runs `explain`. Returns `false` if no log has a line of the request.
pub fn run(args: &clap::ArgMatches) -> anyhow::Result<bool> {
    let id = args.get_one::<String>("id").cloned().unwrap_or_default();
    let mut lines = Vec::new();
    for path in args.get_many::<PathBuf>("logs").unwrap_or_default() {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        lines.extend(matching_lines(&text, path, &id));
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    for line in &lines {
        println!("{}  {}", line.file, line.text);
    }
    if lines.is_empty() {
        eprintln!("no log line has request={id}; instances drop log lines beyond a rate limit");
    }
    Ok(!lines.is_empty())
}

fn matching_lines<'a>(text: &'a str, path: &Path, id: &str) -> impl Iterator<Item = Line> + 'a {
    let file = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let field = format!("request={id}");
    let matching = text
        .lines()
        .filter(move |line| line.split_whitespace().any(|word| word == field));
    matching.map(move |line| Line {
        timestamp: field_value(line, "timestamp").to_owned(),
        file: file.clone(),
        text: line.to_owned(),
    })
}

/// Returns the value of the field `name`, or an empty text if there is none.
///
/// Does not handle values that contain spaces.
fn field_value<'a>(line: &'a str, name: &str) -> &'a str {
    let words = line.split_whitespace();
    let pairs = words.filter_map(|word| word.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map_or("", |(_, value)| value)
}
