//! Selects the owners of limited upstreams, and handles the messages of [`crate::limit`].
//!
//! The owner of an upstream is the ready instance of its region with the highest rendezvous weight among those
//! that are heard from. One of which it is not known lately whether it is ready is asked, and says so if it is not.
//! Instances that are not heard from may have an owner of their own. The owner then grants
//! the slots ([`crate::limit::slot`]) of the instances that it reaches, [`SPLIT_RATIO`] times the limit for all
//! together, so that the sum over all sides stays below that ratio. While all are heard from, but the owner does
//! not answer some, a deputy grants them what the ratio leaves.
//!
//! Whoever begins to grant reaches those that it has heard from since then. It would otherwise count instances that
//! a cut has just separated from it, and each of them might do so.

use std::net::Ipv4Addr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::board::{Board, MAX_INSTANCES};
use crate::gossip::short_hash;
use crate::limit::message::{
    Decision, MAX_STATES, Observed, PermitAnswer, PermitRequest, State, States, is_valid,
};
use crate::limit::slot::Slots;
use crate::limit::{Change, MIN_RATE, Observation, Statement};
use crate::member::{GOSSIP_INTERVAL, Member};
use crate::rendezvous;
use crate::token::Body;
use crate::upstream::Key;

/// Maximum sum of what several owners grant, as a multiple of the limit. Upstreams allow 1.5; the rest covers
/// instances whose views differ for a while.
const SPLIT_RATIO: f64 = 1.4;

/// Time after which an instance that is not the owner may be asked again, because the views of the instances
/// have become the same.
const OTHER_OWNER_TIME: Duration = Duration::from_millis(150);

/// Time for which an owner that did not answer is not asked.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// Time for which an instance that said that it is not ready is not asked.
const DECLINED_TIME: Duration = Duration::from_secs(1);

/// The part of a limit that an instance may grant.
enum Part {
    /// The whole limit.
    Whole,
    /// The slots of some instances.
    Slots(Slots),
    /// So many times the limit, as a deputy.
    Deputy(f64),
    /// Nothing.
    None,
}

/// The instance that keeps the bucket of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This instance.
    Own,
    /// The instance at this address.
    Other(Ipv4Addr),
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permission {
    /// The upstream has no limit.
    Unlimited,
    /// One request may be sent.
    Granted,
    /// No request may be sent. Contains the time until a permit is due.
    Refused(Duration),
    /// The instance at this address decides; its [`PermitRequest`] has no id yet.
    Ask(Ipv4Addr, PermitRequest),
}

/// What follows from an event: messages to send, and changes to log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages and the addresses of their receivers.
    pub messages: Vec<(Ipv4Addr, Body)>,
    /// Changes of limits, by the hashes of their runs.
    pub changes: Vec<(u64, Change)>,
}

impl Board {
    fn limit_members(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let region = &self.identity.region;
        let alive = self.members.alive(now);
        alive.filter(move |m| m.region == *region && m.keeps_limits)
    }

    /// Returns the owner of a run, and whether an instance that would be it does not answer this one.
    pub fn limit_owner(&self, now: Duration, run: u64) -> (Owner, bool) {
        let weight = |name_hash: u32| rendezvous::weight_of_hashes(run, name_hash.into());
        let own = self.is_ready().then(|| weight(self.name_hash()));
        let mut best = (own, Owner::Own);
        let mut silent = None;
        for member in self.limit_members(now).filter(|m| m.may_own_limits(now)) {
            let weight = Some(weight(member.name_hash));
            if now < member.silent_owner_until {
                silent = silent.max(weight);
            } else if weight > best.0 {
                best = (weight, Owner::Other(member.ip()));
            }
        }
        (best.1, silent > best.0)
    }

    /// Returns the part of a limit that this instance, which has granted since `since`, may grant as its owner, or
    /// as a deputy of an owner that does not answer all.
    fn limit_part(
        &self,
        now: Duration,
        run: u64,
        rate: f64,
        since: Duration,
        is_deputy: bool,
    ) -> Part {
        let is_reached = |m: &Member| m.keeps_limits && m.silence(now) <= now.saturating_sub(since);
        let region = &self.identity.region;
        let alive = self.members.alive(now).filter(|m| m.region == *region);
        let reached = alive.filter(|m| is_reached(m)).count() + 1;
        let expected = self.expected_limit_members(now);
        let domains = self.region_domains().count();
        if is_deputy {
            return match reached >= expected {
                // CAST: the number of domains is small.
                true => Part::Deputy((SPLIT_RATIO - 1.0) / (domains.max(2) - 1) as f64),
                false => Part::None,
            };
        }
        // CAST: the number of instances is small.
        if SPLIT_RATIO * reached as f64 >= expected as f64 {
            return Part::Whole;
        }
        let weight = |name_hash: u32| rendezvous::weight_of_hashes(run, name_hash.into());
        let known = self.known_limit_members(now).map(|m| {
            let granted = self.members.is_alive(m, now) && is_reached(m);
            (weight(m.name_hash), granted)
        });
        let lost = self.members.lost_in(region);
        let lost = lost.map(|name| (weight(short_hash(name)), false));
        let own = (weight(self.name_hash()), true);
        let mut instances: Vec<_> = known.chain(lost).chain([own]).collect();
        let unknown = expected.saturating_sub(instances.len()) as u64;
        let unknown = (0..unknown).map(|n| (rendezvous::weight_of_hashes(run, !n), false));
        instances.extend(unknown);
        Part::Slots(Slots::new(instances, rate * SPLIT_RATIO))
    }

    /// Returns the other instances of this region that may share its limits, without those that are lost.
    fn known_limit_members(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let is_gone =
            move |m: &Member| m.draining_since.is_some() && !self.members.is_alive(m, now);
        let region = &self.identity.region;
        let in_region = self
            .members
            .all
            .values()
            .filter(move |m| m.region == *region);
        in_region.filter(move |m| !is_gone(m))
    }

    /// Returns the number of instances that may share the limits of this region, this one included. Failure
    /// domains of which nothing is known since the start of this process count like the known ones.
    fn expected_limit_members(&self, now: Duration) -> usize {
        if self.is_cut_off_since_start(now) {
            return MAX_INSTANCES;
        }
        let region = &self.identity.region;
        let lost = self.members.lost_count_in(region);
        let known = self.known_limit_members(now).count() + lost + 1;
        if lost > 0 {
            return known;
        }
        let in_region = self.members.all.values().filter(|m| m.region == *region);
        let is_known = |domain: &&SmolStr| {
            let hash = short_hash(domain);
            **domain == self.identity.domain
                || in_region.clone().any(|m| m.record.domain_hash == hash)
        };
        let domains = self.region_domains().count();
        let known_domains = self.region_domains().filter(is_known).count().max(1);
        (known * domains).div_ceil(known_domains)
    }

    /// Returns the failure domains of this region.
    fn region_domains(&self) -> impl Iterator<Item = &SmolStr> {
        let region = &self.identity.region;
        let domains = self.regions.iter();
        domains.filter(move |(_, r)| *r == region).map(|(d, _)| d)
    }

    /// Takes a permit for a request to an upstream, or returns whom to ask.
    pub fn take_permit(&mut self, now: Duration, key: Key, urgency: u8) -> Permission {
        let Some(run) = self.upstreams.all.get(key).map(|u| u.run_hash) else {
            return Permission::Unlimited;
        };
        if self.limits.in_force(run).is_none() {
            return Permission::Unlimited;
        }
        if let Some(due_in) = self.limits.pause(now, run, urgency) {
            return Permission::Refused(due_in);
        }
        let (owner, owner_is_silent) = self.limit_owner(now, run);
        let request = PermitRequest {
            id: 0,
            run,
            urgency: urgency.into(),
            owner_is_silent,
        };
        match owner {
            Owner::Other(ip) => Permission::Ask(ip, request),
            Owner::Own => match self.grant_permit(now, run, urgency, owner_is_silent) {
                Ok(()) => Permission::Granted,
                Err(due_in) => {
                    self.limits.record_refused(now, run, urgency, due_in);
                    Permission::Refused(due_in)
                }
            },
        }
    }

    fn grant_permit(
        &mut self,
        now: Duration,
        run: u64,
        urgency: u8,
        is_deputy: bool,
    ) -> Result<(), Duration> {
        let Some(limit) = self.limits.in_force_mut(run) else {
            return Ok(());
        };
        let since = limit.begin_granting(now);
        let rate = limit.rate.unwrap_or_default().max(MIN_RATE);
        let part = self.limit_part(now, run, rate, since, is_deputy);
        let clock = Duration::from_millis(self.identity.incarnation) + now;
        let Some(limit) = self.limits.in_force_mut(run) else {
            return Ok(());
        };
        let result = match &part {
            Part::Whole => return limit.bucket.take(now, rate, urgency),
            Part::Slots(slots) => limit.bucket.take_slot(now, clock, slots, urgency),
            Part::Deputy(share) => limit.bucket.take_as_deputy(now, rate * share, urgency),
            Part::None => {
                limit.bucket.clear(now);
                Err(SILENT_TIME)
            }
        };
        // The part of an instance that began to grant a short time ago grows with each round.
        let is_new = now.saturating_sub(since) < self.members.alive_timeout();
        result.map_err(|due_in| match is_new {
            true => due_in.min(GOSSIP_INTERVAL),
            false => due_in,
        })
    }

    /// Decides about a request of another instance.
    pub fn handle_permit_request(
        &mut self,
        now: Duration,
        request: &PermitRequest,
    ) -> PermitAnswer {
        let answer = |decision: Decision, due_in: Duration| PermitAnswer {
            id: request.id,
            decision: decision.into(),
            // CAST: at most `bucket::MAX_DUE`.
            due_in_ms: due_in.as_millis() as u32,
        };
        let run = request.run;
        if !self.is_ready() {
            return answer(Decision::NotReady, OTHER_OWNER_TIME);
        }
        if self.limits.in_force(run).is_none() {
            return answer(Decision::Unlimited, Duration::ZERO);
        }
        let (owner, owner_is_silent) = self.limit_owner(now, run);
        let is_deputy = owner_is_silent || (owner != Owner::Own && request.owner_is_silent);
        if owner != Owner::Own && !is_deputy {
            return answer(Decision::Refused, OTHER_OWNER_TIME);
        }
        let urgency = u8::try_from(request.urgency).unwrap_or(u8::MAX);
        match self.grant_permit(now, run, urgency, is_deputy) {
            Ok(()) => answer(Decision::Granted, Duration::ZERO),
            Err(due_in) => answer(Decision::Refused, due_in),
        }
    }

    /// Handles the answer to `request`. Returns what may be done.
    pub fn handle_permit_answer(
        &mut self,
        now: Duration,
        request: &PermitRequest,
        answer: &PermitAnswer,
    ) -> Permission {
        match answer.decision() {
            Decision::Granted => Permission::Granted,
            // The owner does not know yet what this instance does. It learns it with the next datagram.
            Decision::Unlimited => Permission::Refused(OTHER_OWNER_TIME),
            Decision::NotReady => {
                if let (Owner::Other(ip), _) = self.limit_owner(now, request.run)
                    && let Some(member) = self.members.all.values_mut().find(|m| m.ip() == ip)
                {
                    member.declined_owner_until = now + DECLINED_TIME;
                }
                Permission::Refused(OTHER_OWNER_TIME)
            }
            Decision::Refused => {
                let due_in = Duration::from_millis(answer.due_in_ms.into());
                let urgency = u8::try_from(request.urgency).unwrap_or(u8::MAX);
                self.limits
                    .record_refused(now, request.run, urgency, due_in);
                Permission::Refused(due_in)
            }
        }
    }

    /// Records that the instance at `ip` did not answer a request for a permit.
    pub fn record_silent_owner(&mut self, now: Duration, ip: Ipv4Addr) {
        if let Some(member) = self.members.all.values_mut().find(|m| m.ip() == ip) {
            member.silent_owner_until = now + SILENT_TIME;
        }
    }

    /// Records what an answer to a request, which was sent at `sent_at`, says about a limit.
    pub fn observe_limit(
        &mut self,
        now: Duration,
        key: Key,
        statement: Statement,
        by_refusal: bool,
        sent_at: Duration,
    ) -> Effects {
        let Some(run) = self.upstreams.all.get(key).map(|u| u.run_hash) else {
            return Effects::default();
        };
        let known = self.limits.in_force(run);
        let rate = match statement {
            Statement::Limit(rate) => Some(rate),
            // An answer to an earlier request may have begun before the limit was named.
            Statement::NoLimit if known.is_some_and(|l| l.learned_at < sent_at) => None,
            Statement::NoLimit | Statement::Nothing => return Effects::default(),
        };
        let observation = Observation {
            run,
            rate,
            by_refusal,
        };
        let (owner, _) = self.limit_owner(now, run);
        let mut effects = self.apply_observation(now, observation, owner);
        if let Owner::Other(ip) = owner {
            let observed = Observed {
                run,
                rate,
                by_refusal,
            };
            effects.messages.push((ip, Body::LimitObserved(observed)));
        }
        effects
    }

    /// Handles what an answer to another instance said.
    pub fn handle_observed(&mut self, now: Duration, observed: &Observed) -> Effects {
        if !is_valid(observed.rate) {
            return Effects::default();
        }
        let observation = Observation {
            run: observed.run,
            rate: observed.rate,
            by_refusal: observed.by_refusal,
        };
        let (owner, _) = self.limit_owner(now, observed.run);
        let mut effects = self.apply_observation(now, observation, owner);
        // The sender takes this instance for the owner, and tells no other.
        if owner != Owner::Own && effects.changes.iter().any(|(_, c)| *c == Change::Limited) {
            effects.messages = self.limit_messages_to_all(now, observed.run);
        }
        effects
    }

    fn apply_observation(
        &mut self,
        now: Duration,
        observation: Observation,
        owner: Owner,
    ) -> Effects {
        let is_owner = owner == Owner::Own;
        let Some(change) = self.limits.observe(now, observation, is_owner) else {
            return Effects::default();
        };
        // Upstreams do not count what is sent until a cut that is going on has been noticed.
        if let Some(limit) = self.limits.in_force_mut(observation.run)
            && is_owner
            && change == Change::Limited
        {
            limit.granting_since = Some(Duration::ZERO);
        }
        let spreads = is_owner && change != Change::LimitChanged;
        let messages = match spreads {
            true => self.limit_messages_to_all(now, observation.run),
            false => Vec::new(),
        };
        Effects {
            messages,
            changes: vec![(observation.run, change)],
        }
    }

    fn limit_messages_to_all(&self, now: Duration, run: u64) -> Vec<(Ipv4Addr, Body)> {
        let states = self.limits.all().filter(|(r, _)| *r == run);
        let entries: Vec<State> = states
            .map(|(run, limit)| State {
                run,
                serial: limit.serial,
                rate: limit.rate,
            })
            .collect();
        let body = Body::LimitStates(States { entries });
        let receivers = self.limit_members(now);
        receivers.map(|m| (m.ip(), body.clone())).collect()
    }

    /// Returns a message with limits for the instance at `ip` of this region, if `digest`, that of its
    /// limits, differs. A random part of them if there are more than a message may contain.
    pub fn limit_message(&mut self, ip: Ipv4Addr, digest: Option<u32>) -> Option<Body> {
        use rand::seq::IteratorRandom as _;

        let differs = digest.is_some_and(|digest| digest != self.limits.digest());
        let mut members = self.members.all.values();
        let same_region = members.any(|m| m.ip() == ip && m.region == self.identity.region);
        if !differs || !same_region {
            return None;
        }
        let states = self.limits.all().map(|(run, limit)| State {
            run,
            serial: limit.serial,
            rate: limit.rate,
        });
        let entries = states.sample(&mut self.rng, MAX_STATES);
        (!entries.is_empty()).then_some(Body::LimitStates(States { entries }))
    }

    /// Handles what another instance knows about limits.
    pub fn handle_limit_states(&mut self, now: Duration, states: &States) -> Effects {
        let valid = states.entries.iter().filter(|s| is_valid(s.rate));
        let merged = valid.filter_map(|state| {
            let change = self
                .limits
                .merge(now, state.run, state.serial, state.rate)?;
            Some((state.run, change))
        });
        Effects {
            changes: merged.collect(),
            messages: Vec::new(),
        }
    }

    /// Empties the buckets from which this instance grants nothing, so that it begins with an empty one when
    /// it becomes the owner. Must be called in each gossip round.
    pub(crate) fn update_limits(&mut self, now: Duration) {
        if self.limits.all().next().is_none() {
            return;
        }
        let mut limits = std::mem::take(&mut self.limits);
        let unused = limits.all_mut().filter(|(_, l)| l.bucket.is_unused(now));
        for (run, limit) in unused {
            match self.limit_owner(now, run).0 {
                Owner::Own => {
                    limit.begin_granting(now);
                }
                Owner::Other(_) => limit.end_granting(now),
            }
        }
        let upstreams = &self.upstreams.all;
        let runs: std::collections::HashSet<u64> = upstreams.values().map(|u| u.run_hash).collect();
        limits.remove_unknown(now, |run| runs.contains(&run));
        self.limits = limits;
    }

    /// Returns whether a request for which no permit was taken may be sent to an upstream.
    pub fn is_unlimited(&self, key: Key) -> bool {
        let upstream = self.upstreams.all.get(key);
        upstream.is_none_or(|u| self.limits.in_force(u.run_hash).is_none())
    }
}
