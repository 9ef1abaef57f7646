//! Decides whether another region runs a request, by the capacity that both regions have.
//!
//! Meant for regions whose load is out of phase: one is at its peak while another is nearly idle, and both
//! change within seconds.

use std::time::Duration;

use crate::rendezvous;

/// Capacity of a service in a region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Part of the slots that is held or waited for.
    pub held: f64,
    /// The same without the least urgent requests, which give way to others.
    pub held_urgent: f64,
    /// Part of the time for reading prompts that is planned.
    pub reading: f64,
    /// The same as more urgent requests see it: where none of them waits, the next places are theirs.
    pub reading_urgent: f64,
    /// Requests that the region could run besides.
    pub free_slots: f64,
    /// Milliseconds of reading that the region could plan besides, summed over its engines.
    pub free_reading_ms: f64,
}

impl Capacity {
    /// Returns how full the region is for a request, which may be one of the least urgent.
    pub fn load(&self, is_least_urgent: bool) -> f64 {
        match is_least_urgent {
            true => self.held.max(self.reading),
            false => self.held_urgent.max(self.reading_urgent),
        }
    }

    /// Counts a request that is forwarded to the region and reads for `read_ms` there, until the region's next
    /// report.
    pub fn take(&mut self, read_ms: f64) {
        let slots = self.free_slots / (1.0 - self.held).max(0.01);
        let reading_ms = self.free_reading_ms / (1.0 - self.reading).max(0.01);
        let slot = 1.0 / slots.max(1.0);
        self.held = (self.held + slot).min(1.0);
        self.held_urgent = (self.held_urgent + slot).min(1.0);
        self.free_slots = (self.free_slots - 1.0).max(0.0);
        let read_ms = read_ms * UNREAD_FRACTION;
        let part = read_ms / reading_ms.max(1.0);
        self.reading = (self.reading + part).min(1.0);
        self.reading_urgent = (self.reading_urgent + part).min(1.0);
        self.free_reading_ms = (self.free_reading_ms - read_ms).max(0.0);
    }
}

/// Capacity of another region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remote {
    /// Hash of the region's name.
    pub region_hash: u32,
    /// Its capacity.
    pub capacity: Capacity,
}

/// Load from which a region gives patient requests away. Below it, they begin at once here.
const BUSY_LOAD: f64 = 0.55;

/// Load above which a region takes no requests of others; the rest is for its own until the next report.
const MAX_REMOTE_LOAD: f64 = 0.75;

/// How much less load another region must have, so that requests do not swing between regions.
const MIN_DIFFERENCE: f64 = 0.2;

/// A request is patient if its target is at least this many times the way to another region and back.
const PATIENT_ROUND_TRIPS: u32 = 10;

/// Part of the target latency that the way to another region and back may take.
const MAX_WAY_FRACTION: f64 = 0.25;

/// Returns whether the way to another region costs a request with this target next to nothing.
pub fn is_patient(target: Duration, round_trip: Duration) -> bool {
    target >= round_trip * PATIENT_ROUND_TRIPS
}

/// Part of the reading of forwarded requests that a region has not done by its next report.
const UNREAD_FRACTION: f64 = 0.25;

/// Difference of load up to which the region is selected that other requests with the same shared prompt are
/// sent to.
const AFFINITY_DIFFERENCE: f64 = 0.15;

/// What a request looks for in another region.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Time until the answer should begin.
    pub target: Duration,
    /// Time to another region and back.
    pub round_trip: Duration,
    /// Whether the request is one of the least urgent.
    pub is_least_urgent: bool,
    /// Hash of the shared part of its prompt; 0 if there is none.
    pub shared_prompt: u64,
}

impl Need {
    /// Returns whether the way to another region costs the request next to nothing.
    pub fn is_patient(&self) -> bool {
        self.target >= self.round_trip * PATIENT_ROUND_TRIPS
    }
}

/// Returns the region that should run a patient request although this one could, because it has much more capacity.
pub fn less_loaded(local: Capacity, remotes: &[Remote], need: &Need) -> Option<u32> {
    let load = local.load(need.is_least_urgent);
    if load < BUSY_LOAD || !need.is_patient() {
        return None;
    }
    let best = with_most_capacity(remotes, need)?;
    let is_much_less = best.capacity.load(need.is_least_urgent) + MIN_DIFFERENCE <= load;
    is_much_less.then_some(best.region_hash)
}

/// Returns the region that should run a request that finds no place here.
pub fn instead(remotes: &[Remote], need: &Need) -> Option<u32> {
    let max_way = need.target.mul_f64(MAX_WAY_FRACTION);
    let best = with_most_capacity(remotes, need)?;
    (need.round_trip <= max_way).then_some(best.region_hash)
}

fn with_most_capacity(remotes: &[Remote], need: &Need) -> Option<Remote> {
    let load = |r: &Remote| r.capacity.load(need.is_least_urgent);
    let least = remotes.iter().map(load).min_by(f64::total_cmp)?;
    let max = (least + AFFINITY_DIFFERENCE).min(MAX_REMOTE_LOAD);
    let weight =
        |r: &&Remote| rendezvous::weight_of_hashes(need.shared_prompt, r.region_hash.into());
    let with_capacity = remotes.iter().filter(|r| load(r) <= max);
    with_capacity.max_by_key(weight).copied()
}
