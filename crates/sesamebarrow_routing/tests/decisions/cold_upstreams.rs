//! Tests that all instances together send only a few requests per second to a cold
//! upstream.

use std::time::Duration;

use sesamebarrow_routing::admit::{self, RequestSpec};
use sesamebarrow_routing::upstream::{AttemptOutcome, Entry};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

/// 3.7 per second times the rate factor of 1.5, plus the slack of 3, rounded down.
const MAX_SENDS_PER_S: usize = 8;

fn fleet() -> Fleet {
    Fleet::new(&[("a", 3), ("b", 1)], config(&[], vec![route("r", &[])]))
}

/// Publishes an upstream, cold for the time `cold`, to all instances.
fn publish(fleet: &mut Fleet, cold: Duration) {
    for index in 0..fleet.instances.len() {
        let process_time = fleet.process_time(index);
        let board = &mut fleet.instances[index].board;
        board.put_upstream(process_time, entry("up", "a", cold));
    }
}

/// Sends a request at each instance every 20 ms. Returns the times at which requests were
/// sent to the upstream.
fn send_requests(
    fleet: &mut Fleet,
    duration: Duration,
    reaches: impl Fn(usize, usize) -> bool,
) -> Vec<Duration> {
    let until = fleet.now + duration;
    let mut sent = Vec::new();
    while fleet.now < until {
        fleet.step(&reaches);
        fleet.step(&reaches);
        for index in 0..fleet.instances.len() {
            let process_time = fleet.process_time(index);
            let board = &mut fleet.instances[index].board;
            let request = RequestSpec {
                service: MODEL.into(),
                prompt_tokens: 500,
                target_wait: ms(2_000),
                ..RequestSpec::default()
            };
            if let Ok(selected) = admit::select_upstream(board, process_time, &request) {
                let (key, load) = (selected.key, selected.request_load);
                board.upstreams.start_attempt(process_time, key, load);
                sent.push(fleet.now);
            }
        }
    }
    sent
}

fn check_limit(sent: &[Duration]) {
    for start in sent {
        let within = sent
            .iter()
            .filter(|at| *at >= start && **at < *start + ms(1_000));
        let count = within.count();
        assert!(
            count <= MAX_SENDS_PER_S,
            "{count} requests in the second from {start:?}"
        );
    }
}

#[test]
fn sends_of_all_instances_stay_within_the_limit() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let sent = send_requests(&mut fleet, ms(5_000), |_, _| true);
    check_limit(&sent);
    assert!(
        sent.len() >= 8,
        "only {} requests sent to a cold upstream",
        sent.len()
    );
}

/// Regression test (run hunt-8bdc-11): after three instances restarted together, each
/// considered itself the owner of the upstream, and they sent ten requests within one
/// second.
#[test]
fn instances_that_restart_together_stay_within_the_limit() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let mut sent = send_requests(&mut fleet, ms(1_500), |_, _| true);
    (0..4).for_each(|index| fleet.restart(index));
    publish(&mut fleet, ms(60_000));
    sent.extend(send_requests(&mut fleet, ms(4_000), |_, _| true));
    check_limit(&sent);
}

#[test]
fn instances_that_cannot_reach_each_other_stay_within_the_limit() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, ms(60_000));
    let sent = send_requests(&mut fleet, ms(8_000), |from, to| from == to);
    check_limit(&sent);
}

#[test]
fn upstream_of_an_evacuated_domain_gets_no_requests_and_is_cold_afterwards() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    for index in 0..3 {
        let process_time = fleet.process_time(index);
        fleet.instances[index]
            .board
            .set_evacuated(process_time, "a", true);
    }
    let sent = send_requests(&mut fleet, ms(1_000), |_, _| true);
    assert!(sent.is_empty(), "requests were sent to an evacuated domain");
    for index in 0..3 {
        let process_time = fleet.process_time(index);
        fleet.instances[index]
            .board
            .set_evacuated(process_time, "a", false);
    }
    check_limit(&send_requests(&mut fleet, ms(2_000), |_, _| true));
}

/// Returns the requests sent to a cold upstream by a region of `count` instances of which `gone` have
/// been silent for a while. Those that are left send a request every 20 ms.
fn send_with_gone(count: usize, gone: usize, reaches_others: bool) -> Vec<Duration> {
    let mut fleet = Fleet::new(&[("a", count)], config(&[], vec![route("r", &[])]));
    fleet.advance(ms(6_000));
    publish(&mut fleet, ms(60_000));
    let reaches =
        |from: usize, to: usize| from == to || reaches_others && from >= gone && to >= gone;
    let until = fleet.now + ms(7_000);
    while fleet.now < until {
        fleet.step(reaches);
    }
    send_requests(&mut fleet, ms(3_000), reaches)
}

#[test]
fn instances_of_a_large_region_that_cannot_reach_each_other_stay_within_the_limit() {
    check_limit(&send_with_gone(65, 0, false));
}

#[test]
fn cold_upstream_is_warmed_while_one_instance_of_a_large_region_is_gone() {
    let sent = send_with_gone(65, 1, true);
    check_limit(&sent);
    assert!(sent.len() >= 3, "only {} requests sent", sent.len());
}

/// Time for which the upstreams of the fleet's service are cold.
const WARMUP: Duration = Duration::from_secs(3);

/// How instances find that an upstream does not answer.
#[derive(Clone, Copy, PartialEq)]
enum Failure {
    /// Its address refuses connections.
    Refused,
    /// Nothing is answered in time.
    Silent,
}

/// Sends a request at each instance of `senders` every 20 ms, while the upstream is down until `back_at` and the store
/// says nothing. Returns when requests reached it.
fn send_through_outage(
    fleet: &mut Fleet,
    senders: impl Fn(usize, Duration) -> bool,
    failure: Failure,
    back_at: Duration,
    until: Duration,
) -> Vec<Duration> {
    let mut reached = Vec::new();
    while fleet.now < until {
        fleet.step(|_, _| true);
        fleet.step(|_, _| true);
        for index in 0..fleet.instances.len() {
            let now = fleet.process_time(index);
            let board = &mut fleet.instances[index].board;
            for (key, ..) in board.take_probes(now) {
                if fleet.now >= back_at {
                    board.record_contact(now, key, now);
                } else if failure == Failure::Refused {
                    board.record_end(now, key);
                }
            }
            if !senders(index, fleet.now) {
                continue;
            }
            let request = RequestSpec {
                service: MODEL.into(),
                prompt_tokens: 500,
                target_wait: ms(2_000),
                ..RequestSpec::default()
            };
            let Ok(selected) = admit::select_upstream(board, now, &request) else {
                continue;
            };
            let (key, load) = (selected.key, selected.request_load);
            board.upstreams.start_attempt(now, key, load);
            let is_back = fleet.now >= back_at;
            if is_back {
                board.record_contact(now, key, now);
                reached.push(fleet.now);
            } else if failure == Failure::Refused {
                board.record_end(now, key);
            }
            let outcome = match is_back {
                true => AttemptOutcome::Whole,
                false => AttemptOutcome::Unreachable,
            };
            board
                .upstreams
                .finish_attempt(now, key, load, outcome, WARMUP);
        }
    }
    reached
}

/// Defines a test of an upstream that is down for a time and comes back cold at the same address, without a word from
/// the store.
macro_rules! return_test {
    ($($name:ident: $count:expr, $down:expr, $failure:expr, $senders:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(&[("a", $count)], config(&[], vec![route("r", &[])]));
            fleet.advance(ms(6_000));
            publish(&mut fleet, Duration::ZERO);
            let (down_at, back_at) = (fleet.now, fleet.now + ms($down));
            let senders = |index: usize, at: Duration| $senders(index, at.saturating_sub(down_at));
            let until = back_at + WARMUP;
            let cold = send_through_outage(&mut fleet, senders, $failure, back_at, until);
            check_limit(&cold);
            let later = until + ms(3_000);
            let warm = send_through_outage(&mut fleet, senders, $failure, back_at, later);
            assert!(warm.len() > 50, "only {} requests sent later", warm.len());
        }
    )*};
}

return_test! {
    upstream_that_is_back_while_it_still_counts_as_cold_is_not_overrun:
        3, 2_000, Failure::Refused, |_, _| true;
    upstream_that_is_back_long_after_its_end_is_not_overrun:
        3, 8_000, Failure::Refused, |_, _| true;
    upstream_that_was_silent_and_is_back_is_not_overrun:
        3, 4_000, Failure::Silent, |_, _| true;
    upstream_whose_end_only_one_instance_of_a_large_region_saw_is_not_overrun:
        65, 4_000, Failure::Refused, |index, at| index == 0 || at >= ms(3_900);
    upstream_whose_owner_has_no_requests_is_used_again:
        3, 4_000, Failure::Refused, |index, _| index == 1;
}

#[test]
fn upstream_that_never_failed_is_not_cold() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    let now = fleet.now;
    let sent = send_through_outage(
        &mut fleet,
        |_, _| true,
        Failure::Refused,
        now,
        now + ms(1_000),
    );
    assert!(sent.len() > 100, "only {} requests sent", sent.len());
}

/// What an upstream wrote before its end may arrive after it.
#[test]
fn entry_that_was_written_before_the_end_does_not_make_an_upstream_warm() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    let key = board.upstreams.key("up").expect("known");
    board.record_end(now, key);
    board.put_upstream(now, entry("up", "a", Duration::ZERO));
    assert!(board.upstreams.all[key].is_cold(now + ms(60_000)));
    let new_run = Entry {
        started_at_ms: Some(2),
        ..entry("up", "a", ms(1_000))
    };
    board.put_upstream(now + ms(60_000), new_run);
    assert!(board.upstreams.all[key].is_cold(now + ms(62_900)));
    assert!(!board.upstreams.all[key].is_cold(now + ms(63_100)));
}

/// News of an end may be of the run before.
#[test]
fn late_news_of_an_end_do_not_concern_the_new_run() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    let now = fleet.process_time(1);
    let other = &mut fleet.instances[1].board;
    let key = other.upstreams.key("up").expect("known");
    other.record_end(now, key);
    let ip = fleet.instances[0].board.identity.ip;
    let other = &mut fleet.instances[1].board;
    let mut news = other.begin_gossip_round(now);
    other.complete_datagram(now, &mut news, ip);
    let at = fleet.process_time(0) + ms(500);
    let new_run = Entry {
        started_at_ms: Some(2),
        ..entry("up", "a", ms(1_000))
    };
    let board = &mut fleet.instances[0].board;
    board.put_upstream(at, new_run);
    news.absences[0].ended_age_ms = Some(600);
    board.handle_datagram(at + ms(100), Duration::ZERO, &news);
    let key = board.upstreams.key("up").expect("known");
    assert!(!board.upstreams.all[key].is_cold(at + ms(3_100)));
}

/// The entry of an upstream lapses while it is down. Its new run may be published before it says that it is cold.
#[test]
fn new_run_of_an_upstream_whose_entry_had_lapsed_is_cold() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    board.remove_upstream(now, "up");
    let new_run = Entry {
        started_at_ms: Some(2),
        ..entry("up", "a", Duration::ZERO)
    };
    board.put_upstream(now, new_run);
    let key = board.upstreams.key("up").expect("known");
    assert!(board.upstreams.all[key].is_cold(now + ms(2_900)));
}

/// An answer that was on its way when the process ended shows nothing of its return.
#[test]
fn late_answer_of_an_ended_process_is_no_return() {
    let mut fleet = fleet();
    fleet.advance(ms(4_000));
    publish(&mut fleet, Duration::ZERO);
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    let key = board.upstreams.key("up").expect("known");
    board.record_end(now, key);
    board.record_contact(now + ms(5), key, now - ms(10));
    assert!(board.upstreams.all[key].is_cold(now + ms(60_000)));
}
