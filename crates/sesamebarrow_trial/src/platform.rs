//! Simulated platform, which serves the configuration documents.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_wire::control::DocumentKind;

/// One revision of a document.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    /// Revision.
    pub revision: u64,
    /// Text.
    pub text: String,
    /// Time of publication.
    pub published_at: Duration,
}

/// A simulated platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Newest publication of each kind, which reads return.
    pub current: BTreeMap<DocumentKind, Publication>,
    /// All publications, oldest first.
    pub history: Vec<(DocumentKind, Publication)>,
    /// Number of calls so far.
    pub calls: u64,
    /// Whether the platform is down and answers no call.
    pub down: bool,
}

impl Platform {
    /// Publishes a document.
    pub fn publish(
        &mut self,
        kind: DocumentKind,
        revision: u64,
        text: &str,
        published_at: Duration,
    ) {
        let publication = Publication {
            revision,
            text: text.to_owned(),
            published_at,
        };
        self.history.push((kind, publication.clone()));
        self.current.insert(kind, publication);
    }

    /// Returns the highest revision of a document that was published at or before `at`.
    pub fn newest_at(&self, kind: DocumentKind, at: Duration) -> Option<&Publication> {
        self.history
            .iter()
            .filter(|(k, v)| *k == kind && v.published_at <= at)
            .map(|(_, v)| v)
            .max_by_key(|v| v.revision)
    }
}
