//! Promises that only the whole world can check.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sesamebarrow_rules::{KeyDigest, Rules, list};
use sesamebarrow_wire::control::DocumentKind;

use crate::platform::{Platform, Publication};

/// Time in which a change is in force everywhere that can be reached.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(14);

/// Tokens that a rounding of shares may leave, far below one.
const ROUNDING_TOKENS: f64 = 1e-3;

/// What has been seen.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    /// How often each order that runs at most once ran.
    pub runs: BTreeMap<String, u32>,
    /// Tickets, and orders without one, that ran.
    executed: BTreeSet<String>,
    /// Tickets, and orders without one, of which a caller was told that they did not run.
    reported_not_run: BTreeSet<String>,
    /// Tickets, and orders without one, whose tokens were counted.
    counted: BTreeSet<String>,
    /// Tokens admitted and when, by customer.
    pub admitted: BTreeMap<String, Vec<(Duration, u64)>>,
    /// What was broken.
    pub violations: Vec<String>,
}

/// A customer's entitlement at a moment.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: f64,
    burst: f64,
}

impl Limit {
    /// Returns the largest that may still be in force.
    fn in_force_at(platform: &Platform, customer: &str, at: Duration) -> Self {
        let mut limit = Self {
            rate: 0.0,
            burst: 0.0,
        };
        for rules in rules_in_force(platform, at) {
            if let Some(entry) = rules.customers.get(customer) {
                limit.rate = limit.rate.max(entry.rate as f64);
                limit.burst = limit.burst.max(entry.burst as f64);
            }
        }
        limit
    }
}

impl Invariants {
    fn ensure(&mut self, holds: bool, message: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(message());
        }
    }

    /// Notes that an order that runs at most once ran under `ticket`.
    pub fn record_at_most_once_run(&mut self, work_id: &str, ticket: &str, now: Duration) {
        let runs = self.runs.entry(work_id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        self.ensure(runs <= 1, || {
            format!("{now:?}: order {work_id} ran {runs} times")
        });
        self.record_run(ticket, now);
    }

    /// Notes that a request ran, which its ticket or its order names.
    pub fn record_run(&mut self, name: &str, now: Duration) {
        self.executed.insert(name.to_owned());
        let reported = self.reported_not_run.contains(name);
        self.ensure(!reported, || format!("{now:?}: {name} ran after `not run`"));
    }

    /// Notes that a caller was told that what its ticket or its order names did not run.
    pub fn record_not_run(&mut self, name: &str, now: Duration) {
        let executed = self.executed.contains(name);
        self.ensure(!executed, || {
            format!("{now:?}: `not run` for {name}, which ran")
        });
        self.reported_not_run.insert(name.to_owned());
    }

    /// Notes that a caller's order was answered with that of another.
    pub fn check_answer(&mut self, wanted: &str, got: &str, now: Duration) {
        self.ensure(wanted == got, || {
            format!("{now:?}: order {wanted} was answered with that of {got}")
        });
    }

    /// Notes that tokens of a customer were admitted at `at` for what `name` names, which
    /// counts once however many attempts it takes.
    pub fn record_admission(&mut self, name: &str, customer: &str, tokens: u64, at: Duration) {
        if !self.counted.insert(name.to_owned()) {
            return;
        }
        let entry = self.admitted.entry(customer.to_owned()).or_default();
        entry.push((at, tokens));
    }

    /// Checks what was admitted against rate and burst in every window: a bucket that
    /// drains at the rate must never hold more than the burst.
    pub fn check_rate_limits(&mut self, platform: &Platform) {
        let admitted = self.admitted.clone();
        for (customer, mut admissions) in admitted {
            admissions.sort();
            let mut level = 0.0;
            let mut since = Duration::ZERO;
            for (at, tokens) in admissions {
                let limit = Limit::in_force_at(platform, &customer, at);
                level -= limit.rate * at.saturating_sub(since).as_secs_f64();
                level = f64::max(level, 0.0) + tokens as f64;
                since = at;
                self.ensure(level <= limit.burst + ROUNDING_TOKENS, || {
                    format!("{at:?}: {customer} has {level:.3} above its rate, {limit:?}")
                });
            }
        }
    }

    /// Notes that a request of `customer` goes to `region`, by the rules of any moment
    /// that may still be in force.
    pub fn check_region(
        &mut self,
        platform: &Platform,
        customer: &str,
        region: &str,
        now: Duration,
    ) {
        let allowed = rules_in_force(platform, now).any(|r| {
            r.customers
                .get(customer)
                .is_some_and(|c| c.regions.contains(region))
        });
        self.ensure(allowed, || {
            format!("{now:?}: data of {customer} went to {region}")
        });
    }

    /// Notes that a request that came with `key` runs.
    pub fn check_key(
        &mut self,
        platform: &Platform,
        key: &KeyDigest,
        must_be_current: bool,
        now: Duration,
    ) {
        let known = rules_in_force(platform, now).any(|r| r.keys.contains_key(key));
        self.ensure(known || !must_be_current, || {
            format!("{now:?}: a request runs by a withdrawn key")
        });
    }

    /// Notes that an upstream gets new work.
    pub fn check_upstream(
        &mut self,
        platform: &Platform,
        upstream: &str,
        must_be_current: bool,
        now: Duration,
    ) {
        let leaving = documents_in_force(platform, DocumentKind::List, now)
            .filter_map(|v| list::parse(&v.text).ok())
            .all(|l| {
                l.upstreams
                    .get(upstream)
                    .is_some_and(|u| u.state == list::State::Leaving)
            });
        self.ensure(!leaving || !must_be_current, || {
            format!("{now:?}: {upstream}, which is leaving, got new work")
        });
    }
}

/// Returns the rules that may be in force somewhere that can be reached.
fn rules_in_force(platform: &Platform, now: Duration) -> impl Iterator<Item = Rules> {
    documents_in_force(platform, DocumentKind::Rules, now)
        .filter_map(|v| sesamebarrow_rules::parse(&v.text).ok())
}

/// Returns the revisions of a document that may be in force somewhere that can be reached.
fn documents_in_force(
    platform: &Platform,
    kind: DocumentKind,
    now: Duration,
) -> impl Iterator<Item = &Publication> {
    let start = now.saturating_sub(PROPAGATION_LIMIT);
    let oldest = platform.newest_at(kind, start).map_or(0, |v| v.revision);
    platform
        .history
        .iter()
        .filter(move |(k, v)| *k == kind && v.revision >= oldest)
        .map(|(_, v)| v)
}
