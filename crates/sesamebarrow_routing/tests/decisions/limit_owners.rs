//! Tests of what the instances of a region together send to an upstream that names a limit.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

use rstest::rstest;
use sesamebarrow_routing::admit::{self, Rejection, RequestSpec};
use sesamebarrow_routing::board::limit::{Effects, Owner, Permission};
use sesamebarrow_routing::gossip::{Datagram, Record, short_hash};
use sesamebarrow_routing::limit::message::{Decision, Observed};
use sesamebarrow_routing::limit::{self, Statement};
use sesamebarrow_routing::token::Body;
use sesamebarrow_routing::upstream::Key;
use sesamebarrow_routing::{Board, Identity};
use smol_str::SmolStr;

use crate::fleet::{Fleet, MODEL, STEP, config, entry, ms, parameters, route};

const START: Duration = Duration::from_secs(100);

/// A fleet in one region whose instances exchange messages about limits at once.
struct Region {
    fleet: Fleet,
    key_id: &'static str,
}

impl Region {
    /// Starts `count` instances that know each other, and an upstream.
    fn new(count: usize) -> Self {
        let mut fleet = Fleet::new(&[("a", count)], config(&[], vec![route("r", &[])]));
        fleet.advance(Duration::from_secs(5));
        for instance in &mut fleet.instances {
            let upstream = entry("up", "a", Duration::ZERO);
            instance.board.put_upstream(Duration::ZERO, upstream);
        }
        Self {
            fleet,
            key_id: "up",
        }
    }

    fn key(&self, index: usize) -> Key {
        let upstreams = &self.fleet.instances[index].board.upstreams;
        upstreams.key(self.key_id).expect("the upstream is known")
    }

    fn index_of(&self, ip: Ipv4Addr) -> usize {
        let mut instances = self.fleet.instances.iter();
        let index = instances.position(|i| i.board.identity.ip == ip);
        index.expect("messages are sent only to known addresses")
    }

    /// Delivers messages and those that follow from them, where `reaches` returns true.
    fn deliver(&mut self, from: usize, effects: Effects, reaches: impl Fn(usize, usize) -> bool) {
        let with_sender = |from, effects: Effects| {
            let messages = effects.messages.into_iter();
            messages.map(move |(ip, body)| (from, ip, body))
        };
        let mut queue: VecDeque<_> = with_sender(from, effects).collect();
        while let Some((from, ip, body)) = queue.pop_front() {
            let to = self.index_of(ip);
            if !reaches(from, to) {
                continue;
            }
            let now = self.fleet.process_time(to);
            let board = &mut self.fleet.instances[to].board;
            let effects = match body {
                Body::LimitObserved(observed) => board.handle_observed(now, &observed),
                Body::LimitStates(states) => board.handle_limit_states(now, &states),
                _ => Effects::default(),
            };
            queue.extend(with_sender(to, effects));
        }
    }

    fn observe(
        &mut self,
        index: usize,
        statement: Statement,
        reaches: impl Fn(usize, usize) -> bool,
    ) {
        let now = self.fleet.process_time(index);
        let key = self.key(index);
        let board = &mut self.fleet.instances[index].board;
        let effects = board.observe_limit(now, key, statement, false, now);
        self.deliver(index, effects, reaches);
    }

    /// Returns whether the instance at `index` may send one request now.
    fn take(&mut self, index: usize, reaches: impl Fn(usize, usize) -> bool) -> bool {
        let now = self.fleet.process_time(index);
        let key = self.key(index);
        match self.fleet.instances[index].board.take_permit(now, key, 0) {
            Permission::Unlimited | Permission::Granted => true,
            Permission::Refused(_) => false,
            Permission::Ask(ip, request) => {
                let owner = self.index_of(ip);
                if !reaches(index, owner) || !reaches(owner, index) {
                    self.fleet.instances[index]
                        .board
                        .record_silent_owner(now, ip);
                    return false;
                }
                let owner_now = self.fleet.process_time(owner);
                let board = &mut self.fleet.instances[owner].board;
                let answer = board.handle_permit_request(owner_now, &request);
                let board = &mut self.fleet.instances[index].board;
                board.handle_permit_answer(now, &request, &answer) == Permission::Granted
            }
        }
    }

    /// Lets each instance try to send ten requests a second for `time`, and returns when requests were sent.
    fn load(
        &mut self,
        time: Duration,
        reaches: impl Fn(usize, usize) -> bool + Copy,
    ) -> Vec<Duration> {
        let until = self.fleet.now + time;
        let mut sent = Vec::new();
        while self.fleet.now < until {
            self.fleet.step(reaches);
            for index in 0..self.fleet.instances.len() {
                let due = (self.fleet.now.as_millis() / STEP.as_millis()) as usize;
                if due % 10 == index % 10 && self.take(index, reaches) {
                    sent.push(self.fleet.now);
                }
            }
        }
        sent
    }
}

/// Returns the largest number of times within 4 s.
fn most_in_4s(times: &[Duration]) -> usize {
    let within = |at: &Duration| {
        let window = times.iter().filter(|t| **t >= *at && **t < *at + ms(4_000));
        window.count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Returns what upstreams allow in 4 s.
fn allowed(rate: f64) -> usize {
    (4.0 * rate * 1.5 + 5.0) as usize
}

fn all(_: usize, _: usize) -> bool {
    true
}

/// Two halves of a region that do not reach each other.
fn halves(from: usize, to: usize) -> bool {
    from % 2 == to % 2
}

#[rstest]
#[case::quarter_at_6(0.25, 6)]
#[case::one_at_6(1.0, 6)]
#[case::one_at_40(1.0, 40)]
#[case::twenty_at_8(20.0, 8)]
#[case::twenty_at_117(20.0, 117)]
fn all_instances_together_keep_to_a_limit_and_use_it(#[case] rate: f64, #[case] count: usize) {
    let mut region = Region::new(count);
    region.observe(count - 1, Statement::Limit(rate), all);
    let sent = region.load(Duration::from_secs(40), all);
    assert!(most_in_4s(&sent) <= allowed(rate), "{}", most_in_4s(&sent));
    assert!(
        sent.len() as f64 >= 0.85 * rate * 40.0 - 1.0,
        "{}",
        sent.len()
    );
}

#[rstest]
#[case::one(1.0)]
#[case::twenty(20.0)]
fn both_sides_of_a_split_together_keep_to_a_limit(#[case] rate: f64) {
    let mut region = Region::new(8);
    region.observe(0, Statement::Limit(rate), all);
    region.load(Duration::from_secs(5), all);
    let sent = region.load(Duration::from_secs(60), halves);
    assert!(most_in_4s(&sent) <= allowed(rate), "{}", most_in_4s(&sent));
    assert!(sent.len() as f64 >= 0.85 * rate * 60.0, "{}", sent.len());
}

#[rstest]
#[case::twenty_at_117(20.0, 117)]
#[case::twenty_at_350(20.0, 350)]
#[case::two_at_40(2.0, 40)]
fn instances_that_hear_no_other_together_keep_to_a_limit(#[case] rate: f64, #[case] count: usize) {
    let mut region = Region::new(count);
    region.observe(0, Statement::Limit(rate), all);
    region.load(Duration::from_secs(5), all);
    let sent = region.load(Duration::from_secs(60), |_, _| false);
    assert!(
        most_in_4s(&sent) <= allowed(rate),
        "{} of {}",
        most_in_4s(&sent),
        allowed(rate)
    );
}

#[rstest]
#[case::twenty_at_8(20.0, 8)]
#[case::two_at_40(2.0, 40)]
#[case::twenty_at_40(20.0, 40)]
#[case::hundred_at_117(100.0, 117)]
fn instances_that_hear_no_other_use_a_limit_also_after_a_lull(
    #[case] rate: f64,
    #[case] count: usize,
) {
    let mut region = Region::new(count);
    region.observe(0, Statement::Limit(rate), all);
    region.load(Duration::from_secs(5), all);
    let sent = region.load(Duration::from_secs(60), |_, _| false);
    assert!(most_in_4s(&sent) <= allowed(rate), "{}", most_in_4s(&sent));
    assert!(sent.len() as f64 >= 0.85 * rate * 60.0, "{}", sent.len());
    let lull_end = region.fleet.now + Duration::from_secs(30);
    while region.fleet.now < lull_end {
        region.fleet.step(|_, _| false);
    }
    let sent = region.load(Duration::from_secs(10), |_, _| false);
    assert!(most_in_4s(&sent) <= allowed(rate), "{}", most_in_4s(&sent));
    assert!(sent.len() as f64 >= 0.85 * rate * 10.0, "{}", sent.len());
}

#[rstest]
#[case::one_at_12_in_3(1.0, 12, 3)]
#[case::one_at_40_in_10(1.0, 40, 10)]
#[case::quarter_at_40_in_4(0.25, 40, 4)]
#[case::twenty_at_40_in_10(20.0, 40, 10)]
#[case::twenty_at_41_in_5(20.0, 41, 5)]
fn sides_of_any_number_together_keep_to_a_limit_and_use_it(
    #[case] rate: f64,
    #[case] count: usize,
    #[case] sides: usize,
) {
    let mut region = Region::new(count);
    region.observe(0, Statement::Limit(rate), all);
    region.load(Duration::from_secs(5), all);
    let same_side = |from, to| from % sides == to % sides;
    let sent = region.load(Duration::from_secs(60), same_side);
    assert!(most_in_4s(&sent) <= allowed(rate), "{}", most_in_4s(&sent));
    assert!(sent.len() as f64 >= 0.85 * rate * 60.0, "{}", sent.len());
}

#[test]
fn instance_that_is_cut_from_the_owner_only_gets_permits_of_a_deputy() {
    let rate = 20.0;
    let mut region = Region::new(6);
    region.observe(0, Statement::Limit(rate), all);
    let now = region.fleet.process_time(0);
    let run = region.fleet.instances[0].board.upstreams.all[region.key(0)].run_hash;
    let owner = match region.fleet.instances[0].board.limit_owner(now, run).0 {
        Owner::Own => 0,
        Owner::Other(ip) => region.index_of(ip),
    };
    let cut = (owner + 1) % 6;
    let reaches = |from, to| (from, to) != (owner, cut) && (from, to) != (cut, owner) || from == to;
    let mut granted = 0;
    let mut sent = Vec::new();
    let until = region.fleet.now + Duration::from_secs(30);
    while region.fleet.now < until {
        region.fleet.step(reaches);
        for index in [owner, cut] {
            if region.take(index, reaches) {
                sent.push(region.fleet.now);
                granted += usize::from(index == cut);
            }
        }
    }
    assert!(most_in_4s(&sent) <= allowed(rate), "{}", most_in_4s(&sent));
    assert!(granted as f64 >= 0.8 * 0.4 * rate * 30.0, "{granted}");
}

#[test]
fn instance_that_is_taken_for_the_owner_tells_all_of_a_limit() {
    let mut region = Region::new(6);
    let (now, key) = (region.fleet.process_time(0), region.key(0));
    let board = &region.fleet.instances[0].board;
    let run = board.upstreams.all[key].run_hash;
    let other = (0..6)
        .find(|index| {
            let now = region.fleet.process_time(*index);
            let board = &region.fleet.instances[*index].board;
            board.limit_owner(now, run).0 != Owner::Own
        })
        .expect("only one is the owner");
    let observed = Observed {
        run,
        rate: Some(5.0),
        by_refusal: false,
    };
    let board = &mut region.fleet.instances[other].board;
    let effects = board.handle_observed(now, &observed);
    region.deliver(other, effects, all);
    for instance in &region.fleet.instances {
        let limit = instance.board.limits.in_force(run);
        assert!(limit.is_some(), "{}", instance.board.identity.name);
    }
}

#[test]
fn instance_that_says_that_it_is_not_ready_is_not_asked_again_at_once() {
    let mut region = Region::new(6);
    region.observe(0, Statement::Limit(5.0), all);
    let now = region.fleet.process_time(0);
    let key = region.key(0);
    let run = region.fleet.instances[0].board.upstreams.all[key].run_hash;
    let owner_of = |region: &Region, index: usize| match region.fleet.instances[index]
        .board
        .limit_owner(now, run)
        .0
    {
        Owner::Own => index,
        Owner::Other(ip) => region.index_of(ip),
    };
    let owner = owner_of(&region, 0);
    let other = (owner + 1) % 6;
    region.fleet.instances[owner].board.discovery_done = false;
    assert!(!region.take(other, all));
    let next = owner_of(&region, other);
    assert_ne!(next, owner);
    region.load(Duration::from_secs(2), |_, to| to != other);
    let board = &region.fleet.instances[other].board;
    let name = &region.fleet.instances[owner].board.identity.name;
    let member = &board.members.all[name.as_str()];
    let later = region.fleet.process_time(other);
    assert!(member.may_own_limits(later), "its news are too old");
}

#[test]
fn limit_is_kept_when_its_owner_ends_and_starts_again() {
    let mut region = Region::new(6);
    region.observe(0, Statement::Limit(1.0), all);
    let now = region.fleet.process_time(0);
    let run = region.fleet.instances[0].board.upstreams.all[region.key(0)].run_hash;
    let owner = match region.fleet.instances[0].board.limit_owner(now, run).0 {
        Owner::Own => 0,
        Owner::Other(ip) => region.index_of(ip),
    };
    let mut sent = region.load(Duration::from_secs(10), all);
    sent.extend(region.load(Duration::from_secs(5), |from, to| {
        from != owner && to != owner
    }));
    region.fleet.restart(owner);
    let upstream = entry("up", "a", Duration::ZERO);
    let board = &mut region.fleet.instances[owner].board;
    board.put_upstream(Duration::ZERO, upstream);
    // The owner has learned nothing yet, and its first answer binds it.
    region.observe(owner, Statement::Limit(1.0), all);
    sent.extend(region.load(Duration::from_secs(20), all));
    assert!(most_in_4s(&sent) <= allowed(1.0), "{}", most_in_4s(&sent));
    assert!(sent.len() >= 24, "{}", sent.len());
}

#[test]
fn limit_of_zero_is_tried_seldom_and_ends() {
    let mut region = Region::new(6);
    region.observe(2, Statement::Limit(0.0), all);
    let sent = region.load(Duration::from_secs(100), all);
    assert_eq!(sent.len(), 1, "one request in a minute");
    region.observe(1, Statement::NoLimit, all);
    region.observe(4, Statement::NoLimit, all);
    assert!((0..6).all(|index| region.take(index, all)));
}

#[test]
fn new_run_of_an_upstream_has_no_limit() {
    let mut region = Region::new(3);
    region.observe(0, Statement::Limit(0.0), all);
    assert!(!region.take(1, all));
    let mut restarted = entry("up", "a", Duration::ZERO);
    restarted.started_at_ms = Some(2);
    let board = &mut region.fleet.instances[1].board;
    board.put_upstream(START, restarted);
    assert!(region.take(1, all));
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut region = Region::new(1);
    region.observe(0, Statement::Limit(1.0), all);
    let (now, key) = (region.fleet.process_time(0), region.key(0));
    let board = &mut region.fleet.instances[0].board;
    for _ in 0..limit::MAX_END_EVIDENCE {
        board.observe_limit(now, key, Statement::NoLimit, false, now - ms(1));
    }
    assert!(!board.is_unlimited(key));
}

#[test]
fn rates_that_are_none_are_ignored() {
    let mut region = Region::new(2);
    let run = region.fleet.instances[0].board.upstreams.all[region.key(0)].run_hash;
    let board = &mut region.fleet.instances[0].board;
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let observed = Observed {
            run,
            rate: Some(rate),
            by_refusal: false,
        };
        board.handle_observed(START, &observed);
    }
    assert!(board.limits.in_force(run).is_none());
}

#[test]
fn owner_that_does_not_know_a_limit_grants_nothing_by_it() {
    let mut region = Region::new(4);
    let now = region.fleet.process_time(0);
    region.observe(0, Statement::Limit(5.0), |_, _| false);
    let key = region.key(0);
    let board = &mut region.fleet.instances[0].board;
    if let Permission::Ask(ip, request) = board.take_permit(now, key, 0) {
        let owner = region.index_of(ip);
        let board = &mut region.fleet.instances[owner].board;
        let answer = board.handle_permit_request(now, &request);
        assert_eq!(answer.decision(), Decision::Unlimited);
        let board = &mut region.fleet.instances[0].board;
        let permission = board.handle_permit_answer(now, &request, &answer);
        assert!(matches!(permission, Permission::Refused(_)));
    }
}

#[test]
fn request_is_refused_at_once_when_all_limits_are_used_up() {
    let mut region = Region::new(1);
    region.fleet.instances[0].board.parameters.expects_others = false;
    region.observe(0, Statement::Limit(0.5), all);
    assert!(!region.take(0, all));
    let now = region.fleet.process_time(0);
    let request = RequestSpec {
        service: MODEL.into(),
        prompt_tokens: 500,
        output_tokens: 60,
        target_wait: ms(800),
        ..RequestSpec::default()
    };
    let board = &mut region.fleet.instances[0].board;
    let rejection = admit::select_upstream(board, now, &request);
    let Err(Rejection::Limited(due_in)) = rejection else {
        panic!("{rejection:?}");
    };
    assert!(due_in > ms(1_500) && due_in <= ms(2_000), "{due_in:?}");
    assert_eq!(admit::service_load(board, now, &MODEL.into()).1, 0);
}

/// Returns how many requests an instance may send in 10 s to an upstream that takes 10 a second. Its region has two
/// failure domains; it has heard from an instance of each of `heard_from` since its start.
fn sent_after_start(heard_from: &[&str]) -> usize {
    let regions: HashMap<SmolStr, SmolStr> = [("a1", "a"), ("a2", "a"), ("b1", "b")]
        .map(|(domain, region)| (domain.into(), region.into()))
        .into();
    let identity = Identity {
        name: "own".into(),
        domain: "a1".into(),
        region: "a".into(),
        ip: Ipv4Addr::new(10, 0, 0, 1),
        incarnation: 1,
    };
    let mut board = Board::new(identity, parameters(), regions, 1);
    board.apply_config(Duration::ZERO, config(&[], vec![route("r", &[])]));
    board.discovery_done = true;
    let upstream = entry("up", "a1", Duration::ZERO);
    board.put_upstream(Duration::ZERO, upstream);
    let key = board.upstreams.key("up").expect("the upstream is known");
    let mut now = START;
    board.observe_limit(now, key, Statement::Limit(10.0), false, now);
    let mut sent = 0;
    for step in 0..1_000_u32 {
        now += ms(10);
        for (number, domain) in heard_from.iter().enumerate() {
            board.handle_datagram(now, Duration::ZERO, &heartbeat(number, domain, step));
        }
        sent += usize::from(board.take_permit(now, key, 0) == Permission::Granted);
    }
    sent
}

/// Returns a datagram of an instance that is not ready, so that it owns nothing.
fn heartbeat(number: usize, domain: &str, step: u32) -> Datagram {
    Datagram {
        sender: Record {
            name: format!("other-{number}"),
            domain_hash: short_hash(domain),
            ip: Ipv4Addr::new(10, 0, 1, number as u8).to_bits(),
            incarnation: 1,
            heartbeat: u64::from(step) + 1,
            ..Record::default()
        },
        limits_digest: Some(0),
        ..Datagram::default()
    }
}

#[rstest]
#[case::both_domains(&["a1", "a2"], 90, 103)]
#[case::its_own_domain_only(&["a1"], 55, 75)]
#[case::nobody(&[], 0, 2)]
fn instance_that_starts_in_a_cut_grants_only_its_part(
    #[case] heard_from: &[&str],
    #[case] min: usize,
    #[case] max: usize,
) {
    let sent = sent_after_start(heard_from);
    assert!((min..=max).contains(&sent), "{sent}");
}
