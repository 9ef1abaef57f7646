//! Asks the dispatcher of a service for upstreams, and answers for the services that this instance dispatches.
//! The decisions are in `sesamebarrow_routing::dispatch`.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamebarrow_routing::admit::{self, SelectedUpstream};
use sesamebarrow_routing::board::limit::Owner;
use sesamebarrow_routing::dispatch;
use sesamebarrow_routing::dispatch::message::{
    Answer, Ask, Decision, Event, Hold, Notice, Notices,
};
use sesamebarrow_routing::spill;
use sesamebarrow_routing::token::Body;
use sesamebarrow_routing::upstream::{AttemptOutcome, Key, RequestLoad};
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};

use crate::attempt::Target;
use crate::intake::Job;
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;

/// Time after which an ask is sent again; datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(40);

/// Number of times that an ask is sent until the dispatcher counts as silent. Together they take longer than the
/// pause of an instance whose processor time is granted in slices of a tenth of a second.
const MAX_SENDS: u32 = 3;

/// Time after which a waiting request is asked for again, so that both sides know that the other still does.
const RENEW_AFTER: Duration = Duration::from_millis(500);

/// Number of asks for one selection. An instance may know more about an upstream than the dispatcher.
const MAX_ASKS: u32 = 3;

/// Maximum number of prompt parts of an ask, so that it fits into a datagram.
const MAX_PARTS: usize = 64;

/// Time for which events are collected before they are sent.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Time between two offers of places to waiting requests.
const SERVE_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of events in one datagram.
const MAX_NOTICES: usize = 32;

/// Time after which a client may retry if a request that waited got no answer.
const MIN_REFUSAL_DELAY: Duration = Duration::from_millis(100);

/// The requests of this instance that dispatchers know, and what is to be sent to them.
pub struct Dispatches {
    next_id: AtomicU64,
    /// Asks that have not been decided, by id.
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

/// A place held by a request of this instance.
struct Held {
    service: SmolStr,
    dispatcher: Ipv4Addr,
    hold: Hold,
    deadline: Instant,
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

/// A place at an upstream. It is released when this is dropped.
pub struct Place {
    shared: Arc<Shared>,
    id: u64,
    started: bool,
    end: Event,
    /// Longest time between two events of the stream.
    longest_pause: Duration,
}

impl Place {
    fn new(shared: &Arc<Shared>, id: u64, held: Held) -> Self {
        lock(&shared.dispatches.held).insert(id, held);
        Self {
            shared: shared.clone(),
            id,
            started: false,
            end: Event::Ended,
            longest_pause: Duration::ZERO,
        }
    }

    /// Sets the longest time between two events of the stream.
    pub fn set_longest_pause(&mut self, pause: Duration) {
        self.longest_pause = pause;
    }

    /// Reports that the first event was received. `slowness_percent` is how long work takes at the upstream at
    /// the moment, as far as it says.
    pub fn record_started(&mut self, slowness_percent: u32) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        if let Some(held) = lock(&self.shared.dispatches.held).get_mut(&self.id) {
            held.hold.prefill_tokens = 0;
        }
        self.report(Event::Started, slowness_percent);
    }

    /// Sets how the request ends.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.end = match outcome {
            AttemptOutcome::Failed => Event::Failed,
            AttemptOutcome::Broken => Event::Broken,
            AttemptOutcome::Unreachable => Event::Unreachable,
            AttemptOutcome::Refused => Event::Refused,
            AttemptOutcome::Whole => Event::Completed,
            AttemptOutcome::Silent | AttemptOutcome::Cancelled => Event::Ended,
        };
    }

    fn report(&self, event: Event, slowness_percent: u32) {
        let dispatches = &self.shared.dispatches;
        let held = lock(&dispatches.held);
        let Some(dispatcher) = held.get(&self.id).map(|h| h.dispatcher) else {
            return;
        };
        drop(held);
        let notice = Notice {
            id: self.id,
            event: event.into(),
            age_ms: 0,
            slowness_percent,
            pause_ms: match event {
                Event::Started => 0,
                _ => millis(self.longest_pause),
            },
        };
        post(&self.shared, dispatcher, Posted::Notice(notice));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.report(self.end, 0);
        lock(&self.shared.dispatches.held).remove(&self.id);
    }
}

/// What is sent to a dispatcher with the next datagram.
enum Posted {
    Notice(Notice),
    Hold(Hold),
}

fn post(shared: &Shared, dispatcher: Ipv4Addr, posted: Posted) {
    let mut notices = Notices::default();
    let mut outbox = lock(&shared.dispatches.outbox);
    let is_own = dispatcher == shared.identity.ip;
    let to = match is_own {
        true => &mut notices,
        false => outbox.entry(dispatcher).or_default(),
    };
    match posted {
        Posted::Notice(notice) => to.notices.push(notice),
        Posted::Hold(hold) => to.holds.push(hold),
    }
    drop(outbox);
    if is_own {
        handle_notices(shared, dispatcher, &notices);
    } else {
        shared.dispatches.outbox_filled.notify_one();
    }
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
    for _ in 0..MAX_ASKS {
        let (dispatcher, ask) = prepare(shared, job, history, &avoided, may_forward)?;
        let id = ask.id;
        let answer = send_ask(shared, dispatcher, &ask).await;
        let decision = answer.as_ref().map_or(Decision::Unknown, Answer::decision);
        metrics::counter!(
            "sesamebarrow_dispatched_total", "decision" => format!("{decision:?}").to_lowercase()
        )
        .increment(1);
        let answer = answer?;
        shared
            .board()
            .record_room(shared.now(), &job.policy.service, &answer);
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
                log_refusal(shared, job, &ask, &answer);
                let after = after.max(MIN_REFUSAL_DELAY);
                return Some(Err(Refusal::NotRun("no-room", after)));
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

/// Returns the dispatcher to ask and the ask; `None` if the request is not dispatched.
fn prepare(
    shared: &Shared,
    job: &Job,
    history: &AttemptHistory,
    avoided: &[Key],
    may_forward: bool,
) -> Option<(Ipv4Addr, Ask)> {
    let now = shared.now();
    let board = shared.board();
    let own_region = &board.identity.region;
    if history.is_trial
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
    let open_regions: std::collections::BTreeSet<SmolStr> = open_regions.collect();
    let target = job
        .response_due_at
        .saturating_duration_since(Instant::now());
    let ask = board.build_ask(
        &job.spec,
        target,
        job.time_left(),
        avoided,
        open_regions.into_iter(),
    );
    let id = shared.dispatches.next_id.fetch_add(1, Ordering::Relaxed);
    Some((dispatcher, Ask { id, ..ask }))
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
        hold: build_hold(id, answer.run, request_load, job),
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
    };
    drop(board);
    Ok((selected, place))
}

fn build_hold(id: u64, run: u64, load: RequestLoad, job: &Job) -> Hold {
    // CAST: prompts are far below 2^32 tokens.
    Hold {
        id,
        run,
        prefill_tokens: load.prefill_tokens as u32,
        kv_tokens: load.kv_tokens as u32,
        rank: job.spec.rank.into(),
        time_left_ms: millis(job.time_left()),
    }
}

/// Tells the dispatcher of a request that this instance sends to an upstream by its own decision. Returns `None`
/// if the service is not dispatched.
pub fn hold(shared: &Arc<Shared>, job: &Job, selected: &SelectedUpstream) -> Option<Place> {
    let board = shared.board();
    if !board.is_dispatched(&job.policy.service) {
        return None;
    }
    let run = board.upstreams.all.get(selected.key)?.run_hash;
    let dispatcher = match board.dispatcher(shared.now(), &job.policy.service)? {
        Owner::Own => shared.identity.ip,
        Owner::Other(ip) => ip,
    };
    drop(board);
    let id = shared.dispatches.next_id.fetch_add(1, Ordering::Relaxed);
    let hold = build_hold(id, run, selected.request_load, job);
    let held = Held {
        service: job.policy.service.clone(),
        dispatcher,
        hold: hold.clone(),
        deadline: job.deadline,
    };
    let place = Place::new(shared, id, held);
    post(shared, dispatcher, Posted::Hold(hold));
    Some(place)
}

/// Forgets an ask when it is decided, times out, or its client leaves. The dispatcher is then told, unless it
/// has decided.
struct PendingAsk<'a> {
    shared: &'a Shared,
    dispatcher: Ipv4Addr,
    id: u64,
    decided: bool,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        lock(&self.shared.dispatches.pending).remove(&self.id);
        if !self.decided {
            let notice = Notice {
                id: self.id,
                event: Event::Ended.into(),
                ..Notice::default()
            };
            post(self.shared, self.dispatcher, Posted::Notice(notice));
        }
    }
}

/// Sends an ask and waits for the decision. Returns `None` if the dispatcher does not answer.
async fn send_ask(shared: &Shared, dispatcher: Ipv4Addr, ask: &Ask) -> Option<Answer> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    lock(&shared.dispatches.pending).insert(ask.id, tx);
    let mut pending = PendingAsk {
        shared,
        dispatcher,
        id: ask.id,
        decided: false,
    };
    let mut unanswered = 0;
    loop {
        deliver(shared, dispatcher, Body::Ask(ask.clone()));
        unanswered += 1;
        let mut wait = RESEND_AFTER;
        while let Ok(answer) = tokio::time::timeout(wait, rx.recv()).await {
            let answer = answer?;
            if answer.decision() != Decision::Waiting {
                pending.decided = true;
                return Some(answer);
            }
            unanswered = 0;
            wait = RENEW_AFTER;
        }
        if unanswered >= MAX_SENDS {
            log::info!(dispatcher:% = dispatcher; "dispatcher does not answer");
            let now = shared.now();
            shared.board().record_silent_dispatcher(now, dispatcher);
            return None;
        }
    }
}

/// Sends a datagram, or handles it if it is for this instance.
fn deliver(shared: &Shared, to: Ipv4Addr, body: Body) {
    if to != shared.identity.ip {
        let port = shared.settings.listen.tokens.port();
        shared
            .tokens
            .send(SocketAddr::new(IpAddr::V4(to), port), body);
        return;
    }
    match body {
        Body::Ask(ask) => {
            let answer = shared.board().handle_ask(shared.now(), to, &ask);
            notify_of_waiting(shared, &answer);
            handle_answer(shared, answer);
        }
        Body::Answer(answer) => handle_answer(shared, answer),
        _ => {}
    }
}

fn notify_of_waiting(shared: &Shared, answer: &Answer) {
    if answer.decision() == Decision::Waiting {
        shared.dispatches.queue_filled.notify_one();
    }
}

/// Handles an ask of the instance at `from`, and returns the answer.
pub fn handle_ask(shared: &Shared, from: Ipv4Addr, ask: &Ask) -> Answer {
    let answer = shared.board().handle_ask(shared.now(), from, ask);
    notify_of_waiting(shared, &answer);
    answer
}

/// Handles the answer to an ask.
pub fn handle_answer(shared: &Shared, answer: Answer) {
    let pending = lock(&shared.dispatches.pending);
    if let Some(tx) = pending.get(&answer.id) {
        // Fails if the client left just now.
        let _ = tx.send(answer);
    }
}

/// Handles what another instance reports.
pub fn handle_notices(shared: &Shared, from: Ipv4Addr, notices: &Notices) {
    shared.board().handle_notices(shared.now(), from, notices);
}

/// Offers places to waiting requests while there are any, until the process ends.
pub async fn serve_queue(shared: Arc<Shared>) {
    loop {
        shared.dispatches.queue_filled.notified().await;
        loop {
            tokio::time::sleep(SERVE_INTERVAL).await;
            let now = shared.now();
            let (answers, waits) = shared.board().serve_waiting(now);
            for (ip, answer) in answers {
                deliver(&shared, ip, Body::Answer(answer));
            }
            if !waits {
                break;
            }
        }
    }
}

/// Sends events and holds until the process ends.
pub async fn send_notices(shared: Arc<Shared>) {
    loop {
        shared.dispatches.outbox_filled.notified().await;
        tokio::time::sleep(COLLECT_TIME).await;
        let outbox = std::mem::take(&mut *lock(&shared.dispatches.outbox));
        for (dispatcher, notices) in outbox {
            for part in split(notices) {
                deliver(&shared, dispatcher, Body::Notices(part));
            }
        }
    }
}

/// Splits events and holds into parts that fit into a datagram. Holds come first, since events may be of them.
fn split(all: Notices) -> Vec<Notices> {
    let holds = all.holds.chunks(MAX_NOTICES / 2).map(|holds| Notices {
        holds: holds.to_vec(),
        ..Notices::default()
    });
    let notices = all.notices.chunks(MAX_NOTICES).map(|notices| Notices {
        notices: notices.to_vec(),
        ..Notices::default()
    });
    holds.chain(notices).collect()
}

/// Tells dispatchers that have taken the place of others which places are held; called in each gossip round.
pub fn renew_holds(shared: &Shared) {
    let now = shared.now();
    let mut current: HashMap<SmolStr, Option<Ipv4Addr>> = HashMap::new();
    let mut moved = Vec::new();
    let mut held = lock(&shared.dispatches.held);
    for held in held.values_mut() {
        let service = &held.service;
        let dispatcher = *current.entry(service.clone()).or_insert_with(|| {
            match shared.board().dispatcher(now, service) {
                Some(Owner::Own) => Some(shared.identity.ip),
                Some(Owner::Other(ip)) => Some(ip),
                None => None,
            }
        });
        let Some(dispatcher) = dispatcher.filter(|d| *d != held.dispatcher) else {
            continue;
        };
        let former = std::mem::replace(&mut held.dispatcher, dispatcher);
        held.hold.time_left_ms = millis(held.deadline.saturating_duration_since(Instant::now()));
        moved.push((former, dispatcher, held.hold.clone()));
    }
    drop(held);
    if !moved.is_empty() {
        log::info!(places = moved.len(); "dispatcher has changed");
    }
    for (former, dispatcher, hold) in moved {
        // The former one may be asked again, and is not told of the request's end.
        let released = Notice {
            id: hold.id,
            event: Event::Ended.into(),
            ..Notice::default()
        };
        post(shared, former, Posted::Notice(released));
        post(shared, dispatcher, Posted::Hold(hold));
    }
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

fn log_refusal(shared: &Shared, job: &Job, ask: &Ask, answer: &Answer) {
    if shared.log_limiter.allow(true) {
        log::info!(
            request = job.id.as_str(), service = job.policy.service.as_str(), rank = ask.rank,
            tokens = ask.prompt_tokens, target_ms = ask.target_ms, held_percent = answer.room.map_or(0, |r| r.held_percent),
            retry_ms = answer.wait_ms; "dispatcher refuses"
        );
    }
}
