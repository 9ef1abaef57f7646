//! Tests of which requests are taken for the same one that comes again.

use sesamebarrow_routing::fingerprint::{self, Content};

const CONTENT: Content<'static> = Content {
    method: "GET",
    host: "host.example",
    path_and_query: "/status/7?of=1",
    customer: "rosa",
    body: b"",
};

/// Defines a test that a request that differs from [`CONTENT`] has another fingerprint.
macro_rules! distinct_test {
    ($($name:ident: $field:ident = $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let other = Content { $field: $value, ..CONTENT };
            assert_ne!(fingerprint::of_request(&other), fingerprint::of_request(&CONTENT));
        }
    )*};
}

distinct_test! {
    request_with_another_method_is_another_one: method = "POST";
    request_to_another_host_is_another_one: host = "other.example";
    request_to_another_path_is_another_one: path_and_query = "/status/8?of=1";
    request_with_another_query_is_another_one: path_and_query = "/status/7?of=2";
    request_of_another_customer_is_another_one: customer = "iker";
    request_with_another_body_is_another_one: body = b"1";
}

#[test]
fn host_is_compared_without_case() {
    let other = Content {
        host: "Host.EXAMPLE",
        ..CONTENT
    };
    let of_other = fingerprint::of_request(&other);
    assert_eq!(of_other, fingerprint::of_request(&CONTENT));
}

#[test]
fn bytes_that_move_from_one_field_to_the_next_make_another_request() {
    let moved = Content {
        customer: "ros",
        body: b"a",
        ..CONTENT
    };
    assert_ne!(
        fingerprint::of_request(&moved),
        fingerprint::of_request(&CONTENT)
    );
}
