//! Control messages between linked instances.

use prost::Message;
use sesamebarrow_routing::quarantine::message;

/// Reports that the sender is alive, its state and the revisions that it has.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Increases by one with each heartbeat of the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Revision of the rules that the sender applies; 0 for none.
    #[prost(uint64, tag = "2")]
    pub rules_revision: u64,
    /// Revision of the list that the sender applies; 0 for none.
    #[prost(uint64, tag = "3")]
    pub list_revision: u64,
    /// Milliseconds since the platform last confirmed the rules, as far as the sender knows.
    #[prost(uint32, tag = "4")]
    pub rules_age_ms: u32,
    /// Milliseconds since the platform last confirmed the list, as far as the sender knows.
    #[prost(uint32, tag = "5")]
    pub list_age_ms: u32,
    /// Requests in flight at the sender.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Whether the sender is ready for requests.
    #[prost(bool, tag = "7")]
    pub ready: bool,
    /// Whether the sender is shutting down gracefully.
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// Loads that upstreams of the sender's failure domain reported to the sender itself.
    #[prost(message, repeated, tag = "9")]
    pub loads: Vec<UpstreamLoad>,
    /// Revisions newer than the sender's that the sender, or an instance that reported to
    /// it, found invalid.
    #[prost(message, repeated, tag = "10")]
    pub refused_documents: Vec<RefusedDocument>,
    /// Blame for crashes of upstreams that is new to the sender.
    #[prost(message, repeated, tag = "11")]
    pub blames: Vec<message::BlameEntry>,
    /// The sender's orders, if they seem to differ from the receiver's.
    #[prost(message, repeated, tag = "12")]
    pub orders: Vec<message::OrderEntry>,
    /// Digest of the sender's orders; `None` from instances of earlier versions.
    #[prost(uint32, optional, tag = "13")]
    pub orders_digest: Option<u32>,
}

/// A published revision that an instance found invalid.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedDocument {
    /// The document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The first errors: line, column, what was expected and who asked for the rule.
    #[prost(string, tag = "3")]
    pub fault: String,
}

/// An upstream's own report of its load.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLoad {
    /// The upstream's name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests that it is running.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests in its queue.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
    /// Age of the report in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// The documents that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DocumentKind {
    /// The rule file.
    Rules = 0,
    /// The list of instances and upstreams.
    List = 1,
}

/// Requests a revision newer than `held_revision` from another instance.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentRequest {
    /// The document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// The revision that the sender has; 0 for none.
    #[prost(uint64, tag = "2")]
    pub held_revision: u64,
}

/// A revision, sent as the change from `base_revision`, or whole if `base_revision` is 0.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentUpdate {
    /// The document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// The revision that results from the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The revision that the change applies to; 0 for an empty document.
    #[prost(uint64, tag = "3")]
    pub base_revision: u64,
    /// Lines that are not in the new revision.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Lines that are new in it.
    #[prost(string, repeated, tag = "5")]
    pub added: Vec<String>,
    /// Digest of the whole new revision, 32 bytes.
    #[prost(bytes = "bytes", tag = "6")]
    pub digest: bytes::Bytes,
}

/// Requests a loan of tokens from another instance's share of a customer's rate.
#[derive(Clone, PartialEq, Message)]
pub struct LoanRequest {
    /// Identifies the loan; increases with each request of the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The customer's name.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Tokens requested.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Answers a [`LoanRequest`]. The lender deducts the tokens from its share before it sends
/// this message.
#[derive(Clone, PartialEq, Message)]
pub struct Loan {
    /// The request's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Tokens lent; 0 if the lender can spare none.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Reports to the lender how much of a loan was used. The amount counts from the start of
/// the loan, so a repeated or late report changes nothing.
#[derive(Clone, PartialEq, Message)]
pub struct LoanReport {
    /// The loan's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Millionths of a token spent so far.
    #[prost(uint64, tag = "2")]
    pub spent_micro_tokens: u64,
    /// Whether the borrower returns the rest.
    #[prost(bool, tag = "3")]
    pub closed: bool,
}
