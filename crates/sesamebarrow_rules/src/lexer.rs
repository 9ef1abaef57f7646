//! Splits a line into words with their columns and the requester's comment.

/// A word and its column, counted in characters from 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word<'a> {
    pub(crate) text: &'a str,
    pub(crate) column: usize,
}

/// A line taken apart.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    pub(crate) words: Vec<Word<'a>>,
    /// The text behind `#`, trimmed; `None` where the line has no comment.
    pub(crate) requester: Option<&'a str>,
    /// The column just behind the last character.
    pub(crate) end: usize,
}

/// Splits `text`, which holds no line break.
pub(crate) fn split_line(text: &str) -> Line<'_> {
    let (body, comment) = match text.split_once('#') {
        Some((body, comment)) => (body, Some(comment.trim())),
        None => (text, None),
    };
    let mut words = Vec::new();
    for piece in body.split_ascii_whitespace() {
        // CAST: `piece` is a slice of `body`, so the difference is its byte offset.
        let offset = piece.as_ptr() as usize - body.as_ptr() as usize;
        let column = body[..offset].chars().count() + 1;
        words.push(Word {
            text: piece,
            column,
        });
    }
    Line {
        words,
        requester: comment,
        end: text.chars().count() + 1,
    }
}
