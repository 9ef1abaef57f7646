//! The board: the tables on which one instance bases all routing decisions.

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
use crate::correction::WaitCorrection;
use crate::gossip::{Datagram, Record, ReportedLoads, ServiceLoad, UpstreamLoad, short_hash};
use crate::holder;
use crate::member::{DISCOVERY_GOSSIP_INTERVAL, GOSSIP_INTERVAL, Member, Members};
use crate::quota::{self, Quota};
use crate::rendezvous;
use crate::token;
use crate::upstream::{Entry, ReportedLoad, Upstream, Upstreams};

/// Identifies this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name, unique among all instances.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// The address at which clients and other instances reach it.
    pub ip: Ipv4Addr,
    /// Start time of its process in milliseconds since 1970; identifies the run.
    pub incarnation: u64,
}

/// Parameters of the routing decisions, from the settings. The limits hold for all instances
/// together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Limit on retries.
    pub budget: budget::Limit,
    /// How far customers may exceed their rates.
    pub quota: quota::Tolerance,
    /// Limit on requests to cold upstreams.
    pub cold: cold::Limit,
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_per_ms: f64,
    /// One-way delay between regions.
    pub region_delay: Duration,
}

/// Time after an outage of the store in which entries that expired during the outage may be
/// published again. The store's documentation gives about two seconds.
pub const REPUBLISH_GRACE: Duration = Duration::from_millis(2_500);

/// Weight of the newest request in the moving average of request durations.
const REQUEST_DURATION_GAIN: f64 = 0.02;

/// Request duration in milliseconds that is assumed before any was measured.
const DEFAULT_REQUEST_DURATION_MS: f64 = 1_000.0;

/// Milliseconds that an instance adds to the age of a reported load before it sends it; at
/// least the usual time in transit within a region.
const RELAY_DELAY_MS: u32 = 20;

/// Number of instances per region that read the store. With two, updates still arrive while
/// the failure of one is being detected.
const STORE_READERS_PER_REGION: usize = 2;

/// Fraction of an upstream's maximum number of connections that may be idle. Connections in
/// use are bounded by its slots.
const IDLE_CONNECTION_FRACTION: f64 = 0.5;

/// Maximum number of idle connections to an upstream that states no connection limit.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// All that an instance knows: its configuration, the upstreams and the other instances.
#[derive(Debug)]
pub struct Board {
    /// Identifies this instance.
    pub identity: Identity,
    /// Hash of this instance's name.
    name_hash: u32,
    /// Parameters of the routing decisions.
    pub parameters: Parameters,
    /// Region of each failure domain.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// Region of each failure domain, by the hash of the domain's name.
    regions_by_hash: HashMap<u32, SmolStr>,
    /// The active configuration; `None` until one was received.
    pub config: Option<Arc<Config>>,
    /// Failure domains that are being evacuated; their upstreams receive no new requests.
    pub evacuated: HashSet<SmolStr>,
    /// The upstreams of this region.
    pub upstreams: Upstreams,
    /// The other instances.
    pub members: Members,
    /// The token buckets of customers that this instance keeps.
    pub quota: Quota,
    /// Whether this instance has discovered the others since its start.
    pub discovery_done: bool,
    /// The retries that this instance may make.
    pub budget: RetryBudget,
    /// Corrections of estimated waits, by service.
    pub wait_corrections: HashMap<SmolStr, WaitCorrection>,
    /// Moving average of the request duration in milliseconds, by service.
    pub request_durations_ms: HashMap<SmolStr, f64>,
    /// Number of requests by the name of their route, for routes that are restricted to
    /// regions.
    pub route_requests: HashMap<SmolStr, u64>,
    /// Random number generator, seeded once.
    pub rng: StdRng,
    /// Number of gossip rounds and replies begun so far; sent to the other instances as the
    /// heartbeat.
    pub heartbeat: u64,
    /// Time at which this instance began to drain, which it does before its process ends.
    pub draining_since: Option<Duration>,
    /// Time at which the store last failed, or answered again after a failure, for this or
    /// another instance.
    pub last_store_outage_at: Option<Duration>,
    /// Whether the store answers this instance, as far as it knows.
    pub store_answers: bool,
    /// Revision of the newest known change in the store, deletions included.
    pub revision: u64,
}

impl Board {
    /// Builds the board of a new process.
    pub fn new(
        identity: Identity,
        parameters: Parameters,
        regions: HashMap<SmolStr, SmolStr>,
        rng_seed: u64,
    ) -> Self {
        let regions_by_hash = regions
            .iter()
            .map(|(domain, region)| (short_hash(domain), region.clone()))
            .collect();
        let quota = Quota::new(parameters.quota, region_count(&regions));
        Self {
            name_hash: short_hash(&identity.name),
            identity,
            parameters,
            regions,
            regions_by_hash,
            config: None,
            evacuated: HashSet::new(),
            upstreams: Upstreams::default(),
            members: Members::default(),
            quota,
            discovery_done: false,
            budget: RetryBudget::new(parameters.budget),
            wait_corrections: HashMap::new(),
            request_durations_ms: HashMap::new(),
            route_requests: HashMap::new(),
            rng: StdRng::seed_from_u64(rng_seed),
            heartbeat: 0,
            draining_since: None,
            last_store_outage_at: None,
            store_answers: true,
            revision: 0,
        }
    }

    /// Replaces the parameters. Usage that was counted under the previous ones remains
    /// counted.
    pub fn set_parameters(&mut self, parameters: Parameters) {
        self.parameters = parameters;
        self.quota.set_tolerance(parameters.quota);
        self.budget.set_limit(parameters.budget);
    }

    /// Returns whether clients should be sent to this instance: it has a configuration, knows
    /// the other instances and is not draining. A draining instance still accepts requests for a while.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.discovery_done && self.draining_since.is_none()
    }

    /// Returns for how long this instance has been draining; `None` if it is not.
    pub fn draining_for(&self, now: Duration) -> Option<Duration> {
        self.draining_since.map(|at| now.saturating_sub(at))
    }

    /// Activates a configuration unless the active one is as new or newer. Returns whether
    /// it was activated.
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
        let limits = config
            .customers
            .iter()
            .map(|c| (token::customer_hash(&c.name), c.rate, c.burst));
        self.quota.set_limits(now, &limits.collect::<Vec<_>>());
        holder::update_buckets(self, now);
        self.config = Some(Arc::new(config));
        true
    }

    /// Adds or updates a published upstream. Upstreams of other regions are ignored, since
    /// they accept no connections from this one.
    pub fn put_upstream(&mut self, now: Duration, entry: Entry) {
        let region = self.regions.get(&entry.domain);
        if region != Some(&self.identity.region) {
            return;
        }
        let warmup = self.warmup(&entry.service);
        self.upstreams.put(now, entry, warmup);
    }

    /// Handles the removal of an upstream's entry from the store. During and shortly after
    /// an outage of the store the upstream is kept for a while, because its entry may be
    /// published again.
    pub fn remove_upstream(&mut self, now: Duration, id: &str) {
        let grace_end = self.last_store_outage_at.map(|at| at + REPUBLISH_GRACE);
        match grace_end {
            Some(until) if now < until => self.upstreams.schedule_removal(id, until),
            _ => self.upstreams.remove(id),
        }
    }

    /// Records how long a first event took compared with its estimate, to correct later
    /// estimates.
    pub fn record_first_event(
        &mut self,
        now: Duration,
        service: &SmolStr,
        estimated: Duration,
        took: Duration,
    ) {
        let correction = self.wait_corrections.entry(service.clone()).or_default();
        correction.record(now, estimated, took);
    }

    /// Records how long a request took, from the start of the attempt to the end of the
    /// answer.
    pub fn record_request_duration(&mut self, service: &SmolStr, took: Duration) {
        let request_duration_ms = took.as_secs_f64() * 1_000.0;
        let average = self
            .request_durations_ms
            .entry(service.clone())
            .or_insert(DEFAULT_REQUEST_DURATION_MS);
        *average += REQUEST_DURATION_GAIN * (request_duration_ms - *average);
    }

    /// Returns the average time in milliseconds until an upstream with `slots` slots, all
    /// of them in use, frees one.
    pub fn slot_release_ms(&self, service: &str, slots: u32) -> f64 {
        let request_duration_ms = self
            .request_durations_ms
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_REQUEST_DURATION_MS);
        request_duration_ms / f64::from(slots.max(1))
    }

    /// Counts a request on a route that is restricted to regions. [`crate::place`] uses the
    /// counts to decide which regions clients may be sent to.
    pub fn record_route_request(&mut self, route: &Route) {
        if !route.allowed_regions.is_empty() {
            *self.route_requests.entry(route.name.clone()).or_default() += 1;
        }
    }

    /// Starts or ends the evacuation of a failure domain.
    pub fn set_evacuated(&mut self, now: Duration, domain: &str, evacuated: bool) {
        if evacuated {
            self.evacuated.insert(SmolStr::new(domain));
            return;
        }
        if !self.evacuated.remove(domain) {
            return;
        }
        // Upstreams may have restarted during the evacuation and may not have reported yet
        // that they are cold.
        let config = self.config.clone();
        let in_domain = |u: &&mut Upstream| u.entry.domain == domain;
        for upstream in self.upstreams.all.values_mut().filter(in_domain) {
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
    /// `service`, so that the connections of all instances in the region fit its limit.
    pub fn max_idle_connections(&self, service: &str) -> usize {
        let service = self.config.as_ref().and_then(|c| c.services.get(service));
        match service.map_or(0, |s| s.max_connections) {
            0 => MAX_IDLE_CONNECTIONS,
            max_connections => {
                let idle = f64::from(max_connections) * IDLE_CONNECTION_FRACTION
                    / self.region_instance_count() as f64;
                // CAST: the number of connections is small.
                (idle as usize).clamp(1, MAX_IDLE_CONNECTIONS)
            }
        }
    }

    /// Returns the hash of this instance's name.
    pub fn name_hash(&self) -> u32 {
        self.name_hash
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        region_count(&self.regions)
    }

    /// Returns the number of known instances, including this one.
    pub fn instance_count(&self) -> usize {
        self.members.all.len() + 1
    }

    /// Returns the number of known instances in this region, including this one.
    pub fn region_instance_count(&self) -> usize {
        let same_region = |m: &&Member| m.region == self.identity.region;
        self.members.all.values().filter(same_region).count() + 1
    }

    /// Returns the time until the next gossip round.
    pub fn gossip_interval(&self) -> Duration {
        if self.discovery_done {
            GOSSIP_INTERVAL
        } else {
            DISCOVERY_GOSSIP_INTERVAL
        }
    }

    /// Starts a gossip round and returns this instance's datagram, without the fields that
    /// depend on the receiver.
    pub fn begin_gossip_round(&mut self, now: Duration) -> Datagram {
        self.heartbeat += 1;
        self.members.remove_silent(now);
        self.upstreams.remove_due(now);
        self.sum_other_loads(now);
        holder::update_buckets(self, now);
        Datagram {
            sender: Record {
                heartbeat: self.heartbeat,
                ..self.own_record(now)
            },
            other_records: self.members.sample_records(now, &mut self.rng),
            heard_ages: None,
            wanted_name_hashes: self.members.take_unknown(),
            revision: self.revision,
            service_loads: self.service_loads(now),
            upstream_loads: Vec::new(),
            reported_loads: None,
            seen_heartbeat: 0,
            // CAST: bounded by `REPUBLISH_GRACE`.
            store_outage_age_ms: self
                .last_store_outage_at
                .map(|at| now.saturating_sub(at))
                .filter(|age| *age < REPUBLISH_GRACE)
                .map_or(0, |age| age.as_millis().max(1) as u32),
        }
    }

    /// Returns the reply to a datagram whose sender does not know this instance or asks for
    /// records, without the fields that depend on the receiver. A reply counts as a round of
    /// its own.
    pub fn begin_gossip_reply(&mut self, now: Duration, datagram: &Datagram) -> Datagram {
        let mut reply = self.begin_gossip_round(now);
        reply
            .other_records
            .extend(self.members.records_for(&datagram.wanted_name_hashes));
        reply
    }

    /// Returns a datagram that only announces this instance's newest revision.
    pub fn revision_datagram(&self, now: Duration) -> Datagram {
        Datagram {
            sender: self.own_record(now),
            revision: self.revision,
            ..Datagram::default()
        }
    }

    /// Returns this instance's record without its heartbeat.
    fn own_record(&self, now: Duration) -> Record {
        let draining = self.draining_for(now);
        Record {
            name: self.identity.name.to_string(),
            domain_hash: short_hash(&self.identity.domain),
            ip: self.identity.ip.to_bits(),
            incarnation: self.identity.incarnation,
            ready: self.is_ready(),
            // CAST: stopping takes seconds.
            draining_time_ms: draining.map_or(0, |d| d.as_millis().max(1) as u32),
            store_answers: self.store_answers,
            keeps_buckets: true,
            ..Record::default()
        }
    }

    /// Returns whether this instance reads the store for its region. The instances with the
    /// highest rendezvous weights do, among those that are alive, are not draining and get
    /// answers from the store.
    pub fn is_store_reader(&self, now: Duration) -> bool {
        if !self.store_answers {
            return false;
        }
        let weight = |name: &str| rendezvous::weight(self.identity.region.as_bytes(), name);
        let own_weight = weight(&self.identity.name);
        let higher = self.members.alive(now).filter(|m| {
            m.region == self.identity.region
                && m.record.store_answers
                && m.record.draining_time_ms == 0
                && weight(&m.record.name) > own_weight
        });
        higher.count() < STORE_READERS_PER_REGION
    }

    /// Returns whether another instance of the region can read the store.
    pub fn can_another_read_store(&self, now: Duration) -> bool {
        let mut peers = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region);
        peers.any(|m| m.record.store_answers && m.record.draining_time_ms == 0)
    }

    /// Returns the addresses of the other instances in this region that are alive.
    pub fn region_peers(&self, now: Duration) -> Vec<Ipv4Addr> {
        let peers = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region);
        peers.map(Member::ip).collect()
    }

    /// Fills in the fields of a datagram that depend on its receiver, the instance at `ip`.
    pub fn complete_datagram(&mut self, now: Duration, datagram: &mut Datagram, ip: Ipv4Addr) {
        let receiver = self.members.all.values().find(|m| m.ip() == ip);
        datagram.seen_heartbeat = receiver.map_or(0, |m| m.record.heartbeat);
        let same_region = receiver.is_some_and(|m| m.region == self.identity.region);
        datagram.upstream_loads = if same_region {
            self.own_upstream_loads()
        } else {
            Vec::new()
        };
        datagram.reported_loads = same_region.then(|| self.reported_loads(now));
        datagram.heard_ages = self.members.recent_ages(now, &mut self.rng);
    }

    /// Returns the loads that upstreams reported recently to this or other instances.
    fn reported_loads(&self, now: Duration) -> ReportedLoads {
        let max_loads = self.members.max_reported_loads();
        let mut loads = ReportedLoads::default();
        let mut recent: Vec<_> = self.upstreams.recent_reports(now).collect();
        recent.sort_by_key(|(_, age)| *age);
        for (upstream, age) in recent.into_iter().take(max_loads) {
            let Some((_, load, _)) = upstream.reported_load else {
                continue;
            };
            // CAST: at most `REPORTED_LOAD_LIFETIME`.
            let age_ms = age.as_millis() as u32;
            loads.upstream_hashes.push(upstream.id_hash);
            loads.running.push(load.running);
            loads.queued.push(load.queued);
            loads
                .ages_10_ms
                .push((age_ms + RELAY_DELAY_MS).div_ceil(10));
        }
        loads
    }

    fn apply_reported_loads(&mut self, now: Duration, loads: &ReportedLoads) {
        let counts = loads.running.iter().zip(&loads.queued);
        let reports = loads
            .upstream_hashes
            .iter()
            .zip(&loads.ages_10_ms)
            .zip(counts);
        let reports = reports.map(|((hash, age), (running, queued))| {
            let age = Duration::from_millis(u64::from(*age) * 10);
            let load = ReportedLoad {
                running: *running,
                queued: *queued,
            };
            (*hash, (now.saturating_sub(age), load))
        });
        self.upstreams.record_relayed_loads(&reports.collect());
    }

    /// Returns the load that this instance has put on upstreams; only the busiest ones if there
    /// are more than a datagram may contain.
    fn own_upstream_loads(&self) -> Vec<UpstreamLoad> {
        let mut busy: Vec<&Upstream> = self
            .upstreams
            .all
            .values()
            .filter(|u| u.in_progress > 0)
            .collect();
        let max_loads = self.members.max_upstream_loads();
        if busy.len() > max_loads {
            busy.sort_by_key(|u| std::cmp::Reverse((u.prefill_tokens, u.in_progress)));
            busy.truncate(max_loads);
        }
        // CAST: token counts of one instance at one upstream are far below 2^32.
        let loads = busy.into_iter().map(|u| UpstreamLoad {
            upstream_hash: u.id_hash,
            in_progress: u.in_progress,
            prefill_tokens: u.prefill_tokens as u32,
            kv_tokens: u.kv_tokens as u32,
        });
        loads.collect()
    }

    fn service_loads(&self, now: Duration) -> Vec<ServiceLoad> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let loads = config.services.values().map(|service| {
            let (wait, usable) = crate::admit::service_load(self, now, &service.name);
            // CAST: waits are at most minutes, and upstreams at most thousands.
            ServiceLoad {
                service_hash: short_hash(&service.name),
                wait_ms: wait.as_millis() as u32,
                usable_upstreams: usable as u32,
            }
        });
        loads.collect()
    }

    /// Handles a datagram. Returns whether it should be answered at once, because its
    /// sender does not know this instance yet or asks for records.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &Datagram) -> bool {
        let regions = &self.regions_by_hash;
        let region_of = |domain_hash: u32| regions.get(&domain_hash).cloned();
        let own_name = self.identity.name.as_str();
        if datagram.sender.name == own_name {
            return false;
        }
        // Only `revision_datagram` leaves the heartbeat at 0.
        if datagram.sender.heartbeat == 0 {
            self.members
                .record_revision(&datagram.sender.name, datagram.revision);
            return false;
        }
        self.members
            .apply_datagram(now, own_name, datagram, region_of);
        if datagram.store_outage_age_ms > 0 {
            let at = now.saturating_sub(Duration::from_millis(datagram.store_outage_age_ms.into()));
            self.last_store_outage_at =
                Some(self.last_store_outage_at.map_or(at, |known| known.max(at)));
        }
        self.sum_other_loads(now);
        if let Some(loads) = &datagram.reported_loads {
            self.apply_reported_loads(now, loads);
        }
        datagram.seen_heartbeat == 0 || !datagram.wanted_name_hashes.is_empty()
    }

    /// Sums the load that the other instances of the region have put on each upstream.
    fn sum_other_loads(&mut self, now: Duration) {
        let members: Vec<_> = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region)
            .collect();
        for upstream in self.upstreams.all.values_mut() {
            let mut sum = UpstreamLoad::default();
            for member in &members {
                let Some(load) = member.upstream_loads.1.get(&upstream.id_hash) else {
                    continue;
                };
                sum.in_progress += load.in_progress;
                sum.prefill_tokens += load.prefill_tokens;
                sum.kv_tokens += load.kv_tokens;
            }
            upstream.others_load = sum;
        }
    }
}

/// Returns the number of different regions.
fn region_count(regions: &HashMap<SmolStr, SmolStr>) -> usize {
    regions.values().collect::<HashSet<_>>().len().max(1)
}
