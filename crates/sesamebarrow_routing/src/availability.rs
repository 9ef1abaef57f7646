//! What the answers of an upstream say about it, and what the next choice may do.
//!
//! | observation | consequence |
//! |---|---|
//! | complete answer | consecutive failures end; a ramp doubles |
//! | failure, broken answer, no answer in time | the failure ratio rises; from the second in a row on, the upstream is ejected |
//! | no connection | the same from the first on; it also counts as cold, with nothing cached |
//! | refusal without a time | for a while it is estimated as full ([`crate::refusal`]) |
//! | refusal for a reason that lies in the request | none |
//! | another upstream is at its address | it is not chosen until its entry changes or has outlived silence, then begins a ramp |
//! | refusal with a time | it rests until the latest time named, then begins a ramp |
//! | answer of an upstream that leaves | it is never chosen again in this run, even as the last one |
//! | cancelled by the client | none |
//! | the request's own time budget ended sooner than an upstream must connect or answer | none |
//! | refusal that may be a second copy of another one | none, also if it names a time |
//!
//! An ejected upstream is chosen if all others are ejected too. A resting or leaving one is not
//! chosen in any case: the request goes to another region or is refused at once.

use std::time::Duration;

use crate::refusal::Refusals;
use crate::upstream::AttemptOutcome;

/// Number of consecutive failures after which an upstream is ejected; an unreachable
/// upstream is ejected at once.
const EJECT_AFTER_FAILURES: u32 = 2;

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Duration of the first ejection; doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the failure ratio.
const FAILURE_RATIO_GAIN: f64 = 0.08;

/// Maximum duration of a rest. A longer one is likely a mistake, which would take the upstream away
/// until its restart.
const MAX_REST: Duration = Duration::from_secs(600);

/// Part of a rest by which instances spread their return.
const RETURN_SPREAD_FRACTION: f64 = 0.25;

/// Maximum time by which instances spread their return.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Number of concurrent requests at which a ramp ends.
const RAMP_END: u32 = 64;

/// Time for which an upstream is not chosen after another one answered at its address. The entry of an upstream that is
/// gone lapses within it, so one that is still published then may be right again.
const FIRST_MISDIRECTION: Duration = Duration::from_secs(10);

/// Maximum number of doublings of that time, one for each time that the entry was wrong again.
const MAX_MISDIRECTION_DOUBLINGS: u32 = 3;

/// What an upstream announces in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It leaves: it will end and wants no new requests.
    pub leaving: bool,
    /// It refused a request and wants none for so long.
    pub rest: Option<Duration>,
}

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be chosen.
    Available,
    /// It may be chosen if nothing better is available.
    Ejected,
    /// It ramps up after a rest, and has as many requests of this instance as it should get now.
    Ramping,
    /// It wants no request for the contained time.
    Resting(Duration),
    /// It leaves.
    Leaving,
    /// Another upstream is at its address.
    Misdirected,
}

/// A change that operators want to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// The upstream leaves.
    Leaving,
    /// The upstream rests, or rests for longer.
    Resting,
    /// The first request after a rest was answered.
    Back,
    /// Another upstream is at its address.
    Misdirected,
}

/// What the answers of one run of an upstream say about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Availability {
    /// Whether it leaves. Never unset.
    pub leaving: bool,
    /// Time until which it rests, with this instance's part of the spread.
    pub rest_until: Duration,
    /// Maximum number of concurrent requests of this instance; `None` if there has been no rest, or
    /// its ramp has ended.
    pub ramp: Option<u32>,
    /// Number of failures since the last success.
    pub consecutive_failures: u32,
    /// Time until which it is ejected after failures.
    pub ejected_until: Duration,
    /// Moving average of the fraction of answers that failed, 0 to 1.
    pub failure_ratio: f64,
    /// What its refusals for want of capacity say.
    pub refusals: Refusals,
    /// Time until which it is not chosen, since another upstream is at its address.
    pub misdirected_until: Duration,
    /// How often in a row another upstream was found at its address.
    pub misdirections: u32,
}

impl Availability {
    /// Returns whether the upstream may be chosen for one more request, beside `in_progress` of
    /// this instance.
    pub fn verdict(&self, now: Duration, in_progress: u32) -> Verdict {
        if self.leaving {
            Verdict::Leaving
        } else if now < self.misdirected_until {
            Verdict::Misdirected
        } else if now < self.rest_until {
            Verdict::Resting(self.rest_until - now)
        } else if self.ramp.is_some_and(|max| in_progress >= max) {
            Verdict::Ramping
        } else if now < self.ejected_until {
            Verdict::Ejected
        } else {
            Verdict::Available
        }
    }

    /// Records what the upstream announced. `spread`, 0 to 1, is this instance's place in the return
    /// after a rest. Returns what has changed.
    pub fn observe_notice(&mut self, now: Duration, notice: Notice, spread: f64) -> Option<Change> {
        let mut change = None;
        if let Some(rest) = notice.rest.filter(|r| !r.is_zero()) {
            let rest = rest.min(MAX_REST);
            let max_spread = rest.mul_f64(RETURN_SPREAD_FRACTION).min(MAX_RETURN_SPREAD);
            let until = now + rest + max_spread.mul_f64(spread);
            self.ramp = Some(1);
            if until > self.rest_until {
                self.rest_until = until;
                change = Some(Change::Resting);
            }
        }
        if notice.leaving && !std::mem::replace(&mut self.leaving, true) {
            change = Some(Change::Leaving);
        }
        change
    }

    /// Records how an attempt ended. Returns what has changed.
    pub fn observe_outcome(&mut self, now: Duration, outcome: AttemptOutcome) -> Option<Change> {
        let failed = match outcome {
            AttemptOutcome::Whole => false,
            AttemptOutcome::Failed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => true,
            AttemptOutcome::Misdirected => return self.record_misdirection(now),
            AttemptOutcome::Refused
            | AttemptOutcome::Rejected
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Inconclusive => return None,
        };
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_ratio += FAILURE_RATIO_GAIN * (newest - self.failure_ratio);
        if failed {
            self.eject(now, outcome);
            return None;
        }
        self.consecutive_failures = 0;
        // Answers to requests that were sent before the rest say nothing about its end.
        if now < self.rest_until || now < self.misdirected_until {
            return None;
        }
        self.misdirections = 0;
        let max = self.ramp?;
        self.ramp = (max < RAMP_END).then(|| max * 2);
        (max == 1).then_some(Change::Back)
    }

    /// Records what the end of an attempt shows of the upstream's capacity, for a request with so many tokens beside
    /// `in_progress` others of this instance. While it rests, the time that it named says more.
    pub fn observe_capacity(
        &mut self,
        now: Duration,
        outcome: AttemptOutcome,
        in_progress: u32,
        tokens: u64,
    ) {
        match outcome {
            AttemptOutcome::Refused if now >= self.rest_until => {
                self.refusals.observe_refusal(now, in_progress, tokens);
            }
            AttemptOutcome::Whole => self.refusals.observe_answer(now, tokens),
            _ => {}
        }
    }

    /// Records that another upstream answered at the address.
    fn record_misdirection(&mut self, now: Duration) -> Option<Change> {
        // Requests that were sent together are one observation.
        if now < self.misdirected_until {
            return None;
        }
        let doublings = self.misdirections.min(MAX_MISDIRECTION_DOUBLINGS);
        self.misdirections += 1;
        self.misdirected_until = now + FIRST_MISDIRECTION * 2_u32.pow(doublings);
        self.ramp = Some(1);
        Some(Change::Misdirected)
    }

    /// Records that the upstream's address is known anew.
    pub fn readmit(&mut self) {
        self.misdirected_until = Duration::ZERO;
        self.misdirections = 0;
    }

    fn eject(&mut self, now: Duration, outcome: AttemptOutcome) {
        self.consecutive_failures += 1;
        let doublings = self
            .consecutive_failures
            .saturating_sub(EJECT_AFTER_FAILURES)
            .min(8);
        if self.consecutive_failures >= EJECT_AFTER_FAILURES
            || outcome == AttemptOutcome::Unreachable
        {
            let ejection = (FIRST_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
            self.ejected_until = now + ejection;
        }
    }

    /// Returns the availability of a new run of the upstream. Its leaving and its failures in a row
    /// ended with the last run; its rest and the average of its failures are kept.
    pub fn of_new_run(&self) -> Self {
        Self {
            rest_until: self.rest_until,
            ramp: self.ramp,
            failure_ratio: self.failure_ratio,
            ..Self::default()
        }
    }
}
