//! When requests with a suspect were last answered completely.

use std::collections::HashMap;
use std::time::Duration;

use crate::quarantine::{Kind, Suspect};

/// Time after a complete answer in which its suspects are not blamed. A request that crashes upstreams has no
/// complete answers, unlike those that run beside it.
pub const ACQUITTAL_TIME: Duration = Duration::from_secs(10);

/// Time for which an answer is kept, longer than the maximum age of blame; also to object to orders that arrive late.
const ANSWER_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of suspects whose last answer is kept; a long prompt has some thousands.
const MAX_ANSWERED: usize = 32_768;

/// Time for which a suspect counts as proven after its last answer. Its customer may pause for a while.
const PROOF_LIFETIME: Duration = Duration::from_secs(6 * 3_600);

/// Maximum number of suspects of one kind that count as proven.
const MAX_PROVEN: usize = 4_096;

/// A complete answer.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Duration,
    /// Hash that tells its request apart from others with the same suspect.
    request: u64,
}

/// The complete answers that one instance has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    /// The last answers; at most [`MAX_ANSWERED`].
    last: HashMap<Suspect, Answer>,
    /// Suspects that several requests have proven to be sound, and when the last of these was answered; at most
    /// [`MAX_PROVEN`] of each kind. Made-up names are answered once, and do not enter.
    proven: HashMap<Suspect, Duration>,
}

impl Answers {
    /// Records the answer to `request`, one with the suspect.
    pub(super) fn record(&mut self, now: Duration, suspect: Suspect, request: u64) {
        let answer = Answer { at: now, request };
        let earlier = self.last.insert(suspect, answer);
        let is_other = |earlier: Answer| earlier.request != request || !suspect.kind.is_shared();
        if earlier.is_some_and(is_other) {
            self.proven.insert(suspect, now);
        } else if let Some(at) = self.proven.get_mut(&suspect) {
            *at = now;
        }
    }

    /// Returns whether an answer acquits a suspect of crashes at `at`.
    pub(super) fn acquit(&self, suspect: Suspect, at: Duration) -> bool {
        let answer = self.last.get(&suspect);
        answer.is_some_and(|answer| at < answer.at + ACQUITTAL_TIME)
    }

    /// Returns whether several requests have proven that a suspect is sound, however long ago.
    pub(super) fn prove(&self, suspect: Suspect) -> bool {
        self.proven.contains_key(&suspect)
    }

    /// Returns whether a request with a suspect was answered.
    pub(super) fn is_known(&self, suspect: Suspect) -> bool {
        self.last.contains_key(&suspect) || self.prove(suspect)
    }

    /// Removes what is too old or too much.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        let is_kept = |at: Duration, lifetime| now.saturating_sub(at) < lifetime;
        self.last
            .retain(|_, answer| is_kept(answer.at, ANSWER_LIFETIME));
        self.proven.retain(|_, at| is_kept(*at, PROOF_LIFETIME));
        self.limit();
    }

    /// Drops the older half of what is too much.
    pub(super) fn limit(&mut self) {
        if self.last.len() > MAX_ANSWERED {
            let median = median(self.last.values().map(|answer| answer.at));
            self.last.retain(|_, answer| answer.at > median);
        }
        for kind in [Kind::Part, Kind::Request] {
            let of_kind = || self.proven.iter().filter(|(s, _)| s.kind == kind);
            if of_kind().count() > MAX_PROVEN {
                let median = median(of_kind().map(|(_, at)| *at));
                self.proven.retain(|s, at| s.kind != kind || *at > median);
            }
        }
    }
}

/// Returns the median of `times`, of which there must be one.
fn median(times: impl Iterator<Item = Duration>) -> Duration {
    let mut times: Vec<Duration> = times.collect();
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}
