//! Tests of upstreams that refuse requests for want of capacity, or since another upstream is at their address.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_routing::admit::{self, Rejection, RequestSpec, SelectedUpstream};
use sesamebarrow_routing::availability::{Change, Notice};
use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::refusal::Refusals;
use sesamebarrow_routing::upstream::{AttemptOutcome, Entry, Key};
use sesamebarrow_routing::{Board, Config};

use crate::fleet::{Fleet, MODEL, config, entry, ms, parameters, route};

const START: Duration = Duration::from_secs(10);

/// Time in which an upstream refuses a request.
const REFUSAL_TIME: Duration = Duration::from_millis(1);

/// Time for which an upstream works on a request.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Requests that an upstream runs at once.
const SLOTS: usize = 16;

/// Requests that an upstream queues.
const QUEUE: usize = 4;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;

fn up(number: usize) -> Entry {
    Entry {
        slots: 16,
        ..entry(&format!("up-{number}"), "a", Duration::ZERO)
    }
}

/// Returns a configuration whose service has no engine.
fn config_without_engine() -> Config {
    let mut config = config(&[], vec![route("r", &[])]);
    for service in config.services.values_mut() {
        service.engine = None;
    }
    config
}

/// Returns the boards of `instances` instances that know `upstreams` warm upstreams, and hear nothing of each other.
fn boards(instances: usize, upstreams: usize, config: &Config) -> Vec<Board> {
    let fleet = Fleet::new(&[("a", instances)], config.clone());
    let mut boards: Vec<Board> = fleet.instances.into_iter().map(|i| i.board).collect();
    for board in &mut boards {
        (0..upstreams).for_each(|number| board.put_upstream(Duration::ZERO, up(number)));
        let expects_others = instances > 1;
        board.set_parameters(Parameters {
            expects_others,
            ..parameters()
        });
    }
    boards
}

fn board(upstreams: usize) -> Board {
    boards(1, upstreams, &config_without_engine()).remove(0)
}

fn board_with_engine(upstreams: usize) -> Board {
    boards(1, upstreams, &config(&[], vec![route("r", &[])])).remove(0)
}

fn request(prompt_tokens: u64) -> RequestSpec {
    RequestSpec {
        service: MODEL.into(),
        prompt_tokens,
        output_tokens: 60,
        target_wait: ms(800),
        ..RequestSpec::default()
    }
}

fn key(board: &Board, number: usize) -> Key {
    let key = board.upstreams.key(&up(number).id);
    key.expect("the upstream is known")
}

fn send(
    board: &mut Board,
    now: Duration,
    request: &RequestSpec,
) -> Result<SelectedUpstream, Rejection> {
    let selected = admit::select_upstream(board, now, request)?;
    let load = selected.request_load;
    board.upstreams.start_attempt(now, selected.key, load);
    Ok(selected)
}

fn finish(
    board: &mut Board,
    now: Duration,
    selected: &SelectedUpstream,
    outcome: AttemptOutcome,
) -> Option<Change> {
    let (key, load) = (selected.key, selected.request_load);
    board
        .upstreams
        .finish_attempt(now, key, load, outcome, Duration::from_secs(3))
}

/// Sends a request and has it end with `outcome` at once. Returns its upstream.
fn attempt(board: &mut Board, now: Duration, tokens: u64, outcome: AttemptOutcome) -> Key {
    let selected = send(board, now, &request(tokens)).expect("an upstream is chosen");
    finish(board, now, &selected, outcome);
    selected.key
}

/// An upstream of a play.
#[derive(Clone, Debug, Default)]
struct PlayedUpstream {
    /// Ends of the requests that it runs or queues, in order.
    ends: Vec<Duration>,
    /// Number of requests that it was sent.
    received: usize,
    /// Number of requests that it served, by the number of the window.
    served_by_window: BTreeMap<u128, usize>,
    refused: usize,
}

/// Which requests an upstream refuses whatever its load, by the time, its number and the number of requests before.
type Refuses = fn(Duration, usize, usize) -> bool;

/// Length of the windows in which served requests are counted.
const WINDOW: Duration = Duration::from_millis(500);

/// What a play showed.
struct Outcome {
    upstreams: Vec<PlayedUpstream>,
    /// Requests sent from the second second on, and how many of them were served.
    sent: usize,
    served: usize,
}

/// What happens to an attempt of a play.
struct Pending {
    at: Duration,
    instance: usize,
    selected: SelectedUpstream,
    upstream: usize,
    outcome: AttemptOutcome,
    request: RequestSpec,
    counts: bool,
}

/// Plays `seconds` of requests at `rate` a second, which the instances get by turns.
fn play(
    boards: &mut [Board],
    upstreams: usize,
    rate: u32,
    seconds: u64,
    work_time: Duration,
    refuses: Refuses,
) -> Outcome {
    let instances = boards.len();
    let mut played = vec![PlayedUpstream::default(); upstreams];
    let mut pending: Vec<Pending> = Vec::new();
    let (mut sent, mut served, mut arrivals) = (0, 0, 0u32);
    for step in 0..seconds * 1_000 {
        let now = START + ms(step);
        let mut begun = Vec::new();
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|p| p.at <= now);
        pending = later;
        for p in due {
            let board = &mut boards[p.instance];
            finish(board, now, &p.selected, p.outcome);
            if p.outcome == AttemptOutcome::Whole {
                served += usize::from(p.counts);
                let window = (now - START).as_millis() / WINDOW.as_millis();
                *played[p.upstream]
                    .served_by_window
                    .entry(window)
                    .or_default() += 1;
                continue;
            }
            let mut request = p.request;
            request.tried_upstreams.push(p.selected.key);
            let may_retry = request.tried_upstreams.len() < MAX_ATTEMPTS;
            if may_retry && board.budget.try_spend(now, &MODEL.into(), instances, 0.5) {
                begun.push((p.instance, request, p.counts));
            }
        }
        // CAST: the number of milliseconds is small.
        while u64::from(arrivals) * 1_000 < step * u64::from(rate) {
            let instance = arrivals as usize % boards.len();
            arrivals += 1;
            let counts = step >= 1_000 && step < seconds * 1_000 - 500;
            sent += usize::from(counts);
            boards[instance]
                .budget
                .record_first_attempt(now, &MODEL.into(), instances);
            begun.push((instance, request(500), counts));
        }
        for (instance, request, counts) in begun {
            let board = &mut boards[instance];
            let Ok(selected) = send(board, now, &request) else {
                continue;
            };
            let number = (0..upstreams)
                .find(|n| selected.id == up(*n).id)
                .expect("the upstream is known");
            let upstream = &mut played[number];
            upstream.ends.retain(|end| *end > now);
            let is_refused = refuses(now - START, number, upstream.received)
                || upstream.ends.len() >= SLOTS + QUEUE;
            upstream.received += 1;
            let (outcome, at) = if is_refused {
                upstream.refused += 1;
                (AttemptOutcome::Refused, now + REFUSAL_TIME)
            } else {
                let running = upstream.ends.len();
                let begins = match running >= SLOTS {
                    true => upstream.ends[running - SLOTS],
                    false => now,
                };
                upstream.ends.push(begins + work_time);
                (AttemptOutcome::Whole, begins + work_time)
            };
            pending.push(Pending {
                at,
                instance,
                selected,
                upstream: number,
                outcome,
                request,
                counts,
            });
        }
    }
    Outcome {
        upstreams: played,
        sent,
        served,
    }
}

/// Defines a test that nearly all requests are served though upstream 0 refuses some whatever its load.
macro_rules! refusing_upstream_test {
    ($($name:ident: $instances:expr, $upstreams:expr, $refuses:expr;)*) => {$(
        mod $name {
            use super::*;

            fn check(config: &Config) {
                let mut boards = boards($instances, $upstreams, config);
                let outcome = play(&mut boards, $upstreams, 200, 6, WORK_TIME, $refuses);
                let in_vain = outcome.upstreams[0].refused;
                let (served, sent) = (outcome.served, outcome.sent);
                println!("served {served} of {sent}, {in_vain} in vain");
                assert!(served * 100 >= sent * 95, "served {served} of {sent}, {in_vain} in vain");
                assert!(in_vain <= 15 * $instances, "{in_vain} in vain of {sent}");
            }

            #[test]
            fn without_engine() {
                check(&config_without_engine());
            }

            #[test]
            fn with_engine() {
                check(&config(&[], vec![route("r", &[])]));
            }
        }
    )*};
}

refusing_upstream_test! {
    one_of_two_refuses_all: 1, 2, |_, number, _| number == 0;
    one_of_four_refuses_all: 1, 4, |_, number, _| number == 0;
    one_of_two_refuses_all_at_six_instances: 6, 2, |_, number, _| number == 0;
    three_of_four_refuse_all: 1, 4, |_, number, _| number < 3;
    one_of_two_refuses_every_other: 1, 2, |_, number, before| number == 0 && before % 2 == 0;
    one_of_four_refuses_every_other: 1, 4, |_, number, before| number == 0 && before % 2 == 0;
}

/// Plays a load of three upstreams, in percent of their capacity, and checks what they serve in each window, in percent
/// of theirs.
fn check_overload(instances: usize, load_percent: u32, min_percent: usize) {
    let capacity_per_second = 3 * SLOTS * 1_000 / 40;
    let rate = u32::try_from(capacity_per_second).expect("small") * load_percent / 100;
    let mut boards = boards(instances, 3, &config_without_engine());
    let outcome = play(&mut boards, 3, rate, 6, WORK_TIME, |_, _, _| false);
    let expected_percent = usize::try_from(load_percent.min(100)).expect("small");
    let per_window = capacity_per_second / 3 / 2 * expected_percent / 100;
    println!("served {} of {}", outcome.served, outcome.sent);
    for (number, upstream) in outcome.upstreams.iter().enumerate() {
        println!(
            "{number}: {} received, {} refused",
            upstream.received, upstream.refused
        );
        let windows: Vec<usize> = (2..11)
            .map(|w| {
                upstream
                    .served_by_window
                    .get(&w)
                    .copied()
                    .unwrap_or_default()
            })
            .collect();
        let min = windows.iter().min().copied().unwrap_or_default();
        assert!(
            min * 100 >= per_window * min_percent,
            "upstream {number} served {windows:?} of {per_window}, {} refused",
            upstream.refused
        );
    }
}

/// Defines a test that upstreams that are truly overloaded keep serving, all of them and at all times.
macro_rules! overload_test {
    ($($name:ident: $instances:expr, $load_percent:expr, $min_percent:expr;)*) => {$(
        #[test]
        fn $name() {
            check_overload($instances, $load_percent, $min_percent);
        }
    )*};
}

overload_test! {
    upstreams_near_their_capacity_share_the_load: 1, 95, 90;
    overloaded_upstreams_serve_all_the_while: 1, 150, 95;
    overloaded_upstreams_of_six_instances_serve_all_the_while: 6, 150, 95;
    heavily_overloaded_upstreams_serve_all_the_while: 6, 400, 95;
}

#[test]
fn upstreams_that_each_refuse_some_requests_in_a_row_share_the_load() {
    let mut boards = boards(1, 3, &config_without_engine());
    let outcome = play(&mut boards, 3, 960, 10, WORK_TIME, |_, number, before| {
        (before + number * 7) % 24 < 3
    });
    let (served, sent) = (outcome.served, outcome.sent);
    println!("served {served} of {sent}");
    assert!(served * 100 >= sent * 95, "served {served} of {sent}");
    for (number, upstream) in outcome.upstreams.iter().enumerate() {
        let windows = upstream.served_by_window.range(2..18);
        let min = windows.map(|(_, served)| *served).min().unwrap_or_default();
        println!(
            "{number}: {} refused, {min} of 160 in its worst window",
            upstream.refused
        );
        assert!(min >= 100, "upstream {number} served {min} of 160");
    }
}

/// Plays a load of long streams at three upstreams, in percent of their capacity. Checks how much of their capacity they
/// use while all are full.
fn check_overload_by_streams(instances: usize, config: &Config, load_percent: u32) {
    let stream_time = Duration::from_secs(4);
    let slots = 3 * u32::try_from(SLOTS).expect("small");
    let mut boards = boards(instances, 3, config);
    let rate = slots / 4 * load_percent / 100;
    let outcome = play(&mut boards, 3, rate, 40, stream_time, |_, _, _| false);
    for (number, upstream) in outcome.upstreams.iter().enumerate() {
        // All windows from the end of the first streams on.
        let windows = upstream.served_by_window.range(16..80);
        let served: usize = windows.map(|(_, served)| *served).sum();
        let capacity = SLOTS * 32 / 4;
        println!(
            "{number}: served {served} of {capacity}, {} refused",
            upstream.refused
        );
        assert!(
            served * 100 >= capacity * 95,
            "upstream {number} served {served} of {capacity}, {} refused",
            upstream.refused
        );
    }
}

/// Defines a test that upstreams that are truly overloaded by long streams keep serving, all of them.
macro_rules! overload_by_streams_test {
    ($($name:ident: $instances:expr, $load_percent:expr;)*) => {$(
        mod $name {
            use super::*;

            #[test]
            fn without_engine() {
                check_overload_by_streams($instances, &config_without_engine(), $load_percent);
            }

            #[test]
            fn with_engine() {
                let config = config(&[], vec![route("r", &[])]);
                check_overload_by_streams($instances, &config, $load_percent);
            }
        }
    )*};
}

overload_by_streams_test! {
    streams_beyond_capacity_are_served_all_the_while: 1, 150;
    streams_beyond_capacity_of_six_instances_are_served_all_the_while: 6, 150;
    streams_far_beyond_capacity_of_six_instances_are_served_all_the_while: 6, 400;
}

#[test]
fn upstream_that_ends_to_refuse_gets_one_request_then_two() {
    let mut board = board(2);
    let refusing = key(&board, 0);
    for number in 0..4 {
        let now = START + ms(number);
        let selected = send(&mut board, now, &request(500)).expect("chosen");
        let outcome = match selected.key == refusing {
            true => AttemptOutcome::Refused,
            false => AttemptOutcome::Whole,
        };
        finish(&mut board, now, &selected, outcome);
    }
    // Most of a second later the estimate has fallen. Five requests are sent at once.
    let mut now = START + Duration::from_secs(3);
    for expected in [1, 2, 4] {
        let sent: Vec<_> = (0..12)
            .filter_map(|_| send(&mut board, now, &request(500)).ok())
            .collect();
        let there = sent.iter().filter(|s| s.key == refusing).count();
        assert!(
            (1..=expected).contains(&there),
            "{there} sent, not {expected}"
        );
        now += ms(40);
        for selected in &sent {
            let is_first = sent.iter().find(|s| s.key == refusing) == Some(selected);
            let outcome = match selected.key == refusing && !is_first {
                true => AttemptOutcome::Cancelled,
                false => AttemptOutcome::Whole,
            };
            finish(&mut board, now, selected, outcome);
        }
    }
}

#[test]
fn upstream_that_ends_to_refuse_is_found_again() {
    let mut boards = boards(1, 2, &config_without_engine());
    let outcome = play(&mut boards, 2, 200, 20, WORK_TIME, |at, number, _| {
        number == 0 && at < Duration::from_secs(4)
    });
    let windows = &outcome.upstreams[0].served_by_window;
    let after: usize = windows
        .iter()
        .filter(|(w, _)| **w >= 30)
        .map(|(_, n)| *n)
        .sum();
    // The last five seconds, of which it should serve half.
    assert!(
        after >= 350,
        "served {after} of 1000 in the last five seconds"
    );
}

#[test]
fn upstream_that_refuses_large_requests_is_sent_small_ones() {
    let mut board = board_with_engine(2);
    let refusing = attempt(&mut board, START, 9_000, AttemptOutcome::Refused);
    let now = START + ms(1);
    assert_ne!(
        attempt(&mut board, now, 9_000, AttemptOutcome::Whole),
        refusing
    );
    let load = board.upstreams.all[refusing].availability.refusals.clone();
    assert!(load.level(now, 0, 9_060) > 0.9);
    assert!(load.level(now, 0, 560) < 0.1);
    // An answer to a small request says nothing about large ones.
    let availability = &mut board.upstreams.all[refusing].availability;
    availability.observe_capacity(now, AttemptOutcome::Whole, 0, 560);
    assert!(availability.refusals.level(now, 0, 9_060) > 0.9);
    availability.observe_capacity(now, AttemptOutcome::Whole, 0, 9_060);
    assert!(availability.refusals.level(now, 0, 9_060) < 0.9);
}

#[test]
fn last_upstream_is_sent_requests_though_it_refuses() {
    let mut board = board(1);
    for number in 0..100 {
        attempt(&mut board, START + ms(number), 500, AttemptOutcome::Refused);
    }
    let selected = send(&mut board, START + ms(100), &request(500)).expect("chosen");
    assert!(
        selected.refusal_wait > ms(400),
        "{:?}",
        selected.refusal_wait
    );
}

#[test]
fn region_states_no_room_of_an_upstream_that_refuses_beside_another() {
    let mut board = board(2);
    let before = admit::region_load(&board, START, &MODEL.into());
    attempt(&mut board, START, 500, AttemptOutcome::Refused);
    let after = admit::region_load(&board, START, &MODEL.into());
    assert_eq!(after.room, before.room / 2);
    assert_eq!(after.usable_upstreams, 1);
    assert_eq!(after.wait, before.wait);
}

#[test]
fn region_whose_only_upstream_refuses_states_room_for_one() {
    let mut board = board(1);
    attempt(&mut board, START, 500, AttemptOutcome::Refused);
    let load = admit::region_load(&board, START, &MODEL.into());
    assert_eq!((load.room, load.usable_upstreams), (1, 1));
    assert!(load.wait > ms(400), "{:?}", load.wait);
}

#[test]
fn refusals_of_requests_sent_together_are_one_observation() {
    let (mut once, mut often) = (Refusals::default(), Refusals::default());
    once.observe_refusal(START, 0, 0);
    for number in 0..20 {
        often.observe_refusal(START + ms(number), 0, 0);
    }
    let now = START + ms(500);
    let (once, often) = (once.level(now, 0, 0), often.level(now, 0, 0));
    assert!((once - often).abs() < 0.02, "{once} and {often}");
}

#[test]
fn refusals_in_a_row_are_believed_longer() {
    let mut refusals = Refusals::default();
    let level_after_a_second = |refusals: &mut Refusals, now: Duration| {
        refusals.observe_refusal(now, 0, 0);
        refusals.level(now + Duration::from_secs(1), 0, 0)
    };
    let first = level_after_a_second(&mut refusals, START);
    let second = level_after_a_second(&mut refusals, START + Duration::from_secs(2));
    assert!(first < 0.05 && second > first, "{first}, {second}");
}

#[test]
fn stream_that_has_begun_makes_room_for_one_more() {
    let mut board = board_with_engine(1);
    let only = attempt(&mut board, START, 500, AttemptOutcome::Refused);
    let mut now = START + Duration::from_secs(5);
    for in_progress in 1..6 {
        let stream = send(&mut board, now, &request(500)).expect("chosen");
        let level = |board: &Board| {
            let upstream = &board.upstreams.all[only];
            let refusals = &upstream.availability.refusals;
            refusals.level(now, upstream.in_progress, 560)
        };
        assert_eq!(level(&board), 1.0, "{in_progress} in progress");
        let load = stream.request_load;
        board.upstreams.record_prefill_done(only, load);
        assert!(level(&board) < 0.1, "{in_progress} in progress");
        now += ms(100);
    }
}

/// Defines a test that the end of an attempt does not make an upstream count as full.
macro_rules! no_evidence_test {
    ($($name:ident: $outcome:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut board = board(1);
            let only = attempt(&mut board, START, 500, $outcome);
            let refusals = &board.upstreams.all[only].availability.refusals;
            assert_eq!(*refusals, Refusals::default());
        }
    )*};
}

no_evidence_test! {
    malformed_request_is_no_evidence: AttemptOutcome::Rejected;
    cancelled_request_is_no_evidence: AttemptOutcome::Cancelled;
    answer_is_no_evidence_of_a_full_upstream: AttemptOutcome::Whole;
    failure_is_no_evidence_of_a_full_upstream: AttemptOutcome::Failed;
}

#[test]
fn refusal_with_a_time_is_a_rest_only() {
    let mut board = board(2);
    let selected = send(&mut board, START, &request(500)).expect("chosen");
    let notice = Notice {
        leaving: false,
        rest: Some(Duration::from_secs(2)),
    };
    board.record_notice(START, selected.key, notice);
    finish(&mut board, START, &selected, AttemptOutcome::Refused);
    let availability = &board.upstreams.all[selected.key].availability;
    assert_eq!(availability.refusals, Refusals::default());
    assert!(availability.rest_until > START);
}

#[test]
fn misdirected_upstream_is_not_chosen_until_its_entry_outlives_silence() {
    let mut board = board(1);
    let selected = send(&mut board, START, &request(500)).expect("chosen");
    let change = finish(&mut board, START, &selected, AttemptOutcome::Misdirected);
    assert_eq!(change, Some(Change::Misdirected));
    for second in 0..10 {
        let now = START + Duration::from_secs(second);
        let sent = send(&mut board, now, &request(500));
        assert_eq!(sent, Err(Rejection::NoUpstream), "after {second} s");
        assert!(!admit::may_send(&board, now, selected.key));
        let load = admit::region_load(&board, now, &MODEL.into());
        assert_eq!((load.room, load.usable_upstreams), (0, 0));
    }
    // One request finds out. It is wrong again, for twice as long.
    let now = START + Duration::from_secs(10);
    let first = send(&mut board, now, &request(500)).expect("chosen");
    assert_eq!(
        send(&mut board, now, &request(500)),
        Err(Rejection::Overload)
    );
    finish(&mut board, now, &first, AttemptOutcome::Misdirected);
    let later = now + Duration::from_secs(19);
    assert_eq!(
        send(&mut board, later, &request(500)),
        Err(Rejection::NoUpstream)
    );
    let later = now + Duration::from_secs(20);
    let first = send(&mut board, later, &request(500)).expect("chosen");
    finish(&mut board, later, &first, AttemptOutcome::Whole);
    assert_eq!(board.upstreams.all[first.key].availability.misdirections, 0);
}

/// Defines a test that a misdirected upstream is chosen again once the store has named it anew.
macro_rules! readmission_test {
    ($($name:ident: $publish:expr, $is_chosen:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut board = board(1);
            let selected = send(&mut board, START, &request(500)).expect("chosen");
            finish(&mut board, START, &selected, AttemptOutcome::Misdirected);
            let publish: fn(&mut Board, Duration) = $publish;
            publish(&mut board, START + ms(100));
            let sent = send(&mut board, START + ms(100), &request(500));
            assert_eq!(sent.is_ok(), $is_chosen);
        }
    )*};
}

readmission_test! {
    upstream_with_another_address_is_chosen_again:
        |board, now| board.put_upstream(now, Entry { address: ([10, 9, 0, 2], 80).into(), ..up(0) }), true;
    upstream_with_a_new_run_is_chosen_again:
        |board, now| board.put_upstream(now, Entry { started_at_ms: Some(2), ..up(0) }), true;
    upstream_that_was_removed_and_is_back_is_chosen_again: |board, now| {
        board.remove_upstream(now, "up-0");
        board.put_upstream(now, up(0));
    }, true;
    upstream_with_the_same_entry_is_not_chosen: |board, now| board.put_upstream(now, up(0)), false;
}

#[test]
fn answer_that_was_on_its_way_does_not_readmit_a_misdirected_upstream() {
    let mut board = board(1);
    let before = send(&mut board, START, &request(500)).expect("chosen");
    let wrong = send(&mut board, START, &request(500)).expect("chosen");
    finish(&mut board, START, &wrong, AttemptOutcome::Misdirected);
    finish(&mut board, START + ms(5), &before, AttemptOutcome::Whole);
    assert!(!admit::may_send(&board, START + ms(5), before.key));
}
