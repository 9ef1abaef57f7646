//! The rule file: which customers may call which services, where their data may
//! live, how much they may spend and which requests are not idempotent.
//!
//! One line is one rule, and each line ends in a comment that names who asked for
//! it. [`parse`] either accepts a whole file or returns every fault with its line,
//! column and what was expected; a file with one bad line yields no [`Rules`].
//!
//! ```
//! let text = "region lima # ana\n\
//!             domain lim-1 region=lima slots=2 # ana\n\
//!             service statements kind=model # ana\n";
//! let rules = sesamebarrow_rules::parse(text).expect("valid rules");
//! assert_eq!(rules.total_slots(), 2);
//! ```

mod args;
pub mod diff;
pub mod document;
pub mod format;
mod lexer;
pub mod list;
pub mod model;
pub mod parser;

pub use diff::diff;
pub use document::Document;
pub use format::format;
pub use list::List;
pub use model::{Customer, Domain, KeyDigest, RequestClass, Route, Rules, Service, ServiceKind};
pub use parser::{ParseError, parse};
