//! What an attempt occupies from its choice to its end, on the board and in the pool.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sesamebarrow_routing::admit::SelectedUpstream;
use sesamebarrow_routing::spill::RemoteInstance;
use sesamebarrow_routing::upstream::{AttemptOutcome, RequestLoad};
use smol_str::SmolStr;

use crate::intake::Job;
use crate::pool::Connection;
use crate::shared::Shared;
use crate::telemetry;

/// Idle connections that are kept to one instance of another region.
const MAX_IDLE_HOPS: usize = 64;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An upstream of this region.
    Upstream(SelectedUpstream),
    /// An instance of another region.
    Hop(RemoteInstance),
}

impl Target {
    /// Returns the name of the upstream or instance.
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::Upstream(chosen) => &chosen.id,
            Self::Hop(hop) => &hop.name,
        }
    }
}

/// What an attempt occupies; given back when it ends.
pub struct Held {
    shared: Arc<Shared>,
    target: Target,
    size: RequestLoad,
    /// The connection that carries it, once there is one.
    pub connection: Option<Connection>,
    /// How long the connection may stay idle afterwards; `None` to close it.
    pub idle: Option<Duration>,
    began: Instant,
    ended: bool,
}

impl Held {
    /// Begins an attempt at `target`.
    pub fn begin(shared: &Arc<Shared>, target: &Target, job: &Job) -> Self {
        let mut board = shared.board();
        let mut size = RequestLoad::default();
        match target {
            Target::Upstream(chosen) => {
                size = chosen.request_load;
                let config = board.config.clone();
                let service = config
                    .as_ref()
                    .and_then(|c| c.services.get(&job.plan.service));
                let memory = service.and_then(|s| s.engine).map_or(0, |e| e.kv_tokens);
                let now = shared.now();
                let upstream = board.upstreams.all.get(chosen.key);
                if upstream.is_some_and(|u| u.is_cold(now)) {
                    metrics::counter!("sesamebarrow_cold_sends_total").increment(1);
                }
                telemetry::count_prompt(job.ask.prompt_tokens, size.prefill_tokens);
                board
                    .upstreams
                    .start_attempt(now, chosen.key, size, &job.ask.prompt, memory);
            }
            Target::Hop(hop) => {
                if let Some(member) = board.members.all.get_mut(&hop.name) {
                    member.forwarded_requests += 1;
                }
            }
        }
        drop(board);
        Self {
            shared: shared.clone(),
            target: target.clone(),
            size,
            connection: None,
            idle: None,
            began: Instant::now(),
            ended: false,
        }
    }

    /// Returns the name of the upstream or instance.
    pub fn target(&self) -> &SmolStr {
        self.target.name()
    }

    /// Notes that the first bytes of the answer came.
    pub fn note_read(&mut self) {
        if let Target::Upstream(chosen) = &self.target
            && self.size.prefill_tokens > 0
        {
            let mut board = self.shared.board();
            board.upstreams.record_prefill_done(chosen.key, self.size);
            let upstream = board.upstreams.all.get(chosen.key);
            if let Some(service) = upstream.map(|u| u.entry.service.clone()) {
                board.record_first_event(&service, chosen.estimated_wait, self.began.elapsed());
            }
            drop(board);
            self.size.prefill_tokens = 0;
        }
    }

    /// Ends the attempt; after a whole answer its connection is kept.
    pub fn end(mut self, end: AttemptOutcome) {
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let kept = matches!(
            end,
            AttemptOutcome::Whole | AttemptOutcome::Refused | AttemptOutcome::Failed
        );
        let now = self.shared.now();
        let mut board = self.shared.board();
        let mut most_idle = MAX_IDLE_HOPS;
        match &self.target {
            Target::Upstream(chosen) => {
                let upstream = board.upstreams.all.get(chosen.key);
                if let Some(service) = upstream.map(|u| u.entry.service.clone()) {
                    most_idle = board.max_idle_connections(&service);
                    let warmup = board.warmup(&service);
                    board
                        .upstreams
                        .finish_attempt(now, chosen.key, self.size, end, warmup);
                    if end == AttemptOutcome::Whole {
                        board.record_run(&service, self.began.elapsed());
                    }
                }
            }
            Target::Hop(hop) => {
                if let Some(member) = board.members.all.get_mut(&hop.name) {
                    member.forwarded_requests = member.forwarded_requests.saturating_sub(1);
                }
            }
        }
        drop(board);
        if let Some(connection) = self.connection.take()
            && kept
        {
            self.shared.pool.release(connection, self.idle, most_idle);
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}
