//! The state of one service at its dispatcher, and its decisions about requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::dispatch::bid::{self, Bid};
use crate::dispatch::capacity::{self, Capacity, Need, Remote};
use crate::dispatch::comeback::{Caller, Comebacks};
use crate::dispatch::engine::{Engine, HolderId, Limits, Work};
use crate::dispatch::message::{Event, Hold, Notice, PlaceRequest};
use crate::dispatch::pace::Pace;
use crate::dispatch::queue::{Offer, Queue, Waiting};
use crate::dispatch::speed::Speed;
use crate::dispatch::{Candidate, Circumstances, Outcome};

/// Time after the last request of a rank for which places are reserved for it.
const RESERVED_TIME: Duration = Duration::from_secs(5);

/// Part of the target that may pass until the first event; the rest covers the way to the caller.
const TARGET_FRACTION: f64 = 0.92;

/// Part of the time that a caller waits that it may wait for a place once its target is missed.
const LATE_FRACTION: f64 = 0.4;

/// Longest time that a request waits for a place once its target is missed. Callers give up streams that do not
/// begin.
const MAX_LATE: Duration = Duration::from_millis(1_500);

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
    pub fn read_ms(&self, req: &PlaceRequest) -> f64 {
        bid::weighted_tokens(req, req.prompt_tokens.into()) * self.speed.ms_per_token
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
        req: &PlaceRequest,
        cx: &Circumstances<'_>,
    ) -> Outcome {
        if let Some(leave_at) = self.queue.touch(now, id) {
            return Outcome::Waiting(leave_at.saturating_sub(now));
        }
        if let Some(granted) = self.granted_before(id, cx.candidates) {
            return granted;
        }
        // The engine that it held a place at is not to be used any more.
        if let Some(run) = self.runs.remove(&id)
            && let Some(engine) = self.engines.get_mut(&run)
        {
            engine.release(id);
        }
        self.last_asked.insert(req.rank, now);
        let first_aim = self.comebacks.take(now, bid::request_key(req));
        let waiting = self.waiting_of(now, id, req, first_aim);
        let need = self.need(now, req, cx);
        if let Some(region) =
            capacity::less_loaded(self.capacity(now, cx.candidates), cx.remotes, &need)
        {
            self.counts[1] += 1;
            return Outcome::Forward(region);
        }
        if !self.queue.goes_before(now, &waiting)
            && let Some(granted) = self.place(now, &waiting, cx).ok()
        {
            return granted;
        }
        let place_in = self.time_to_serve(now, req.rank);
        let max_wait = |until: Duration| {
            let slack = until.saturating_sub(now).mul_f64(WAIT_FRACTION);
            slack.min(MAX_EXPECTED_WAIT)
        };
        let can_wait = place_in <= max_wait(waiting.aim);
        if (!can_wait || place_in > cx.round_trip)
            && let Some(region) = capacity::instead(cx.remotes, &need)
        {
            self.counts[1] += 1;
            return Outcome::Forward(region);
        }
        if can_wait || place_in <= max_wait(waiting.leave_at) {
            let wait = waiting.leave_at.saturating_sub(now);
            self.queue.push(waiting);
            return Outcome::Waiting(wait);
        }
        self.refuse(now, &waiting, place_in)
    }

    /// Returns the place that a request holds already, if its ask was sent again because the answer was lost.
    fn granted_before(&self, id: HolderId, candidates: &[Candidate]) -> Option<Outcome> {
        let run = *self.runs.get(&id)?;
        let candidate = candidates.iter().find(|c| c.run == run)?;
        Some(Outcome::Granted {
            run,
            prefill_tokens: candidate.prefill_tokens,
            wait: Duration::from_secs_f64(self.speed.busy_first_ms / 1_000.0),
        })
    }

    /// Returns whether requests that are more urgent than `rank` were asked for recently.
    fn has_more_urgent(&self, now: Duration, rank: u32) -> bool {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < RESERVED_TIME;
        let mut ranks = self.last_asked.iter();
        ranks.any(|(asked, at)| *asked < rank && is_recent(at))
    }

    /// Returns the least urgent rank that was asked for recently.
    fn least_urgent(&self, now: Duration) -> u32 {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < RESERVED_TIME;
        let recent = self.last_asked.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(rank, _)| *rank).max().unwrap_or_default()
    }

    /// Returns what a request needs of another region.
    fn need(&self, now: Duration, req: &PlaceRequest, cx: &Circumstances<'_>) -> Need {
        Need {
            target: Duration::from_millis(req.target_ms.into()),
            round_trip: cx.round_trip,
            is_least_urgent: req.rank >= self.least_urgent(now),
            shared_prompt: req
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

    fn refuse(&mut self, now: Duration, waiting: &Waiting, place_in: Duration) -> Outcome {
        self.counts[2] += 1;
        let req = &waiting.req;
        let caller = Caller {
            rank: req.rank,
            request: bid::request_key(req),
            aim: waiting.aim,
            time_left: Duration::from_millis(req.time_left_ms.into()),
        };
        let rate = self.rate(now, req.rank);
        Outcome::Refused(self.comebacks.schedule(now, &caller, place_in, rate))
    }

    /// Returns the entry of a request in the queue. `first_aim` is the aim of its first attempt, if it has come
    /// back.
    fn waiting_of(
        &self,
        now: Duration,
        id: HolderId,
        req: &PlaceRequest,
        first_aim: Option<Duration>,
    ) -> Waiting {
        let target = Duration::from_millis(req.target_ms.into()).mul_f64(TARGET_FRACTION);
        let time_left = Duration::from_millis(req.time_left_ms.into());
        let aim = first_aim.unwrap_or(now + target.saturating_sub(self.shortest(req)));
        Waiting {
            id,
            req: req.clone(),
            aim,
            leave_at: aim.max((now + time_left.mul_f64(LATE_FRACTION)).min(aim + MAX_LATE)),
            returned: first_aim.is_some(),
            arrived_at: now,
            asked_at: now,
        }
    }

    /// Returns the shortest time until the first event of a request that no engine has cached anything of but
    /// what it shares.
    fn shortest(&self, req: &PlaceRequest) -> Duration {
        let shared: u64 = bid::shared_parts(req)
            .map(|(_, tokens)| u64::from(tokens))
            .sum();
        let own = u64::from(req.prompt_tokens).saturating_sub(shared);
        let read_ms = bid::weighted_tokens(req, own) * self.speed.ms_per_token;
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
        let latest = (waiting.aim + self.shortest(&waiting.req)).saturating_sub(first);
        let is_late = now >= waiting.aim;
        let limits = self.limits(cx.max_pause);
        let has_more_urgent = self.has_more_urgent(now, waiting.req.rank);
        let mut best: Option<(Bid, Candidate, Work)> = None;
        let mut best_later_ms = f64::INFINITY;
        let mut failure = Offer::Full;
        for candidate in cx.candidates {
            let engine = self.engines.entry(candidate.run).or_default();
            let work = bid::work_of(&waiting.req, candidate);
            let has_slot = bid::has_slot(engine, candidate, has_more_urgent);
            let bid = bid::of_engine(
                now,
                engine,
                candidate,
                &work,
                &self.speed,
                &limits,
                has_slot,
            );
            if !is_late && bid.plan.read_end + bid.later > latest {
                failure = bid::failure_of(failure, Offer::NoPlace);
            } else if !bid.later.is_zero() {
                best_later_ms = best_later_ms.min(bid.cost_ms);
                let offer = match (has_slot, bid.is_large) {
                    (false, _) => Offer::Full,
                    (true, true) => Offer::Later,
                    (true, false) => Offer::NoPlace,
                };
                failure = bid::failure_of(failure, offer);
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
        self.rates.entry(waiting.req.rank).or_default().count(now);
        Ok(Outcome::Granted {
            run: candidate.run,
            prefill_tokens: candidate.prefill_tokens,
            wait: plan.read_end.saturating_sub(now) + first,
        })
    }

    /// Offers places to the waiting requests. `candidates` and `remotes` return the engines that one may be
    /// sent to and the capacities of the regions that it may be forwarded to. Returns the decisions.
    pub fn serve(
        &mut self,
        now: Duration,
        cx: &Circumstances<'_>,
        candidates: impl Fn(&PlaceRequest) -> Vec<Candidate>,
        remotes: impl Fn(&PlaceRequest) -> Vec<Remote>,
    ) -> Vec<(Waiting, Outcome)> {
        let mut queue = std::mem::take(&mut self.queue);
        let mut outcomes = Vec::new();
        let served = queue.serve(now, |waiting| {
            let candidates = candidates(&waiting.req);
            if candidates.is_empty() {
                // Others may still be sent to engines that this one must avoid.
                return Offer::Later;
            }
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
                ..self.need(now, &waiting.req, cx)
            };
            capacity::instead(&remotes(&waiting.req), &need)
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

    /// Returns the capacity that the service has in this region.
    pub fn capacity(&self, now: Duration, candidates: &[Candidate]) -> Capacity {
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
        Capacity {
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

    /// Returns whether a request holds a place.
    pub fn holds(&self, id: HolderId) -> bool {
        self.runs.contains_key(&id)
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
