//! Compares two rule files rule by rule.

use std::collections::BTreeSet;

use crate::lexer;

/// A rule that is in only one of two files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The rule is only in the new file.
    Added(String),
    /// The rule is only in the old file.
    Removed(String),
}

/// Returns the changes from `old` to `new`, first the removed rules.
///
/// Ignores comments and the order of lines.
pub fn diff(old: &str, new: &str) -> Vec<Change> {
    let old = rules_of(old);
    let new = rules_of(new);
    let removed = old.difference(&new).cloned().map(Change::Removed);
    let added = new.difference(&old).cloned().map(Change::Added);
    removed.chain(added).collect()
}

fn rules_of(text: &str) -> BTreeSet<String> {
    let mut rules = BTreeSet::new();
    for line in text.lines() {
        let words: Vec<&str> = lexer::split_line(line)
            .words
            .iter()
            .map(|w| w.text)
            .collect();
        if !words.is_empty() {
            rules.insert(words.join(" "));
        }
    }
    rules
}
