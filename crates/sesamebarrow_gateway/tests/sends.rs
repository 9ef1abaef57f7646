//! Tests of when a caller is told that its request has not run.

use std::time::Duration;

use hyper::StatusCode;
use sesamebarrow_gateway::reply::Refusal;
use sesamebarrow_gateway::sends::{Evidence, Sends};

const OVERLOAD: Refusal = Refusal::NotRun("overload", Duration::ZERO);

/// Returns sends of which each was withdrawn with the given evidence, or may have run.
fn sends(list: &[Option<Evidence>]) -> Sends {
    let mut sends = Sends::default();
    for evidence in list {
        sends.record();
        if let Some(evidence) = evidence {
            sends.withdraw(*evidence);
        }
    }
    sends
}

/// Defines a test of the status of a refusal after some sends.
macro_rules! refusal_after_test {
    ($($name:ident: $refusal:expr, $sends:expr, $status:ident;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($refusal.after(&sends(&$sends)).status(), StatusCode::$status);
        }
    )*};
}

refusal_after_test! {
    request_that_was_not_sent_has_not_run: OVERLOAD, [], SERVICE_UNAVAILABLE;
    request_whose_sends_were_all_withdrawn_has_not_run:
        OVERLOAD, [Some(Evidence::NotWritten), Some(Evidence::NamedRefusal)], SERVICE_UNAVAILABLE;
    request_whose_last_send_may_have_run_is_promised_nothing:
        OVERLOAD, [Some(Evidence::RefusedThere), None], BAD_GATEWAY;
    request_whose_first_send_may_have_run_is_promised_nothing:
        OVERLOAD, [None, Some(Evidence::NamedRefusal)], BAD_GATEWAY;
    rate_promises_nothing_after_a_send: Refusal::Rate(Duration::ZERO), [None], BAD_GATEWAY;
    stop_promises_nothing_after_a_send: Refusal::Stopping, [None], BAD_GATEWAY;
    quarantine_promises_nothing_after_a_send: Refusal::Harmful, [None], BAD_GATEWAY;
    timeout_stays_a_timeout: Refusal::TimedOut, [None], GATEWAY_TIMEOUT;
}

#[test]
fn evidence_is_named_in_the_order_of_the_sends() {
    let sends = sends(&[
        Some(Evidence::NamedRefusal),
        None,
        Some(Evidence::RefusedThere),
    ]);
    assert_eq!(sends.evidence(), "named-refusal,refused-there");
    assert_eq!(sends.weakest_evidence(), "refused-there");
    assert_eq!(sends.possible_runs(), 1);
    assert_eq!(Sends::default().weakest_evidence(), "unsent");
}
