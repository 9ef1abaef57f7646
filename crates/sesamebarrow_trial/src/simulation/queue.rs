//! The queue of timed events.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_policy::Event;
use sesamebarrow_wire::control::DocumentKind;

use super::link;
use super::request;

/// A read of a document from the platform that has not completed yet.
#[derive(Clone, Debug)]
pub(super) struct PlatformRead {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) kind: DocumentKind,
    pub(super) read_id: u64,
    pub(super) known_revision: u64,
}

/// A timed event.
#[derive(Clone, Debug)]
pub(super) enum Item {
    Tick {
        node: usize,
        incarnation: u64,
    },
    BoardEvent {
        node: usize,
        incarnation: u64,
        event: Box<Event>,
    },
    Arrival {
        submission: usize,
    },
    Link(link::Step),
    Request(Box<request::Step>),
    PlatformRead(PlatformRead),
}

impl Item {
    /// Returns the index of the node that handles the item and whose pauses delay it; `None` if
    /// pauses do not delay it or are handled elsewhere.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::Tick { node, .. } | Self::BoardEvent { node, .. } => Some(*node),
            Self::Request(step) => step.node(),
            Self::Arrival { .. } | Self::Link(_) | Self::PlatformRead(_) => None,
        }
    }
}

/// Items ordered by time; items of the same time are in the order of insertion.
#[derive(Default)]
pub(super) struct Queue {
    items: BTreeMap<(Duration, u64), Item>,
    last_sequence_number: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at: Duration, item: Item) {
        self.last_sequence_number += 1;
        self.items.insert((at, self.last_sequence_number), item);
    }

    pub(super) fn pop_until(&mut self, until: Duration) -> Option<(Duration, Item)> {
        let first = self.items.first_entry()?;
        let at = first.key().0;
        (at <= until).then(|| (at, first.remove()))
    }

    /// Completes the long polls that wait for a document newer than theirs.
    pub(super) fn complete_long_polls(&mut self, now: Duration, kind: DocumentKind, revision: u64) {
        let waiting: Vec<(Duration, u64)> = self
            .items
            .iter()
            .filter(
                |(_, item)| matches!(item, Item::PlatformRead(r) if r.kind == kind && r.known_revision < revision),
            )
            .map(|(key, _)| *key)
            .collect();
        for key in waiting {
            if let Some(item) = self.items.remove(&key) {
                self.push(now, item);
            }
        }
    }
}
