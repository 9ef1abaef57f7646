//! Incremental parser of event streams (`text/event-stream`), as the HTML standard defines them.
//!
//! The gateway relays the bytes of a stream unchanged. [`Parser`] therefore yields no events, but
//! the positions at which a stream may be cut, the id after which it may be resumed, and whether it
//! has ended inside an event. Lines end with LF, CRLF or CR, and a stream may start with a byte
//! order mark. Its memory is bounded whatever it is fed.
//!
//! The standard has readers ignore what they do not know, so that any bytes can be read as some stream. The parser
//! instead stops at [`Foreign`] bytes, which no sound upstream writes.

use std::cmp::Ordering;

use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;
use sesamebarrow_platform::head;
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

/// Returns whether the headers name one media type that can be read.
pub fn states_media_type(headers: &HeaderMap) -> bool {
    let mut types = headers.get_all(CONTENT_TYPE).iter();
    let text = types.next().and_then(|v| v.to_str().ok()).unwrap_or("");
    let media_type = text.split(';').next().unwrap_or("");
    let is_one = media_type.contains('/') && !media_type.contains(',');
    is_one && types.next().is_none()
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

/// What shows that bytes are no part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Foreign {
    /// A line is not encoded in UTF-8.
    Encoding,
    /// A line is neither a field nor a comment, or a block has no field of the standard.
    Field,
    /// An event bears no id.
    NoId,
    /// The id of an event is that of the one before.
    Repeated,
    /// The id of an event does not follow that of the one before, of which either may be foreign.
    Order,
}

/// Which ids the events of a stream bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ids {
    /// Any, or none.
    Any,
    /// Each event bears one, which is larger than the one before if both are numbers.
    Increasing,
}

/// The id of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
enum EventId {
    Sendable(SmolStr),
    /// A header cannot carry it.
    NotSendable,
    /// Resets the last id.
    Empty,
}

/// Fields of an event that is not complete yet.
#[derive(Clone, Debug, Default)]
struct OpenEvent {
    /// Whether it has a field that the standard defines.
    is_known: bool,
    has_data: bool,
    id: Option<EventId>,
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
    /// The last bytes of the current line, if they are an incomplete character.
    cut_char: Vec<u8>,
    ids: Ids,
    /// Set once and for all at the first bytes that are foreign. Nothing after them is parsed.
    foreign: Option<Foreign>,
    open_event: Option<OpenEvent>,
    events: u64,
    resume_point: ResumePoint,
}

impl Parser {
    /// Creates a parser for a stream that continues at `resume_point` and whose events bear `ids`.
    pub fn new(ids: Ids, resume_point: ResumePoint) -> Self {
        Self {
            line: Vec::new(),
            is_line_cut: false,
            is_first_line: true,
            is_after_cr: false,
            cut_char: Vec::new(),
            ids,
            foreign: None,
            open_event: None,
            events: 0,
            resume_point,
        }
    }

    /// Prepares for another upstream that continues the stream at the resume point. Drops the event
    /// that is not complete, and foreign bytes.
    pub fn restart(&mut self) {
        let events = self.events;
        *self = Self::new(self.ids, std::mem::take(&mut self.resume_point));
        self.events = events;
    }

    /// Parses the next bytes, up to those that are foreign. Returns the largest offset in `chunk` at which neither an event
    /// nor a line is open.
    pub fn push(&mut self, chunk: &[u8]) -> Option<usize> {
        if chunk.is_empty() || self.foreign.is_some() {
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
            if self.foreign.is_some() {
                return boundary;
            }
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

    /// Returns what shows that the bytes after the last boundary are no part of the stream.
    pub fn foreign(&self) -> Option<Foreign> {
        self.foreign
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
        self.foreign.is_none() && self.open_event.is_none() && self.line.is_empty()
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(MAX_LINE_HEAD_BYTES - self.line.len());
        let (kept, rest) = bytes.split_at(kept);
        self.line.extend_from_slice(kept);
        self.extend_encoded(kept);
        if !rest.is_empty() && !std::mem::replace(&mut self.is_line_cut, true) {
            let text = self.line_text();
            if text[0] != b':' && !is_field(text) {
                self.foreign.get_or_insert(Foreign::Field);
            }
        }
        self.extend_encoded(rest);
    }

    /// Returns what the line holds so far, without a byte order mark at the start of the stream.
    fn line_text(&self) -> &[u8] {
        let mark = if self.is_first_line {
            BYTE_ORDER_MARK
        } else {
            b""
        };
        self.line.strip_prefix(mark).unwrap_or(&self.line)
    }

    /// Checks the encoding of `bytes` unless something foreign came before them.
    fn extend_encoded(&mut self, bytes: &[u8]) {
        if self.foreign.is_none() && !self.check_encoding(bytes) {
            self.foreign = Some(Foreign::Encoding);
        }
    }

    /// Returns whether the line is encoded in UTF-8 as far as `bytes`, which follow what was checked before.
    fn check_encoding(&mut self, mut bytes: &[u8]) -> bool {
        while !self.cut_char.is_empty()
            && let Some((first, rest)) = bytes.split_first()
        {
            bytes = rest;
            self.cut_char.push(*first);
            match std::str::from_utf8(&self.cut_char) {
                Ok(_) => self.cut_char.clear(),
                Err(error) if error.error_len().is_none() => {}
                Err(_) => return false,
            }
        }
        match std::str::from_utf8(bytes) {
            Ok(_) => true,
            Err(error) => {
                self.cut_char.extend(&bytes[error.valid_up_to()..]);
                error.error_len().is_none()
            }
        }
    }

    fn end_line(&mut self) {
        if !self.cut_char.is_empty() {
            self.foreign.get_or_insert(Foreign::Encoding);
        }
        if self.foreign.is_some() {
            return;
        }
        let line = std::mem::take(&mut self.line);
        let is_cut = std::mem::take(&mut self.is_line_cut);
        let is_first = std::mem::take(&mut self.is_first_line);
        let mark = if is_first { BYTE_ORDER_MARK } else { b"" };
        let text = line.strip_prefix(mark).unwrap_or(&line);
        if text.is_empty() {
            self.end_event();
        } else if text[0] != b':' {
            let event = self.open_event.get_or_insert_default();
            if !read_field(event, text, is_cut) {
                self.foreign = Some(Foreign::Field);
            }
        }
        self.line = line;
        self.line.clear();
    }

    fn end_event(&mut self) {
        let Some(event) = self.open_event.take() else {
            return;
        };
        self.foreign = self.find_foreign(&event);
        if self.foreign.is_some() {
            return;
        }
        match event.id {
            Some(EventId::Sendable(id)) => self.resume_point = ResumePoint::After(id),
            Some(_) => self.resume_point = ResumePoint::Nowhere,
            None if event.has_data => self.resume_point = ResumePoint::Nowhere,
            None => {}
        }
        self.events += u64::from(event.has_data);
    }

    /// Returns what shows that `event` is no event of this stream.
    fn find_foreign(&self, event: &OpenEvent) -> Option<Foreign> {
        if !event.is_known {
            return Some(Foreign::Field);
        }
        if self.ids == Ids::Any {
            return None;
        }
        let bears_id = event.id.as_ref().is_some_and(|id| *id != EventId::Empty);
        let needs_id = event.has_data || event.id.is_some();
        if needs_id && !bears_id {
            return Some(Foreign::NoId);
        }
        match (&self.resume_point, &event.id) {
            (ResumePoint::After(last), Some(EventId::Sendable(id))) => compare_ids(last, id),
            _ => None,
        }
    }
}

/// Returns what shows that an event with `id` does not follow the one with the id `last`. Decimal numbers increase, others
/// differ, and hexadecimal numbers follow no other text.
fn compare_ids(last: &str, id: &str) -> Option<Foreign> {
    let is_decimal = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    let is_hexadecimal = |text: &str| text.bytes().all(|b| b.is_ascii_hexdigit());
    if last == id {
        return Some(Foreign::Repeated);
    }
    if is_decimal(last) && is_decimal(id) {
        let (last, id) = (last.trim_start_matches('0'), id.trim_start_matches('0'));
        // Numbers may have any length.
        return match (id.len(), id).cmp(&(last.len(), last)) {
            Ordering::Greater => None,
            Ordering::Equal => Some(Foreign::Repeated),
            Ordering::Less => Some(Foreign::Order),
        };
    }
    (is_hexadecimal(last) != is_hexadecimal(id)).then_some(Foreign::Order)
}

/// Reads a field into `event`; `is_cut` says that its value is longer than `line`. Returns whether it is one.
fn read_field(event: &mut OpenEvent, line: &[u8], is_cut: bool) -> bool {
    if !is_field(line) {
        return false;
    }
    let colon = memchr::memchr(b':', line);
    let (name, value) = match colon {
        Some(colon) => (&line[..colon], &line[colon + 1..]),
        None => (line, &line[line.len()..]),
    };
    match name {
        b"data" => event.has_data = true,
        // The standard ignores an id that contains NUL.
        b"id" if !value.contains(&0) => event.id = Some(read_id(value, is_cut)),
        b"id" | b"event" | b"retry" => {}
        _ => return true,
    }
    event.is_known = true;
    true
}

/// Returns whether `line`, or its first bytes, can be a field.
fn is_field(line: &[u8]) -> bool {
    let colon = memchr::memchr(b':', line);
    let name = &line[..colon.unwrap_or(line.len())];
    matches!(name, b"data" | b"id" | b"event" | b"retry") || colon.is_some() && is_other_name(name)
}

/// Returns whether `name` may be the name of a field that the standard does not define.
fn is_other_name(name: &[u8]) -> bool {
    let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.iter().all(is_name_byte) && !head::is_mark_of_response(name)
}

fn read_id(value: &[u8], is_cut: bool) -> EventId {
    let value = value.trim_ascii();
    let is_sendable = |b: &u8| *b == b'\t' || (b' '..=b'~').contains(b);
    match std::str::from_utf8(value) {
        Ok("") if !is_cut => EventId::Empty,
        Ok(text) if !is_cut && value.iter().all(is_sendable) => {
            EventId::Sendable(SmolStr::new(text))
        }
        _ => EventId::NotSendable,
    }
}
