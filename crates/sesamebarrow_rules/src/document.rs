//! A published document as a set of lines, and the change from one revision to another.
//!
//! Instances pass documents on as changes, since a change touches a few lines of many
//! thousands. The order of lines carries no meaning in either document.

use std::collections::BTreeSet;
use std::sync::Arc;

/// One revision of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The platform's revision; rises with each publication.
    pub revision: u64,
    lines: BTreeSet<Arc<str>>,
    /// Digest over all lines in their order.
    ///
    /// Always that of `lines`; both are set together.
    digest: [u8; 32],
}

/// The change from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Lines that only the old revision holds.
    pub removed: Vec<Arc<str>>,
    /// Lines that only the new revision holds.
    pub added: Vec<Arc<str>>,
}

/// A change does not lead to the revision that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the change does not lead to the digest that came with it")]
pub struct DigestMismatch;

impl Document {
    /// Takes `text` apart.
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

    /// Returns the digest over all lines.
    pub fn digest(&self) -> &[u8; 32] {
        &self.digest
    }

    /// Returns the lines as one text.
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

    /// Returns the whole document as a change from nothing.
    pub fn delta_from_empty(&self) -> Delta {
        Delta {
            removed: Vec::new(),
            added: self.lines.iter().cloned().collect(),
        }
    }

    /// Returns the revision that `delta` leads to from `base`.
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
