//! What an engine offers a request: when it has a place, and what that costs.

use std::time::Duration;

use crate::dispatch::Candidate;
use crate::dispatch::engine::{Engine, Limits, Plan, Work};
use crate::dispatch::message::PlaceRequest;
use crate::dispatch::queue::Offer;
use crate::dispatch::speed::Speed;

/// Fraction of an engine's KV cache that places may take; engines preempt requests above it.
const MAX_KV_FRACTION: f64 = 0.92;

/// Part of an engine's slots that less urgent requests leave free for more urgent ones.
const RESERVED_FRACTION: f64 = 0.125;

/// Weight of reading a shared part again that another engine has cached, besides the reading itself: it holds up
/// all streams of the engine and evicts other parts.
const REPEATED_WEIGHT: f64 = 5.0;

/// Milliseconds by which an engine all of whose slots are held is less preferred than one without requests.
const HELD_WEIGHT_MS: f64 = 20.0;

/// Penalty in milliseconds for an engine whose recent answers all failed; scales with the failure ratio.
const FAILURE_PENALTY_MS: f64 = 4_000.0;

/// Penalty in milliseconds for an engine that has just refused a request; scales with the level of its refusals.
const REFUSAL_WAIT_MS: f64 = 500.0;

/// Number of tokens before a token at which attention to them takes as long as all other work on it, in dense
/// models of the sizes that are served by several engines. An error of a factor of two changes the estimate of
/// usual prompts by a tenth.
const DOUBLING_CONTEXT: f64 = 40_000.0;

/// Expected time until a request at a full engine ends.
const PLACE_RELEASE_TIME: Duration = Duration::from_millis(100);

/// Number of streams that may pause for a request whose reading alone takes longer than any engine may read.
const MAX_PAUSED_BY_LARGE: usize = 2;

/// Returns the more telling of two reasons why no engine has a place.
pub fn failure_of(known: Offer, new: Offer) -> Offer {
    match (known, new) {
        (Offer::NoPlace, _) | (_, Offer::NoPlace) => Offer::NoPlace,
        _ => new,
    }
}

/// Returns the parts of a prompt that other requests share: all but the last.
pub fn shared_parts(req: &PlaceRequest) -> impl Iterator<Item = (u64, u32)> {
    let count = req.part_ids.len().saturating_sub(1);
    let parts = req.part_ids.iter().zip(&req.part_tokens).take(count);
    parts.map(|(id, tokens)| (*id, *tokens))
}

/// Returns what a request of a caller that comes back has in common with its first one: its last part.
pub fn request_key(req: &PlaceRequest) -> u64 {
    req.part_ids.last().copied().unwrap_or_default()
}

/// Returns the tokens of a short prompt that take as long to read as `prefill_tokens` at the end of this one.
pub fn weighted_tokens(req: &PlaceRequest, prefill_tokens: u64) -> f64 {
    // CAST: token counts are far below 2^53.
    let tokens = prefill_tokens as f64;
    let mean_context = f64::from(req.prompt_tokens) - tokens / 2.0;
    tokens * (1.0 + mean_context.max(0.0) / DOUBLING_CONTEXT)
}

pub fn work_of(req: &PlaceRequest, candidate: &Candidate) -> Work {
    let mut prompt = req.prompt();
    prompt.pop();
    let shared: u64 = prompt.iter().map(|p| u64::from(p.tokens)).sum();
    let tokens = u64::from(req.prompt_tokens) + u64::from(req.output_tokens);
    Work {
        own_kv_tokens: tokens.saturating_sub(shared),
        shared: prompt,
        weighted_tokens: weighted_tokens(req, candidate.prefill_tokens),
        is_sure: u64::from(req.prompt_tokens) >= candidate.prefill_tokens + shared,
        rank: req.rank,
        time_left: Duration::from_millis(req.time_left_ms.into()),
    }
}

/// What an engine offers a request.
#[derive(Clone, Copy, Debug)]
pub struct Bid {
    /// When it would read the prompt.
    pub plan: Plan,
    /// Time until the engine has a place; zero if it has one now.
    pub later: Duration,
    /// Milliseconds by which engines are compared, with that time.
    pub cost_ms: f64,
    /// Whether reading the prompt alone takes longer than any engine may read.
    pub is_large: bool,
}

pub fn of_engine(
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
pub fn has_slot(engine: &Engine, candidate: &Candidate, has_more_urgent: bool) -> bool {
    // CAST: the number of slots is small.
    let reserved = match has_more_urgent {
        true => (f64::from(candidate.slots) * RESERVED_FRACTION).ceil() as usize,
        false => 0,
    };
    engine.held() + reserved < candidate.slots as usize
}

/// Returns whether an engine's memory has capacity. A request that is larger than the limit may run alone.
pub fn fits_memory(engine: &Engine, candidate: &Candidate, work: &Work) -> bool {
    // CAST: token counts are far below 2^53.
    let max_tokens = candidate.kv_capacity_tokens as f64 * MAX_KV_FRACTION;
    let tokens = engine.kv_tokens() + engine.additional_kv_tokens(work);
    engine.held() == 0 || tokens as f64 <= max_tokens
}

/// Returns the milliseconds by which engines with a place are compared.
pub fn cost_ms(
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
        + candidate.refusal_level * REFUSAL_WAIT_MS
}
