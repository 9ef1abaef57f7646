//! Tests of the parser of event streams.

use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};
use sesamebarrow_gateway::event_stream::{Foreign, Ids, Parser, Position, ResumePoint};

/// What a parser knows after a stream.
#[derive(Debug, PartialEq)]
struct Parsed {
    events: u64,
    position: Position,
    resume_point: ResumePoint,
    /// Number of bytes up to the last boundary.
    boundary: usize,
    foreign: Option<Foreign>,
}

/// Feeds `stream` to a parser in chunks that end at `cuts` (modulo the length).
fn parse(stream: &[u8], cuts: &[usize]) -> Parsed {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (stream.len() + 1)).collect();
    cuts.extend([0, stream.len()]);
    cuts.sort_unstable();
    let mut parser = Parser::new(Ids::Increasing, ResumePoint::Start);
    let mut boundary = 0;
    for pair in cuts.windows(2) {
        if let Some(offset) = parser.push(&stream[pair[0]..pair[1]]) {
            boundary = pair[0] + offset;
        }
    }
    Parsed {
        events: parser.events(),
        position: parser.position(),
        resume_point: parser.resume_point().clone(),
        boundary,
        foreign: parser.foreign(),
    }
}

fn after(id: &str) -> ResumePoint {
    ResumePoint::After(id.into())
}

/// Defines a test for each stream: complete events, position, resume point, and the bytes after the
/// last boundary.
macro_rules! parser_test {
    ($($name:ident: $stream:expr => $events:expr, $position:ident, $point:expr, $rest:expr;)*) => {$(
        #[test]
        fn $name() {
            let stream: &[u8] = $stream;
            let expected = Parsed {
                events: $events,
                position: Position::$position,
                resume_point: $point,
                boundary: stream.len() - $rest,
                foreign: None,
            };
            assert_eq!(parse(stream, &[]), expected);
            let single_bytes: Vec<usize> = (0..stream.len()).collect();
            assert_eq!(parse(stream, &single_bytes), expected, "in single bytes");
        }
    )*};
}

parser_test! {
    empty_stream_is_at_its_start: b"" => 0, Start, ResumePoint::Start, 0;
    lf_ends_lines: b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n" => 2, Between, after("2"), 0;
    crlf_ends_lines: b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" => 2, Between, after("2"), 0;
    cr_ends_lines: b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r" => 2, Between, after("2"), 0;
    mixed_line_ends: b"id: 1\r\ndata: a\n\rid:2\ndata\r\n\n" => 2, Between, after("2"), 0;
    byte_order_mark_is_no_part_of_a_name: b"\xef\xbb\xbfid: 1\ndata: a\n\n" => 1, Between, after("1"), 0;
    byte_order_mark_alone_is_inside_a_line: b"\xef\xbb\xbf" => 0, Inside, ResumePoint::Start, 3;
    cut_in_a_value: b"id: 1\ndata: a\n\nid: 2\ndata: b" => 1, Inside, after("1"), 13;
    cut_before_the_blank_line: b"id: 1\ndata: a\n\nid: 2\ndata: b\n" => 1, Inside, after("1"), 14;
    cut_in_the_first_event: b"id: 1\nda" => 0, Inside, ResumePoint::Start, 8;
    comment_is_no_event: b": ping\n" => 0, Start, ResumePoint::Start, 0;
    comment_between_events: b"id: 1\ndata: a\n\n: ping\n" => 1, Between, after("1"), 0;
    cut_in_a_comment: b"id: 1\ndata: a\n\n: pi" => 1, Inside, after("1"), 4;
    comment_in_an_event_does_not_end_it: b"data: a\n: ping\n" => 0, Inside, ResumePoint::Start, 15;
    retry_alone_is_no_event: b"id: 1\ndata: a\n\nretry: 500\n\n" => 1, Between, after("1"), 0;
    id_alone_moves_the_resume_point: b"id: 1\ndata: a\n\nid: 7\n\n" => 1, Between, after("7"), 0;
    other_fields_come_first: b"weight-versions: 3\nid: 4\ndata: a\n\n" => 1, Between, after("4"), 0;
    id_of_an_open_event_is_not_a_resume_point: b"id: 1\ndata: a\n\nid: 2\n" => 1, Inside, after("1"), 6;
    id_with_nul_is_ignored: b"id: 1\nid: 2\0\ndata: a\n\n" => 1, Between, after("1"), 0;
    id_that_no_header_can_carry: b"id: \xc3\xa9\ndata: a\n\n" => 1, Between, ResumePoint::Nowhere, 0;
    id_as_part_of_another_name: b"id: 1\nidx: 2\ndata: a\n\n" => 1, Between, after("1"), 0;
    blank_lines_are_no_events: b"\n\r\n\r" => 0, Start, ResumePoint::Start, 0;
}

/// Defines a test of each stream in which bytes are foreign: how, the complete events before them, and their offset.
macro_rules! foreign_test {
    ($($name:ident: $stream:expr => $foreign:ident, $events:expr, $offset:expr;)*) => {$(
        #[test]
        fn $name() {
            let stream: &[u8] = $stream;
            let parsed = parse(stream, &[]);
            assert_eq!(parsed.foreign, Some(Foreign::$foreign));
            assert_eq!((parsed.events, parsed.boundary), ($events, $offset));
            assert_eq!(parsed.position, Position::Inside);
            let single_bytes: Vec<usize> = (0..stream.len()).collect();
            assert_eq!(parse(stream, &single_bytes), parsed, "in single bytes");
        }
    )*};
}

foreign_test! {
    text_is_no_field: b"what is this\n\n" => Field, 0, 0;
    text_between_events_is_no_field: b"id: 1\ndata: a\n\nwhat is this\n\nid: 2\ndata: b\n\n" => Field, 1, 15;
    text_inside_an_event_is_no_field: b"id: 1\ndata: a\n\nid: 2\nwhat\ndata: b\n\n" => Field, 1, 15;
    text_after_events_is_no_field: b"id: 1\r\ndata: a\r\n\r\nwhat\r\n\r\n" => Field, 1, 18;
    head_of_an_answer_is_no_field: b"id: 1\ndata: a\n\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n" => Field, 1, 15;
    other_fields_alone_are_no_event: b"id: 1\ndata: a\n\nserver: x\r\n\r\n" => Field, 1, 15;
    name_in_quotes_is_no_field: b"{\"error\": 1}\n\n" => Field, 0, 0;
    long_line_without_a_colon_is_no_field: &{ let mut s = [b'x'; 4096]; s[4095] = b'\n'; s } => Field, 0, 0;
    control_characters_are_no_name: b"id: 1\ndata: a\n\n\x00\x01: x\n\n" => Field, 1, 15;
    byte_order_mark_inside_a_stream_is_no_name: b"id: 1\ndata: a\n\n\xef\xbb\xbfid: 2\ndata: b\n\n" => Field, 1, 15;
    bytes_that_are_no_utf8: b"id: 1\ndata: a\n\nid: 2\ndata: \xff\n\n" => Encoding, 1, 15;
    character_that_a_line_end_cuts: b"id: 1\ndata: a\xe6\x97\n\n" => Encoding, 0, 0;
    comment_that_is_no_utf8: b": \xc3\x28\n" => Encoding, 0, 0;
    event_without_id_among_others: b"id: 1\ndata: a\n\ndata: b\n\n" => NoId, 1, 15;
    event_with_an_empty_id_among_others: b"id: 1\ndata: a\n\nid\ndata: b\n\n" => NoId, 1, 15;
    event_without_id_before_others: b"data: a\n\nid: 1\ndata: b\n\n" => NoId, 0, 0;
    event_with_an_empty_id_before_others: b"id:\ndata: a\n\nid: 1\ndata: b\n\n" => NoId, 0, 0;
    long_line_that_is_no_field: &[b'x'; 300] => Field, 0, 0;
    mark_of_an_answer_is_no_field: b"id: 1\ndata: HTTP/1.1 200 OK\r\nAttempt-Id: 9\r\n\r\n" => Field, 0, 0;
    repeated_id: b"id: 7\ndata: a\n\nid: 7\ndata: a\n\n" => Repeated, 1, 15;
    lower_id: b"id: 10\ndata: a\n\nid: 9\ndata: b\n\n" => Order, 1, 16;
    repeated_id_with_zeros: b"id: 7\ndata: a\n\nid: 007\ndata: b\n\n" => Repeated, 1, 15;
    text_as_id_among_numbers: b"id: 7\ndata: a\n\nid: x\ndata: b\n\n" => Order, 1, 15;
    repeated_id_that_is_no_number: b"id: x\ndata: a\n\nid: x\ndata: b\n\n" => Repeated, 1, 15;
    repeated_id_without_data: b"id: 7\ndata: a\n\nid: 7\n\n" => Repeated, 1, 15;
}

#[test]
fn events_without_ids_cannot_be_resumed_after() {
    for stream in [
        &b"data: a\n\ndata: b\n\n"[..],
        b"id: 1\ndata: a\n\ndata: b\n\n",
        b"id: 1\ndata: a\n\nid\ndata: b\n\n",
    ] {
        let mut parser = Parser::new(Ids::Any, ResumePoint::Start);
        assert_eq!(parser.push(stream), Some(stream.len()));
        assert_eq!((parser.events(), parser.position()), (2, Position::Between));
        assert_eq!(parser.resume_point(), &ResumePoint::Nowhere);
    }
}

#[test]
fn part_that_begins_anew_after_a_restart_is_foreign() {
    let mut parser = Parser::new(Ids::Increasing, ResumePoint::Start);
    parser.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nwhat\n");
    parser.restart();
    assert_eq!(
        (parser.foreign(), parser.position()),
        (None, Position::Between)
    );
    parser.push(b"id: 1\ndata: a\n\n");
    assert_eq!(parser.foreign(), Some(Foreign::Order));
}

#[test]
fn part_without_ids_after_an_id_is_foreign() {
    let mut parser = Parser::new(Ids::Increasing, after("4"));
    parser.push(b"data: a\n\n");
    assert_eq!(parser.foreign(), Some(Foreign::NoId));
}

#[test]
fn any_ids_are_allowed_where_none_are_asked_for() {
    let mut parser = Parser::new(Ids::Any, ResumePoint::Start);
    parser.push(b"id: 7\ndata: a\n\nid: 7\ndata: a\n\ndata: [DONE]\n\n");
    assert_eq!((parser.foreign(), parser.events()), (None, 3));
}

#[test]
fn long_id_cannot_be_resumed_after() {
    let stream = format!("id: {}\ndata: a\n\n", "7".repeat(4096));
    let parsed = parse(stream.as_bytes(), &[100, 300, 500]);
    assert_eq!(
        (parsed.events, parsed.resume_point),
        (1, ResumePoint::Nowhere)
    );
}

#[test]
fn restart_drops_the_open_event_and_accepts_a_byte_order_mark() {
    let mut parser = Parser::new(Ids::Increasing, ResumePoint::Start);
    parser.push(b"id: 1\ndata: a\n\nid: 9\ndata: lo");
    parser.restart();
    assert_eq!(parser.position(), Position::Between);
    parser.push(b"\xef\xbb\xbfid: 2\ndata: b\n\n");
    assert_eq!((parser.events(), parser.resume_point()), (2, &after("2")));
}

#[test]
fn empty_chunk_between_cr_and_lf_does_not_end_another_line() {
    let mut parser = Parser::new(Ids::Increasing, ResumePoint::Start);
    for chunk in [&b"data: a\r"[..], b"", b"\n"] {
        parser.push(chunk);
    }
    assert_eq!(parser.position(), Position::Inside);
}

/// Fields, line ends and other pieces that streams are made of.
fn piece() -> impl Strategy<Value = &'static [u8]> {
    let pieces: [&'static [u8]; 14] = [
        b"\n",
        b"\r",
        b"\r\n",
        b"\n\n",
        b"id: 4",
        b"id:",
        b"data: token",
        b"data",
        b":c",
        b"retry: 9",
        b"\xef\xbb\xbf",
        b"\0",
        b"event: x\ndata: y\n\n",
        b"id: 5\r\ndata\r\n\r\n",
    ];
    proptest::sample::select(pieces.to_vec())
}

/// Returns a configuration under which every run tries the same cases.
fn fixed_cases() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(26),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn every_split_of_a_stream_is_parsed_alike(
        pieces in vec(piece(), 0..40), cuts in vec(any::<usize>(), 0..12),
    ) {
        let stream = pieces.concat();
        prop_assert_eq!(parse(&stream, &cuts), parse(&stream, &[]));
    }

    #[test]
    fn arbitrary_bytes_end_at_a_boundary_or_inside(
        stream in vec(any::<u8>(), 0..4096), cuts in vec(any::<usize>(), 0..12),
    ) {
        let parsed = parse(&stream, &cuts);
        prop_assert_eq!(parsed.position == Position::Inside, parsed.boundary < stream.len());
        prop_assert!(parsed.events <= stream.len() as u64);
    }
}
