//! The decisions of an instance, without I/O.
//!
//! A [`Board`] holds all that an instance knows, as plain tables. [`handle`] takes one
//! [`Event`] with the time at which it happened, lets the controllers read and write
//! the board, and returns [`Action`]s for the caller to carry out. There is no clock,
//! no socket and no thread here, so that the same code runs in an instance, in a
//! scripted scenario and in a random run over virtual time.
//!
//! Time is a [`std::time::Duration`] since any fixed moment of the process.
//!
//! ```
//! use std::time::Duration;
//! use sesamebarrow_policy::{Board, Event, Identity, Settings, handle};
//!
//! let me = Identity {
//!     name: "lim-1-a".into(),
//!     domain: "lim-1".into(),
//!     slot: 0,
//!     incarnation: 7,
//! };
//! let mut board = Board::new(me, Settings::default(), [0; 32], 1);
//! let actions = handle(&mut board, Duration::ZERO, Event::Tick);
//! assert!(!actions.is_empty(), "a new instance asks for its configuration");
//! ```

pub mod board;
pub mod check;
pub mod clock;
pub mod config;
pub mod event;
pub mod limit;
pub mod member;
pub mod once;
pub mod pipeline;
pub mod placement;
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
