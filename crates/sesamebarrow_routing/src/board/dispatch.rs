//! Selects the dispatcher of a service, and connects [`crate::dispatch`] with the other tables of the board.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::admit::{self, RequestSpec};
use crate::board::Board;
use crate::board::limit::Owner;
use crate::cache::PromptPart;
use crate::config::Config;
use crate::dispatch::capacity::{Capacity, Remote};
use crate::dispatch::engine::HolderId;
use crate::dispatch::message::{
    Answer, Decision, Event, Notice, Notices, PlaceRequest, StatedCapacity,
};
use crate::dispatch::speed::Speed;
use crate::dispatch::{Candidate, Circumstances, Outcome, Service};
use crate::gossip::short_hash;
use crate::member::Member;
use crate::rendezvous;
use crate::upstream::{AttemptOutcome, Key};

/// Time for which an instance that did not answer is not asked to dispatch.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Time for which the capacity that an answer states is passed on.
const CAPACITY_LIFETIME: Duration = Duration::from_secs(1);

/// What this instance knows about dispatched services.
#[derive(Debug, Default)]
pub struct Dispatch {
    /// The longest allowed pause between events of each dispatched service, by name.
    pauses: HashMap<SmolStr, Duration>,
    /// Their names by hash.
    names: HashMap<u32, SmolStr>,
    /// State of the services that this instance dispatches, by hash of the name.
    services: HashMap<u32, Service>,
    /// Capacity that answers of dispatchers stated, by hash of the service's name, and when.
    capacities: HashMap<u32, (Duration, Capacity)>,
    /// Run and prompt of each request that was granted a place and has shown no first event, by the address of
    /// its instance and its id.
    granted: HashMap<HolderId, (u64, Vec<PromptPart>)>,
    /// Prompt and output tokens of each request that holds a place, which its refusal is about.
    tokens: HashMap<HolderId, u64>,
}

/// An answer and the address of the instance that asked.
pub type Addressed = (Ipv4Addr, Answer);

/// Returns the longest allowed pause of each service that is dispatched: those with an engine and a streaming
/// route that declares a pause of at least `min_pause`.
fn dispatched_pauses(config: &Config, min_pause: Option<Duration>) -> HashMap<SmolStr, Duration> {
    let mut pauses: HashMap<SmolStr, Duration> = HashMap::new();
    let Some(min_pause) = min_pause else {
        return pauses;
    };
    for route in &config.routes {
        let Some(pause) = route.max_pause.filter(|pause| *pause >= min_pause) else {
            continue;
        };
        for backend in &route.backends {
            let service = config.services.get(&backend.service);
            if service.is_some_and(|s| s.engine.is_some()) {
                let known = pauses.entry(backend.service.clone()).or_insert(pause);
                *known = pause.min(*known);
            }
        }
    }
    pauses
}

impl Board {
    /// Updates which services are dispatched, after a change of the configuration or the parameters.
    pub(crate) fn update_dispatched(&mut self) {
        let min_pause = self.parameters.dispatch.min_pause;
        let config = self.config.as_deref();
        let pauses = config.map(|c| dispatched_pauses(c, min_pause));
        let dispatch = &mut self.dispatch;
        dispatch.pauses = pauses.unwrap_or_default();
        let names = dispatch.pauses.keys();
        dispatch.names = names.map(|n| (short_hash(n), n.clone())).collect();
        let names = &dispatch.names;
        dispatch.services.retain(|hash, _| names.contains_key(hash));
    }

    /// Returns the services whose requests are dispatched.
    pub fn dispatched(&self) -> impl Iterator<Item = &SmolStr> {
        self.dispatch.pauses.keys()
    }

    /// Returns whether requests for `service` are dispatched.
    pub fn is_dispatched(&self, service: &str) -> bool {
        self.dispatch.pauses.contains_key(service)
    }

    /// Returns the instance of this region that dispatches `service`; `None` if no instance is ready.
    ///
    /// Instances with more processor time are preferred, since the dispatcher handles some datagrams for each
    /// request.
    pub fn dispatcher(&self, now: Duration, service: &str) -> Option<Owner> {
        let key = u64::from(short_hash(service));
        let score = |name_hash: u32, processor_percent: u32| {
            // CAST: only the order matters.
            let weight = rendezvous::weight_of_hashes(key, name_hash.into()) as f64;
            let uniform = (weight + 1.0) / u64::MAX as f64;
            let share = f64::from(processor_percent.max(1));
            -uniform.ln() / (share * share)
        };
        let region = &self.identity.region;
        let is_asked = |m: &&Member| {
            m.region == *region && m.record.dispatches && now >= m.silent_dispatcher_until
        };
        let members = self.members.ready(now).filter(is_asked);
        let scored = members.map(|m| {
            let score = score(m.name_hash, m.record.processor_percent);
            (score, Owner::Other(m.ip()))
        });
        let own = self.is_ready().then(|| {
            // The others know it in percent, too.
            let percent = self.processor_percent();
            (score(self.name_hash(), percent), Owner::Own)
        });
        let best = scored.chain(own).min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, owner)| owner)
    }

    /// Returns this instance's processor time in percent of a core, as its record states it.
    pub(crate) fn processor_percent(&self) -> u32 {
        // CAST: the settings bound it.
        (self.parameters.dispatch.processor_share * 100.0) as u32
    }

    /// Records that the instance at `ip` did not answer as a dispatcher.
    pub fn record_silent_dispatcher(&mut self, now: Duration, ip: Ipv4Addr) {
        if let Some(member) = self.members.all.values_mut().find(|m| m.ip() == ip) {
            member.silent_dispatcher_until = now + SILENT_TIME;
        }
    }

    /// Builds the message that asks for a place for a request, without its id. `avoided` are upstreams that must not be selected, and
    /// `open_regions` those that the request may be forwarded to.
    pub fn build_place_request(
        &self,
        spec: &RequestSpec,
        target: Duration,
        time_left: Duration,
        avoided: &[Key],
        open_regions: impl Iterator<Item = SmolStr>,
    ) -> PlaceRequest {
        // CAST: times of a request are far below 2^32 ms, and prompts far below 2^32 tokens.
        let millis = |d: Duration| d.as_millis() as u32;
        let run = |key: &Key| self.upstreams.all.get(*key).map(|u| u.run_hash);
        PlaceRequest {
            id: 0,
            service_hash: short_hash(&spec.service),
            part_ids: spec.prompt.iter().map(|p| p.id).collect(),
            part_tokens: spec.prompt.iter().map(|p| p.tokens).collect(),
            prompt_tokens: spec.prompt_tokens as u32,
            output_tokens: spec.output_tokens as u32,
            rank: spec.rank.into(),
            target_ms: millis(target),
            time_left_ms: millis(time_left),
            avoided_runs: avoided.iter().filter_map(run).collect(),
            open_regions: open_regions.map(|r| short_hash(&r)).collect(),
        }
    }

    /// Decides about a request of the instance at `from`.
    pub fn handle_place_request(
        &mut self,
        now: Duration,
        from: Ipv4Addr,
        req: &PlaceRequest,
    ) -> Answer {
        let unknown = Answer {
            id: req.id,
            ..Answer::default()
        };
        let Some(name) = self.dispatch.names.get(&req.service_hash).cloned() else {
            return unknown;
        };
        let Some(candidates) = self.dispatch_candidates(now, &name, req) else {
            return unknown;
        };
        let remotes = self.remote_capacities(now, req);
        let cx = Circumstances {
            candidates: &candidates,
            remotes: &remotes,
            round_trip: self.parameters.region_delay * 2,
            max_pause: self.dispatch.pauses[&name],
        };
        let service = self.dispatch.services.entry(req.service_hash);
        let service = service.or_insert_with(|| {
            Service::new(Speed::assumed(self.parameters.dispatch.first_guess_per_ms))
        });
        let outcome = service.decide(now, (from.to_bits(), req.id), req, &cx);
        let capacity = service.capacity(now, &candidates);
        self.apply_outcome(now, from, req, outcome);
        self.dispatch
            .capacities
            .insert(req.service_hash, (now, capacity));
        answer(req.id, outcome, Some(capacity))
    }

    /// Offers places to the requests that wait at this instance. Returns the answers, and whether others wait
    /// on.
    pub fn serve_waiting(&mut self, now: Duration) -> (Vec<Addressed>, bool) {
        let mut answers = Vec::new();
        let mut services = std::mem::take(&mut self.dispatch.services);
        for (hash, service) in &mut services {
            let Some(name) = self.dispatch.names.get(hash).cloned() else {
                continue;
            };
            if service.waiting() == 0 {
                continue;
            }
            let cx = Circumstances {
                candidates: &[],
                remotes: &[],
                round_trip: self.parameters.region_delay * 2,
                max_pause: self.dispatch.pauses[&name],
            };
            let candidates = |req: &PlaceRequest| {
                self.dispatch_candidates(now, &name, req)
                    .unwrap_or_default()
            };
            let remotes = |req: &PlaceRequest| self.remote_capacities(now, req);
            for (waiting, outcome) in service.serve(now, &cx, candidates, remotes) {
                let ip = Ipv4Addr::from_bits(waiting.id.0);
                answers.push((
                    ip,
                    waiting.req.clone(),
                    answer(waiting.id.1, outcome, None),
                    outcome,
                ));
            }
        }
        let waits = services.values().any(|s| s.waiting() > 0);
        self.dispatch.services = services;
        let mut addressed = Vec::new();
        for (ip, req, answer, outcome) in answers {
            self.apply_outcome(now, ip, &req, outcome);
            addressed.push((ip, answer));
        }
        (addressed, waits)
    }

    /// Records what follows from a decision besides its answer.
    fn apply_outcome(
        &mut self,
        now: Duration,
        from: Ipv4Addr,
        req: &PlaceRequest,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Granted { run, .. } => {
                let Some(key) = self.upstreams.key_of_run(run) else {
                    return;
                };
                let service = &self.upstreams.all[key].entry.service;
                let kv_capacity =
                    admit::engine_of(self, service).map_or(0, |e| e.kv_capacity_tokens);
                let prompt = req.prompt();
                let id = (from.to_bits(), req.id);
                let tokens = u64::from(req.prompt_tokens) + u64::from(req.output_tokens);
                self.dispatch.tokens.insert(id, tokens);
                // A request that is sent again gets the same place.
                let granted = self.dispatch.granted.get(&id);
                if !prompt.is_empty() && granted.is_none_or(|(known, _)| *known != run) {
                    self.upstreams
                        .record_prompt_sent(now, key, &prompt, kv_capacity);
                    self.dispatch.granted.insert(id, (run, prompt));
                }
            }
            Outcome::Forward(region_hash) => {
                let service = self.dispatch.services.get(&req.service_hash);
                let read_ms = service.map_or(0.0, |s| s.read_ms(req));
                self.members
                    .take_capacity(region_hash, req.service_hash, read_ms);
            }
            Outcome::Waiting(_) | Outcome::Refused(_) => {}
        }
    }

    /// Returns the engines that a request may be sent to; `None` if there are none.
    fn dispatch_candidates(
        &self,
        now: Duration,
        service: &str,
        req: &PlaceRequest,
    ) -> Option<Vec<Candidate>> {
        let engine = admit::engine_of(self, service)?;
        let prompt = req.prompt();
        let prompt_tokens = u64::from(req.prompt_tokens);
        let last = prompt.last().map_or(0, |p| u64::from(p.tokens));
        let keys = admit::dispatchable(self, now, service);
        let mut candidates: Vec<Candidate> = keys
            .into_iter()
            .map(|key| &self.upstreams.all[key])
            .filter(|u| !req.avoided_runs.contains(&u.run_hash))
            .map(|u| {
                let cached = u.cache.cached_tokens(&prompt).min(prompt_tokens);
                Candidate {
                    run: u.run_hash,
                    slots: engine.slots,
                    kv_capacity_tokens: engine.kv_capacity_tokens,
                    prefill_tokens: prompt_tokens - cached,
                    repeated_tokens: 0,
                    failure_ratio: u.availability.failure_ratio,
                    refusal_level: u.availability.refusals.level(
                        now,
                        u.outstanding(now),
                        prompt_tokens + u64::from(req.output_tokens),
                    ),
                }
            })
            .collect();
        let least = candidates.iter().map(|c| c.prefill_tokens).min()?;
        for candidate in &mut candidates {
            let repeated = candidate.prefill_tokens - least;
            candidate.repeated_tokens = repeated.min(prompt_tokens.saturating_sub(last));
        }
        Some(candidates)
    }

    /// Returns the capacity of the regions that a request may be forwarded to.
    fn remote_capacities(&self, now: Duration, req: &PlaceRequest) -> Vec<Remote> {
        let mut regions: Vec<&SmolStr> = self.regions.values().collect();
        regions.sort();
        regions.dedup();
        let open =
            |r: &&SmolStr| **r != self.identity.region && req.open_regions.contains(&short_hash(r));
        let capacities = regions.into_iter().filter(open).filter_map(|region| {
            let load = self.members.service_load(now, region, req.service_hash)?;
            Some(Remote {
                region_hash: short_hash(region),
                capacity: load.capacity?,
            })
        });
        capacities.collect()
    }

    /// Handles events and holds that the instance at `from` reports.
    pub fn handle_notices(&mut self, now: Duration, from: Ipv4Addr, notices: &Notices) {
        for notice in &notices.notices {
            self.handle_notice(now, from, notice);
        }
        for hold in &notices.holds {
            let Some(key) = self.upstreams.key_of_run(hold.run) else {
                continue;
            };
            let id = (from.to_bits(), hold.id);
            self.dispatch.tokens.insert(id, hold.kv_tokens.into());
            let service = &self.upstreams.all[key].entry.service;
            let Some(pause) = self.dispatch.pauses.get(service).copied() else {
                continue;
            };
            let speed = Speed::assumed(self.parameters.dispatch.first_guess_per_ms);
            let state = self.dispatch.services.entry(short_hash(service));
            let state = state.or_insert_with(|| Service::new(speed));
            state.handle_hold(now, from.to_bits(), hold, pause);
        }
    }

    fn handle_notice(&mut self, now: Duration, from: Ipv4Addr, notice: &Notice) {
        let id = (from.to_bits(), notice.id);
        let granted = self.dispatch.granted.remove(&id);
        let tokens = match notice.event() {
            Event::Started => self.dispatch.tokens.get(&id).copied(),
            _ => self.dispatch.tokens.remove(&id),
        };
        let tokens = tokens.unwrap_or_default();
        if matches!(
            notice.event(),
            Event::Refused | Event::Withdrawn | Event::Misdirected
        ) && let Some((run, prompt)) = granted
            && let Some(key) = self.upstreams.key_of_run(run)
        {
            self.upstreams.record_prompt_not_read(key, &prompt);
        }
        let dispatch = &mut self.dispatch;
        let mut run = None;
        for (hash, service) in &mut dispatch.services {
            let name = dispatch.names.get(hash);
            let Some(pause) = name.and_then(|name| dispatch.pauses.get(name)) else {
                continue;
            };
            run = run.or(service.handle_notice(now, from.to_bits(), notice, *pause));
        }
        let Some(run) = run else {
            return;
        };
        let outcome = match notice.event() {
            Event::Failed => AttemptOutcome::Failed,
            Event::Unreachable => AttemptOutcome::Unreachable,
            Event::Refused => AttemptOutcome::Refused,
            Event::Misdirected => AttemptOutcome::Misdirected,
            Event::Completed => AttemptOutcome::Whole,
            Event::Broken => AttemptOutcome::Broken,
            Event::Other | Event::Started | Event::Ended | Event::Withdrawn => return,
        };
        if from != self.identity.ip
            && let Some(key) = self.upstreams.key_of_run(run)
            && let Some(upstream) = self.upstreams.all.get_mut(key)
        {
            let outstanding = upstream.outstanding(now);
            let availability = &mut upstream.availability;
            availability.observe_capacity(now, outcome, outstanding, tokens);
            availability.observe_outcome(now, outcome);
            if outcome == AttemptOutcome::Unreachable {
                upstream.cache.clear();
            }
        }
    }

    /// Forgets places of requests that have expired or whose instances have ended; called in each gossip round.
    pub(crate) fn forget_places(&mut self, now: Duration) {
        let own = self.identity.ip.to_bits();
        let alive: Vec<u32> = self.members.alive(now).map(|m| m.record.ip).collect();
        let runs: Vec<u64> = self.upstreams.all.values().map(|u| u.run_hash).collect();
        for service in self.dispatch.services.values_mut() {
            service.forget(
                now,
                |ip| ip != own && !alive.contains(&ip),
                |run| runs.contains(&run),
            );
        }
        let services = &self.dispatch.services;
        let holds = |id: &HolderId| services.values().any(|s| s.holds(*id));
        self.dispatch.granted.retain(|id, _| holds(id));
        self.dispatch.tokens.retain(|id, _| holds(id));
    }

    /// Records the capacity that a dispatcher's answer states.
    pub fn record_capacity(&mut self, now: Duration, service: &str, answer: &Answer) {
        let capacity = answer.capacity.as_ref().map(Capacity::from);
        let Some(capacity) = capacity else {
            return;
        };
        let hash = short_hash(service);
        self.dispatch.capacities.insert(hash, (now, capacity));
    }

    /// Returns the capacity of a dispatched service, as last stated by its dispatcher, and its age.
    pub(crate) fn own_capacity(
        &self,
        now: Duration,
        service_hash: u32,
    ) -> Option<(Capacity, Duration)> {
        let (at, capacity) = self.dispatch.capacities.get(&service_hash)?;
        let age = now.saturating_sub(*at);
        (age < CAPACITY_LIFETIME).then_some((*capacity, age))
    }

    /// Returns the states of the services that this instance dispatches, by name.
    pub fn dispatched_services(&self) -> impl Iterator<Item = (&SmolStr, &Service)> {
        let services = self.dispatch.services.iter();
        services.filter_map(|(hash, service)| Some((self.dispatch.names.get(hash)?, service)))
    }
}

fn answer(id: u64, outcome: Outcome, capacity: Option<Capacity>) -> Answer {
    // CAST: times are far below 2^32 ms, and the capacity is bounded by the number of slots.
    let millis = |d: Duration| d.as_millis() as u32;
    let answer = Answer {
        id,
        capacity: capacity.map(StatedCapacity::from),
        ..Answer::default()
    };
    match outcome {
        Outcome::Granted {
            run,
            prefill_tokens,
            wait,
        } => Answer {
            decision: Decision::Granted.into(),
            run,
            // CAST: prompts are far below 2^32 tokens.
            prefill_tokens: prefill_tokens as u32,
            wait_ms: millis(wait),
            ..answer
        },
        Outcome::Waiting(wait) => Answer {
            decision: Decision::Waiting.into(),
            wait_ms: millis(wait),
            ..answer
        },
        Outcome::Forward(region_hash) => Answer {
            decision: Decision::Forward.into(),
            region_hash,
            ..answer
        },
        Outcome::Refused(after) => Answer {
            decision: Decision::Refused.into(),
            wait_ms: millis(after),
            ..answer
        },
    }
}
