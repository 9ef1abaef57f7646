//! Links between simulated instances.

use std::time::Duration;

use sesamebarrow_policy::{Event, Message};

use super::Simulation;
use super::queue::Item;

/// An open link between two instances.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// Node index and incarnation at each end.
    ends: [(usize, u64); 2],
    /// Earliest arrival time of the next message at each end, which keeps messages in order.
    earliest_arrival: [Duration; 2],
}

/// A timed event of a link.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// The link opens.
    Open {
        link_id: u64,
        ends: [(usize, u64); 2],
    },
    /// A message arrives at an end.
    Deliver {
        link_id: u64,
        end: usize,
        message: Box<Message>,
    },
}

/// Minimum time to open a link.
const MIN_OPEN_TIME: Duration = Duration::from_millis(2);

impl Simulation {
    pub(super) fn dial(&mut self, from: usize, name: &str) {
        let Some(to) = self.node_index(name) else {
            return;
        };
        if !self.connects(from, to) || self.nodes[to].board.is_none() {
            return;
        }
        self.last_link_id += 1;
        let ends = [
            (from, self.nodes[from].incarnation),
            (to, self.nodes[to].incarnation),
        ];
        let delay = MIN_OPEN_TIME + self.network.delay(&mut self.rng);
        let link_id = self.last_link_id;
        self.queue
            .push(self.now + delay, Item::Link(Step::Open { link_id, ends }));
    }

    fn connects(&self, a: usize, b: usize) -> bool {
        self.network
            .connects(&self.nodes[a].name, &self.nodes[b].name)
    }

    pub(super) fn handle_link_step(&mut self, step: Step) {
        match step {
            Step::Open { link_id, ends } => self.open_link(link_id, ends),
            Step::Deliver {
                link_id,
                end,
                message,
            } => self.deliver_message(link_id, end, *message),
        }
    }

    fn open_link(&mut self, link_id: u64, ends: [(usize, u64); 2]) {
        let is_alive = |(node, incarnation): (usize, u64)| {
            self.nodes[node].incarnation == incarnation && self.nodes[node].paused_until.is_none()
        };
        let both_alive = ends.iter().copied().all(is_alive);
        if !both_alive || !self.connects(ends[0].0, ends[1].0) {
            return;
        }
        let earliest_arrival = [self.now; 2];
        self.links.insert(
            link_id,
            Link {
                ends,
                earliest_arrival,
            },
        );
        for (end, other) in [(0, 1), (1, 0)] {
            let process = &self.nodes[ends[other].0];
            let event = Event::LinkUp {
                name: process.name.as_str().into(),
                domain: process.domain.as_str().into(),
                incarnation: ends[other].1,
            };
            self.deliver_event(ends[end].0, event);
        }
    }

    /// Returns the newest link between `from` and the node `name`, and the index of the end
    /// at `name`.
    fn link_to(&self, from: usize, name: &str) -> Option<(u64, usize)> {
        let to = self.node_index(name)?;
        let end_of = |link: &Link, node: usize| link.ends.iter().position(|e| e.0 == node);
        self.links
            .iter()
            .rev()
            .find(|(_, l)| end_of(l, from).is_some() && end_of(l, to).is_some())
            .and_then(|(id, l)| Some((*id, end_of(l, to)?)))
    }

    pub(super) fn send_message(&mut self, from: usize, to: &str, message: &Message) {
        let Some((link_id, end)) = self.link_to(from, to) else {
            return;
        };
        self.nodes[from].meter.count(message);
        let copies = self.network.copies(&mut self.rng);
        for _ in 0..copies {
            let mut at = self.now + self.network.delay(&mut self.rng);
            if let Some(link) = self.links.get_mut(&link_id)
                && !self.network.reorder
            {
                at = at.max(link.earliest_arrival[end]);
                link.earliest_arrival[end] = at;
            }
            let step = Step::Deliver {
                link_id,
                end,
                message: Box::new(message.clone()),
            };
            self.queue.push(at, Item::Link(step));
        }
    }

    fn deliver_message(&mut self, link_id: u64, end: usize, message: Message) {
        let Some(link) = self.links.get(&link_id) else {
            return;
        };
        let (node, incarnation) = link.ends[end];
        let (other, sender_incarnation) = link.ends[1 - end];
        if !self.connects(node, other) {
            // A cut connection loses messages without notice to either end.
            return;
        }
        let event = Event::MessageReceived {
            name: self.nodes[other].name.as_str().into(),
            incarnation: sender_incarnation,
            message,
        };
        let event = Box::new(event);
        let item = Item::BoardEvent {
            node,
            incarnation,
            event,
        };
        self.queue.push(self.now, item);
    }

    pub(super) fn close_links_between(&mut self, from: usize, name: &str) {
        while let Some((link_id, end)) = self.link_to(from, name) {
            let Some(link) = self.links.remove(&link_id) else {
                return;
            };
            self.notify_link_down(link.ends[end], link.ends[1 - end]);
        }
    }

    pub(super) fn close_all_links(&mut self, node: usize) {
        let link_ids: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, l)| l.ends.iter().any(|e| e.0 == node))
            .map(|(id, _)| *id)
            .collect();
        for id in link_ids {
            let Some(link) = self.links.remove(&id) else {
                continue;
            };
            for (end, other) in [(0, 1), (1, 0)] {
                if link.ends[end].0 != node {
                    self.notify_link_down(link.ends[end], link.ends[other]);
                }
            }
        }
    }

    /// Notifies the instance at `end` that its link to `other` is closed, unless the network
    /// between them is cut.
    fn notify_link_down(&mut self, end: (usize, u64), other: (usize, u64)) {
        if !self.connects(end.0, other.0) {
            return;
        }
        let event = Event::LinkDown {
            name: self.nodes[other.0].name.as_str().into(),
            incarnation: other.1,
        };
        let item = Item::BoardEvent {
            node: end.0,
            incarnation: end.1,
            event: Box::new(event),
        };
        self.queue.push(self.now, item);
    }
}
