//! The messages that instances of a region exchange about limits.

/// Maximum number of states in one message, so that its datagram stays below 512 bytes.
pub const MAX_STATES: usize = 20;

/// Asks the owner of a limited upstream for a permit. It may be sent more than once; the answer is the same.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PermitRequest {
    /// Identifies the request among those of its sender's process.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Hash of the upstream's run.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Urgency of the request; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub urgency: u32,
    /// Whether the owner does not answer the sender, which therefore asks another instance.
    #[prost(bool, tag = "4")]
    pub owner_is_silent: bool,
}

/// Answers a [`PermitRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PermitAnswer {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What the receiver may do.
    #[prost(enumeration = "Decision", tag = "2")]
    pub decision: i32,
    /// If it is refused, milliseconds until a permit is due.
    #[prost(uint32, tag = "3")]
    pub due_in_ms: u32,
}

/// What the owner of a limited upstream decided about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Decision {
    /// The request may not be sent.
    Refused = 0,
    /// It may be sent once.
    Granted = 1,
    /// The upstream has no limit, as far as the owner knows.
    Unlimited = 2,
    /// The asked instance is not ready, and owns nothing. Earlier versions take it for a refusal.
    NotReady = 3,
}

/// Tells the owner what an answer said.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Observed {
    /// Hash of the upstream's run.
    #[prost(fixed64, tag = "1")]
    pub run: u64,
    /// The limit in requests per second; `None` if the answer named none.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Whether the answer refused the request without running it.
    #[prost(bool, tag = "3")]
    pub by_refusal: bool,
}

/// What the sender knows about limits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct States {
    /// At most [`MAX_STATES`].
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<State>,
}

/// The limit of one run of an upstream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct State {
    /// Hash of the upstream's run.
    #[prost(fixed64, tag = "1")]
    pub run: u64,
    /// Number of times that a limit began or ended.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
    /// The limit in requests per second; `None` after its end.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
}

/// Returns whether a rate that another instance sent is one.
pub fn is_valid(rate: Option<f64>) -> bool {
    rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0)
}
