//! Simulates prompts with a part that crashes upstreams, beside sound ones, over virtual time.
//!
//! The instances are boards of `sesamebarrow_routing` that exchange the messages of its `quarantine` module
//! over a network that delays, loses and cuts. Upstreams run batches of requests; a crash ends all of them.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::board::quarantine::{Effects, Judge};
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::gossip::{Datagram, Record, short_hash};
use sesamebarrow_routing::quarantine::Admission;
use sesamebarrow_routing::token::{self, Body};
use sesamebarrow_routing::{Board, Identity, budget, cold, quota};
use smol_str::{SmolStr, format_smolstr};

/// Id of the harmful part.
const HARMFUL_PART: u64 = 0xbad;
/// Id of the part that nearly all prompts share.
const COMMON_PART: u64 = 1;
/// First id of the parts that some prompts share.
const SUBJECTS: u64 = 10_000;
/// Number of these parts for each instance, so that each is rare at one instance.
const SUBJECTS_PER_INSTANCE: u64 = 20;
/// First id of the parts that belong to one request each.
const OWN_PARTS: u64 = 1 << 40;
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
/// Number of crashes from which the users' rule counts.
pub const COUNTED_CRASHES: u64 = 5;
/// One-way delays within a region and between regions.
const DELAYS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(80));
/// Time between two rounds in which instances compare digests and repeat blame.
const ROUND: Duration = Duration::from_millis(400);
/// Number of instances whose digests an instance compares in a round.
const FANOUT: usize = 7;
/// Time until a crashed upstream or a restarted instance is back.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Time that a sound request runs.
const RUN_TIME: Duration = Duration::from_millis(900);
/// Time until an upstream begins to answer a harmful request.
const BEGIN_TIME: Duration = Duration::from_millis(250);
/// Seconds before the end in which no sound requests begin, so that those that have begun can end.
const LAST_SECONDS: f64 = 2.0;
/// Fraction of requests that are forwarded to another region.
const HOP_FRACTION: f64 = 0.2;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams, in all regions together.
    pub upstreams: usize,
    /// Number of requests that an upstream runs at once.
    pub batch: usize,
    /// Harmful requests per second, between the times in seconds after the warm-up.
    pub harmful_per_s: f64,
    /// Spans in seconds after the warm-up in which harmful requests come.
    pub harmful_spans: Vec<(f64, f64)>,
    /// Sound requests per second.
    pub sound_per_s: f64,
    /// Crashes per minute that no request causes.
    pub own_crashes_per_min: f64,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Span in seconds after the warm-up in which the first region is cut off from the others.
    pub cut: Option<(f64, f64)>,
    /// Time in seconds after the warm-up at which a third of the instances restart.
    pub restart: Option<f64>,
    /// Whether requests may be repeated after a crash.
    pub repeatable: bool,
    /// Position of the harmful part: 0 for the first.
    pub position: usize,
    /// Duration in seconds after the warm-up.
    pub seconds: f64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            instances: 8,
            upstreams: 18,
            batch: 16,
            harmful_per_s: 4.0,
            harmful_spans: vec![(0.0, 60.0)],
            sound_per_s: 100.0,
            own_crashes_per_min: 0.0,
            loss: 0.0,
            cut: None,
            restart: None,
            repeatable: true,
            position: 1,
            seconds: 60.0,
        }
    }
}

/// What is blamed for crashes, and at which instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Shared parts, in the whole fleet.
    Fleet,
    /// Shared parts, at each instance by itself.
    Instance,
    /// The first part, in the whole fleet.
    FirstPart,
    /// The customer, in the whole fleet.
    Customer,
    /// Nothing.
    None,
    /// As `Fleet`, but complete answers acquit nothing; a planted fault.
    NoAcquittal,
    /// As `Fleet`, but crashes under repeated requests are not bounded; a planted fault.
    NoBound,
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Upstreams that crashed under harmful requests.
    pub crashes: u64,
    /// Of these, those before the first order.
    pub crashes_before_order: u64,
    /// Harmful requests that reached upstreams later than [`CONTACT_TIME`] after crash number
    /// [`COUNTED_CRASHES`].
    pub late: u64,
    /// Sound requests sent and served in the warm-up.
    pub before: Served,
    /// The same from the first harmful request until [`CONTACT_TIME`] after crash number [`COUNTED_CRASHES`].
    pub meanwhile: Served,
    /// The same after that.
    pub after: Served,
    /// Sound requests refused because of their parts.
    pub wrongly_refused: u64,
    /// Longest time for which a sound part was quarantined anywhere.
    pub longest_wrong: Duration,
    /// Bytes of messages sent by each instance, per second.
    pub bytes_per_s: f64,
    /// Largest number of blamed parts and orders at an instance.
    pub max_entries: usize,
}

/// Number of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Requests sent.
    pub asked: u64,
    /// Requests answered completely.
    pub served: u64,
}

impl Served {
    /// Returns the fraction that was served; 1 if there were no requests.
    pub fn fraction(self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        // CAST: small numbers.
        self.served as f64 / self.asked as f64
    }
}

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
    customer: u64,
    prompt: Vec<PromptPart>,
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
    Deliver { from: usize, to: usize, body: Body },
    UpstreamBack(usize),
    OwnCrash,
    Restart,
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
    fifth_crash_at: Option<Duration>,
    /// When sound parts were quarantined, while they are.
    wrong_since: HashMap<u64, Duration>,
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
    // CAST: sizes and counts are small.
    run.report.bytes_per_s = run.sent_bytes as f64 / cfg.instances as f64 / cfg.seconds;
    run.report
}

fn ip_of(index: usize) -> Ipv4Addr {
    // CAST: there are less than 2^16 instances.
    let [high, low] = (index as u16).to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

fn index_of(ip: Ipv4Addr) -> usize {
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn region_name(region: usize) -> SmolStr {
    format_smolstr!("region-{region}")
}

fn instance_name(index: usize) -> SmolStr {
    format_smolstr!("instance-{index}")
}

fn parameters() -> Parameters {
    Parameters {
        budget: budget::Limit {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        quota: quota::Tolerance {
            window: Duration::from_secs(8),
            overshoot: 0.25,
            slack: 72_000.0,
        },
        cold: cold::Limit {
            rate_factor: 1.5,
            slack: 3.0,
        },
        prefill_per_ms: 90.0,
        region_delay: DELAYS.1,
        expects_others: true,
    }
}

/// Builds the board of an instance that knows all others and never considers one silent. Blame for judges
/// behind a cut is then lost, which is worse than what membership would do.
fn build_board(index: usize, instances: usize) -> Board {
    let region = region_name(index % REGIONS);
    let regions: HashMap<SmolStr, SmolStr> = (0..REGIONS)
        .map(|r| (region_name(r), region_name(r)))
        .collect();
    let identity = Identity {
        name: instance_name(index),
        domain: region.clone(),
        region,
        ip: ip_of(index),
        incarnation: 1,
    };
    // CAST: the seed of a random generator.
    let mut board = Board::new(identity, parameters(), regions, index as u64);
    for other in (0..instances).filter(|other| *other != index) {
        let datagram = Datagram {
            sender: Record {
                name: instance_name(other).to_string(),
                domain_hash: short_hash(&region_name(other % REGIONS)),
                ip: ip_of(other).to_bits(),
                incarnation: 1,
                heartbeat: 1,
                ..Record::default()
            },
            quarantine_digest: Some(0),
            seen_heartbeat: 1,
            ..Datagram::default()
        };
        board.handle_datagram(Duration::MAX, &datagram);
    }
    board
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
            fifth_crash_at: None,
            wrong_since: HashMap::new(),
            sent_bytes: 0,
            report: Report::default(),
        };
        run.instances = (0..cfg.instances)
            .map(|index| Instance {
                board: build_board(index, cfg.instances),
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
        if let Some(at) = cfg.restart {
            run.schedule(WARM_UP + Duration::from_secs_f64(at), Event::Restart);
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
        } else if self.fifth_crash_at.is_some_and(is_after) {
            Phase::After
        } else {
            Phase::Meanwhile
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
                    if self.report.crashes == COUNTED_CRASHES {
                        self.fifth_crash_at = Some(self.now);
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
            Event::Restart => {
                for index in (0..self.instances.len()).step_by(3) {
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
            board: build_board(index, self.cfg.instances),
            started_at: self.now,
            up: true,
        };
        self.compare_digests(index);
    }

    fn start_round(&mut self) {
        self.schedule(ROUND, Event::Round);
        for index in 0..self.instances.len() {
            if !self.instances[index].up {
                continue;
            }
            let now = self.process_time(index);
            let board = &mut self.instances[index].board;
            board.quarantine.remove_expired(now);
            let entries = board.quarantine.blamed().count() + board.quarantine.orders().count();
            let messages = board.take_blame_messages(now);
            self.report.max_entries = self.report.max_entries.max(entries);
            let effects = Effects {
                messages,
                changes: Vec::new(),
            };
            self.apply(index, effects);
            self.compare_digests(index);
        }
        self.record_wrong_orders();
    }

    fn compare_digests(&mut self, index: usize) {
        let digest = self.instances[index].board.quarantine.digest();
        let others = (0..self.instances.len()).filter(|other| *other != index);
        let receivers: Vec<usize> = others.sample(&mut self.rng, FANOUT);
        for to in receivers {
            if !self.reaches(index, to) || self.rng.random_bool(self.cfg.loss) {
                continue;
            }
            let now = self.process_time(to);
            let board = &self.instances[to].board;
            let messages = board.order_messages(now, ip_of(index), Some(digest));
            let effects = Effects {
                messages,
                changes: Vec::new(),
            };
            self.apply(to, effects);
        }
    }

    fn record_wrong_orders(&mut self) {
        let mut wrong: Vec<u64> = Vec::new();
        for instance in &self.instances {
            let orders = instance.board.quarantine.orders();
            let is_wrong =
                |o: &&sesamebarrow_routing::quarantine::Order| o.in_force && o.part != HARMFUL_PART;
            wrong.extend(orders.filter(is_wrong).map(|o| o.part));
        }
        for part in &wrong {
            self.wrong_since.entry(*part).or_insert(self.now);
        }
        let (now, longest) = (self.now, &mut self.report.longest_wrong);
        self.wrong_since.retain(|part, since| {
            let stays = wrong.contains(part);
            if !stays {
                *longest = (*longest).max(now.saturating_sub(*since));
            }
            stays
        });
    }

    fn apply(&mut self, from: usize, effects: Effects) {
        if self.report.crashes_before_order == 0 && !effects.changes.is_empty() {
            self.report.crashes_before_order = self.report.crashes;
        }
        for (_, order) in effects.changes.iter().filter(|(_, order)| order.in_force) {
            self.cancel(from, order.part);
        }
        if self.policy == Policy::Instance {
            return;
        }
        for (ip, body) in effects.messages {
            let to = index_of(ip);
            // CAST: datagrams are small.
            self.sent_bytes += token::encode(body.clone()).len() as u64;
            if self.rng.random_bool(self.cfg.loss) {
                continue;
            }
            let delay = match from % REGIONS == to % REGIONS {
                true => DELAYS.0,
                false => DELAYS.1,
            };
            self.schedule(delay, Event::Deliver { from, to, body });
        }
    }

    /// Cancels the requests of an instance with a part that their upstreams have not begun to answer.
    fn cancel(&mut self, instance: usize, part: u64) {
        let is_cancelled = |r: &Request| {
            let contains = r.prompt.iter().any(|p| p.id == part);
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

    fn deliver(&mut self, from: usize, to: usize, body: Body) {
        if !self.reaches(from, to) {
            return;
        }
        let now = self.process_time(to);
        let board = &mut self.instances[to].board;
        let effects = match body {
            Body::Blames(blames) => board.handle_blames(now, &blames),
            Body::Orders(orders) => board.handle_orders(now, &orders),
            _ => return,
        };
        self.apply(to, effects);
    }

    fn parts(&mut self, harmful: bool) -> (u64, Vec<PromptPart>) {
        let customer = self.rng.random_range(0..CUSTOMERS);
        // CAST: small numbers.
        let subjects = SUBJECTS_PER_INSTANCE * self.cfg.instances as u64;
        let subject = SUBJECTS + self.rng.random_range(0..subjects);
        let own = OWN_PARTS + self.new_id();
        let mut ids = vec![COMMON_PART, subject, own];
        if harmful {
            ids.insert(self.cfg.position, HARMFUL_PART);
        }
        let ids = match self.policy {
            Policy::FirstPart => vec![ids[0], own],
            Policy::Customer => vec![customer, own],
            _ => ids,
        };
        let parts = ids.into_iter().map(|id| PromptPart { id, tokens: 100 });
        (customer, parts.collect())
    }

    fn send_harmful(&mut self) {
        let seconds = self.seconds();
        let spans = self.cfg.harmful_spans.iter();
        if !spans
            .into_iter()
            .any(|(start, end)| (*start..*end).contains(&seconds))
        {
            return;
        }
        let pause = self.pause(self.cfg.harmful_per_s);
        self.schedule(pause, Event::Harmful);
        self.send(true);
    }

    fn send_sound(&mut self) {
        let pause = self.pause(self.cfg.sound_per_s);
        self.schedule(pause, Event::Sound);
        let left = self.cfg.seconds - self.seconds();
        if left < LAST_SECONDS {
            return;
        }
        let phase = self.phase();
        self.served(phase).asked += 1;
        self.send(false);
    }

    fn send(&mut self, harmful: bool) {
        let up: Vec<usize> = (0..self.instances.len())
            .filter(|i| self.instances[*i].up)
            .collect();
        let Some(&entry) = up.choose(&mut self.rng) else {
            return;
        };
        let (customer, prompt) = self.parts(harmful);
        let mut request = Request {
            instance: entry,
            customer,
            prompt,
            harmful,
            upstream: 0,
            crashes: 0,
            is_trial: false,
            phase: self.phase(),
        };
        if !self.admit(&mut request) {
            self.report.wrongly_refused += u64::from(!harmful);
            return;
        }
        if !request.is_trial && self.rng.random_bool(HOP_FRACTION) {
            let others = up.iter().filter(|i| **i % REGIONS != entry % REGIONS);
            if let Some(&other) = others.choose(&mut self.rng)
                && self.reaches(entry, other)
            {
                request.instance = other;
                if !self.admit(&mut request) {
                    self.report.wrongly_refused += u64::from(!harmful);
                    return;
                }
            }
        }
        self.start(request);
    }

    /// Returns whether a request may be sent by its instance, if need be as a trial.
    fn admit(&mut self, request: &mut Request) -> bool {
        if self.policy == Policy::None {
            return true;
        }
        let index = request.instance;
        let now = self.process_time(index);
        let board = &self.instances[index].board;
        let part = match board
            .quarantine
            .admission(now, request.customer, &request.prompt)
        {
            Admission::Allowed => return true,
            Admission::Quarantined(_) => return false,
            Admission::TrialDue(part) => part,
        };
        let judge = match board.judges(now, part).first() {
            Some(Judge::Other(ip)) => index_of(*ip),
            _ => index,
        };
        let is_answered = self.reaches(index, judge) && self.reaches(judge, index);
        if !is_answered || (self.policy == Policy::Instance && judge != index) {
            return false;
        }
        let judge_now = self.process_time(judge);
        let (granted, effects) = self.instances[judge].board.grant_trial(judge_now, part);
        self.apply(judge, effects);
        request.is_trial = granted;
        granted
    }

    /// Sends a request to an upstream of its instance's region that has a free slot.
    fn start(&mut self, mut request: Request) {
        let region = request.instance % REGIONS;
        let batch = self.cfg.batch;
        let is_free = |u: &usize| {
            let upstream = &self.upstreams[*u];
            upstream.up && upstream.region == region && upstream.requests.len() < batch
        };
        let free = (0..self.upstreams.len()).filter(is_free);
        let Some(index) = free.choose(&mut self.rng) else {
            return;
        };
        let id = self.new_id();
        request.upstream = index;
        self.upstreams[index].requests.push(id);
        if request.harmful {
            let is_late = |at: Duration| self.now > at + CONTACT_TIME;
            self.report.late += u64::from(self.fifth_crash_at.is_some_and(is_late));
            let delay = BEGIN_TIME.mul_f64(self.rng.random_range(0.2..2.0));
            self.schedule(delay, Event::Begin(id));
        } else {
            let delay = RUN_TIME.mul_f64(self.rng.random_range(0.5..1.5));
            self.schedule(delay, Event::Finish(id));
        }
        self.requests.insert(id, request);
    }

    fn crash(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.up = false;
        let run = upstream.run;
        let ids = std::mem::take(&mut upstream.requests);
        self.schedule(DOWN_TIME, Event::UpstreamBack(index));
        for id in ids {
            let Some(mut request) = self.requests.remove(&id) else {
                continue;
            };
            request.crashes += 1;
            if self.policy != Policy::None {
                let now = self.process_time(request.instance);
                let board = &mut self.instances[request.instance].board;
                let effects = board.record_crash(now, run, request.customer, &request.prompt);
                self.apply(request.instance, effects);
            }
            if self.may_repeat(&request) {
                self.start(request);
            }
        }
    }

    fn may_repeat(&self, request: &Request) -> bool {
        let quarantine = &self.instances[request.instance].board.quarantine;
        let is_bound = match self.policy {
            Policy::None | Policy::NoBound => false,
            _ => {
                request.crashes >= 2
                    || request.is_trial
                    || quarantine.is_suspected(request.customer, &request.prompt)
            }
        };
        self.cfg.repeatable && request.crashes < 4 && !is_bound
    }

    fn finish(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.upstreams[request.upstream]
            .requests
            .retain(|other| *other != id);
        self.served(request.phase).served += 1;
        if matches!(self.policy, Policy::None | Policy::NoAcquittal) {
            return;
        }
        let now = self.process_time(request.instance);
        let board = &mut self.instances[request.instance].board;
        let effects = board.record_answer(now, request.customer, &request.prompt);
        self.apply(request.instance, effects);
    }
}
