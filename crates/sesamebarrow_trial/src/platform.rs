//! The platform of a world.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_wire::control::DocumentKind;

/// One published document.
#[derive(Clone, Debug, Default)]
pub struct Value {
    /// Its revision.
    pub revision: u64,
    /// Its text.
    pub text: String,
    /// When it was published.
    pub at: Duration,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// What it offers now.
    pub values: BTreeMap<DocumentKind, Value>,
    /// All that was ever published.
    pub history: Vec<(DocumentKind, Value)>,
    /// Calls so far.
    pub calls: u64,
    /// Whether it answers nobody.
    pub down: bool,
}

impl Platform {
    /// Publishes a document.
    pub fn publish(&mut self, kind: DocumentKind, revision: u64, text: &str, at: Duration) {
        let value = Value {
            revision,
            text: text.to_owned(),
            at,
        };
        self.history.push((kind, value.clone()));
        self.values.insert(kind, value);
    }

    /// Returns the newest document of a kind that was published at or before `at`.
    pub fn newest_at(&self, kind: DocumentKind, at: Duration) -> Option<&Value> {
        self.history
            .iter()
            .filter(|(k, v)| *k == kind && v.at <= at)
            .map(|(_, v)| v)
            .max_by_key(|v| v.revision)
    }
}
