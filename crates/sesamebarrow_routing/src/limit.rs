//! Limits that upstreams name in their answers: the requests per second that one takes from all instances
//! together, for as long as it says so.
//!
//! One instance of the region owns a limited upstream ([`crate::board::limit`]). It alone keeps the bucket of
//! the limit, and the others ask it for a permit before each request. Each way to an upstream needs a permit:
//! first attempts, retries, resumed streams, forwarded requests and trials.
//!
//! | observation | consequence |
//! |---|---|
//! | an answer names a limit | the instance is bound at once; the owner binds the others |
//! | an answer names another limit | the owner uses it from then on |
//! | an answer that could have named one names none | after [`FIRST_END_EVIDENCE`] in a row, from any instance, the limit ends |
//! | named again soon after its end | twice as many such answers are needed, up to [`MAX_END_EVIDENCE`] |
//! | malformed limit, answer of another upstream, unsigned answer | none |
//! | a new run of the upstream | it has no limit |
//! | no bucket at this instance | ask the owner; sending without an answer is not allowed |
//! | a new owner | it begins with an empty bucket |
//! | instances that are not heard from | the owner grants the slots of its side of a split ([`slot`]) |
//! | refused by the owner | nothing as urgent or less is asked for until the time that it gave |
//!
//! A refusal says when a permit is due for the request, so that those who come back do not come together.

use std::collections::HashMap;
use std::time::Duration;

use crate::limit::bucket::Bucket;

pub mod bucket;
pub mod message;
pub mod slot;

/// Answers without a limit, one after the other, that end it.
pub const FIRST_END_EVIDENCE: u32 = 2;

/// Maximum of [`FIRST_END_EVIDENCE`] after limits that were named again soon after their end.
pub const MAX_END_EVIDENCE: u32 = 16;

/// Time after the end of a limit in which naming one again shows that the end was wrong.
const RENAMED_TIME: Duration = Duration::from_secs(10);

/// Time after which answers of any kind end a limit that was named by answers of another kind only.
const OTHER_KIND_TIME: Duration = Duration::from_secs(30);

/// Time for which the limit of an unknown run is kept; its entry may not have been read yet.
const UNKNOWN_RUN_LIFETIME: Duration = Duration::from_secs(30);

/// Rate used for lower limits, in requests per second. Without any request, no answer could show the end of a
/// limit of 0.
pub const MIN_RATE: f64 = 1.0 / 60.0;

/// Maximum time for which an instance does not ask again after a refusal. The permit that was due may go to
/// nobody if the request does not come back.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What an answer says about a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The upstream takes so many requests per second.
    Limit(f64),
    /// The upstream names no limit.
    NoLimit,
    /// The answer proves neither.
    Nothing,
}

/// A statement of an answer, as observed by one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Hash of the upstream's run.
    pub run: u64,
    /// The limit that it names, in requests per second.
    pub rate: Option<f64>,
    /// Whether the answer refused the request without running it.
    pub by_refusal: bool,
}

/// Returns the order in which requests get permits; 0 is the most urgent. Of the same priority, requests that
/// may not be repeated come first: their callers cannot try another instance after a failure.
pub fn urgency(priority: u8, may_repeat: bool) -> u8 {
    priority.saturating_mul(2).saturating_add(may_repeat.into())
}

/// A change that operators want to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// The upstream names a limit.
    Limited,
    /// The upstream names another limit.
    LimitChanged,
    /// The upstream names no limit any more.
    Unlimited,
}

/// What an instance knows about the limit of one run of an upstream.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Number of times that a limit began or ended. Of two states the one with the higher serial is newer.
    pub serial: u32,
    /// The limit in requests per second; `None` after its end.
    pub rate: Option<f64>,
    /// When this instance last learned that the limit is in force, or ended.
    pub learned_at: Duration,
    /// When an answer to any instance last named it, as far as this one knows.
    pub named_at: Duration,
    /// Whether answers and refusals have named it since it began.
    named_by: [bool; 2],
    /// Answers in a row that could have named it and did not.
    unnamed: u32,
    /// Number of such answers that end it.
    end_evidence: u32,
    /// The bucket, of which this instance is the owner or a deputy.
    pub bucket: Bucket,
    /// Since when this instance has granted permits, as the owner or a deputy; `None` while it does not.
    pub granting_since: Option<Duration>,
    pause: Option<Pause>,
}

/// A refusal of the owner.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Duration,
    /// When a permit is due for the refused request.
    due_at: Duration,
    /// Requests that are as urgent or less are not asked for.
    urgency: u8,
}

impl Limit {
    fn new(now: Duration) -> Self {
        Self {
            serial: 0,
            rate: None,
            learned_at: now,
            named_at: now,
            named_by: [false; 2],
            unnamed: 0,
            end_evidence: FIRST_END_EVIDENCE,
            bucket: Bucket::empty(now),
            granting_since: None,
            pause: None,
        }
    }

    /// Begins to grant permits, unless this instance does already. Returns since when it has.
    pub(crate) fn begin_granting(&mut self, now: Duration) -> Duration {
        *self.granting_since.get_or_insert_with(|| {
            self.bucket = Bucket::empty(now);
            now
        })
    }

    /// Stops granting permits.
    pub(crate) fn end_granting(&mut self, now: Duration) {
        self.granting_since = None;
        self.bucket = Bucket::empty(now);
    }

    /// Begins a limit that was named again or for the first time.
    fn begin(&mut self, now: Duration, rate: f64, serial: u32) {
        let renamed = self.serial > 0 && now.saturating_sub(self.learned_at) < RENAMED_TIME;
        self.end_evidence = match renamed {
            true => (self.end_evidence * 2).min(MAX_END_EVIDENCE),
            false => FIRST_END_EVIDENCE,
        };
        self.serial = serial;
        self.rate = Some(rate);
        self.learned_at = now;
        self.named_at = now;
        self.named_by = [false; 2];
        self.unnamed = 0;
        self.end_granting(now);
        self.pause = None;
    }

    fn end(&mut self, now: Duration, serial: u32) {
        self.serial = serial;
        self.rate = None;
        self.learned_at = now;
        self.pause = None;
    }

    /// Records an answer that names a limit. Returns what has changed.
    fn observe_named(&mut self, now: Duration, rate: f64, by_refusal: bool) -> Option<Change> {
        let change = match self.rate {
            None => {
                self.begin(now, rate, self.serial + 1);
                Some(Change::Limited)
            }
            Some(known) => (known.to_bits() != rate.to_bits()).then_some(Change::LimitChanged),
        };
        self.rate = Some(rate);
        self.named_at = now;
        self.named_by[usize::from(by_refusal)] = true;
        self.unnamed = 0;
        change
    }

    /// Records an answer that names no limit. Returns whether the limit has ended.
    fn observe_unnamed(&mut self, now: Duration, by_refusal: bool) -> bool {
        let is_evidence = self.named_by[usize::from(by_refusal)]
            || now.saturating_sub(self.named_at) > OTHER_KIND_TIME;
        self.unnamed += u32::from(is_evidence);
        let ends = self.rate.is_some() && self.unnamed >= self.end_evidence;
        if ends {
            self.end(now, self.serial + 1);
        }
        ends
    }
}

/// The limits of the region's upstreams, by the hashes of their runs.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    by_run: HashMap<u64, Limit>,
}

impl Limits {
    /// Returns the limit that a run has named, if it has not ended.
    pub fn in_force(&self, run: u64) -> Option<&Limit> {
        self.by_run.get(&run).filter(|limit| limit.rate.is_some())
    }

    /// As [`Self::in_force`], to change it.
    pub(crate) fn in_force_mut(&mut self, run: u64) -> Option<&mut Limit> {
        let limit = self.by_run.get_mut(&run);
        limit.filter(|limit| limit.rate.is_some())
    }

    /// Returns all limits, also those that have ended.
    pub fn all(&self) -> impl Iterator<Item = (u64, &Limit)> {
        self.by_run.iter().map(|(run, limit)| (*run, limit))
    }

    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = (u64, &mut Limit)> {
        self.by_run.iter_mut().map(|(run, limit)| (*run, limit))
    }

    /// Returns the time until a permit is due; `None` if one may be asked for now for a request of this urgency.
    pub fn pause(&self, now: Duration, run: u64, urgency: u8) -> Option<Duration> {
        let pause = self.in_force(run)?.pause?;
        let binds = now < pause.until && urgency >= pause.urgency;
        binds.then(|| pause.due_at.saturating_sub(now))
    }

    /// Records that the owner refused a request. A permit is due for it after `due_in`.
    pub fn record_refused(&mut self, now: Duration, run: u64, urgency: u8, due_in: Duration) {
        if let Some(limit) = self.in_force_mut(run) {
            limit.pause = Some(Pause {
                until: now + due_in.min(MAX_PAUSE),
                due_at: now + due_in,
                urgency,
            });
        }
    }

    /// Records what an answer says. Only the owner ends a limit. Returns what has changed.
    pub fn observe(
        &mut self,
        now: Duration,
        observation: Observation,
        is_owner: bool,
    ) -> Option<Change> {
        let Observation {
            run, by_refusal, ..
        } = observation;
        let Some(rate) = observation.rate else {
            let limit = self.in_force_mut(run)?;
            let ended = is_owner && limit.observe_unnamed(now, by_refusal);
            return ended.then_some(Change::Unlimited);
        };
        let limit = self.by_run.entry(run).or_insert_with(|| Limit::new(now));
        limit.observe_named(now, rate, by_refusal)
    }

    /// Applies what another instance knows. Of two states with the same serial the stricter one stands.
    /// Returns what has changed.
    pub fn merge(
        &mut self,
        now: Duration,
        run: u64,
        serial: u32,
        rate: Option<f64>,
    ) -> Option<Change> {
        let known = self.by_run.get(&run).map_or(0, |limit| limit.serial);
        let is_free = self.in_force(run).is_none();
        let is_news =
            serial > known || (serial == known && serial > 0 && is_free && rate.is_some());
        if !is_news {
            return None;
        }
        let limit = self.by_run.entry(run).or_insert_with(|| Limit::new(now));
        match rate {
            Some(rate) if is_free => {
                limit.begin(now, rate, serial);
                Some(Change::Limited)
            }
            Some(rate) => {
                limit.serial = serial;
                limit.rate = Some(rate);
                None
            }
            None => {
                limit.end(now, serial);
                (!is_free).then_some(Change::Unlimited)
            }
        }
    }

    /// Removes the limits of runs that `is_known` does not accept, some time after they were learned.
    pub fn remove_unknown(&mut self, now: Duration, is_known: impl Fn(u64) -> bool) {
        self.by_run.retain(|run, limit| {
            is_known(*run) || now.saturating_sub(limit.learned_at) < UNKNOWN_RUN_LIFETIME
        });
    }

    /// Returns a digest of which limits are in force and have ended, for comparison with other instances.
    pub fn digest(&self) -> u32 {
        let digest = |(run, limit): (&u64, &Limit)| {
            let state = u64::from(limit.serial) << 1 | u64::from(limit.rate.is_some());
            let mixed = crate::rendezvous::weight_of_hashes(*run, state);
            // CAST: the upper half is dropped.
            mixed as u32
        };
        self.by_run.iter().map(digest).fold(0, |sum, d| sum ^ d)
    }
}
