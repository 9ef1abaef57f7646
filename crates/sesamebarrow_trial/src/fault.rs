//! What goes wrong with messages and links.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// The faults in force.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Shortest delay of a message.
    pub least_delay: Duration,
    /// Longest delay of a message.
    pub most_delay: Duration,
    /// Share of control messages that are lost.
    pub loss: f64,
    /// Share of control messages that come twice.
    pub double: f64,
    /// Whether control messages may overtake each other.
    pub reorder: bool,
    /// Pairs of names between which nothing passes, in both orders.
    cuts: BTreeSet<(String, String)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            least_delay: Duration::from_millis(1),
            most_delay: Duration::from_millis(1),
            loss: 0.0,
            double: 0.0,
            reorder: false,
            cuts: BTreeSet::new(),
        }
    }
}

impl Faults {
    /// Cuts `a` off from `b`. The platform's name is `platform`.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    /// Mends every cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Tells whether something passes from `a` to `b`.
    pub fn passes(&self, a: &str, b: &str) -> bool {
        !self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }

    /// Draws a delay.
    pub fn delay(&self, rng: &mut StdRng) -> Duration {
        if self.most_delay <= self.least_delay {
            return self.least_delay;
        }
        let spread = self.most_delay - self.least_delay;
        self.least_delay + spread.mul_f64(rng.random::<f64>())
    }

    /// Draws how many copies of a control message arrive.
    pub fn copies(&self, rng: &mut StdRng) -> usize {
        let draw: f64 = rng.random();
        if draw < self.loss {
            0
        } else if draw < self.loss + self.double {
            2
        } else {
            1
        }
    }
}
