//! The names under which a request can be blamed for the crash of an upstream.
//!
//! A new kind of name is an entry of [`Kind`] and a line in [`Suspects::iter`]. All else, from blame to
//! trials, is the same for every kind.

use std::sync::Arc;

use crate::cache::PromptPart;
use crate::rendezvous;

/// Kind of a [`Suspect`]. Unknown kinds, from instances of other versions, are ignored. Number 1 stood for all long
/// prompts of a customer in an earlier version.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    prost::Enumeration,
    strum::Display,
    strum::IntoStaticStr,
    strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Kind {
    /// A part of prompts, by its id.
    Part = 0,
    /// A request that comes again, by its fingerprint ([`crate::fingerprint`]).
    Request = 2,
}

impl Kind {
    /// Returns whether several different requests can have the same suspect.
    pub fn is_shared(self) -> bool {
        match self {
            Self::Part => true,
            Self::Request => false,
        }
    }
}

/// What requests that crash upstreams may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Suspect {
    /// What the id stands for.
    pub kind: Kind,
    /// Id among those of its kind.
    pub id: u64,
}

impl Suspect {
    /// Returns the number that stands for the suspect where judges are ranked and in digests of orders.
    pub fn key(self) -> u64 {
        // CAST: a small number. It is 0 for parts, which all versions must rank in the same way.
        self.id ^ self.kind as u64
    }
}

/// All suspects of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    /// Hash of the customer's name.
    pub customer: u64,
    /// The fingerprint.
    pub fingerprint: u64,
    /// Hash of the fingerprint and the prompt. It tells apart requests that share a suspect.
    pub request: u64,
    /// Ids of the parts of the prompt, sorted and without duplicates, but for the last one.
    parts: Arc<[u64]>,
}

impl Suspects {
    /// Returns the suspects of a customer's request with a fingerprint and a prompt.
    pub fn of_request(customer: u64, fingerprint: u64, prompt: &[PromptPart]) -> Self {
        let ids = prompt.iter().map(|part| part.id);
        let shared = &prompt[..prompt.len().saturating_sub(1)];
        let mut parts: Vec<u64> = shared.iter().map(|part| part.id).collect();
        parts.sort_unstable();
        parts.dedup();
        Self {
            customer,
            fingerprint,
            request: ids.fold(fingerprint, rendezvous::weight_of_hashes),
            parts: parts.into(),
        }
    }

    /// Returns all suspects, each once.
    pub fn iter(&self) -> impl Iterator<Item = Suspect> {
        let request = Suspect {
            kind: Kind::Request,
            id: self.fingerprint,
        };
        let part = |id: &u64| Suspect {
            kind: Kind::Part,
            id: *id,
        };
        std::iter::once(request).chain(self.parts.iter().map(part))
    }

    /// Returns whether `suspect` is one of them.
    pub fn contains(&self, suspect: Suspect) -> bool {
        match suspect.kind {
            Kind::Request => suspect.id == self.fingerprint,
            Kind::Part => self.parts.binary_search(&suspect.id).is_ok(),
        }
    }
}
