//! The requests that wait for a place, and who gives way.
//!
//! Meant for more work than capacity. Requests are served in this order: those that can still meet their target
//! before those that cannot, the more urgent first, those that come back as they were told before new ones,
//! and then by the time until which they can wait. While a request waits, less urgent ones get
//! [`LESS_URGENT_SHARE`] of the work that the more urgent get, so that they are never starved; small ones get
//! many places for one of a large one.

use std::time::Duration;

use crate::dispatch::engine::HolderId;
use crate::dispatch::message::PlaceRequest;

/// A request that waits for a place.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Identifies it.
    pub id: HolderId,
    /// What it asks for.
    pub req: PlaceRequest,
    /// Until when reading of its prompt must end so that it meets its target.
    pub aim: Duration,
    /// When it leaves the queue.
    pub leave_at: Duration,
    /// Whether it was refused before and has come back as it was told.
    pub returned: bool,
    /// When it was asked for first.
    pub arrived_at: Duration,
    /// When it was asked for last.
    pub asked_at: Duration,
}

/// Order of a request in the queue; the smallest is served first.
type Order = (bool, u32, bool, Duration);

/// Work that less urgent requests get, as a part of that which the more urgent get meanwhile.
pub const LESS_URGENT_SHARE: f64 = 0.25;

/// Largest number of prompt tokens that less urgent requests may save up.
const MAX_CREDIT: f64 = 8_000.0;

/// Number of requests of a rank without a place after which no further ones are offered any in the same round.
const MAX_FAILED_OFFERS: u32 = 8;

/// Time after which a request that its instance has not asked for again is dropped.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(1_500);

impl Waiting {
    fn order(&self, now: Duration) -> Order {
        (
            now >= self.aim,
            self.req.rank,
            !self.returned,
            self.leave_at,
        )
    }
}

/// The queue of a service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
    /// Prompt tokens that less urgent requests may still have read; below zero after a large one.
    credit: f64,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests of a rank.
    pub fn waiting_of(&self, rank: u32) -> usize {
        self.waiting.iter().filter(|w| w.req.rank == rank).count()
    }

    /// Returns the number of waiting requests that are more urgent than `rank`.
    pub fn waiting_before(&self, rank: u32) -> usize {
        self.waiting.iter().filter(|w| w.req.rank < rank).count()
    }

    /// Takes the requests that have waited for `min_wait` and that `region` sends to another region.
    pub fn take_forwarded(
        &mut self,
        now: Duration,
        min_wait: Duration,
        region: impl Fn(&Waiting) -> Option<u32>,
    ) -> Vec<(Waiting, u32)> {
        let mut forwarded = Vec::new();
        let mut tried = 0;
        self.waiting.retain(|w| {
            if now.saturating_sub(w.arrived_at) < min_wait || tried >= MAX_FAILED_OFFERS {
                return true;
            }
            let Some(region) = region(w) else {
                tried += 1;
                return true;
            };
            forwarded.push((w.clone(), region));
            // The capacity of the region is counted again before the next round.
            tried = MAX_FAILED_OFFERS;
            false
        });
        forwarded
    }

    /// Returns whether a request must wait because a more urgent or equal one does.
    pub fn goes_before(&self, now: Duration, other: &Waiting) -> bool {
        let order = other.order(now);
        self.waiting.iter().any(|w| w.order(now) <= order)
    }

    /// Adds a request, or updates it if it waits already.
    pub fn push(&mut self, waiting: Waiting) {
        self.remove(waiting.id);
        self.waiting.push(waiting);
    }

    /// Records that a waiting request was asked for again. Returns when it leaves, if it waits.
    pub fn touch(&mut self, now: Duration, id: HolderId) -> Option<Duration> {
        let waiting = self.waiting.iter_mut().find(|w| w.id == id)?;
        waiting.asked_at = now;
        Some(waiting.leave_at)
    }

    /// Removes a request. Returns whether it waited.
    pub fn remove(&mut self, id: HolderId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        self.waiting.len() < before
    }

    /// Drops the requests of instances that `is_gone` names.
    pub fn forget(&mut self, is_gone: impl Fn(u32) -> bool) {
        self.waiting.retain(|w| !is_gone(w.id.0));
    }

    /// Takes the requests that leave now: those that waited for too long, and separately those whose instance
    /// has not asked for them again.
    pub fn take_leaving(&mut self, now: Duration) -> Vec<Waiting> {
        self.waiting
            .retain(|w| now.saturating_sub(w.asked_at) < FORGOTTEN_AFTER);
        let leaving = self.waiting.extract_if(.., |w| now >= w.leave_at);
        leaving.collect()
    }

    /// Offers places in order. `place` returns whether it gave the request a place; those requests leave the
    /// queue and are returned. Once one gets none, less urgent ones are offered what they have saved up.
    pub fn serve(
        &mut self,
        now: Duration,
        mut place: impl FnMut(&Waiting) -> Offer,
    ) -> Vec<Waiting> {
        self.waiting.sort_by_key(|w| w.order(now));
        let least_urgent = self.waiting.iter().map(|w| w.req.rank).max();
        let mut blocked: Option<u32> = None;
        let mut full = false;
        // Rank of the last requests without a place, and their number.
        let mut failed = (0, 0);
        let mut served = Vec::new();
        let mut kept = Vec::with_capacity(self.waiting.len());
        for waiting in std::mem::take(&mut self.waiting) {
            let rank = waiting.req.rank;
            let gives_way = blocked.is_some_and(|b| rank > b);
            let is_skipped = failed.0 == rank && failed.1 >= MAX_FAILED_OFFERS;
            if full || is_skipped || (gives_way && self.credit <= 0.0) {
                kept.push(waiting);
                continue;
            }
            match place(&waiting) {
                Offer::Placed(tokens) => {
                    // CAST: prompts are far below 2^53 tokens.
                    let tokens = tokens as f64;
                    if gives_way {
                        self.credit -= tokens;
                    } else if least_urgent.is_some_and(|l| l > rank) {
                        self.credit = (self.credit + tokens * LESS_URGENT_SHARE).min(MAX_CREDIT);
                    }
                    served.push(waiting);
                }
                Offer::NoPlace => {
                    blocked = Some(blocked.map_or(rank, |b| b.min(rank)));
                    failed = match failed.0 == rank {
                        true => (rank, failed.1 + 1),
                        false => (rank, 1),
                    };
                    kept.push(waiting);
                }
                Offer::Later => kept.push(waiting),
                Offer::Full => {
                    full = true;
                    kept.push(waiting);
                }
            }
        }
        self.waiting = kept;
        served
    }
}

/// Result of offering a place to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It got a place at an engine that reads so many tokens for it.
    Placed(u64),
    /// No engine has a place for it.
    NoPlace,
    /// It waits for an engine that others need not wait for: one that has cached its prompt, or runs nothing else.
    Later,
    /// No engine has a place for anything.
    Full,
}
