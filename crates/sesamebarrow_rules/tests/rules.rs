//! Tests of the rule file and the list: which texts are valid, and which errors the
//! others give.

use proptest::prelude::*;
use rstest::rstest;
use sesamebarrow_rules::{Document, KeyDigest, RequestClass, diff, format, list, parse};

const VALID_RULES: &str = "\
region lima # ana
domain lim-1 region=lima slots=2 # ana
service statements kind=model # ana
service payouts kind=plain cost=10 # ana
customer paita regions=lima rate=100 burst=200 # rosa
allow paita payouts # rosa
route payouts POST /payouts non-idempotent # luis
route payouts GET /hours* open # luis
";

#[test]
fn the_order_of_lines_does_not_matter() {
    let mut lines: Vec<&str> = VALID_RULES.lines().collect();
    let rules = parse(VALID_RULES).expect("valid");
    lines.reverse();
    assert_eq!(parse(&lines.join("\n")).expect("valid"), rules);
    let document = Document::new(1, VALID_RULES);
    assert_eq!(parse(&document.text()).expect("valid"), rules);
}

#[rstest]
#[case::no_requester("region piura", "1:13", "names who asked")]
#[case::empty_requester("region piura #", "1:15", "names who asked")]
#[case::unknown_rule("regoin piura # a", "1:1", "unknown rule `regoin`")]
#[case::unknown_region("domain x region=mars slots=1 # a", "1:17", "unknown region `mars`")]
#[case::no_slots("domain x region=lima # a", "1:21", "expected slots=")]
#[case::too_many_slots("domain x region=lima slots=65 # a", "1:28", "from 1 to 64")]
#[case::unknown_setting(
    "region piura size=3 # a",
    "1:14",
    "unknown or repeated setting `size=`"
)]
#[case::second_word("region piura lima # a", "1:14", "unexpected word `lima`")]
#[case::bad_kind(
    "service x kind=magic # a",
    "1:16",
    "expected kind=model or kind=plain"
)]
#[case::bad_rate("customer x regions=lima rate=-1 burst=1 # a", "1:30", "whole number")]
#[case::region_given_twice(
    "customer x regions=lima,lima rate=1 burst=1 # a",
    "1:20",
    "`lima` is given twice"
)]
#[case::bad_digest("key paita blake3=abc # a", "1:18", "64 hexadecimal digits")]
#[case::unknown_service("allow paita nothing # a", "1:13", "unknown service `nothing`")]
#[case::bad_class("route payouts GET /x maybe # a", "1:22", "non-idempotent or open")]
#[case::bad_path("route payouts GET x open # a", "1:19", "begins with `/`")]
#[case::contradiction(
    "route statements POST /g non-idempotent # a",
    "1:26",
    "contradicts kind=model"
)]
#[case::region_declared_twice("region lima # a", "2:8", "declared twice")]
#[case::bad_name("region Lima # a", "1:8", "is not a valid name")]
fn invalid_line_is_rejected_with_its_position(
    #[case] line: &str,
    #[case] position: &str,
    #[case] expected: &str,
) {
    let errors = parse(&format!("{line}\n{VALID_RULES}")).expect_err("invalid");
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let is_found = messages
        .iter()
        .any(|e| e.starts_with(position) && e.contains(expected));
    assert!(is_found, "{messages:?}");
}

#[test]
fn error_names_the_requester() {
    let errors = parse("regoin x # eve").expect_err("invalid");
    assert!(errors[0].to_string().ends_with("(asked by eve)"));
}

#[rstest]
#[case("payouts", "POST", "/payouts", Some(RequestClass::NonIdempotent))]
#[case("payouts", "POST", "/other", Some(RequestClass::NonIdempotent))]
#[case("payouts", "GET", "/other", Some(RequestClass::Idempotent))]
#[case("payouts", "GET", "/hours/today", Some(RequestClass::Open))]
#[case("statements", "POST", "/generate", Some(RequestClass::Idempotent))]
#[case("nothing", "GET", "/", None)]
fn requests_are_classified_with_and_without_a_route(
    #[case] service: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] class: Option<RequestClass>,
) {
    let rules = parse(VALID_RULES).expect("valid");
    assert_eq!(rules.classify(service, method, path), class);
}

#[test]
fn formatting_changes_no_rule() {
    let formatted = format(VALID_RULES);
    assert_eq!(
        parse(&formatted).expect("valid"),
        parse(VALID_RULES).expect("valid")
    );
    assert_eq!(format(&formatted), formatted);
    assert!(diff(VALID_RULES, &formatted).is_empty());
    assert_eq!(diff(VALID_RULES, "region lima # eve\n").len(), 7);
}

#[test]
fn debug_output_hides_key_digests() {
    let digest = KeyDigest::of(b"a key");
    assert!(!format!("{digest:?}").contains(&digest.to_string()));
}

#[rstest]
#[case::te_wa(
    include_str!("../../../examples/te-wa.rules"),
    include_str!("../../../examples/te-wa.list"),
    15
)]
#[case::cuota_marina(
    include_str!("../../../examples/cuota-marina.rules"),
    include_str!("../../../examples/cuota-marina.list"),
    21
)]
fn example_lists_match_their_rules(
    #[case] rules: &str,
    #[case] list: &str,
    #[case] upstreams: usize,
) {
    let rules = parse(rules).expect("valid");
    let list = list::parse(list).expect("valid");
    assert_eq!((list.instances.len(), list.upstreams.len()), (8, upstreams));
    assert_eq!(rules.customers.len(), 5);
    for instance in list.instances.values() {
        assert!(instance.slot < rules.domains[&instance.domain].slots);
    }
    for upstream in list.upstreams.values() {
        assert!(rules.domains.contains_key(&upstream.domain));
        assert!(rules.services.contains_key(&upstream.service));
    }
}

proptest! {
    #[test]
    fn parsers_never_panic_on_any_text(text in "\\PC{0,200}(\n\\PC{0,60}){0,5}") {
        let _ = parse(&text);
        let _ = list::parse(&text);
        let _ = format(&text);
    }

    #[test]
    fn parser_never_panics_on_an_inserted_character(
        offset in 0..VALID_RULES.len(),
        inserted in "\\PC",
    ) {
        let mut text = VALID_RULES.to_owned();
        if text.is_char_boundary(offset) {
            text.insert_str(offset, &inserted);
        }
        let _ = parse(&text);
    }

    #[test]
    fn delta_leads_from_any_revision_to_any_other(
        old in proptest::collection::vec("[a-d]{1,3}", 0..12),
        new in proptest::collection::vec("[a-d]{1,3}", 0..12),
    ) {
        let old = Document::new(1, &old.join("\n"));
        let new = Document::new(2, &new.join("\n"));
        let delta = new.delta_from(&old);
        prop_assert_eq!(Document::apply(Some(&old), 2, &delta, new.digest()), Ok(new.clone()));
        let whole = new.delta_from_empty();
        prop_assert_eq!(Document::apply(None, 2, &whole, new.digest()), Ok(new.clone()));
        if old.digest() != new.digest() {
            prop_assert!(Document::apply(Some(&old), 2, &delta, old.digest()).is_err());
        }
    }
}
