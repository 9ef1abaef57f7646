//! Gives requests places at the engines of a service, with exact figures of one instance.
//!
//! Instances that decide by themselves know each other's load seconds late: together they send an engine more
//! prompts than it can read between two events of the streams that run there. For a service whose routes
//! declare a longest pause between events, one instance of each region is the *dispatcher*, selected by
//! rendezvous hashing. The others ask it for a place before they send a request, and report its first event
//! and its end. It keeps the places of all requests ([`engine`]), the measured speed of the engines ([`speed`])
//! and how much they may read at a time ([`pace`]), lets requests wait in order ([`queue`]), sends them to regions with room ([`room`]) and tells
//! refused callers when to come back ([`comeback`]).
//!
//! Nothing depends on the dispatcher: an instance that gets no answer decides by itself ([`crate::admit`]).

pub mod comeback;
pub mod engine;
pub mod message;
pub mod pace;
pub mod queue;
pub mod room;
pub mod speed;

use std::collections::HashMap;
use std::time::Duration;

use crate::dispatch::comeback::{Caller, Comebacks};
use crate::dispatch::engine::{Engine, HolderId, Limits, Plan, Work};
use crate::dispatch::message::{Ask, Event, Hold, Notice};
use crate::dispatch::pace::Pace;
use crate::dispatch::queue::{Offer, Queue, Waiting};
use crate::dispatch::room::{Need, Remote, Room};
use crate::dispatch::speed::Speed;

/// When and by whom services are dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Services are dispatched if one of their routes declares a longest pause between events of at least this;
    /// `None` dispatches none. Engines of which callers expect shorter pauses read so little at a time that
    /// prompts do not hold up streams.
    pub min_pause: Option<Duration>,
    /// Processor time of this instance, in cores.
    pub capacity: f64,
    /// Prompt tokens that an engine is assumed to read per millisecond until that is measured. A guess that is too
    /// slow is corrected by the first prompts; one that is too fast holds up every stream until then.
    pub first_guess_per_ms: f64,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            min_pause: None,
            capacity: 1.0,
            first_guess_per_ms: 30.0,
        }
    }
}

/// Number of ranks of one priority.
const RANKS_PER_PRIORITY: u8 = 4;

/// Target latency of the first rank of a priority; each further one has twice as much.
const FIRST_RANK_TARGET: Duration = Duration::from_millis(1_500);

/// Returns the order in which requests give way; 0 is the most urgent. Of the same priority, those whose answers
/// are due sooner come first; targets within a factor of two count as the same.
pub fn rank(priority: u8, target: Duration) -> u8 {
    let is_beyond = |step: &u8| target > FIRST_RANK_TARGET * (1 << step);
    // CAST: at most the number of steps.
    let step = (0..RANKS_PER_PRIORITY - 1).filter(is_beyond).count() as u8;
    priority
        .saturating_mul(RANKS_PER_PRIORITY)
        .saturating_add(step)
}

/// Returns the priority that an engine is told for a request of this rank: from 0, the most urgent, to 9.
pub fn engine_priority(rank: u8) -> u8 {
    (rank / (RANKS_PER_PRIORITY / 2)).min(9)
}

/// Fraction of an engine's KV cache that places may take; engines preempt requests above it.
const MAX_KV_FRACTION: f64 = 0.92;

/// Part of an engine's slots that less urgent requests leave free for more urgent ones.
const RESERVED_FRACTION: f64 = 0.125;

/// Time after the last request of a rank for which places are reserved for it.
const RESERVED_TIME: Duration = Duration::from_secs(5);

/// Part of the target that may pass until the first event; the rest covers the way to the caller.
const TARGET_FRACTION: f64 = 0.92;

/// Part of the time that a caller waits that it may wait for a place once its target is missed.
const LATE_FRACTION: f64 = 0.4;

/// Longest time that a request waits for a place once its target is missed. Callers give up streams that do not
/// begin.
const MAX_LATE: Duration = Duration::from_millis(1_500);

/// Weight of reading a shared part again that another engine has cached, besides the reading itself: it holds up
/// all streams of the engine and evicts other parts.
const REPEATED_WEIGHT: f64 = 5.0;

/// Milliseconds by which an engine all of whose slots are held is less preferred than one without requests.
const HELD_WEIGHT_MS: f64 = 20.0;

/// Penalty in milliseconds for an engine whose recent answers all failed; scales with the failure ratio.
const FAILURE_PENALTY_MS: f64 = 4_000.0;

/// Number of tokens before a token at which attention to them takes as long as all other work on it, in dense
/// models of the sizes that are served by several engines. An error of a factor of two changes the estimate of
/// usual prompts by a tenth.
const DOUBLING_CONTEXT: f64 = 40_000.0;

/// Expected time until a request at a full engine ends.
const PLACE_RELEASE_TIME: Duration = Duration::from_millis(100);

/// Number of streams that may pause for a request whose reading alone takes longer than any engine may read.
const MAX_PAUSED_BY_LARGE: usize = 2;

/// Time over which the rate of places given is averaged.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Places given per second that are assumed at least.
const MIN_RATE: f64 = 2.0;

/// Part of all places that requests of one rank are assumed to get at least.
const MIN_RATE_FRACTION: f64 = 0.1;

/// Part of the time until a request must begin that it is expected to wait at most. The rest is for more urgent
/// ones that come after it.
const WAIT_FRACTION: f64 = 0.8;

/// Longest time that a request is expected to wait. Callers that can wait longer come back instead.
const MAX_EXPECTED_WAIT: Duration = Duration::from_millis(1_500);

/// Part of the planned reading that delays an urgent request where no other one waits.
const UNCLAIMED_FRACTION: f64 = 0.5;

/// Part of the time for reading that counts as a full load of a region.
const FULL_BACKLOG: Duration = Duration::from_millis(450);

/// An engine that a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Its run.
    pub run: u64,
    /// Requests that it runs in one batch.
    pub slots: u32,
    /// Tokens that its KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Prompt tokens that it would have to prefill.
    pub prefill_tokens: u64,
    /// How many of them another engine has cached.
    pub repeated_tokens: u64,
    /// Part of its recent answers that failed.
    pub failure_ratio: f64,
}

/// Why a request got no place, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It got a place.
    Granted,
    /// It waits.
    Waiting,
    /// Another region has room.
    Forward,
    /// It cannot be served now.
    Refused,
}

/// A decision of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The request has a place at this engine.
    Granted {
        /// Its run.
        run: u64,
        /// Prompt tokens that it has to prefill.
        prefill_tokens: u64,
        /// Estimated time until the first event.
        wait: Duration,
    },
    /// It waits, for this time at most.
    Waiting(Duration),
    /// The region with this hash should run it.
    Forward(u32),
    /// It cannot be served. The caller should come back after this time.
    Refused(Duration),
}

/// What the decision about a request depends on besides the service's state.
#[derive(Clone, Debug)]
pub struct Circumstances<'a> {
    /// The engines that it may be sent to.
    pub candidates: &'a [Candidate],
    /// The regions that it may be forwarded to and their room.
    pub remotes: &'a [Remote],
    /// Time to another region and back.
    pub round_trip: Duration,
    /// Longest pause between two events that the routes of the service allow.
    pub max_pause: Duration,
}

/// Number of places given per second, averaged over [`RATE_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    at: Duration,
}

impl Rate {
    fn decayed(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-elapsed / RATE_TIME.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Duration) {
        self.per_s = self.decayed(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.at = now;
    }
}

/// Figures of a service that this instance dispatches, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Engines at which requests hold places.
    pub busy_engines: usize,
    /// Places held.
    pub held: usize,
    /// Longest planned time in milliseconds that an engine still reads.
    pub most_backlog_ms: f64,
    /// Largest measured slowness of an engine.
    pub most_slowness: f64,
    /// Places given per second.
    pub rate_per_s: f64,
    /// Number of requests that got a place, were forwarded and were refused.
    pub counts: [u64; 3],
    /// Measured speed.
    pub speed: Speed,
    /// Time that engines may read without a gap, as a multiple of the longest allowed pause.
    pub pace: Pace,
}

/// State of a service that this instance dispatches.
#[derive(Clone, Debug)]
pub struct Service {
    /// Measured speed of its engines.
    pub speed: Speed,
    pace: Pace,
    engines: HashMap<u64, Engine>,
    /// Runs of the engines at which requests hold places.
    runs: HashMap<HolderId, u64>,
    queue: Queue,
    comebacks: Comebacks,
    /// Rates of places given, by rank.
    rates: HashMap<u32, Rate>,
    /// Number of decisions: granted at once or later, forwarded, refused.
    counts: [u64; 3],
    /// When a request of each rank was last asked for.
    last_asked: HashMap<u32, Duration>,
}

impl Service {
    /// Creates the state of a service whose engines are assumed to have this speed.
    pub fn new(speed: Speed) -> Self {
        Self {
            speed,
            pace: Pace::default(),
            engines: HashMap::new(),
            runs: HashMap::new(),
            queue: Queue::default(),
            comebacks: Comebacks::default(),
            rates: HashMap::new(),
            counts: [0; 3],
            last_asked: HashMap::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns figures for operators.
    pub fn summary(&self, now: Duration) -> Summary {
        let engines = self.engines.values().filter(|e| e.held() > 0);
        let backlogs = engines
            .clone()
            .map(|e| e.backlog(now).as_secs_f64() * 1_000.0);
        let slowness = engines.clone().map(|e| e.slowness.measured());
        Summary {
            waiting: self.queue.len(),
            busy_engines: engines.clone().count(),
            held: engines.map(Engine::held).sum(),
            most_backlog_ms: backlogs.fold(0.0, f64::max),
            most_slowness: slowness.fold(0.0, f64::max),
            rate_per_s: self.rates.values().map(|r| r.decayed(now)).sum(),
            counts: self.counts,
            speed: self.speed,
            pace: self.pace,
        }
    }

    /// Returns the milliseconds in which an engine that has cached nothing of a request reads its prompt.
    pub fn read_ms(&self, ask: &Ask) -> f64 {
        weighted_tokens(ask, ask.prompt_tokens.into()) * self.speed.ms_per_token
    }

    /// Returns the state of an engine.
    pub fn engine(&self, run: u64) -> Option<&Engine> {
        self.engines.get(&run)
    }

    /// Decides about a request at once.
    pub fn decide(
        &mut self,
        now: Duration,
        id: HolderId,
        ask: &Ask,
        cx: &Circumstances<'_>,
    ) -> Outcome {
        if let Some(leave_at) = self.queue.touch(now, id) {
            return Outcome::Waiting(leave_at.saturating_sub(now));
        }
        self.last_asked.insert(ask.rank, now);
        let first_aim = self.comebacks.take(now, request_key(ask));
        let waiting = self.waiting_of(now, id, ask, first_aim);
        let need = self.need(now, ask, cx);
        if let Some(region) = room::less_loaded(self.room(now, cx.candidates), cx.remotes, &need) {
            self.counts[1] += 1;
            return Outcome::Forward(region);
        }
        if !self.queue.goes_before(now, &waiting)
            && let Some(granted) = self.place(now, &waiting, cx).ok()
        {
            return granted;
        }
        let room_in = self.time_to_serve(now, ask.rank);
        let max_wait = |until: Duration| {
            let slack = until.saturating_sub(now).mul_f64(WAIT_FRACTION);
            slack.min(MAX_EXPECTED_WAIT)
        };
        let can_wait = room_in <= max_wait(waiting.aim);
        if (!can_wait || room_in > cx.round_trip)
            && let Some(region) = room::instead(cx.remotes, &need)
        {
            self.counts[1] += 1;
            return Outcome::Forward(region);
        }
        if can_wait || room_in <= max_wait(waiting.leave_at) {
            let wait = waiting.leave_at.saturating_sub(now);
            self.queue.push(waiting);
            return Outcome::Waiting(wait);
        }
        self.refuse(now, &waiting, room_in)
    }

    /// Returns the least urgent rank that was asked for recently.
    fn least_urgent(&self, now: Duration) -> u32 {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < RESERVED_TIME;
        let recent = self.last_asked.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(rank, _)| *rank).max().unwrap_or_default()
    }

    /// Returns what a request needs of another region.
    fn need(&self, now: Duration, ask: &Ask, cx: &Circumstances<'_>) -> Need {
        Need {
            target: Duration::from_millis(ask.target_ms.into()),
            round_trip: cx.round_trip,
            is_least_urgent: ask.rank >= self.least_urgent(now),
            shared_prompt: ask
                .part_ids
                .iter()
                .rev()
                .nth(1)
                .copied()
                .unwrap_or_default(),
        }
    }

    /// Returns the places given per second to requests of a rank.
    fn rate(&self, now: Duration, rank: u32) -> f64 {
        let of_rank = self.rates.get(&rank).map_or(0.0, |r| r.decayed(now));
        let all: f64 = self.rates.values().map(|r| r.decayed(now)).sum();
        of_rank.max(all * MIN_RATE_FRACTION).max(MIN_RATE)
    }

    fn limits(&self, max_pause: Duration) -> Limits {
        Limits {
            max_pause,
            max_reading: self.pace.max_reading(max_pause),
        }
    }

    /// Returns the time in which one more request of a rank would get its place.
    fn time_to_serve(&self, now: Duration, rank: u32) -> Duration {
        // CAST: the number of waiting requests is small.
        let places = self.queue.waiting_of(rank) as f64 + 1.0;
        Duration::from_secs_f64(places / self.rate(now, rank))
    }

    fn refuse(&mut self, now: Duration, waiting: &Waiting, room_in: Duration) -> Outcome {
        self.counts[2] += 1;
        let ask = &waiting.ask;
        let caller = Caller {
            rank: ask.rank,
            request: request_key(ask),
            aim: waiting.aim,
            time_left: Duration::from_millis(ask.time_left_ms.into()),
        };
        let rate = self.rate(now, ask.rank);
        Outcome::Refused(self.comebacks.schedule(now, &caller, room_in, rate))
    }

    /// Returns the entry of a request in the queue. `first_aim` is the aim of its first attempt, if it has come
    /// back.
    fn waiting_of(
        &self,
        now: Duration,
        id: HolderId,
        ask: &Ask,
        first_aim: Option<Duration>,
    ) -> Waiting {
        let target = Duration::from_millis(ask.target_ms.into()).mul_f64(TARGET_FRACTION);
        let time_left = Duration::from_millis(ask.time_left_ms.into());
        let aim = first_aim.unwrap_or(now + target.saturating_sub(self.shortest(ask)));
        Waiting {
            id,
            ask: ask.clone(),
            aim,
            leave_at: aim.max((now + time_left.mul_f64(LATE_FRACTION)).min(aim + MAX_LATE)),
            returned: first_aim.is_some(),
            arrived_at: now,
            asked_at: now,
        }
    }

    /// Returns the shortest time until the first event of a request that no engine has cached anything of but
    /// what it shares.
    fn shortest(&self, ask: &Ask) -> Duration {
        let shared: u64 = shared_parts(ask).map(|(_, tokens)| u64::from(tokens)).sum();
        let own = u64::from(ask.prompt_tokens).saturating_sub(shared);
        let read_ms = weighted_tokens(ask, own) * self.speed.ms_per_token;
        Duration::from_secs_f64((read_ms + self.speed.busy_first_ms) / 1_000.0)
    }

    /// Gives a request a place at the best engine that has one.
    fn place(
        &mut self,
        now: Duration,
        waiting: &Waiting,
        cx: &Circumstances<'_>,
    ) -> Result<Outcome, Offer> {
        let first = Duration::from_secs_f64(self.speed.busy_first_ms / 1_000.0);
        let latest = (waiting.aim + self.shortest(&waiting.ask)).saturating_sub(first);
        let is_late = now >= waiting.aim;
        let limits = self.limits(cx.max_pause);
        let mut best: Option<(Bid, Candidate, Work)> = None;
        let mut best_later_ms = f64::INFINITY;
        let mut failure = Offer::Full;
        for candidate in cx.candidates {
            let engine = self.engines.entry(candidate.run).or_default();
            let work = work_of(&waiting.ask, candidate);
            let has_slot = has_slot(now, engine, candidate, &waiting.ask, &self.last_asked);
            let bid = bid(
                now,
                engine,
                candidate,
                &work,
                &self.speed,
                &limits,
                has_slot,
            );
            if !is_late && bid.plan.read_end + bid.later > latest {
                failure = failure_of(failure, Offer::NoPlace);
            } else if !bid.later.is_zero() {
                best_later_ms = best_later_ms.min(bid.cost_ms);
                let offer = match (has_slot, bid.is_large) {
                    (false, _) => Offer::Full,
                    (true, true) => Offer::Later,
                    (true, false) => Offer::NoPlace,
                };
                failure = failure_of(failure, offer);
            } else if best.as_ref().is_none_or(|b| bid.cost_ms < b.0.cost_ms) {
                best = Some((bid, *candidate, work));
            }
        }
        let (Bid { plan, cost_ms, .. }, candidate, work) = best.ok_or(failure)?;
        if best_later_ms < cost_ms {
            return Err(Offer::Later);
        }
        let engine = self.engines.entry(candidate.run).or_default();
        engine.hold(now, waiting.id, &work, &plan, cx.max_pause);
        self.runs.insert(waiting.id, candidate.run);
        self.counts[0] += 1;
        self.rates.entry(waiting.ask.rank).or_default().count(now);
        Ok(Outcome::Granted {
            run: candidate.run,
            prefill_tokens: candidate.prefill_tokens,
            wait: plan.read_end.saturating_sub(now) + first,
        })
    }

    /// Offers places to the waiting requests. `candidates` and `remotes` return the engines that one may be
    /// sent to and the rooms of the regions that it may be forwarded to. Returns the decisions.
    pub fn serve(
        &mut self,
        now: Duration,
        cx: &Circumstances<'_>,
        candidates: impl Fn(&Ask) -> Vec<Candidate>,
        remotes: impl Fn(&Ask) -> Vec<Remote>,
    ) -> Vec<(Waiting, Outcome)> {
        let mut queue = std::mem::take(&mut self.queue);
        let mut outcomes = Vec::new();
        let served = queue.serve(now, |waiting| {
            let candidates = candidates(&waiting.ask);
            let cx = Circumstances {
                candidates: &candidates,
                ..cx.clone()
            };
            match self.place(now, waiting, &cx) {
                Ok(outcome) => {
                    outcomes.push(outcome);
                    match outcome {
                        Outcome::Granted { prefill_tokens, .. } => Offer::Placed(prefill_tokens),
                        _ => Offer::Placed(0),
                    }
                }
                Err(offer) => offer,
            }
        });
        let mut decided: Vec<_> = served.into_iter().zip(outcomes).collect();
        let forwarded = queue.take_forwarded(now, cx.round_trip / 2, |waiting| {
            let need = Need {
                target: waiting.aim.saturating_sub(now),
                ..self.need(now, &waiting.ask, cx)
            };
            room::instead(&remotes(&waiting.ask), &need)
        });
        for (waiting, region) in forwarded {
            self.counts[1] += 1;
            decided.push((waiting, Outcome::Forward(region)));
        }
        for waiting in queue.take_leaving(now) {
            let outcome = self.refuse(now, &waiting, Duration::ZERO);
            decided.push((waiting, outcome));
        }
        self.queue = queue;
        decided
    }

    /// Returns the room that the service has in this region.
    pub fn room(&self, now: Duration, candidates: &[Candidate]) -> Room {
        let least_urgent = self.least_urgent(now);
        let (mut held, mut held_urgent, mut slots) = (0, 0, 0.0);
        let mut backlog = Duration::ZERO;
        for candidate in candidates {
            slots += f64::from(candidate.slots);
            if let Some(engine) = self.engines.get(&candidate.run) {
                held += engine.held();
                held_urgent += engine.held_before(least_urgent);
                backlog += engine.backlog(now).min(FULL_BACKLOG);
            }
        }
        // CAST: the numbers of engines and requests are small.
        let count = candidates.len().max(1) as f64;
        let reading = backlog.as_secs_f64() / (FULL_BACKLOG.as_secs_f64() * count);
        let part = |count: usize| match slots > 0.0 {
            true => (count as f64 / slots).min(1.0),
            false => 1.0,
        };
        let waiting = self.queue.len();
        let waiting_urgent = self.queue.waiting_before(least_urgent);
        Room {
            held: part(held + waiting),
            held_urgent: part(held_urgent + waiting_urgent),
            reading,
            reading_urgent: match waiting_urgent {
                0 => reading * UNCLAIMED_FRACTION,
                _ => reading,
            },
            free_slots: (slots - (held + waiting) as f64).max(0.0),
            free_reading_ms: (FULL_BACKLOG.as_secs_f64() * count - backlog.as_secs_f64()) * 1_000.0,
        }
    }

    /// Handles what happened to a request. Returns the run of the engine at which it held a place.
    pub fn handle_notice(
        &mut self,
        now: Duration,
        from: u32,
        notice: &Notice,
        max_pause: Duration,
    ) -> Option<u64> {
        let id = (from, notice.id);
        let at = now.saturating_sub(Duration::from_millis(notice.age_ms.into()));
        self.queue.remove(id);
        let run = *self.runs.get(&id)?;
        let engine = self.engines.get_mut(&run)?;
        engine.slowness.state(at, notice.slowness_percent);
        if notice.pause_ms > 0 {
            let pause = Duration::from_millis(notice.pause_ms.into());
            self.pace.observe(pause, max_pause);
        }
        if notice.event() == Event::Started {
            engine.start(id, at, &mut self.speed);
        } else {
            engine.release(id);
            self.runs.remove(&id);
        }
        Some(run)
    }

    /// Records a request that holds a place which this dispatcher did not give.
    pub fn handle_hold(&mut self, now: Duration, from: u32, hold: &Hold, max_pause: Duration) {
        let id = (from, hold.id);
        let work = Work {
            shared: Vec::new(),
            weighted_tokens: hold.prefill_tokens.into(),
            is_sure: false,
            own_kv_tokens: hold.kv_tokens.into(),
            rank: hold.rank,
            time_left: Duration::from_millis(hold.time_left_ms.into()),
        };
        let limits = self.limits(max_pause);
        let engine = self.engines.entry(hold.run).or_default();
        let plan = engine.plan(now, &work, &self.speed, &limits);
        engine.hold(now, id, &work, &plan, max_pause);
        self.runs.insert(id, hold.run);
    }

    /// Forgets places whose requests have expired, those of instances that `is_gone` names, and engines that
    /// `is_known` does not.
    pub fn forget(
        &mut self,
        now: Duration,
        is_gone: impl Fn(u32) -> bool,
        is_known: impl Fn(u64) -> bool,
    ) {
        self.engines.retain(|run, _| is_known(*run));
        self.queue.forget(&is_gone);
        for engine in self.engines.values_mut() {
            engine.release_expired(now, &is_gone);
        }
        let engines = &self.engines;
        self.runs
            .retain(|id, run| engines.get(run).is_some_and(|e| e.holds(*id)));
    }
}

/// Returns the more telling of two reasons why no engine has a place.
fn failure_of(known: Offer, new: Offer) -> Offer {
    match (known, new) {
        (Offer::NoPlace, _) | (_, Offer::NoPlace) => Offer::NoPlace,
        _ => new,
    }
}

/// Returns the parts of a prompt that other requests share: all but the last.
fn shared_parts(ask: &Ask) -> impl Iterator<Item = (u64, u32)> {
    let count = ask.part_ids.len().saturating_sub(1);
    let parts = ask.part_ids.iter().zip(&ask.part_tokens).take(count);
    parts.map(|(id, tokens)| (*id, *tokens))
}

/// Returns what a request of a caller that comes back has in common with its first one: its last part.
fn request_key(ask: &Ask) -> u64 {
    ask.part_ids.last().copied().unwrap_or_default()
}

/// Returns the tokens of a short prompt that take as long to read as `prefill_tokens` at the end of this one.
fn weighted_tokens(ask: &Ask, prefill_tokens: u64) -> f64 {
    // CAST: token counts are far below 2^53.
    let tokens = prefill_tokens as f64;
    let mean_context = f64::from(ask.prompt_tokens) - tokens / 2.0;
    tokens * (1.0 + mean_context.max(0.0) / DOUBLING_CONTEXT)
}

fn work_of(ask: &Ask, candidate: &Candidate) -> Work {
    let mut prompt = ask.prompt();
    prompt.pop();
    let shared: u64 = prompt.iter().map(|p| u64::from(p.tokens)).sum();
    let tokens = u64::from(ask.prompt_tokens) + u64::from(ask.output_tokens);
    Work {
        own_kv_tokens: tokens.saturating_sub(shared),
        shared: prompt,
        weighted_tokens: weighted_tokens(ask, candidate.prefill_tokens),
        is_sure: u64::from(ask.prompt_tokens) >= candidate.prefill_tokens + shared,
        rank: ask.rank,
        time_left: Duration::from_millis(ask.time_left_ms.into()),
    }
}

/// What an engine offers a request.
#[derive(Clone, Copy, Debug)]
struct Bid {
    plan: Plan,
    /// Time until the engine has a place; zero if it has one now.
    later: Duration,
    /// Milliseconds by which engines are compared, with that time.
    cost_ms: f64,
    /// Whether reading the prompt alone takes longer than any engine may read.
    is_large: bool,
}

fn bid(
    now: Duration,
    engine: &Engine,
    candidate: &Candidate,
    work: &Work,
    speed: &Speed,
    limits: &Limits,
    has_slot: bool,
) -> Bid {
    let plan = engine.plan(now, work, speed, limits);
    let is_large = plan.read_ms > limits.max_reading.as_secs_f64() * 1_000.0;
    let max_paused = if is_large { MAX_PAUSED_BY_LARGE } else { 0 };
    let mut later = Duration::ZERO;
    if plan.paused_streams > max_paused {
        later = engine.time_to_gap(now, limits.max_pause);
    }
    if !has_slot || !fits_memory(engine, candidate, work) {
        later = later.max(PLACE_RELEASE_TIME);
    }
    let later_ms = later.as_secs_f64() * 1_000.0;
    Bid {
        plan,
        later,
        cost_ms: later_ms + cost_ms(now, engine, candidate, &plan, speed),
        is_large,
    }
}

/// Returns whether an engine has a slot for a request. Less urgent requests leave some free.
fn has_slot(
    now: Duration,
    engine: &Engine,
    candidate: &Candidate,
    ask: &Ask,
    last_asked: &HashMap<u32, Duration>,
) -> bool {
    let is_recent = |at: &Duration| now.saturating_sub(*at) < RESERVED_TIME;
    let mut others = last_asked.iter();
    let has_more_urgent = others.any(|(rank, at)| *rank < ask.rank && is_recent(at));
    // CAST: the number of slots is small.
    let reserved = match has_more_urgent {
        true => (f64::from(candidate.slots) * RESERVED_FRACTION).ceil() as usize,
        false => 0,
    };
    engine.held() + reserved < candidate.slots as usize
}

/// Returns whether an engine's memory has room. A request that is larger than the limit may run alone.
fn fits_memory(engine: &Engine, candidate: &Candidate, work: &Work) -> bool {
    // CAST: token counts are far below 2^53.
    let max_tokens = candidate.kv_capacity_tokens as f64 * MAX_KV_FRACTION;
    let tokens = engine.kv_tokens() + engine.additional_kv_tokens(work);
    engine.held() == 0 || tokens as f64 <= max_tokens
}

/// Returns the milliseconds by which engines with a place are compared.
fn cost_ms(
    now: Duration,
    engine: &Engine,
    candidate: &Candidate,
    plan: &Plan,
    speed: &Speed,
) -> f64 {
    let wait_ms = plan.read_end.saturating_sub(now).as_secs_f64() * 1_000.0;
    // CAST: token and request counts are far below 2^53.
    let repeated_ms = candidate.repeated_tokens as f64 * speed.ms_per_token;
    let held = engine.held() as f64 / f64::from(candidate.slots.max(1));
    wait_ms
        + speed.first_ms * engine.slowness.measured()
        + repeated_ms * REPEATED_WEIGHT
        + held * HELD_WEIGHT_MS
        + candidate.failure_ratio * FAILURE_PENALTY_MS
}
