//! The other instances: who is known, who is heard from, and who is spoken to.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use smol_str::SmolStr;

use crate::gossip::{Datagram, HeardAges, Record, UpstreamLoad, short_hash};

/// Time between two rounds of datagrams; three must be lost before a member is unheard.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which a member is no longer taken as alive: six rounds, since news of
/// far members takes up to three to arrive.
pub const ALIVE_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Silence after which a member is forgotten and its share of each rate is given away;
/// longer than the cuts that are to be borne.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Members spoken to in one round.
const FANOUT: usize = 7;

/// Records of others in one datagram, so that it fits one packet.
pub const MAX_RECORDS: usize = 10;

/// Members above which a fleet is large: datagrams then tell mostly who was heard lately,
/// so that an instance stays below the users' 6 KB a second.
const LARGE: usize = 100;

/// What datagrams hold and how long news takes, by the size of the fleet.
#[derive(Clone, Copy, Debug)]
struct Scale {
    /// Members of other regions that a round speaks to at least.
    far: usize,
    /// Records of others in one datagram.
    records: usize,
    /// Members of whom only the age of their news is told.
    ages: usize,
    /// Customers whose demand is told, those first that press most on their rates.
    customers: usize,
    /// Upstreams at which the sender's load is told, the busiest first.
    upstreams: usize,
    /// One in so many rounds speaks to a seed.
    seed_rounds: u32,
    /// Silence after which a member is no longer taken as alive.
    unheard: Duration,
    /// Time after which all others count on the demand that one told.
    news_time: Duration,
}

/// All is told to all, nearly.
const SMALL_FLEET: Scale = Scale {
    far: 2,
    records: MAX_RECORDS,
    ages: 0,
    customers: 12,
    upstreams: usize::MAX,
    seed_rounds: 1,
    unheard: ALIVE_TIMEOUT,
    news_time: Duration::from_millis(800),
};

/// What fits 6 KB a second at 350 instances. Most members are of other regions, and their
/// news takes about twice as many rounds; demand is told by direct datagrams, mostly.
const LARGE_FLEET: Scale = Scale {
    far: 3,
    records: 1,
    ages: 36,
    customers: 4,
    upstreams: 4,
    seed_rounds: 8,
    unheard: Duration::from_millis(4_800),
    news_time: Duration::from_secs(15),
};

/// Records in one answer to a sender that lacks them; they fit one packet.
const WANTED: usize = 30;

/// Time added to an age with each relay, so that it never shrinks on a way around.
const RELAY_TIME: Duration = Duration::from_millis(100);

/// Heartbeats by which a member's news of this instance may lag.
const SEEN_LATELY: u64 = 6;

/// Time for which a load that was told holds.
const LOAD_LIFE: Duration = Duration::from_secs(3);

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest record.
    pub record: Record,
    /// Hash of its name.
    pub name_hash: u32,
    /// Its region.
    pub region: SmolStr,
    /// When its newest heartbeat was learnt of.
    pub last_heard: Duration,
    /// When it last told that it hears this instance.
    pub last_acked: Duration,
    /// Part of each customer's rate that it had when it was last heard.
    pub rate_fractions: HashMap<u32, f64>,
    /// What it runs at the upstreams of the region, and when it told so.
    pub upstream_loads: (Duration, HashMap<u32, UpstreamLoad>),
    /// Requests that this instance has under way at it.
    pub forwarded_requests: u32,
    /// Revision of its newest item.
    pub revision: u64,
}

impl Member {
    /// Returns its address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.record.ip)
    }
}

/// Load of a service in a region, as last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionLoad {
    /// When it was told.
    pub reported_at: Duration,
    /// Estimated wait of a new request.
    pub wait: Duration,
    /// Upstreams that take requests.
    pub usable_upstreams: u32,
}

/// All members but this instance.
#[derive(Debug, Default)]
pub struct Members {
    /// By name.
    pub all: BTreeMap<SmolStr, Member>,
    /// Loads by region and hash of the service.
    loads: HashMap<(SmolStr, u32), RegionLoad>,
    /// Hashes of instances that others told of and that are not known; each once.
    unknown: Vec<u32>,
}

impl Members {
    fn scale(&self) -> Scale {
        if self.all.len() > LARGE {
            LARGE_FLEET
        } else {
            SMALL_FLEET
        }
    }

    /// Returns the silence after which a member is no longer taken as alive.
    pub fn alive_timeout(&self) -> Duration {
        self.scale().unheard
    }

    /// Returns the number of customers whose demand is told.
    pub fn max_demand_customers(&self) -> usize {
        self.scale().customers
    }

    /// Returns the number of upstreams at which the sender's load is told.
    pub fn max_upstream_loads(&self) -> usize {
        self.scale().upstreams
    }

    /// Returns the time after which all others count on the demand that one told.
    pub fn propagation_time(&self) -> Duration {
        self.scale().news_time
    }

    /// Tells whether `member` is heard from.
    pub fn is_alive(&self, member: &Member, now: Duration) -> bool {
        now.saturating_sub(member.last_heard) < self.alive_timeout()
    }

    /// Returns the members that are heard from.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.all.values().filter(move |m| self.is_alive(m, now))
    }

    /// Returns the members that are heard from and take requests.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.alive(now).filter(|m| m.record.ready)
    }

    /// Returns the load of a service in `region`, unless it is too old.
    pub fn load(&self, now: Duration, region: &SmolStr, service: u32) -> Option<RegionLoad> {
        let load = self.loads.get(&(region.clone(), service))?;
        (now.saturating_sub(load.reported_at) < LOAD_LIFE).then_some(*load)
    }

    /// Notes that a request was handed to `region`, so that those which follow before
    /// its next report do not all go there.
    pub fn add_wait(&mut self, region: &SmolStr, service: u32, wait: Duration) {
        if let Some(load) = self.loads.get_mut(&(region.clone(), service)) {
            load.wait += wait;
        }
    }

    /// Tells whether the news of all members that are heard is new enough to rely on their
    /// demand. Where not each speaks to each, news takes too long to tell.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let lately = |m: &Member| now.saturating_sub(m.last_heard) < GOSSIP_INTERVAL * 3;
        self.all.len() > FANOUT || self.alive(now).all(lately)
    }

    /// Notes the revision of a member's newest item.
    pub fn record_revision(&mut self, name: &str, changed: u64) {
        if let Some(member) = self.all.get_mut(name) {
            member.revision = member.revision.max(changed);
        }
    }

    /// Returns how long a member may be silent on whether it hears this instance: three
    /// of the times in which each speaks to each.
    pub fn ack_timeout(&self) -> Duration {
        let rounds = self.all.len().div_ceil(FANOUT).max(1);
        // CAST: the number of instances is far below 2^32.
        ALIVE_TIMEOUT.max(GOSSIP_INTERVAL * 3 * rounds as u32)
    }

    /// Takes a datagram; `me` is this instance's name and newest heartbeat.
    pub fn apply_datagram(
        &mut self,
        now: Duration,
        (me, beat): (&str, u64),
        datagram: &Datagram,
        region_of: impl Fn(u32) -> Option<SmolStr>,
    ) {
        self.apply_record(now, me, &datagram.sender, true, &region_of);
        for record in &datagram.other_records {
            self.apply_record(now, me, record, false, &region_of);
        }
        if let Some(ages) = &datagram.heard_ages {
            self.apply_ages(now, me, ages);
        }
        let Some(member) = self.all.get_mut(datagram.sender.name.as_str()) else {
            return;
        };
        if datagram.seen_heartbeat + SEEN_LATELY >= beat {
            member.last_acked = now;
        }
        member.revision = datagram.revision;
        let own = datagram
            .upstream_loads
            .iter()
            .map(|o| (o.upstream, o.clone()));
        member.upstream_loads = (now, own.collect());
        for load in &datagram.service_loads {
            let told = RegionLoad {
                reported_at: now,
                wait: Duration::from_millis(load.wait_ms.into()),
                usable_upstreams: load.usable_upstreams,
            };
            self.loads
                .insert((member.region.clone(), load.service), told);
        }
    }

    fn apply_record(
        &mut self,
        now: Duration,
        me: &str,
        record: &Record,
        direct: bool,
        region_of: impl Fn(u32) -> Option<SmolStr>,
    ) {
        if record.name == me {
            return;
        }
        let Some(region) = region_of(record.domain) else {
            return;
        };
        let Some(member) = self.all.get_mut(record.name.as_str()) else {
            let member = Member {
                record: record.clone(),
                name_hash: short_hash(&record.name),
                region,
                last_heard: now,
                last_acked: now,
                rate_fractions: HashMap::new(),
                upstream_loads: (Duration::ZERO, HashMap::new()),
                forwarded_requests: 0,
                revision: 0,
            };
            self.all.insert(SmolStr::new(&record.name), member);
            return;
        };
        let newer = if record.incarnation == member.record.incarnation {
            record.heartbeat > member.record.heartbeat
        } else {
            // A clock that was set back gives a new run a lower number, so that only the
            // run's own word tells at once which of the two is there.
            direct || now.saturating_sub(member.last_heard) > ALIVE_TIMEOUT / 2
        };
        if newer {
            member.record = record.clone();
            member.region = region;
            member.last_heard = now;
        }
    }

    fn apply_ages(&mut self, now: Duration, me: &str, ages: &HeardAges) {
        let tenths = ages.instances.iter().copied().zip(&ages.age_tenths);
        let mut told: HashMap<u32, u32> = tenths.map(|(i, t)| (i, *t)).collect();
        told.remove(&short_hash(me));
        for member in self.all.values_mut() {
            if let Some(tenths) = told.remove(&member.name_hash) {
                let age = Duration::from_millis(u64::from(tenths) * 100);
                member.last_heard = member.last_heard.max(now.saturating_sub(age));
            }
        }
        for unknown in told.into_keys() {
            if self.unknown.len() < WANTED && !self.unknown.contains(&unknown) {
                self.unknown.push(unknown);
            }
        }
    }

    /// Forgets members that have been silent for long.
    pub fn remove_silent(&mut self, now: Duration) {
        self.all
            .retain(|_, m| now.saturating_sub(m.last_heard) < REMOVAL_TIMEOUT);
    }

    /// Picks the addresses that this round's datagrams go to: members, the unheard among
    /// them too, and one of the `seeds`.
    pub fn receivers(&self, region: &str, seeds: &[Ipv4Addr], rng: &mut impl Rng) -> Vec<Ipv4Addr> {
        // Those of the region share its upstreams and need each other's load most.
        let (near, far): (Vec<_>, Vec<_>) = self.all.values().partition(|m| m.region == region);
        let scale = self.scale();
        let near = near
            .into_iter()
            .map(Member::ip)
            .sample(rng, FANOUT - scale.far);
        let rest = FANOUT - near.len();
        let mut receivers = far.into_iter().map(Member::ip).sample(rng, rest);
        receivers.extend(near);
        let unknown = seeds.iter().copied().filter(|s| !receivers.contains(s));
        let few = match self.all.len() {
            0 => seeds.len(),
            _ => usize::from(rng.random_ratio(1, scale.seed_rounds)),
        };
        let extra = unknown.sample(rng, few);
        receivers.extend(extra);
        receivers
    }

    /// Returns the newest records for a datagram.
    pub fn sample_records(&self, now: Duration, rng: &mut impl Rng) -> Vec<Record> {
        let heard = self.alive(now).map(|m| m.record.clone());
        heard.sample(rng, self.scale().records)
    }

    /// Returns the records that a sender wants, without demand.
    pub fn records_for(&self, hashes: &[u32]) -> Vec<Record> {
        let wanted = |m: &&Member| hashes.contains(&m.name_hash);
        self.all
            .values()
            .filter(wanted)
            .take(WANTED)
            .map(bare)
            .collect()
    }

    /// Returns the hashes of instances that are told of and not known, to ask for them.
    pub fn take_unknown(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.unknown)
    }

    /// Returns who was heard last, for a datagram of a large fleet from `region`. The
    /// receiver lacks those whom it is not spoken to by: an instance of the same region
    /// lacks the far ones, any other the near ones.
    pub fn recent_ages(&self, now: Duration, region: &str, to_near: bool) -> Option<HeardAges> {
        let most = self.scale().ages;
        if most == 0 {
            return None;
        }
        let mut heard: Vec<&Member> = self.alive(now).collect();
        let lacked = |m: &Member| (m.region == region) != to_near;
        heard.sort_by_key(|m| (!lacked(m), std::cmp::Reverse(m.last_heard)));
        heard.truncate(most);
        let tenths = |m: &&Member| {
            let age = now.saturating_sub(m.last_heard) + RELAY_TIME;
            // CAST: whoever is heard was so some seconds ago.
            age.as_millis().div_ceil(100) as u32
        };
        Some(HeardAges {
            instances: heard.iter().map(|m| m.name_hash).collect(),
            age_tenths: heard.iter().map(tenths).collect(),
        })
    }
}

/// Returns a member's record without its demand.
fn bare(member: &Member) -> Record {
    Record {
        demand: None,
        ..member.record.clone()
    }
}
