//! Network between instances and the platform, with delays, message loss and cut links.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Current state of the network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Minimum delay of a message.
    pub min_delay: Duration,
    /// Maximum delay of a message.
    pub max_delay: Duration,
    /// Fraction of control messages that are lost.
    pub loss_ratio: f64,
    /// Fraction of control messages that are delivered twice.
    pub duplicate_ratio: f64,
    /// Whether control messages on a link may be reordered.
    pub reorder: bool,
    /// Pairs of names that are disconnected; each pair is stored in both orders.
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
    /// Disconnects `a` and `b`. The name of the platform is `platform`.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.disconnected_pairs.insert((a.to_owned(), b.to_owned()));
        self.disconnected_pairs.insert((b.to_owned(), a.to_owned()));
    }

    /// Reconnects all pairs.
    pub fn heal(&mut self) {
        self.disconnected_pairs.clear();
    }

    /// Returns whether messages can pass from `a` to `b`.
    pub fn connects(&self, a: &str, b: &str) -> bool {
        !self
            .disconnected_pairs
            .contains(&(a.to_owned(), b.to_owned()))
    }

    /// Draws the delay of a message.
    pub fn delay(&self, rng: &mut StdRng) -> Duration {
        if self.max_delay <= self.min_delay {
            return self.min_delay;
        }
        let spread = self.max_delay - self.min_delay;
        self.min_delay + spread.mul_f64(rng.random::<f64>())
    }

    /// Draws the number of copies of a control message that are delivered.
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
