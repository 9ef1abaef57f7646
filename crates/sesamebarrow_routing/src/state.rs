//! All that an instance knows, as plain tables.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;

use crate::budget::{self, RetryBudget};
use crate::cold;
use crate::config::{Config, Route};
use crate::gossip::{Datagram, Record, ServiceLoad, UpstreamLoad, short_hash};
use crate::member::{Member, Members};
use crate::quota::{self, Quota};
use crate::rendezvous;
use crate::upstream::{Entry, Upstream, Upstreams};

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name, unique in the fleet.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Its address, at which callers and instances reach it.
    pub ip: Ipv4Addr,
    /// This run of its process.
    pub incarnation: u64,
}

/// Bounds that hold for all instances together, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Of resends.
    pub budget: budget::Bound,
    /// Of customers' rates.
    pub quota: quota::Bound,
    /// Of sends to cold upstreams.
    pub cold: cold::Bound,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_per_ms: f64,
    /// One-way delay between regions.
    pub region_delay: Duration,
}

/// Time after an outage of the store in which entries that lapsed meanwhile may be back;
/// the store's page states about two seconds.
pub const REPUBLISH_GRACE: Duration = Duration::from_millis(2_500);

/// Weight of the newest first event in the lateness.
const LATENESS_GAIN: f64 = 0.03;

/// Weight of the newest run in the time that runs take.
const RUN_TIME_GAIN: f64 = 0.02;

/// Milliseconds that a run takes, where nothing is known.
const RUN_TIME: f64 = 1_000.0;

/// Most milliseconds that are added to estimates.
const MAX_LATENESS: f64 = 500.0;

/// Instances of a region that read the store; two, so that news does not wait for the
/// loss of one to be noticed.
const READERS: usize = 2;

/// Part of the connections that an upstream accepts which may be idle ones; those in use
/// are bounded by its slots.
const IDLE_PART: f64 = 0.5;

/// Idle connections to an upstream that accepts any number.
const MAX_IDLE: usize = 64;

/// The blackboard that all controllers read and write.
#[derive(Debug)]
pub struct RoutingState {
    /// Who this instance is.
    pub identity: Identity,
    /// Bounds over all instances.
    pub bounds: Bounds,
    /// Region of each failure domain.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// The same by the hash of the failure domain.
    regions_by_hash: HashMap<u32, SmolStr>,
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// Failure domains whose upstreams get nothing more.
    pub evacuated: HashSet<SmolStr>,
    /// Upstreams of this region.
    pub upstreams: Upstreams,
    /// Other instances.
    pub members: Members,
    /// Shares of each customer's rate.
    pub quota: Quota,
    /// Resends that may be made.
    pub budget: RetryBudget,
    /// Milliseconds by which first events came later than estimated, by service, averaged.
    pub estimate_errors_ms: HashMap<SmolStr, f64>,
    /// Milliseconds that runs take, by service, averaged.
    pub run_times_ms: HashMap<SmolStr, f64>,
    /// Requests seen by the name of their route, of routes that are bound to regions.
    pub route_requests: HashMap<SmolStr, u64>,
    /// Random numbers, from one seed.
    pub rng: StdRng,
    /// Heartbeats so far.
    pub heartbeat: u64,
    /// When the process began to stop.
    pub draining_since: Option<Duration>,
    /// When the store last failed to answer.
    pub store_failed_at: Option<Duration>,
    /// Whether the store answers this instance, as far as it knows.
    pub store_answers: bool,
    /// Revision of the newest item.
    pub revision: u64,
}

impl RoutingState {
    /// Builds the board of a new process.
    pub fn new(
        identity: Identity,
        bounds: Bounds,
        regions: HashMap<SmolStr, SmolStr>,
        seed: u64,
    ) -> Self {
        let regions_by_hash = regions
            .iter()
            .map(|(domain, region)| (short_hash(domain), region.clone()))
            .collect();
        Self {
            identity,
            bounds,
            regions,
            regions_by_hash,
            config: None,
            evacuated: HashSet::new(),
            upstreams: Upstreams::default(),
            members: Members::default(),
            quota: Quota::new(bounds.quota),
            budget: RetryBudget::new(bounds.budget),
            estimate_errors_ms: HashMap::new(),
            run_times_ms: HashMap::new(),
            route_requests: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
            heartbeat: 0,
            draining_since: None,
            store_failed_at: None,
            store_answers: true,
            revision: 0,
        }
    }

    /// Puts other bounds in force; what was taken under the earlier ones counts on.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.quota.set_bound(bounds.quota);
        self.budget.set_bound(bounds.budget);
    }

    /// Tells whether the instance takes new requests.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.draining_since.is_none()
    }

    /// Returns for how long the process has been stopping.
    pub fn draining_for(&self, now: Duration) -> Option<Duration> {
        self.draining_since.map(|at| now.saturating_sub(at))
    }

    /// Puts a configuration in force unless a newer one is; tells whether it did.
    pub fn apply_config(&mut self, now: Duration, config: Config) -> bool {
        if self
            .config
            .as_ref()
            .is_some_and(|c| c.version >= config.version)
        {
            return false;
        }
        self.route_requests
            .retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        for customer in &config.customers {
            let limit = (customer.rate, customer.burst);
            self.quota.open_share(now, &customer.name, limit);
        }
        self.config = Some(Arc::new(config));
        true
    }

    /// Takes a published upstream; those of other regions accept no connections from
    /// here and are not kept.
    pub fn put_upstream(&mut self, now: Duration, entry: Entry) {
        let region = self.regions.get(&entry.domain);
        if region != Some(&self.identity.region) {
            return;
        }
        let warmup = self.warmup(&entry.service);
        self.upstreams.put(now, entry, warmup);
    }

    /// Takes the news that an upstream's entry is gone.
    pub fn remove_upstream(&mut self, now: Duration, id: &str) {
        let outage = self.store_failed_at.map(|at| at + REPUBLISH_GRACE);
        match outage {
            Some(until) if now < until => self.upstreams.schedule_removal(id, until),
            _ => self.upstreams.remove(id),
        }
    }

    /// Notes how long a first event took against its estimate, for the estimates to come.
    pub fn record_first_event(&mut self, service: &SmolStr, estimated: Duration, took: Duration) {
        let late = (took.as_secs_f64() - estimated.as_secs_f64()) * 1_000.0;
        let average = self.estimate_errors_ms.entry(service.clone()).or_default();
        // What is added to estimates is in `estimated` already.
        *average = (*average + LATENESS_GAIN * late).clamp(0.0, MAX_LATENESS);
    }

    /// Notes how long a run took from its send to its end.
    pub fn record_run(&mut self, service: &SmolStr, took: Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        let average = self.run_times_ms.entry(service.clone()).or_insert(RUN_TIME);
        *average += RUN_TIME_GAIN * (millis - *average);
    }

    /// Returns the milliseconds in which an upstream with so many slots, all of them taken,
    /// frees one.
    pub fn slot_release_ms(&self, service: &str, slots: u32) -> f64 {
        let run_time = self.run_times_ms.get(service).copied().unwrap_or(RUN_TIME);
        run_time / f64::from(slots.max(1))
    }

    /// Notes a request on a route, so that the directory knows where its callers may go.
    pub fn record_route_request(&mut self, route: &Route) {
        if !route.allowed_regions.is_empty() {
            *self.route_requests.entry(route.name.clone()).or_default() += 1;
        }
    }

    /// Begins or ends the evacuation of a failure domain.
    pub fn set_evacuated(&mut self, now: Duration, domain: &str, begins: bool) {
        if begins {
            self.evacuated.insert(SmolStr::new(domain));
            return;
        }
        if !self.evacuated.remove(domain) {
            return;
        }
        // Upstreams may have grown cold meanwhile without having said so yet.
        let config = self.config.clone();
        let there = |u: &&mut Upstream| u.entry.domain == domain;
        for upstream in self.upstreams.all.values_mut().filter(there) {
            let service = config
                .as_ref()
                .and_then(|c| c.services.get(&upstream.entry.service));
            let warmup = service.map_or(Duration::ZERO, |s| s.warmup);
            upstream.cold_until = upstream.cold_until.max(now + warmup);
        }
    }

    /// Returns how long upstreams of `service` are cold after their start.
    pub fn warmup(&self, service: &str) -> Duration {
        let service = self.config.as_ref().and_then(|c| c.services.get(service));
        service.map_or(Duration::ZERO, |s| s.warmup)
    }

    /// Returns how many idle connections this instance may keep to an upstream of
    /// `service`, so that those of the whole region fit.
    pub fn max_idle_connections(&self, service: &str) -> usize {
        let service = self.config.as_ref().and_then(|c| c.services.get(service));
        match service.map_or(0, |s| s.max_connections) {
            0 => MAX_IDLE,
            most => {
                let idle = f64::from(most) * IDLE_PART / self.region_instance_count() as f64;
                // CAST: the number of connections is small.
                (idle as usize).clamp(1, MAX_IDLE)
            }
        }
    }

    /// Number of instances that are known, this one among them.
    pub fn instance_count(&self) -> usize {
        self.members.all.len() + 1
    }

    /// Instances of this region that are known, this one among them.
    pub fn region_instance_count(&self) -> usize {
        let near = |m: &&Member| m.region == self.identity.region;
        self.members.all.values().filter(near).count() + 1
    }

    /// Begins a round: returns this instance's datagram, without what depends on the
    /// receiver.
    pub fn begin_gossip_round(&mut self, now: Duration) -> Datagram {
        self.heartbeat += 1;
        self.members.remove_silent(now);
        self.upstreams.remove_due(now);
        self.sum_other_loads(now);
        let members = &self.members;
        let demand = self.quota.report_demand(
            now,
            members.propagation_time(),
            members.max_demand_customers(),
        );
        self.quota.update_fractions(now, &mut self.members);
        Datagram {
            sender: Record {
                heartbeat: self.heartbeat,
                demand: Some(demand),
                ..self.own_record(now)
            },
            other_records: self.members.sample_records(now, &mut self.rng),
            heard_ages: None,
            wanted_records: self.members.take_unknown(),
            revision: self.revision,
            service_loads: self.service_loads(now),
            upstream_loads: Vec::new(),
            seen_heartbeat: 0,
            // CAST: bounded by `RETURN_TIME`.
            store_failed_ms: self
                .store_failed_at
                .map(|at| now.saturating_sub(at))
                .filter(|age| *age < REPUBLISH_GRACE)
                .map_or(0, |age| age.as_millis().max(1) as u32),
        }
    }

    /// Returns the answer to a datagram whose sender does not know this instance or lacks
    /// records, without what depends on the receiver.
    pub fn begin_gossip_reply(&mut self, now: Duration, datagram: &Datagram) -> Datagram {
        let mut answer = self.begin_gossip_round(now);
        answer
            .other_records
            .extend(self.members.records_for(&datagram.wanted_records));
        answer
    }

    /// Returns a datagram that tells a newer revision and no more.
    pub fn revision_datagram(&self, now: Duration) -> Datagram {
        Datagram {
            sender: self.own_record(now),
            revision: self.revision,
            ..Datagram::default()
        }
    }

    /// Returns this instance's record without its heartbeat and demand.
    fn own_record(&self, now: Duration) -> Record {
        let draining = self.draining_for(now);
        Record {
            name: self.identity.name.to_string(),
            domain: short_hash(&self.identity.domain),
            ip: self.identity.ip.to_bits(),
            incarnation: self.identity.incarnation,
            ready: self.is_ready(),
            // CAST: a stop takes seconds.
            draining_ms: draining.map_or(0, |d| d.as_millis().max(1) as u32),
            store_answers: self.store_answers,
            ..Record::default()
        }
    }

    /// Tells whether this instance reads the store for its region: the instances with
    /// the highest weights do, among those that are heard and that the store answers.
    pub fn is_store_reader(&self, now: Duration) -> bool {
        if !self.store_answers {
            return false;
        }
        let weight = |name: &str| rendezvous::weight(self.identity.region.as_bytes(), name);
        let mine = weight(&self.identity.name);
        let above = self.members.alive(now).filter(|m| {
            m.region == self.identity.region
                && m.record.store_answers
                && m.record.draining_ms == 0
                && weight(&m.record.name) > mine
        });
        above.count() < READERS
    }

    /// Tells whether another instance of the region can read the store.
    pub fn has_other_store_reader(&self, now: Duration) -> bool {
        let mut near = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region);
        near.any(|m| m.record.store_answers && m.record.draining_ms == 0)
    }

    /// Returns the addresses of this region's other instances.
    pub fn region_peers(&self, now: Duration) -> Vec<Ipv4Addr> {
        let near = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region);
        near.map(Member::ip).collect()
    }

    /// Completes a datagram for the instance at `ip`.
    pub fn complete_datagram(&self, now: Duration, datagram: &mut Datagram, ip: Ipv4Addr) {
        let receiver = self.members.all.values().find(|m| m.ip() == ip);
        datagram.seen_heartbeat = receiver.map_or(0, |m| m.record.heartbeat);
        let near = receiver.is_some_and(|m| m.region == self.identity.region);
        datagram.upstream_loads = if near {
            self.own_upstream_loads()
        } else {
            Vec::new()
        };
        datagram.heard_ages = self.members.recent_ages(now, &self.identity.region, near);
    }

    /// What this instance runs at the upstreams, the busiest first.
    fn own_upstream_loads(&self) -> Vec<UpstreamLoad> {
        let mut busy: Vec<&Upstream> = self
            .upstreams
            .all
            .values()
            .filter(|u| u.running > 0)
            .collect();
        let most = self.members.max_upstream_loads();
        if busy.len() > most {
            busy.sort_by_key(|u| std::cmp::Reverse((u.prefill_tokens, u.running)));
            busy.truncate(most);
        }
        // CAST: token counts of one instance at one upstream are far below 2^32.
        let own = busy.into_iter().map(|u| UpstreamLoad {
            upstream: u.id_hash,
            running: u.running,
            prefill_tokens: u.prefill_tokens as u32,
            memory_tokens: u.memory_tokens as u32,
        });
        own.collect()
    }

    fn service_loads(&self, now: Duration) -> Vec<ServiceLoad> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let loads = config.services.values().filter_map(|service| {
            let (wait, usable) = crate::admit::region_load(self, now, &service.name);
            // CAST: waits are bounded by minutes, upstreams by thousands.
            (usable > 0).then(|| ServiceLoad {
                service: short_hash(&service.name),
                wait_ms: wait.as_millis() as u32,
                usable_upstreams: usable as u32,
            })
        });
        loads.collect()
    }

    /// Takes a datagram; tells whether its sender does not know this instance yet or wants
    /// records, so that it should be answered at once.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &Datagram) -> bool {
        let regions = &self.regions_by_hash;
        let region_of = |domain: u32| regions.get(&domain).cloned();
        let me = (self.identity.name.as_str(), self.heartbeat);
        if datagram.sender.name == me.0 {
            return false;
        }
        if datagram.sender.heartbeat == 0 {
            self.members
                .record_revision(&datagram.sender.name, datagram.revision);
            return false;
        }
        self.members.apply_datagram(now, me, datagram, region_of);
        if datagram.store_failed_ms > 0 {
            let at = now.saturating_sub(Duration::from_millis(datagram.store_failed_ms.into()));
            self.store_failed_at = Some(self.store_failed_at.map_or(at, |known| known.max(at)));
        }
        self.sum_other_loads(now);
        datagram.seen_heartbeat == 0 || !datagram.wanted_records.is_empty()
    }

    /// Sums what the region's other instances run at each upstream.
    fn sum_other_loads(&mut self, now: Duration) {
        let told: Vec<_> = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region)
            .collect();
        for upstream in self.upstreams.all.values_mut() {
            let mut sum = UpstreamLoad::default();
            for member in &told {
                let Some(own) = member.upstream_loads.1.get(&upstream.id_hash) else {
                    continue;
                };
                sum.running += own.running;
                sum.prefill_tokens += own.prefill_tokens;
                sum.memory_tokens += own.memory_tokens;
            }
            upstream.others_load = sum;
        }
    }
}
