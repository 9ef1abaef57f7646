//! What the dispatcher knows about one engine: the requests that hold a place there, and when it will have
//! read their prompts.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::cache::PromptPart;
use crate::dispatch::speed::{Measurement, Slowness, Speed};

/// Identifies a request: the address of the instance that sends it, and its id there.
pub type HolderId = (u32, u64);

/// Fraction of the longest allowed pause in which an engine that reads nothing makes an event. After reading for
/// as long as allowed, it must not read for so long.
const EVENT_FRACTION: f64 = 0.1;

/// Time after the planned end of reading after which a first event should have been received.
const BEHIND_AFTER: Duration = Duration::from_millis(100);

/// Time for which a place is held after its caller has stopped waiting, if its end is not heard of.
const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// A request that holds a place.
#[derive(Clone, Debug)]
struct Place {
    granted_at: Duration,
    /// Planned end of reading its prompt.
    read_end: Duration,
    /// Planned milliseconds of reading its prompt.
    read_ms: f64,
    /// Tokens that the engine would read at the usual speed until the planned end.
    planned_tokens: f64,
    started: bool,
    is_sure: bool,
    rank: u32,
    kv_tokens: u64,
    part_ids: Vec<u64>,
    expires_at: Duration,
}

/// The work of a request at an engine.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Parts of the prompt that other requests share.
    pub shared: Vec<PromptPart>,
    /// Prompt tokens to read, as tokens of a short prompt that take as long.
    pub weighted_tokens: f64,
    /// Whether these are surely read, since no other request has any of them.
    pub is_sure: bool,
    /// KV cache tokens besides those of `shared`.
    pub own_kv_tokens: u64,
    /// Order in which requests give way.
    pub rank: u32,
    /// How long its caller waits.
    pub time_left: Duration,
}

/// What the streams of an engine bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest pause between two events.
    pub max_pause: Duration,
    /// Longest time of reading prompts without a gap for an event ([`crate::dispatch::pace`]).
    pub max_reading: Duration,
}

/// When an engine would read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// End of reading.
    pub read_end: Duration,
    /// Milliseconds of reading.
    pub read_ms: f64,
    /// Milliseconds to read one token at the usual speed.
    pub ms_per_token: f64,
    /// Number of running streams whose events would pause for longer than allowed.
    pub paused_streams: usize,
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    places: HashMap<HolderId, Place>,
    /// Planned end of all reading.
    read_until: Duration,
    /// Recent times of reading, the latest last. Their ends do not overlap the next begin.
    readings: VecDeque<(Duration, Duration)>,
    /// KV cache tokens of all places, shared parts counted once.
    kv_tokens: u64,
    /// Tokens of the shared parts of the places, and how many places have them, by id.
    parts: HashMap<u64, (u32, u32)>,
    /// How fast it is.
    pub slowness: Slowness,
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

impl Engine {
    /// Returns the number of places held.
    pub fn held(&self) -> usize {
        self.places.len()
    }

    /// Returns the number of places held by requests that are more urgent than `rank`.
    pub fn held_before(&self, rank: u32) -> usize {
        self.places.values().filter(|p| p.rank < rank).count()
    }

    /// Returns whether a request holds a place.
    pub fn holds(&self, id: HolderId) -> bool {
        self.places.contains_key(&id)
    }

    /// Returns the KV cache tokens that the places take.
    pub fn kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// Returns the KV cache tokens that `work` would take besides.
    pub fn additional_kv_tokens(&self, work: &Work) -> u64 {
        let absent = work
            .shared
            .iter()
            .filter(|p| !self.parts.contains_key(&p.id));
        work.own_kv_tokens + absent.map(|p| u64::from(p.tokens)).sum::<u64>()
    }

    /// Returns how long it still reads.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.read_until.saturating_sub(now)
    }

    /// Plans when `work` would be read, and whose events would pause for too long.
    pub fn plan(&self, now: Duration, work: &Work, speed: &Speed, limits: &Limits) -> Plan {
        let usual_ms = work.weighted_tokens * speed.ms_per_token;
        let read_ms = usual_ms * self.slowness.factor(now, usual_ms);
        let start = self.read_until.max(now);
        let read_end = start + from_ms(read_ms);
        let since = self.event_begin(now, start, limits.max_pause);
        // A stream pauses from the later of the end of its own prompt and the begin of the reading.
        let pauses =
            |p: &&Place| read_end.saturating_sub(since.max(p.read_end)) > limits.max_reading;
        Plan {
            read_end,
            read_ms,
            ms_per_token: speed.ms_per_token,
            paused_streams: self.places.values().filter(pauses).count(),
        }
    }

    /// Returns the time until its streams have made an event after it has read what is planned.
    pub fn time_to_gap(&self, now: Duration, max_pause: Duration) -> Duration {
        let gap_end = self.read_until + max_pause.mul_f64(EVENT_FRACTION);
        gap_end.saturating_sub(now).max(Duration::from_millis(1))
    }

    /// Returns when the event begins at the latest that is not made yet when the engine reads on at `start`. The
    /// engine makes an event in the gaps between reading, which add up.
    fn event_begin(&self, now: Duration, start: Duration, max_pause: Duration) -> Duration {
        let mut missing = max_pause.mul_f64(EVENT_FRACTION);
        let mut begin = start;
        for (index, (from, until)) in self.readings.iter().rev().enumerate() {
            // An engine that is behind its plan has not paused yet.
            let until = match index == 0 && self.is_behind(now) {
                true => now.max(*until),
                false => *until,
            };
            let gap = begin.saturating_sub(until);
            if gap >= missing {
                return begin.saturating_sub(missing);
            }
            missing -= gap;
            begin = (*from).min(begin);
        }
        begin.saturating_sub(missing)
    }

    /// Returns whether a first event should have been received a while ago.
    fn is_behind(&self, now: Duration) -> bool {
        let unread = self.places.values().filter(|p| !p.started);
        unread.clone().any(|p| p.read_end + BEHIND_AFTER < now)
    }

    /// Gives a place to a request, as planned.
    pub fn hold(
        &mut self,
        now: Duration,
        id: HolderId,
        work: &Work,
        plan: &Plan,
        max_pause: Duration,
    ) {
        self.release(id);
        let start = self.read_until.max(now);
        self.read_until = self.read_until.max(plan.read_end);
        match self.readings.back_mut() {
            Some(last) if last.1 >= start => last.1 = self.read_until,
            _ => self.readings.push_back((start, self.read_until)),
        }
        let is_old = |r: &(Duration, Duration)| r.1 + max_pause * 2 < now;
        while self.readings.front().is_some_and(is_old) {
            self.readings.pop_front();
        }
        self.kv_tokens += work.own_kv_tokens;
        for part in &work.shared {
            let (tokens, count) = self.parts.entry(part.id).or_insert((part.tokens, 0));
            // A prompt may name a part twice.
            if *count == 0 {
                self.kv_tokens += u64::from(*tokens);
            }
            *count += 1;
        }
        self.places.insert(
            id,
            Place {
                granted_at: now,
                read_end: plan.read_end,
                read_ms: plan.read_ms,
                planned_tokens: to_ms(plan.read_end.saturating_sub(now)) / plan.ms_per_token,
                started: plan.read_ms <= 0.0,
                is_sure: work.is_sure && self.places.values().all(|p| p.started || p.is_sure),
                rank: work.rank,
                kv_tokens: work.own_kv_tokens,
                part_ids: work.shared.iter().map(|p| p.id).collect(),
                expires_at: now + work.time_left + EXPIRY_MARGIN,
            },
        );
    }

    /// Records that the first event of a request was received at `at`, and learns the speed from it. Returns
    /// whether the request holds a place.
    pub fn start(&mut self, id: HolderId, at: Duration, speed: &mut Speed) -> bool {
        let Some(granted_at) = self.places.get(&id).map(|p| p.granted_at) else {
            return false;
        };
        let is_last = self.places.values().all(|p| p.granted_at <= granted_at);
        let Some(place) = self.places.get_mut(&id) else {
            return false;
        };
        if std::mem::replace(&mut place.started, true) {
            return true;
        }
        let measurement = Measurement {
            planned_ms: to_ms(place.read_end.saturating_sub(place.granted_at)),
            tokens: place.planned_tokens,
            took_ms: to_ms(at.saturating_sub(place.granted_at)),
            is_sure: place.is_sure,
            is_last,
        };
        let early = place.read_end.saturating_sub(at);
        place.read_end = at;
        speed.observe(&mut self.slowness, measurement);
        let unread = self.places.values().filter(|p| !p.started);
        let unread_ms: f64 = unread.map(|p| p.read_ms).sum();
        let planned_until = self.read_until;
        if unread_ms <= 0.0 {
            self.read_until = at.saturating_sub(from_ms(speed.first_ms));
        } else if at > self.read_until {
            // It reads more slowly than planned.
            self.read_until = at + from_ms(unread_ms);
        } else {
            self.read_until = self.read_until.saturating_sub(early).max(at);
        }
        if self.read_until != planned_until {
            self.correct_readings();
        }
        true
    }

    /// Ends the latest reading when all reading is planned to end.
    fn correct_readings(&mut self) {
        if let Some(last) = self.readings.back_mut() {
            last.1 = self.read_until.max(last.0);
        }
    }

    /// Releases the place of a request. Returns whether it held one.
    pub fn release(&mut self, id: HolderId) -> bool {
        let Some(place) = self.places.remove(&id) else {
            return false;
        };
        self.kv_tokens = self.kv_tokens.saturating_sub(place.kv_tokens);
        for part in &place.part_ids {
            if let Some((tokens, count)) = self.parts.get_mut(part) {
                *count -= 1;
                if *count == 0 {
                    self.kv_tokens = self.kv_tokens.saturating_sub(u64::from(*tokens));
                    self.parts.remove(part);
                }
            }
        }
        if !place.started {
            self.read_until = self.read_until.saturating_sub(from_ms(place.read_ms));
            self.correct_readings();
        }
        true
    }

    /// Releases the places that have expired, and those of instances that `is_gone` names.
    pub fn release_expired(&mut self, now: Duration, is_gone: impl Fn(u32) -> bool) {
        let expired = self
            .places
            .iter()
            .filter(|(id, p)| p.expires_at <= now || is_gone(id.0));
        let expired: Vec<HolderId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.release(id);
        }
    }
}
