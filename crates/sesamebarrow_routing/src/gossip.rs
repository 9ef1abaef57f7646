//! Datagrams between instances: liveness, demand and load.
//!
//! Each datagram tells the sender's own record in full and some records of others, so
//! that news spreads while the load of each instance stays constant.

use prost::Message as _;

/// Demand of customers at an instance, the largest first; in columns, which take less room
/// than a message for each customer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Hashes of the customers' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub customers: Vec<u32>,
    /// Tokens a second that their requests ask for; as many as `customers`.
    #[prost(uint32, repeated, tag = "2")]
    pub rates: Vec<u32>,
}

impl Demand {
    /// Returns the rate of the customer with that hash; 0 for one that is not told.
    pub fn rate_of(&self, customer: u32) -> u32 {
        let mut told = self.customers.iter().zip(&self.rates);
        told.find(|(c, _)| **c == customer).map_or(0, |(_, r)| *r)
    }
}

/// Load of one service in the sender's region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Estimated wait of a new request at the least loaded upstream, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Upstreams that take requests.
    #[prost(uint32, tag = "3")]
    pub usable_upstreams: u32,
}

/// Load that the sender has put on one upstream of its region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamLoad {
    /// Hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Requests under way.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens not yet read.
    #[prost(uint32, tag = "3")]
    pub prefill_tokens: u32,
    /// Tokens of memory that its requests take.
    #[prost(uint32, tag = "4")]
    pub memory_tokens: u32,
}

/// What is told of one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Hash of its failure domain's name.
    #[prost(fixed32, tag = "2")]
    pub domain: u32,
    /// IPv4 address; all instances use the same ports.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Run of its process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Heartbeats of this run so far.
    #[prost(uint64, tag = "5")]
    pub heartbeat: u64,
    /// Whether it takes new requests.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// Demand by customer.
    #[prost(message, optional, tag = "7")]
    pub demand: Option<Demand>,
    /// Milliseconds since it began to drain; 0 unless it drains.
    #[prost(uint32, tag = "8")]
    pub draining_ms: u32,
    /// Whether the store answers it, as far as it knows.
    #[prost(bool, tag = "9")]
    pub store_answers: bool,
}

/// How long ago instances were last heard, by the sender or by those it heard it from; in
/// columns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeardAges {
    /// Hashes of the instances' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub instances: Vec<u32>,
    /// Tenths of a second since each was heard; as many as `instances`.
    #[prost(uint32, repeated, tag = "2")]
    pub age_tenths: Vec<u32>,
}

/// A datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// The sender.
    #[prost(message, required, tag = "1")]
    pub sender: Record,
    /// Others that the sender knows.
    #[prost(message, repeated, tag = "2")]
    pub other_records: Vec<Record>,
    /// Revision of the sender's newest item.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Loads of the sender's region.
    #[prost(message, repeated, tag = "4")]
    pub service_loads: Vec<ServiceLoad>,
    /// What the sender runs at the upstreams; only for instances of its region.
    #[prost(message, repeated, tag = "5")]
    pub upstream_loads: Vec<UpstreamLoad>,
    /// The receiver's newest heartbeat that the sender has seen; 0 for none.
    #[prost(uint64, tag = "6")]
    pub seen_heartbeat: u64,
    /// Milliseconds since the store last failed, as the sender knows; 0 if not lately.
    #[prost(uint32, tag = "7")]
    pub store_failed_ms: u32,
    /// Who was heard lately, in fleets too large to tell it by records.
    #[prost(message, optional, tag = "8")]
    pub heard_ages: Option<HeardAges>,
    /// Hashes of the names of instances whose records the sender wants.
    #[prost(fixed32, repeated, tag = "9")]
    pub wanted_records: Vec<u32>,
}

/// Returns the hash by which names are told.
pub fn short_hash(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Encodes a datagram.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    datagram.encode_to_vec()
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, prost::DecodeError> {
    Datagram::decode(bytes)
}
