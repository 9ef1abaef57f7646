//! Framing of response bodies, and whether a body that has ended is complete.
//!
//! | body | ends in order | ends with an error |
//! |---|---|---|
//! | event stream, inside an event or after foreign bytes | broken off | broken off |
//! | event stream without an event, framed by its connection | broken off | broken off |
//! | any other, framed by its connection | complete if the upstream's process still runs, else broken off | broken off |
//! | any other | complete | broken off |
//!
//! The connections of a process that has ended are closed in order too, so such an end proves
//! nothing where nothing else frames the body. Whether the upstream still runs is seen by opening
//! its next connection, which must stay open ([`crate::attempt::Attempt::confirm_end`]), also if it leaves or is gone from the store.

use hyper::HeaderMap;
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;

pub use sesamebarrow_platform::head::{has_transfer_coding, is_final};

use crate::event_stream::Position;
use crate::meter::MeteredBody;

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Framing {
    /// The length in the head.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Returns the framing of a response with these headers and this body.
    pub fn of(headers: &HeaderMap, body: &MeteredBody) -> Self {
        let is_chunked = |v: &hyper::header::HeaderValue| {
            let last = v.to_str().ok().and_then(|v| v.rsplit(',').next());
            last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
        };
        let codings = headers.get_all(TRANSFER_ENCODING);
        if codings.iter().next_back().is_some_and(is_chunked) {
            Self::Chunked
        } else if body.size_hint().exact().is_some() {
            Self::Length
        } else {
            Self::Connection
        }
    }
}

/// Returns whether an event stream with this framing is complete if its body ends in order at
/// `position`.
pub fn is_stream_complete(framing: Framing, position: Position) -> bool {
    match position {
        Position::Between => true,
        Position::Inside => false,
        Position::Start => framing != Framing::Connection,
    }
}
