//! Splits a line into words with their columns, and the comment that names the requester.

/// A word and its column, counted in characters from 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word<'a> {
    pub(crate) text: &'a str,
    pub(crate) column: usize,
}

/// A line split into words and comment.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    pub(crate) words: Vec<Word<'a>>,
    /// The text after `#`, trimmed; `None` if the line has no comment.
    pub(crate) requester: Option<&'a str>,
    /// The column just after the last character.
    pub(crate) end_column: usize,
}

/// Splits `text`, which must not contain a line break.
pub(crate) fn split_line(text: &str) -> Line<'_> {
    let (body, comment) = match text.split_once('#') {
        Some((body, comment)) => (body, Some(comment.trim())),
        None => (text, None),
    };
    let mut words = Vec::new();
    for word in body.split_ascii_whitespace() {
        // CAST: `word` is a slice of `body`, so the difference is its byte offset.
        let offset = word.as_ptr() as usize - body.as_ptr() as usize;
        let column = body[..offset].chars().count() + 1;
        words.push(Word { text: word, column });
    }
    Line {
        words,
        requester: comment,
        end_column: text.chars().count() + 1,
    }
}
