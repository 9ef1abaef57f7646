//! The upstreams of the region: what is published of them, what runs there, and which
//! one a request goes to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::cache::{PrefixCache, PromptPart};
use crate::cold::SendWindow;
use crate::gossip::{UpstreamLoad, short_hash};

slotmap::new_key_type! {
    /// Names an upstream on the board.
    pub struct Key;
}

/// What is published of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id; a new one at most starts.
    pub id: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Its address; may be given to another upstream after it has ended.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// How much longer it was cold when this was published.
    pub cold_remaining: Duration,
    /// Milliseconds of its start, which tell two runs under one id apart.
    pub started_at_ms: Option<u64>,
}

/// Load that an upstream stated in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What one request takes at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLoad {
    /// Tokens of the prompt that have to be read.
    pub prefill_tokens: u64,
    /// Tokens of memory, prompt and answer together.
    pub memory_tokens: u64,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What is published of it.
    pub entry: Entry,
    /// Hash of its id, as told in datagrams.
    pub id_hash: u32,
    /// Requests of this instance under way at it.
    pub running: u32,
    /// Tokens of prompts of this instance that it has not read yet.
    pub prefill_tokens: u64,
    /// Tokens of memory that requests of this instance take.
    pub memory_tokens: u64,
    /// Load of the region's other instances at it, and when it was summed.
    pub others_load: UpstreamLoad,
    /// What it stated last, with this instance's requests at that time.
    pub reported_load: Option<(Duration, ReportedLoad, u32)>,
    /// Until when it is cold.
    pub cold_until: Duration,
    /// Sends while it was cold.
    pub cold_sends: SendWindow,
    /// Failures without a success between them.
    pub consecutive_failures: u32,
    /// Until when it gets no requests after failures.
    pub ejected_until: Duration,
    /// Part of recent answers that failed, 0 to 1.
    pub failure_ratio: f64,
    /// When it is to be taken as gone; set where its entry vanished while the store was
    /// not to be trusted.
    pub removal_at: Option<Duration>,
    /// What it probably keeps of prompts.
    pub cache: PrefixCache,
}

/// Failures in a row after which an upstream rests.
const EJECT_AFTER: u32 = 2;

/// Longest rest after failures.
const MAX_REST: Duration = Duration::from_secs(4);

/// First rest after failures; doubles with each.
const FIRST_REST: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the part that failed.
const FAULT_GAIN: f64 = 0.08;

/// Age at which a stated load counts for nothing.
const STATED_LIFE: Duration = Duration::from_secs(1);

impl Upstream {
    fn new(entry: Entry, now: Duration) -> Self {
        Self {
            id_hash: short_hash(&entry.id),
            cold_until: now + entry.cold_remaining,
            entry,
            running: 0,
            prefill_tokens: 0,
            memory_tokens: 0,
            others_load: UpstreamLoad::default(),
            reported_load: None,
            cold_sends: SendWindow::default(),
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            failure_ratio: 0.0,
            removal_at: None,
            cache: PrefixCache::default(),
        }
    }

    /// Tells whether it is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Requests of all instances that run or wait there, as far as known.
    pub fn outstanding(&self, now: Duration) -> u32 {
        let told = self.running + self.others_load.running;
        let stated = self.reported_load.map_or(0, |(at, stated, own)| {
            if now.saturating_sub(at) > STATED_LIFE {
                return 0;
            }
            let others = (stated.running + stated.waiting).saturating_sub(own);
            others + self.running
        });
        told.max(stated)
    }
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// A whole answer.
    Whole,
    /// An answer that says that the upstream failed.
    Failed,
    /// The upstream refused and did not run the request.
    Refused,
    /// No connection came about.
    Unreachable,
    /// The connection ended before the answer did.
    Broken,
    /// The time was over before the answer began.
    Silent,
    /// The caller went away.
    Cancelled,
}

/// The upstreams of a region.
#[derive(Debug, Default)]
pub struct Upstreams {
    /// All of them.
    pub all: slotmap::SlotMap<Key, Upstream>,
    /// By id; the same set as `all`.
    ids: HashMap<SmolStr, Key>,
    /// By service; the same set as `all`.
    services: HashMap<SmolStr, Vec<Key>>,
}

impl Upstreams {
    /// Returns the upstreams of `service`.
    pub fn of_service(&self, service: &str) -> &[Key] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Takes a published entry.
    pub fn put(&mut self, now: Duration, entry: Entry, warmup: Duration) {
        let Some(&key) = self.ids.get(&entry.id) else {
            self.insert(now, entry);
            return;
        };
        if self.all[key].entry.service != entry.service {
            self.remove(&entry.id);
            self.insert(now, entry);
            return;
        }
        let upstream = &mut self.all[key];
        let restarted = upstream.entry.started_at_ms != entry.started_at_ms;
        let back = upstream.removal_at.take().is_some();
        if restarted {
            upstream.cache.clear();
            upstream.consecutive_failures = 0;
            upstream.ejected_until = Duration::ZERO;
            upstream.reported_load = None;
        }
        let cold = match (restarted, back) {
            // What came back may be cold without having said so yet.
            (true, _) => entry.cold_remaining.max(warmup),
            _ => entry.cold_remaining,
        };
        upstream.cold_until = now + cold;
        upstream.entry = entry;
    }

    fn insert(&mut self, now: Duration, entry: Entry) {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let key = self.all.insert(Upstream::new(entry, now));
        self.ids.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    /// Drops an upstream.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        if let Some(upstream) = self.all.remove(key)
            && let Some(list) = self.services.get_mut(&upstream.entry.service)
        {
            list.retain(|k| *k != key);
        }
    }

    /// Takes an upstream as gone at `at` unless its entry is back by then.
    pub fn schedule_removal(&mut self, id: &str, at: Duration) {
        if let Some(&key) = self.ids.get(id) {
            self.all[key].removal_at.get_or_insert(at);
        }
    }

    /// Drops what was doubted and did not come back.
    pub fn remove_due(&mut self, now: Duration) {
        let gone = |u: &&Upstream| u.removal_at.is_some_and(|at| at <= now);
        let ids: Vec<_> = self
            .all
            .values()
            .filter(gone)
            .map(|u| u.entry.id.clone())
            .collect();
        for id in ids {
            self.remove(&id);
        }
    }

    /// Notes that an attempt begins.
    pub fn start_attempt(
        &mut self,
        now: Duration,
        key: Key,
        size: RequestLoad,
        prompt: &[PromptPart],
        memory: u64,
    ) {
        let Some(upstream) = self.all.get_mut(key) else {
            return;
        };
        upstream.running += 1;
        upstream.prefill_tokens += size.prefill_tokens;
        upstream.memory_tokens += size.memory_tokens;
        if upstream.is_cold(now) {
            upstream.cold_sends.record(now);
        }
        if !prompt.is_empty() {
            upstream.cache.insert(now, prompt, memory);
        }
    }

    /// Notes that the answer's first bytes came, so that the prompt has been read.
    pub fn record_prefill_done(&mut self, key: Key, size: RequestLoad) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.prefill_tokens = upstream.prefill_tokens.saturating_sub(size.prefill_tokens);
        }
    }

    /// Notes the load that an answer stated.
    pub fn record_reported_load(&mut self, now: Duration, key: Key, stated: ReportedLoad) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.reported_load = Some((now, stated, upstream.running));
        }
    }

    /// Notes that an attempt ended. `size.unread` is 0 if the prompt had been read.
    pub fn finish_attempt(
        &mut self,
        now: Duration,
        key: Key,
        size: RequestLoad,
        end: AttemptOutcome,
        warmup: Duration,
    ) {
        let Some(upstream) = self.all.get_mut(key) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        upstream.prefill_tokens = upstream.prefill_tokens.saturating_sub(size.prefill_tokens);
        upstream.memory_tokens = upstream.memory_tokens.saturating_sub(size.memory_tokens);
        let failed = match end {
            AttemptOutcome::Whole => false,
            AttemptOutcome::Failed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => true,
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => return,
        };
        let newest = if failed { 1.0 } else { 0.0 };
        upstream.failure_ratio += FAULT_GAIN * (newest - upstream.failure_ratio);
        if !failed {
            upstream.consecutive_failures = 0;
            return;
        }
        upstream.consecutive_failures += 1;
        if matches!(end, AttemptOutcome::Unreachable) {
            // It may have restarted: cold, and with nothing kept.
            upstream.cold_until = upstream.cold_until.max(now + warmup);
            upstream.cache.clear();
        }
        let doubled = upstream
            .consecutive_failures
            .saturating_sub(EJECT_AFTER)
            .min(8);
        if upstream.consecutive_failures >= EJECT_AFTER
            || matches!(end, AttemptOutcome::Unreachable)
        {
            let rest = (FIRST_REST * 2_u32.pow(doubled)).min(MAX_REST);
            upstream.ejected_until = now + rest;
        }
    }
}
