//! Tests of settings, credentials and the detection of incomplete responses.

use std::path::Path;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use rstest::rstest;
use sesamebarrow_node::Settings;
use sesamebarrow_node::credential::{Error, Key, check_key_absent, has_key_parameter};
use sesamebarrow_node::relay::{self, Interrupted, Part, ResponseTracker};

const SETTINGS: &str = include_str!("../../../examples/settings.toml");

fn load(text: &str) -> Result<Settings, String> {
    let dir = tempfile::tempdir().expect("temporary directory");
    let secret = dir.path().join("secret");
    std::fs::write(&secret, "a secret of sixteen bytes or more").expect("written");
    let path = dir.path().join("settings.toml");
    let text = text.replace("/etc/sesamebarrow/secret", &secret.to_string_lossy());
    std::fs::write(&path, text).expect("written");
    Settings::load(&path).map_err(|e| e.to_string())
}

#[test]
fn example_settings_are_valid() {
    let settings = load(SETTINGS).expect("valid");
    assert_eq!(settings.name, "akl-1-a");
}

#[rstest]
#[case::unknown_field("slot = 0", "slot = 0\ncolour = \"red\"", "colour")]
#[case::no_unit("watch = \"4s\"", "watch = \"4\"", "watch")]
#[case::bad_address("http = \"10.0.0.1:8080\"", "http = \"somewhere\"", "http")]
#[case::zero(
    "threads = 2",
    "threads = 0",
    "threads: expected a value that is not zero or empty"
)]
#[case::bad_name("name = \"akl-1-a\"", "name = \"AKL\"", "name: expected a-z")]
fn error_names_the_invalid_setting(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    assert!(SETTINGS.contains(old), "the example contains {old}");
    let error = load(&SETTINGS.replace(old, new)).expect_err("an error");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn error_names_the_missing_settings_file() {
    let error = Settings::load(Path::new("/nonexistent/x.toml")).expect_err("an error");
    assert!(error.to_string().contains("/nonexistent/x.toml"));
}

fn fields(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        map.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    map
}

#[rstest]
#[case::two_fields(&[("authorization", "Bearer aaaaaaaa"), ("x-api-key", "bbbbbbbb")], Error::MultipleKeys)]
#[case::twice(&[("x-api-key", "aaaaaaaa"), ("x-api-key", "aaaaaaaa")], Error::MultipleKeys)]
#[case::other_scheme(&[("authorization", "Basic aaaaaaaa")], Error::Malformed)]
#[case::too_short(&[("x-api-key", "short")], Error::Malformed)]
#[case::no_key(&[("authorization", "Bearer ")], Error::Malformed)]
fn ambiguous_and_malformed_keys_are_rejected(
    #[case] pairs: &[(&str, &str)],
    #[case] expected: Error,
) {
    assert_eq!(Key::from_headers(&fields(pairs)).err(), Some(expected));
}

#[test]
fn key_is_rejected_in_path_fields_body_and_query() {
    let key = Key::from_headers(&fields(&[("x-api-key", "secret-key-1")]));
    let key = key.expect("valid").expect("a key");
    let no_fields = HeaderMap::new();
    assert!(check_key_absent(&key, "/a?b=c", &no_fields, b"{}").is_ok());
    let fields_with_key = fields(&[("accept", "text/secret-key-1")]);
    for (path, fields, body) in [
        ("/secret-key-1", &no_fields, b"".as_slice()),
        ("/%73ecret-key-1", &no_fields, b""),
        ("/", &fields_with_key, b""),
        ("/", &no_fields, b"{\"k\":\"secret-key-1\"}"),
    ] {
        assert_eq!(
            check_key_absent(&key, path, fields, body),
            Err(Error::Misplaced)
        );
    }
    assert!(has_key_parameter("a=b&API_KEY=x") && !has_key_parameter("monkey=x"));
}

#[test]
fn event_stream_is_complete_only_after_its_final_event() {
    let events = fields(&[(CONTENT_TYPE.as_str(), "text/event-stream")]);
    let mut tracker = ResponseTracker::new(&events);
    // The final event is divided between two chunks.
    tracker.update(b"data: {\"usage\":{\"total_tokens\": 12}}\n\nda");
    assert!(!tracker.is_complete());
    tracker.update(b"ta: [DONE]\n\n");
    assert!(tracker.is_complete());
    assert_eq!(tracker.tokens(), Some(12));
    assert!(ResponseTracker::new(&HeaderMap::new()).is_complete());
}

#[test]
fn event_stream_with_a_media_type_in_capitals_needs_its_final_event() {
    let events = fields(&[(CONTENT_TYPE.as_str(), "Text/Event-Stream ;charset=utf-8")]);
    let mut tracker = ResponseTracker::new(&events);
    tracker.update(b"data: {}\n\n");
    assert!(!tracker.is_complete());
}

#[rstest]
#[case::text_of_the_final_event_in_a_message(b"data: {\"text\":\"data: [DONE]\"}\n\n", false)]
#[case::cut_in_a_message_with_that_text(b"data: {\"text\":\"data: [DONE]", false)]
#[case::final_event_without_its_end(b"data: {}\n\ndata: [DONE]", false)]
#[case::final_event_without_its_blank_line(b"data: {}\n\ndata: [DONE]\n", false)]
#[case::no_space_after_the_colon(b"data: {}\n\ndata:[DONE]\n\n", true)]
#[case::crlf(b"data: {}\r\n\r\ndata: [DONE]\r\n\r\n", true)]
#[case::comment_after_the_final_event(b"data: [DONE]\n\n: bye\n", true)]
fn event_stream_that_ends_before_its_final_event_is_incomplete(
    #[case] stream: &[u8],
    #[case] is_complete: bool,
) {
    let events = fields(&[(CONTENT_TYPE.as_str(), "text/event-stream")]);
    let mut tracker = ResponseTracker::new(&events);
    tracker.update(stream);
    assert_eq!(tracker.is_complete(), is_complete);
}

#[tokio::test]
async fn body_without_its_end_is_interrupted_for_the_caller() {
    let (tx, rx) = relay::channel();
    tx.try_send(Part::Chunk("data: {}".into()))
        .expect("the channel has capacity");
    drop(tx);
    assert_eq!(
        relay::streamed(rx, None).collect().await.err(),
        Some(Interrupted)
    );
}

#[tokio::test]
async fn body_with_its_end_is_whole_for_the_caller() {
    let (tx, rx) = relay::channel();
    for part in [Part::Chunk("paid".into()), Part::End] {
        tx.try_send(part).expect("the channel has capacity");
    }
    let body = relay::streamed(rx, None)
        .collect()
        .await
        .expect("a whole body");
    assert_eq!(body.to_bytes(), "paid");
}

#[rstest]
#[case::text(b"data: {}\n\nwhat is this\n\ndata: [DONE]\n\n", 10)]
#[case::bytes_that_are_no_text(b"data: {}\n\ndata: \xff\n\ndata: [DONE]\n\n", 10)]
#[case::second_answer(b"data: {}\n\ndata: [DONE]\n\nHTTP/1.1 200 OK\r\n\r\n", 24)]
#[case::repeated_ids(b"id: 1\ndata: {}\n\nid: 1\ndata: [DONE]\n\n", 36)]
fn bytes_that_are_no_event_are_not_relayed(#[case] stream: &[u8], #[case] relayed: usize) {
    let events = fields(&[(CONTENT_TYPE.as_str(), "text/event-stream")]);
    let mut tracker = ResponseTracker::new(&events);
    assert_eq!(tracker.update(stream), relayed);
    assert_eq!(tracker.is_complete(), relayed == stream.len());
}
