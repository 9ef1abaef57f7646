//! The messages that instances exchange, and their framing.
//!
//! A link is one TCP connection between two instances. It carries length-prefixed
//! [`Frame`]s. The first two frames of each end are a handshake in which both prove that
//! they hold the fleet's secret ([`auth`]). All others are control messages ([`control`])
//! or belong to the multiplexed streams of forwarded requests ([`stream`]).
//!
//! The messages are Protocol Buffers whose encoding is derived from the Rust types, so
//! the build needs no code generator.

pub mod auth;
pub mod control;
pub mod frame;
pub mod stream;

pub use frame::{Codec, Error, Frame, Payload};
