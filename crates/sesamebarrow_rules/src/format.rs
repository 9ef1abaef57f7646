//! Formats a rule file.

use std::fmt::Write;

use crate::lexer;

/// The column, counted from 0, at which comments begin.
const COMMENT_COLUMN: usize = 60;

/// Returns `text` with single spaces between words and aligned comments.
///
/// Keeps the order of lines, empty lines and lines with only a comment, and never
/// changes words. `text` should be valid according to [`crate::parse`].
pub fn format(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines() {
        format_line(&mut out, line);
        out.push('\n');
    }
    out
}

fn format_line(out: &mut String, line: &str) {
    let split = lexer::split_line(line);
    let words: Vec<&str> = split.words.iter().map(|w| w.text).collect();
    if words.is_empty() {
        out.push_str(line.trim());
        return;
    }
    let body = words.join(" ");
    out.push_str(&body);
    if let Some(requester) = split.requester {
        let width = COMMENT_COLUMN.saturating_sub(body.chars().count()).max(1);
        // Writing to a string never fails.
        let _ = write!(out, "{:width$}# {requester}", "");
    }
}
