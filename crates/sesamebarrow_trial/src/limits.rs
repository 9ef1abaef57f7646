//! Simulates upstreams that name limits, and the instances that share them, over virtual time.
//!
//! The instances are boards of `sesamebarrow_routing` that exchange their datagrams and the messages of its `limit`
//! module over a network that delays, loses and cuts.

pub mod experiment;

mod exchange;
mod request;
mod setup;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::Board;
use sesamebarrow_routing::gossip::Datagram;
use sesamebarrow_routing::limit::bucket::Bucket;
use sesamebarrow_routing::limit::message::{PermitAnswer, PermitRequest};
use sesamebarrow_routing::token::Body;
use sesamebarrow_routing::upstream::Key;

pub use experiment::{Experiment, Policy, Report};

/// Number of regions.
const REGIONS: usize = 3;
/// Number of failure domains of a region.
const DOMAINS: usize = 2;
/// One-way delays within a region and between regions.
const DELAYS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(80));
/// Time at which the limits are named; the instances know each other by then.
const NAMED_AT: Duration = Duration::from_secs(12);
/// Time from the naming until the rule counts.
pub const CONTACT_TIME: Duration = Duration::from_secs(6);
/// Span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on a limit and number of requests that upstreams allow in a window.
const ALLOWED: (f64, f64) = (1.5, 5.0);
/// Span over which the worst use of the limits is taken.
const USE_WINDOW: Duration = Duration::from_secs(10);
/// Time after which an instance that was stopped is back.
const DOWN_TIME: Duration = Duration::from_secs(4);

#[derive(Debug)]
enum Event {
    Round(usize),
    Gossip {
        from: usize,
        to: usize,
        datagram: Box<Datagram>,
    },
    Deliver {
        from: usize,
        to: usize,
        body: Body,
    },
    Demand,
    /// A refused request comes back.
    Return {
        region: usize,
    },
    /// A request for a permit is sent again, or was not answered.
    Unanswered {
        id: u64,
        sends: usize,
    },
    Answer {
        instance: usize,
        upstream: usize,
        sent_at: Duration,
    },
    Restart,
    InstanceBack(usize),
}

/// A request that waits for a permit.
#[derive(Clone, Debug)]
struct Waiting {
    instance: usize,
    owner: usize,
    upstream: usize,
    message: PermitRequest,
    asked: u32,
    returned: bool,
}

struct Instance {
    board: Board,
    started_at: Duration,
    up: bool,
    /// Keys of the upstreams of its region.
    keys: Vec<Key>,
    /// Answers to requests for permits, by sender and id.
    answers: HashMap<(usize, u64), PermitAnswer>,
    /// Buckets that the instance keeps by itself, by run, in the policies without an owner.
    buckets: HashMap<u64, Bucket>,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    limited: bool,
    /// Times at which requests arrived.
    arrivals: Vec<Duration>,
}

struct Run<'a> {
    cfg: &'a Experiment,
    policy: Policy,
    rng: StdRng,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    next_id: u64,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    waiting: HashMap<u64, Waiting>,
    sent_bytes: u64,
    report: Report,
}

/// Runs an experiment.
pub fn run(cfg: &Experiment, policy: Policy, seed: u64) -> Report {
    let mut run = Run::new(cfg, policy, seed);
    let end = NAMED_AT + Duration::from_secs_f64(cfg.seconds + cfg.seconds_after);
    while let Some(((at, _), event)) = run.queue.pop_first() {
        if at > end {
            break;
        }
        run.now = at;
        run.handle(event);
    }
    run.measure()
}

impl<'a> Run<'a> {
    fn new(cfg: &'a Experiment, policy: Policy, seed: u64) -> Self {
        let mut run = Self {
            cfg,
            policy,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            next_id: 0,
            instances: Vec::new(),
            upstreams: vec![Upstream::default(); cfg.upstreams],
            waiting: HashMap::new(),
            sent_bytes: 0,
            report: Report::default(),
        };
        let limited = (cfg.upstreams as f64 * cfg.limited).ceil() as usize;
        for upstream in run.upstreams.iter_mut().take(limited.max(1)) {
            upstream.limited = true;
        }
        run.instances = (0..cfg.instances)
            .map(|index| setup::start_instance(cfg, index, Duration::ZERO))
            .collect();
        for index in 0..cfg.instances {
            // CAST: small numbers.
            run.schedule(
                Duration::from_millis(index as u64 % 100),
                Event::Round(index),
            );
        }
        run.schedule(
            NAMED_AT.saturating_sub(Duration::from_secs(2)),
            Event::Demand,
        );
        if let Some(at) = cfg.restart {
            run.schedule(NAMED_AT + Duration::from_secs_f64(at), Event::Restart);
        }
        run
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_id += 1;
        self.queue.insert((self.now + delay, self.next_id), event);
    }

    /// Returns the time since the limits were named in seconds; negative before.
    fn seconds(&self) -> f64 {
        self.now.as_secs_f64() - NAMED_AT.as_secs_f64()
    }

    /// Returns whether upstreams name their limits now.
    fn names_limits(&self) -> bool {
        (0.0..self.cfg.seconds).contains(&self.seconds())
    }

    fn process_time(&self, index: usize) -> Duration {
        self.now.saturating_sub(self.instances[index].started_at)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cfg.cut.is_some_and(|(start, end)| {
            (start..end).contains(&self.seconds()) && setup::domain(from) != setup::domain(to)
        });
        !is_cut && self.instances[from].up && self.instances[to].up
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        match setup::region(from) == setup::region(to) {
            true => DELAYS.0,
            false => DELAYS.1,
        }
    }

    fn is_lost(&mut self) -> bool {
        self.cfg.loss > 0.0 && self.rng.random_bool(self.cfg.loss)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round(index) => self.start_round(index),
            Event::Gossip { from, to, datagram } => self.receive_gossip(from, to, &datagram),
            Event::Deliver { from, to, body } => self.deliver(from, to, body),
            Event::Demand => self.demand(),
            Event::Return { region } => self.begin(region, true),
            Event::Unanswered { id, sends } => self.handle_unanswered(id, sends),
            Event::Answer {
                instance,
                upstream,
                sent_at,
            } => self.receive_answer(instance, upstream, sent_at),
            Event::Restart => {
                for index in 0..self.instances.len() {
                    let part = match self.cfg.restarts_region {
                        true => setup::region(index),
                        false => index / REGIONS,
                    };
                    if !part.is_multiple_of(3) {
                        continue;
                    }
                    self.instances[index].up = false;
                    self.schedule(DOWN_TIME, Event::InstanceBack(index));
                }
            }
            Event::InstanceBack(index) => {
                self.instances[index] = setup::start_instance(self.cfg, index, self.now);
                self.schedule(Duration::ZERO, Event::Round(index));
            }
        }
    }
}
