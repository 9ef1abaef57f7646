//! The platform of a world.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_wire::control::DocumentKind;

/// One published document.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    /// Its revision.
    pub revision: u64,
    /// Its text.
    pub text: String,
    /// When it was published.
    pub published_at: Duration,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// What it offers now.
    pub current: BTreeMap<DocumentKind, Publication>,
    /// All that was ever published.
    pub history: Vec<(DocumentKind, Publication)>,
    /// Calls so far.
    pub calls: u64,
    /// Whether it answers nobody.
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

    /// Returns the newest document of a kind that was published at or before `published_at`.
    pub fn newest_at(&self, kind: DocumentKind, published_at: Duration) -> Option<&Publication> {
        self.history
            .iter()
            .filter(|(k, v)| *k == kind && v.published_at <= published_at)
            .map(|(_, v)| v)
            .max_by_key(|v| v.revision)
    }
}
