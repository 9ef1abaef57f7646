//! Which upstream a request goes to, or why it is refused at once.
//!
//! Answers the load of the heaviest hours, when a region is asked for more than its
//! upstreams bear: a request goes where its first event comes soonest, counting what the
//! upstream keeps of its prompt; if that is too late to be of use, it is refused with
//! the time at which there should be room.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::cache::PromptPart;
use crate::cold;
use crate::config::Engine;
use crate::quota;
use crate::rendezvous;
use crate::state::RoutingState;
use crate::upstream::{Key, RequestLoad, Upstream};

/// What placing a request depends on.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    /// The service.
    pub service: SmolStr,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer, or the caller's estimate.
    pub output_tokens: u64,
    /// Time within which the answer should begin, from now.
    pub target_latency: Duration,
    /// Upstreams that were tried.
    pub tried: Vec<Key>,
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedUpstream {
    /// Its key.
    pub key: Key,
    /// Its id, which the upstream at the address must have.
    pub id: SmolStr,
    /// Its address.
    pub address: SocketAddr,
    /// What the request takes there.
    pub request_load: RequestLoad,
    /// Estimated time until its first event.
    pub estimated_wait: Duration,
}

/// Why no upstream of the region takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// There is none that may be used.
    NoUpstream,
    /// All are cold and have taken what they bear.
    Cold,
    /// The wait is longer than the answer is worth.
    Overload,
}

/// Part of an engine's memory that running requests may take; above it, the engine
/// begins to preempt them.
const MEMORY_USED: f64 = 0.92;

/// Part of an engine's slots that requests may take before they wait for one.
const SLOTS_USED: f64 = 0.95;

/// Part of an engine's slots that may be wanted, those that are waited for included. What
/// is known of others' requests is late, so that a slot may be free though it looks taken.
const SLOTS_WANTED: f64 = 1.5;

/// Time until a request runs that begins at an idle engine.
const ENGINE_FIRST: f64 = 60.0;

/// Time for which a plain request occupies a slot, where nothing is known.
const PLAIN_WORK: f64 = 25.0;

/// Requests that may wait at a plain upstream for each of its slots.
const PLAIN_QUEUE: u32 = 3;

/// Weight of reading a shared part again against waiting as long: a part that moves
/// displaces others, so that more than its own time is lost.
const REREAD_WEIGHT: f64 = 4.0;

/// Milliseconds that count against an upstream all of whose answers fail.
const FAULT_COST: f64 = 4_000.0;

/// Most of the target that an estimated wait may take; the rest covers the way back.
const WAIT_LIMIT: f64 = 0.85;

/// Refusals name this time at least.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Upstreams of a region that a subject's prompts may go to. News of load is late: out of
/// all upstreams, every instance would choose the one that looks free to all of them.
const CANDIDATES: usize = 8;

/// Those of them that its prompts go to before the others.
const HOMES: usize = 3;

/// Milliseconds that count against an upstream that is none of them: instances that do not
/// know each other's load then still agree on where a busy subject spreads.
const STRAY_COST: f64 = 150.0;

/// Milliseconds by which each running request delays the next one's first event.
const STEP_COST: f64 = 1.2;

/// Milliseconds by which each waiting request does.
const QUEUED_COST: f64 = 20.0;

/// Age at which what an upstream said of its queue counts for nothing.
const QUEUED_LIFE: Duration = Duration::from_millis(300);

struct Scored {
    key: Key,
    /// Milliseconds until the first event.
    wait: f64,
    /// Milliseconds by which upstreams are compared: the wait, and what is lost beside it.
    cost: f64,
    size: RequestLoad,
    full: bool,
}

/// Chooses the upstream of this region whose first event would come soonest.
pub fn select_upstream(
    state: &mut RoutingState,
    now: Duration,
    ask: &RequestSpec,
) -> Result<SelectedUpstream, Rejection> {
    let scored = score_all(state, now, ask)?;
    let open = scored.iter().filter(|s| !s.full);
    let best = open.min_by(|a, b| a.cost.total_cmp(&b.cost));
    let Some(best) = best else {
        return Err(Rejection::Overload);
    };
    if best.wait > ask.target_latency.as_secs_f64() * 1_000.0 * WAIT_LIMIT {
        return Err(Rejection::Overload);
    }
    let upstream = &state.upstreams.all[best.key];
    Ok(SelectedUpstream {
        key: best.key,
        id: upstream.entry.id.clone(),
        address: upstream.entry.address,
        request_load: best.size,
        estimated_wait: Duration::from_secs_f64(best.wait / 1_000.0),
    })
}

fn score_all(
    state: &RoutingState,
    now: Duration,
    ask: &RequestSpec,
) -> Result<Vec<Scored>, Rejection> {
    let keys = state.upstreams.of_service(&ask.service);
    let usable = |k: &&Key| !ask.tried.contains(*k) && is_usable(state, &state.upstreams.all[**k]);
    let mut usable: Vec<Key> = keys.iter().filter(usable).copied().collect();
    if usable.is_empty() {
        return Err(Rejection::NoUpstream);
    }
    usable.retain(|k| {
        let upstream = &state.upstreams.all[*k];
        !upstream.is_cold(now) || admits_cold(state, now, upstream)
    });
    if usable.is_empty() {
        return Err(Rejection::Cold);
    }
    let rested = |k: &Key| now >= state.upstreams.all[*k].ejected_until;
    if usable.iter().any(rested) {
        usable.retain(rested);
    }
    let Some(engine) = engine_of(state, &ask.service) else {
        let plain = usable.iter();
        let scored = plain.map(|&key| score_plain(now, key, &state.upstreams.all[key]));
        return Ok(scored.collect());
    };
    let ranked = rank_by_subject(state, usable, &ask.prompt);
    let scored = ranked.iter().enumerate().map(|(rank, &key)| {
        // Without a prompt there is nothing to rank by.
        let rank = (!ask.prompt.is_empty()).then_some(rank);
        score_engine(state, now, key, engine, ask, rank)
    });
    Ok(scored.collect())
}

fn engine_of(state: &RoutingState, service: &str) -> Option<Engine> {
    state.config.as_ref()?.services.get(service)?.engine
}

/// Tells whether an upstream may get requests at all.
fn is_usable(state: &RoutingState, upstream: &Upstream) -> bool {
    upstream.entry.ready && !state.evacuated.contains(&upstream.entry.domain)
}

/// Tells whether this instance may send one more request to a cold upstream.
fn admits_cold(state: &RoutingState, now: Duration, upstream: &Upstream) -> bool {
    let config = state.config.as_ref();
    let service = config.and_then(|c| c.services.get(&upstream.entry.service));
    let rate = service.map_or(0.0, |s| s.cold_rate);
    if rate <= 0.0 {
        return true;
    }
    if now < quota::DISCOVERY_TIME {
        // Instances that started together do not know yet which of them owns it.
        return false;
    }
    let near = |m: &&crate::member::Member| m.region == state.identity.region;
    let heard: Vec<_> = state.members.alive(now).filter(near).collect();
    let known = state.region_instance_count();
    let id = upstream.entry.id.as_bytes();
    let mine = rendezvous::weight(id, &state.identity.name);
    let owner = heard
        .iter()
        .all(|m| rendezvous::weight(id, &m.record.name) < mine);
    let most = cold::max_sends(state.bounds.cold, rate, known, heard.len() + 1 == known);
    owner && upstream.cold_sends.allows(now, most)
}

/// Returns the upstreams that the prompt's subject points to, the first choice first; all
/// of them, as they are, without a prompt.
fn rank_by_subject(state: &RoutingState, mut keys: Vec<Key>, prompt: &[PromptPart]) -> Vec<Key> {
    // The last part belongs to the request; the one before it to what it is about.
    let Some(part) = prompt.iter().rev().nth(1).or(prompt.first()) else {
        return keys;
    };
    let weight = |k: &Key| rendezvous::mix(part.id, state.upstreams.all[*k].id_hash.into());
    keys.sort_by_cached_key(|k| std::cmp::Reverse(weight(k)));
    keys.truncate(CANDIDATES);
    keys
}

fn score_engine(
    state: &RoutingState,
    now: Duration,
    key: Key,
    engine: Engine,
    ask: &RequestSpec,
    rank: Option<usize>,
) -> Scored {
    let upstream = &state.upstreams.all[key];
    // CAST: token counts are far below 2^53.
    let tokens = |t: u64| t as f64;
    let home = rank == Some(0);
    let (prefill_tokens, reread) = reading(upstream, ask, home);
    let memory = upstream.memory_tokens + u64::from(upstream.others_load.memory_tokens);
    let need = ask.prompt_tokens + ask.output_tokens;
    let speed = state.bounds.prefill_per_ms;
    let wait = ENGINE_FIRST
        + queue_wait(state, now, upstream, engine, &ask.service)
        + tokens(prefill_tokens) / speed;
    let stray = if rank.is_some_and(|r| r < HOMES) {
        0.0
    } else {
        STRAY_COST
    };
    let most_memory = tokens(engine.kv_tokens) * MEMORY_USED;
    let wanted = f64::from(upstream.outstanding(now) + 1);
    Scored {
        key,
        wait,
        cost: wait
            + tokens(reread) / speed * REREAD_WEIGHT
            + stray
            + upstream.failure_ratio * FAULT_COST,
        size: RequestLoad {
            prefill_tokens,
            memory_tokens: need,
        },
        full: (memory > 0 && tokens(memory + need) > most_memory)
            || wanted > f64::from(engine.slots) * SLOTS_WANTED,
    }
}

/// Returns the tokens that the upstream would have to read, and those of them that another
/// one keeps.
fn reading(upstream: &Upstream, ask: &RequestSpec, home: bool) -> (u64, u64) {
    let kept = upstream
        .cache
        .cached_tokens(&ask.prompt)
        .min(ask.prompt_tokens);
    let unread = ask.prompt_tokens - kept;
    let parts = ask.prompt.iter().rev().skip(1);
    let shared: u64 = parts.map(|p| u64::from(p.tokens)).sum();
    if home {
        // The region's other instances send the same prompts to the same upstream.
        return (unread.min(ask.prompt_tokens.saturating_sub(shared)), 0);
    }
    (unread, shared.saturating_sub(kept))
}

/// Returns the milliseconds that a request would wait there for others.
fn queue_wait(
    state: &RoutingState,
    now: Duration,
    upstream: &Upstream,
    engine: Engine,
    service: &SmolStr,
) -> f64 {
    // CAST: token counts are far below 2^53.
    let backlog = upstream.prefill_tokens as f64 + f64::from(upstream.others_load.prefill_tokens);
    let running = upstream.outstanding(now);
    let stated = upstream.reported_load;
    let waiting = stated.filter(|s| now.saturating_sub(s.0) < QUEUED_LIFE);
    let queued = waiting.map_or(0, |s| s.1.waiting);
    // What is late at busy upstreams is no reason to refuse an idle one: with nothing
    // admitted, no answer would ever correct it.
    let lateness = match running {
        0 => 0.0,
        _ => state
            .estimate_errors_ms
            .get(service)
            .copied()
            .unwrap_or(0.0),
    };
    let beyond = f64::from(running + 1) - f64::from(engine.slots) * SLOTS_USED;
    lateness
        + backlog / state.bounds.prefill_per_ms
        + f64::from(running) * STEP_COST
        + beyond.max(0.0) * state.slot_release_ms(service, engine.slots)
        + f64::from(queued) * QUEUED_COST
}

fn score_plain(now: Duration, key: Key, upstream: &Upstream) -> Scored {
    let slots = upstream.entry.slots.max(1);
    let outstanding = upstream.outstanding(now);
    let wait = f64::from(outstanding + 1) / f64::from(slots) * PLAIN_WORK;
    Scored {
        key,
        wait,
        cost: wait + upstream.failure_ratio * FAULT_COST,
        size: RequestLoad::default(),
        full: outstanding >= slots * PLAIN_QUEUE,
    }
}

/// Returns the wait of an ordinary request of `service` in this region and the number of
/// upstreams that take requests.
pub fn region_load(state: &RoutingState, now: Duration, service: &SmolStr) -> (Duration, usize) {
    let ask = RequestSpec {
        service: service.clone(),
        prompt_tokens: 2_000,
        output_tokens: 100,
        ..RequestSpec::default()
    };
    let Ok(scored) = score_all(state, now, &ask) else {
        return (Duration::ZERO, 0);
    };
    let open: Vec<_> = scored.iter().filter(|s| !s.full).collect();
    if open.is_empty() {
        return (FULL_WAIT, 0);
    }
    // CAST: the number of upstreams is small.
    let mean = open.iter().map(|s| s.wait).sum::<f64>() / open.len() as f64;
    (Duration::from_secs_f64(mean / 1_000.0), open.len())
}

/// Wait that is told where all upstreams are full.
const FULL_WAIT: Duration = Duration::from_secs(5);
