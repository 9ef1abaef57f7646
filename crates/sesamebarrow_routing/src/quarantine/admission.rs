//! Whether a request may be sent, and which request is a trial.
//!
//! A crash under a trial shows something of a suspect only if nothing else of the request is to blame. A request that
//! passed on the trial of one suspect but has another, harmful one would use it up and lengthen the time until the
//! next. So a trial is of all quarantined suspects of its request, and of several requests that ask a judge for one, that
//! with the fewest suspects gets it:
//!
//! | suspects of the request | it is granted the trial |
//! |---|---|
//! | one is quarantined, and requests with each other part were answered | as soon as the trial is due |
//! | there are others that may be to blame | [`CONTEST_TIME`] later, unless one with fewer has asked |
//! | there are more than in another request that has asked | [`MAX_CONTEST_TIME`] later |

use std::time::Duration;

use crate::quarantine::{Kind, Order, Quarantine, Suspect, Suspects};

/// Time for which a judge waits for requests with fewer suspects.
const CONTEST_TIME: Duration = Duration::from_secs(2);

/// Time for which a judge leaves a trial to requests with as few suspects as the best that has asked.
const MAX_CONTEST_TIME: Duration = Duration::from_secs(60);

/// Maximum number of judges that are asked for one trial. If a harmful request and a sound one have several
/// quarantined suspects in common, they ask a judge in common.
const MAX_JUDGES_ASKED: usize = 3;

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Allowed,
    /// It must not: this suspect is quarantined.
    Quarantined(Suspect),
    /// It must not, unless it is granted a trial.
    TrialDue(Trial),
}

/// A request that may be a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The quarantined suspects of the request, those with the smallest keys first; at least one.
    pub suspects: Vec<Suspect>,
    /// Number of suspects that may be to blame if an upstream crashes under it, these included.
    pub ambiguity: u32,
}

impl Trial {
    /// Returns the suspects whose first judges have to grant the trial.
    pub fn asked(&self) -> &[Suspect] {
        &self.suspects[..self.suspects.len().min(MAX_JUDGES_ASKED)]
    }
}

/// Requests that ask a judge for the same trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contest {
    since: Duration,
    /// The lowest ambiguity of a request that has asked.
    lowest: u32,
}

impl Quarantine {
    /// Returns whether a request may be sent.
    pub fn admission(&self, now: Duration, suspects: &Suspects) -> Admission {
        let binding: Vec<&Order> = self.binding(suspects).collect();
        if binding.is_empty() {
            return Admission::Allowed;
        }
        if let Some(order) = binding.iter().find(|o| now < o.trial_due_at()) {
            return Admission::Quarantined(order.suspect);
        }
        let mut quarantined: Vec<Suspect> = binding.iter().map(|o| o.suspect).collect();
        quarantined.sort_by_key(|s| s.key());
        let ambiguity = quarantined.len() + self.count_doubtful_parts(suspects, &quarantined);
        Admission::TrialDue(Trial {
            suspects: quarantined,
            // CAST: a request has some thousands of parts at most.
            ambiguity: ambiguity as u32,
        })
    }

    /// Returns a quarantined suspect of a request, other than those of the trials that it was granted.
    pub fn barred(&self, suspects: &Suspects, tried: &[Suspect]) -> Option<Suspect> {
        let mut binding = self.binding(suspects).map(|o| o.suspect);
        binding.find(|suspect| !tried.contains(suspect))
    }

    /// Returns whether a request with this ambiguity may have the trial of a suspect, and notes that it asks.
    pub fn is_preferred(&mut self, now: Duration, suspect: Suspect, ambiguity: u32) -> bool {
        let order = self.orders.get(&suspect).filter(|o| o.in_force);
        let Some(due_at) = order.map(Order::trial_due_at).filter(|at| now >= *at) else {
            return false;
        };
        if ambiguity <= 1 {
            return true;
        }
        let new = Contest {
            since: now,
            lowest: ambiguity,
        };
        let contest = self.contests.entry(suspect).or_insert(new);
        if contest.since < due_at {
            // It was for an earlier trial.
            *contest = new;
        }
        contest.lowest = contest.lowest.min(ambiguity);
        let lasts = now.saturating_sub(contest.since);
        match ambiguity <= contest.lowest {
            true => lasts >= CONTEST_TIME,
            false => lasts >= MAX_CONTEST_TIME,
        }
    }

    /// Returns the orders that bind a request.
    fn binding(&self, suspects: &Suspects) -> impl Iterator<Item = &Order> {
        let customer = suspects.customer;
        let suspects = (!self.orders.is_empty()).then(|| suspects.iter());
        let orders = suspects.into_iter().flatten();
        let orders = orders.filter_map(|suspect| self.orders.get(&suspect));
        orders.filter(move |order| {
            let is_acquitted = || self.answers.acquit(order.suspect, order.last_crash_at);
            order.binds(customer) && !is_acquitted()
        })
    }

    /// Returns the number of parts of a request that are not quarantined, but blamed or in no answered request.
    fn count_doubtful_parts(&self, suspects: &Suspects, quarantined: &[Suspect]) -> usize {
        if quarantined.iter().any(|s| s.kind == Kind::Request) {
            // The parts are the same whenever the request comes.
            return 0;
        }
        let is_blamed = |s: &Suspect| self.cases.contains_key(s) || self.once.contains(*s);
        let is_doubtful = |s: &Suspect| is_blamed(s) || !self.answers.is_known(*s);
        let others = suspects
            .iter()
            .filter(|s| s.kind == Kind::Part && !quarantined.contains(s));
        others.filter(is_doubtful).count()
    }
}
