//! The crashes for which one suspect is blamed.

use std::time::Duration;

use crate::quarantine::crashes::{self, Crashes};
use crate::quarantine::{Blame, Kind};

/// Maximum number of crashes that are kept for each suspect.
const MAX_CRASHES: usize = 8;

/// Maximum number of requests that are kept for each crash.
const MAX_REQUESTS: usize = 8;

/// A crash under requests with the suspect.
#[derive(Clone, Debug)]
struct Crash {
    run: u64,
    earlier_crashes: u32,
    at: Duration,
    /// Hashes of the customers and requests, without duplicates.
    requests: Vec<(u64, u64)>,
}

impl Crash {
    fn is_of(&self, blame: &Blame) -> bool {
        (self.run, self.earlier_crashes) == (blame.run, blame.earlier_crashes)
    }
}

/// The crashes for which one suspect is blamed.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    crashes: Vec<Crash>,
}

impl Case {
    /// Adds blame that arose at `at`. Returns whether it was new.
    pub(super) fn add(&mut self, at: Duration, blame: &Blame) -> bool {
        let request = (blame.customer, blame.request);
        if let Some(crash) = self.crashes.iter_mut().find(|c| c.is_of(blame)) {
            let is_new = !crash.requests.contains(&request) && crash.requests.len() < MAX_REQUESTS;
            if is_new {
                crash.requests.push(request);
            }
            return is_new;
        }
        let is_new = self.crashes.len() < MAX_CRASHES;
        if is_new {
            self.crashes.push(Crash {
                run: blame.run,
                earlier_crashes: blame.earlier_crashes,
                at,
                requests: vec![request],
            });
        }
        is_new
    }

    /// Returns the number of crashes that count against a suspect of `kind`. Crashes that one request explains,
    /// since it met all of them, count as one against what it shares with others: that request is to blame.
    pub(super) fn counted(&self, kind: Kind) -> usize {
        match kind.is_shared() && self.has_common_request() {
            true => self.crashes.len().min(1),
            false => self.crashes.len(),
        }
    }

    fn has_common_request(&self) -> bool {
        let Some((first, others)) = self.crashes.split_first() else {
            return false;
        };
        let met_all = |request| others.iter().all(|c| c.requests.contains(request));
        first.requests.iter().any(met_all)
    }

    /// Returns the customer to which all blame belongs; `None` if there are several.
    pub(super) fn only_customer(&self) -> Option<u64> {
        let mut customers = self
            .crashes
            .iter()
            .flat_map(|c| c.requests.iter().map(|(customer, _)| *customer));
        let first = customers.next()?;
        customers.all(|c| c == first).then_some(first)
    }

    /// Returns the crashes for an order.
    pub(super) fn crashes(&self) -> Crashes {
        let ids = self.crashes.iter();
        Crashes::from_ids(ids.map(|c| crashes::short_id(c.run, c.earlier_crashes)))
    }

    pub(super) fn last_at(&self) -> Duration {
        self.crashes.iter().map(|c| c.at).max().unwrap_or_default()
    }

    /// Removes crashes before `time`. Returns whether any are left.
    pub(super) fn remove_before(&mut self, time: Duration) -> bool {
        self.crashes.retain(|c| c.at > time);
        !self.crashes.is_empty()
    }
}
