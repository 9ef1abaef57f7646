//! Invariants across instances, which can only be checked on the whole simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sesamebarrow_rules::{KeyDigest, Rules, list};
use sesamebarrow_wire::control::DocumentKind;

use crate::platform::{Platform, Publication};

/// Maximum time until a published change is in force at every instance that has a path to the
/// platform. Equals the default of [`sesamebarrow_policy::Settings::propagation_time`].
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(14);

/// Tolerance, in tokens, for rounding of shares.
const ROUNDING_TOKENS: f64 = 1e-3;

/// Observations of a run and the violations found in them.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    /// Number of runs of each non-idempotent request, by work id.
    pub runs: BTreeMap<String, u32>,
    /// Execution ids (see `Call::execution_id`) of requests that ran.
    executed: BTreeSet<String>,
    /// Execution ids of which a caller was told that they did not run.
    reported_not_run: BTreeSet<String>,
    /// Execution ids whose tokens were counted in `admitted`.
    counted: BTreeSet<String>,
    /// Times and tokens of admissions, by customer.
    pub admitted: BTreeMap<String, Vec<(Duration, u64)>>,
    /// Violations found so far.
    pub violations: Vec<String>,
}

/// Rate and burst of a customer.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: f64,
    burst: f64,
}

impl Limit {
    /// Returns the largest rate and burst of `customer` that may be in force at `at`.
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

    /// Records that a non-idempotent request ran with `ticket`, and checks that it is the only
    /// run.
    pub fn record_at_most_once_run(&mut self, work_id: &str, ticket: &str, now: Duration) {
        let runs = self.runs.entry(work_id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        self.ensure(runs <= 1, || {
            format!("{now:?}: non-idempotent request {work_id} ran {runs} times")
        });
        self.record_run(ticket, now);
    }

    /// Records that a request ran, and checks that no caller was told that it did not run.
    pub fn record_run(&mut self, execution_id: &str, now: Duration) {
        self.executed.insert(execution_id.to_owned());
        let reported = self.reported_not_run.contains(execution_id);
        self.ensure(!reported, || {
            format!("{now:?}: {execution_id} ran after it was reported as not run")
        });
    }

    /// Records that a caller was told that a request did not run, and checks that it did not.
    pub fn record_not_run(&mut self, execution_id: &str, now: Duration) {
        let executed = self.executed.contains(execution_id);
        self.ensure(!executed, || {
            format!("{now:?}: {execution_id} was reported as not run, but ran")
        });
        self.reported_not_run.insert(execution_id.to_owned());
    }

    /// Checks that a caller got the answer to its own request.
    pub fn check_answer(&mut self, wanted: &str, got: &str, now: Duration) {
        self.ensure(wanted == got, || {
            format!("{now:?}: request {wanted} was answered with the response to {got}")
        });
    }

    /// Records that tokens of a customer were admitted at `at` for a request. A request counts
    /// once, however many attempts it takes.
    pub fn record_admission(
        &mut self,
        execution_id: &str,
        customer: &str,
        tokens: u64,
        at: Duration,
    ) {
        if !self.counted.insert(execution_id.to_owned()) {
            return;
        }
        let entry = self.admitted.entry(customer.to_owned()).or_default();
        entry.push((at, tokens));
    }

    /// Checks that admissions keep to the customer's rate and burst in every time window: a
    /// leaky bucket that drains at the rate must never hold more than the burst.
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
                    format!("{at:?}: {customer} was admitted {level:.3} tokens above its rate, limit {limit:?}")
                });
            }
        }
    }

    /// Checks that `customer` may use `region` by any revision of the rules that may still be
    /// in force.
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
            format!("{now:?}: a request of {customer} was sent to {region}, where it may not run")
        });
    }

    /// Checks that a request is not sent with a withdrawn key by an instance that must know of
    /// the withdrawal.
    pub fn check_key(
        &mut self,
        platform: &Platform,
        key: &KeyDigest,
        must_be_current: bool,
        now: Duration,
    ) {
        let known = rules_in_force(platform, now).any(|r| r.keys.contains_key(key));
        self.ensure(known || !must_be_current, || {
            format!("{now:?}: a request with a withdrawn key was sent on")
        });
    }

    /// Checks that a leaving upstream gets no new request from an instance that must know that
    /// it is leaving.
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
            format!("{now:?}: {upstream}, which is leaving, got a new request")
        });
    }
}

/// Returns the revisions of the rules that may be in force at an instance with a path to the
/// platform.
fn rules_in_force(platform: &Platform, now: Duration) -> impl Iterator<Item = Rules> {
    documents_in_force(platform, DocumentKind::Rules, now)
        .filter_map(|v| sesamebarrow_rules::parse(&v.text).ok())
}

/// Returns the revisions of a document that may be in force at an instance with a path to the
/// platform.
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
