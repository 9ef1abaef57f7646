//! Fills and handles the datagrams of [`crate::gossip`].

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::board::absence::warmup;
use crate::board::{Board, REPUBLISH_GRACE};
use crate::gossip::{
    Datagram, Record, ReportedLoads, ServiceLoad, UpstreamAbsence, UpstreamLoad, short_hash,
};
use crate::holder;
use crate::member::transition::TRANSITION_NEWS_TIME;
use crate::member::{DISCOVERY_GOSSIP_INTERVAL, GOSSIP_INTERVAL};
use crate::upstream::{ReportedLoad, Upstream};
use crate::{absence, admit};

/// Milliseconds that an instance adds to the age of a reported load before it sends it; at
/// least the usual time in transit within a region.
const RELAY_DELAY_MS: u32 = 20;

impl Board {
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
        self.upstreams.remove_due(now, self.store_era);
        self.quarantine.remove_expired(now);
        self.end_due_evacuations(now);
        self.update_limits(now);
        self.forget_places(now);
        self.sum_other_loads(now);
        holder::update_buckets(self, now);
        if self.is_ready() {
            self.ready_since.get_or_insert(now);
        }
        Datagram {
            sender: Record {
                heartbeat: self.heartbeat,
                ..self.own_record(now)
            },
            other_records: self.members.sample_records(now, &mut self.rng),
            heard_ages: None,
            wanted_name_hashes: self.members.take_unknown(),
            revision: self.revision,
            config_version: self.config_version(),
            quarantine_digest: Some(self.quarantine.digest()),
            limits_digest: Some(self.limits.digest()),
            service_loads: self.service_loads(now),
            upstream_loads: Vec::new(),
            reported_loads: None,
            leaving_runs: Vec::new(),
            recent_stops: None,
            recent_starts: None,
            absences: Vec::new(),
            seen_heartbeat: 0,
            store_outage_age_ms: self.store_outage_age_ms(now),
        }
    }

    /// Returns the milliseconds since the last outage of the store; 0 if there was none recently.
    fn store_outage_age_ms(&self, now: Duration) -> u32 {
        let age = self.last_store_outage_at.map(|at| now.saturating_sub(at));
        // CAST: bounded by `REPUBLISH_GRACE`.
        age.filter(|age| *age < REPUBLISH_GRACE)
            .map_or(0, |age| age.as_millis().max(1) as u32)
    }

    /// Returns the reply to a datagram whose sender does not know this instance or asks for
    /// records, without the fields that depend on the receiver. A reply counts as a round of
    /// its own.
    pub fn begin_gossip_reply(&mut self, now: Duration, datagram: &Datagram) -> Datagram {
        let mut reply = self.begin_gossip_round(now);
        reply
            .other_records
            .extend(self.members.records_for(now, &datagram.wanted_name_hashes));
        reply
    }

    /// Returns a datagram that only announces this instance's newest revision, and what the receiver must know before
    /// it applies the items.
    pub fn revision_datagram(&self, now: Duration) -> Datagram {
        Datagram {
            sender: self.own_record(now),
            revision: self.revision,
            store_outage_age_ms: self.store_outage_age_ms(now),
            ..Datagram::default()
        }
    }

    /// Returns this instance's record without its heartbeat.
    fn own_record(&self, now: Duration) -> Record {
        let draining = self.draining_for(now);
        let ready = self.ready_since.filter(|_| self.is_ready());
        let ready = ready.map(|at| now.saturating_sub(at));
        let ready = ready.filter(|time| *time < TRANSITION_NEWS_TIME);
        Record {
            name: self.identity.name.to_string(),
            domain_hash: short_hash(&self.identity.domain),
            ip: self.identity.ip.to_bits(),
            incarnation: self.identity.incarnation,
            ready: self.is_ready(),
            // CAST: stopping takes seconds.
            draining_time_ms: draining.map_or(0, |d| d.as_millis().max(1) as u32),
            // CAST: bounded by `TRANSITION_NEWS_TIME`.
            ready_time_ms: ready.map_or(0, |d| d.as_millis().max(1) as u32),
            store_answers: self.store_answers,
            keeps_buckets: true,
            dispatches: true,
            processor_percent: self.processor_percent(),
            forwards: self.forwarded.active_for(now).is_some(),
            ..Record::default()
        }
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
        datagram.leaving_runs = match same_region {
            true => self.upstreams.leaving_runs().collect(),
            false => Vec::new(),
        };
        datagram.absences = match same_region {
            true => self.absences(now),
            false => Vec::new(),
        };
        let transitions = self.members.recent_transitions(now, &mut self.rng);
        let places = transitions.places();
        datagram.recent_stops = transitions.stops;
        datagram.recent_starts = transitions.starts;
        datagram.heard_ages = self.members.recent_ages(now, places, &mut self.rng);
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

    /// Returns news of upstreams whose process has ended, or that can be reached again; some of them if there are many.
    fn absences(&mut self, now: Duration) -> Vec<UpstreamAbsence> {
        let all = self.upstreams.all.values();
        let news = all.filter_map(|u| Some((u.id_hash, u.absence.news(now)?)));
        // CAST: bounded by `absence::NEWS_TIME`.
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let encode = |(upstream_hash, news): (u32, absence::News)| UpstreamAbsence {
            upstream_hash,
            ended_age_ms: news.ended_at.map(age_ms),
            back_age_ms: news.back_at.map(age_ms),
        };
        news.map(encode).sample(&mut self.rng, absence::MAX_NEWS)
    }

    /// Applies news of upstreams in a datagram. How long it has waited to be read is known as a bound only, and counts as
    /// nothing: an upstream that is taken to be back too early would get too much.
    fn apply_absences(&mut self, now: Duration, absences: &[UpstreamAbsence]) {
        if absences.is_empty() {
            return;
        }
        let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let news = absences.iter().map(|absence| {
            let news = absence::News {
                ended_at: absence.ended_age_ms.map(at),
                back_at: absence.back_age_ms.map(at),
            };
            (absence.upstream_hash, news)
        });
        let config = self.config.clone();
        self.upstreams.record_absences(&news.collect(), |service| {
            warmup(config.as_deref(), service)
        });
    }

    /// Applies the loads of a datagram that may have waited to be read for up to `waited`.
    fn apply_reported_loads(&mut self, now: Duration, waited: Duration, loads: &ReportedLoads) {
        let made_at = now.saturating_sub(waited);
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
                slowness_percent: 0,
            };
            (*hash, (made_at.saturating_sub(age), load))
        });
        let config = self.config.clone();
        self.upstreams
            .record_relayed_loads(now, &reports.collect(), |service| {
                warmup(config.as_deref(), service)
            });
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
            forwarded: u.forwarded,
        });
        loads.collect()
    }

    fn service_loads(&self, now: Duration) -> Vec<ServiceLoad> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let loads = config.services.values().map(|service| {
            let load = admit::region_load(self, now, &service.name);
            let service_hash = short_hash(&service.name);
            let capacity = self.own_capacity(now, service_hash);
            // CAST: waits are at most minutes, and upstreams and slots at most thousands.
            ServiceLoad {
                service_hash,
                wait_ms: load.wait.as_millis() as u32,
                usable_upstreams: load.usable_upstreams as u32,
                capacity: capacity.map(|(capacity, _)| capacity.into()),
                capacity_age_ms: capacity.map_or(0, |(_, age)| age.as_millis() as u32),
                room: Some(load.room),
            }
        });
        loads.collect()
    }

    /// Handles a datagram that may have waited to be read for up to `waited`. Returns whether it should be
    /// answered at once, because its sender does not know this instance yet or asks for records.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        waited: Duration,
        datagram: &Datagram,
    ) -> bool {
        let regions = &self.regions_by_hash;
        let region_of = |domain_hash: u32| regions.get(&domain_hash).cloned();
        let own_name = self.identity.name.as_str();
        if datagram.sender.name == own_name {
            return false;
        }
        if datagram.store_outage_age_ms > 0 {
            let age = Duration::from_millis(datagram.store_outage_age_ms.into()) + waited;
            let at = now.saturating_sub(age);
            self.last_store_outage_at =
                Some(self.last_store_outage_at.map_or(at, |known| known.max(at)));
        }
        // Only `revision_datagram` leaves the heartbeat at 0.
        if datagram.sender.heartbeat == 0 {
            self.members
                .record_revision(&datagram.sender.name, datagram.revision);
            return false;
        }
        self.members
            .apply_datagram(now, waited, own_name, datagram, region_of);
        self.sum_other_loads(now);
        if let Some(loads) = &datagram.reported_loads {
            self.apply_reported_loads(now, waited, loads);
        }
        self.apply_absences(now, &datagram.absences);
        self.upstreams.record_leaving_runs(&datagram.leaving_runs);
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
                // A malformed report must not overflow the sums.
                sum.in_progress = sum.in_progress.saturating_add(load.in_progress);
                sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
                sum.kv_tokens = sum.kv_tokens.saturating_add(load.kv_tokens);
                sum.forwarded = sum.forwarded.saturating_add(load.forwarded);
            }
            upstream.others_load = sum;
        }
    }
}
