//! Routing decisions of one instance, without I/O.
//!
//! A [`Board`] holds what the instance knows: the configuration and the upstreams
//! that the platform publishes ([`catalog`]), the other instances ([`member`]), the shares
//! of each customer's rate ([`quota`]) and the load of the upstreams ([`upstream`]). Each
//! module owns one part of the board and the functions that decide on it. `Board` follows the
//! blackboard pattern: its tables are read and written by all controllers. Time and random
//! numbers are passed as arguments, so that tests can simulate any load and any fault in
//! virtual time.
//!
//! Time is a [`std::time::Duration`] since a fixed moment of the process.

pub mod admit;
pub mod board;
pub mod budget;
pub mod cache;
pub mod catalog;
pub mod cold;
pub mod config;
pub mod gossip;
pub mod member;
pub mod place;
pub mod quota;
pub mod rendezvous;
pub mod spill;
pub mod upstream;

pub use board::{Board, Identity};
pub use catalog::Catalog;
pub use config::{Config, RequestKind, Route};
