//! The datagrams that instances send to one other: those with which they take, lend and return tokens of
//! customers' rates, and those of [`crate::quarantine`] and [`crate::limit`].

use prost::Message as _;

use crate::dispatch::message::{Answer, Notices, PlaceRequest};
use crate::limit::message::{Observed, PermitAnswer, PermitRequest, States};
use crate::quarantine::message::{Blames, Orders, TrialGrant, TrialRequest, TrialReturn};

/// A datagram, one of several kinds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Content; `None` for kinds that this version does not know.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub body: Option<Body>,
}

/// Content of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for tokens.
    #[prost(message, tag = "1")]
    Request(Request),
    /// Answers a request.
    #[prost(message, tag = "2")]
    Grant(Grant),
    /// Returns tokens.
    #[prost(message, tag = "3")]
    Return(Return),
    /// Blame for the judges of prompt parts.
    #[prost(message, tag = "4")]
    Blames(Blames),
    /// Orders to quarantine prompt parts.
    #[prost(message, tag = "5")]
    Orders(Orders),
    /// Asks for a trial of a quarantined part.
    #[prost(message, tag = "6")]
    TrialRequest(TrialRequest),
    /// Answers a request for a trial.
    #[prost(message, tag = "7")]
    TrialGrant(TrialGrant),
    /// Asks for a permit to send a request to a limited upstream.
    #[prost(message, tag = "8")]
    PermitRequest(PermitRequest),
    /// Answers a request for a permit.
    #[prost(message, tag = "9")]
    PermitAnswer(PermitAnswer),
    /// What an answer said about a limit.
    #[prost(message, tag = "10")]
    LimitObserved(Observed),
    /// What the sender knows about limits.
    #[prost(message, tag = "11")]
    LimitStates(States),
    /// Asks a dispatcher for an upstream.
    #[prost(message, tag = "12")]
    PlaceRequest(PlaceRequest),
    /// Answers a request.
    #[prost(message, tag = "13")]
    Answer(Answer),
    /// Reports what happened to dispatched requests.
    #[prost(message, tag = "14")]
    Notices(Notices),
    /// Gives back a trial of a quarantined suspect.
    #[prost(message, tag = "15")]
    TrialReturn(TrialReturn),
}

/// Asks the holder of a bucket for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Identifies the request among those of its sender's process.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Hash of the customer's name.
    #[prost(fixed64, tag = "2")]
    pub customer: u64,
    /// Number of tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether a part of the tokens is useful too, because they are for another bucket and
    /// not for one request.
    #[prost(bool, tag = "4")]
    pub is_loan: bool,
}

/// Answers a request for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether all its tokens were granted; for a loan, whether any were.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// If it was refused, milliseconds after which the bucket will hold enough tokens.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
    /// The answer to a request for a loan.
    #[prost(message, optional, tag = "4")]
    pub lent: Option<Lent>,
}

/// Tokens that were lent.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Lent {
    /// Hash of the customer's name.
    #[prost(fixed64, tag = "1")]
    pub customer: u64,
    /// Number of tokens that was asked for.
    #[prost(uint64, tag = "2")]
    pub requested: u64,
    /// Number of tokens that was taken from the lender's bucket.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Returns tokens of a request that did not run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Return {
    /// Id of the request for these tokens.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Hash of the customer's name.
    #[prost(fixed64, tag = "2")]
    pub customer: u64,
    /// Number of tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Encodes a datagram.
pub fn encode(body: Body) -> Vec<u8> {
    Datagram { body: Some(body) }.encode_to_vec()
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, prost::DecodeError> {
    Datagram::decode(bytes)
}

/// Returns the hash that stands for a customer's name in datagrams. It is longer than
/// [`crate::gossip::short_hash`], so that no two customers share a bucket.
pub fn customer_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let (head, _) = hash.as_bytes().split_at(size_of::<u64>());
    head.iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
