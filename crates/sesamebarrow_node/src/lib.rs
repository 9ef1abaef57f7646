//! The entry instance: receives requests from callers and sends each to an upstream or to
//! another instance.
//!
//! All decisions are made by [`sesamebarrow_policy`], which keeps its state on a
//! [`Board`](sesamebarrow_policy::Board). This crate passes events to it and carries out the
//! actions that it returns.
//!
//! A request passes through [`accept`], [`exchange`] (which asks the policy for decisions
//! and makes the attempts) and [`relay`]. [`peer`] transports requests and control messages
//! between instances, [`platform`] reads documents from the platform, and [`admin`] shows
//! the state of the process to operators.

pub mod accept;
pub mod admin;
pub mod attempt;
pub mod cli;
pub mod credential;
pub mod driver;
pub mod exchange;
pub mod logs;
pub mod node;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod relay;
pub mod settings;
pub mod telemetry;

pub use node::{Node, run};
pub use settings::Settings;
