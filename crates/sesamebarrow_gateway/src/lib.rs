//! The gateway instance for traffic that is routed by host and path.
//!
//! [`server`] accepts a request, and [`inbound`] follows what its connection owes. [`intake`] finds its route, identifies the customer and
//! reserves the tokens that it costs. [`exchange`] makes attempts at the targets that [`selection`]
//! takes from `sesamebarrow_routing`, over connections of [`pool`]. [`relay`] sends the response to
//! the client, [`stream`] an event stream. [`event_stream`] and [`framing`] tell whether a body
//! that has ended is complete. [`hop`] forwards requests to an instance of another region.
//!
//! [`crash`] finds out which upstreams have crashed under a request, and [`quarantine`] refuses requests
//! that would crash more. [`memory`] bounds what bodies hold.
//!
//! [`token`] takes the tokens of requests from the buckets that instances keep.
//! [`store`], [`sync`] and [`gossip`], which reads its socket by [`inbox`], keep the board up to date, the tables of
//! `sesamebarrow_routing` that hold all that this instance knows. [`directory`] and [`admin`]
//! answer requests of clients and operators, and [`telemetry`] contains the metrics.

pub mod admin;
pub mod attempt;
pub mod clock;
pub mod crash;
pub mod directory;
pub mod dispatch;
pub mod event_stream;
pub mod exchange;
pub mod framing;
pub mod gossip;
pub mod hop;
pub mod inbound;
pub mod inbox;
pub mod intake;
pub mod limit;
pub mod listener;
pub mod log_limit;
pub mod memory;
pub mod meter;
pub mod notice;
pub mod pool;
pub mod quarantine;
pub mod relay;
pub mod reply;
pub mod run;
pub mod selection;
pub mod sends;
pub mod server;
pub mod settings;
pub mod shared;
pub mod socket;
pub mod store;
pub mod stream;
pub mod stream_timing;
pub mod supervise;
pub mod sync;
pub mod telemetry;
pub mod token;

pub use run::run;
pub use settings::Settings;
