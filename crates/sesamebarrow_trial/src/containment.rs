//! Simulates requests that crash upstreams, beside sound ones, over virtual time.
//!
//! The instances are boards of `sesamebarrow_routing` that exchange the messages of its `quarantine` module
//! over a network that delays, loses and cuts. Upstreams run batches of requests; a crash ends all of them.

pub mod experiment;

mod exchange;
pub(crate) mod instance;
mod request;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::Board;
use sesamebarrow_routing::quarantine::{Suspect, Suspects};
use sesamebarrow_routing::token::Body;

pub use experiment::{Experiment, Harm, Policy, Report, Served};

/// First id of the harmful parts.
const HARMFUL_PART: u64 = 0xbad;
/// First id of the parts that nearly all prompts share.
const COMMON_PART: u64 = 1;
/// First id of the parts that some prompts share.
const SUBJECTS: u64 = 10_000;
/// Number of these parts for each instance, so that each is rare at one instance.
const SUBJECTS_PER_INSTANCE: u64 = 20;
/// First id of the parts that belong to one request each, and of the fingerprints of such requests.
const OWN_PARTS: u64 = 1 << 40;
/// First fingerprint of the sound requests that come again.
const READS: u64 = 1 << 50;
/// First fingerprint of the harmful requests that come again.
const HARMFUL_REQUESTS: u64 = 1 << 51;
/// Number of customers.
const CUSTOMERS: u64 = 5;
/// Number of regions.
const REGIONS: usize = 3;
/// Time at which requests begin; later than any age that matters.
const START: Duration = Duration::from_secs(30);
/// Time of sound requests only, before the first harmful one.
const WARM_UP: Duration = Duration::from_secs(15);
/// The users' bound on the time in which instances learn of something.
pub const CONTACT_TIME: Duration = Duration::from_secs(6);
/// One-way delays within a region and between regions.
const DELAYS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(80));
/// Time between two rounds in which instances compare digests and repeat blame.
const ROUND: Duration = Duration::from_millis(400);
/// Number of instances whose digests an instance compares in a round.
const FANOUT: usize = 7;
/// Time until a crashed upstream or a restarted instance is back.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Time until an upstream begins to answer a harmful request.
const BEGIN_TIME: Duration = Duration::from_millis(250);
/// Seconds before the end in which no sound requests begin, so that those that have begun can end.
const LAST_SECONDS: f64 = 2.0;
/// Every so many instances restart if a third do, and if all do.
const SOME: usize = 3;
const ALL: usize = 1;
/// Fraction of requests that are forwarded to another region.
const HOP_FRACTION: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Before,
    Meanwhile,
    After,
}

#[derive(Clone, Debug)]
struct Request {
    /// The instance that sends it to upstreams.
    instance: usize,
    suspects: Suspects,
    harmful: bool,
    upstream: usize,
    /// Number of runs that ended under it.
    crashes: u32,
    is_trial: bool,
    phase: Phase,
}

#[derive(Debug, Default)]
struct Upstream {
    region: usize,
    up: bool,
    run: u64,
    requests: Vec<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Harmful,
    Sound,
    Begin(u64),
    Finish(u64),
    Deliver {
        from: usize,
        to: usize,
        body: Body,
    },
    UpstreamBack(usize),
    OwnCrash,
    /// Every so many instances restart.
    Restart(usize),
    InstanceBack(usize),
    Round,
}

struct Instance {
    board: Board,
    started_at: Duration,
    up: bool,
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
    requests: HashMap<u64, Request>,
    /// When the crash came from which the users' rule counts.
    counted_crash_at: Option<Duration>,
    last_crash_at: Option<Duration>,
    /// When sound requests were sent after the warm-up, and whether they began.
    sound: Vec<(Duration, bool)>,
    /// When sound suspects were quarantined, while they are.
    wrong_since: HashMap<Suspect, Duration>,
    sent_bytes: u64,
    report: Report,
}

/// Runs an experiment.
pub fn run(cfg: &Experiment, policy: Policy, seed: u64) -> Report {
    let mut run = Run::new(cfg, policy, seed);
    let end = START + WARM_UP + Duration::from_secs_f64(cfg.seconds);
    while let Some(((at, _), event)) = run.queue.pop_first() {
        if at > end {
            break;
        }
        run.now = at;
        run.handle(event);
    }
    for since in std::mem::take(&mut run.wrong_since).into_values() {
        run.report.longest_wrong = run.report.longest_wrong.max(end.saturating_sub(since));
    }
    run.report.begun_after = run.begun_after();
    // CAST: sizes and counts are small.
    run.report.bytes_per_s = run.sent_bytes as f64 / cfg.instances as f64 / cfg.seconds;
    run.report
}

impl<'a> Run<'a> {
    fn new(cfg: &'a Experiment, policy: Policy, seed: u64) -> Self {
        let mut run = Self {
            cfg,
            policy,
            rng: StdRng::seed_from_u64(seed),
            now: START,
            queue: BTreeMap::new(),
            next_id: 0,
            instances: Vec::new(),
            upstreams: Vec::new(),
            requests: HashMap::new(),
            counted_crash_at: None,
            last_crash_at: None,
            sound: Vec::new(),
            wrong_since: HashMap::new(),
            sent_bytes: 0,
            report: Report::default(),
        };
        run.instances = (0..cfg.instances)
            .map(|index| Instance {
                board: instance::build_board(index, cfg.instances),
                started_at: Duration::ZERO,
                up: true,
            })
            .collect();
        run.upstreams = (0..cfg.upstreams)
            .map(|index| Upstream {
                region: index % REGIONS,
                up: true,
                // CAST: small numbers.
                run: index as u64,
                requests: Vec::new(),
            })
            .collect();
        run.next_id = 1 << 20;
        run.schedule(Duration::ZERO, Event::Sound);
        run.schedule(ROUND, Event::Round);
        for (from, _) in &cfg.harmful_spans {
            run.schedule(WARM_UP + Duration::from_secs_f64(*from), Event::Harmful);
        }
        if cfg.own_crashes_per_min > 0.0 {
            run.schedule(Duration::ZERO, Event::OwnCrash);
        }
        let restarts = [(cfg.restart, SOME), (cfg.restart_of_all, ALL)];
        for (at, stride) in restarts.into_iter().filter_map(|(at, n)| Some((at?, n))) {
            run.schedule(
                WARM_UP + Duration::from_secs_f64(at),
                Event::Restart(stride),
            );
        }
        run
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let id = self.new_id();
        self.queue.insert((self.now + delay, id), event);
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns a random time until the next of events that come `per_s` times a second.
    fn pause(&mut self, per_s: f64) -> Duration {
        let random: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-random.ln() / per_s)
    }

    /// Returns the time since the warm-up in seconds; negative before its end.
    fn seconds(&self) -> f64 {
        self.now.as_secs_f64() - (START + WARM_UP).as_secs_f64()
    }

    fn phase(&self) -> Phase {
        let is_after = |at: Duration| self.now > at + CONTACT_TIME;
        if self.seconds() < 0.0 {
            Phase::Before
        } else if self.counted_crash_at.is_some_and(is_after) {
            Phase::After
        } else {
            Phase::Meanwhile
        }
    }

    /// Returns the sound requests that count after the counted crash.
    fn begun_after(&self) -> Served {
        let Some(counted_at) = self.counted_crash_at.or(self.last_crash_at) else {
            return Served::default();
        };
        let counted = self
            .sound
            .iter()
            .filter(|(at, _)| *at > counted_at + CONTACT_TIME * 2);
        Served {
            asked: counted.clone().count() as u64,
            served: counted.filter(|(_, began)| *began).count() as u64,
        }
    }

    fn served(&mut self, phase: Phase) -> &mut Served {
        match phase {
            Phase::Before => &mut self.report.before,
            Phase::Meanwhile => &mut self.report.meanwhile,
            Phase::After => &mut self.report.after,
        }
    }

    fn process_time(&self, index: usize) -> Duration {
        self.now.saturating_sub(self.instances[index].started_at)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cfg.cut.is_some_and(|(start, end)| {
            (start..end).contains(&self.seconds())
                && from.is_multiple_of(REGIONS) != to.is_multiple_of(REGIONS)
        });
        !is_cut && self.instances[to].up
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Harmful => self.send_harmful(),
            Event::Sound => self.send_sound(),
            Event::Begin(id) => {
                if let Some(request) = self.requests.get(&id) {
                    let upstream = request.upstream;
                    self.report.crashes += 1;
                    self.last_crash_at = Some(self.now);
                    if self.report.crashes == self.cfg.harm.counted_crashes() {
                        self.counted_crash_at = Some(self.now);
                    }
                    self.crash(upstream);
                }
            }
            Event::Finish(id) => self.finish(id),
            Event::Deliver { from, to, body } => self.deliver(from, to, body),
            Event::UpstreamBack(index) => {
                self.upstreams[index].up = true;
                self.upstreams[index].run = self.new_id();
            }
            Event::OwnCrash => {
                let pause = self.pause(self.cfg.own_crashes_per_min / 60.0);
                self.schedule(pause, Event::OwnCrash);
                let up = (0..self.upstreams.len()).filter(|u| self.upstreams[*u].up);
                if let Some(index) = up.choose(&mut self.rng) {
                    self.crash(index);
                }
            }
            Event::Restart(stride) => {
                for index in (0..self.instances.len()).step_by(stride) {
                    self.instances[index].up = false;
                    self.requests.retain(|_, r| r.instance != index);
                    self.schedule(DOWN_TIME, Event::InstanceBack(index));
                }
            }
            Event::InstanceBack(index) => self.bring_back(index),
            Event::Round => self.start_round(),
        }
    }

    /// Starts a new process of an instance. It knows the others and asks some for what they know.
    fn bring_back(&mut self, index: usize) {
        self.instances[index] = Instance {
            board: instance::build_board(index, self.cfg.instances),
            started_at: self.now,
            up: true,
        };
        self.compare_digests(index);
    }

    /// Cancels the requests of an instance with a suspect that their upstreams have not begun to answer.
    fn cancel(&mut self, instance: usize, suspect: Suspect) {
        let is_cancelled = |r: &Request| {
            let contains = r.suspects.contains(suspect);
            r.harmful && r.instance == instance && contains && !r.is_trial
        };
        let ids: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| is_cancelled(r))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(request) = self.requests.remove(&id) {
                self.upstreams[request.upstream]
                    .requests
                    .retain(|other| *other != id);
            }
        }
    }
}
