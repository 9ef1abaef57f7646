//! Changes in what is known of the other instances, for logs and metrics.

use std::time::Duration;

use smol_str::SmolStr;

use crate::gossip::Record;

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

/// What showed that a member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// A datagram of its own.
    Datagram,
    /// Its record in the datagram of another instance.
    Record,
    /// The time since another instance heard from it.
    Age,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The member was not known.
    Joined,
    /// The member was silent for so long that it did not count as alive.
    Revived,
    /// The member's process is not the one that was known.
    Restarted,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the member.
    pub name: SmolStr,
    /// What changed.
    pub kind: Kind,
    /// What showed it.
    pub evidence: Evidence,
    /// Time since the member was last known to run, before the change; zero for an unknown one.
    pub silence: Duration,
    /// The member's run after the change.
    pub incarnation: u64,
}

impl Change {
    /// Returns a change to the run of `record`, after `silence`.
    pub fn new(record: &Record, kind: Kind, evidence: Evidence, silence: Duration) -> Self {
        Self {
            name: SmolStr::new(&record.name),
            kind,
            evidence,
            silence,
            incarnation: record.incarnation,
        }
    }
}

/// The changes that were not taken yet.
#[derive(Debug, Default)]
pub struct Changes {
    /// At most [`MAX_CHANGES`]; later ones are dropped.
    list: Vec<Change>,
}

impl Changes {
    /// Adds a change.
    pub fn push(&mut self, change: Change) {
        if self.list.len() < MAX_CHANGES {
            self.list.push(change);
        }
    }

    /// Returns and clears the changes.
    pub fn take(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.list)
    }
}
