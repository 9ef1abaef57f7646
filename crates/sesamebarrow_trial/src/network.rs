//! What goes wrong with messages and links.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// The faults in force.
#[derive(Clone, Debug)]
pub struct Network {
    /// Shortest delay of a message.
    pub min_delay: Duration,
    /// Longest delay of a message.
    pub max_delay: Duration,
    /// Share of control messages that are lost.
    pub loss_ratio: f64,
    /// Share of control messages that come twice.
    pub duplicate_ratio: f64,
    /// Whether control messages may overtake each other.
    pub reorder: bool,
    /// Pairs of names between which nothing passes, in both orders.
    disconnected_pairs: BTreeSet<(String, String)>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_millis(1),
            max_delay: Duration::from_millis(1),
            loss_ratio: 0.0,
            duplicate_ratio: 0.0,
            reorder: false,
            disconnected_pairs: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Cuts `a` off from `b`. The platform's name is `platform`.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.disconnected_pairs.insert((a.to_owned(), b.to_owned()));
        self.disconnected_pairs.insert((b.to_owned(), a.to_owned()));
    }

    /// Mends every cut.
    pub fn heal(&mut self) {
        self.disconnected_pairs.clear();
    }

    /// Tells whether something passes from `a` to `b`.
    pub fn connects(&self, a: &str, b: &str) -> bool {
        !self
            .disconnected_pairs
            .contains(&(a.to_owned(), b.to_owned()))
    }

    /// Draws a delay.
    pub fn delay(&self, rng: &mut StdRng) -> Duration {
        if self.max_delay <= self.min_delay {
            return self.min_delay;
        }
        let spread = self.max_delay - self.min_delay;
        self.min_delay + spread.mul_f64(rng.random::<f64>())
    }

    /// Draws how many copies of a control message arrive.
    pub fn copies(&self, rng: &mut StdRng) -> usize {
        let draw: f64 = rng.random();
        if draw < self.loss_ratio {
            0
        } else if draw < self.loss_ratio + self.duplicate_ratio {
            2
        } else {
            1
        }
    }
}
