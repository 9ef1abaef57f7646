//! Tests of regions without upstreams, all of whose requests go to another region.

use std::collections::VecDeque;
use std::time::Duration;

use sesamebarrow_routing::admit::{self, RequestSpec};
use sesamebarrow_routing::gossip::short_hash;
use sesamebarrow_routing::member::GOSSIP_INTERVAL;
use sesamebarrow_routing::spill::{self, Shortage};
use sesamebarrow_routing::upstream::{AttemptOutcome, Entry, Key};
use sesamebarrow_routing::{Board, Config, forwarded};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

/// One-way delay of a forwarded request.
const HOP: Duration = Duration::from_millis(80);

/// Time after which a client gives a request up.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time within which the answer should begin.
const TARGET: Duration = Duration::from_millis(800);

/// Pause of a client whose request was refused.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(20);

/// Maximum number of requests per slot of an upstream without an engine.
const MAX_PER_SLOT: u32 = 3;

/// How an instance selects another region.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// Each forwarded request counts until the next report, as before.
    Baseline,
    /// Each forwarded request counts until it ends.
    Outstanding,
}

/// Where a request is.
enum Stage {
    /// On its way to the instance with this index.
    Outward(usize),
    /// At an upstream of the instance with this index.
    Running(usize, Key),
    /// On its way back, served or not.
    Back(bool),
    /// It never answers.
    Lost,
}

struct Request {
    from: usize,
    begun_at: Duration,
    due_at: Duration,
    stage: Stage,
    counted: forwarded::Key,
}

/// Clients of instances that have no upstreams, each with one request at a time.
struct Play {
    fleet: Fleet,
    rule: Rule,
    /// Time for which a request runs.
    work_time: Duration,
    /// Whether answers come.
    answers: bool,
    /// Instance of each client that may send, and when.
    idle: VecDeque<(usize, Duration)>,
    requests: Vec<Request>,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    served: u32,
    refused: u32,
    refused_there: u32,
    given_up: u32,
    /// The most requests that were in progress at once, as the instances that forwarded them see it.
    peak: u32,
    shortages: Vec<Shortage>,
}

impl Counts {
    fn refused_share(&self) -> f64 {
        let refused = f64::from(self.refused + self.refused_there);
        refused / (refused + f64::from(self.served))
    }
}

/// Returns the configuration of a service without an engine.
fn plain_config() -> Config {
    let mut config = config(&[], vec![route("r", &[])]);
    for service in config.services.values_mut() {
        service.engine = None;
    }
    config
}

/// Returns a fleet with `forwarding` instances in region "a", which has no upstreams, and `serving` ones in region
/// "b", which has one with `slots`.
fn fleet(forwarding: usize, serving: usize, slots: u32) -> Fleet {
    let mut fleet = Fleet::new(&[("a", forwarding), ("b", serving)], plain_config());
    for instance in &mut fleet.instances[forwarding..] {
        let entry = Entry {
            slots,
            ..entry("b-up", "b", Duration::ZERO)
        };
        instance.board.put_upstream(Duration::ZERO, entry);
    }
    fleet.advance(ms(6_000));
    fleet
}

fn spec(target_wait: Duration) -> RequestSpec {
    RequestSpec {
        service: MODEL.into(),
        target_wait,
        ..RequestSpec::default()
    }
}

/// Selects another region's instance by `rule`.
fn select(board: &mut Board, now: Duration, rule: Rule) -> Result<std::net::Ipv4Addr, Shortage> {
    let request = spill::Request {
        service: MODEL,
        target_wait: TARGET,
        tried_regions: &[],
        affinity_key: None,
    };
    let selected = match rule {
        Rule::Baseline => spill::select_instance(board, now, MODEL, |_| true, &[], None)
            .filter(|remote| remote.estimated_wait < TARGET)
            .ok_or(Shortage::NoUpstream),
        Rule::Outstanding => spill::select_with_room(board, now, &request, |_| true),
    };
    selected.map(|remote| remote.ip)
}

impl Play {
    /// Starts a play with `clients` clients at each of the first `forwarding` instances.
    fn new(fleet: Fleet, rule: Rule, forwarding: usize, clients: usize) -> Self {
        let senders = (0..forwarding).flat_map(|index| (0..clients).map(move |_| index));
        let idle = senders.map(|index| (index, fleet.now)).collect();
        Self {
            fleet,
            rule,
            work_time: ms(50),
            answers: true,
            idle,
            requests: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn index_of(&self, ip: std::net::Ipv4Addr) -> usize {
        let mut instances = self.fleet.instances.iter();
        instances
            .position(|i| i.board.identity.ip == ip)
            .expect("only known instances are selected")
    }

    /// Lets the clients send for `time`. Datagrams arrive only where `reaches` returns true.
    fn run(&mut self, time: Duration, reaches: impl Fn(usize, usize, Duration) -> bool) {
        let until = self.fleet.now + time;
        while self.fleet.now < until {
            let now = self.fleet.now;
            self.fleet.step(|from, to| reaches(from, to, now));
            self.move_requests();
            self.send();
            let in_progress = self.requests.len() as u32;
            self.counts.peak = self.counts.peak.max(in_progress);
        }
    }

    fn send(&mut self) {
        let now = self.fleet.now;
        for _ in 0..self.idle.len() {
            let Some((from, at)) = self.idle.pop_front() else {
                return;
            };
            if at > now {
                self.idle.push_back((from, at));
                continue;
            }
            let process_time = self.fleet.process_time(from);
            let board = &mut self.fleet.instances[from].board;
            match select(board, process_time, self.rule) {
                Ok(ip) => {
                    let counted =
                        board
                            .forwarded
                            .begin(process_time, &"b".into(), short_hash(MODEL));
                    let to = self.index_of(ip);
                    self.requests.push(Request {
                        from,
                        begun_at: now,
                        due_at: now + HOP,
                        stage: Stage::Outward(to),
                        counted,
                    });
                }
                Err(shortage) => {
                    self.counts.refused += 1;
                    if !self.counts.shortages.contains(&shortage) {
                        self.counts.shortages.push(shortage);
                    }
                    self.idle.push_back((from, now + PAUSE_AFTER_REFUSAL));
                }
            }
        }
    }

    fn move_requests(&mut self) {
        let now = self.fleet.now;
        for mut request in std::mem::take(&mut self.requests) {
            let is_given_up = now >= request.begun_at + DEADLINE;
            if now < request.due_at && !is_given_up {
                self.requests.push(request);
                continue;
            }
            match request.stage {
                _ if is_given_up => {
                    if let Stage::Running(index, key) = request.stage {
                        self.finish(index, key, AttemptOutcome::Cancelled);
                    }
                    self.counts.given_up += 1;
                    self.end(request, Duration::ZERO);
                }
                Stage::Outward(index) => {
                    let process_time = self.fleet.process_time(index);
                    let board = &mut self.fleet.instances[index].board;
                    let selected = admit::select_upstream(board, process_time, &spec(TARGET));
                    request.stage = match selected {
                        _ if !self.answers => Stage::Lost,
                        Ok(selected) => {
                            let upstreams = &mut board.upstreams;
                            upstreams.start_attempt(
                                process_time,
                                selected.key,
                                selected.request_load,
                            );
                            upstreams.start_forwarded(selected.key);
                            request.due_at = now + self.work_time;
                            Stage::Running(index, selected.key)
                        }
                        Err(_) => {
                            request.due_at = now + HOP;
                            Stage::Back(false)
                        }
                    };
                    self.requests.push(request);
                }
                Stage::Running(index, key) => {
                    self.finish(index, key, AttemptOutcome::Whole);
                    request.stage = Stage::Back(true);
                    request.due_at = now + HOP;
                    self.requests.push(request);
                }
                Stage::Back(true) => {
                    self.counts.served += 1;
                    self.end(request, Duration::ZERO);
                }
                Stage::Back(false) => {
                    self.counts.refused_there += 1;
                    self.end(request, PAUSE_AFTER_REFUSAL);
                }
                Stage::Lost => self.requests.push(request),
            }
        }
    }

    fn finish(&mut self, index: usize, key: Key, outcome: AttemptOutcome) {
        let process_time = self.fleet.process_time(index);
        let upstreams = &mut self.fleet.instances[index].board.upstreams;
        upstreams.finish_forwarded(key);
        let load = Default::default();
        upstreams.finish_attempt(process_time, key, load, outcome, Duration::ZERO);
    }

    fn end(&mut self, request: Request, pause: Duration) {
        let board = &mut self.fleet.instances[request.from].board;
        board.forwarded.end(request.counted);
        self.idle.push_back((request.from, self.fleet.now + pause));
    }
}

/// Returns the counts of 60 clients of one instance, whose requests take 50 ms.
fn counts_of(rule: Rule) -> Counts {
    let mut play = Play::new(fleet(1, 1, 2_000), rule, 1, 60);
    play.run(ms(10_000), |_, _, _| true);
    println!("{rule:?}: {:?}", play.counts);
    play.counts
}

#[test]
fn answers_that_have_come_do_not_count_against_the_room_of_another_region() {
    let baseline = counts_of(Rule::Baseline);
    let counts = counts_of(Rule::Outstanding);
    assert!(baseline.refused_share() > 0.3, "{baseline:?}");
    assert!(counts.refused_share() < 0.01, "{counts:?}");
}

/// Runs a case in which many instances forward to an upstream with few slots, and returns the counts.
fn crowd(
    forwarding: usize,
    serving: usize,
    slots: u32,
    work_time: Duration,
    reaches: impl Fn(usize, usize, Duration) -> bool,
) -> Counts {
    let mut fleet = fleet(forwarding, serving, slots);
    // A few instances report to many, so it takes some time until each has a report.
    fleet.advance(ms(24_000));
    let mut play = Play::new(fleet, Rule::Outstanding, forwarding, 8);
    play.work_time = work_time;
    play.run(ms(6_000), reaches);
    println!("{:?}", play.counts);
    play.counts
}

macro_rules! crowd_test {
    ($($name:ident: $forwarding:expr, $serving:expr, $slots:expr, $work:expr, $reaches:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let counts = crowd($forwarding, $serving, $slots, ms($work), $reaches);
                let room = $slots * MAX_PER_SLOT;
                assert!(counts.peak <= room, "more than {room}: {counts:?}");
                assert!(counts.served > room, "{counts:?}");
            }
        )*
    };
}

/// Returns whether a datagram arrives: one in `one_in` of those that the region with upstreams sends to the other.
fn some_reports(forwarding: usize, one_in: usize) -> impl Fn(usize, usize, Duration) -> bool {
    move |from, to, now| {
        let is_report = from >= forwarding && to < forwarding;
        let round = now.as_millis() / GOSSIP_INTERVAL.as_millis();
        let number = round as usize + from * 7 + to * 13;
        !is_report || number.is_multiple_of(one_in)
    }
}

crowd_test! {
    many_instances_do_not_overshoot_between_two_reports: 117, 1, 200, 50, |_, _, _| true;
    many_instances_do_not_overshoot_with_long_answers: 117, 3, 200, 2_000, |_, _, _| true;
    many_instances_do_not_overshoot_while_most_reports_are_lost:
        117, 3, 200, 500, some_reports(117, 4);
    many_instances_do_not_overshoot_where_there_is_not_a_place_for_each: 117, 1, 16, 50, |_, _, _| true;
    few_instances_use_what_they_are_given_while_most_reports_are_lost:
        2, 1, 4, 50, some_reports(2, 3);
}

/// Only one of four instances has clients. Few slots, so that an equal part of the room is not enough.
#[test]
fn an_instance_that_forwards_alone_is_not_confined_to_an_equal_part_of_the_room() {
    let served = |rule| {
        let mut play = Play::new(fleet(4, 1, 16), rule, 1, 60);
        play.run(ms(6_000), |_, _, _| true);
        play.counts = Counts::default();
        play.run(ms(10_000), |_, _, _| true);
        println!("{rule:?}: {:?}", play.counts);
        play.counts.served
    };
    let baseline = served(Rule::Baseline);
    assert!(served(Rule::Outstanding) >= baseline);
}

/// The others begin at once, while one already uses most of the room.
#[test]
fn instances_that_begin_to_forward_at_once_displace_one_that_did_so_alone() {
    let mut play = Play::new(fleet(4, 1, 16), Rule::Outstanding, 1, 60);
    play.run(ms(8_000), |_, _, _| true);
    let senders = (1..4).flat_map(|index| (0..20).map(move |_| index));
    let now = play.fleet.now;
    play.idle.extend(senders.map(|index| (index, now)));
    play.counts = Counts::default();
    play.run(ms(2_000), |_, _, _| true);
    assert!(play.counts.peak <= 48 * 7 / 4, "{:?}", play.counts);
    play.counts = Counts::default();
    play.run(ms(8_000), |_, _, _| true);
    println!("{:?}", play.counts);
    assert!(play.counts.peak <= 48, "{:?}", play.counts);
    assert_eq!(play.counts.refused_there, 0, "{:?}", play.counts);
}

#[test]
fn requests_that_never_answer_hold_no_more_than_the_room_and_free_it_when_they_are_given_up() {
    let mut play = Play::new(fleet(2, 1, 4), Rule::Outstanding, 2, 20);
    play.answers = false;
    play.run(ms(4_000), |_, _, _| true);
    assert_eq!((play.counts.peak, play.counts.served), (12, 0));
    play.answers = true;
    play.run(ms(6_000), |_, _, _| true);
    println!("{:?}", play.counts);
    assert_eq!(play.counts.given_up, 12);
    assert!(play.counts.served > 100, "{:?}", play.counts);
    assert!(play.counts.peak <= 12, "{:?}", play.counts);
}

#[test]
fn refusal_names_the_room_that_lacks_and_not_the_upstream() {
    let mut play = Play::new(fleet(2, 1, 4), Rule::Outstanding, 2, 20);
    play.run(ms(4_000), |_, _, _| true);
    assert_eq!(play.counts.shortages, [Shortage::NoRoomElsewhere]);
}

#[test]
fn refusal_names_the_upstream_where_no_region_has_one() {
    let mut fleet = Fleet::new(&[("a", 2), ("b", 2)], plain_config());
    fleet.advance(ms(6_000));
    let now = fleet.process_time(0);
    let selected = select(&mut fleet.instances[0].board, now, Rule::Outstanding);
    assert_eq!(selected, Err(Shortage::NoUpstream));
}

#[test]
fn region_whose_instances_are_of_the_version_before_is_still_forwarded_to() {
    let mut fleet = fleet(1, 1, 2_000);
    fleet.instances[1].previous_version = true;
    fleet.advance(ms(2_000));
    let mut play = Play::new(fleet, Rule::Outstanding, 1, 60);
    play.run(ms(10_000), |_, _, _| true);
    let baseline = counts_of(Rule::Baseline);
    println!("{:?}", play.counts);
    assert!(
        play.counts.served >= baseline.served * 9 / 10,
        "{:?}",
        play.counts
    );
}
