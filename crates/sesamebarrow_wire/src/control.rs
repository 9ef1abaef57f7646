//! Control messages between neighbouring instances.

use prost::Message;

/// Tells that the sender lives, and what it knows.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Rises by one with each heartbeat of the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Revision of the rules in force at the sender; 0 for none.
    #[prost(uint64, tag = "2")]
    pub rules_revision: u64,
    /// Revision of the list in force at the sender; 0 for none.
    #[prost(uint64, tag = "3")]
    pub list_revision: u64,
    /// Milliseconds since the platform was last known to confirm the rules.
    #[prost(uint32, tag = "4")]
    pub rules_age_ms: u32,
    /// Milliseconds since the platform was last known to confirm the list.
    #[prost(uint32, tag = "5")]
    pub list_age_ms: u32,
    /// Requests in flight at the sender.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Whether the sender takes new work.
    #[prost(bool, tag = "7")]
    pub ready: bool,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// Loads that the sender read itself from upstreams of its domain.
    #[prost(message, repeated, tag = "9")]
    pub loads: Vec<UpstreamLoad>,
    /// Newer revisions that were refused somewhere, and why.
    #[prost(message, repeated, tag = "10")]
    pub refused: Vec<RefusedDocument>,
}

/// A published revision that has a fault.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedDocument {
    /// Which document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Line, column, what was expected and who asked, for the first faults.
    #[prost(string, tag = "3")]
    pub fault: String,
}

/// An upstream's own report of its load.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLoad {
    /// The upstream's name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait.
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

/// Asks a neighbour for a document newer than `held_revision`.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentRequest {
    /// Which document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// The revision that the asker holds; 0 for none.
    #[prost(uint64, tag = "2")]
    pub held_revision: u64,
}

/// A document as a change from `base_revision`, or whole where `base_revision` is 0.
#[derive(Clone, PartialEq, Message)]
pub struct Document {
    /// Which document.
    #[prost(enumeration = "DocumentKind", tag = "1")]
    pub kind: i32,
    /// The revision that the change leads to.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The revision that the change starts from; 0 for an empty document.
    #[prost(uint64, tag = "3")]
    pub base_revision: u64,
    /// Lines that the new revision no longer holds.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Lines that the new revision holds besides.
    #[prost(string, repeated, tag = "5")]
    pub added: Vec<String>,
    /// Digest of the whole new revision: 32 bytes.
    #[prost(bytes = "bytes", tag = "6")]
    pub digest: bytes::Bytes,
}

/// Asks a neighbour to lend tokens of a customer's rate.
#[derive(Clone, PartialEq, Message)]
pub struct LoanRequest {
    /// Rises with each ask of the asker's incarnation; names the loan.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The customer's name.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Tokens wanted.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Answers a [`LoanRequest`]. The lender has taken the tokens off its own share before.
#[derive(Clone, PartialEq, Message)]
pub struct Loan {
    /// The ask's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Tokens lent; 0 where none can be spared.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Tells a lender what became of a loan. All amounts count from the loan's start, so
/// that a repeated or late report changes nothing.
#[derive(Clone, PartialEq, Message)]
pub struct LoanReport {
    /// The loan's id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Millionths of a token spent so far.
    #[prost(uint64, tag = "2")]
    pub spent_micro_tokens: u64,
    /// Whether the borrower gives all the rest back.
    #[prost(bool, tag = "3")]
    pub closed: bool,
}
