//! The entry instance for traffic that is routed by host and path.
//!
//! A request's way: [`front`] accepts it, [`intake`] identifies the customer and takes
//! its tokens, [`exchange`] makes the attempts that `sesamebarrow_routing` chooses, over
//! connections of [`pool`], and [`relay`] passes the answer on. [`hop`] carries requests
//! between regions. [`store`], [`sync`] and [`gossip`] keep the board up to date;
//! [`directory`] and [`admin`] answer callers' and operators' questions, [`telemetry`] has the
//! metrics.

pub mod admin;
pub mod attempt;
pub mod directory;
pub mod exchange;
pub mod gossip;
pub mod hop;
pub mod intake;
pub mod log_limit;
pub mod pool;
pub mod relay;
pub mod reply;
pub mod run;
pub mod server;
pub mod settings;
pub mod shared;
pub mod socket;
pub mod store;
pub mod stream_timing;
pub mod sync;
pub mod telemetry;

pub use run::run;
pub use settings::Settings;
