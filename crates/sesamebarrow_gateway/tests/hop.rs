//! Tests of what an instance tells another one about a request that it refuses.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use sesamebarrow_gateway::hop::{self, RefusalKind};
use sesamebarrow_gateway::relay;
use sesamebarrow_gateway::reply::Refusal;
use sesamebarrow_platform::head;

#[test]
fn refusal_of_a_forwarded_request_names_its_attempt() {
    let mut response = Response::new(relay::full_body(Bytes::new()));
    hop::write_refusal(
        &mut response,
        Refusal::NotRun("overload", Duration::ZERO),
        "a",
    );
    let headers = response.headers();
    assert_eq!(hop::read_refusal_kind(headers), Some(RefusalKind::NotRun));
    assert!(head::names_attempt(headers, "a"));
    assert!(head::names_other_attempt(headers, "b"));
}
