//! Streams of forwarded requests, many of them on one link.
//!
//! Either end opens streams: the dialler with odd numbers and the listener with even
//! ones. A number is never reused on the link. Each attempt has a stream of its own, so
//! late frames of an abandoned attempt belong to a stream that no longer exists and are
//! discarded.

use prost::Message;

/// Bytes that a sender may send on a stream before it receives a [`Credit`].
pub const INITIAL_CREDIT_BYTES: u32 = 256 * 1024;

/// A header field of a request or a response.
#[derive(Clone, PartialEq, Message)]
pub struct Field {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Opens a stream with the head of a forwarded request. The caller's key is not sent.
#[derive(Clone, PartialEq, Message)]
pub struct Open {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The request's id, for logs.
    #[prost(string, tag = "2")]
    pub request_id: String,
    /// The customer; empty if a caller without a key uses an open route.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// The service's name.
    #[prost(string, tag = "4")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path below the service, and query.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Header fields for the upstream.
    #[prost(message, repeated, tag = "7")]
    pub fields: Vec<Field>,
    /// The ticket of a non-idempotent request; empty for none.
    #[prost(string, tag = "8")]
    pub ticket: String,
    /// Milliseconds left until the caller's deadline.
    #[prost(uint32, tag = "9")]
    pub deadline_ms: u32,
    // Tag 10 is not used.
    /// Tokens that the sender has reserved for the request.
    #[prost(uint64, tag = "11")]
    pub reserved_tokens: u64,
    /// Number of instances that the request has passed: always 1, since the receiver of a
    /// forwarded request never forwards it again.
    #[prost(uint32, tag = "12")]
    pub hops: u32,
}

/// The head of a response.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Header fields for the caller.
    #[prost(message, repeated, tag = "3")]
    pub fields: Vec<Field>,
    /// Length of the body in bytes, or the length that the response to `HEAD` states, if known. Instances of
    /// earlier versions send none.
    #[prost(uint64, optional, tag = "4")]
    pub length: Option<u64>,
}

/// Bytes of the body of a request or a response.
#[derive(Clone, PartialEq, Message)]
pub struct Data {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}

/// Ends the body of a request or a response.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// Aborts the stream. The body received so far is incomplete.
#[derive(Clone, PartialEq, Message)]
pub struct Reset {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
}

/// Lets the other end send `bytes` more bytes on the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Number of bytes, in addition to earlier credit.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// Ends the stream with a refusal instead of a response.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// The stream's number.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Name of the refusal's reason.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds after which the caller should retry; 0 if a retry would not help.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
    /// Names of instances to try instead.
    #[prost(string, repeated, tag = "4")]
    pub instances: Vec<String>,
    /// Whether the request has run: `not-run`, `completed` or `unknown`.
    #[prost(string, tag = "5")]
    pub execution: String,
    /// A new ticket; empty for none.
    #[prost(string, tag = "6")]
    pub ticket: String,
}
