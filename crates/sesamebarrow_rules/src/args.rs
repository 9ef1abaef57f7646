//! Reads the arguments of one line: positional words in their order, and `key=value`
//! settings in any order.

use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::lexer::{Line, Word};

/// An error in a line whose number is not known yet.
pub(crate) struct LineError {
    pub(crate) column: usize,
    pub(crate) message: String,
}

pub(crate) fn error_at(column: usize, message: impl Into<String>) -> LineError {
    LineError {
        column,
        message: message.into(),
    }
}

pub(crate) fn undeclared(word: Word<'_>, what: &str) -> LineError {
    let message = format!("unknown {what} `{}`: expected a declared {what}", word.text);
    error_at(word.column, message)
}

pub(crate) fn duplicate(name: &Name, what: &str) -> LineError {
    let message = format!("{what} `{}` is declared twice", name.value);
    error_at(name.column, message)
}

/// A name and its column.
pub(crate) struct Name {
    pub(crate) value: SmolStr,
    pub(crate) column: usize,
}

impl Name {
    pub(crate) fn undeclared(&self, what: &str) -> LineError {
        let word = Word {
            text: &self.value,
            column: self.column,
        };
        undeclared(word, what)
    }
}

/// The words after a line's keyword that have not been read yet.
pub(crate) struct Args<'a> {
    positional: VecDeque<Word<'a>>,
    settings: Vec<(&'a str, Word<'a>)>,
    /// The column just after the last word, at which a missing argument is reported.
    end_column: usize,
}

impl<'a> Args<'a> {
    pub(crate) fn new(line: &Line<'a>) -> Self {
        let mut positional = VecDeque::new();
        let mut settings = Vec::new();
        for word in &line.words[1..] {
            // A path may contain `=`, but a setting never begins with `/`.
            match word.text.split_once('=') {
                Some((key, value)) if !word.text.starts_with('/') => {
                    let column = word.column + key.chars().count() + 1;
                    settings.push((
                        key,
                        Word {
                            text: value,
                            column,
                        },
                    ));
                }
                _ => positional.push_back(*word),
            }
        }
        let end_column = line
            .words
            .last()
            .map_or(line.end_column, |w| w.column + w.text.chars().count());
        Self {
            positional,
            settings,
            end_column,
        }
    }

    pub(crate) fn next_word(&mut self, expected: &str) -> Result<Word<'a>, LineError> {
        self.positional
            .pop_front()
            .ok_or_else(|| error_at(self.end_column, format!("expected {expected}")))
    }

    pub(crate) fn next_name(&mut self, expected: &str) -> Result<Name, LineError> {
        let word = self.next_word(expected)?;
        let is_valid = word
            .text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !is_valid {
            let message = format!(
                "`{}` is not a valid name: expected {expected} of a-z, 0-9 and `-`",
                word.text
            );
            return Err(error_at(word.column, message));
        }
        Ok(Name {
            value: SmolStr::new(word.text),
            column: word.column,
        })
    }

    pub(crate) fn optional_setting(&mut self, key: &str) -> Option<Word<'a>> {
        let index = self.settings.iter().position(|(k, _)| *k == key)?;
        Some(self.settings.remove(index).1)
    }

    pub(crate) fn setting(&mut self, key: &str) -> Result<Word<'a>, LineError> {
        self.optional_setting(key)
            .ok_or_else(|| error_at(self.end_column, format!("expected {key}=…")))
    }

    pub(crate) fn optional_number(
        &mut self,
        key: &str,
        min: u64,
        max: u64,
    ) -> Result<Option<u64>, LineError> {
        let Some(word) = self.optional_setting(key) else {
            return Ok(None);
        };
        match word.text.parse::<u64>() {
            Ok(value) if (min..=max).contains(&value) => Ok(Some(value)),
            _ => {
                let message = format!("expected {key}= and a whole number from {min} to {max}");
                Err(error_at(word.column, message))
            }
        }
    }

    pub(crate) fn number(&mut self, key: &str, min: u64, max: u64) -> Result<u64, LineError> {
        let end_column = self.end_column;
        self.optional_number(key, min, max)?
            .ok_or_else(|| error_at(end_column, format!("expected {key}=…")))
    }

    /// Fails if an argument was not read.
    pub(crate) fn finish(self) -> Result<(), LineError> {
        if let Some(word) = self.positional.front() {
            let message = format!("unexpected word `{}`", word.text);
            return Err(error_at(word.column, message));
        }
        if let Some((key, word)) = self.settings.first() {
            let message = format!("unknown or repeated setting `{key}=`");
            let column = word.column - key.chars().count() - 1;
            return Err(error_at(column, message));
        }
        Ok(())
    }
}
