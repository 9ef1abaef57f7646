//! A handful of policy values over virtual time, for scenarios and random runs.
//!
//! A [`World`] holds boards, a platform and upstreams in one seeded queue of timed
//! events. It delivers, delays, drops, doubles and reorders messages, cuts links, kills
//! and pauses processes, and watches promises that no single board can see: how often
//! an order ran, whether a refusal told the truth, what was admitted in any window.

pub mod engine;
pub mod fault;
pub mod fleet;
pub mod placement;
pub mod platform;
pub mod promise;
pub mod script;
pub mod storm;
pub mod traffic;
pub mod world;

pub use fault::Faults;
pub use promise::Promises;
pub use script::Script;
pub use storm::{Mix, Storm};
pub use world::World;
