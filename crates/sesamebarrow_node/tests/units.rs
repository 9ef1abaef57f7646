//! Settings, credentials and the ends of answers.

use std::path::Path;

use hyper::HeaderMap;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use rstest::rstest;
use sesamebarrow_node::Settings;
use sesamebarrow_node::credential::{Error, Key, check_placement, has_key_parameter};
use sesamebarrow_node::relay::Watcher;

const SETTINGS: &str = include_str!("../../../examples/settings.toml");

fn load(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().expect("folder");
    let secret = folder.path().join("secret");
    std::fs::write(&secret, "a secret of sixteen bytes or more").expect("written");
    let path = folder.path().join("settings.toml");
    let text = text.replace("/etc/sesamebarrow/secret", &secret.to_string_lossy());
    std::fs::write(&path, text).expect("written");
    Settings::load(&path).map_err(|e| e.to_string())
}

#[test]
fn the_example_settings_are_sound() {
    let settings = load(SETTINGS).expect("sound");
    assert_eq!(settings.name, "akl-1-a");
}

#[rstest]
#[case::unknown_field("slot = 0", "slot = 0\ncolour = \"red\"", "colour")]
#[case::no_unit("watch = \"4s\"", "watch = \"4\"", "watch")]
#[case::bad_address("http = \"10.0.0.1:8080\"", "http = \"somewhere\"", "http")]
#[case::nothing("threads = 2", "threads = 0", "threads: expected more than nothing")]
#[case::bad_name("name = \"akl-1-a\"", "name = \"AKL\"", "name: expected a-z")]
fn bad_settings_name_their_field(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    assert!(SETTINGS.contains(old), "the example holds {old}");
    let error = load(&SETTINGS.replace(old, new)).expect_err("a fault");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn a_missing_file_is_named() {
    let error = Settings::load(Path::new("/nonexistent/x.toml")).expect_err("a fault");
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
#[case::two_fields(&[("authorization", "Bearer aaaaaaaa"), ("x-api-key", "bbbbbbbb")], Error::Two)]
#[case::twice(&[("x-api-key", "aaaaaaaa"), ("x-api-key", "aaaaaaaa")], Error::Two)]
#[case::other_scheme(&[("authorization", "Basic aaaaaaaa")], Error::Malformed)]
#[case::too_short(&[("x-api-key", "short")], Error::Malformed)]
#[case::no_key(&[("authorization", "Bearer ")], Error::Malformed)]
fn credentials_that_are_unclear_are_refused(
    #[case] pairs: &[(&str, &str)],
    #[case] expected: Error,
) {
    assert_eq!(Key::take(&fields(pairs)).err(), Some(expected));
}

#[test]
fn a_key_is_found_wherever_it_stands() {
    let key = Key::take(&fields(&[("x-api-key", "secret-key-1")]));
    let key = key.expect("sound").expect("a key");
    let none = HeaderMap::new();
    assert!(check_placement(&key, "/a?b=c", &none, b"{}").is_ok());
    let placed = fields(&[("accept", "text/secret-key-1")]);
    for (path, fields, body) in [
        ("/secret-key-1", &none, b"".as_slice()),
        ("/%73ecret-key-1", &none, b""),
        ("/", &placed, b""),
        ("/", &none, b"{\"k\":\"secret-key-1\"}"),
    ] {
        assert_eq!(
            check_placement(&key, path, fields, body),
            Err(Error::Misplaced)
        );
    }
    assert!(has_key_parameter("a=b&API_KEY=x") && !has_key_parameter("monkey=x"));
}

#[test]
fn a_stream_without_its_final_event_is_not_whole() {
    let events = fields(&[(CONTENT_TYPE.as_str(), "text/event-stream")]);
    let mut watcher = Watcher::new(&events);
    watcher.see(b"data: {\"usage\":{\"total_tokens\": 12}}\n\nda");
    assert!(!watcher.is_whole());
    watcher.see(b"ta: [DONE]\n\n");
    assert!(watcher.is_whole());
    assert_eq!(watcher.tokens(), Some(12));
    assert!(Watcher::new(&HeaderMap::new()).is_whole());
}
