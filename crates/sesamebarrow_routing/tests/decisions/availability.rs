//! Tests of what upstreams that leave or want no requests for a while still get.

use std::time::Duration;

use sesamebarrow_routing::Board;
use sesamebarrow_routing::admit::{self, Rejection, RequestSpec, SelectedUpstream};
use sesamebarrow_routing::availability::{Change, Notice};
use sesamebarrow_routing::upstream::{AttemptOutcome, Entry, Key};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

const LEAVING: Notice = Notice {
    leaving: true,
    rest: None,
};

const START: Duration = Duration::from_secs(10);

fn resting(rest: Duration) -> Notice {
    Notice {
        leaving: false,
        rest: Some(rest),
    }
}

fn up(number: usize) -> Entry {
    entry(&format!("up-{number}"), "a", Duration::ZERO)
}

/// Returns the board of an instance with `count` warm upstreams.
fn board(count: usize) -> Board {
    let mut fleet = Fleet::new(&[("a", 1)], config(&[], vec![route("r", &[])]));
    let mut board = fleet.instances.remove(0).board;
    (0..count).for_each(|number| board.put_upstream(Duration::ZERO, up(number)));
    board
}

fn request() -> RequestSpec {
    RequestSpec {
        service: MODEL.into(),
        prompt_tokens: 500,
        output_tokens: 60,
        target_wait: ms(800),
        ..RequestSpec::default()
    }
}

fn key(board: &Board, number: usize) -> Key {
    board
        .upstreams
        .key(&up(number).id)
        .expect("the upstream is known")
}

fn send(board: &mut Board, now: Duration) -> Result<SelectedUpstream, Rejection> {
    let selected = admit::select_upstream(board, now, &request())?;
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

#[test]
fn leaving_upstream_is_not_chosen_beside_another() {
    let mut board = board(2);
    let leaving = key(&board, 0);
    let change = board.record_notice(START, leaving, LEAVING);
    assert_eq!(change, Some(Change::Leaving));
    assert_eq!(board.record_notice(START, leaving, LEAVING), None);
    for number in 0..200 {
        let now = START + ms(number * 50);
        let selected = send(&mut board, now).expect("the other upstream accepts it");
        assert_ne!(selected.key, leaving);
        finish(&mut board, now, &selected, AttemptOutcome::Whole);
    }
}

#[test]
fn leaving_upstream_is_not_chosen_as_the_last_one() {
    let mut board = board(1);
    let leaving = key(&board, 0);
    board.record_notice(START, leaving, LEAVING);
    assert_eq!(send(&mut board, START), Err(Rejection::NoUpstream));
    assert!(!admit::may_send(&board, START, leaving));
    assert_eq!(
        admit::service_load(&board, START, &MODEL.into()).1,
        0,
        "other regions are told that it accepts requests"
    );
}

#[test]
fn leaving_does_not_revert_when_the_store_says_ready() {
    let mut board = board(1);
    let leaving = key(&board, 0);
    board.record_notice(START, leaving, LEAVING);
    board.put_upstream(START + ms(100), up(0));
    assert_eq!(
        send(&mut board, START + ms(100)),
        Err(Rejection::NoUpstream)
    );
}

#[test]
fn leaving_does_not_revert_when_a_removed_entry_comes_back() {
    let mut board = board(1);
    let leaving = key(&board, 0);
    board.record_notice(START, leaving, LEAVING);
    board.remove_upstream(START + ms(100), "up-0");
    board.put_upstream(START + ms(9_000), up(0));
    let now = START + ms(9_100);
    assert_eq!(send(&mut board, now), Err(Rejection::NoUpstream));
}

#[test]
fn new_run_of_a_leaving_upstream_is_chosen() {
    let mut board = board(1);
    let leaving = key(&board, 0);
    board.record_notice(START, leaving, LEAVING);
    let new_run = Entry {
        started_at_ms: Some(up(0).started_at_ms.unwrap_or_default() + 7_000),
        ..up(0)
    };
    board.put_upstream(START + ms(7_000), new_run);
    assert!(send(&mut board, START + ms(30_000)).is_ok());
}

#[test]
fn instances_of_the_region_learn_that_an_upstream_leaves() {
    let mut fleet = Fleet::new(&[("a", 3), ("b", 2)], config(&[], vec![route("r", &[])]));
    for instance in &mut fleet.instances {
        instance.board.put_upstream(Duration::ZERO, up(0));
    }
    fleet.advance(ms(4_000));
    let now = fleet.process_time(0);
    let leaving = key(&fleet.instances[0].board, 0);
    fleet.instances[0]
        .board
        .record_notice(now, leaving, LEAVING);
    fleet.advance(ms(1_500));
    for index in 0..3 {
        let now = fleet.process_time(index);
        let board = &mut fleet.instances[index].board;
        assert_eq!(send(board, now), Err(Rejection::NoUpstream), "{index}");
    }
}

#[test]
fn datagrams_name_a_bounded_number_of_leaving_upstreams() {
    let mut board = board(40);
    for number in 0..40 {
        let leaving = key(&board, number);
        board.record_notice(START, leaving, LEAVING);
    }
    assert_eq!(board.upstreams.leaving_runs().count(), 16);
    board
        .upstreams
        .remove_due(START + Duration::from_secs(11), 0);
    assert_eq!(board.upstreams.leaving_runs().count(), 0);
}

#[test]
fn resting_upstream_gets_nothing_until_the_end_of_its_rest() {
    let mut board = board(2);
    let tired = key(&board, 0);
    board.record_notice(START, tired, resting(ms(4_000)));
    for number in 0..80 {
        let now = START + ms(number * 50);
        let selected = send(&mut board, now).expect("the other upstream accepts it");
        assert_ne!(selected.key, tired, "at {now:?}");
        finish(&mut board, now, &selected, AttemptOutcome::Whole);
    }
    let now = START + ms(5_100);
    let chosen: Vec<Key> = (0..4)
        .filter_map(|_| send(&mut board, now).ok().map(|s| s.key))
        .collect();
    assert!(chosen.contains(&tired), "it is not used after its rest");
}

#[test]
fn resting_upstream_without_another_rejects_at_once_with_the_rest() {
    let mut board = board(2);
    for (number, rest) in [(0, 6_000), (1, 3_000)] {
        let tired = key(&board, number);
        board.record_notice(START, tired, resting(ms(rest)));
    }
    let Err(Rejection::Resting(left)) = send(&mut board, START + ms(1_000)) else {
        panic!("the request was not rejected for the rest");
    };
    assert!((ms(2_000)..=ms(2_750)).contains(&left), "{left:?}");
    let service_rest = admit::service_rest(&board, START + ms(1_000), MODEL);
    assert_eq!(service_rest, Some(left));
    assert_eq!(admit::service_load(&board, START, &MODEL.into()).1, 0);
}

#[test]
fn latest_of_several_rests_holds() {
    let mut board = board(1);
    let tired = key(&board, 0);
    for rest in [2_000, 5_000, 1_000] {
        board.record_notice(START, tired, resting(ms(rest)));
    }
    assert!(!admit::may_send(&board, START + ms(4_990), tired));
    assert!(admit::may_send(&board, START + ms(6_010), tired));
}

#[test]
fn rest_of_days_is_capped() {
    let mut board = board(1);
    let tired = key(&board, 0);
    board.record_notice(START, tired, resting(Duration::MAX));
    assert!(!admit::may_send(&board, START + ms(599_000), tired));
    assert!(admit::may_send(&board, START + ms(602_000), tired));
}

#[test]
fn rest_outlasts_a_removal_and_a_new_run() {
    let mut board = board(1);
    let tired = key(&board, 0);
    board.record_notice(START, tired, resting(ms(5_000)));
    board.remove_upstream(START + ms(100), "up-0");
    let new_run = Entry {
        started_at_ms: Some(up(0).started_at_ms.unwrap_or_default() + 1_000),
        ..up(0)
    };
    board.put_upstream(START + ms(200), new_run);
    let rejection = send(&mut board, START + ms(300));
    assert!(
        matches!(rejection, Err(Rejection::Resting(_))),
        "{rejection:?}"
    );
}

#[test]
fn answers_to_requests_from_before_a_rest_do_not_end_it() {
    let mut board = board(1);
    let before: Vec<_> = (0..3)
        .map(|_| send(&mut board, START).expect("an idle upstream accepts it"))
        .collect();
    let tired = key(&board, 0);
    board.record_notice(START, tired, resting(ms(3_000)));
    for selected in &before {
        let change = finish(&mut board, START + ms(500), selected, AttemptOutcome::Whole);
        assert_eq!(change, None);
    }
    assert!(!admit::may_send(&board, START + ms(2_900), tired));
    let ramp = board.upstreams.all[tired].availability.ramp;
    assert_eq!(ramp, Some(1));
}

#[test]
fn requests_return_to_a_rested_upstream_in_doubling_numbers() {
    let mut board = board(1);
    let tired = key(&board, 0);
    board.record_notice(START, tired, resting(ms(2_000)));
    let now = START + ms(3_000);
    let mut in_turn = Vec::new();
    for _ in 0..4 {
        let sent: Vec<_> = std::iter::from_fn(|| send(&mut board, now).ok()).collect();
        in_turn.push(sent.len());
        // One answer doubles the number; the others would double it again.
        let changes: Vec<_> = sent
            .iter()
            .enumerate()
            .filter_map(|(number, selected)| {
                let outcome = match number {
                    0 => AttemptOutcome::Whole,
                    _ => AttemptOutcome::Cancelled,
                };
                finish(&mut board, now, selected, outcome)
            })
            .collect();
        let first = in_turn.len() == 1;
        assert_eq!(changes.contains(&Change::Back), first, "{changes:?}");
    }
    assert_eq!(in_turn, [1, 2, 4, 8]);
}

#[test]
fn instances_do_not_all_return_to_a_rested_upstream_at_the_same_moment() {
    let mut fleet = Fleet::new(&[("a", 60)], config(&[], vec![route("r", &[])]));
    let mut returned_at = Vec::new();
    for instance in &mut fleet.instances {
        let board = &mut instance.board;
        board.put_upstream(Duration::ZERO, up(0));
        let tired = key(board, 0);
        board.record_notice(START, tired, resting(ms(4_000)));
        let mut times = (0..60).map(|step| START + ms(3_950 + step * 25));
        let first = times.find(|now| admit::may_send(board, *now, tired));
        returned_at.push(first.expect("each instance returns within a second"));
    }
    assert!(returned_at.iter().all(|at| *at >= START + ms(4_000)));
    for window in 0..20 {
        let from = START + ms(4_000 + window * 50);
        let count = returned_at
            .iter()
            .filter(|at| (from..from + ms(50)).contains(*at))
            .count();
        assert!(count <= 15, "{count} of 60 instances return within 50 ms");
    }
}

#[test]
fn departure_that_another_instance_reports_is_passed_to_the_gateway_once() {
    let mut fleet = Fleet::new(&[("a", 3)], config(&[], vec![route("r", &[])]));
    for instance in &mut fleet.instances {
        instance.board.put_upstream(Duration::ZERO, up(0));
    }
    fleet.advance(ms(3_000));
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    let leaving = key(board, 0);
    board.record_notice(now, leaving, LEAVING);
    fleet.advance(ms(3_000));
    for instance in &mut fleet.instances[1..] {
        let board = &mut instance.board;
        let learned = board.upstreams.take_learned_departures();
        assert_eq!(learned, [key(board, 0)]);
        assert!(board.upstreams.take_learned_departures().is_empty());
    }
}
