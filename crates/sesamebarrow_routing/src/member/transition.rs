//! Spreads which other instances have begun to drain or become ready a short time ago.
//!
//! Their own datagrams reach few others in this time, and their records few of the rest. A datagram names one transition
//! of an instance, the newest: that it is ready again takes the place of its stop.

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::gossip::{HeardAges, short_hash};
use crate::member::last_known::LastKnown;
use crate::member::{
    Member, Members, RELAY_AGE_INCREMENT, RELAYED_AGE_ERROR, from_tenths, to_tenths,
};

/// Time after a transition in which other instances are told of it.
pub const TRANSITION_NEWS_TIME: Duration = Duration::from_secs(4);

/// Maximum number of transitions in one datagram.
const MAX_TRANSITIONS: usize = 12;

/// Number of datagrams that contain a transition, for each doubling of the number of instances.
const SENDS_PER_DOUBLING: usize = 8;

/// Number of ages that take as many bytes as the fields around a list of transitions.
const AGES_PER_LIST: usize = 2;

/// The transitions in one datagram.
#[derive(Debug, Default)]
pub struct Transitions {
    /// The instances that have begun to drain.
    pub stops: Option<HeardAges>,
    /// The instances that have become ready.
    pub starts: Option<HeardAges>,
}

impl Transitions {
    /// Returns the number of ages that take as many bytes.
    pub fn places(&self) -> usize {
        let lists = self.stops.iter().chain(&self.starts);
        lists.map(|l| l.instance_hashes.len() + AGES_PER_LIST).sum()
    }
}

/// Adds an instance to a list of a datagram.
fn add(list: &mut Option<HeardAges>, name_hash: u32, age: Duration) {
    let list = list.get_or_insert_default();
    list.instance_hashes.push(name_hash);
    list.age_tenths.push(to_tenths(age + RELAY_AGE_INCREMENT));
}

/// Returns the ages of a list that may have waited to be read for up to `waited`, by the hash of the instance's name.
fn ages_by_hash(waited: Duration, list: &HeardAges) -> HashMap<u32, Duration> {
    let tenths = list.instance_hashes.iter().copied().zip(&list.age_tenths);
    tenths
        .map(|(hash, tenths)| (hash, from_tenths(*tenths) + waited))
        .collect()
}

impl Member {
    /// Records that its newest run began to drain `age` ago. Older news of it never make it ready again.
    pub(super) fn record_draining(&mut self, now: Duration, age: Duration) {
        match &mut self.draining_since {
            // Ages grow each time that they are relayed, so the latest start is the most exact one.
            Some(at) => at.update(now, age),
            None => {
                self.draining_since = Some(LastKnown::new(now, age));
                self.transition_sends = 0;
            }
        }
    }

    /// Returns whether a stop that began `age` ago is one of its newest run, as far as is known, not of one before.
    pub(super) fn is_after_start(&self, now: Duration, age: Duration) -> bool {
        self.ready_since.is_none_or(|at| age < at.silence(now))
    }

    /// Returns whether it became ready longer than `age` ago, if that is known.
    pub(super) fn is_start_before(&self, now: Duration, age: Duration) -> bool {
        self.ready_since
            .is_some_and(|at| at.silence(now) > age + RELAYED_AGE_ERROR)
    }

    /// Records that a run of it became ready `age` ago, unless something later is known of it.
    pub(super) fn record_start(&mut self, now: Duration, age: Duration) {
        // The next run is not ready until some time after the stop of the one before.
        let is_before = |at: LastKnown| at.silence(now) <= age + RELAYED_AGE_ERROR;
        if self.draining_since.is_some_and(is_before) {
            return;
        }
        // A record that says that it is not ready may be later than the start, and then is of the next run.
        let says_unready = !self.record.ready && self.record.draining_time_ms == 0;
        if says_unready && self.run_heard.silence(now) + RELAYED_AGE_ERROR < age {
            return;
        }
        let is_known = !self.is_start_before(now, age) && self.draining_since.is_none();
        self.draining_since = None;
        match &mut self.ready_since {
            Some(at) if is_known => at.update(now, age),
            at => {
                *at = Some(LastKnown::new(now, age));
                self.transition_sends = 0;
            }
        }
    }

    /// Returns the time since its newest transition, and whether it is a stop.
    fn newest_transition(&self, now: Duration) -> Option<(Duration, bool)> {
        let stop = self.draining_since.map(|at| (at.silence(now), true));
        stop.or_else(|| self.ready_since.map(|at| (at.silence(now), false)))
    }
}

impl Members {
    /// Returns transitions for one datagram, and counts that they are sent. Those that were sent least come first, so
    /// that the newest ones spread even when there are many, and none is sent any more when all must have heard of it.
    pub fn recent_transitions(&mut self, now: Duration, rng: &mut impl Rng) -> Transitions {
        let doublings = self.all.len().checked_ilog2().unwrap_or_default() as usize + 1;
        let alive_timeout = self.alive_timeout();
        let is_due = |m: &&mut Member| {
            let age = m.newest_transition(now).map(|(age, _)| age);
            age.is_some_and(|age| age < TRANSITION_NEWS_TIME)
                && m.transition_sends < doublings * SENDS_PER_DOUBLING
                && m.silence(now) < alive_timeout
        };
        let mut due: Vec<&mut Member> = self.all.values_mut().filter(is_due).collect();
        due.sort_by_cached_key(|m| (m.transition_sends, rng.random::<u32>()));
        let mut transitions = Transitions::default();
        for member in due.into_iter().take(MAX_TRANSITIONS) {
            member.transition_sends += 1;
            match member.newest_transition(now) {
                Some((age, true)) => add(&mut transitions.stops, member.name_hash, age),
                Some((age, false)) => add(&mut transitions.starts, member.name_hash, age),
                None => {}
            }
        }
        transitions
    }

    /// Applies the times since other instances began to drain.
    pub(super) fn apply_stops(&mut self, now: Duration, waited: Duration, stops: &HeardAges) {
        let ages = ages_by_hash(waited, stops);
        for member in self.all.values_mut() {
            let Some(age) = ages.get(&member.name_hash).copied() else {
                continue;
            };
            // Otherwise, it may have been the run before.
            let is_of_known_run = age < member.run_known_since.silence(now);
            if is_of_known_run && member.is_after_start(now, age) {
                member.record_draining(now, age);
            }
        }
    }

    /// Applies the times since other instances became ready.
    pub(super) fn apply_starts(
        &mut self,
        now: Duration,
        waited: Duration,
        own_name: &str,
        starts: &HeardAges,
    ) {
        let mut ages = ages_by_hash(waited, starts);
        ages.remove(&short_hash(own_name));
        for member in self.all.values_mut() {
            if let Some(age) = ages.remove(&member.name_hash) {
                member.record_start(now, age);
            }
        }
        self.add_unknown(ages.into_keys());
    }
}
