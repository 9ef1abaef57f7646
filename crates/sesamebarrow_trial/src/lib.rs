//! A handful of policy values over virtual time, for scenarios and random runs.
//!
//! A [`Simulation`] holds boards, a platform and upstreams in one seeded queue of timed
//! events. It delivers, delays, drops, doubles and reorders messages, cuts links, kills
//! and pauses processes, and watches promises that no single board can see: how often
//! an order ran, whether a refusal told the truth, what was admitted in any window.

pub mod engine;
pub mod fleet;
pub mod invariant;
pub mod network;
pub mod placement;
pub mod platform;
pub mod random_run;
pub mod script;
pub mod simulation;
pub mod traffic;

pub use invariant::Invariants;
pub use network::Network;
pub use random_run::{FaultMix, RandomRun};
pub use script::Script;
pub use simulation::Simulation;
