//! The other instances: which are known, which are alive, and which receive datagrams.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use smol_str::SmolStr;

use crate::dispatch::capacity::Capacity;
use crate::gossip::{Datagram, HeardAges, Record, UpstreamLoad, short_hash};
use crate::member::change::{Changes, Evidence};
use crate::member::last_known::LastKnown;
use crate::member::news::News;

pub mod change;
pub mod last_known;
mod news;
pub mod transition;

/// Time between two gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two gossip rounds of an instance that is still discovering the others.
pub const DISCOVERY_GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a member is no longer considered alive in a fleet of up to
/// `LARGE_FLEET_THRESHOLD` members: six rounds. Updates about members of other regions take
/// up to three rounds to arrive, and three rounds in a row must be lost before a live member
/// is considered dead.
pub const ALIVE_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Silence after which a member is removed and other instances refill its token buckets.
/// Longer than the network partitions that must be tolerated.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time by which a stop or start may seem to have been too early, since ages grow when they are relayed.
const RELAYED_AGE_ERROR: Duration = Duration::from_millis(1_300);

/// Time for which a datagram may have been in transit that was sent before its sender began to drain.
const MAX_TRANSIT_TIME: Duration = Duration::from_secs(2);

/// Time for which the owners of limits are selected by the news that a member is not ready.
const NOT_READY_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which a removed member counts as lost. Longer than any partition that is expected, since
/// after it both sides of one would use the whole of each limit.
pub const LOST_LIFETIME: Duration = Duration::from_secs(600);

/// Time after its start in which an instance discovers the others. If it has heard from none
/// by then, it assumes that it is the only one. Until then it sends no requests to cold
/// upstreams that have a rate limit.
pub const DISCOVERY_TIME: Duration = Duration::from_millis(1_600);

/// Number of members that receive a datagram in each round.
const FANOUT: usize = 7;

/// Maximum number of other instances' records in one datagram, so that it fits into one
/// packet.
pub const MAX_RECORDS: usize = 10;

/// Number of members above which [`LARGE_FLEET`] applies. Datagrams then mostly contain the
/// times at which members were last heard from, so that an instance stays below the limit
/// of 6 KB/s for control traffic.
const LARGE_FLEET_THRESHOLD: usize = 100;

/// Limits on the contents of datagrams, and the resulting delays, by number of members.
#[derive(Clone, Copy, Debug)]
struct GossipLimits {
    /// Minimum number of members in other regions that receive a datagram in each round.
    min_other_region_receivers: usize,
    /// Maximum number of other instances' records in one datagram.
    max_records: usize,
    /// Maximum number of members for which only the time since they were last heard from is
    /// sent.
    max_ages: usize,
    /// Maximum number of upstreams for which the sender's load is sent; the busiest come
    /// first.
    max_upstreams: usize,
    /// Maximum number of upstreams for which the load that they reported is sent.
    max_reported_loads: usize,
    /// Average number of rounds after which one of the seeds, the instances that the
    /// settings name as first contacts, receives a datagram.
    rounds_per_seed_datagram: u32,
    /// Silence after which a member is no longer considered alive.
    alive_timeout: Duration,
}

/// Settings for up to [`LARGE_FLEET_THRESHOLD`] members: nearly everything is sent to every
/// member.
const SMALL_FLEET: GossipLimits = GossipLimits {
    min_other_region_receivers: 2,
    max_records: MAX_RECORDS,
    max_ages: 0,
    max_upstreams: usize::MAX,
    max_reported_loads: 12,
    rounds_per_seed_datagram: 1,
    alive_timeout: ALIVE_TIMEOUT,
};

/// Settings that stay below 6 KB/s at 350 instances. Most members are in other regions, and
/// updates about them take about twice as many rounds.
const LARGE_FLEET: GossipLimits = GossipLimits {
    min_other_region_receivers: 3,
    max_records: 1,
    max_ages: 36,
    max_upstreams: 2,
    max_reported_loads: 12,
    rounds_per_seed_datagram: 8,
    alive_timeout: Duration::from_millis(4_800),
};

/// Number of randomly selected members for each age that is sent.
const AGE_CANDIDATES: usize = 2;

/// Maximum number of records in a reply to a sender that asks for them, so that they fit
/// into one packet.
const MAX_REQUESTED_RECORDS: usize = 30;

/// Time that each instance adds to an age before it sends it; at least the time in transit.
/// Without it, an age that returns to its origin would have decreased, and instances that
/// pass it around would keep a silent member alive.
const RELAY_AGE_INCREMENT: Duration = Duration::from_millis(100);

/// Time for which the reported load of a service remains valid.
const SERVICE_LOAD_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which the capacity of a service in another region is believed, unless a newer one is heard of.
const CAPACITY_LIFETIME: Duration = Duration::from_secs(2);

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest record.
    pub record: Record,
    /// Hash of its name.
    pub name_hash: u32,
    /// Its region.
    pub region: SmolStr,
    /// When it was last known to run.
    pub last_heard: LastKnown,
    /// When it was last known to run in the run of `record`. Not later than `last_heard`, which is also
    /// renewed by ages, and those name no run.
    pub run_heard: LastKnown,
    /// Time until which it is not asked for tokens, because it did not answer.
    pub unanswered_until: Duration,
    /// When it was asked for a loan, if it has not answered since.
    pub loan_requested_at: Option<Duration>,
    /// Load that it has put on upstreams of its region, by the hash of the upstream's id,
    /// and when it was reported.
    pub upstream_loads: (Duration, HashMap<u32, UpstreamLoad>),
    /// Requests of this instance that are in progress at the member.
    pub forwarded_in_progress: u32,
    /// Revision of the newest change in the store that it knows.
    pub revision: u64,
    /// Version of its configuration; 0 if it has none, or is of an earlier version that does not say.
    pub config_version: u64,
    /// Time until which it is not asked for permits, because it did not answer.
    pub silent_owner_until: Duration,
    /// Time until which it is not asked for permits, because it said that it is not ready.
    pub declined_owner_until: Duration,
    /// Time until which it is not asked as a dispatcher, because it did not answer.
    pub silent_dispatcher_until: Duration,
    /// When the run of `record` was first known to run.
    run_known_since: LastKnown,
    /// When its newest run began to drain, if it is known to.
    pub draining_since: Option<LastKnown>,
    /// When its newest run became ready, if that was heard of; that may be a run after that of `record`. `None` once
    /// a later record says that it is not ready.
    ready_since: Option<LastKnown>,
    /// Number of datagrams that have contained the newest of its transitions.
    transition_sends: usize,
    /// Whether it keeps the limits of upstreams ([`crate::limit`]); instances of earlier versions do not. Unknown
    /// ones count as of this version.
    pub keeps_limits: bool,
    /// Whether it takes part in [`crate::quarantine`]; instances of earlier versions do not. Unknown ones
    /// count as of this version.
    pub judges_suspects: bool,
}

impl Member {
    /// Returns its address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.record.ip)
    }

    /// Returns whether it takes requests, as far as is known.
    pub fn is_ready(&self) -> bool {
        let was_ready = self.record.ready || self.ready_since.is_some();
        was_ready && self.draining_since.is_none()
    }

    /// Returns whether it may own limits. Records take long to reach all instances of a large fleet, so one that was
    /// not ready some time ago may be by now.
    pub fn may_own_limits(&self, now: Duration) -> bool {
        let was_ready = self.record.ready || self.ready_since.is_some();
        let may_be_ready = was_ready || self.run_heard.silence(now) > NOT_READY_LIFETIME;
        may_be_ready && self.draining_since.is_none() && now >= self.declined_owner_until
    }

    /// Returns for how long it has been draining; `None` if it is not known to.
    pub fn draining_for(&self, now: Duration) -> Option<Duration> {
        self.draining_since.map(|at| at.silence(now))
    }

    /// Takes the member for ready again if it was last heard from after a stop that lasts up to `stop_time` must have
    /// ended. Another run of it is alive then, whose record may take longer to arrive.
    fn end_stop(&mut self, now: Duration, stop_time: Duration) {
        let Some(began_at) = self.draining_since else {
            return;
        };
        if self.silence(now) + stop_time < began_at.silence(now) {
            self.draining_since = None;
            self.run_known_since = LastKnown::new(now, Duration::ZERO);
            self.record.draining_time_ms = 0;
            self.record.ready = true;
        }
    }

    /// Records that the member itself has said, `age` ago, that it does not drain. What was heard before may have
    /// been of the run before.
    fn refute_draining(&mut self, now: Duration, age: Duration) {
        let is_refuted = |at: &LastKnown| at.silence(now) > age + MAX_TRANSIT_TIME;
        self.draining_since = self.draining_since.filter(|at| !is_refuted(at));
    }

    /// Returns the time since it was last known to run.
    pub fn silence(&self, now: Duration) -> Duration {
        self.last_heard.silence(now)
    }

    /// Returns its record for the datagram of another instance, with the age of what it says.
    fn relayed_record(&self, now: Duration) -> Record {
        let age = self.silence(now);
        let run_age = self.run_heard.silence(now).saturating_sub(age);
        Record {
            age_tenths: Some(to_tenths(age + RELAY_AGE_INCREMENT)),
            run_age_tenths: to_tenths(run_age),
            ready: self.is_ready(),
            draining_time_ms: match self.is_ready() {
                true => 0,
                false => self.record.draining_time_ms,
            },
            ..self.record.clone()
        }
    }
}

/// Returns `age` in tenths of a second, rounded up.
fn to_tenths(age: Duration) -> u32 {
    u32::try_from(age.as_millis().div_ceil(100)).unwrap_or(u32::MAX)
}

fn from_tenths(tenths: u32) -> Duration {
    Duration::from_millis(u64::from(tenths) * 100)
}

/// Load of a service in a region, as last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedServiceLoad {
    /// When it was reported.
    pub reported_at: Duration,
    /// Estimated wait of a new request.
    pub wait: Duration,
    /// Number of upstreams that accept requests and are not full.
    pub usable_upstreams: u32,
    /// Number of requests that other regions may have in progress there at once; `None` from instances of earlier
    /// versions.
    pub room: Option<u32>,
    /// The capacity that its dispatcher stated, if it is dispatched.
    pub capacity: Option<Capacity>,
    /// When its dispatcher stated the capacity.
    capacity_at: Duration,
}

/// A member that fell silent and was removed.
#[derive(Debug)]
struct LostMember {
    region: SmolStr,
    /// Its address, at which it may be reached again.
    ip: Ipv4Addr,
    removed_at: Duration,
}

/// All known instances except this one.
#[derive(Debug, Default)]
pub struct Members {
    /// Members by name.
    pub all: BTreeMap<SmolStr, Member>,
    /// Loads of services by region and hash of the service's name.
    service_loads: HashMap<(SmolStr, u32), ReceivedServiceLoad>,
    /// Members that were removed without having drained, by name. They may have ended, or serve behind
    /// a partition.
    lost: HashMap<SmolStr, LostMember>,
    /// When a member was last added.
    pub last_joined: Duration,
    /// Hashes of the names of instances that other members know and this one does not;
    /// without duplicates.
    unknown_instances: Vec<u32>,
    /// What changed since the changes were last taken.
    pub changes: Changes,
    /// Time after the start of a stop by which it has ended, as far as is known here.
    stop_time: Duration,
}

impl Members {
    /// Returns no instances; their stops last up to `stop_limit`.
    pub fn new(stop_limit: Duration) -> Self {
        let mut members = Self::default();
        members.set_stop_limit(stop_limit);
        members
    }

    /// Sets the maximum duration of a stop.
    pub fn set_stop_limit(&mut self, stop_limit: Duration) {
        self.stop_time = stop_limit + RELAYED_AGE_ERROR;
    }

    fn limits(&self) -> GossipLimits {
        if self.all.len() > LARGE_FLEET_THRESHOLD {
            LARGE_FLEET
        } else {
            SMALL_FLEET
        }
    }

    /// Returns whether news of an instance reach all others within a few rounds.
    pub fn is_small_fleet(&self) -> bool {
        self.all.len() <= LARGE_FLEET_THRESHOLD
    }

    /// Returns the silence after which a member is no longer considered alive.
    pub fn alive_timeout(&self) -> Duration {
        self.limits().alive_timeout
    }

    /// Returns the maximum number of upstreams for which the sender's load is sent.
    pub fn max_upstream_loads(&self) -> usize {
        self.limits().max_upstreams
    }

    /// Returns the maximum number of upstreams for which the reported load is sent.
    pub fn max_reported_loads(&self) -> usize {
        self.limits().max_reported_loads
    }

    /// Returns whether `member` was heard from recently.
    pub fn is_alive(&self, member: &Member, now: Duration) -> bool {
        member.silence(now) < self.alive_timeout()
    }

    /// Returns the members that were heard from recently.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.all.values().filter(move |m| self.is_alive(m, now))
    }

    /// Returns the members that are alive and ready.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.alive(now).filter(|m| m.is_ready())
    }

    /// Records that an instance has refused a request because it stops.
    pub fn record_stopping(&mut self, now: Duration, name: &str) {
        if let Some(member) = self.all.get_mut(name) {
            member.record_draining(now, Duration::ZERO);
        }
    }

    /// Returns the load of a service in `region`, or `None` if there is no recent report.
    pub fn service_load(
        &self,
        now: Duration,
        region: &SmolStr,
        service_hash: u32,
    ) -> Option<ReceivedServiceLoad> {
        let load = self.last_service_load(region, service_hash)?;
        (now.saturating_sub(load.reported_at) < SERVICE_LOAD_LIFETIME).then_some(load)
    }

    /// Returns the load of a service in `region`, or `None` if there was never a report.
    pub fn last_service_load(
        &self,
        region: &SmolStr,
        service_hash: u32,
    ) -> Option<ReceivedServiceLoad> {
        self.service_loads
            .get(&(region.clone(), service_hash))
            .copied()
    }

    /// Adds `wait` to the load of a region to which a request is forwarded, so that later
    /// requests do not all go there before its next report.
    pub fn add_wait(&mut self, region: &SmolStr, service_hash: u32, wait: Duration) {
        if let Some(load) = self.service_loads.get_mut(&(region.clone(), service_hash)) {
            load.wait += wait;
        }
    }

    /// Counts a request that is forwarded to the region with this hash and reads for `read_ms` there, until its
    /// next report.
    pub fn take_capacity(&mut self, region_hash: u32, service_hash: u32, read_ms: f64) {
        let loads = self.service_loads.iter_mut();
        let mut of_region =
            loads.filter(|((r, s), _)| *s == service_hash && short_hash(r) == region_hash);
        if let Some(capacity) = of_region
            .next()
            .and_then(|(_, load)| load.capacity.as_mut())
        {
            capacity.take(read_ms);
        }
    }

    /// Records the revision of the newest change in the store that a member knows.
    pub fn record_revision(&mut self, name: &str, revision: u64) {
        if let Some(member) = self.all.get_mut(name) {
            member.revision = member.revision.max(revision);
        }
    }

    /// Applies a datagram that may have waited to be read for up to `waited`. `own_name` is this instance's name.
    pub fn apply_datagram(
        &mut self,
        now: Duration,
        waited: Duration,
        own_name: &str,
        datagram: &Datagram,
        region_of: impl Fn(u32) -> Option<SmolStr>,
    ) {
        let news = News {
            record: &datagram.sender,
            evidence: Evidence::Datagram,
            age: waited,
            run_age: waited,
        };
        self.apply_news(now, own_name, &news, &region_of);
        for record in &datagram.other_records {
            // Instances of earlier versions relay records of live members without an age.
            let age = record.age_tenths.map(from_tenths);
            let age = age.unwrap_or(self.alive_timeout() / 2) + waited;
            let news = News {
                record,
                evidence: Evidence::Record,
                age,
                run_age: age + from_tenths(record.run_age_tenths),
            };
            self.apply_news(now, own_name, &news, &region_of);
        }
        if let Some(ages) = &datagram.heard_ages {
            self.apply_ages(now, waited, own_name, ages);
        }
        if let Some(stops) = &datagram.recent_stops {
            self.apply_stops(now, waited, stops);
        }
        if let Some(starts) = &datagram.recent_starts {
            self.apply_starts(now, waited, own_name, starts);
        }
        let Some(member) = self.all.get_mut(datagram.sender.name.as_str()) else {
            return;
        };
        member.revision = datagram.revision;
        member.config_version = datagram.config_version;
        member.judges_suspects = datagram.quarantine_digest.is_some();
        member.keeps_limits = datagram.limits_digest.is_some();
        let upstream_loads = datagram
            .upstream_loads
            .iter()
            .map(|load| (load.upstream_hash, load.clone()));
        let made_at = now.saturating_sub(waited);
        member.upstream_loads = (made_at, upstream_loads.collect());
        for load in &datagram.service_loads {
            let key = (member.region.clone(), load.service_hash);
            let capacity = load.capacity.as_ref().map(Capacity::from);
            let age = Duration::from_millis(load.capacity_age_ms.into());
            let mut capacity = (capacity, made_at.saturating_sub(age));
            if let Some(known) = self.service_loads.get(&key)
                && known.capacity.is_some()
                && (capacity.0.is_none() || known.capacity_at > capacity.1)
                && now.saturating_sub(known.capacity_at) < CAPACITY_LIFETIME
            {
                capacity = (known.capacity, known.capacity_at);
            }
            let service_load = ReceivedServiceLoad {
                reported_at: made_at,
                wait: Duration::from_millis(load.wait_ms.into()),
                usable_upstreams: load.usable_upstreams,
                room: load.room,
                capacity: capacity.0,
                capacity_at: capacity.1,
            };
            self.service_loads.insert(key, service_load);
        }
    }

    /// Removes members that have been silent for [`REMOVAL_TIMEOUT`]. Those that did not announce
    /// their end count as lost for [`LOST_LIFETIME`].
    pub fn remove_silent(&mut self, now: Duration) {
        let silent = |m: &Member| m.silence(now) >= REMOVAL_TIMEOUT;
        let lost = self.all.iter().filter(|(_, m)| silent(m));
        for (name, member) in lost.filter(|(_, m)| m.draining_since.is_none()) {
            let lost = LostMember {
                region: member.region.clone(),
                ip: member.ip(),
                removed_at: now,
            };
            self.lost.insert(name.clone(), lost);
        }
        self.all.retain(|_, m| !silent(m));
        self.lost
            .retain(|_, lost| now.saturating_sub(lost.removed_at) < LOST_LIFETIME);
    }

    /// Returns the number of lost members.
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Returns the number of lost members of `region`.
    pub fn lost_count_in(&self, region: &str) -> usize {
        self.lost_in(region).count()
    }

    /// Returns the names of the lost members of `region`.
    pub fn lost_in(&self, region: &str) -> impl Iterator<Item = &SmolStr> {
        let of_region = self.lost.iter().filter(move |(_, l)| l.region == region);
        of_region.map(|(name, _)| name)
    }

    /// Selects the addresses that receive this round's datagram: members, including those
    /// that are not alive, and sometimes one of the `seeds` or of the lost members, since the seeds may be down for
    /// good; all seeds and several lost members while no member is known.
    pub fn receivers(&self, region: &str, seeds: &[Ipv4Addr], rng: &mut impl Rng) -> Vec<Ipv4Addr> {
        // Instances of the same region share its upstreams and need each other's load most.
        let (same_region, other_regions): (Vec<_>, Vec<_>) =
            self.all.values().partition(|m| m.region == region);
        let limits = self.limits();
        let same_region = same_region
            .into_iter()
            .map(Member::ip)
            .sample(rng, FANOUT - limits.min_other_region_receivers);
        let remaining = FANOUT - same_region.len();
        let mut receivers = other_regions
            .into_iter()
            .map(Member::ip)
            .sample(rng, remaining);
        receivers.extend(same_region);
        let (seed_count, lost_count) = match self.all.len() {
            0 => (seeds.len(), FANOUT),
            _ if !rng.random_ratio(1, limits.rounds_per_seed_datagram) => (0, 0),
            _ if !self.lost.is_empty() && rng.random() => (0, 1),
            _ => (1, 0),
        };
        let unused_seeds = seeds.iter().copied().filter(|s| !receivers.contains(s));
        receivers.extend(unused_seeds.sample(rng, seed_count));
        let lost = self.lost.values().map(|l| l.ip);
        let unused_lost = lost.filter(|ip| !receivers.contains(ip));
        receivers.extend(unused_lost.sample(rng, lost_count));
        receivers
    }

    /// Returns the newest records of randomly selected live members for a datagram.
    pub fn sample_records(&self, now: Duration, rng: &mut impl Rng) -> Vec<Record> {
        let alive_records = self.alive(now).map(|m| m.relayed_record(now));
        alive_records.sample(rng, self.limits().max_records)
    }

    /// Returns the records of live members that a sender asks for.
    pub fn records_for(&self, now: Duration, hashes: &[u32]) -> Vec<Record> {
        let requested = |m: &&Member| hashes.contains(&m.name_hash);
        self.alive(now)
            .filter(requested)
            .take(MAX_REQUESTED_RECORDS)
            .map(|m| m.relayed_record(now))
            .collect()
    }

    /// Returns and clears the hashes of unknown instances, to ask for their records.
    pub fn take_unknown(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.unknown_instances)
    }

    /// Returns when members were last heard from, for one datagram; `None` unless there are
    /// many members. They are the more recent ones of a random selection: every member is
    /// selected often, and news spread faster than old ages. Transitions take the place of `taken_places` ages.
    pub fn recent_ages(
        &self,
        now: Duration,
        taken_places: usize,
        rng: &mut impl Rng,
    ) -> Option<HeardAges> {
        let max_ages = self.limits().max_ages.saturating_sub(taken_places);
        if max_ages == 0 {
            return None;
        }
        let mut recent = self.alive(now).sample(rng, max_ages * AGE_CANDIDATES);
        recent.sort_by_key(|m| m.silence(now));
        recent.truncate(max_ages);
        let tenths = |m: &&Member| to_tenths(m.silence(now) + RELAY_AGE_INCREMENT);
        Some(HeardAges {
            instance_hashes: recent.iter().map(|m| m.name_hash).collect(),
            age_tenths: recent.iter().map(tenths).collect(),
        })
    }
}
