//! Plays requests of two kinds to simulated engines, and counts what their callers get.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::cache::{PrefixCache, PromptPart};
use sesamebarrow_routing::dispatch::message::{Event as Reported, Notice, PlaceRequest};
use sesamebarrow_routing::dispatch::speed::Speed;
use sesamebarrow_routing::dispatch::{self, Candidate, Circumstances, Outcome, Service};
use sesamebarrow_trial::engine::{Engine, Event, Settings};

/// Longest pause between two events that callers accept.
const MAX_PAUSE_MS: f64 = 600.0;

/// Time between two steps of the play.
const STEP_MS: f64 = 5.0;

/// How many times a refused caller comes back.
const RETRIES: u32 = 1;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// The dispatcher.
    Dispatcher,
    /// The decision of an instance by itself, but with the exact load of all: the engine whose first event is
    /// expected soonest, unless that exceeds most of the target.
    Soonest,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub priority: u8,
    /// Requests a second.
    pub rate: f64,
    /// Tokens of the part that all share, of the part that a session shares, and of the request's own part.
    pub parts: [u32; 3],
    pub sessions: u64,
    pub output_tokens: u64,
    pub target_ms: f64,
    pub timeout_ms: f64,
}

/// A long prompt with a short answer, which is due soon.
pub const DIGEST: Kind = Kind {
    priority: 0,
    rate: 50.0,
    parts: [2_520, 3_780, 2_890],
    sessions: 60,
    output_tokens: 52,
    target_ms: 1_000.0,
    timeout_ms: 5_000.0,
};

/// A short prompt with a long answer, which may begin later.
pub const QUERY: Kind = Kind {
    priority: 1,
    rate: 40.0,
    parts: [119, 79, 628],
    sessions: 400,
    output_tokens: 290,
    target_ms: 4_000.0,
    timeout_ms: 15_000.0,
};

/// A load and the engines that it meets.
#[derive(Clone, Debug)]
pub struct Load {
    pub kinds: Vec<Kind>,
    pub seconds: f64,
    /// How much longer the work of each engine takes than that of the fastest.
    pub slowness: Vec<f64>,
    pub seed: u64,
    /// Time that every refusal names, instead of the one that was decided.
    pub comeback_ms: Option<f64>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            kinds: vec![DIGEST, QUERY],
            seconds: 8.0,
            slowness: vec![1.0; 8],
            seed: 1,
            comeback_ms: None,
        }
    }
}

/// What the callers of one kind got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub asked: u32,
    /// First event within the target of the first attempt, and no pause too long.
    pub in_time: u32,
    /// First event in time, but a pause was too long.
    pub paused: u32,
    pub late: u32,
    pub refused: u32,
    /// Refused although they came back as they were told.
    pub refused_again: u32,
}

impl Served {
    /// Returns the part of the callers that were served in time.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Returns the part of the callers that were served at all.
    pub fn served_ratio(&self) -> f64 {
        f64::from(self.in_time + self.paused + self.late) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    prompt: Vec<PromptPart>,
    first_asked_ms: f64,
    retries: u32,
    engine: usize,
    prefill_tokens: f64,
}

/// What is known of an engine without a dispatcher: unread tokens and requests, exactly.
#[derive(Clone, Copy, Debug, Default)]
struct Exact {
    unread: f64,
    running: u32,
}

pub struct Play {
    load: Load,
    decider: Decider,
    rng: StdRng,
    engines: Vec<Engine>,
    caches: Vec<PrefixCache>,
    exact: Vec<Exact>,
    service: Service,
    requests: HashMap<u64, Request>,
    /// Requests that are asked for at a time.
    arrivals: Vec<(f64, u64)>,
    waiting: BTreeSet<u64>,
    served: Vec<Served>,
}

fn settings(slowness: f64) -> Settings {
    Settings {
        slots: 32,
        queue: 67,
        kv_tokens: 225_265,
        prefill_per_ms: 38.1 / slowness,
        chunk: 4_096,
        step_ms: 4.43 * slowness,
        step_ms_per_slot: 0.0194,
        first_ms: 1.0,
        stride: 7,
    }
}

fn at(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Plays `load` and returns what the callers of each kind got.
pub fn play(load: Load, decider: Decider) -> Vec<Served> {
    Play::new(load, decider).run()
}

impl Play {
    fn new(load: Load, decider: Decider) -> Self {
        let count = load.slowness.len();
        let mut play = Self {
            decider,
            rng: StdRng::seed_from_u64(load.seed),
            engines: load
                .slowness
                .iter()
                .map(|s| Engine::new(settings(*s)))
                .collect(),
            caches: vec![PrefixCache::default(); count],
            exact: vec![Exact::default(); count],
            service: Service::new(Speed::assumed(30.0)),
            requests: HashMap::new(),
            arrivals: Vec::new(),
            waiting: BTreeSet::new(),
            served: vec![Served::default(); load.kinds.len()],
            load,
        };
        play.draw_arrivals();
        play
    }

    fn draw_arrivals(&mut self) {
        for (kind, k) in self.load.kinds.clone().into_iter().enumerate() {
            let mut now_ms = 0.0;
            loop {
                now_ms += -self.rng.random::<f64>().max(1e-9).ln() / k.rate * 1_000.0;
                if now_ms >= self.load.seconds * 1_000.0 {
                    break;
                }
                let id = self.requests.len() as u64 + 1;
                let session = self.rng.random_range(0..k.sessions);
                let ids = [
                    kind as u64 + 1,
                    ((kind as u64 + 1) << 32) | (session + 1),
                    (1 << 60) | id,
                ];
                let parts = ids.into_iter().zip(k.parts);
                let request = Request {
                    kind,
                    prompt: parts
                        .map(|(id, tokens)| PromptPart { id, tokens })
                        .collect(),
                    first_asked_ms: now_ms,
                    retries: 0,
                    engine: 0,
                    prefill_tokens: 0.0,
                };
                self.requests.insert(id, request);
                self.arrivals.push((now_ms, id));
                self.served[kind].asked += 1;
            }
        }
    }

    fn run(mut self) -> Vec<Served> {
        let end_ms = self.load.seconds * 1_000.0 + 16_000.0;
        let mut now_ms = 0.0;
        while now_ms < end_ms {
            now_ms += STEP_MS;
            let mut due: Vec<(f64, u64)> =
                self.arrivals.extract_if(.., |a| a.0 <= now_ms).collect();
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, id) in due {
                self.ask(now_ms, id);
            }
            self.serve_queue(now_ms);
            self.run_engines(now_ms);
        }
        self.served
    }

    fn candidates(&self, prompt: &[PromptPart]) -> Vec<Candidate> {
        let tokens: u64 = prompt.iter().map(|p| u64::from(p.tokens)).sum();
        let own = prompt.last().map_or(0, |p| u64::from(p.tokens));
        let mut candidates: Vec<Candidate> = (0..self.engines.len())
            .map(|engine| Candidate {
                run: engine as u64,
                slots: 32,
                kv_capacity_tokens: 225_265,
                prefill_tokens: tokens - self.caches[engine].cached_tokens(prompt),
                ..Candidate::default()
            })
            .collect();
        let least = candidates
            .iter()
            .map(|c| c.prefill_tokens)
            .min()
            .unwrap_or_default();
        for candidate in &mut candidates {
            candidate.repeated_tokens = (candidate.prefill_tokens - least).min(tokens - own);
        }
        candidates
    }

    fn build_place_request(&self, now_ms: f64, id: u64) -> PlaceRequest {
        let request = &self.requests[&id];
        let kind = &self.load.kinds[request.kind];
        // A caller that comes back asks anew, as to an instance that does not know it.
        let rank = dispatch::rank(kind.priority, at(kind.target_ms));
        let left_ms = kind.timeout_ms - (now_ms - request.first_asked_ms);
        PlaceRequest {
            id: (id << 2) | u64::from(request.retries),
            part_ids: request.prompt.iter().map(|p| p.id).collect(),
            part_tokens: request.prompt.iter().map(|p| p.tokens).collect(),
            prompt_tokens: request.prompt.iter().map(|p| p.tokens).sum(),
            output_tokens: kind.output_tokens as u32,
            rank: rank.into(),
            target_ms: kind.target_ms as u32,
            time_left_ms: left_ms.max(0.0) as u32,
            ..PlaceRequest::default()
        }
    }

    fn ask(&mut self, now_ms: f64, id: u64) {
        let candidates = self.candidates(&self.requests[&id].prompt);
        if self.decider == Decider::Soonest {
            return self.send_to_soonest(now_ms, id, &candidates);
        }
        let ask = self.build_place_request(now_ms, id);
        let cx = circumstances(&candidates);
        let outcome = self.service.decide(at(now_ms), (0, ask.id), &ask, &cx);
        self.apply(now_ms, id, outcome);
    }

    fn send_to_soonest(&mut self, now_ms: f64, id: u64, candidates: &[Candidate]) {
        let kind = self.load.kinds[self.requests[&id].kind];
        let wait_ms = |c: &Candidate| {
            let exact = self.exact[c.run as usize];
            60.0 + (exact.unread + c.prefill_tokens as f64) / 38.1 + f64::from(exact.running) * 1.2
        };
        let has_capacity = |c: &&Candidate| self.exact[c.run as usize].running < 48;
        let soonest = candidates
            .iter()
            .filter(has_capacity)
            .min_by(|a, b| wait_ms(a).total_cmp(&wait_ms(b)));
        let outcome = match soonest {
            Some(c) if wait_ms(c) <= kind.target_ms * 0.85 => Outcome::Granted {
                run: c.run,
                prefill_tokens: c.prefill_tokens,
                wait: Duration::ZERO,
            },
            _ => Outcome::Refused(Duration::from_millis(200 + id * 37 % 400)),
        };
        self.apply(now_ms, id, outcome);
    }

    fn apply(&mut self, now_ms: f64, id: u64, outcome: Outcome) {
        match outcome {
            Outcome::Granted {
                run,
                prefill_tokens,
                ..
            } => self.send(now_ms, id, run as usize, prefill_tokens),
            Outcome::Refused(after) => self.refuse(now_ms, id, after),
            Outcome::Waiting(_) => {
                self.waiting.insert(id);
                return;
            }
            Outcome::Forward(_) => {}
        }
        self.waiting.remove(&id);
    }

    fn send(&mut self, now_ms: f64, id: u64, engine: usize, prefill_tokens: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.engine = engine;
        request.prefill_tokens = prefill_tokens as f64;
        let kind = self.load.kinds[request.kind];
        self.caches[engine].insert(at(now_ms), &request.prompt, 225_265);
        self.exact[engine].unread += prefill_tokens as f64;
        self.exact[engine].running += 1;
        let tokens = request.prompt.iter().map(|p| u64::from(p.tokens)).sum();
        let sizes = (tokens, kind.output_tokens);
        let prompt = request.prompt.clone();
        if !self.engines[engine].enqueue(now_ms + 2.0, id, &prompt, sizes) {
            self.report(now_ms, id, Reported::Refused, 0.0);
            self.refuse(now_ms, id, Duration::from_millis(200));
        }
    }

    fn refuse(&mut self, now_ms: f64, id: u64, after: Duration) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let after_ms = self
            .load
            .comeback_ms
            .unwrap_or(after.as_secs_f64() * 1_000.0);
        if request.retries < RETRIES {
            request.retries += 1;
            self.arrivals.push((now_ms + after_ms, id));
            return;
        }
        let served = &mut self.served[request.kind];
        served.refused += 1;
        served.refused_again += 1;
        self.requests.remove(&id);
    }

    fn serve_queue(&mut self, now_ms: f64) {
        for id in self.waiting.clone() {
            // An instance asks again for a request that waits.
            let ask = self.build_place_request(now_ms, id);
            self.service
                .decide(at(now_ms), (0, ask.id), &ask, &circumstances(&[]));
        }
        let asks: HashMap<u64, Vec<Candidate>> = self
            .requests
            .iter()
            .filter(|(_, r)| r.first_asked_ms <= now_ms)
            .map(|(id, r)| (*id, self.candidates(&r.prompt)))
            .collect();
        let candidates = |ask: &PlaceRequest| asks.get(&(ask.id >> 2)).cloned().unwrap_or_default();
        let cx = circumstances(&[]);
        let decided = self
            .service
            .serve(at(now_ms), &cx, candidates, |_| Vec::new());
        for (waiting, outcome) in decided {
            self.apply(now_ms, waiting.req.id >> 2, outcome);
        }
    }

    fn report(&mut self, now_ms: f64, id: u64, event: Reported, pause_ms: f64) {
        let retries = self.requests.get(&id).map_or(0, |r| r.retries);
        let notice = Notice {
            id: (id << 2) | u64::from(retries),
            event: event.into(),
            pause_ms: pause_ms as u32,
            ..Notice::default()
        };
        self.service
            .handle_notice(at(now_ms), 0, &notice, at(MAX_PAUSE_MS));
    }

    fn run_engines(&mut self, now_ms: f64) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            engine.run_until(now_ms, &mut events);
        }
        for event in events {
            match event {
                Event::First { id } => {
                    self.report(now_ms, id, Reported::Started, 0.0);
                    if let Some(request) = self.requests.get(&id) {
                        let exact = &mut self.exact[request.engine];
                        exact.unread = (exact.unread - request.prefill_tokens).max(0.0);
                    }
                }
                Event::Done {
                    id,
                    first_event_ms,
                    longest_pause_ms,
                } => self.finish(now_ms, id, first_event_ms, longest_pause_ms),
            }
        }
    }

    fn finish(&mut self, now_ms: f64, id: u64, first_event_ms: f64, longest_pause_ms: f64) {
        self.report(now_ms, id, Reported::Ended, longest_pause_ms);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let kind = &self.load.kinds[request.kind];
        self.exact[request.engine].running -= 1;
        let served = &mut self.served[request.kind];
        if first_event_ms - request.first_asked_ms > kind.target_ms {
            served.late += 1;
        } else if longest_pause_ms > MAX_PAUSE_MS {
            served.paused += 1;
        } else {
            served.in_time += 1;
        }
    }
}

fn circumstances(candidates: &[Candidate]) -> Circumstances<'_> {
    Circumstances {
        candidates,
        remotes: &[],
        round_trip: Duration::from_millis(160),
        max_pause: at(MAX_PAUSE_MS),
    }
}
