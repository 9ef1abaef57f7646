//! Routing decisions of one instance, without I/O.
//!
//! A [`Board`] holds what the instance knows: the configuration ([`config`]), the other
//! instances ([`member`]), the token buckets of customers ([`quota`], [`holder`]) and the
//! upstreams with their load ([`upstream`]), what their answers say about them
//! ([`availability`], [`refusal`]), the limits that they name ([`limit`]) and the requests that crash them
//! ([`quarantine`]). [`memory`] bounds what requests hold.
//! [`forwarded`] counts what other regions do for this one.
//! [`admit`], [`spill`] and [`place`] decide where requests and clients go;
//! most other modules own one part of the board. `Board` follows the blackboard pattern: all
//! modules read and write its tables.
//!
//! The store is the platform's key-value store, in which the configuration, the upstreams
//! and the evacuations are published. A [`Catalog`] holds the published items.
//!
//! Time and random numbers are passed as arguments, so that tests can simulate any load and
//! any fault in virtual time. All times are [`std::time::Duration`]s since the start of the
//! process.

pub mod absence;
pub mod admit;
pub mod availability;
pub mod board;
pub mod budget;
pub mod cache;
pub mod catalog;
pub mod cold;
pub mod config;
pub mod correction;
pub mod dispatch;
pub mod drain;
pub mod fingerprint;
pub mod forwarded;
pub mod gossip;
pub mod holder;
pub mod limit;
pub mod member;
pub mod memory;
pub mod place;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod rendezvous;
pub mod spill;
pub mod token;
pub mod upstream;

pub use board::{Board, Identity};
pub use catalog::Catalog;
pub use config::{Config, RequestKind, Route};
