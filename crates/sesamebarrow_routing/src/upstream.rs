//! The upstreams of the region: their published entries, their load and their failures.

mod contact;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::absence::Absence;
use crate::availability::{Availability, Change, Notice};
use crate::cache::{PrefixCache, PromptPart};
use crate::cold::SendWindow;
use crate::gossip::{UpstreamLoad, short_hash};

slotmap::new_key_type! {
    /// Identifies an upstream in [`Upstreams`].
    pub struct Key;
}

/// The published entry of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id of the upstream. Most starts of an upstream give it a new id.
    pub id: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Address of the upstream. After it has stopped, the address may be given to another
    /// one.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Number of requests that it runs at the same time. Estimates use this only for services
    /// without an engine.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Remaining time for which it was cold when the entry was published.
    pub cold_remaining: Duration,
    /// Start time in milliseconds since 1970, which distinguishes two runs with the same id.
    pub started_at_ms: Option<u64>,
}

/// Load that an upstream reported in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// How long work takes at the moment, in percent of the usual; 0 if the upstream does not say.
    pub slowness_percent: u32,
}

/// The load that one request puts on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLoad {
    /// Prompt tokens that must be prefilled.
    pub prefill_tokens: u64,
    /// KV cache tokens, for prompt and answer together.
    pub kv_tokens: u64,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its published entry.
    pub entry: Entry,
    /// Hash of its id, as used in datagrams.
    pub id_hash: u32,
    /// Hash of its run, as used in datagrams.
    pub run_hash: u64,
    /// Requests of this instance that are in progress.
    pub in_progress: u32,
    /// Those of them that other regions have forwarded.
    pub forwarded: u32,
    /// Prompt tokens of this instance's requests that are not yet prefilled.
    pub prefill_tokens: u64,
    /// KV cache tokens that this instance's requests take.
    pub kv_tokens: u64,
    /// Load that the other instances of the region have put on it.
    pub others_load: UpstreamLoad,
    /// The load that it reported last, when it did so, and how many requests this instance
    /// had in progress then.
    pub reported_load: Option<(Duration, ReportedLoad, u32)>,
    /// Time until which it is cold, unless it is absent: it may come back cold at any time.
    pub cold_until: Duration,
    /// Whether it could be reached lately.
    pub absence: Absence,
    /// Recent requests sent while it was cold.
    pub cold_sends: SendWindow,
    /// What its answers say about it.
    pub availability: Availability,
    /// Time at which it is to be removed. Set if its entry disappeared during or shortly
    /// after an outage of the store.
    pub removal_at: Option<Duration>,
    /// Era of the store in which its entry was last published.
    pub era: u16,
    /// Time until which it is not used, since its entry may come from an older copy of the store: it had been removed.
    pub unverified_until: Duration,
    /// Prompt prefixes that it is assumed to have cached.
    pub cache: PrefixCache,
}

/// Age above which a reported load is ignored.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_secs(1);

impl Upstream {
    fn new(entry: Entry, now: Duration, era: u16) -> Self {
        Self {
            id_hash: short_hash(&entry.id),
            run_hash: run_hash(&entry),
            cold_until: now + entry.cold_remaining,
            absence: Absence::default(),
            era,
            unverified_until: Duration::ZERO,
            entry,
            in_progress: 0,
            forwarded: 0,
            prefill_tokens: 0,
            kv_tokens: 0,
            others_load: UpstreamLoad::default(),
            reported_load: None,
            cold_sends: SendWindow::default(),
            availability: Availability::default(),
            removal_at: None,
            cache: PrefixCache::default(),
        }
    }

    /// Returns whether it is not used, since its entry may come from an older copy of the store.
    pub fn is_unverified(&self, now: Duration) -> bool {
        now < self.unverified_until
    }

    /// Returns whether it is cold, or may be when it is reached.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until || self.absence.is_absent()
    }

    /// Returns the running and queued requests of all instances, as far as known.
    pub fn outstanding(&self, now: Duration) -> u32 {
        let from_datagrams = self
            .in_progress
            .saturating_add(self.others_load.in_progress);
        let reported = self
            .reported_load
            .map_or(0, |(at, reported, own_in_progress)| {
                if now.saturating_sub(at) > REPORTED_LOAD_LIFETIME {
                    return 0;
                }
                let reported = reported.running.saturating_add(reported.queued);
                let others = reported.saturating_sub(own_in_progress);
                others.saturating_add(self.in_progress)
            });
        from_datagrams.max(reported)
    }

    /// Returns the requests in progress of all instances that other regions have forwarded, as far as known.
    pub fn forwarded_here(&self) -> u32 {
        self.forwarded.saturating_add(self.others_load.forwarded)
    }
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The answer was complete.
    Whole,
    /// The answer reported a failure of the upstream.
    Failed,
    /// The upstream refused the request for want of capacity and did not run it.
    Refused,
    /// The upstream did not run the request for a reason that lies in the request: it was malformed, or its time budget
    /// had passed.
    Rejected,
    /// Another upstream is at the address. It did not run the request.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection ended before the answer was complete.
    Broken,
    /// The answer did not begin or continue in time.
    Silent,
    /// The client cancelled the request.
    Cancelled,
    /// It shows nothing about the upstream: the request's own time budget was too short, or the response may be one to
    /// another request.
    Inconclusive,
}

/// The upstreams of a region.
#[derive(Debug, Default)]
pub struct Upstreams {
    /// All of them.
    pub all: slotmap::SlotMap<Key, Upstream>,
    /// Keys by id, for all entries in `all`.
    keys_by_id: HashMap<SmolStr, Key>,
    /// Keys by service, for all entries in `all`.
    keys_by_service: HashMap<SmolStr, Vec<Key>>,
    /// Removed upstreams by id. A late read of the store, or an older copy of it, may bring their entries back.
    removed: HashMap<SmolStr, Removed>,
    /// Runs of upstreams that announced to this instance that they leave, the latest last, and when.
    leaving_runs: VecDeque<(Duration, u64)>,
    /// Upstreams of which other instances reported that they leave, since this was last taken.
    learned_departures: Vec<Key>,
}

/// A removed upstream that may come back.
#[derive(Debug)]
struct Removed {
    started_at_ms: Option<u64>,
    availability: Availability,
    /// Era of the store in which it was removed.
    era: u16,
    forget_at: Duration,
}

/// Time for which a removed upstream is remembered.
const REMOVED_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which an upstream is not used whose removal an older copy of the store has undone. Entries that nobody
/// writes lapse within it, and removals are written again.
const UNVERIFIED_TIME: Duration = Duration::from_secs(10);

/// Maximum number of leaving runs that are sent to other instances.
const MAX_LEAVING_RUNS: usize = 16;

/// Time for which a leaving run is sent to other instances.
const LEAVING_RUN_LIFETIME: Duration = Duration::from_secs(10);

/// Returns whether `entry` is of a run other than the one that started at `known_start`. An entry without a start
/// time tells no runs apart.
fn is_other_run(entry: &Entry, known_start: Option<u64>) -> bool {
    match (entry.started_at_ms, known_start) {
        (Some(start), Some(known)) => start != known,
        _ => false,
    }
}

/// Returns whether `entry` is of a run before the one that started at `known_start`.
fn is_before(entry: &Entry, known_start: Option<u64>) -> bool {
    is_other_run(entry, known_start) && entry.started_at_ms < known_start
}

/// Returns the number that stands for a run of an upstream in datagrams.
fn run_hash(entry: &Entry) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(entry.id.as_bytes());
    hasher.update(&entry.started_at_ms.unwrap_or_default().to_le_bytes());
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl Upstreams {
    /// Returns the key of the upstream with this id.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.keys_by_id.get(id).copied()
    }

    /// Returns the key of the upstream with this hash of its run.
    pub fn key_of_run(&self, run: u64) -> Option<Key> {
        let mut all = self.all.iter();
        all.find(|(_, u)| u.run_hash == run).map(|(key, _)| key)
    }

    /// Returns the upstreams of `service`.
    pub fn of_service(&self, service: &str) -> &[Key] {
        self.keys_by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a known run of the upstream started after the one that `entry` describes.
    pub fn is_earlier_run(&self, entry: &Entry) -> bool {
        let known = self.key(&entry.id).map(|key| &self.all[key].entry);
        known.is_some_and(|known| is_before(entry, known.started_at_ms))
    }

    /// Adds an upstream or updates its entry, as published in `era` of the store. `warmup` is the minimum time
    /// for which a restarted upstream then counts as cold.
    pub fn put(&mut self, now: Duration, mut entry: Entry, warmup: Duration, era: u16) {
        let Some(&key) = self.keys_by_id.get(&entry.id) else {
            self.insert(now, entry, warmup, era);
            return;
        };
        if self.all[key].entry.service != entry.service {
            self.remove(now, &entry.id, era);
            self.insert(now, entry, warmup, era);
            return;
        }
        let upstream = &mut self.all[key];
        if era > upstream.era && is_before(&entry, upstream.entry.started_at_ms) {
            // An older copy of the store contains runs that have ended.
            return;
        }
        let restarted = is_other_run(&entry, upstream.entry.started_at_ms);
        entry.started_at_ms = entry.started_at_ms.or(upstream.entry.started_at_ms);
        if restarted {
            upstream.unverified_until = Duration::ZERO;
        }
        upstream.era = era;
        upstream.removal_at = None;
        if restarted {
            upstream.run_hash = run_hash(&entry);
            upstream.cache.clear();
            upstream.availability = upstream.availability.of_new_run();
            upstream.reported_load = None;
        } else if upstream.entry.address != entry.address {
            upstream.availability.readmit();
        }
        // A restarted upstream may be cold without having published it yet.
        let min_cold = if restarted { warmup } else { Duration::ZERO };
        let cold_until = now + entry.cold_remaining.max(min_cold);
        upstream.cold_until = match upstream.absence.is_absent() && !restarted {
            // It may have written the entry before it became unreachable.
            true => upstream.cold_until.max(cold_until),
            false => cold_until,
        };
        if restarted {
            upstream.absence = Absence::of_new_run(now);
        }
        // A run that drains does not become ready again; a restored store may say so.
        let still_ready = restarted || upstream.entry.ready;
        upstream.entry = entry;
        upstream.entry.ready &= still_ready;
    }

    fn insert(&mut self, now: Duration, mut entry: Entry, warmup: Duration, era: u16) {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let removed = self.removed.remove(&id);
        let known_start = removed.as_ref().and_then(|r| r.started_at_ms);
        let is_new_run = is_other_run(&entry, known_start) && !is_before(&entry, known_start);
        entry.started_at_ms = entry.started_at_ms.or(known_start);
        let mut upstream = Upstream::new(entry, now, era);
        if let Some(removed) = removed {
            if era > removed.era && !is_new_run {
                upstream.unverified_until = now + UNVERIFIED_TIME;
            }
            upstream.availability = match is_other_run(&upstream.entry, known_start) {
                false => removed.availability,
                true => removed.availability.of_new_run(),
            };
            if is_new_run {
                // As in `put`.
                upstream.absence = Absence::of_new_run(now);
                upstream.record_return(now, warmup);
            }
            // The upstream has written its entry again.
            upstream.availability.readmit();
        }
        let key = self.all.insert(upstream);
        self.keys_by_id.insert(id, key);
        self.keys_by_service.entry(service).or_default().push(key);
    }

    /// Removes an upstream, whose entry is gone in `era` of the store.
    pub fn remove(&mut self, now: Duration, id: &str, era: u16) {
        let Some(key) = self.keys_by_id.remove(id) else {
            return;
        };
        let Some(upstream) = self.all.remove(key) else {
            return;
        };
        if let Some(list) = self.keys_by_service.get_mut(&upstream.entry.service) {
            list.retain(|k| *k != key);
        }
        let mut availability = upstream.availability;
        availability.leaving |= !upstream.entry.ready;
        let removed = Removed {
            started_at_ms: upstream.entry.started_at_ms,
            availability,
            era,
            forget_at: now + REMOVED_LIFETIME,
        };
        self.removed.insert(upstream.entry.id, removed);
    }

    /// Removes an upstream at `at`, unless its entry is published again by then.
    pub fn schedule_removal(&mut self, id: &str, at: Duration) {
        if let Some(&key) = self.keys_by_id.get(id) {
            self.all[key].removal_at.get_or_insert(at);
        }
    }

    /// Removes the upstreams whose scheduled removal is due, in `era` of the store.
    pub fn remove_due(&mut self, now: Duration, era: u16) {
        let due = |u: &&Upstream| u.removal_at.is_some_and(|at| at <= now);
        let ids: Vec<_> = self
            .all
            .values()
            .filter(due)
            .map(|u| u.entry.id.clone())
            .collect();
        for id in ids {
            self.remove(now, &id, era);
        }
        self.removed.retain(|_, removed| now < removed.forget_at);
        let is_old = |at: &Duration| now.saturating_sub(*at) > LEAVING_RUN_LIFETIME;
        while self.leaving_runs.front().is_some_and(|(at, _)| is_old(at)) {
            self.leaving_runs.pop_front();
        }
    }

    /// Records what an upstream announced in an answer; see [`Availability::observe_notice`].
    pub fn record_notice(
        &mut self,
        now: Duration,
        key: Key,
        notice: Notice,
        spread: f64,
    ) -> Option<Change> {
        let upstream = self.all.get_mut(key)?;
        let change = upstream.availability.observe_notice(now, notice, spread);
        if change == Some(Change::Leaving) {
            self.leaving_runs.push_back((now, upstream.run_hash));
            if self.leaving_runs.len() > MAX_LEAVING_RUNS {
                self.leaving_runs.pop_front();
            }
        }
        change
    }

    /// Returns the runs of upstreams that announced recently to this instance that they leave, as sent to
    /// other instances.
    pub fn leaving_runs(&self) -> impl Iterator<Item = u64> {
        self.leaving_runs.iter().map(|(_, run)| *run)
    }

    /// Records runs of upstreams that announced to another instance that they leave. They are not relayed
    /// further, so that they are forgotten at some time.
    pub fn record_leaving_runs(&mut self, runs: &[u64]) {
        if runs.is_empty() {
            return;
        }
        for (key, upstream) in &mut self.all {
            if !upstream.availability.leaving && runs.contains(&upstream.run_hash) {
                upstream.availability.leaving = true;
                self.learned_departures.push(key);
            }
        }
    }

    /// Returns and clears the upstreams of which other instances reported that they leave.
    pub fn take_learned_departures(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.learned_departures)
    }

    /// Records that an attempt begins.
    pub fn start_attempt(&mut self, now: Duration, key: Key, request_load: RequestLoad) {
        let Some(upstream) = self.all.get_mut(key) else {
            return;
        };
        upstream.in_progress += 1;
        upstream.prefill_tokens += request_load.prefill_tokens;
        upstream.kv_tokens += request_load.kv_tokens;
        if upstream.is_cold(now) {
            upstream.cold_sends.record(now);
        }
    }

    /// Records that an attempt that was started belongs to a request that another region has forwarded.
    pub fn start_forwarded(&mut self, key: Key) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.forwarded += 1;
        }
    }

    /// Records that such an attempt has ended.
    pub fn finish_forwarded(&mut self, key: Key) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.forwarded = upstream.forwarded.saturating_sub(1);
        }
    }

    /// Records that a prompt is sent, so that it counts as cached. `kv_capacity_tokens` is the size of the
    /// engine's KV cache.
    pub fn record_prompt_sent(
        &mut self,
        now: Duration,
        key: Key,
        prompt: &[PromptPart],
        kv_capacity_tokens: u64,
    ) {
        if let Some(upstream) = self.all.get_mut(key)
            && !prompt.is_empty()
        {
            upstream.cache.insert(now, prompt, kv_capacity_tokens);
        }
    }

    /// Records that the upstream has not run a request whose prompt [`Self::record_prompt_sent`] recorded, so
    /// that it does not count as cached.
    pub fn record_prompt_not_read(&mut self, key: Key, prompt: &[PromptPart]) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.cache.retract(prompt);
        }
    }

    /// Records that the answer has begun, so that the prompt has been prefilled.
    pub fn record_prefill_done(&mut self, key: Key, request_load: RequestLoad) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.prefill_tokens = upstream
                .prefill_tokens
                .saturating_sub(request_load.prefill_tokens);
            let refusals = &mut upstream.availability.refusals;
            refusals.observe_start(upstream.in_progress, request_load.kv_tokens);
        }
    }

    /// Returns the upstreams with a recent report of their load, and its age.
    pub fn recent_reports(&self, now: Duration) -> impl Iterator<Item = (&Upstream, Duration)> {
        let with_age = self.all.values().filter_map(move |upstream| {
            let (at, ..) = upstream.reported_load?;
            Some((upstream, now.saturating_sub(at)))
        });
        with_age.filter(|(_, age)| *age < REPORTED_LOAD_LIFETIME)
    }

    /// Records loads that upstreams reported to other instances, by the hashes of their ids.
    /// Newer reports are kept. `warmup` gives the time for which a service's upstreams are cold after their return.
    pub fn record_relayed_loads(
        &mut self,
        now: Duration,
        reports: &HashMap<u32, (Duration, ReportedLoad)>,
        warmup: impl Fn(&str) -> Duration,
    ) {
        for upstream in self.all.values_mut() {
            let Some(&(at, load)) = reports.get(&upstream.id_hash) else {
                continue;
            };
            if upstream.absence.observe_report(at) {
                upstream.record_return(now, warmup(&upstream.entry.service));
            }
            if upstream.reported_load.is_none_or(|known| known.0 < at) {
                upstream.reported_load = Some((at, load, upstream.in_progress));
            }
        }
    }

    /// Records the load that the upstream reported in an answer.
    pub fn record_reported_load(&mut self, now: Duration, key: Key, reported_load: ReportedLoad) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.reported_load = Some((now, reported_load, upstream.in_progress));
        }
    }

    /// Records that an attempt ended. After [`Self::record_prefill_done`], the caller must
    /// pass 0 as `request_load.prefill_tokens`, or the tokens are subtracted twice. `warmup`
    /// is the minimum time for which an unreachable upstream then counts as cold; see [`Absence`]. Returns what has
    /// changed about the upstream's availability.
    pub fn finish_attempt(
        &mut self,
        now: Duration,
        key: Key,
        request_load: RequestLoad,
        outcome: AttemptOutcome,
        warmup: Duration,
    ) -> Option<Change> {
        let upstream = self.all.get_mut(key)?;
        upstream.in_progress = upstream.in_progress.saturating_sub(1);
        upstream.prefill_tokens = upstream
            .prefill_tokens
            .saturating_sub(request_load.prefill_tokens);
        upstream.kv_tokens = upstream.kv_tokens.saturating_sub(request_load.kv_tokens);
        if outcome == AttemptOutcome::Unreachable {
            upstream.record_absence(now, false, warmup);
        }
        let (in_progress, tokens) = (upstream.in_progress, request_load.kv_tokens);
        let availability = &mut upstream.availability;
        availability.observe_capacity(now, outcome, in_progress, tokens);
        availability.observe_outcome(now, outcome)
    }
}
