//! The messages that instances exchange, and how they are framed.
//!
//! A link is one TCP connection. It begins with a handshake ([`auth`]) by which both
//! ends prove that they hold the fleet's secret, and then carries length-prefixed
//! [`Frame`]s: control messages ([`control`]) and the multiplexed streams of forwarded
//! requests ([`stream`]).
//!
//! The types carry their own encoding by derive, so that the build needs no generator.

pub mod auth;
pub mod control;
pub mod frame;
pub mod stream;

pub use frame::{Codec, Error, Frame, Payload};
