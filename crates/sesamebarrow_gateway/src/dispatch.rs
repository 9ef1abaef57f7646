//! Sends requests of dispatched services where their dispatcher says. The decisions are in
//! `sesamebarrow_routing::dispatch`.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamebarrow_routing::admit::{self, SelectedUpstream};
use sesamebarrow_routing::board::limit::Owner;
use sesamebarrow_routing::dispatch;
use sesamebarrow_routing::dispatch::message::{Answer, Decision, Notices, PlaceRequest};
use sesamebarrow_routing::spill;
use sesamebarrow_routing::upstream::{Key, RequestLoad};
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};

use crate::attempt::Target;
use crate::dispatch::place::{Held, Place};
use crate::intake::Job;
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;

pub mod client;
pub mod place;

/// Number of requests for a place in one selection. An instance may know more about an upstream than the
/// dispatcher.
const MAX_REQUESTS: u32 = 3;

/// Maximum number of prompt parts of a request, so that it fits into a datagram.
const MAX_PARTS: usize = 64;

/// Minimum time after which a client that the dispatcher refuses may retry.
const MIN_REFUSAL_DELAY: Duration = Duration::from_millis(100);

/// The requests of this instance that dispatchers know, and what is to be sent to them.
pub struct Dispatches {
    next_id: AtomicU64,
    /// Requests for places that have not been decided, by id.
    pending: Mutex<HashMap<u64, mpsc::UnboundedSender<Answer>>>,
    /// Places held, by id.
    held: Mutex<HashMap<u64, Held>>,
    /// Events and holds that have not been sent, by the address of the dispatcher.
    outbox: Mutex<HashMap<Ipv4Addr, Notices>>,
    outbox_filled: Notify,
    queue_filled: Notify,
}

impl Default for Dispatches {
    fn default() -> Self {
        // Dispatchers may still know ids of an earlier process at this address.
        let first_id = u64::from(rand::random::<u32>()) << u8::BITS;
        Self {
            next_id: AtomicU64::new(first_id),
            pending: Mutex::default(),
            held: Mutex::default(),
            outbox: Mutex::default(),
            outbox_filled: Notify::new(),
            queue_filled: Notify::new(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while a lock is held ends only one task. The tables remain usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the milliseconds of a time of a request.
fn millis(duration: Duration) -> u32 {
    // CAST: times of requests are far below 2^32 ms.
    duration.as_millis() as u32
}

/// Selects the target of the next attempt of `job` as the dispatcher of its service says. Returns `None` if this
/// instance has to decide by itself.
pub async fn select(
    shared: &Arc<Shared>,
    job: &Job,
    history: &mut AttemptHistory,
) -> Option<Result<Target, Refusal>> {
    history.place = None;
    let mut avoided: Vec<Key> = history.tried_upstreams.clone();
    avoided.extend(&job.spec.tried_upstreams);
    let mut may_forward = !job.policy.from_instance;
    for _ in 0..MAX_REQUESTS {
        let (dispatcher, req) = prepare(shared, job, history, &avoided, may_forward)?;
        let id = req.id;
        let answer = client::send(shared, dispatcher, &req).await;
        let decision = answer.as_ref().map_or(Decision::Unknown, Answer::decision);
        metrics::counter!(
            "sesamebarrow_dispatched_total", "decision" => format!("{decision:?}").to_lowercase()
        )
        .increment(1);
        let answer = answer?;
        shared
            .board()
            .record_capacity(shared.now(), &job.policy.service, &answer);
        match decision {
            Decision::Granted => match accept(shared, job, dispatcher, id, &answer) {
                Ok((selected, place)) => {
                    history.place = Some(place);
                    return Some(Ok(Target::Upstream(selected)));
                }
                Err(Some(key)) => avoided.push(key),
                Err(None) => return None,
            },
            Decision::Forward => {
                let now = shared.now();
                let region = answer.region_hash;
                if let Some(remote) = spill::instance_of(&mut shared.board(), now, region) {
                    return Some(Ok(Target::Instance(remote)));
                }
                may_forward = false;
            }
            Decision::Refused => {
                let after = Duration::from_millis(answer.wait_ms.into());
                log_refusal(shared, job, &req, &answer);
                let after = after.max(MIN_REFUSAL_DELAY);
                return Some(Err(Refusal::NotRun("no-capacity", after)));
            }
            Decision::Unknown | Decision::Waiting => return None,
        }
    }
    None
}

/// Returns the priority that the upstream of `job` is told.
pub fn engine_priority(shared: &Shared, job: &Job) -> u8 {
    match shared.board().is_dispatched(&job.policy.service) {
        true => dispatch::engine_priority(job.spec.rank),
        false => job.policy.priority,
    }
}

/// Returns the dispatcher to ask and the request; `None` if the request is not dispatched.
fn prepare(
    shared: &Shared,
    job: &Job,
    history: &AttemptHistory,
    avoided: &[Key],
    may_forward: bool,
) -> Option<(Ipv4Addr, PlaceRequest)> {
    let now = shared.now();
    let board = shared.board();
    let own_region = &board.identity.region;
    if history.is_trial()
        || job.spec.prompt.len() > MAX_PARTS
        || !board.is_dispatched(&job.policy.service)
        || !job.residency.allows(own_region)
    {
        return None;
    }
    let dispatcher = match board.dispatcher(now, &job.policy.service)? {
        Owner::Own => shared.identity.ip,
        Owner::Other(ip) => ip,
    };
    let is_open =
        |r: &&SmolStr| may_forward && !history.tried_regions.contains(r) && job.residency.allows(r);
    let open_regions = board.regions.values().filter(is_open).cloned();
    let open_regions: BTreeSet<SmolStr> = open_regions.collect();
    let target = job
        .response_due_at
        .saturating_duration_since(Instant::now());
    let req = board.build_place_request(
        &job.spec,
        target,
        job.time_left(),
        avoided,
        open_regions.into_iter(),
    );
    let id = shared.dispatches.next_id.fetch_add(1, Ordering::Relaxed);
    Some((dispatcher, PlaceRequest { id, ..req }))
}

/// Takes the place that was granted.
///
/// # Errors
///
/// Returns the upstream, if it is known, if no request may be sent to it.
fn accept(
    shared: &Arc<Shared>,
    job: &Job,
    dispatcher: Ipv4Addr,
    id: u64,
    answer: &Answer,
) -> Result<(SelectedUpstream, Place), Option<Key>> {
    let request_load = RequestLoad {
        prefill_tokens: answer.prefill_tokens.into(),
        kv_tokens: job.spec.prompt_tokens + job.spec.output_tokens,
    };
    let held = Held {
        service: job.policy.service.clone(),
        dispatcher,
        hold: place::build_hold(id, answer.run, request_load, job),
        deadline: job.deadline,
    };
    // Released when it is dropped, if no request may be sent.
    let place = Place::new(shared, id, held);
    let board = shared.board();
    let key = board.upstreams.key_of_run(answer.run).ok_or(None)?;
    if !admit::may_send(&board, shared.now(), key) || !board.is_unlimited(key) {
        return Err(Some(key));
    }
    let entry = &board.upstreams.all[key].entry;
    let selected = SelectedUpstream {
        key,
        id: entry.id.clone(),
        address: entry.address,
        request_load,
        estimated_wait: Duration::from_millis(answer.wait_ms.into()),
        refusal_wait: Duration::ZERO,
    };
    drop(board);
    Ok((selected, place))
}

/// Logs the figures of the services that this instance dispatches, while requests hold places; called in each
/// gossip round.
pub fn log_summaries(shared: &Shared) {
    let now = shared.now();
    let summaries: Vec<_> = {
        let board = shared.board();
        let services = board.dispatched_services();
        services.map(|(n, s)| (n.clone(), s.summary(now))).collect()
    };
    for (service, s) in summaries {
        // CAST: the number of requests is small.
        metrics::gauge!("sesamebarrow_dispatch_waiting", "service" => service.to_string())
            .set(s.waiting as f64);
        metrics::gauge!("sesamebarrow_dispatch_held", "service" => service.to_string())
            .set(s.held as f64);
        if s.held > 0 && shared.log_limiter.allow(false) {
            log::info!(
                service = service.as_str(), waiting = s.waiting, held = s.held,
                busy_engines = s.busy_engines, most_backlog_ms = s.most_backlog_ms.round(),
                most_slowness = s.most_slowness, rate = s.rate_per_s.round(), granted = s.counts[0], forwarded = s.counts[1],
                refused = s.counts[2],
                tokens_per_ms = 1.0 / s.speed.ms_per_token, first_ms = s.speed.first_ms.round(), busy_first_ms = s.speed.busy_first_ms.round(),
                reading_ms = s.pace.max_reading(Duration::from_secs(1)).as_millis();
                "dispatching"
            );
        }
    }
}

fn log_refusal(shared: &Shared, job: &Job, req: &PlaceRequest, answer: &Answer) {
    if shared.log_limiter.allow(true) {
        log::info!(
            request = job.id.as_str(), service = job.policy.service.as_str(), rank = req.rank,
            tokens = req.prompt_tokens, target_ms = req.target_ms, held_percent = answer.capacity.map_or(0, |r| r.held_percent),
            retry_ms = answer.wait_ms; "dispatcher refuses"
        );
    }
}
