//! Applies what datagrams say of other instances: whether and in which run they run.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::gossip::{HeardAges, Record, short_hash};
use crate::member::change::{self, Change, Evidence};
use crate::member::last_known::LastKnown;
use crate::member::{MAX_REQUESTED_RECORDS, Member, Members, REMOVAL_TIMEOUT, from_tenths};

/// News of an instance in a datagram.
pub(super) struct News<'a> {
    pub record: &'a Record,
    pub evidence: Evidence,
    /// Time since the instance was known to run.
    pub age: Duration,
    /// Time since it was known to run in the run of `record`.
    pub run_age: Duration,
}

impl News<'_> {
    /// Returns the time since the run began to drain; `None` if its record does not say that it does.
    fn draining_age(&self) -> Option<Duration> {
        self.age_of(self.record.draining_time_ms)
    }

    /// Returns the time since the run became ready; `None` if its record does not say that it did recently.
    fn ready_age(&self) -> Option<Duration> {
        let age = self.age_of(self.record.ready_time_ms);
        age.filter(|_| self.record.ready)
    }

    fn age_of(&self, elapsed_ms: u32) -> Option<Duration> {
        let elapsed = Duration::from_millis(elapsed_ms.into());
        (!elapsed.is_zero()).then(|| elapsed.saturating_add(self.run_age))
    }
}

impl Member {
    /// Applies what the record of `news` says of its run, which is that of `record`: whether it is ready or drains.
    fn apply_readiness(&mut self, now: Duration, news: &News<'_>) {
        if let Some(age) = news.draining_age() {
            if news.evidence == Evidence::Datagram || self.is_after_start(now, age) {
                self.record_draining(now, age);
            }
            return;
        }
        let is_own_word = news.evidence == Evidence::Datagram;
        if is_own_word {
            self.refute_draining(now, news.run_age);
        }
        if let Some(age) = news.ready_age() {
            self.record_start(now, age);
        } else if !news.record.ready && (is_own_word || self.is_start_before(now, news.run_age)) {
            self.ready_since = None;
        }
    }
}

impl Members {
    /// Applies news of an instance, unless they are of this one or older than what is known.
    pub(super) fn apply_news(
        &mut self,
        now: Duration,
        own_name: &str,
        news: &News<'_>,
        region_of: impl Fn(u32) -> Option<SmolStr>,
    ) {
        let record = news.record;
        if record.name == own_name || news.age >= REMOVAL_TIMEOUT {
            return;
        }
        let Some(region) = region_of(record.domain_hash) else {
            return;
        };
        let alive_timeout = self.alive_timeout();
        let Some(member) = self.all.get_mut(record.name.as_str()) else {
            self.add(now, news, region);
            return;
        };
        let is_same_run = record.incarnation == member.record.incarnation;
        let is_newer = if is_same_run {
            record.heartbeat > member.record.heartbeat
        } else {
            // Incarnations are start times. A clock may have been set back, so their order proves nothing;
            // of two runs, the one that was known to run later is the newer one.
            news.evidence == Evidence::Datagram || news.run_age < member.run_heard.silence(now)
        };
        if !is_newer {
            return;
        }
        let silence = member.silence(now);
        let revives = silence >= alive_timeout && news.age < alive_timeout;
        let kind = match is_same_run {
            false => Some(change::Kind::Restarted),
            true => revives.then_some(change::Kind::Revived),
        };
        if let Some(kind) = kind {
            self.changes
                .push(Change::new(record, kind, news.evidence, silence));
        }
        member.record = record.clone();
        member.region = region;
        if !is_same_run {
            member.run_known_since = LastKnown::new(now, news.run_age);
            let is_later = |at: &LastKnown| {
                news.evidence == Evidence::Record && at.silence(now) < news.run_age
            };
            member.draining_since = member.draining_since.filter(is_later);
        }
        member.apply_readiness(now, news);
        member.last_heard.update(now, news.age);
        if is_same_run {
            member.run_heard.update(now, news.run_age);
        } else {
            member.run_heard = LastKnown::new(now, news.run_age);
        }
    }

    fn add(&mut self, now: Duration, news: &News<'_>, region: SmolStr) {
        let record = news.record;
        let kind = change::Kind::Joined;
        self.changes
            .push(Change::new(record, kind, news.evidence, Duration::ZERO));
        let member = Member {
            record: record.clone(),
            name_hash: short_hash(&record.name),
            region,
            last_heard: LastKnown::new(now, news.age),
            run_heard: LastKnown::new(now, news.run_age),
            unanswered_until: Duration::ZERO,
            loan_requested_at: None,
            upstream_loads: (Duration::ZERO, HashMap::new()),
            forwarded_in_progress: 0,
            revision: 0,
            config_version: 0,
            judges_suspects: true,
            silent_owner_until: Duration::ZERO,
            declined_owner_until: Duration::ZERO,
            silent_dispatcher_until: Duration::ZERO,
            keeps_limits: true,
            run_known_since: LastKnown::new(now, news.run_age),
            draining_since: news.draining_age().map(|age| LastKnown::new(now, age)),
            ready_since: news.ready_age().map(|age| LastKnown::new(now, age)),
            transition_sends: 0,
        };
        self.all.insert(SmolStr::new(&record.name), member);
        self.lost.remove(record.name.as_str());
        self.last_joined = now;
    }

    /// Applies the times since other instances were known to run.
    pub(super) fn apply_ages(
        &mut self,
        now: Duration,
        waited: Duration,
        own_name: &str,
        ages: &HeardAges,
    ) {
        let tenths = ages.instance_hashes.iter().copied().zip(&ages.age_tenths);
        let mut age_by_hash: HashMap<u32, u32> = tenths.map(|(i, t)| (i, *t)).collect();
        age_by_hash.remove(&short_hash(own_name));
        let (alive_timeout, stop_time) = (self.alive_timeout(), self.stop_time);
        for member in self.all.values_mut() {
            if let Some(tenths) = age_by_hash.remove(&member.name_hash) {
                let age = from_tenths(tenths) + waited;
                let silence = member.silence(now);
                if silence >= alive_timeout && age < alive_timeout {
                    let kind = change::Kind::Revived;
                    let change = Change::new(&member.record, kind, Evidence::Age, silence);
                    self.changes.push(change);
                }
                member.last_heard.update(now, age);
                member.end_stop(now, stop_time);
            }
        }
        self.add_unknown(age_by_hash.into_keys());
    }

    /// Notes instances of which no record is known, to ask for it.
    pub(super) fn add_unknown(&mut self, name_hashes: impl Iterator<Item = u32>) {
        for name_hash in name_hashes {
            if self.unknown_instances.len() < MAX_REQUESTED_RECORDS
                && !self.unknown_instances.contains(&name_hash)
            {
                self.unknown_instances.push(name_hash);
            }
        }
    }
}
