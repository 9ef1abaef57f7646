//! A published document as a set of lines, and the changes between its revisions.
//!
//! A new revision changes a few lines out of many thousands, so instances send each
//! other only the changed lines. The order of lines has no meaning, neither in the rule
//! file nor in the list.

use std::collections::BTreeSet;
use std::sync::Arc;

/// One revision of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The revision assigned by the platform; increases with each publication.
    pub revision: u64,
    lines: BTreeSet<Arc<str>>,
    /// BLAKE3 digest of all lines in sorted order, each followed by a line feed.
    ///
    /// Must match `lines`; both are set together.
    digest: [u8; 32],
}

/// The change from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Lines that are only in the old revision.
    pub removed: Vec<Arc<str>>,
    /// Lines that are only in the new revision.
    pub added: Vec<Arc<str>>,
}

/// The result of applying a change does not have the expected digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the document after the change does not have the expected digest")]
pub struct DigestMismatch;

impl Document {
    /// Builds a document from the lines of `text`, trimmed and without empty lines.
    pub fn new(revision: u64, text: &str) -> Self {
        let lines = text
            .lines()
            .map(str::trim)
            .filter(|l| !l.is_empty())
            .map(Arc::from)
            .collect();
        Self::from_lines(revision, lines)
    }

    fn from_lines(revision: u64, lines: BTreeSet<Arc<str>>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for line in &lines {
            hasher.update(line.as_bytes());
            hasher.update(b"\n");
        }
        let digest = *hasher.finalize().as_bytes();
        Self {
            revision,
            lines,
            digest,
        }
    }

    /// Returns the digest of all lines.
    pub fn digest(&self) -> &[u8; 32] {
        &self.digest
    }

    /// Returns the lines in sorted order as one text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            text.push_str(line);
            text.push('\n');
        }
        text
    }

    /// Returns the change from `old` to `self`.
    pub fn delta_from(&self, old: &Self) -> Delta {
        Delta {
            removed: old.lines.difference(&self.lines).cloned().collect(),
            added: self.lines.difference(&old.lines).cloned().collect(),
        }
    }

    /// Returns the whole document as the change from an empty one.
    pub fn delta_from_empty(&self) -> Delta {
        Delta {
            removed: Vec::new(),
            added: self.lines.iter().cloned().collect(),
        }
    }

    /// Applies `delta` to `base`, or to an empty document if there is none.
    ///
    /// Fails if the digest of the result is not `digest`.
    pub fn apply(
        base: Option<&Self>,
        revision: u64,
        delta: &Delta,
        digest: &[u8],
    ) -> Result<Self, DigestMismatch> {
        let mut lines = base.map(|b| b.lines.clone()).unwrap_or_default();
        for line in &delta.removed {
            lines.remove(line);
        }
        lines.extend(delta.added.iter().cloned());
        let next = Self::from_lines(revision, lines);
        if next.digest == digest {
            Ok(next)
        } else {
            Err(DigestMismatch)
        }
    }
}
