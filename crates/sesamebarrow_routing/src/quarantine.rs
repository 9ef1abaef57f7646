//! Prompt parts that crash upstreams: which are suspected, and which are quarantined.
//!
//! A crash ends all requests that its upstream was running, most of which did nothing to it. Each part of
//! their prompts is blamed once for each run of an upstream that ended; a complete answer acquits.
//!
//! | observation | consequence |
//! |---|---|
//! | an upstream has crashed under a request | its parts are blamed for that run, unless acquitted |
//! | complete answer | its parts are acquitted of crashes until [`ACQUITTAL_TIME`] later, and released |
//! | a part is blamed for [`SUSPICION_CRASHES`] runs | requests with it that met a crash are not repeated |
//! | a part is blamed for [`QUARANTINE_CRASHES`] runs | an order: requests with it are refused in the whole fleet |
//! | all blame comes from one customer's requests | the order binds only this customer, until others meet crashes |
//! | some time after an order | one request of the fleet is a trial; each further delay is longer |
//!
//! The last part of a prompt belongs to its request alone and is not blamed. The instances with the highest
//! rendezvous weights for a part, its judges, collect blame from all others. Orders are sent to all instances,
//! and again to those whose [`Quarantine::digest`] differs.

use std::collections::HashMap;
use std::time::Duration;

use crate::cache::PromptPart;
use crate::rendezvous;

pub mod message;
mod order;

pub use order::Order;

/// Number of runs for which a part must be blamed to be suspected.
pub const SUSPICION_CRASHES: usize = 2;

/// Number of runs for which a part must be blamed to be quarantined.
pub const QUARANTINE_CRASHES: usize = 3;

/// Time after a complete answer in which its parts are not blamed. A part that crashes upstreams has no
/// complete answers, unlike the parts of requests that run beside it.
pub const ACQUITTAL_TIME: Duration = Duration::from_secs(10);

/// Time for which blame is kept. A part that is requested once a minute must not go unnoticed.
const BLAME_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which an answer is kept, to object to orders that arrive late.
const ANSWER_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of parts that are blamed.
const MAX_BLAMED: usize = 1_024;

/// Maximum number of parts of one prompt that are distinguished.
const MAX_PARTS: usize = 32;

/// Key of the id that replaces the parts of longer prompts.
const LONG_PROMPTS: u64 = 1;

/// Maximum number of parts whose last answer is kept.
const MAX_ANSWERED: usize = 8_192;

/// Maximum number of orders.
const MAX_ORDERS: usize = 256;

/// Maximum number of runs that are kept for each blamed part.
const MAX_RUNS: usize = 8;

/// Times after which blame is sent to the judges again, since datagrams may be lost.
const REPORT_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1_500),
    Duration::from_secs(5),
];

/// A part that was in a prompt under which an upstream has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blame {
    /// Id of the part.
    pub part: u64,
    /// Hash of the run of the upstream.
    pub run: u64,
    /// Hash of the name of the customer whose request it was.
    pub customer: u64,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It must not: this part is quarantined.
    Quarantined(u64),
    /// It must not, unless the first judge of this quarantined part grants a trial.
    TrialDue(u64),
}

/// Blame of one part, for several runs.
#[derive(Clone, Debug, Default)]
struct Case {
    /// Without two entries of the same run and customer; oldest first.
    blames: Vec<(Duration, Blame)>,
}

impl Case {
    fn runs(&self) -> usize {
        let mut runs: Vec<u64> = self.blames.iter().map(|(_, blame)| blame.run).collect();
        runs.sort_unstable();
        runs.dedup();
        runs.len()
    }

    /// Returns the customer to which all blame belongs; `None` if there are several.
    fn only_customer(&self) -> Option<u64> {
        let (_, first) = self.blames.first()?;
        let same = |(_, blame): &(Duration, Blame)| blame.customer == first.customer;
        self.blames.iter().all(same).then_some(first.customer)
    }

    fn last_at(&self) -> Duration {
        let times = self.blames.iter().map(|(at, _)| *at);
        times.max().unwrap_or_default()
    }
}

/// Blame that is sent to the judges.
#[derive(Clone, Copy, Debug)]
struct Report {
    blame: Blame,
    at: Duration,
    /// Number of times that it was sent.
    sent: usize,
}

/// The blame, acquittals and orders that one instance has.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Blame by part; at most [`MAX_BLAMED`]. Without the parts that an order binds.
    cases: HashMap<u64, Case>,
    /// When parts were last answered completely; at most [`MAX_ANSWERED`].
    answered: HashMap<u64, Duration>,
    /// Orders by part, also those that were revoked; at most [`MAX_ORDERS`].
    orders: HashMap<u64, Order>,
    /// Blame of this instance's own requests that is to be sent to the judges.
    reports: Vec<Report>,
}

/// Returns the parts of a customer's prompt that may be blamed: all but the last. All prompts of a
/// customer with more than [`MAX_PARTS`] share one id, so that made-up parts neither fill the tables nor hide a
/// harmful one.
pub fn blamed_parts(customer: u64, prompt: &[PromptPart]) -> impl Iterator<Item = u64> {
    let shared = &prompt[..prompt.len().saturating_sub(1)];
    let (few, many) = match shared.len() <= MAX_PARTS {
        true => (shared, None),
        false => (
            &[][..],
            Some(rendezvous::weight_of_hashes(customer, LONG_PROMPTS)),
        ),
    };
    few.iter().map(|part| part.id).chain(many)
}

impl Quarantine {
    /// Records blame that arose `age` ago. Returns the order that it leads to or changes.
    pub fn record_blame(&mut self, now: Duration, age: Duration, blame: Blame) -> Option<Order> {
        let at = now.saturating_sub(age);
        if self.is_acquitted(blame.part, at) {
            return None;
        }
        if let Some(order) = self.orders.get_mut(&blame.part)
            && order.in_force
        {
            order.last_crash_at = order.last_crash_at.max(at);
            return order.extend_to(blame.customer).then_some(*order);
        }
        if self.cases.len() >= MAX_BLAMED && !self.cases.contains_key(&blame.part) {
            self.drop_weakest_case();
        }
        let case = self.cases.entry(blame.part).or_default();
        let known =
            |(_, b): &&(Duration, Blame)| (b.run, b.customer) == (blame.run, blame.customer);
        if case.blames.iter().find(known).is_none() && case.blames.len() < MAX_RUNS {
            case.blames.push((at, blame));
        }
        if case.runs() < QUARANTINE_CRASHES {
            return None;
        }
        let (customer, last_crash_at) = (case.only_customer(), case.last_at());
        self.cases.remove(&blame.part);
        let known = self.orders.get(&blame.part);
        let serial = known.map_or(1, |o| o.serial.saturating_add(1));
        let order = Order {
            part: blame.part,
            customer,
            serial,
            in_force: true,
            trials: 0,
            since: now,
            last_crash_at,
        };
        self.insert_order(order);
        Some(order)
    }

    /// Records that the `run` of an upstream crashed under a request of this instance, and schedules reports to
    /// the judges. Returns the orders that this leads to.
    pub fn record_crash(
        &mut self,
        now: Duration,
        run: u64,
        customer: u64,
        prompt: &[PromptPart],
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for part in blamed_parts(customer, prompt) {
            if self.is_acquitted(part, now) {
                continue;
            }
            let blame = Blame {
                part,
                run,
                customer,
            };
            if self.reports.len() < MAX_BLAMED {
                self.reports.push(Report {
                    blame,
                    at: now,
                    sent: 0,
                });
            }
            orders.extend(self.record_blame(now, Duration::ZERO, blame));
        }
        orders
    }

    /// Records a complete answer. Returns the orders that it revokes.
    pub fn record_answer(
        &mut self,
        now: Duration,
        customer: u64,
        prompt: &[PromptPart],
    ) -> Vec<Order> {
        let mut revoked = Vec::new();
        for part in blamed_parts(customer, prompt) {
            self.answered.insert(part, now);
            self.cases.remove(&part);
            self.reports.retain(|report| report.blame.part != part);
            if let Some(order) = self.orders.get_mut(&part)
                && order.in_force
            {
                order.revoke(now);
                revoked.push(*order);
            }
        }
        if self.answered.len() > MAX_ANSWERED {
            self.drop_old_answers(now);
        }
        revoked
    }

    /// Returns whether a complete answer acquits a part of crashes at `at`.
    fn is_acquitted(&self, part: u64, at: Duration) -> bool {
        let answered = self.answered.get(&part);
        answered.is_some_and(|answered| at < *answered + ACQUITTAL_TIME)
    }

    /// Returns whether a request may be sent.
    pub fn admission(&self, now: Duration, customer: u64, prompt: &[PromptPart]) -> Admission {
        let mut admission = Admission::Allowed;
        if self.orders.is_empty() {
            return admission;
        }
        for part in blamed_parts(customer, prompt) {
            let Some(order) = self.orders.get(&part) else {
                continue;
            };
            if !order.binds(customer) || self.is_acquitted(part, order.last_crash_at) {
                continue;
            }
            if now < order.trial_due_at() {
                return Admission::Quarantined(part);
            }
            admission = Admission::TrialDue(part);
        }
        admission
    }

    /// Returns whether a request that met a crash must not be repeated: one of its parts is suspected.
    pub fn is_suspected(&self, customer: u64, prompt: &[PromptPart]) -> bool {
        blamed_parts(customer, prompt).any(|part| {
            let runs = self.cases.get(&part).map_or(0, Case::runs);
            runs >= SUSPICION_CRASHES || self.orders.get(&part).is_some_and(|o| o.in_force)
        })
    }

    /// Grants a trial of a quarantined part if one is due. Returns the changed order.
    pub fn grant_trial(&mut self, now: Duration, part: u64) -> Option<Order> {
        let order = self.orders.get_mut(&part)?;
        if !order.in_force || now < order.trial_due_at() {
            return None;
        }
        order.trials = order.trials.saturating_add(1);
        order.since = now;
        Some(*order)
    }

    /// Merges an order of another instance. Returns whether it was new, and the order that revokes it
    /// if this instance has an answer that acquits the part.
    pub fn merge_order(&mut self, now: Duration, order: Order) -> (bool, Option<Order>) {
        if order.is_expired(now)
            || self
                .orders
                .get(&order.part)
                .is_some_and(|o| !order.replaces(o))
        {
            return (false, None);
        }
        self.cases.remove(&order.part);
        self.insert_order(order);
        if !order.in_force || !self.is_acquitted(order.part, order.last_crash_at) {
            return (true, None);
        }
        let mut revoked = order;
        revoked.revoke(now);
        self.insert_order(revoked);
        (true, Some(revoked))
    }

    fn insert_order(&mut self, order: Order) {
        if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(&order.part) {
            let oldest = self.orders.values().min_by_key(|o| (o.in_force, o.since));
            if let Some(part) = oldest.map(|o| o.part) {
                self.orders.remove(&part);
            }
        }
        self.orders.insert(order.part, order);
    }

    /// Returns all orders, also those that were revoked.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.orders.values()
    }

    /// Returns the blamed parts and the number of runs for which they are blamed.
    pub fn blamed(&self) -> impl Iterator<Item = (u64, usize)> {
        self.cases.iter().map(|(part, case)| (*part, case.runs()))
    }

    /// Returns a digest of the orders, with which instances find out whether theirs differ; 0 without orders.
    pub fn digest(&self) -> u32 {
        order::digest(self.orders.values())
    }

    /// Returns the blame that is due to be sent to the judges, and its age.
    pub fn take_due_reports(&mut self, now: Duration) -> Vec<(Blame, Duration)> {
        let mut due = Vec::new();
        for report in &mut self.reports {
            let age = now.saturating_sub(report.at);
            if REPORT_TIMES
                .get(report.sent)
                .is_some_and(|time| age >= *time)
            {
                report.sent += 1;
                due.push((report.blame, age));
            }
        }
        self.reports.retain(|r| r.sent < REPORT_TIMES.len());
        due
    }

    /// Removes what is too old.
    pub fn remove_expired(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < BLAME_LIFETIME;
        for case in self.cases.values_mut() {
            case.blames.retain(|(at, _)| is_recent(*at));
        }
        self.cases.retain(|_, case| !case.blames.is_empty());
        self.orders.retain(|_, order| !order.is_expired(now));
        self.answered
            .retain(|_, at| now.saturating_sub(*at) < ANSWER_LIFETIME);
    }

    /// Drops the case with the least blame, the oldest of several, so that made-up parts, which are blamed
    /// once each, do not displace others.
    fn drop_weakest_case(&mut self) {
        let weakest = self
            .cases
            .iter()
            .min_by_key(|(_, case)| (case.runs(), case.last_at()));
        if let Some(part) = weakest.map(|(part, _)| *part) {
            self.cases.remove(&part);
        }
    }

    /// Drops the older half of the answers.
    fn drop_old_answers(&mut self, now: Duration) {
        let mut ages: Vec<Duration> = self.answered.values().copied().collect();
        let (_, median, _) = ages.select_nth_unstable(MAX_ANSWERED / 2);
        let (median, oldest) = (*median, now.saturating_sub(ANSWER_LIFETIME));
        self.answered.retain(|_, at| *at > median.max(oldest));
    }
}
