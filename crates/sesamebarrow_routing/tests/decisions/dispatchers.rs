//! Tests of who dispatches a service, and of what happens when a dispatcher, a report or an instance of an earlier
//! version is missing.

use std::net::Ipv4Addr;
use std::time::Duration;

use rstest::rstest;
use sesamebarrow_routing::admit::{self, RequestSpec};
use sesamebarrow_routing::board::limit::Owner;
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::dispatch::message::{
    Decision, Event, Hold, Notice, Notices, PlaceRequest,
};
use sesamebarrow_routing::gossip;
use sesamebarrow_routing::token::{self, Body};
use smol_str::SmolStr;

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Returns a fleet whose service declares this longest pause.
fn fleet(domains: &[(&str, usize)], max_pause: Option<Duration>) -> Fleet {
    let mut route = route("r", &[]);
    route.max_pause = max_pause;
    let mut fleet = Fleet::new(domains, config(&[], vec![route]));
    for instance in &mut fleet.instances {
        let board = &mut instance.board;
        let mut parameters = board.parameters;
        parameters.dispatch.min_pause = Some(MIN_PAUSE);
        board.set_parameters(parameters);
        let region = board.identity.region.clone();
        for n in 0..4 {
            let entry = entry(&format!("{region}-up-{n}"), &region, Duration::ZERO);
            board.put_upstream(Duration::ZERO, entry);
        }
    }
    fleet.advance(ms(6_000));
    fleet
}

fn dispatched(domains: &[(&str, usize)]) -> Fleet {
    fleet(domains, Some(ms(600)))
}

fn dispatcher(fleet: &Fleet, index: usize) -> Option<Owner> {
    let now = fleet.process_time(index);
    fleet.instances[index].board.dispatcher(now, MODEL)
}

/// Returns the address of the dispatcher that instance `index` asks.
fn dispatcher_ip(fleet: &Fleet, index: usize) -> Ipv4Addr {
    match dispatcher(fleet, index) {
        Some(Owner::Other(ip)) => ip,
        _ => fleet.instances[index].board.identity.ip,
    }
}

fn index_of(fleet: &Fleet, ip: Ipv4Addr) -> usize {
    let position = fleet
        .instances
        .iter()
        .position(|i| i.board.identity.ip == ip);
    position.expect("an instance of the fleet")
}

fn spec() -> RequestSpec {
    RequestSpec {
        service: MODEL.into(),
        prompt_tokens: 2_000,
        output_tokens: 60,
        target_wait: ms(1_000),
        ..RequestSpec::default()
    }
}

fn ask(fleet: &Fleet, index: usize, id: u64, regions: &[&str]) -> PlaceRequest {
    let board = &fleet.instances[index].board;
    let regions = regions.iter().map(|r| SmolStr::new(*r));
    let ask = board.build_place_request(&spec(), ms(1_000), ms(5_000), &[], regions);
    PlaceRequest { id, ..ask }
}

fn decide(fleet: &mut Fleet, index: usize, ask: &PlaceRequest) -> Decision {
    let now = fleet.process_time(index);
    let from = Ipv4Addr::new(10, 0, 0, 99);
    fleet.instances[index]
        .board
        .handle_place_request(now, from, ask)
        .decision()
}

#[test]
fn all_instances_of_a_region_ask_the_same_dispatcher() {
    let fleet = dispatched(&[("a", 8), ("b", 8)]);
    let of_a: Vec<_> = (0..8).map(|i| dispatcher_ip(&fleet, i)).collect();
    let of_b: Vec<_> = (8..16).map(|i| dispatcher_ip(&fleet, i)).collect();
    assert!(of_a.iter().all(|ip| *ip == of_a[0]), "{of_a:?}");
    assert!(of_b.iter().all(|ip| *ip == of_b[0]), "{of_b:?}");
    assert!(index_of(&fleet, of_a[0]) < 8 && index_of(&fleet, of_b[0]) >= 8);
}

#[test]
fn instances_with_more_processor_time_dispatch() {
    let mut fleet = dispatched(&[("a", 20)]);
    for (index, instance) in fleet.instances.iter_mut().enumerate() {
        let mut parameters = instance.board.parameters;
        parameters.dispatch.processor_share = if index < 2 { 0.5 } else { 0.05 };
        instance.board.set_parameters(parameters);
    }
    fleet.advance(ms(6_000));
    assert!(index_of(&fleet, dispatcher_ip(&fleet, 10)) < 2);
}

#[rstest]
#[case::no_pause_declared(None, false)]
#[case::shorter_than_the_setting(Some(ms(400)), false)]
#[case::as_long_as_the_setting(Some(MIN_PAUSE), true)]
fn services_are_dispatched_as_their_routes_declare(
    #[case] max_pause: Option<Duration>,
    #[case] expected: bool,
) {
    let mut fleet = fleet(&[("a", 2)], max_pause);
    assert_eq!(fleet.instances[0].board.is_dispatched(MODEL), expected);
    let ask = ask(&fleet, 0, 1, &[]);
    let decision = decide(&mut fleet, 0, &ask);
    assert_eq!(decision == Decision::Granted, expected);
}

#[test]
fn a_dispatcher_that_does_not_answer_is_passed_over_for_a_while() {
    let mut fleet = dispatched(&[("a", 4)]);
    let first = dispatcher_ip(&fleet, 0);
    let asker = (0..4)
        .find(|i| *i != index_of(&fleet, first))
        .expect("another");
    let now = fleet.process_time(asker);
    fleet.instances[asker]
        .board
        .record_silent_dispatcher(now, first);
    assert_ne!(dispatcher_ip(&fleet, asker), first);
    fleet.advance(ms(1_100));
    assert_eq!(dispatcher_ip(&fleet, asker), first);
}

#[test]
fn instances_of_an_earlier_version_are_not_asked() {
    let mut fleet = dispatched(&[("a", 4)]);
    let first = dispatcher_ip(&fleet, 0);
    let asker = (0..4)
        .find(|i| *i != index_of(&fleet, first))
        .expect("another");
    for member in fleet.instances[asker].board.members.all.values_mut() {
        member.record.dispatches = false;
    }
    assert_eq!(dispatcher(&fleet, asker), Some(Owner::Own));
}

#[test]
fn a_service_or_configuration_that_is_not_known_leaves_the_decision_to_the_instance() {
    let mut fleet = dispatched(&[("a", 1)]);
    let known = ask(&fleet, 0, 1, &[]);
    let unknown = PlaceRequest {
        service_hash: gossip::short_hash("other"),
        ..known.clone()
    };
    assert_eq!(decide(&mut fleet, 0, &unknown), Decision::Unknown);
    let ids: Vec<String> = (0..4).map(|n| format!("a-up-{n}")).collect();
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    ids.iter().for_each(|id| board.remove_upstream(now, id));
    assert_eq!(decide(&mut fleet, 0, &known), Decision::Unknown);
}

#[test]
fn an_instance_by_itself_still_selects_upstreams() {
    let mut fleet = dispatched(&[("a", 2)]);
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    assert!(admit::select_upstream(board, now, &spec()).is_ok());
}

#[test]
fn a_new_dispatcher_learns_which_places_are_held() {
    let mut fleet = dispatched(&[("a", 2)]);
    let now = fleet.process_time(0);
    let from = Ipv4Addr::new(10, 0, 0, 99);
    let board = &mut fleet.instances[0].board;
    let runs: Vec<u64> = board.upstreams.all.values().map(|u| u.run_hash).collect();
    let hold = |id: u64| Hold {
        id,
        run: runs[0],
        prefill_tokens: 0,
        kv_tokens: 2_000,
        rank: 0,
        time_left_ms: 5_000,
    };
    let notices = Notices {
        holds: (1..=5).map(hold).collect(),
        ..Notices::default()
    };
    // A datagram may arrive twice.
    board.handle_notices(now, from, &notices);
    board.handle_notices(now, from, &notices);
    let held = |fleet: &Fleet| {
        let board = &fleet.instances[0].board;
        let services = board.dispatched_services();
        services.map(|(_, s)| s.summary(now).held).sum::<usize>()
    };
    assert_eq!(held(&fleet), 5);
    let ended = |id: u64| Notice {
        id,
        event: Event::Completed.into(),
        ..Notice::default()
    };
    let notices = Notices {
        notices: (1..=9).map(ended).collect(),
        ..Notices::default()
    };
    fleet.instances[0].board.handle_notices(now, from, &notices);
    assert_eq!(held(&fleet), 0);
}

#[test]
fn the_room_of_a_region_reaches_the_others_and_is_forgotten_without_news() {
    let mut fleet = dispatched(&[("a", 3), ("b", 3)]);
    let of_b = index_of(&fleet, dispatcher_ip(&fleet, 3));
    let asked = ask(&fleet, of_b, 1, &[]);
    decide(&mut fleet, of_b, &asked);
    fleet.advance(ms(1_000));
    let capacity = |fleet: &Fleet| {
        let now = fleet.process_time(0);
        let members = &fleet.instances[0].board.members;
        let load = members.service_load(now, &"b".into(), gossip::short_hash(MODEL));
        load.and_then(|l| l.capacity)
    };
    let known = capacity(&fleet).expect("the capacity of b");
    assert!(known.held < 0.1 && known.free_slots > 100.0, "{known:?}");
    // Nobody asks the dispatcher of b any more.
    fleet.advance(ms(4_000));
    assert_eq!(capacity(&fleet), None);
}

#[test]
fn places_of_an_instance_that_restarts_are_released() {
    let mut fleet = dispatched(&[("a", 3)]);
    let of_a = index_of(&fleet, dispatcher_ip(&fleet, 0));
    let other = (0..3).find(|i| *i != of_a).expect("another");
    let ip = fleet.instances[other].board.identity.ip;
    let asked = ask(&fleet, of_a, 7, &[]);
    let now = fleet.process_time(of_a);
    let answer = fleet.instances[of_a]
        .board
        .handle_place_request(now, ip, &asked);
    assert_eq!(answer.decision(), Decision::Granted);
    // Nothing is heard of the instance, nor of the request's end.
    for _ in 0..900 {
        fleet.step(|from, to| from != other && to != other);
    }
    let now = fleet.process_time(of_a);
    let services = fleet.instances[of_a].board.dispatched_services();
    assert_eq!(services.map(|(_, s)| s.summary(now).held).sum::<usize>(), 0);
}

#[test]
fn a_request_that_waits_is_not_sent_to_an_upstream_that_leaves_meanwhile() {
    let mut fleet = dispatched(&[("a", 1)]);
    let now = fleet.process_time(0);
    let ip = fleet.instances[0].board.identity.ip;
    let (mut waiting, mut granted) = (0, Vec::new());
    for id in 1..200 {
        let asked = ask(&fleet, 0, id, &[]);
        let board = &mut fleet.instances[0].board;
        let answer = board.handle_place_request(now, ip, &asked);
        match answer.decision() {
            Decision::Waiting => waiting += 1,
            Decision::Granted => granted.push(id),
            _ => {}
        }
    }
    assert!(waiting > 0, "the engines have capacity for all");
    let board = &mut fleet.instances[0].board;
    let keys: Vec<_> = board.upstreams.of_service(MODEL).to_vec();
    let leaving = &keys[1..];
    for key in leaving {
        let upstream = board.upstreams.all.get_mut(*key).expect("known");
        upstream.availability.leaving = true;
    }
    let left = board.upstreams.all[keys[0]].run_hash;
    // All places are released, so that those who wait get theirs.
    let ended = |id: u64| Notice {
        id,
        event: Event::Completed.into(),
        ..Notice::default()
    };
    let notices = Notices {
        notices: granted.into_iter().map(ended).collect(),
        ..Notices::default()
    };
    board.handle_notices(now, ip, &notices);
    let (answers, _) = board.serve_waiting(now + ms(400));
    let granted = answers
        .iter()
        .filter(|(_, a)| a.decision() == Decision::Granted);
    let runs: Vec<u64> = granted.map(|(_, a)| a.run).collect();
    assert!(!runs.is_empty());
    assert!(
        runs.iter().all(|run| *run == left),
        "sent to one that leaves"
    );
}

/// The bounds are those of docs/design/dispatch.md, on which docs/CAPACITY.md is reckoned.
#[test]
fn messages_of_a_request_are_small() {
    let mut fleet = dispatched(&[("a", 1)]);
    let prompt = (1..=4).map(|n| PromptPart {
        id: u64::MAX / n,
        tokens: 2_500,
    });
    let spec = RequestSpec {
        prompt: prompt.collect(),
        prompt_tokens: 10_000,
        ..spec()
    };
    let now = fleet.process_time(0);
    let board = &mut fleet.instances[0].board;
    let regions = ["b", "c"].map(SmolStr::new);
    let ask = board.build_place_request(&spec, ms(1_000), ms(5_000), &[], regions.into_iter());
    let ask = PlaceRequest {
        id: u64::from(u32::MAX) << 8,
        ..ask
    };
    let answer = board.handle_place_request(now, Ipv4Addr::new(10, 0, 0, 99), &ask);
    assert_eq!(answer.decision(), Decision::Granted);
    let notice = Notice {
        id: ask.id,
        event: Event::Completed.into(),
        pause_ms: 500,
        ..Notice::default()
    };
    let notices = Notices {
        notices: vec![notice],
        ..Notices::default()
    };
    let size = |body: Body| token::encode(body).len();
    let sizes = (
        size(Body::PlaceRequest(ask)),
        size(Body::Answer(answer)),
        size(Body::Notices(notices)),
    );
    println!("ask, answer, notice: {sizes:?} bytes");
    assert!(
        sizes.0 <= 120 && sizes.1 <= 60 && sizes.2 <= 30,
        "{sizes:?}"
    );
}

const PROMPT: [PromptPart; 2] = [
    PromptPart {
        id: 1,
        tokens: 1_500,
    },
    PromptPart { id: 2, tokens: 500 },
];

/// Asks for a place for a request with [`PROMPT`], which must be granted, and reports `events` of it.
fn use_place(fleet: &mut Fleet, id: u64, events: &[Event]) {
    let ask = PlaceRequest {
        part_ids: PROMPT.iter().map(|p| p.id).collect(),
        part_tokens: PROMPT.iter().map(|p| p.tokens).collect(),
        ..ask(fleet, 0, id, &[])
    };
    // A request may be asked for twice.
    assert_eq!(decide(fleet, 0, &ask), Decision::Granted);
    assert_eq!(decide(fleet, 0, &ask), Decision::Granted);
    let now = fleet.process_time(0);
    let notice = |event: &Event| Notice {
        id,
        event: (*event).into(),
        ..Notice::default()
    };
    let notices = Notices {
        notices: events.iter().map(notice).collect(),
        ..Notices::default()
    };
    let from = Ipv4Addr::new(10, 0, 0, 99);
    fleet.instances[0].board.handle_notices(now, from, &notices);
}

/// Returns the tokens of [`PROMPT`] that count as cached at all upstreams.
fn cached_tokens(fleet: &Fleet) -> u64 {
    let upstreams = fleet.instances[0].board.upstreams.all.values();
    upstreams.map(|u| u.cache.cached_tokens(&PROMPT)).sum()
}

#[rstest]
#[case::in_progress(&[], 2_000)]
#[case::complete(&[Event::Started, Event::Completed], 2_000)]
#[case::cancelled_after_its_first_event(&[Event::Started, Event::Withdrawn], 2_000)]
#[case::refused(&[Event::Refused], 0)]
#[case::withdrawn(&[Event::Withdrawn], 0)]
#[case::withdrawn_in_two_datagrams(&[Event::Withdrawn, Event::Withdrawn], 0)]
fn prompt_of_a_place_that_was_not_used_does_not_count_as_cached(
    #[case] events: &[Event],
    #[case] expected: u64,
) {
    let mut fleet = dispatched(&[("a", 2)]);
    use_place(&mut fleet, 1, events);
    assert_eq!(cached_tokens(&fleet), expected);
}

#[test]
fn withdrawn_prompt_still_counts_as_cached_where_another_request_brought_it() {
    let mut fleet = dispatched(&[("a", 2)]);
    use_place(&mut fleet, 1, &[Event::Started, Event::Completed]);
    use_place(&mut fleet, 2, &[Event::Withdrawn]);
    assert_eq!(cached_tokens(&fleet), 2_000);
}
