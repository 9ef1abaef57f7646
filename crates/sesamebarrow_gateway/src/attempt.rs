//! An attempt at an upstream or another instance, with the load and the connection that it
//! occupies until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sesamebarrow_platform::head::Expected;
use sesamebarrow_routing::admit::SelectedUpstream;
use sesamebarrow_routing::forwarded;
use sesamebarrow_routing::gossip::short_hash;
use sesamebarrow_routing::spill::RemoteInstance;
use sesamebarrow_routing::upstream::{AttemptOutcome, RequestLoad};
use smol_str::SmolStr;

use crate::dispatch::place::{self, Place};
use crate::intake::Job;
use crate::notice;
use crate::pool::{Connection, Listening};
use crate::shared::Shared;
use crate::telemetry;

/// Maximum number of idle connections to one instance of another region.
const MAX_IDLE_TO_INSTANCE: usize = 64;

/// Maximum time to see whether an upstream still runs at the end of an answer. The first packet of a connection is
/// sent again after a second if the upstream's queue was full.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a connection that is opened at the end of an answer must stay open. It delays the end of each answer that
/// nothing but its connection frames.
const CONFIRM_SETTLING_TIME: Duration = Duration::from_millis(50);

/// Minimum time for which a target must send nothing to count as silent, and time after which it always does.
const SILENCE_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// Target of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An upstream of this region.
    Upstream(SelectedUpstream),
    /// An instance of another region.
    Instance(RemoteInstance),
}

impl Target {
    /// Returns the name of the upstream or instance.
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::Upstream(selected) => &selected.id,
            Self::Instance(instance) => &instance.name,
        }
    }
}

/// Where an upstream accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Maximum number of idle connections to it.
    pub max_idle: usize,
    /// Hash of its run.
    pub run: u64,
}

/// An attempt in progress. Its load is on the board, and is removed when the attempt ends or is
/// dropped; dropping means that it was cancelled.
pub struct Attempt {
    shared: Arc<Shared>,
    target: Target,
    request_load: RequestLoad,
    /// The connection, once the response's head was received.
    pub connection: Option<Connection>,
    /// How long the connection may stay idle after the attempt; `None` if it must be closed.
    pub idle_time: Option<Duration>,
    /// When it began.
    pub started_at: Instant,
    /// When the request was sent, or began to be connected.
    pub sent_at: Duration,
    request_id: SmolStr,
    ended: bool,
    /// Counts the request in progress in another region.
    forwarded: Option<forwarded::Key>,
    /// Whether another region has forwarded the request to this instance.
    from_instance: bool,
    /// The place at the upstream that its dispatcher knows.
    place: Option<Place>,
    /// How long work takes at the upstream at the moment, in percent; 0 if it does not say.
    pub slowness_percent: u32,
}

impl Attempt {
    /// Starts an attempt at `target` and adds its load to the board. `place` is what a dispatcher granted.
    pub fn begin(shared: &Arc<Shared>, target: &Target, job: &Job, place: Option<Place>) -> Self {
        let place = match target {
            Target::Upstream(selected) => place.or_else(|| place::hold(shared, job, selected)),
            Target::Instance(_) => None,
        };
        let mut board = shared.board();
        let mut request_load = RequestLoad::default();
        let mut forwarded = None;
        let from_instance = job.policy.from_instance;
        match target {
            Target::Upstream(selected) => {
                request_load = selected.request_load;
                let now = shared.now();
                let upstream = board.upstreams.all.get(selected.key);
                if upstream.is_some_and(|u| u.is_cold(now)) {
                    metrics::counter!("sesamebarrow_cold_sends_total").increment(1);
                }
                board
                    .upstreams
                    .start_attempt(now, selected.key, request_load);
                if from_instance {
                    board.upstreams.start_forwarded(selected.key);
                }
            }
            Target::Instance(instance) => {
                if let Some(member) = board.members.all.get_mut(&instance.name) {
                    member.forwarded_in_progress += 1;
                }
                let service_hash = short_hash(&job.policy.service);
                let region = &instance.region;
                forwarded = Some(board.forwarded.begin(shared.now(), region, service_hash));
            }
        }
        drop(board);
        Self {
            shared: shared.clone(),
            target: target.clone(),
            request_load,
            connection: None,
            idle_time: None,
            started_at: Instant::now(),
            sent_at: shared.now(),
            request_id: job.id.clone(),
            ended: false,
            forwarded,
            from_instance,
            place,
            slowness_percent: 0,
        }
    }

    /// Returns how the attempt ends if the deadline of `job` has passed and its target was last heard at `heard_at`; `None`
    /// if it has sent nothing. A target must be silent for the target latency, within [`SILENCE_RANGE`], or the time budget
    /// of the request was too short to show that it fails.
    pub fn outcome_at_deadline(&self, job: &Job, heard_at: Option<Instant>) -> AttemptOutcome {
        let silent_since = heard_at.unwrap_or(self.started_at);
        let target_latency = job
            .response_due_at
            .saturating_duration_since(job.started_at);
        let (min, max) = SILENCE_RANGE;
        match silent_since.elapsed() < target_latency.clamp(min, max) {
            true => AttemptOutcome::Inconclusive,
            false => AttemptOutcome::Silent,
        }
    }

    /// Records that the request is about to be sent.
    pub fn record_sent(&mut self, job: &Job) {
        if let Some(place) = &mut self.place {
            place.record_sent();
        }
        let Target::Upstream(selected) = &self.target else {
            return;
        };
        telemetry::count_prompt(job.spec.prompt_tokens, self.request_load.prefill_tokens);
        let mut board = self.shared.board();
        let config = board.config.clone();
        let services = config.as_ref().map(|c| &c.services);
        let service = services.and_then(|s| s.get(&job.policy.service));
        let engine = service.and_then(|s| s.engine);
        let kv_capacity_tokens = engine.map_or(0, |e| e.kv_capacity_tokens);
        board.upstreams.record_prompt_sent(
            self.shared.now(),
            selected.key,
            &job.spec.prompt,
            kv_capacity_tokens,
        );
    }

    /// Records that the upstream, if the target is one, has accepted a connection or answered in this attempt.
    pub fn record_contact(&self) {
        if let Target::Upstream(selected) = &self.target {
            let now = self.shared.now();
            let mut board = self.shared.board();
            board.record_contact(now, selected.key, self.sent_at);
        }
    }

    /// Records that the request was not sent after all, or that the upstream has not run it.
    pub fn record_not_run(&self, job: &Job) {
        if let Target::Upstream(selected) = &self.target {
            let mut board = self.shared.board();
            board
                .upstreams
                .record_prompt_not_read(selected.key, &job.spec.prompt);
        }
    }

    /// Returns what the response on the attempt's connection is expected to answer.
    pub fn expected(&self) -> Expected<'_> {
        let is_first = |c: &Connection| c.is_first_response();
        Expected {
            id: &self.request_id,
            is_first: self.connection.as_ref().is_some_and(is_first),
        }
    }

    /// Returns the name of the target.
    pub fn target_name(&self) -> &SmolStr {
        self.target.name()
    }

    /// Records at the first call that an event of the stream was received, so that the prompt has been
    /// prefilled. Later calls have no effect.
    pub fn record_first_event(&mut self) {
        if let Some(place) = &mut self.place {
            place.record_started(self.slowness_percent);
        }
        if let Target::Upstream(selected) = &self.target
            && self.request_load.prefill_tokens > 0
        {
            let mut board = self.shared.board();
            board
                .upstreams
                .record_prefill_done(selected.key, self.request_load);
            let upstream = board.upstreams.all.get(selected.key);
            if let Some(service) = upstream.map(|u| u.entry.service.clone()) {
                board.record_first_event(
                    self.shared.now(),
                    &service,
                    selected.estimated_wait,
                    self.started_at.elapsed(),
                );
            }
            drop(board);
            self.request_load.prefill_tokens = 0;
        }
    }

    /// Records the longest time between two events of the stream, before the attempt ends.
    pub fn record_longest_pause(&mut self, pause: Duration) {
        if let Some(place) = &mut self.place {
            place.set_longest_pause(pause);
        }
    }

    /// Returns whether the end of the connection is known to be the end of the answer, which has no other
    /// framing. It is if the upstream's process still runs: that of one that has crashed, was removed or has
    /// left closes its connections in order too.
    pub fn confirm_end(&self) -> impl Future<Output = bool> + Send + 'static {
        let shared = self.shared.clone();
        let address = match &self.target {
            Target::Upstream(selected) => Some(selected.address),
            // The other instance frames what it sends.
            Target::Instance(_) => None,
        };
        // Nothing more is sent to an upstream that leaves or is gone from the store.
        let max_idle = self.serving_endpoint().map_or(0, |e| e.max_idle);
        async move {
            match address {
                Some(address) => {
                    let probe = shared.pool.probe_listening(
                        address,
                        CONFIRM_TIMEOUT,
                        CONFIRM_SETTLING_TIME,
                        max_idle,
                    );
                    probe.await == Listening::Yes
                }
                None => true,
            }
        }
    }

    /// Returns where the target accepts connections; `None` if it is no upstream, or one that leaves or
    /// is gone from the store.
    pub fn serving_endpoint(&self) -> Option<Endpoint> {
        let Target::Upstream(selected) = &self.target else {
            return None;
        };
        let now = self.shared.now();
        let board = self.shared.board();
        let upstream = board.upstreams.all.get(selected.key)?;
        let serves = upstream.entry.ready && !upstream.availability.leaving;
        serves.then(|| Endpoint {
            address: selected.address,
            max_idle: board.max_idle_connections(now, &upstream.entry.service),
            run: upstream.run_hash,
        })
    }

    /// Ends the attempt. Its connection returns to the pool if `outcome` allows it.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if let Some(mut place) = self.place.take() {
            place.set_outcome(outcome);
        }
        let reusable = matches!(
            outcome,
            AttemptOutcome::Whole
                | AttemptOutcome::Refused
                | AttemptOutcome::Rejected
                | AttemptOutcome::Failed
        );
        let now = self.shared.now();
        let mut board = self.shared.board();
        let mut max_idle = MAX_IDLE_TO_INSTANCE;
        let mut leaving = false;
        match &self.target {
            Target::Upstream(selected) => {
                if self.from_instance {
                    board.upstreams.finish_forwarded(selected.key);
                }
                let upstream = board.upstreams.all.get(selected.key);
                leaving = upstream.is_none_or(|u| u.availability.leaving);
                if let Some(service) = upstream.map(|u| u.entry.service.clone()) {
                    max_idle = board.max_idle_connections(now, &service);
                    let warmup = board.warmup(&service);
                    let change = board.upstreams.finish_attempt(
                        now,
                        selected.key,
                        self.request_load,
                        outcome,
                        warmup,
                    );
                    if let Some(change) = change {
                        notice::record_change(change, selected, &self.request_id, None);
                    }
                    if outcome == AttemptOutcome::Whole {
                        board.record_request_duration(&service, self.started_at.elapsed());
                    }
                }
            }
            Target::Instance(instance) => {
                if let Some(member) = board.members.all.get_mut(&instance.name) {
                    member.forwarded_in_progress = member.forwarded_in_progress.saturating_sub(1);
                }
                if let Some(forwarded) = self.forwarded.take() {
                    board.forwarded.end(forwarded);
                }
            }
        }
        drop(board);
        if outcome == AttemptOutcome::Misdirected
            && let Target::Upstream(selected) = &self.target
        {
            self.shared.pool.close_idle(selected.address);
        }
        if let Some(connection) = self.connection.take()
            && reusable
            && !leaving
        {
            self.shared
                .pool
                .release(connection, self.idle_time, max_idle);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}
