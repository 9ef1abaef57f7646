//! The entry instance: carries events to the policy and its actions out.
//!
//! A request's way through this crate is [`accept`] → [`exchange`] (which asks the
//! policy and makes the attempts) → [`relay`]; [`peer`] carries requests and control
//! messages between instances, [`platform`] reads what the platform publishes, and
//! [`admin`] shows the state of the process to operators.

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
