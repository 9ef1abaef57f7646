//! Tests which requests a draining instance accepts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::drain::{self, Schedule, StreamDurations};
use sesamebarrow_routing::gossip::Datagram;
use smol_str::SmolStr;

use crate::fleet::{Fleet, config, ms, route};

const SCHEDULE: Schedule = Schedule {
    notice: Duration::from_millis(3_200),
    limit: Duration::from_millis(7_700),
};

/// Defines a test for the time since the start of the shutdown, the maximum duration of the
/// request, and whether it is accepted.
macro_rules! drain_test {
    ($name:ident, $draining_for:expr, $max_duration:expr, $accepted:expr) => {
        #[test]
        fn $name() {
            let accepted = drain::accepts(SCHEDULE, ms($draining_for), ms($max_duration));
            assert_eq!(accepted, $accepted);
        }
    };
}

drain_test!(
    long_request_is_accepted_during_the_notice,
    2_850,
    12_000,
    true
);
drain_test!(
    long_request_at_the_end_of_the_notice_is_refused,
    3_020,
    6_000,
    false
);
drain_test!(
    request_at_the_end_of_the_notice_that_ends_in_time_is_accepted,
    3_020,
    4_600,
    true
);
drain_test!(request_that_ends_in_time_is_accepted, 5_000, 2_000, true);
drain_test!(request_that_may_be_cut_off_is_refused, 5_800, 2_000, false);
// Regression test (run hunt-bed8-3): taken 25 ms before the end, it was cut off.
drain_test!(request_just_before_the_end_is_refused, 7_675, 2_000, false);

#[test]
fn duration_of_a_stream_is_expected_by_its_route_and_tokens() {
    let mut durations = StreamDurations::default();
    let route = SmolStr::new("summary");
    assert_eq!(durations.expected(&route, 100), None);
    for _ in 0..50 {
        durations.record(&route, ms(2_000), 100);
    }
    let expected = |tokens| {
        durations
            .expected(&route, tokens)
            .expect("streams were complete")
    };
    // All took the same time.
    assert!((ms(2_000)..ms(2_100)).contains(&expected(100)));
    assert!((ms(4_000)..ms(4_200)).contains(&expected(200)));
    assert_eq!(durations.expected("other", 100), None);
}

#[test]
fn few_streams_take_longer_than_expected_if_their_lengths_are_only_estimated() {
    let mut durations = StreamDurations::default();
    let route = SmolStr::new("summary");
    let mut rng = StdRng::seed_from_u64(1);
    let mut longer = 0;
    for _ in 0..2_000 {
        // A length that is right at the median and often far off.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let took = ms(2_000).mul_f64((0.5 * normal).exp());
        let expected = durations.expected(&route, 100);
        longer += u32::from(expected.is_some_and(|e| took > e));
        durations.record(&route, took, 100);
    }
    assert!(longer < 100, "{longer} of 2,000 took longer");
}

#[test]
fn durations_on_removed_routes_are_forgotten() {
    let routes = vec![route("kept", &[]), route("removed", &[])];
    let mut fleet = Fleet::new(&[("a", 1)], config(&[], routes));
    let board = &mut fleet.instances[0].board;
    for name in ["kept", "removed"] {
        let route = SmolStr::new(name);
        board.stream_durations.record(&route, ms(2_000), 100);
    }
    let mut next = config(&[], vec![route("kept", &[])]);
    next.version = 2;
    assert!(board.apply_config(ms(0), next));
    assert!(board.stream_durations.expected("kept", 100).is_some());
    assert!(board.stream_durations.expected("removed", 100).is_none());
}

#[test]
fn stated_tokens_without_bound_give_a_long_duration_or_none() {
    let mut durations = StreamDurations::default();
    let route = SmolStr::new("summary");
    durations.record(&route, Duration::MAX, 0);
    let expected = durations.expected(&route, u64::MAX);
    assert!(expected.is_none_or(|e| e > ms(60_000)));
}

/// Time after the start of a stop by which other instances must know of it: the notice, in which requests that come
/// anyway are still taken.
const KNOWN_WITHIN: Duration = SCHEDULE.notice;

/// Returns how many running instances take the one at `draining` for ready.
fn believers(fleet: &Fleet, draining: usize) -> usize {
    let name = &fleet.instances[draining].board.identity.name;
    let takes_for_ready = |index: &usize| {
        let now = fleet.process_time(*index);
        let members = &fleet.instances[*index].board.members;
        members.ready(now).any(|m| m.record.name == name.as_str())
    };
    let others = (0..fleet.instances.len()).filter(|index| *index != draining);
    others.filter(takes_for_ready).count()
}

/// Defines a test of a fleet of three times `$count` instances, of which `$at_once` begin to stop in each of
/// `$seconds`.
macro_rules! news_test {
    ($name:ident, $count:expr, $at_once:expr, $seconds:expr) => {
        #[test]
        fn $name() {
            let domains = [("a", $count), ("b", $count), ("c", $count)];
            let mut fleet = Fleet::new(&domains, config(&[], vec![route("r", &[])]));
            fleet.advance(ms(8_000));
            let mut stops = Vec::new();
            let mut late = Vec::new();
            for tenth in 0..($seconds * 10 + 33) {
                if tenth % 10 == 0 && tenth < $seconds * 10 {
                    for _ in 0..$at_once {
                        // Apart in all regions, and none twice.
                        let index = stops.len() * 7 % (3 * $count);
                        let now = fleet.process_time(index);
                        fleet.instances[index].board.draining_since = Some(now);
                        stops.push((index, fleet.now));
                    }
                }
                fleet.advance(ms(100));
                for (index, at) in &stops {
                    if fleet.now - *at == KNOWN_WITHIN {
                        late.push(believers(&fleet, *index));
                    }
                }
            }
            assert_eq!(late.iter().sum::<usize>(), 0, "{late:?}");
        }
    };
}

news_test!(
    all_of_18_instances_know_of_a_stop_within_the_notice,
    6,
    1,
    1
);
news_test!(
    all_of_120_instances_know_of_a_stop_within_the_notice,
    40,
    1,
    1
);
news_test!(
    all_of_351_instances_know_of_a_stop_within_the_notice,
    117,
    1,
    1
);
news_test!(all_of_120_instances_know_of_stops_in_series, 40, 6, 4);

#[test]
fn late_refusal_of_an_ended_run_does_not_keep_its_restarted_instance_out() {
    let domains = [("a", 3), ("b", 3)];
    let mut fleet = Fleet::new(&domains, config(&[], vec![route("r", &[])]));
    fleet.advance(ms(4_000));
    fleet.restart(0);
    fleet.advance(ms(4_000));
    // The answer of the run before arrives only now.
    let name = fleet.instances[0].board.identity.name.clone();
    let now = fleet.process_time(1);
    let members = &mut fleet.instances[1].board.members;
    members.record_stopping(now, &name);
    fleet.advance(ms(10_000));
    assert_eq!(believers(&fleet, 0), 5);
}

fn fleet_of_six() -> Fleet {
    let domains = [("a", 3), ("b", 3)];
    let mut fleet = Fleet::new(&domains, config(&[], vec![route("r", &[])]));
    fleet.advance(ms(8_000));
    fleet
}

fn start_to_drain(fleet: &mut Fleet, index: usize) {
    let now = fleet.process_time(index);
    fleet.instances[index].board.draining_since = Some(now);
}

/// Returns a datagram that the instance at `from` writes now.
fn datagram_of(fleet: &mut Fleet, from: usize) -> Datagram {
    let now = fleet.process_time(from);
    let to = fleet.instances[from + 1].board.identity.ip;
    let board = &mut fleet.instances[from].board;
    let mut datagram = board.begin_gossip_round(now);
    board.complete_datagram(now, &mut datagram, to);
    datagram
}

#[test]
fn stop_before_the_start_of_a_process_is_not_told_as_a_new_one() {
    let mut fleet = fleet_of_six();
    start_to_drain(&mut fleet, 0);
    fleet.advance(ms(6_000));
    fleet.restart(1);
    fleet.advance(ms(1_000));
    let (name, now) = (
        fleet.instances[0].board.identity.name.clone(),
        fleet.process_time(1),
    );
    let member = &fleet.instances[1].board.members.all[&name];
    let draining = member.draining_for(now);
    assert!(draining >= Some(ms(6_500)), "draining for {draining:?}");
    assert_eq!(datagram_of(&mut fleet, 1).recent_stops, None);
}

/// Defines a test of a datagram that the instance at 1 writes after `$before`, and that all others read after `$after`;
/// `$believers` of five then take the instance at 0 for ready, and know its newest run.
macro_rules! late_datagram_test {
    ($($name:ident: $before:expr, $after:expr, $believers:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = fleet_of_six();
            let (before, after): (fn(&mut Fleet), fn(&mut Fleet)) = ($before, $after);
            before(&mut fleet);
            let (datagram, written_at) = (datagram_of(&mut fleet, 1), fleet.now);
            let transitions = (&datagram.recent_stops, &datagram.recent_starts);
            assert!(transitions != (&None, &None), "the datagram names no transition");
            after(&mut fleet);
            assert_eq!(believers(&fleet, 0), $believers);
            let waited = fleet.now - written_at;
            let newest = fleet.instances[0].board.identity.clone();
            for index in 2..6 {
                let now = fleet.process_time(index);
                let board = &mut fleet.instances[index].board;
                board.handle_datagram(now, waited, &datagram);
                let known = &board.members.all[&newest.name].record;
                assert_eq!(known.incarnation, newest.incarnation);
            }
            assert_eq!(believers(&fleet, 0), $believers);
        }
    )*};
}

late_datagram_test! {
    late_news_of_a_stop_do_not_take_a_restarted_instance_out:
        |fleet| { start_to_drain(fleet, 0); fleet.advance(ms(1_000)); },
        |fleet| { fleet.advance(ms(3_000)); fleet.restart(0); fleet.advance(ms(3_000)); },
        5;
    late_news_of_a_start_do_not_bring_a_stopping_instance_back:
        |fleet| { fleet.restart(0); fleet.advance(ms(2_000)); },
        |fleet| { start_to_drain(fleet, 0); fleet.advance(ms(1_000)); },
        0;
}

/// Defines a test of a fleet of three times `$count` instances, of which `$at_once` start again in each of `$seconds`
/// after their stops.
macro_rules! restart_test {
    ($name:ident, $count:expr, $at_once:expr, $seconds:expr) => {
        #[test]
        fn $name() {
            let domains = [("a", $count), ("b", $count), ("c", $count)];
            let mut fleet = Fleet::new(&domains, config(&[], vec![route("r", &[])]));
            fleet.advance(ms(8_000));
            let stopped: Vec<usize> = (0..$at_once * $seconds)
                .map(|n| n * 7 % (3 * $count))
                .collect();
            let mut unaware = Vec::new();
            let restart_tenth = |n: usize| n / $at_once * 10 + 80;
            for tenth in 0..restart_tenth(stopped.len()) + 90 {
                for (n, index) in stopped.iter().enumerate() {
                    if tenth + 80 == restart_tenth(n) {
                        let now = fleet.process_time(*index);
                        fleet.instances[*index].board.draining_since = Some(now);
                    }
                    if tenth == restart_tenth(n) {
                        fleet.restart(*index);
                    }
                    if tenth == restart_tenth(n) + 50 {
                        unaware.push(3 * $count - 1 - believers(&fleet, *index));
                    }
                }
                fleet.advance(ms(100));
            }
            assert_eq!(unaware.iter().sum::<usize>(), 0, "{unaware:?}");
        }
    };
}

restart_test!(
    all_of_120_instances_know_of_a_restart_within_five_seconds,
    40,
    1,
    1
);
restart_test!(all_of_120_instances_know_of_restarts_in_series, 40, 6, 4);
restart_test!(
    all_of_351_instances_know_of_a_restart_within_five_seconds,
    117,
    1,
    1
);
