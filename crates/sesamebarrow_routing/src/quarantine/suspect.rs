//! The names under which a request can be blamed for the crash of an upstream.
//!
//! A new kind of name is an entry of [`Kind`] and a line in [`Suspects::of_request`]. All else, from blame to
//! trials, is the same for every kind.

use crate::cache::PromptPart;
use crate::rendezvous;

/// Maximum number of parts of one prompt that are distinguished.
const MAX_PARTS: usize = 32;

/// Key of the id that replaces the parts of longer prompts.
const LONG_PROMPTS: u64 = 1;

/// Kind of a [`Suspect`]. Unknown kinds, from instances of later versions, are ignored.
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
    /// All prompts of one customer that have too many parts to be distinguished.
    LongPrompt = 1,
    /// A request that comes again, by its fingerprint ([`crate::fingerprint`]).
    Request = 2,
}

impl Kind {
    /// Returns whether several different requests can have the same suspect.
    pub fn is_shared(self) -> bool {
        match self {
            Self::Part | Self::LongPrompt => true,
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
    /// The suspects.
    pub all: Vec<Suspect>,
}

impl Suspects {
    /// Returns the suspects of a customer's request with a fingerprint and a prompt.
    pub fn of_request(customer: u64, fingerprint: u64, prompt: &[PromptPart]) -> Self {
        let ids = prompt.iter().map(|part| part.id);
        let mut all = vec![Suspect {
            kind: Kind::Request,
            id: fingerprint,
        }];
        all.extend(of_prompt(customer, prompt));
        Self {
            customer,
            fingerprint,
            request: ids.fold(fingerprint, rendezvous::weight_of_hashes),
            all,
        }
    }
}

/// Returns the shared parts of a prompt, which are all but the last. Prompts of a customer with more than
/// [`MAX_PARTS`] share one suspect, so that made-up parts neither fill the tables nor hide a harmful one.
fn of_prompt(customer: u64, prompt: &[PromptPart]) -> impl Iterator<Item = Suspect> {
    let shared = &prompt[..prompt.len().saturating_sub(1)];
    let (few, many) = match shared.len() <= MAX_PARTS {
        true => (shared, None),
        false => {
            let id = rendezvous::weight_of_hashes(customer, LONG_PROMPTS);
            let kind = Kind::LongPrompt;
            (&[][..], Some(Suspect { kind, id }))
        }
    };
    let part = |part: &PromptPart| Suspect {
        kind: Kind::Part,
        id: part.id,
    };
    few.iter().map(part).chain(many)
}
