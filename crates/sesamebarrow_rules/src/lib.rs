//! Parses, checks, formats and compares rule files.
//!
//! A rule file says which customers may call which services, in which regions their
//! data may reside, how many tokens they may use and which requests are not idempotent.
//! Each line holds one rule and ends in a comment that names the person who asked for
//! it. [`parse`] either accepts a whole file or returns every error with its line,
//! column and what was expected; a file with one bad line yields no [`Rules`].
//!
//! The crate also parses the list of instances and upstreams ([`list`]), which the platform
//! (the service that publishes configuration to all instances) publishes beside the rules.
//! It computes the changes between revisions of either document ([`document`]).
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
