//! The words of one line behind its keyword: plain words, then settings in any order.

use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::lexer::{Line, Word};

/// A fault without its line.
pub(crate) struct Problem {
    pub(crate) column: usize,
    pub(crate) message: String,
}

pub(crate) fn problem(column: usize, message: impl Into<String>) -> Problem {
    Problem {
        column,
        message: message.into(),
    }
}

pub(crate) fn unknown(word: Word<'_>, what: &str) -> Problem {
    let message = format!(
        "unknown {what} `{}`: expected one that is declared",
        word.text
    );
    problem(word.column, message)
}

pub(crate) fn twice(name: &Name, what: &str) -> Problem {
    let message = format!("{what} `{}` is declared twice", name.value);
    problem(name.column, message)
}

/// A name and where it stood.
pub(crate) struct Name {
    pub(crate) value: SmolStr,
    pub(crate) column: usize,
}

impl Name {
    pub(crate) fn unknown(&self, what: &str) -> Problem {
        let word = Word {
            text: &self.value,
            column: self.column,
        };
        unknown(word, what)
    }
}

/// The words of a rule behind its keyword, taken in any order of settings.
pub(crate) struct Args<'a> {
    plain: VecDeque<Word<'a>>,
    settings: Vec<(&'a str, Word<'a>)>,
    end: usize,
}

impl<'a> Args<'a> {
    pub(crate) fn new(line: &Line<'a>) -> Self {
        let mut plain = VecDeque::new();
        let mut settings = Vec::new();
        for word in &line.words[1..] {
            // A path may hold `=`, a setting never begins with `/`.
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
                _ => plain.push_back(*word),
            }
        }
        let end = line
            .words
            .last()
            .map_or(line.end, |w| w.column + w.text.chars().count());
        Self {
            plain,
            settings,
            end,
        }
    }

    pub(crate) fn word(&mut self, expected: &str) -> Result<Word<'a>, Problem> {
        self.plain
            .pop_front()
            .ok_or_else(|| problem(self.end, format!("expected {expected}")))
    }

    pub(crate) fn name(&mut self, expected: &str) -> Result<Name, Problem> {
        let word = self.word(expected)?;
        let fits = word
            .text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !fits {
            let message = format!(
                "`{}` is no name: expected {expected} of a-z, 0-9 and `-`",
                word.text
            );
            return Err(problem(word.column, message));
        }
        Ok(Name {
            value: SmolStr::new(word.text),
            column: word.column,
        })
    }

    pub(crate) fn optional(&mut self, key: &str) -> Option<Word<'a>> {
        let index = self.settings.iter().position(|(k, _)| *k == key)?;
        Some(self.settings.remove(index).1)
    }

    pub(crate) fn setting(&mut self, key: &str) -> Result<Word<'a>, Problem> {
        self.optional(key)
            .ok_or_else(|| problem(self.end, format!("expected {key}=…")))
    }

    pub(crate) fn optional_number(
        &mut self,
        key: &str,
        min: u64,
        max: u64,
    ) -> Result<Option<u64>, Problem> {
        let Some(word) = self.optional(key) else {
            return Ok(None);
        };
        match word.text.parse::<u64>() {
            Ok(value) if (min..=max).contains(&value) => Ok(Some(value)),
            _ => {
                let message = format!("expected {key}= and a whole number from {min} to {max}");
                Err(problem(word.column, message))
            }
        }
    }

    pub(crate) fn number(&mut self, key: &str, min: u64, max: u64) -> Result<u64, Problem> {
        let end = self.end;
        self.optional_number(key, min, max)?
            .ok_or_else(|| problem(end, format!("expected {key}=…")))
    }

    pub(crate) fn finish(self) -> Result<(), Problem> {
        if let Some(word) = self.plain.front() {
            let message = format!("unexpected word `{}`", word.text);
            return Err(problem(word.column, message));
        }
        if let Some((key, word)) = self.settings.first() {
            let message = format!("unknown or repeated setting `{key}=`");
            let column = word.column - key.chars().count() - 1;
            return Err(problem(column, message));
        }
        Ok(())
    }
}
