//! The board: the tables on which one instance bases all routing decisions.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;

use crate::availability::{Change, Notice};
use crate::budget::{self, RetryBudget};
use crate::cold;
use crate::config::{Config, Route};
use crate::correction::WaitCorrection;
use crate::drain::StreamDurations;
use crate::forwarded::Forwarded;
use crate::gossip::short_hash;
use crate::holder;
use crate::limit::Limits;
use crate::member::{LOST_LIFETIME, Member, Members};
use crate::quarantine::Quarantine;
use crate::quarantine::allowance::Allowance;
use crate::quota::{self, Quota};
use crate::rendezvous;
use crate::token;
use crate::upstream::{Entry, Key, Upstream, Upstreams};

mod absence;
pub mod dispatch;
mod gossip;
pub mod limit;
pub mod quarantine;
mod reader;

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
    /// Maximum duration of a planned stop, the same for all instances.
    pub stop_limit: Duration,
    /// Limit on retries.
    pub budget: budget::Limit,
    /// How far customers may exceed their rates.
    pub quota: quota::Tolerance,
    /// Limit on requests to cold upstreams.
    pub cold: cold::Limit,
    /// When and by whom services are dispatched.
    pub dispatch: crate::dispatch::Parameters,
    /// Prompt tokens that an engine prefills per millisecond, until that is measured.
    pub prefill_per_ms: f64,
    /// One-way delay between regions.
    pub region_delay: Duration,
    /// Whether the settings name other instances.
    pub expects_others: bool,
}

/// Number of instances that the system is designed for. If all of them start without reaching each other, they use each
/// limit once.
pub const MAX_INSTANCES: usize = 350;

/// Time after an outage of the store in which entries that expired during the outage may be
/// published again. The store's documentation gives about two seconds.
pub const REPUBLISH_GRACE: Duration = Duration::from_millis(2_500);

/// Weight of the newest request in the moving average of request durations.
const REQUEST_DURATION_GAIN: f64 = 0.02;

/// Request duration in milliseconds that is assumed before any was measured.
const DEFAULT_REQUEST_DURATION_MS: f64 = 1_000.0;

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
    /// Evacuations whose items are gone since shortly after an outage of the store, by failure domain,
    /// and when they end unless their items are published again.
    evacuations_ending: HashMap<SmolStr, Duration>,
    /// Era of the store in which the changes that are applied were made.
    pub store_era: u16,
    /// The upstreams of this region.
    pub upstreams: Upstreams,
    /// Limits that upstreams of this region have named.
    pub limits: Limits,
    /// Services whose requests are dispatched.
    dispatch: dispatch::Dispatch,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    /// For orders of the quarantine that are sent to instances whose digest differs.
    order_allowance: Allowance,
    /// The other instances.
    pub members: Members,
    /// Requests of this instance that are in progress in other regions.
    pub forwarded: Forwarded,
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
    /// How long streams take, by route.
    pub stream_durations: StreamDurations,
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
    /// Time of the first gossip round in which this instance was ready.
    ready_since: Option<Duration>,
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
        let regions_by_hash = by_hash(&regions);
        let quota = Quota::new(parameters.quota, region_count(&regions));
        Self {
            name_hash: short_hash(&identity.name),
            identity,
            parameters,
            regions,
            regions_by_hash,
            config: None,
            evacuated: HashSet::new(),
            evacuations_ending: HashMap::new(),
            store_era: 0,
            upstreams: Upstreams::default(),
            limits: Limits::default(),
            dispatch: dispatch::Dispatch::default(),
            quarantine: Quarantine::default(),
            order_allowance: Allowance::default(),
            members: Members::new(parameters.stop_limit),
            forwarded: Forwarded::default(),
            quota,
            discovery_done: false,
            budget: RetryBudget::new(parameters.budget),
            wait_corrections: HashMap::new(),
            request_durations_ms: HashMap::new(),
            stream_durations: StreamDurations::default(),
            route_requests: HashMap::new(),
            rng: StdRng::seed_from_u64(rng_seed),
            heartbeat: 0,
            draining_since: None,
            ready_since: None,
            last_store_outage_at: None,
            store_answers: true,
            revision: 0,
        }
    }

    /// Replaces the parameters. Usage that was counted under the previous ones remains
    /// counted.
    pub fn set_parameters(&mut self, parameters: Parameters) {
        self.parameters = parameters;
        self.members.set_stop_limit(parameters.stop_limit);
        self.quota.set_tolerance(parameters.quota);
        self.budget.set_limit(parameters.budget);
        self.update_dispatched();
    }

    /// Replaces the regions of the failure domains. The region of this instance must not change.
    pub fn set_regions(&mut self, regions: HashMap<SmolStr, SmolStr>) {
        self.regions_by_hash = by_hash(&regions);
        self.quota.set_regions(region_count(&regions));
        self.regions = regions;
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

    /// Returns whether another instance is known that takes requests while this one drains.
    pub fn has_ready_instance(&self, now: Duration) -> bool {
        self.members.ready(now).next().is_some()
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
        let routes: HashSet<&str> = config.routes.iter().map(|r| r.name.as_str()).collect();
        self.route_requests
            .retain(|name, _| routes.contains(name.as_str()));
        self.stream_durations.retain(|name| routes.contains(name));
        let limits = config
            .customers
            .iter()
            .map(|c| (token::customer_hash(&c.name), c.rate, c.burst));
        self.quota.set_limits(now, &limits.collect::<Vec<_>>());
        holder::update_buckets(self, now);
        self.config = Some(Arc::new(config));
        self.update_dispatched();
        true
    }

    /// Adds or updates a published upstream. Upstreams of other regions are ignored, since
    /// they accept no connections from this one.
    pub fn put_upstream(&mut self, now: Duration, entry: Entry) {
        let region = self.regions.get(&entry.domain);
        if region != Some(&self.identity.region) {
            return;
        }
        let grace_end = self.last_store_outage_at.map(|at| at + REPUBLISH_GRACE);
        if grace_end.is_some_and(|until| now < until) && self.upstreams.is_earlier_run(&entry) {
            // A restored store may contain entries of runs that have ended.
            return;
        }
        let warmup = self.warmup(&entry.service);
        self.upstreams.put(now, entry, warmup, self.store_era);
    }

    /// Handles the removal of an upstream's entry from the store. During and shortly after
    /// an outage of the store the upstream is kept for a while, because its entry may be
    /// published again.
    pub fn remove_upstream(&mut self, now: Duration, id: &str) {
        let grace_end = self.last_store_outage_at.map(|at| at + REPUBLISH_GRACE);
        let is_unverified = |key| self.upstreams.all[key].is_unverified(now);
        let is_unverified = self.upstreams.key(id).is_some_and(is_unverified);
        match grace_end {
            Some(until) if now < until && !is_unverified => {
                self.upstreams.schedule_removal(id, until);
            }
            _ => self.upstreams.remove(now, id, self.store_era),
        }
    }

    /// Records what an upstream announced in an answer. Returns what has changed about its
    /// availability.
    pub fn record_notice(&mut self, now: Duration, key: Key, notice: Notice) -> Option<Change> {
        if notice == Notice::default() {
            return None;
        }
        let spread = self.rng.random();
        self.upstreams.record_notice(now, key, notice, spread)
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

    /// Starts or ends the evacuation of a failure domain. During and shortly after an outage of the
    /// store an evacuation ends later, because its item may be published again.
    pub fn set_evacuated(&mut self, now: Duration, domain: &str, evacuated: bool) {
        self.evacuations_ending.remove(domain);
        if evacuated {
            self.evacuated.insert(SmolStr::new(domain));
            return;
        }
        let grace_end = self.last_store_outage_at.map(|at| at + REPUBLISH_GRACE);
        match grace_end {
            Some(until) if now < until && self.evacuated.contains(domain) => {
                self.evacuations_ending.insert(SmolStr::new(domain), until);
            }
            _ => self.end_evacuation(now, domain),
        }
    }

    /// Ends the evacuations whose items were not published again in time.
    pub(crate) fn end_due_evacuations(&mut self, now: Duration) {
        let due = self.evacuations_ending.iter().filter(|(_, at)| **at <= now);
        let due: Vec<SmolStr> = due.map(|(domain, _)| domain.clone()).collect();
        for domain in due {
            self.evacuations_ending.remove(&domain);
            self.end_evacuation(now, &domain);
        }
    }

    fn end_evacuation(&mut self, now: Duration, domain: &str) {
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

    /// Returns how many idle connections this instance may keep to an upstream of
    /// `service`, so that the connections of all instances in the region fit its limit.
    pub fn max_idle_connections(&self, now: Duration, service: &str) -> usize {
        let config = self.config.as_ref();
        let limits = config.and_then(|c| c.services.get(service));
        match limits.map_or(0, |s| s.max_connections) {
            0 => MAX_IDLE_CONNECTIONS,
            max_connections => {
                // CAST: the number of connections is small.
                let total = (f64::from(max_connections) * IDLE_CONNECTION_FRACTION) as usize;
                let instances = self.region_instance_count(now);
                let has_remainder = self.rank_in_region(service) < total % instances;
                (total / instances + usize::from(has_remainder)).min(MAX_IDLE_CONNECTIONS)
            }
        }
    }

    /// Returns the number of known instances of this region whose rendezvous weight for `key` is higher than
    /// this one's.
    fn rank_in_region(&self, key: &str) -> usize {
        let key = short_hash(key).into();
        let weight = |name_hash: u32| rendezvous::weight_of_hashes(key, name_hash.into());
        let own = weight(self.name_hash);
        let same_region = |m: &&Member| m.region == self.identity.region;
        let others = self.members.all.values().filter(same_region);
        others.filter(|m| weight(m.name_hash) > own).count()
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the hash of this instance's name.
    pub fn name_hash(&self) -> u32 {
        self.name_hash
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        region_count(&self.regions)
    }

    /// Returns whether this instance has heard from no other since its start, although its settings name some. They are
    /// then more likely cut off from it than absent.
    pub fn is_cut_off_since_start(&self, now: Duration) -> bool {
        let has_heard = !self.members.all.is_empty() || self.members.lost_count() > 0;
        !has_heard && self.parameters.expects_others && now < LOST_LIFETIME
    }

    /// Returns the number of instances, including this one and those that are lost; the maximum if nothing is known of
    /// the others. Limits that all share are divided by it.
    pub fn instance_count(&self, now: Duration) -> usize {
        if self.is_cut_off_since_start(now) {
            return MAX_INSTANCES;
        }
        self.members.all.len() + self.members.lost_count() + 1
    }

    /// Returns the number of instances in this region, including this one and those that are lost; the maximum if
    /// nothing is known of the others.
    pub fn region_instance_count(&self, now: Duration) -> usize {
        if self.is_cut_off_since_start(now) {
            return MAX_INSTANCES;
        }
        let region = &self.identity.region;
        let same_region = |m: &&Member| m.region == *region;
        let known = self.members.all.values().filter(same_region).count();
        known + self.members.lost_count_in(region) + 1
    }

    /// Returns the addresses of the other instances in this region that are alive.
    pub fn region_peers(&self, now: Duration) -> Vec<Ipv4Addr> {
        let peers = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region);
        peers.map(Member::ip).collect()
    }
}

fn by_hash(regions: &HashMap<SmolStr, SmolStr>) -> HashMap<u32, SmolStr> {
    let regions = regions.iter();
    regions.map(|(d, r)| (short_hash(d), r.clone())).collect()
}

/// Returns the number of different regions.
fn region_count(regions: &HashMap<SmolStr, SmolStr>) -> usize {
    regions.values().collect::<HashSet<_>>().len().max(1)
}
