//! Decides whether another region runs a request, by the room that both regions have.
//!
//! Meant for regions whose load is out of phase: one is at its peak while another is nearly idle, and both
//! change within seconds.

use std::time::Duration;

/// Room of a service in a region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Part of the places, or of the time for reading prompts, that is in use, whichever is larger.
    pub load: f64,
    /// The same for all but the least urgent requests, which give way to them.
    pub urgent_load: f64,
    /// Requests that the region could run besides.
    pub free_slots: f64,
}

/// Room of another region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remote {
    /// Hash of the region's name.
    pub region_hash: u32,
    /// Its room.
    pub room: Room,
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

/// Returns the region that should run a request although this one could, because it has much more room.
pub fn less_loaded(local: Room, remotes: &[Remote]) -> Option<u32> {
    if local.load < BUSY_LOAD {
        return None;
    }
    let best = with_most_room(remotes)?;
    (best.room.load + MIN_DIFFERENCE <= local.load).then_some(best.region_hash)
}

/// Returns the region that should run a request that finds no place here.
pub fn instead(target: Duration, round_trip: Duration, remotes: &[Remote]) -> Option<u32> {
    let max_way = target.mul_f64(MAX_WAY_FRACTION);
    let best = with_most_room(remotes)?;
    (round_trip <= max_way).then_some(best.region_hash)
}

fn with_most_room(remotes: &[Remote]) -> Option<Remote> {
    let has_room = |r: &&Remote| r.room.load <= MAX_REMOTE_LOAD;
    let by_load = |a: &&Remote, b: &&Remote| a.room.load.total_cmp(&b.room.load);
    remotes.iter().filter(has_room).min_by(by_load).copied()
}

impl Room {
    /// Counts a request that is forwarded to the region, until its next report.
    pub fn take_slot(&mut self) {
        let all = self.free_slots / (1.0 - self.load).max(0.01);
        self.free_slots = (self.free_slots - 1.0).max(0.0);
        self.load = (self.load + 1.0 / all.max(1.0)).min(1.0);
        self.urgent_load = (self.urgent_load + 1.0 / all.max(1.0)).min(1.0);
    }
}
