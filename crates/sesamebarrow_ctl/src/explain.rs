//! Prints the lines of one request from the logs of several instances. If the request was refused since it, or a
//! part of its prompt, crashes upstreams, prints also these crashes and the orders that quarantined it; if it was
//! refused for limits that upstreams named, also the changes of these limits.

use std::path::PathBuf;

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
    let mut logs = Vec::new();
    for path in args.get_many::<PathBuf>("logs").unwrap_or_default() {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        logs.push((path, text));
    }
    let field = format!("request={id}");
    let is_of_request = |line: &str| line.split_whitespace().any(|word| word == field);
    let mut lines = matching_lines(&logs, is_of_request);
    let suspects: Vec<String> = lines
        .iter()
        .map(|line| field_value(&line.text, "suspect").to_owned())
        .filter(|suspect| !suspect.is_empty())
        .collect();
    if !suspects.is_empty() {
        let is_cause = |line: &str| !is_of_request(line) && is_about_suspects(line, &suspects);
        lines.extend(matching_lines(&logs, is_cause));
    }
    let limited = |line: &&Line| field_value(&line.text, "refused") == "limited";
    let services: Vec<String> = lines
        .iter()
        .filter(limited)
        .map(|line| field_value(&line.text, "service").to_owned())
        .collect();
    if !services.is_empty() {
        let is_cause = |line: &str| {
            let service = field_value(line, "service");
            !is_of_request(line)
                && line.contains("limit of an upstream changed")
                && services.iter().any(|s| s == service)
        };
        lines.extend(matching_lines(&logs, is_cause));
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

/// Returns whether a line reports a crash under a request with one of `suspects`, or the quarantine of one.
fn is_about_suspects(line: &str, suspects: &[String]) -> bool {
    let is_named = |id: &str| suspects.iter().any(|s| s == id);
    let changed = line.contains("quarantine changed");
    let crashed = field_value(line, "crashed") == "true";
    let mut blamed = field_value(line, "parts").split(',');
    (changed && is_named(field_value(line, "suspect")))
        || (crashed && (is_named(field_value(line, "fingerprint")) || blamed.any(is_named)))
}

fn matching_lines(logs: &[(&PathBuf, String)], matches: impl Fn(&str) -> bool) -> Vec<Line> {
    let mut lines = Vec::new();
    for (path, text) in logs {
        let file = path.file_name().unwrap_or_default().to_string_lossy();
        for line in text.lines().filter(|line| matches(line)) {
            lines.push(Line {
                timestamp: field_value(line, "timestamp").to_owned(),
                file: file.clone().into_owned(),
                text: line.to_owned(),
            });
        }
    }
    lines
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
