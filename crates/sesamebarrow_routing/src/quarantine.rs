//! What requests that crash upstreams have in common: which suspects are blamed, and which are quarantined.
//!
//! A crash ends all requests that its upstream was running, most of which did nothing to it. Each [`Suspect`]
//! of theirs is blamed once for each crash; a complete answer acquits.
//!
//! | observation | consequence |
//! |---|---|
//! | an upstream has crashed under a request | its suspects are blamed for that crash, unless acquitted |
//! | complete answer | its suspects are acquitted of crashes until [`ACQUITTAL_TIME`] later, and released |
//! | complete answers to several requests | their common suspects are proven to be sound |
//! | one request met all crashes for which a part is blamed | they count as one against the part |
//! | a suspect is blamed for [`SUSPICION_CRASHES`] | requests with it that met a crash are not repeated |
//! | a suspect is blamed for [`QUARANTINE_CRASHES`] | an order: requests with it are refused in the whole fleet |
//! | all blame comes from one customer's requests | the order binds only this customer, until others meet crashes |
//! | orders on a proven suspect and on others have crashes in common | the proven one is released, once |
//! | some time after an order | one request of the fleet is a trial; each further delay is longer |
//! | several requests may be a trial | the one with the fewest suspects is ([`admission`]) |
//!
//! A crash under a long prompt that no answer acquits blames many parts, most of which never come again. They are
//! remembered apart ([`once::Once`]) until a second crash blames them too, so that they displace nothing.
//!
//! The last part of a prompt belongs to its request alone and is not blamed. The instances with the highest
//! rendezvous weights for a suspect, its judges, collect blame from all others. Orders are sent to all instances,
//! and again to those whose [`Quarantine::digest`] differs.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::quarantine::admission::Contest;
use crate::quarantine::allowance::Allowance;
use crate::quarantine::answers::Answers;
use crate::quarantine::case::Case;
use crate::quarantine::once::Once;
use crate::quarantine::report::Report;

pub mod admission;
pub mod allowance;
mod answers;
mod case;
pub mod crashes;
pub mod message;
mod once;
mod order;
mod report;
pub mod suspect;

pub use admission::{Admission, Trial};
pub use answers::ACQUITTAL_TIME;
pub use order::Order;
pub use suspect::{Kind, Suspect, Suspects};

/// Number of crashes for which a suspect must be blamed so that requests with it are not repeated.
pub const SUSPICION_CRASHES: usize = 2;

/// Number of crashes for which a suspect must be blamed to be quarantined.
pub const QUARANTINE_CRASHES: usize = 3;

/// Time for which blame is kept. A request that comes once a minute must not go unnoticed.
const BLAME_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum age of blame, unless it is older than this process. What this process knew of answers since then may
/// be gone, and it has had the earlier reports. Answers are kept for longer.
const MAX_BLAME_AGE: Duration = Duration::from_secs(25);

/// Maximum number of suspects of one kind that are blamed.
const MAX_BLAMED: usize = 512;

/// Maximum number of runs whose crashes are counted.
const MAX_RUNS: usize = 1_024;

/// Time in which an instance notices that all its requests at a crashed upstream are broken. An upstream that
/// restarts and crashes again needs longer.
const SAME_CRASH_TIME: Duration = Duration::from_millis(500);

/// Number of suspects up to which one crash under a request blames all of them at once. More are remembered apart
/// until they are blamed again.
const MANY_SUSPECTS: usize = 33;

/// Maximum number of orders on suspects of one kind.
const MAX_ORDERS: usize = 256;

/// A suspect of a request under which an upstream has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blame {
    /// What is blamed.
    pub suspect: Suspect,
    /// Hash of the run of the upstream.
    pub run: u64,
    /// Number of crashes of what was published as this run that the reporting instance had noticed before.
    pub earlier_crashes: u32,
    /// Hash of the name of the customer whose request it was.
    pub customer: u64,
    /// Hash that tells the request apart from others with the same suspect.
    pub request: u64,
    /// Whether the suspect is one of more than [`MANY_SUSPECTS`] that nothing acquitted.
    pub one_of_many: bool,
}

impl Blame {
    /// Returns whether it is for the same crash as `other`.
    fn is_of_same_crash(&self, other: &Self) -> bool {
        (self.run, self.earlier_crashes) == (other.run, other.earlier_crashes)
    }

    /// Returns the short id of the crash.
    fn crash_id(&self) -> u32 {
        crashes::short_id(self.run, self.earlier_crashes)
    }
}

/// Crashes of what is published as one run of an upstream: it may restart before the platform says so.
#[derive(Clone, Copy, Debug)]
struct RunCrashes {
    last_at: Duration,
    /// Number of crashes before the last one.
    earlier: u32,
}

/// The blame, acquittals and orders that one instance has.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// At most [`MAX_BLAMED`] of each kind. Without the suspects that an order binds.
    cases: HashMap<Suspect, Case>,
    /// Suspects that were blamed for one crash, together with many others.
    once: Once,
    /// Complete answers to requests of this instance.
    answers: Answers,
    /// Orders, also those that were revoked; at most [`MAX_ORDERS`] of each kind.
    orders: HashMap<Suspect, Order>,
    /// Requests for trials, of suspects that this instance judges; none without an order.
    contests: HashMap<Suspect, Contest>,
    /// Crashes that this instance has noticed, by run; at most [`MAX_RUNS`].
    runs: HashMap<u64, RunCrashes>,
    /// Blame of this instance's own requests that is to be sent to the judges; with at most [`report::MAX_REPORTED`]
    /// and [`report::MAX_REPORTED_OF_MANY`] suspects.
    reports: Vec<Report>,
    report_allowance: Allowance,
    report_of_many_allowance: Allowance,
}

impl Quarantine {
    /// Records blame that arose `age` ago. Returns the order that it leads to or changes.
    pub fn record_blame(&mut self, now: Duration, age: Duration, blame: Blame) -> Option<Order> {
        let (_, order) = self.collect(now, age, blame);
        order
    }

    /// Records blame that another instance sent, and schedules reports to the next ones if it was new. Returns
    /// the order that it leads to or changes.
    pub fn relay_blame(&mut self, now: Duration, age: Duration, blame: Blame) -> Option<Order> {
        let at = now.saturating_sub(age);
        self.learn_crash(at, &blame);
        let (is_new, order) = self.collect(now, age, blame);
        if is_new {
            self.add_report(at, blame, &[blame.suspect]);
        }
        order
    }

    /// Records blame that arose `age` ago. Returns whether it was new, and the order that it leads to or changes.
    fn collect(&mut self, now: Duration, age: Duration, blame: Blame) -> (bool, Option<Order>) {
        let (at, suspect) = (now.saturating_sub(age), blame.suspect);
        let is_late = MAX_BLAME_AGE <= age && age <= now;
        if is_late || self.answers.acquit(suspect, at) {
            return (false, None);
        }
        if let Some(order) = self.orders.get_mut(&suspect) {
            if order.in_force {
                order.last_crash_at = order.last_crash_at.max(at);
                let is_changed = order.extend_to(blame.customer) || order.record_failed_trial(at);
                return (false, is_changed.then_some(*order));
            }
            // Reports are repeated.
            if order.was_explained && order.crashes.contain(blame.crash_id()) {
                return (false, None);
            }
        }
        if !self.cases.contains_key(&suspect) {
            if blame.one_of_many && !self.once.is_of_another_crash(&blame) {
                return (self.once.insert(at, blame), None);
            }
            self.make_place_for_case(suspect.kind);
        }
        let case = self.cases.entry(suspect).or_default();
        if let Some((at, first)) = self.once.remove(suspect) {
            case.add(at, &first);
        }
        let is_new = case.add(at, &blame);
        let known = self.orders.get(&suspect);
        let needed = match known.is_some_and(|o| o.is_explanation_refuted(at)) {
            true => SUSPICION_CRASHES,
            false => QUARANTINE_CRASHES,
        };
        let is_due = case.counted(suspect.kind) >= needed;
        // An order of the same moment must not displace another: requests with either are refused.
        if !is_new || !is_due || !self.has_place_for_order(now, suspect) {
            return (is_new, None);
        }
        let Some(case) = self.cases.get(&suspect) else {
            return (is_new, None);
        };
        let (customer, last_crash_at) = (case.only_customer(), case.last_at());
        let crashes = case.crashes();
        self.cases.remove(&suspect);
        let known = self.orders.get(&suspect);
        let serial = known.map_or(1, |o| o.serial.saturating_add(1));
        let order = Order {
            suspect,
            customer,
            serial,
            in_force: true,
            trials: 0,
            since: now,
            last_crash_at,
            crashes,
            was_explained: known.is_some_and(|o| o.was_explained),
        };
        self.insert_order(order);
        (true, Some(order))
    }

    /// Records that the `run` of an upstream crashed under a request of this instance, and schedules reports to
    /// the judges. Returns the orders that this leads to.
    pub fn record_crash(&mut self, now: Duration, run: u64, suspects: &Suspects) -> Vec<Order> {
        let earlier_crashes = self.count_crash(now, run);
        let blamed = suspects.iter().filter(|s| !self.answers.acquit(*s, now));
        let blamed: Vec<Suspect> = blamed.collect();
        let Some(first) = blamed.first() else {
            return Vec::new();
        };
        let blame = Blame {
            suspect: *first,
            run,
            earlier_crashes,
            customer: suspects.customer,
            request: suspects.request,
            one_of_many: blamed.len() > MANY_SUSPECTS,
        };
        self.add_report(now, blame, &blamed);
        let blames = blamed.into_iter().map(|suspect| Blame { suspect, ..blame });
        blames
            .filter_map(|blame| self.record_blame(now, Duration::ZERO, blame))
            .collect()
    }

    /// Records that `run` was noticed to have crashed. Returns the number of its earlier crashes.
    fn count_crash(&mut self, now: Duration, run: u64) -> u32 {
        if self.runs.len() >= MAX_RUNS && !self.runs.contains_key(&run) {
            return 0;
        }
        let crashes = self.runs.entry(run).or_insert(RunCrashes {
            last_at: now,
            earlier: 0,
        });
        if now.saturating_sub(crashes.last_at) >= SAME_CRASH_TIME {
            crashes.earlier = crashes.earlier.saturating_add(1);
        }
        crashes.last_at = now;
        crashes.earlier
    }

    /// Learns of a crash that another instance has noticed, so that a later one is told apart from it.
    fn learn_crash(&mut self, at: Duration, blame: &Blame) {
        let learned = RunCrashes {
            last_at: at,
            earlier: blame.earlier_crashes,
        };
        if self.runs.len() >= MAX_RUNS && !self.runs.contains_key(&blame.run) {
            return;
        }
        let known = self.runs.entry(blame.run).or_insert(learned);
        if known.earlier < learned.earlier {
            *known = learned;
        }
    }

    /// Records a complete answer. Returns the orders that it revokes.
    pub fn record_answer(&mut self, now: Duration, suspects: &Suspects) -> Vec<Order> {
        let mut revoked = Vec::new();
        self.reports.retain_mut(|report| {
            report.suspects.retain(|s| !suspects.contains(*s));
            !report.suspects.is_empty()
        });
        for suspect in suspects.iter() {
            self.answers.record(now, suspect, suspects.request);
            self.cases.remove(&suspect);
            self.once.remove(suspect);
            if let Some(order) = self.orders.get_mut(&suspect)
                && order.in_force
            {
                order.revoke(now);
                revoked.push(*order);
            }
        }
        self.answers.limit();
        revoked
    }

    /// Returns whether a request that met a crash must not be repeated: one of its suspects is blamed for
    /// several.
    pub fn is_suspected(&self, suspects: &Suspects) -> bool {
        suspects.iter().any(|suspect| {
            let case = self.cases.get(&suspect);
            let crashes = case.map_or(0, |case| case.counted(suspect.kind));
            crashes >= SUSPICION_CRASHES || self.orders.get(&suspect).is_some_and(|o| o.in_force)
        })
    }

    /// Grants a trial of a quarantined suspect if one is due. Returns the changed order.
    pub fn grant_trial(&mut self, now: Duration, suspect: Suspect) -> Option<Order> {
        let order = self.orders.get_mut(&suspect)?;
        if !order.in_force || now < order.trial_due_at() {
            return None;
        }
        order.grant_trial(now);
        Some(*order)
    }

    /// Takes back a trial that no upstream ran. Returns the changed order.
    pub fn take_back_trial(&mut self, now: Duration, suspect: Suspect) -> Option<Order> {
        let order = self.orders.get_mut(&suspect)?;
        order.take_back_trial(now).then_some(*order)
    }

    /// Releases each proven suspect that was quarantined for crashes which orders on unproven ones explain: requests
    /// with it ran beside theirs, or had them too. Returns the orders that this revokes.
    pub fn release_explained(&mut self, now: Duration) -> Vec<Order> {
        let is_proven = |o: &Order| self.answers.prove(o.suspect);
        let may_be_released = |o: &&Order| {
            let is_untried = o.in_force && o.trials == 0 && !o.was_explained;
            is_untried && is_proven(o)
        };
        let proven: Vec<Order> = self
            .orders
            .values()
            .filter(may_be_released)
            .copied()
            .collect();
        if proven.is_empty() {
            return Vec::new();
        }
        let others = self.orders.values().filter(|o| o.in_force && !is_proven(o));
        let explained: HashSet<u32> = others.flat_map(|o| o.crashes.ids()).collect();
        let is_explained = |o: &Order| {
            let unexplained = o.crashes.ids().filter(|id| !explained.contains(id));
            // Orders of earlier versions name no crashes.
            o.crashes.ids().count() == QUARANTINE_CRASHES && unexplained.count() < SUSPICION_CRASHES
        };
        let released = proven.into_iter().filter(is_explained).map(|mut order| {
            order.revoke(now);
            order.was_explained = true;
            order
        });
        let released: Vec<Order> = released.collect();
        for order in &released {
            self.orders.insert(order.suspect, *order);
        }
        released
    }

    /// Merges an order of another instance. Returns whether it was new, and the order that revokes it
    /// if this instance has an answer that acquits the suspect.
    pub fn merge_order(&mut self, now: Duration, order: Order) -> (bool, Option<Order>) {
        if order.is_expired(now)
            || self
                .orders
                .get(&order.suspect)
                .is_some_and(|o| !order.replaces(o))
        {
            return (false, None);
        }
        self.cases.remove(&order.suspect);
        self.insert_order(order);
        if !order.in_force || !self.answers.acquit(order.suspect, order.last_crash_at) {
            return (true, None);
        }
        let mut revoked = order;
        revoked.revoke(now);
        self.insert_order(revoked);
        (true, Some(revoked))
    }

    fn insert_order(&mut self, order: Order) {
        if let Some(oldest) = self.order_to_displace(order.suspect) {
            let suspect = oldest.suspect;
            self.orders.remove(&suspect);
        }
        self.orders.insert(order.suspect, order);
    }

    /// Returns the order that makes place for one on `suspect`; `None` if there is place.
    fn order_to_displace(&self, suspect: Suspect) -> Option<&Order> {
        let of_kind = || {
            self.orders
                .values()
                .filter(|o| o.suspect.kind == suspect.kind)
        };
        let is_full = of_kind().count() >= MAX_ORDERS && !self.orders.contains_key(&suspect);
        let oldest = || of_kind().min_by_key(|o| (o.in_force, o.since));
        is_full.then(oldest).flatten()
    }

    /// Returns whether an order on `suspect` displaces none that was given at `now`.
    fn has_place_for_order(&self, now: Duration, suspect: Suspect) -> bool {
        let displaced = self.order_to_displace(suspect);
        displaced.is_none_or(|o| !o.in_force || o.since < now)
    }

    /// Returns all orders, also those that were revoked.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.orders.values()
    }

    /// Returns the blamed suspects and the number of crashes that count against them.
    pub fn blamed(&self) -> impl Iterator<Item = (Suspect, usize)> {
        let cases = self.cases.iter();
        cases.map(|(suspect, case)| (*suspect, case.counted(suspect.kind)))
    }

    /// Returns a digest of the orders, with which instances find out whether theirs differ; 0 without orders.
    pub fn digest(&self) -> u32 {
        order::digest(self.orders.values())
    }

    /// Removes what is too old.
    pub fn remove_expired(&mut self, now: Duration) {
        if let Some(oldest) = now.checked_sub(BLAME_LIFETIME) {
            self.cases.retain(|_, case| case.remove_before(oldest));
            self.once.remove_before(oldest);
            self.runs.retain(|_, crashes| crashes.last_at > oldest);
        }
        self.orders.retain(|_, order| !order.is_expired(now));
        let orders = &self.orders;
        self.contests
            .retain(|suspect, _| orders.get(suspect).is_some_and(|o| o.in_force));
        self.answers.remove_expired(now);
    }

    /// Drops the case with the least blame if there are too many, the oldest of several, so that made-up
    /// requests, which are blamed once each, do not displace others.
    fn make_place_for_case(&mut self, kind: Kind) {
        let of_kind = || {
            self.cases
                .iter()
                .filter(|(suspect, _)| suspect.kind == kind)
        };
        if of_kind().count() < MAX_BLAMED {
            return;
        }
        let weakest = of_kind().min_by_key(|(_, case)| (case.counted(kind), case.last_at()));
        if let Some(suspect) = weakest.map(|(suspect, _)| *suspect) {
            self.cases.remove(&suspect);
        }
    }
}
