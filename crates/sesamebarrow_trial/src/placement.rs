//! Experiments that place the prompts of one region at simulated model engines over virtual time,
//! with the routing decisions of the gateway.
//!
//! The instances exchange real gossip datagrams, so each learns of the load of the others with
//! the same delay as on a network.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use sesamebarrow_routing::admit::{self, RequestSpec, SelectedUpstream};
use sesamebarrow_routing::board::limit::Permission;
use sesamebarrow_routing::board::{Board, Identity, Parameters};
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::config::{Config, Service};
use sesamebarrow_routing::gossip::Datagram;
use sesamebarrow_routing::limit::Statement;
use sesamebarrow_routing::member::GOSSIP_INTERVAL;
use sesamebarrow_routing::token::Body;
use sesamebarrow_routing::upstream::{AttemptOutcome, Entry, Key, ReportedLoad, RequestLoad};
use sesamebarrow_routing::{budget, cold, config, quota};
use smol_str::{SmolStr, format_smolstr};

use crate::engine::{self, Engine, Event};

/// Step by which the virtual time advances.
const TIME_STEP: Duration = Duration::from_millis(2);

/// One-way delay of datagrams within a region.
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);

/// Time before the measurement, in which the instances discover each other and the caches
/// fill.
const WARMUP: Duration = Duration::from_secs(6);

/// Maximum number of limited upstreams that are asked for one request, as in the gateway.
const MAX_PERMIT_REQUESTS: u32 = 4;

const SERVICE: &str = "model";

/// Policy by which an upstream is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The policy of the gateway.
    Gateway,
    /// The upstream with the fewest outstanding requests known to the instance.
    LeastOutstanding,
    /// Each upstream in turn.
    RoundRobin,
}

/// A stream of similar requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name.
    pub name: String,
    /// Requests per second for each upstream.
    pub rate: f64,
    /// Shared parts of the prompt in order: tokens of the part, and number of variants of which
    /// each request draws one.
    pub shared: Vec<(u32, u64)>,
    /// Mean tokens of the part that is unique to a request; exponentially distributed, at
    /// least 16.
    pub own: f64,
    /// Mean tokens of an answer; exponentially distributed, at least 1.
    pub answer: f64,
}

/// Parameters of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Factor on the rates of all workloads.
    pub load: f64,
    /// Length of the measurement, in seconds.
    pub seconds: u64,
    /// Target time to the first event, in milliseconds.
    pub target_ms: f64,
    /// Maximum time between two events for an answer to count as on time, in milliseconds.
    pub pause_ms: f64,
    /// Capacity of each engine.
    #[serde(default)]
    pub engine: engine::Settings,
    /// Upstreams, by index, that name a limit, and the limit in requests per second.
    #[serde(default)]
    pub limits: Vec<(usize, f64)>,
    /// Workloads, which run at the same time.
    pub kinds: Vec<Workload>,
}

/// Results of an experiment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests generated in the measured time. Those still running at its end count in none of
    /// the outcomes below.
    pub asked: u64,
    /// Answers that began within the target time and had no pause above the maximum.
    pub on_time: u64,
    /// Answers that began after the target time.
    pub began_late: u64,
    /// Answers that began within the target time but had a pause above the maximum.
    pub paused: u64,
    /// Requests that were not placed or that the engine rejected.
    pub refused: u64,
    /// Prompt tokens prefilled, the warm-up included, in millions.
    pub prefilled_mtokens: f64,
    /// Prompt tokens prefilled again by an engine that had prefilled them before, the warm-up
    /// included, in millions.
    pub repeated_prefill_mtokens: f64,
    /// Median time to the first event, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile of the time to the first event, in milliseconds.
    pub first_p99_ms: f64,
}

#[derive(Clone)]
struct InFlight {
    instance: usize,
    key: Key,
    request_load: RequestLoad,
    estimated_wait: Duration,
    sent_at: Duration,
    measured: bool,
}

struct ExperimentRun<'a> {
    cfg: &'a Experiment,
    policy: Policy,
    now: Duration,
    rng: StdRng,
    boards: Vec<Board>,
    engines: Vec<Engine>,
    /// For each instance, the upstream keys by engine index.
    upstream_keys: Vec<Vec<Key>>,
    in_flight: HashMap<u64, InFlight>,
    datagrams: Vec<(Duration, usize, Datagram)>,
    first_event_latencies_ms: Vec<f64>,
    last_request_id: u64,
    report: Report,
}

/// Runs an experiment and returns its results.
pub fn run(cfg: &Experiment, policy: Policy, seed: u64) -> Report {
    let mut experiment_run = ExperimentRun::new(cfg, policy, seed);
    let until = WARMUP + Duration::from_secs(cfg.seconds);
    while experiment_run.now < until {
        experiment_run.step();
    }
    experiment_run.report()
}

impl<'a> ExperimentRun<'a> {
    fn new(cfg: &'a Experiment, policy: Policy, seed: u64) -> Self {
        let boards: Vec<Board> = (0..cfg.instances)
            .map(|index| new_board(cfg, index))
            .collect();
        let upstream_keys = boards
            .iter()
            .map(|board| {
                let mut upstream_keys = vec![Key::default(); cfg.upstreams];
                for (key, upstream) in &board.upstreams.all {
                    upstream_keys[usize::from(upstream.entry.address.port())] = key;
                }
                upstream_keys
            })
            .collect();
        Self {
            cfg,
            policy,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            boards,
            engines: (0..cfg.upstreams)
                .map(|_| Engine::new(cfg.engine))
                .collect(),
            upstream_keys,
            in_flight: HashMap::new(),
            datagrams: Vec::new(),
            first_event_latencies_ms: Vec::new(),
            last_request_id: 0,
            report: Report::default(),
        }
    }

    fn step(&mut self) {
        self.now += TIME_STEP;
        self.exchange_datagrams();
        let workloads = &self.cfg.kinds;
        for workload in workloads {
            let expected_requests =
                workload.rate * self.cfg.load * self.cfg.upstreams as f64 * TIME_STEP.as_secs_f64();
            let mut remaining = expected_requests;
            while remaining > 0.0 {
                if self.rng.random::<f64>() < remaining.min(1.0) {
                    self.generate_request(workload);
                }
                remaining -= 1.0;
            }
        }
        let now_ms = self.now.as_secs_f64() * 1_000.0;
        let mut events = Vec::new();
        for engine_index in 0..self.engines.len() {
            self.engines[engine_index].run_until(now_ms, &mut events);
            for event in events.drain(..) {
                self.handle_engine_event(engine_index, event);
            }
        }
    }

    /// Sends and delivers the gossip datagrams. The rounds of the instances are spread evenly over
    /// the gossip interval.
    fn exchange_datagrams(&mut self) {
        let count = self.boards.len();
        let steps = |time: Duration| (time.as_millis() / TIME_STEP.as_millis()) as usize;
        let (now_steps, interval_steps) = (steps(self.now), steps(GOSSIP_INTERVAL));
        for index in 0..count {
            let offset_steps = interval_steps * index / count;
            if !(now_steps + offset_steps).is_multiple_of(interval_steps) {
                continue;
            }
            let board = &mut self.boards[index];
            let mut datagram = board.begin_gossip_round(self.now);
            let seeds = [Ipv4Addr::new(10, 0, 0, 0), Ipv4Addr::new(10, 0, 0, 1)];
            let receivers = board
                .members
                .receivers(&board.identity.region, &seeds, &mut board.rng);
            for ip in receivers {
                board.complete_datagram(self.now, &mut datagram, ip);
                let to = usize::from(ip.octets()[3]);
                self.datagrams
                    .push((self.now + DATAGRAM_DELAY, to, datagram.clone()));
            }
        }
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|(at, _, _)| *at <= self.now);
        self.datagrams = later;
        let due: Vec<(Duration, usize, Datagram)> = due;
        for (_, to, datagram) in due {
            self.boards[to].handle_datagram(self.now, Duration::ZERO, &datagram);
        }
    }

    fn generate_request(&mut self, workload: &Workload) {
        let measured = self.now >= WARMUP;
        let instance = self.rng.random_range(0..self.boards.len());
        let mut exponential = |mean: f64| -mean * (1.0 - self.rng.random::<f64>()).ln();
        let (own_tokens, answer_tokens) = (exponential(workload.own), exponential(workload.answer));
        // CAST: token counts are far below 2^32.
        let (own_tokens, answer_tokens) =
            (own_tokens.max(16.0) as u32, answer_tokens.max(1.0) as u64);
        let mut prompt = Vec::new();
        // Keeps the parts of one workload apart from those of others: no two workloads of an
        // experiment have the same rate.
        let mut id = workload.rate.to_bits();
        for (tokens, variants) in &workload.shared {
            id = id.rotate_left(17)
                ^ self
                    .rng
                    .random_range(0..*variants)
                    .wrapping_mul(0x9e37_79b9);
            prompt.push(PromptPart {
                id,
                tokens: *tokens,
            });
        }
        self.last_request_id += 1;
        prompt.push(PromptPart {
            id: self.last_request_id << 20,
            tokens: own_tokens,
        });
        let prompt_tokens = prompt.iter().map(|p| u64::from(p.tokens)).sum();
        let spec = RequestSpec {
            service: SERVICE.into(),
            prompt,
            prompt_tokens,
            output_tokens: answer_tokens,
            target_wait: Duration::from_secs_f64(self.cfg.target_ms / 1_000.0),
            tried_upstreams: Vec::new(),
            rank: 0,
            urgency: 0,
            skips_limited: false,
            is_trial: false,
        };
        self.report.asked += u64::from(measured);
        if !self.send(instance, &spec, measured) {
            self.report.refused += u64::from(measured);
        }
    }

    /// Sends a request to an engine; returns whether one was chosen and took the request.
    fn send(&mut self, instance: usize, spec: &RequestSpec, measured: bool) -> bool {
        let Some((key, request_load, estimated_wait)) = self.choose_upstream(instance, spec) else {
            return false;
        };
        let engine_index = self.upstream_keys[instance].iter().position(|k| *k == key);
        let Some(engine_index) = engine_index else {
            return false;
        };
        let now_ms = self.now.as_secs_f64() * 1_000.0;
        let tokens = (spec.prompt_tokens, spec.output_tokens);
        if !self.engines[engine_index].enqueue(now_ms, self.last_request_id, &spec.prompt, tokens) {
            return false;
        }
        let kv_capacity_tokens = self.cfg.engine.kv_tokens;
        let board = &mut self.boards[instance];
        let upstreams = &mut board.upstreams;
        upstreams.start_attempt(self.now, key, request_load);
        upstreams.record_prompt_sent(self.now, key, &spec.prompt, kv_capacity_tokens);
        let request = InFlight {
            instance,
            key,
            request_load,
            estimated_wait,
            sent_at: self.now,
            measured,
        };
        self.in_flight.insert(self.last_request_id, request);
        true
    }

    fn choose_upstream(
        &mut self,
        instance: usize,
        spec: &RequestSpec,
    ) -> Option<(Key, RequestLoad, Duration)> {
        let now = self.now;
        let board = &mut self.boards[instance];
        let request_load = RequestLoad {
            prefill_tokens: spec.prompt_tokens,
            kv_tokens: spec.prompt_tokens + spec.output_tokens,
        };
        match self.policy {
            Policy::Gateway => {
                let chosen = self.select_permitted(instance, spec)?;
                Some((chosen.key, chosen.request_load, chosen.estimated_wait))
            }
            Policy::LeastOutstanding => {
                let all = board.upstreams.all.iter();
                let (key, _) = all.min_by_key(|(_, u)| u.outstanding(now))?;
                Some((key, request_load, Duration::ZERO))
            }
            Policy::RoundRobin => {
                let engine_index = self.last_request_id as usize % self.cfg.upstreams;
                Some((
                    self.upstream_keys[instance][engine_index],
                    request_load,
                    Duration::ZERO,
                ))
            }
        }
    }

    /// Selects an upstream that may get the request, as the gateway does.
    fn select_permitted(
        &mut self,
        instance: usize,
        spec: &RequestSpec,
    ) -> Option<SelectedUpstream> {
        let mut spec = spec.clone();
        for request in 0..=MAX_PERMIT_REQUESTS {
            spec.skips_limited = request == MAX_PERMIT_REQUESTS;
            let board = &mut self.boards[instance];
            let chosen = admit::select_upstream(board, self.now, &spec).ok()?;
            let permission = match board.take_permit(self.now, chosen.key, spec.urgency) {
                Permission::Ask(ip, request) => {
                    let owner = &mut self.boards[usize::from(ip.octets()[3])];
                    let answer = owner.handle_permit_request(self.now, &request);
                    let board = &mut self.boards[instance];
                    board.handle_permit_answer(self.now, &request, &answer)
                }
                permission => permission,
            };
            if matches!(permission, Permission::Unlimited | Permission::Granted) {
                return Some(chosen);
            }
        }
        None
    }

    /// Records what the head of an answer says about a limit, and delivers the messages that follow.
    fn observe_limit(&mut self, engine_index: usize, request: &InFlight) {
        let limits = &self.cfg.limits;
        let Some((_, rate)) = limits.iter().find(|(index, _)| *index == engine_index) else {
            return;
        };
        let statement = Statement::Limit(*rate);
        let board = &mut self.boards[request.instance];
        let effects = board.observe_limit(self.now, request.key, statement, false, request.sent_at);
        let mut messages: VecDeque<_> = effects.messages.into();
        while let Some((ip, body)) = messages.pop_front() {
            let board = &mut self.boards[usize::from(ip.octets()[3])];
            let effects = match body {
                Body::LimitObserved(observed) => board.handle_observed(self.now, &observed),
                Body::LimitStates(states) => board.handle_limit_states(self.now, &states),
                _ => continue,
            };
            messages.extend(effects.messages);
        }
    }

    fn handle_engine_event(&mut self, engine_index: usize, event: Event) {
        match event {
            Event::First { id } => {
                if let Some(request) = self.in_flight.get(&id).cloned() {
                    self.observe_limit(engine_index, &request);
                }
                let Some(request) = self.in_flight.get_mut(&id) else {
                    return;
                };
                let board = &mut self.boards[request.instance];
                board
                    .upstreams
                    .record_prefill_done(request.key, request.request_load);
                request.request_load.prefill_tokens = 0;
                let (running, queued) = self.engines[engine_index].load();
                let reported = ReportedLoad {
                    running,
                    queued,
                    slowness_percent: 0,
                };
                board
                    .upstreams
                    .record_reported_load(self.now, request.key, reported);
                let elapsed = self.now - request.sent_at;
                board.record_first_event(
                    self.now,
                    &SERVICE.into(),
                    request.estimated_wait,
                    elapsed,
                );
            }
            Event::Done {
                id,
                first_event_ms,
                longest_pause_ms,
            } => {
                let Some(request) = self.in_flight.remove(&id) else {
                    return;
                };
                let board = &mut self.boards[request.instance];
                let cold_remaining = Duration::ZERO;
                board.upstreams.finish_attempt(
                    self.now,
                    request.key,
                    request.request_load,
                    AttemptOutcome::Whole,
                    cold_remaining,
                );
                board.record_request_duration(&SERVICE.into(), self.now - request.sent_at);
                if request.measured {
                    let latency_ms = first_event_ms - request.sent_at.as_secs_f64() * 1_000.0;
                    self.record_latency(latency_ms, longest_pause_ms);
                }
            }
        }
    }

    fn record_latency(&mut self, first_latency_ms: f64, longest_pause_ms: f64) {
        self.first_event_latencies_ms.push(first_latency_ms);
        if first_latency_ms > self.cfg.target_ms {
            self.report.began_late += 1;
        } else if longest_pause_ms > self.cfg.pause_ms {
            self.report.paused += 1;
        } else {
            self.report.on_time += 1;
        }
    }

    fn report(mut self) -> Report {
        self.first_event_latencies_ms.sort_by(f64::total_cmp);
        let quantile_ms = |quantile: f64| {
            let index = (self.first_event_latencies_ms.len() as f64 * quantile) as usize;
            self.first_event_latencies_ms
                .get(index)
                .copied()
                .unwrap_or_default()
        };
        let millions = |n: u64| n as f64 / 1e6;
        Report {
            prefilled_mtokens: millions(self.engines.iter().map(|e| e.prefilled_tokens).sum()),
            repeated_prefill_mtokens: millions(
                self.engines.iter().map(|e| e.repeated_prefill_tokens).sum(),
            ),
            first_p50_ms: quantile_ms(0.5),
            first_p99_ms: quantile_ms(0.99),
            ..self.report
        }
    }
}

fn new_board(cfg: &Experiment, index: usize) -> Board {
    let identity = Identity {
        name: format_smolstr!("i-{index}"),
        domain: "a".into(),
        region: "a".into(),
        // CAST: an experiment has at most 256 instances.
        ip: Ipv4Addr::new(10, 0, 0, index as u8),
        incarnation: 1,
    };
    let regions: HashMap<SmolStr, SmolStr> = [("a".into(), "a".into())].into();
    let mut board = Board::new(identity, parameters(cfg), regions, index as u64);
    let mut config = Config::default();
    config.version = 1;
    let service = Service {
        name: SERVICE.into(),
        max_connections: 0,
        warmup: Duration::ZERO,
        cold_rate: 0.0,
        engine: Some(config::Engine {
            kv_capacity_tokens: cfg.engine.kv_tokens,
            slots: cfg.engine.slots as u32,
        }),
    };
    config.services.insert(SERVICE.into(), service);
    board.apply_config(Duration::ZERO, config.build_host_index());
    for engine_index in 0..cfg.upstreams {
        let entry = Entry {
            id: format_smolstr!("u-{engine_index}"),
            service: SERVICE.into(),
            // The port is the engine index.
            address: ([10, 9, 0, 1], engine_index as u16).into(),
            domain: "a".into(),
            slots: cfg.engine.slots as u32,
            ready: true,
            cold_remaining: Duration::ZERO,
            started_at_ms: Some(1),
        };
        board.put_upstream(Duration::ZERO, entry);
    }
    board
}

fn parameters(cfg: &Experiment) -> Parameters {
    let window = Duration::from_secs(10);
    Parameters {
        stop_limit: Duration::from_millis(7_700),
        budget: budget::Limit {
            ratio: 0.2,
            slack: 52.0,
            window,
        },
        quota: quota::Tolerance {
            window,
            overshoot: 0.25,
            slack: 72_000.0,
        },
        cold: cold::Limit {
            rate_factor: 1.5,
            slack: 3.0,
        },
        dispatch: Default::default(),
        prefill_per_ms: cfg.engine.prefill_per_ms,
        region_delay: Duration::from_millis(80),
        expects_others: true,
    }
}
