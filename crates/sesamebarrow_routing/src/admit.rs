//! Selects the upstream of this region for a request, or rejects the request at once.
//!
//! A request goes to the upstream that is expected to send its first event soonest, taking
//! into account how much of the prompt that upstream has cached. If all upstreams are full
//! or the estimated wait exceeds most of the target latency, the request is rejected; the
//! caller then tries another region ([`crate::spill`]) or tells the client when to retry.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::availability::Verdict;
use crate::board::Board;
use crate::cache::PromptPart;
use crate::cold;
use crate::config::Engine;
use crate::member::DISCOVERY_TIME;
use crate::rendezvous;
use crate::spill;
use crate::upstream::{Key, RequestLoad, Upstream};

/// The properties of a request that decide where it can be sent.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    /// The service.
    pub service: SmolStr,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens to expect: the client's estimate if it is lower than the
    /// maximum, otherwise the maximum.
    pub output_tokens: u64,
    /// Time from now within which the answer should begin; usually what remains of the
    /// route's target latency.
    pub target_wait: Duration,
    /// Upstreams that have already been tried.
    pub tried_upstreams: Vec<Key>,
    /// Order in which requests give way ([`crate::dispatch::rank`]).
    pub rank: u8,
    /// Order in which requests get permits of limited upstreams; 0 is the most urgent.
    pub urgency: u8,
    /// Whether upstreams that have named a limit are left out, since some have refused it.
    pub skips_limited: bool,
    /// Whether the request may crash its upstream, so that it is sent where that harms least.
    pub is_trial: bool,
}

/// The upstream selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedUpstream {
    /// Its key in [`crate::upstream::Upstreams`].
    pub key: Key,
    /// Its id. The caller must send it with the request, so that another upstream to which
    /// the address has been reassigned does not run the request.
    pub id: SmolStr,
    /// Its address.
    pub address: SocketAddr,
    /// The load that the request puts on it.
    pub request_load: RequestLoad,
    /// Estimated time until the first event.
    pub estimated_wait: Duration,
    /// Further wait that the upstream's recent refusals imply.
    pub refusal_wait: Duration,
}

/// Why no upstream of the region accepts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// The region has no upstream of the service that is ready, not being evacuated and not
    /// yet tried.
    NoUpstream,
    /// All available upstreams are cold, and this instance may not send them a request now:
    /// another instance owns them, their request rate is reached, or this instance is still
    /// discovering the others.
    Cold,
    /// All available upstreams refused requests and want none for the contained time.
    Resting(Duration),
    /// All available upstreams have named limits, which are used up for the contained time.
    Limited(Duration),
    /// All available upstreams are full, or the estimated wait is too long for the target
    /// latency.
    Overload,
}

/// Fraction of an engine's KV cache that running requests may fill. Above it, the engine
/// starts to preempt requests.
const MAX_KV_FRACTION: f64 = 0.92;

/// Fraction of an engine's slots above which new requests are expected to queue.
const BUSY_SLOT_FRACTION: f64 = 0.95;

/// Maximum of running and queued requests, as a multiple of an engine's slots. Above 1
/// because load reports from other instances arrive late: a slot may be free although it
/// still counts as taken.
const MAX_SLOT_DEMAND_RATIO: f64 = 1.5;

/// Milliseconds that an idle engine takes to start a request.
const IDLE_ENGINE_DELAY_MS: f64 = 60.0;

/// Assumed time in milliseconds for which a request occupies a slot of an upstream without
/// an engine.
const REQUEST_MS_WITHOUT_ENGINE: f64 = 25.0;

/// Maximum number of requests per slot, running or queued, at an upstream without an
/// engine.
const MAX_PER_SLOT_WITHOUT_ENGINE: u32 = 3;

/// Weight of the time to prefill a shared prefix again, added to the wait, which already
/// contains that time once. It is above 1 because a prefix that moves to another upstream
/// evicts others from its cache.
const REPEATED_PREFILL_WEIGHT: f64 = 4.0;

/// Penalty in milliseconds for an upstream whose recent answers all failed; scales with the
/// failure ratio.
const FAILURE_PENALTY_MS: f64 = 4_000.0;

/// Milliseconds for which a request is expected to wait at an upstream that has just refused one; scales with
/// [`crate::refusal::Refusals::level`].
const REFUSAL_WAIT_MS: f64 = 500.0;

/// Fraction of the target latency that the estimated wait may take. The rest covers the way
/// back to the client.
const MAX_TARGET_FRACTION: f64 = 0.85;

/// Minimum time that a rejection asks the client to wait before it retries.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Number of upstreams that prompts with the same shared prefix may go to. Load reports
/// arrive late, so with all upstreams as candidates every instance would choose the same
/// one that looks idle.
const MAX_CANDIDATES: usize = 8;

/// Number of candidates that get prompts with the prefix before the others do.
const PREFERRED_CANDIDATES: usize = 3;

/// Penalty in milliseconds for the other candidates. With it, instances that do not yet
/// know each other's load still agree where requests with a common prefix go next.
const NON_PREFERRED_PENALTY_MS: f64 = 150.0;

/// Milliseconds by which each outstanding request, running or queued, delays the first
/// event of the next one.
const OUTSTANDING_REQUEST_DELAY_MS: f64 = 1.2;

/// Further milliseconds by which each queued request delays the first event of the next
/// one.
const QUEUED_REQUEST_DELAY_MS: f64 = 20.0;

/// Age above which the queue length that an upstream reported is ignored.
const QUEUE_REPORT_LIFETIME: Duration = Duration::from_millis(300);

/// Part of the upstreams that must not be ejected for a dispatcher to leave out those that are.
const MIN_AVAILABLE_FRACTION: f64 = 0.7;

struct ScoredUpstream {
    key: Key,
    /// Estimated milliseconds until the first event.
    wait_ms: f64,
    /// Further milliseconds that its recent refusals imply. They do not reject a request: nothing is known of the
    /// upstream's queue, and only another request shows whether it still refuses.
    refusal_ms: f64,
    /// Milliseconds used to compare upstreams: the wait plus all penalties.
    cost_ms: f64,
    request_load: RequestLoad,
    full: bool,
    /// Number of such requests that other regions may have in progress at it, so that it is not more than full.
    places: u32,
}

/// Selects the upstream of this region whose first event is expected soonest.
pub fn select_upstream(
    board: &mut Board,
    now: Duration,
    request: &RequestSpec,
) -> Result<SelectedUpstream, Rejection> {
    let scored = score_all(board, now, request)?;
    let not_full: Vec<_> = scored.iter().filter(|s| !s.full).collect();
    let best = if request.is_trial {
        select_for_trial(board, now, &request.service, &not_full)
    } else {
        let by_cost = |a: &&&ScoredUpstream, b: &&&ScoredUpstream| a.cost_ms.total_cmp(&b.cost_ms);
        not_full.iter().min_by(by_cost).copied()
    };
    let Some(best) = best else {
        return Err(Rejection::Overload);
    };
    if best.wait_ms > request.target_wait.as_secs_f64() * 1_000.0 * MAX_TARGET_FRACTION {
        return Err(Rejection::Overload);
    }
    let upstream = &board.upstreams.all[best.key];
    Ok(SelectedUpstream {
        key: best.key,
        id: upstream.entry.id.clone(),
        address: upstream.entry.address,
        request_load: best.request_load,
        estimated_wait: Duration::from_secs_f64(best.wait_ms / 1_000.0),
        refusal_wait: Duration::from_secs_f64(best.refusal_ms / 1_000.0),
    })
}

/// Returns the upstream with the fewest requests for a trial, but the last one only if another region would
/// still serve.
fn select_for_trial<'a>(
    board: &Board,
    now: Duration,
    service: &str,
    not_full: &[&'a ScoredUpstream],
) -> Option<&'a ScoredUpstream> {
    if not_full.len() < 2 && !spill::is_served_elsewhere(board, now, service) {
        return None;
    }
    let outstanding = |s: &&&ScoredUpstream| board.upstreams.all[s.key].outstanding(now);
    not_full.iter().min_by_key(outstanding).copied()
}

fn score_all(
    board: &Board,
    now: Duration,
    request: &RequestSpec,
) -> Result<Vec<ScoredUpstream>, Rejection> {
    let keys = board.upstreams.of_service(&request.service);
    let usable = |k: &&Key| {
        !request.tried_upstreams.contains(*k)
            && accepts_requests(board, now, &board.upstreams.all[**k])
    };
    let mut usable: Vec<Key> = keys.iter().filter(usable).copied().collect();
    if usable.is_empty() {
        return Err(Rejection::NoUpstream);
    }
    if let Some(rest) = shortest_rest(board, now, usable.iter()) {
        return Err(Rejection::Resting(rest));
    }
    usable.retain(|k| rest(board, now, *k).is_none());
    usable.retain(|k| {
        let upstream = &board.upstreams.all[*k];
        !upstream.is_cold(now) || admits_cold(board, now, upstream)
    });
    if usable.is_empty() {
        return Err(Rejection::Cold);
    }
    let verdict = |k: &Key| {
        let upstream = &board.upstreams.all[*k];
        upstream.availability.verdict(now, upstream.in_progress)
    };
    usable.retain(|k| verdict(k) != Verdict::Ramping);
    if usable.is_empty() {
        return Err(Rejection::Overload);
    }
    let pause = |k: &Key| {
        let run = board.upstreams.all[*k].run_hash;
        board.limits.pause(now, run, request.urgency)
    };
    let pauses: Option<Vec<Duration>> = usable.iter().map(pause).collect();
    if let Some(soonest) = pauses.and_then(|p| p.into_iter().min()) {
        return Err(Rejection::Limited(soonest));
    }
    usable.retain(|k| pause(k).is_none());
    if request.skips_limited {
        usable.retain(|k| board.is_unlimited(*k));
        if usable.is_empty() {
            return Err(Rejection::Limited(MIN_RETRY_AFTER));
        }
    }
    let not_ejected = |k: &Key| verdict(k) == Verdict::Available;
    if usable.iter().any(not_ejected) {
        usable.retain(not_ejected);
    }
    let Some(engine) = engine_of(board, &request.service) else {
        let without_engine = usable.iter();
        let scored =
            without_engine.map(|&key| score_without_engine(now, key, &board.upstreams.all[key]));
        return Ok(scored.collect());
    };
    let ranked = rank_by_prefix(board, usable, &request.prompt);
    let scored = ranked.iter().enumerate().map(|(rank, &key)| {
        // Without a prompt there is no prefix to rank by.
        let rank = (!request.prompt.is_empty()).then_some(rank);
        score_engine(board, now, key, engine, request, rank)
    });
    Ok(scored.collect())
}

/// Returns the upstreams of `service` whose requests a dispatcher may place: those that accept requests, are not
/// cold and have no limit. Cold and limited ones have owners of their own. Ejected ones are left out only while
/// most others are not: failures that nearly all have are not cured by sending everything to the rest.
pub fn dispatchable(board: &Board, now: Duration, service: &str) -> Vec<Key> {
    let config = board.config.as_ref().and_then(|c| c.services.get(service));
    let limits_cold = config.is_some_and(|s| s.cold_rate > 0.0);
    let verdict = |key: &Key| {
        let upstream = &board.upstreams.all[*key];
        upstream.availability.verdict(now, upstream.in_progress)
    };
    let is_placed = |key: &&Key| {
        let upstream = &board.upstreams.all[**key];
        accepts_requests(board, now, upstream)
            && !matches!(verdict(key), Verdict::Resting(_) | Verdict::Ramping)
            && !(limits_cold && upstream.is_cold(now))
            && board.is_unlimited(**key)
    };
    let keys = board.upstreams.of_service(service).iter();
    let placed: Vec<Key> = keys.filter(is_placed).copied().collect();
    let is_available = |key: &&Key| verdict(key) == Verdict::Available;
    let available: Vec<Key> = placed.iter().filter(is_available).copied().collect();
    // CAST: the number of upstreams is small.
    match available.len() as f64 >= placed.len() as f64 * MIN_AVAILABLE_FRACTION {
        true => available,
        false => placed,
    }
}

/// Returns the engine of `service`; `None` if it has none.
pub fn engine_of(board: &Board, service: &str) -> Option<Engine> {
    board.config.as_ref()?.services.get(service)?.engine
}

/// Returns whether an upstream is ready, does not leave, is at its address and is neither unverified nor being evacuated.
fn accepts_requests(board: &Board, now: Duration, upstream: &Upstream) -> bool {
    upstream.entry.ready
        && !upstream.availability.leaving
        && !upstream.is_unverified(now)
        && now >= upstream.availability.misdirected_until
        && !board.evacuated.contains(&upstream.entry.domain)
}

/// Returns whether a request for which an upstream was selected may still be sent to it.
pub fn may_send(board: &Board, now: Duration, key: Key) -> bool {
    let upstream = board.upstreams.all.get(key);
    upstream.is_some_and(|u| accepts_requests(board, now, u)) && rest(board, now, key).is_none()
}

/// Returns the time for which an upstream still rests; `None` if it does not.
fn rest(board: &Board, now: Duration, key: Key) -> Option<Duration> {
    let upstream = &board.upstreams.all[key];
    match upstream.availability.verdict(now, upstream.in_progress) {
        Verdict::Resting(rest) => Some(rest),
        _ => None,
    }
}

/// Returns the shortest rest of the upstreams `keys`; `None` if there are none or one does not rest.
fn shortest_rest<'a>(
    board: &Board,
    now: Duration,
    keys: impl Iterator<Item = &'a Key>,
) -> Option<Duration> {
    let rests: Option<Vec<Duration>> = keys.map(|k| rest(board, now, *k)).collect();
    rests?.into_iter().min()
}

/// Returns the time until an upstream of `service` accepts requests again, if all that are usable
/// rest, whether or not a request has tried them.
pub fn service_rest(board: &Board, now: Duration, service: &str) -> Option<Duration> {
    let keys = board.upstreams.of_service(service).iter();
    let usable = keys.filter(|k| accepts_requests(board, now, &board.upstreams.all[**k]));
    shortest_rest(board, now, usable)
}

/// Returns whether this instance may send one more request to a cold upstream.
fn admits_cold(board: &Board, now: Duration, upstream: &Upstream) -> bool {
    let config = board.config.as_ref();
    let service = config.and_then(|c| c.services.get(&upstream.entry.service));
    let rate = service.map_or(0.0, |s| s.cold_rate);
    if rate <= 0.0 {
        return true;
    }
    if now < DISCOVERY_TIME {
        // Instances that started together do not yet know which of them owns the upstream.
        return false;
    }
    let same_region = |m: &&crate::member::Member| m.region == board.identity.region;
    let alive: Vec<_> = board.members.alive(now).filter(same_region).collect();
    let known_count = board.region_instance_count(now);
    let id = upstream.entry.id.as_bytes();
    let own_weight = rendezvous::weight(id, &board.identity.name);
    let is_owner = alive
        .iter()
        .all(|m| rendezvous::weight(id, &m.record.name) < own_weight);
    let unreached = known_count.saturating_sub(alive.len() + 1);
    let send_limit = cold::max_sends(board.parameters.cold, rate, unreached);
    is_owner && upstream.cold_sends.allows(now, send_limit)
}

/// Returns the candidates for the prompt's shared prefix, the preferred ones first. Without
/// a prompt, returns all upstreams in their original order.
fn rank_by_prefix(board: &Board, mut keys: Vec<Key>, prompt: &[PromptPart]) -> Vec<Key> {
    // The last part is specific to the request; the part before it ends the shared prefix. A
    // prompt of one part is ranked by that part.
    let Some(part) = prompt.iter().rev().nth(1).or(prompt.first()) else {
        return keys;
    };
    let weight =
        |k: &Key| rendezvous::weight_of_hashes(part.id, board.upstreams.all[*k].id_hash.into());
    keys.sort_by_cached_key(|k| std::cmp::Reverse(weight(k)));
    keys.truncate(MAX_CANDIDATES);
    keys
}

fn score_engine(
    board: &Board,
    now: Duration,
    key: Key,
    engine: Engine,
    request: &RequestSpec,
    rank: Option<usize>,
) -> ScoredUpstream {
    let upstream = &board.upstreams.all[key];
    // CAST: token counts are far below 2^53.
    let tokens = |t: u64| t as f64;
    let is_first_choice = rank == Some(0);
    let (prefill_tokens, repeated_tokens) = prefill_estimate(upstream, request, is_first_choice);
    let used_tokens = upstream.kv_tokens + u64::from(upstream.others_load.kv_tokens);
    let request_tokens = request.prompt_tokens + request.output_tokens;
    let prefill_per_ms = board.parameters.prefill_per_ms;
    let wait_ms = IDLE_ENGINE_DELAY_MS
        + queue_wait_ms(board, now, upstream, engine, &request.service)
        + tokens(prefill_tokens) / prefill_per_ms;
    let non_preferred_penalty_ms = if rank.is_some_and(|r| r < PREFERRED_CANDIDATES) {
        0.0
    } else {
        NON_PREFERRED_PENALTY_MS
    };
    let max_tokens = tokens(engine.kv_capacity_tokens) * MAX_KV_FRACTION;
    let slot_demand = f64::from(upstream.outstanding(now)) + 1.0;
    let max_slot_demand = f64::from(engine.slots) * MAX_SLOT_DEMAND_RATIO;
    // A request that is larger than the limit may run alone.
    let full = (used_tokens > 0 && tokens(used_tokens + request_tokens) > max_tokens)
        || slot_demand > max_slot_demand;
    let forwarded = upstream.forwarded_here();
    let own = f64::from(upstream.outstanding(now).saturating_sub(forwarded));
    let free_tokens = max_tokens - tokens(used_tokens);
    let token_places = f64::from(forwarded) + free_tokens.max(0.0) / tokens(request_tokens.max(1));
    let refusal_ms = refusal_ms(now, upstream, request_tokens);
    ScoredUpstream {
        key,
        wait_ms,
        refusal_ms,
        cost_ms: wait_ms
            + refusal_ms
            + tokens(repeated_tokens) / prefill_per_ms * REPEATED_PREFILL_WEIGHT
            + non_preferred_penalty_ms
            + upstream.availability.failure_ratio * FAILURE_PENALTY_MS,
        request_load: RequestLoad {
            prefill_tokens,
            kv_tokens: request_tokens,
        },
        full,
        // CAST: a float is clamped to the range of the integer.
        places: (max_slot_demand - own).min(token_places) as u32,
    }
}

/// Returns the tokens that the upstream would have to prefill, and how many of them belong
/// to a shared prefix that another upstream is expected to have cached.
fn prefill_estimate(
    upstream: &Upstream,
    request: &RequestSpec,
    is_first_choice: bool,
) -> (u64, u64) {
    let cached_tokens = upstream
        .cache
        .cached_tokens(&request.prompt)
        .min(request.prompt_tokens);
    let prefill_tokens = request.prompt_tokens - cached_tokens;
    let shared_parts = request.prompt.iter().rev().skip(1);
    let shared: u64 = shared_parts.map(|p| u64::from(p.tokens)).sum();
    if is_first_choice {
        // Other instances of the region send the same prefix here first, so it counts as
        // cached.
        return (
            prefill_tokens.min(request.prompt_tokens.saturating_sub(shared)),
            0,
        );
    }
    (prefill_tokens, shared.saturating_sub(cached_tokens))
}

/// Returns the milliseconds that a request would wait for other requests at the upstream.
fn queue_wait_ms(
    board: &Board,
    now: Duration,
    upstream: &Upstream,
    engine: Engine,
    service: &SmolStr,
) -> f64 {
    // CAST: token counts are far below 2^53.
    let pending_tokens =
        upstream.prefill_tokens as f64 + f64::from(upstream.others_load.prefill_tokens);
    let outstanding = upstream.outstanding(now);
    let report = upstream.reported_load;
    let recent = report.filter(|s| now.saturating_sub(s.0) < QUEUE_REPORT_LIFETIME);
    let queued = recent.map_or(0, |s| s.1.queued);
    // An idle upstream is estimated without the correction. Otherwise late answers of busy
    // upstreams could cause all requests to be rejected, and no answer would ever correct
    // the value again.
    let correction_ms = match outstanding {
        0 => 0.0,
        _ => board
            .wait_corrections
            .get(service)
            .map_or(0.0, |correction| correction.ms(now)),
    };
    let excess_slots = f64::from(outstanding) + 1.0 - f64::from(engine.slots) * BUSY_SLOT_FRACTION;
    correction_ms
        + pending_tokens / board.parameters.prefill_per_ms
        + f64::from(outstanding) * OUTSTANDING_REQUEST_DELAY_MS
        + excess_slots.max(0.0) * board.slot_release_ms(service, engine.slots)
        + f64::from(queued) * QUEUED_REQUEST_DELAY_MS
}

fn score_without_engine(now: Duration, key: Key, upstream: &Upstream) -> ScoredUpstream {
    let slots = upstream.entry.slots.max(1);
    let outstanding = upstream.outstanding(now);
    let wait_ms = (f64::from(outstanding) + 1.0) / f64::from(slots) * REQUEST_MS_WITHOUT_ENGINE;
    let max_outstanding = slots.saturating_mul(MAX_PER_SLOT_WITHOUT_ENGINE);
    let refusal_ms = refusal_ms(now, upstream, 0);
    ScoredUpstream {
        key,
        wait_ms,
        refusal_ms,
        cost_ms: wait_ms + refusal_ms + upstream.availability.failure_ratio * FAILURE_PENALTY_MS,
        request_load: RequestLoad::default(),
        full: outstanding >= max_outstanding,
        places: max_outstanding
            .saturating_sub(outstanding.saturating_sub(upstream.forwarded_here())),
    }
}

/// Returns the milliseconds for which a request of so many tokens is expected to wait, by what the upstream has refused.
fn refusal_ms(now: Duration, upstream: &Upstream, tokens: u64) -> f64 {
    let refusals = &upstream.availability.refusals;
    refusals.level(now, upstream.in_progress, tokens) * REFUSAL_WAIT_MS
}

/// Load of a service in this region, for typical requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionLoad {
    /// Mean wait at the usable upstreams.
    pub wait: Duration,
    /// Number of upstreams that accept requests and are not full.
    pub usable_upstreams: usize,
    /// Number of requests that other regions may have in progress here at once, so that no upstream is more than
    /// full.
    pub room: u32,
}

/// Returns the mean wait of a typical request of `service` at the upstreams of this region
/// that accept requests and are not full, and the number of these upstreams.
pub fn service_load(board: &Board, now: Duration, service: &SmolStr) -> (Duration, usize) {
    let load = region_load(board, now, service);
    (load.wait, load.usable_upstreams)
}

/// Returns the load of `service` in this region.
pub fn region_load(board: &Board, now: Duration, service: &SmolStr) -> RegionLoad {
    let request = RequestSpec {
        service: service.clone(),
        prompt_tokens: 2_000,
        output_tokens: 100,
        urgency: u8::MAX,
        ..RequestSpec::default()
    };
    let Ok(mut scored) = score_all(board, now, &request) else {
        return RegionLoad::default();
    };
    // What refuses has no room, unless nothing else has: then as much as it had when it refused.
    let refusing_bound = |s: &ScoredUpstream| {
        let upstream = &board.upstreams.all[s.key];
        let refusals = &upstream.availability.refusals;
        refusals.refusing_bound(now, upstream.in_progress, s.request_load.kv_tokens)
    };
    if scored.iter().any(|s| refusing_bound(s).is_none()) {
        scored.retain(|s| refusing_bound(s).is_none());
    }
    for s in &mut scored {
        s.places = refusing_bound(s).map_or(s.places, |bound| s.places.min(bound));
    }
    let room = scored
        .iter()
        .fold(0u32, |sum, s| sum.saturating_add(s.places));
    let not_full: Vec<_> = scored.iter().filter(|s| !s.full).collect();
    if not_full.is_empty() {
        return RegionLoad {
            wait: ALL_FULL_WAIT,
            usable_upstreams: 0,
            room,
        };
    }
    // CAST: the number of upstreams is small.
    let mean_ms = not_full
        .iter()
        .map(|s| s.wait_ms + s.refusal_ms)
        .sum::<f64>()
        / not_full.len() as f64;
    RegionLoad {
        wait: Duration::from_secs_f64(mean_ms / 1_000.0),
        usable_upstreams: not_full.len(),
        room,
    }
}

/// Wait that [`region_load`] returns when all upstreams are full.
const ALL_FULL_WAIT: Duration = Duration::from_secs(5);
