//! Streams of forwarded requests, many on one link.
//!
//! The dialling end numbers the streams; a number is never used again on the link.
//! Each attempt has a stream of its own, so that frames of a dropped attempt name a
//! stream that is gone and are discarded.

use prost::Message;

/// Bytes that a sender may have under way on a stream before it gets credit.
pub const INITIAL_CREDIT_BYTES: u32 = 256 * 1024;

/// A header field that may pass between instances.
#[derive(Clone, PartialEq, Message)]
pub struct Field {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Opens a stream: the head of a forwarded request. It holds no key.
#[derive(Clone, PartialEq, Message)]
pub struct Open {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The request's id, for logs.
    #[prost(string, tag = "2")]
    pub request_id: String,
    /// The customer, empty on a route open to all.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// The service.
    #[prost(string, tag = "4")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path and query below the service.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Fields for the upstream.
    #[prost(message, repeated, tag = "7")]
    pub fields: Vec<Field>,
    /// The ticket of a request that is not idempotent; empty for none.
    #[prost(string, tag = "8")]
    pub ticket: String,
    /// Milliseconds left until the caller's deadline.
    #[prost(uint32, tag = "9")]
    pub deadline_ms: u32,
    /// Tokens that the sender has reserved for the request.
    #[prost(uint64, tag = "11")]
    pub reserved_tokens: u64,
    /// Instances that the request has passed: always 1, since a receiver never forwards.
    #[prost(uint32, tag = "12")]
    pub hops: u32,
}

/// The head of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Fields for the caller.
    #[prost(message, repeated, tag = "3")]
    pub fields: Vec<Field>,
}

/// Bytes of a request's or an answer's body.
#[derive(Clone, PartialEq, Message)]
pub struct Data {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}

/// The body is whole.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// The stream breaks off; what came of the body is not whole.
#[derive(Clone, PartialEq, Message)]
pub struct Reset {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// Lets the other end send `bytes` more on the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Further bytes.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// The receiver ends the stream with a refusal in place of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Name of the reason.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds after which to come back; 0 where it would not help.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
    /// Instances that may take the request.
    #[prost(string, repeated, tag = "4")]
    pub instances: Vec<String>,
    /// Name of what it says of the request's having run.
    #[prost(string, tag = "5")]
    pub result: String,
    /// A fresh ticket; empty for none.
    #[prost(string, tag = "6")]
    pub ticket: String,
}
