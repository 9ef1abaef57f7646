//! Tests of the decisions of a dispatcher: pace of streams, who gives way, speeds, other regions, and when
//! refused callers come back.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::dispatch::capacity::{self, Capacity, Need, Remote};
use sesamebarrow_routing::dispatch::comeback::{Caller, Comebacks};
use sesamebarrow_routing::dispatch::engine::{Engine, Limits, Work};
use sesamebarrow_routing::dispatch::message::{Event, Notice, PlaceRequest};
use sesamebarrow_routing::dispatch::pace::Pace;
use sesamebarrow_routing::dispatch::speed::{Slowness, Speed};
use sesamebarrow_routing::dispatch::{self, Candidate, Circumstances, Outcome, Service};

use crate::fleet::ms;

const MAX_PAUSE: Duration = Duration::from_millis(600);
const LIMITS: Limits = Limits {
    max_pause: MAX_PAUSE,
    max_reading: Duration::from_millis(480),
};
const ROUND_TRIP: Duration = Duration::from_millis(160);

/// Tokens that the engines of these tests read per millisecond.
const PER_MS: f64 = 40.0;

fn service() -> Service {
    Service::new(Speed::assumed(PER_MS))
}

fn candidates(engines: u64, prefill_tokens: u64) -> Vec<Candidate> {
    let candidate = |run| Candidate {
        run,
        slots: 32,
        kv_capacity_tokens: 225_000,
        prefill_tokens,
        ..Candidate::default()
    };
    (1..=engines).map(candidate).collect()
}

fn circumstances<'a>(candidates: &'a [Candidate], remotes: &'a [Remote]) -> Circumstances<'a> {
    Circumstances {
        candidates,
        remotes,
        round_trip: ROUND_TRIP,
        max_pause: MAX_PAUSE,
    }
}

fn ask(id: u64, rank: u32, tokens: u32, target_ms: u32) -> PlaceRequest {
    PlaceRequest {
        id,
        part_ids: vec![id],
        part_tokens: vec![tokens],
        prompt_tokens: tokens,
        output_tokens: 50,
        rank,
        target_ms,
        time_left_ms: 5_000,
        ..PlaceRequest::default()
    }
}

fn decide(service: &mut Service, now: Duration, ask: &PlaceRequest, engines: u64) -> Outcome {
    let candidates = candidates(engines, ask.prompt_tokens.into());
    service.decide(now, (1, ask.id), ask, &circumstances(&candidates, &[]))
}

fn serve(service: &mut Service, now: Duration, engines: u64) -> Vec<(u64, Outcome)> {
    let cx = circumstances(&[], &[]);
    let of = |ask: &PlaceRequest| candidates(engines, ask.prompt_tokens.into());
    let decided = service.serve(now, &cx, of, |_| Vec::new());
    decided.into_iter().map(|(w, o)| (w.req.id, o)).collect()
}

fn notify(service: &mut Service, now: Duration, id: u64, event: Event) {
    let notice = Notice {
        id,
        event: event.into(),
        ..Notice::default()
    };
    service.handle_notice(now, 1, &notice, MAX_PAUSE);
}

fn is_granted(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Granted { .. })
}

#[test]
fn a_prompt_that_would_hold_up_a_running_stream_waits_for_its_event() {
    let mut service = service();
    assert!(is_granted(&decide(
        &mut service,
        ms(0),
        &ask(1, 0, 2_000, 1_000),
        1
    )));
    notify(&mut service, ms(110), 1, Event::Started);
    // Two prompts of 225 ms fit between two events of the stream, the third does not.
    let outcomes: Vec<Outcome> = (2..=4)
        .map(|id| decide(&mut service, ms(120), &ask(id, 0, 8_000, 3_000), 1))
        .collect();
    assert!(
        is_granted(&outcomes[0]) && is_granted(&outcomes[1]),
        "{outcomes:?}"
    );
    assert!(matches!(outcomes[2], Outcome::Waiting(_)), "{outcomes:?}");
    notify(&mut service, ms(420), 2, Event::Started);
    // The second is read until 520 ms, and the stream needs 60 ms for its event.
    assert_eq!(serve(&mut service, ms(560), 1), []);
    notify(&mut service, ms(650), 3, Event::Started);
    let served = serve(&mut service, ms(660), 1);
    assert!(
        matches!(served[..], [(4, Outcome::Granted { .. })]),
        "{served:?}"
    );
}

#[test]
fn small_prompts_are_read_between_the_events_of_streams() {
    let mut service = service();
    for id in 0..60 {
        let now = ms(id * 40);
        let outcome = decide(&mut service, now, &ask(id + 1, 0, 600, 1_000), 2);
        assert!(is_granted(&outcome), "request {id}: {outcome:?}");
        notify(&mut service, now + ms(35), id + 1, Event::Started);
        if id >= 20 {
            notify(&mut service, now + ms(36), id - 19, Event::Ended);
        }
    }
}

#[test]
fn an_engine_that_is_behind_its_plan_gets_no_further_prompt() {
    let (speed, work) = (Speed::assumed(PER_MS), work(16_000.0));
    let mut engine = Engine::default();
    for (id, now) in [(1, ms(0)), (2, ms(1))] {
        let plan = engine.plan(now, &work, &speed, &LIMITS);
        engine.hold(now, (1, id), &work, &plan, MAX_PAUSE);
    }
    let mut speed = speed;
    engine.start((1, 1), ms(401), &mut speed);
    // The second prompt was planned to be read after 800 ms, and is not.
    let plan = engine.plan(ms(1_200), &work, &speed, &LIMITS);
    assert!(plan.paused_streams > 0);
    engine.start((1, 2), ms(1_210), &mut speed);
    let small = self::work(4_000.0);
    let plan = engine.plan(ms(1_300), &small, &speed, &LIMITS);
    assert_eq!(plan.paused_streams, 0);
}

fn work(tokens: f64) -> Work {
    Work {
        weighted_tokens: tokens,
        is_sure: true,
        own_kv_tokens: 1_000,
        time_left: Duration::from_secs(5),
        ..Work::default()
    }
}

#[test]
fn more_urgent_requests_get_places_first_and_less_urgent_ones_are_not_starved() {
    let mut service = service();
    let mut ids = 1..;
    // One engine is filled, so that all others wait.
    while is_granted(&decide(
        &mut service,
        ms(0),
        &ask(ids.next().expect("endless"), 0, 4_000, 1_000),
        1,
    )) {}
    let mut waiting = Vec::new();
    for rank in [4, 0] {
        for _ in 0..4 {
            let id = ids.next().expect("endless");
            decide(&mut service, ms(1), &ask(id, rank, 1_000, 2_500), 1);
            waiting.push((id, rank));
        }
    }
    let rank_of = |id: u64| waiting.iter().find(|(i, _)| *i == id).map(|(_, r)| *r);
    for id in 1..=5 {
        notify(&mut service, ms(500), id, Event::Started);
        notify(&mut service, ms(500), id, Event::Ended);
    }
    let served: Vec<u32> = serve(&mut service, ms(700), 1)
        .iter()
        .filter(|(_, o)| is_granted(o))
        .filter_map(|(id, _)| rank_of(*id))
        .collect();
    let first_patient = served.iter().position(|r| *r == 4).unwrap_or(served.len());
    assert!(
        served[..first_patient].iter().all(|r| *r == 0),
        "{served:?}"
    );
    assert!(served.len() >= 4, "{served:?}");
}

/// In random rounds, requests get places that more urgent ones of the same work wait for only up to the share of
/// the less urgent, unless these have missed their target.
#[test]
fn requests_give_way_to_more_urgent_ones_of_the_same_work() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut service = service();
        let mut urgent_granted = 0;
        let mut went_before = 0;
        let mut waits: Vec<(Duration, u64, u32)> = Vec::new();
        let mut running: Vec<(Duration, u64)> = Vec::new();
        let mut now = Duration::ZERO;
        for id in 1..600_u64 {
            now += ms(rng.random_range(1..20));
            running.retain(|(end, id)| {
                let has_ended = *end <= now;
                if has_ended {
                    notify(&mut service, now, *id, Event::Started);
                    notify(&mut service, now, *id, Event::Ended);
                }
                !has_ended
            });
            let rank = rng.random_range(0..2) * 4;
            let mut outcomes = serve(&mut service, now, 2);
            waits.push((now, id, rank));
            outcomes.push((
                id,
                decide(&mut service, now, &ask(id, rank, 2_000, 2_000), 2),
            ));
            for (id, outcome) in outcomes {
                if matches!(outcome, Outcome::Waiting(_)) {
                    continue;
                }
                let of_id = waits.iter().position(|(_, w, _)| *w == id);
                let (_, _, rank) = waits.remove(of_id.expect("asked for"));
                let Outcome::Granted { wait, .. } = outcome else {
                    continue;
                };
                running.push((now + wait, id));
                // Those that can still meet their target.
                let in_time = |asked: &Duration| now < *asked + ms(1_500);
                let urgent_waits = waits.iter().any(|(at, _, r)| *r == 0 && in_time(at));
                urgent_granted += u64::from(rank == 0);
                went_before += u64::from(rank == 4 && urgent_waits);
            }
        }
        let saved_up = 8_000 / 2_000 + 1;
        assert!(urgent_granted > 50, "seed {seed}: {urgent_granted}");
        assert!(
            went_before <= urgent_granted / 4 + saved_up,
            "seed {seed}: {went_before} went before, of {urgent_granted}"
        );
    }
}

#[rstest]
#[case::same_priority_shorter_target(rank(1, 1_000), rank(1, 4_000))]
#[case::priority_before_target(rank(0, 10_000), rank(1, 500))]
#[case::priorities(rank(1, 1_000), rank(2, 1_000))]
fn rank_orders_by_priority_and_then_by_target(#[case] first: u8, #[case] second: u8) {
    assert!(first < second);
}

fn rank(priority: u8, target_ms: u64) -> u8 {
    dispatch::rank(priority, ms(target_ms))
}

#[test]
fn targets_within_a_factor_of_two_count_as_the_same() {
    assert_eq!(rank(1, 800), rank(1, 1_500));
    assert!((0..=255).all(|p| dispatch::engine_priority(rank(p, 60_000)) <= 9));
}

#[test]
fn engines_read_for_longer_while_streams_do_not_pause_and_for_less_after_pauses() {
    let mut pace = Pace::default();
    let least = pace.max_reading(MAX_PAUSE);
    assert!(least < MAX_PAUSE);
    pace.observe(ms(900), MAX_PAUSE);
    assert_eq!(pace.max_reading(MAX_PAUSE), least);
    (0..1_000).for_each(|_| pace.observe(ms(100), MAX_PAUSE));
    assert_eq!(pace.max_reading(MAX_PAUSE), least, "little was read");
    (0..1_000).for_each(|_| pace.observe(ms(300), MAX_PAUSE));
    let most = pace.max_reading(MAX_PAUSE);
    assert!(most >= MAX_PAUSE * 3);
    (0..8).for_each(|_| pace.observe(ms(900), MAX_PAUSE));
    assert!(pace.max_reading(MAX_PAUSE) < most / 2);
}

#[rstest]
#[case::zero(0)]
#[case::huge(u32::MAX)]
#[case::out_of_range(100_000)]
fn statements_of_speed_that_make_no_sense_are_ignored(#[case] percent: u32) {
    let mut slowness = Slowness::default();
    slowness.state(ms(0), percent);
    assert!((slowness.factor(ms(1), 20.0) - 1.0).abs() < 1e-9);
}

#[test]
fn a_statement_of_speed_counts_for_short_work_while_it_is_fresh() {
    let mut slowness = Slowness::default();
    slowness.state(ms(0), 250);
    assert!((slowness.factor(ms(10), 50.0) - 2.5).abs() < 1e-9);
    let long = slowness.factor(ms(10), 2_000.0);
    assert!(long < 1.3, "a long prompt outlasts the episode: {long}");
    assert!(
        (slowness.factor(ms(400), 50.0) - 1.0).abs() < 1e-9,
        "expired"
    );
}

#[test]
fn the_first_request_to_an_unknown_engine_is_planned_with_the_speed_of_the_service() {
    let plan = Engine::default().plan(ms(0), &work(4_000.0), &Speed::assumed(PER_MS), &LIMITS);
    assert!((plan.read_ms - 100.0).abs() < 1e-6);
}

fn capacity(held: f64, reading: f64) -> Capacity {
    Capacity {
        held,
        held_urgent: held / 2.0,
        reading,
        reading_urgent: reading / 2.0,
        free_slots: (1.0 - held) * 600.0,
        free_reading_ms: (1.0 - reading) * 10_000.0,
    }
}

fn remote(region_hash: u32, held: f64, reading: f64) -> Remote {
    Remote {
        region_hash,
        capacity: capacity(held, reading),
    }
}

fn need(target_ms: u64) -> Need {
    Need {
        target: ms(target_ms),
        round_trip: ROUND_TRIP,
        is_least_urgent: true,
        shared_prompt: 7,
    }
}

#[rstest]
#[case::peak_here_and_idle_there(0.9, 0.2, 4_000, Some(1))]
#[case::nearly_the_same(0.6, 0.5, 4_000, None)]
#[case::capacity_here(0.4, 0.0, 4_000, None)]
#[case::full_there(1.0, 0.9, 4_000, None)]
#[case::target_is_short(0.9, 0.2, 1_000, None)]
fn patient_requests_go_to_a_region_with_much_more_capacity(
    #[case] here: f64,
    #[case] there: f64,
    #[case] target_ms: u64,
    #[case] expected: Option<u32>,
) {
    let remotes = [remote(1, there, 0.1)];
    let selected = capacity::less_loaded(capacity(here, 0.1), &remotes, &need(target_ms));
    assert_eq!(selected, expected);
}

#[rstest]
#[case::in_time(1_000, 0.3, Some(1))]
#[case::the_way_takes_too_long(500, 0.3, None)]
#[case::full_there(1_000, 0.8, None)]
fn a_request_without_a_place_goes_where_it_can_be_served_in_time(
    #[case] target_ms: u64,
    #[case] there: f64,
    #[case] expected: Option<u32>,
) {
    let remotes = [remote(1, there, 0.1)];
    assert_eq!(capacity::instead(&remotes, &need(target_ms)), expected);
}

#[test]
fn forwarded_requests_use_up_the_room_until_the_next_report() {
    let mut remotes = [remote(1, 0.5, 0.5)];
    let mut forwarded = 0;
    while capacity::instead(&remotes, &need(4_000)).is_some() {
        remotes[0].capacity.take(200.0);
        forwarded += 1;
    }
    // Between half and three quarters of 10 s of reading are 2.5 s, and three quarters of what is forwarded are
    // read by then.
    assert!((49..=51).contains(&forwarded), "{forwarded}");
}

#[test]
fn urgent_requests_see_the_room_that_the_least_urgent_give_way_for() {
    let remotes = [remote(1, 0.9, 0.2)];
    let urgent = Need {
        is_least_urgent: false,
        ..need(1_000)
    };
    assert_eq!(capacity::instead(&remotes, &urgent), Some(1));
    assert_eq!(capacity::instead(&remotes, &need(1_000)), None);
}

fn caller(request: u64) -> Caller {
    Caller {
        rank: 4,
        request,
        aim: ms(3_500),
        time_left: ms(15_000),
    }
}

#[test]
fn refused_callers_come_back_one_after_the_other_and_before_their_aim() {
    let mut comebacks = Comebacks::default();
    let delays: Vec<Duration> = (1..=200)
        .map(|request| comebacks.schedule(ms(0), &caller(request), ms(300), 100.0))
        .collect();
    assert!(
        delays.iter().all(|d| *d >= ms(200) && *d <= ms(3_000)),
        "{delays:?}"
    );
    for start in (0..3_000).step_by(100) {
        let window = ms(start)..ms(start + 100);
        let met = delays.iter().filter(|d| window.contains(d)).count();
        assert!(met <= 20, "{met} come back within 100 ms of {start}");
    }
}

#[test]
fn a_caller_that_comes_back_as_told_keeps_its_aim_and_others_do_not() {
    let mut comebacks = Comebacks::default();
    let delay = comebacks.schedule(ms(0), &caller(9), ms(300), 100.0);
    assert_eq!(comebacks.take(delay + ms(100), 9), Some(ms(3_500)));
    assert_eq!(comebacks.take(delay + ms(100), 9), None, "counts once");
    assert_eq!(comebacks.take(delay, 10), None, "was never refused");
    comebacks.schedule(ms(0), &caller(11), ms(2_000), 100.0);
    assert_eq!(comebacks.take(ms(10), 11), None, "came back at once");
}

#[test]
fn a_request_that_is_asked_for_again_holds_one_place() {
    let mut service = service();
    let first = ask(1, 0, 2_000, 1_000);
    let run = |outcome: &Outcome| match outcome {
        Outcome::Granted { run, .. } => Some(*run),
        _ => None,
    };
    let granted = decide(&mut service, ms(0), &first, 4);
    // The answer was lost, and the engine that was selected looks busy now.
    let again = decide(&mut service, ms(40), &first, 4);
    assert_eq!(run(&granted), run(&again));
    assert_eq!(service.summary(ms(40)).held, 1);
    // Its engine leaves before it is asked for once more.
    let mut others = candidates(4, 2_000);
    others.retain(|c| Some(c.run) != run(&granted));
    let moved = service.decide(ms(80), (1, 1), &first, &circumstances(&others, &[]));
    assert!(is_granted(&moved) && run(&moved) != run(&granted));
    assert_eq!(service.summary(ms(80)).held, 1);
}

#[test]
fn a_request_that_no_engine_may_run_does_not_hold_up_those_behind_it() {
    let mut service = service();
    let mut id = 0;
    let mut outcome = Outcome::Forward(0);
    // Fills the engine, so that two requests wait.
    while !matches!(outcome, Outcome::Waiting(_)) {
        id += 1;
        outcome = decide(&mut service, ms(0), &ask(id, 0, 4_000, 3_000), 1);
    }
    decide(&mut service, ms(1), &ask(id + 1, 4, 1_000, 3_000), 1);
    for held in 1..id {
        notify(&mut service, ms(300), held, Event::Ended);
    }
    // All engines have failed the first one meanwhile.
    let of = |req: &PlaceRequest| match req.id == id {
        true => Vec::new(),
        false => candidates(1, req.prompt_tokens.into()),
    };
    let decided = service.serve(ms(900), &circumstances(&[], &[]), of, |_| Vec::new());
    let granted = decided.iter().filter(|(_, o)| is_granted(o));
    let ids: Vec<u64> = granted.map(|(w, _)| w.req.id).collect();
    assert_eq!(ids, [id + 1]);
}

#[test]
fn places_of_lost_reports_and_of_ended_instances_are_released() {
    let mut service = service();
    for id in 1..=32 {
        notify(&mut service, ms(0), id, Event::Ended);
        let outcome = decide(&mut service, ms(id * 30), &ask(id, 0, 500, 1_000), 1);
        assert!(is_granted(&outcome), "{outcome:?}");
        notify(&mut service, ms(id * 30 + 20), id, Event::Started);
    }
    let full = decide(&mut service, ms(1_000), &ask(40, 0, 500, 1_000), 1);
    assert!(!is_granted(&full));
    // The instance with the address 1 is gone.
    service.forget(ms(1_100), |ip| ip == 1, |_| true);
    assert!(is_granted(&decide(
        &mut service,
        ms(1_100),
        &ask(41, 0, 500, 1_000),
        1
    )));
    // No end was heard of, and no caller waits any more.
    service.forget(ms(8_000), |_| false, |_| true);
    assert_eq!(service.engine(1).map(Engine::held), Some(0));
}

#[test]
fn prompt_that_names_a_shared_part_twice_releases_what_it_took() {
    let mut engine = Engine::default();
    let part = PromptPart {
        id: 1,
        tokens: 6_000,
    };
    let twice = Work {
        shared: vec![part, part],
        ..work(4_000.0)
    };
    let speed = Speed::assumed(PER_MS);
    for number in 0..3 {
        let id = (1, number);
        let plan = engine.plan(ms(0), &twice, &speed, &LIMITS);
        engine.hold(ms(0), id, &twice, &plan, LIMITS.max_pause);
        assert_eq!(engine.kv_tokens(), 6_000 + twice.own_kv_tokens);
        assert!(engine.release(id));
        assert_eq!(engine.kv_tokens(), 0);
    }
}
