//! Simulates several instances over virtual time, for scripted scenarios, randomised runs and
//! measurements.
//!
//! A [`Simulation`] is a deterministic discrete-event simulation: it drives the boards of the
//! instances (each [`Board`](sesamebarrow_policy::Board) holds the whole state of one instance),
//! a platform and upstreams from one queue of timed events and one seeded random number
//! generator. It can delay, drop, duplicate and reorder messages, cut links, and kill and pause
//! processes. It checks [`Invariants`] that no single board can check: how often a
//! non-idempotent request ran, whether a request that was reported as not run did run, and how
//! many tokens were admitted in any time window.
//!
//! [`placement`] and [`engine`] form a separate simulation, which uses the routing decisions of
//! `sesamebarrow_routing`. That crate has a `Board` of its own.

pub mod containment;
pub mod engine;
pub mod fleet;
pub mod invariant;
pub mod limits;
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
