//! The datagrams that instances exchange: liveness and load.
//!
//! Each datagram contains the sender's full record and the records of some other instances.
//! Information thus reaches all instances while the traffic of each instance stays
//! constant.

use prost::Message as _;

use crate::dispatch::message::StatedCapacity;

/// Load of one service in the sender's region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service_hash: u32,
    /// Estimated wait of a new request in milliseconds, averaged over the usable upstreams.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Number of upstreams that accept requests and are not full.
    #[prost(uint32, tag = "3")]
    pub usable_upstreams: u32,
    /// Capacity of the service, if it is dispatched.
    #[prost(message, optional, tag = "4")]
    pub capacity: Option<StatedCapacity>,
    /// Milliseconds since the dispatcher stated it.
    #[prost(uint32, tag = "5")]
    pub capacity_age_ms: u32,
    /// Number of requests that other regions may have in progress here at once, so that no upstream is more than
    /// full; `None` from instances of earlier versions.
    #[prost(uint32, optional, tag = "6")]
    pub room: Option<u32>,
}

/// Load that the sender has put on one upstream of its region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamLoad {
    /// Hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream_hash: u32,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub in_progress: u32,
    /// Prompt tokens that still have to be prefilled.
    #[prost(uint32, tag = "3")]
    pub prefill_tokens: u32,
    /// KV cache tokens that the requests take.
    #[prost(uint32, tag = "4")]
    pub kv_tokens: u32,
    /// Requests in progress that other regions have forwarded.
    #[prost(uint32, tag = "5")]
    pub forwarded: u32,
}

/// State of one instance. Tag 7 held the demand of customers in an earlier version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Hash of its failure domain's name.
    #[prost(fixed32, tag = "2")]
    pub domain_hash: u32,
    /// IPv4 address. All instances use the same ports.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Start time of its process in milliseconds since 1970; identifies the run.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Number of gossip rounds and replies begun in this run; 0 in a datagram that only
    /// announces a revision.
    #[prost(uint64, tag = "5")]
    pub heartbeat: u64,
    /// Whether clients should be sent to it: it has a configuration and is not draining.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// Milliseconds since it began to drain; 0 if it is not draining.
    #[prost(uint32, tag = "8")]
    pub draining_time_ms: u32,
    /// Whether the store answers it, as far as it knows.
    #[prost(bool, tag = "9")]
    pub store_answers: bool,
    /// Whether it keeps token buckets ([`crate::holder`]); instances of earlier versions
    /// do not.
    #[prost(bool, tag = "10")]
    pub keeps_buckets: bool,
    /// Whether it can dispatch ([`crate::dispatch`]); instances of earlier versions cannot.
    #[prost(bool, tag = "11")]
    pub dispatches: bool,
    /// Its processor time in percent of a core.
    #[prost(uint32, tag = "12")]
    pub processor_percent: u32,
    /// Tenths of a second since the instance was known to run, in the datagram of another one; `None` from
    /// instances of earlier versions.
    #[prost(uint32, optional, tag = "13")]
    pub age_tenths: Option<u32>,
    /// Tenths of a second by which it is longer since it was known to run in this run.
    #[prost(uint32, tag = "14")]
    pub run_age_tenths: u32,
    /// Whether it has forwarded requests to other regions recently.
    #[prost(bool, tag = "15")]
    pub forwards: bool,
    /// Milliseconds since it became ready, if that was a short time ago; 0 otherwise.
    #[prost(uint32, tag = "16")]
    pub ready_time_ms: u32,
}

/// How long ago instances were last heard from, directly or through other instances; in
/// columns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeardAges {
    /// Hashes of the instances' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub instance_hashes: Vec<u32>,
    /// Tenths of a second since each instance was heard from, in the order of
    /// `instance_hashes`.
    #[prost(uint32, repeated, tag = "2")]
    pub age_tenths: Vec<u32>,
}

/// Loads that upstreams reported in their answers to any instance of the region; in columns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportedLoads {
    /// Hashes of the upstreams' ids.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstream_hashes: Vec<u32>,
    /// Running requests.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Queued requests.
    #[prost(uint32, repeated, tag = "3")]
    pub queued: Vec<u32>,
    /// Time since each load was reported, in units of 10 ms.
    #[prost(uint32, repeated, tag = "4")]
    pub ages_10_ms: Vec<u32>,
}

/// An upstream whose process has ended, or that can be reached again.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct UpstreamAbsence {
    /// Hash of the upstream's id.
    #[prost(fixed32, tag = "1")]
    pub upstream_hash: u32,
    /// Milliseconds since its process ended; `None` if that is not known.
    #[prost(uint32, optional, tag = "2")]
    pub ended_age_ms: Option<u32>,
    /// Milliseconds since it was reached again; `None` if it was not.
    #[prost(uint32, optional, tag = "3")]
    pub back_age_ms: Option<u32>,
}

/// A datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Record of the sender.
    #[prost(message, required, tag = "1")]
    pub sender: Record,
    /// Records of other instances that the sender knows.
    #[prost(message, repeated, tag = "2")]
    pub other_records: Vec<Record>,
    /// Revision of the newest change in the store that the sender knows.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Load of the services in the sender's region.
    #[prost(message, repeated, tag = "4")]
    pub service_loads: Vec<ServiceLoad>,
    /// Load that the sender has put on upstreams; sent only to instances of its region.
    #[prost(message, repeated, tag = "5")]
    pub upstream_loads: Vec<UpstreamLoad>,
    /// The receiver's newest heartbeat that the sender has received; 0 for none.
    #[prost(uint64, tag = "6")]
    pub seen_heartbeat: u64,
    /// Milliseconds since the store last failed, or answered again after a failure, as far
    /// as the sender knows; 0 if not recently.
    #[prost(uint32, tag = "7")]
    pub store_outage_age_ms: u32,
    /// Which instances were heard from recently, used when there are too many instances to
    /// send all records.
    #[prost(message, optional, tag = "8")]
    pub heard_ages: Option<HeardAges>,
    /// Hashes of the names of instances whose records the sender asks for.
    #[prost(fixed32, repeated, tag = "9")]
    pub wanted_name_hashes: Vec<u32>,
    /// Loads that upstreams reported recently; sent only to instances of the region.
    #[prost(message, optional, tag = "10")]
    pub reported_loads: Option<ReportedLoads>,
    /// Runs of upstreams that announced recently to the sender that they leave; sent only to instances of
    /// the region.
    #[prost(fixed64, repeated, tag = "11")]
    pub leaving_runs: Vec<u64>,
    /// Version of the sender's configuration; 0 if it has none.
    #[prost(uint64, tag = "12")]
    pub config_version: u64,
    /// Digest of the sender's orders ([`crate::quarantine`]); `None` from instances of earlier versions.
    #[prost(uint32, optional, tag = "13")]
    pub quarantine_digest: Option<u32>,
    /// Digest of the limits that the sender knows ([`crate::limit`]); `None` from instances of earlier versions.
    #[prost(uint32, optional, tag = "14")]
    pub limits_digest: Option<u32>,
    /// Which other instances have begun to drain recently, and how long ago.
    #[prost(message, optional, tag = "15")]
    pub recent_stops: Option<HeardAges>,
    /// Which other instances have become ready recently, and how long ago. None is in `recent_stops` as well.
    #[prost(message, optional, tag = "16")]
    pub recent_starts: Option<HeardAges>,
    /// Upstreams whose process has ended lately, or that can be reached again; sent only to instances of the region.
    #[prost(message, repeated, tag = "17")]
    pub absences: Vec<UpstreamAbsence>,
}

/// Returns the hash that stands for a name in datagrams.
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
