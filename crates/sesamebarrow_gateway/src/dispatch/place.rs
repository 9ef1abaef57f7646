//! Places that requests of this instance hold at upstreams, and what dispatchers are told of them.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use sesamebarrow_routing::admit::SelectedUpstream;
use sesamebarrow_routing::board::limit::Owner;
use sesamebarrow_routing::dispatch::message::{Event, Hold, Notice, Notices};
use sesamebarrow_routing::token::Body;
use sesamebarrow_routing::upstream::{AttemptOutcome, RequestLoad};
use smol_str::SmolStr;

use crate::dispatch::{client, lock, millis};
use crate::intake::Job;
use crate::shared::Shared;

/// Time for which events are collected before they are sent.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Maximum number of events in one datagram.
const MAX_NOTICES: usize = 32;

/// A place held by a request of this instance.
pub struct Held {
    /// The service.
    pub service: SmolStr,
    /// Address of the dispatcher that knows of it.
    pub dispatcher: Ipv4Addr,
    /// The place.
    pub hold: Hold,
    /// When its request is aborted.
    pub deadline: Instant,
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
    /// Holds a place.
    pub fn new(shared: &Arc<Shared>, id: u64, held: Held) -> Self {
        lock(&shared.dispatches.held).insert(id, held);
        Self {
            shared: shared.clone(),
            id,
            started: false,
            end: Event::Withdrawn,
            longest_pause: Duration::ZERO,
        }
    }

    /// Records that the request is about to be sent.
    pub fn record_sent(&mut self) {
        self.end = Event::Ended;
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
            AttemptOutcome::Rejected => Event::Withdrawn,
            AttemptOutcome::Misdirected => Event::Misdirected,
            AttemptOutcome::Whole => Event::Completed,
            AttemptOutcome::Silent | AttemptOutcome::Cancelled | AttemptOutcome::Inconclusive => {
                self.end
            }
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
pub enum Posted {
    /// What happened to a request.
    Notice(Notice),
    /// A place that it does not know of.
    Hold(Hold),
}

/// Sends something to a dispatcher with the next datagram.
pub fn post(shared: &Shared, dispatcher: Ipv4Addr, posted: Posted) {
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
        client::handle_notices(shared, dispatcher, &notices);
    } else {
        shared.dispatches.outbox_filled.notify_one();
    }
}

/// Returns the place of a request of `job`, as dispatchers are told of it.
pub fn build_hold(id: u64, run: u64, load: RequestLoad, job: &Job) -> Hold {
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

/// Sends events and holds until the process ends.
pub async fn send_notices(shared: Arc<Shared>) {
    loop {
        shared.dispatches.outbox_filled.notified().await;
        tokio::time::sleep(COLLECT_TIME).await;
        let outbox = std::mem::take(&mut *lock(&shared.dispatches.outbox));
        for (dispatcher, notices) in outbox {
            for part in split(notices) {
                client::deliver(&shared, dispatcher, Body::Notices(part));
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
