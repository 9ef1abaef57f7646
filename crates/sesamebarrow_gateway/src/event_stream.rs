//! Incremental parser of event streams (`text/event-stream`), as the HTML standard defines them.
//!
//! The gateway relays the bytes of a stream unchanged. [`Parser`] therefore yields no events, but
//! the positions at which a stream may be cut, the id after which it may be resumed, and whether it
//! has ended inside an event. Lines end with LF, CRLF or CR, and a stream may start with a byte
//! order mark. Its memory is bounded whatever it is fed.

use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;
use smol_str::SmolStr;

/// Byte order mark, which the standard ignores at the start of a stream only.
pub const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Number of bytes of a line that are kept. The names and ids of fields must fit.
const MAX_LINE_HEAD_BYTES: usize = 256;

/// Returns whether a response with these headers is an event stream.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let media_type = content_type.and_then(|v| v.split(';').next());
    media_type.is_some_and(|v| v.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// Position of a stream's end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Position {
    /// Before the first event.
    #[default]
    Start,
    /// After a complete event.
    Between,
    /// Inside an event or a line.
    Inside,
}

/// Where another upstream may continue a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResumePoint {
    /// From its start, since no event is complete yet.
    #[default]
    Start,
    /// After the event with this id.
    After(SmolStr),
    /// Nowhere: the last event has no id that can be sent, so that events would be repeated.
    Nowhere,
}

/// Fields of an event that is not complete yet.
#[derive(Clone, Debug, Default)]
struct OpenEvent {
    has_data: bool,
    /// `Some(None)` if the id resets the last id or cannot be sent.
    id: Option<Option<SmolStr>>,
}

/// An incremental parser of one event stream.
#[derive(Clone, Debug)]
pub struct Parser {
    /// The first bytes of the current line, at most [`MAX_LINE_HEAD_BYTES`]. Not empty once the
    /// line has a byte.
    line: Vec<u8>,
    /// Whether the current line has more bytes than `line` keeps.
    is_line_cut: bool,
    is_first_line: bool,
    /// Whether the last byte was a CR, so that a LF belongs to the same line end.
    is_after_cr: bool,
    open_event: Option<OpenEvent>,
    events: u64,
    /// Number of blocks of fields without an id.
    without_id: u64,
    resume_point: ResumePoint,
}

impl Parser {
    /// Creates a parser for a stream that continues at `resume_point`.
    pub fn new(resume_point: ResumePoint) -> Self {
        Self {
            line: Vec::new(),
            is_line_cut: false,
            is_first_line: true,
            is_after_cr: false,
            open_event: None,
            events: 0,
            without_id: 0,
            resume_point,
        }
    }

    /// Prepares for another upstream that continues the stream at the resume point. Drops the event
    /// that is not complete.
    pub fn restart(&mut self) {
        let (events, without_id) = (self.events, self.without_id);
        *self = Self::new(std::mem::take(&mut self.resume_point));
        (self.events, self.without_id) = (events, without_id);
    }

    /// Parses the next bytes. Returns the largest offset in `chunk` at which neither an event nor a
    /// line is open.
    pub fn push(&mut self, chunk: &[u8]) -> Option<usize> {
        if chunk.is_empty() {
            return None;
        }
        let mut boundary = None;
        let mut start = 0;
        if std::mem::take(&mut self.is_after_cr) && chunk.first() == Some(&b'\n') {
            start = 1;
            boundary = self.is_closed().then_some(start);
        }
        while let Some(length) = memchr::memchr2(b'\n', b'\r', &chunk[start..]) {
            let line_end = start + length;
            self.extend_line(&chunk[start..line_end]);
            self.end_line();
            start = line_end + 1;
            if chunk[line_end] == b'\r' {
                match chunk.get(start) {
                    Some(b'\n') => start += 1,
                    Some(_) => {}
                    None => self.is_after_cr = true,
                }
            }
            if self.is_closed() {
                boundary = Some(start);
            }
        }
        self.extend_line(&chunk[start..]);
        boundary
    }

    /// Returns the number of complete events. Comments and events without data are not counted.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of blocks of fields without an id, whether they are events or not.
    pub fn without_id(&self) -> u64 {
        self.without_id
    }

    /// Returns where the stream may be continued after its last complete event.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.resume_point
    }

    /// Returns the position that the stream has reached.
    pub fn position(&self) -> Position {
        if !self.is_closed() {
            Position::Inside
        } else if self.events == 0 {
            Position::Start
        } else {
            Position::Between
        }
    }

    fn is_closed(&self) -> bool {
        self.open_event.is_none() && self.line.is_empty()
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(MAX_LINE_HEAD_BYTES - self.line.len());
        self.line.extend_from_slice(&bytes[..kept]);
        self.is_line_cut |= kept < bytes.len();
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let is_cut = std::mem::take(&mut self.is_line_cut);
        let is_first = std::mem::take(&mut self.is_first_line);
        let mark = if is_first { BYTE_ORDER_MARK } else { b"" };
        let text = line.strip_prefix(mark).unwrap_or(&line);
        if text.is_empty() {
            self.end_event();
        } else if text[0] != b':' {
            let event = self.open_event.get_or_insert_default();
            read_field(event, text, is_cut);
        }
        self.line = line;
        self.line.clear();
    }

    fn end_event(&mut self) {
        let Some(event) = self.open_event.take() else {
            return;
        };
        self.without_id += u64::from(!matches!(event.id, Some(Some(_))));
        match event.id {
            Some(Some(id)) => self.resume_point = ResumePoint::After(id),
            Some(None) => self.resume_point = ResumePoint::Nowhere,
            None if event.has_data => self.resume_point = ResumePoint::Nowhere,
            None => {}
        }
        self.events += u64::from(event.has_data);
    }
}

/// Reads a field into `event`; `is_cut` says that its value is longer than `line`.
fn read_field(event: &mut OpenEvent, line: &[u8], is_cut: bool) {
    let colon = memchr::memchr(b':', line);
    let (name, value) = match colon {
        Some(colon) => (&line[..colon], &line[colon + 1..]),
        None => (line, &line[line.len()..]),
    };
    match name {
        b"data" => event.has_data = true,
        // The standard ignores an id that contains NUL.
        b"id" if !value.contains(&0) => {
            event.id = Some(if is_cut { None } else { to_header_text(value) });
        }
        _ => {}
    }
}

/// Returns an id as it can be sent in a header; `None` if it is empty or cannot be sent.
fn to_header_text(id: &[u8]) -> Option<SmolStr> {
    let text = std::str::from_utf8(id).ok()?.trim_matches([' ', '\t']);
    let is_sendable = text
        .bytes()
        .all(|b| b == b'\t' || (b' '..=b'~').contains(&b));
    (is_sendable && !text.is_empty()).then(|| SmolStr::new(text))
}
