//! The decision logic of an instance, without I/O.
//!
//! A [`Board`] is a blackboard: it holds the whole state of an instance in plain tables,
//! which every controller reads and writes. [`handle`] takes one [`Event`] and the time
//! at which it happened, runs the controllers, and returns the [`Action`]s that the
//! driver of the board must carry out. The crate uses no clock, socket or thread, so the
//! same code runs in an instance, in scripted scenarios and in randomised simulations
//! over virtual time.
//!
//! The controllers are the modules [`clock`], [`config`], [`member`], [`upstream`],
//! [`limit`], [`at_most_once`], [`quarantine`], [`pipeline`] and [`placement`]. They work from two documents
//! that the platform, the fleet's control plane, publishes: the *rules* (regions, failure
//! domains, services, customers, keys) and the *list* (the instances and upstreams that
//! exist).
//!
//! Times are [`std::time::Duration`]s since the start of the process.
//!
//! ```
//! use std::time::Duration;
//! use sesamebarrow_policy::{Board, Event, Identity, Settings, handle};
//!
//! let identity = Identity {
//!     name: "lim-1-a".into(),
//!     domain: "lim-1".into(),
//!     slot: 0,
//!     incarnation: 7,
//! };
//! let mut board = Board::new(identity, Settings::default(), [0; 32], 1);
//! let actions = handle(&mut board, Duration::ZERO, Event::Tick);
//! assert!(!actions.is_empty(), "a new instance reads its configuration");
//! ```

pub mod at_most_once;
pub mod board;
pub mod check;
pub mod clock;
pub mod config;
pub mod event;
pub mod limit;
pub mod member;
pub mod pipeline;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod schedule;
pub mod settings;
pub mod snapshot;
pub mod upstream;

pub use board::{Board, Identity};
pub use check::check;
pub use event::{Action, Event, Head, Message, Origin, Outcome, RequestId, StoredResponse};
pub use refusal::{Execution, Reason, Refusal};
pub use schedule::handle;
pub use settings::Settings;
pub use snapshot::snapshot;
