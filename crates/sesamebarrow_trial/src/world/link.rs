//! Links between the processes of a world.

use std::time::Duration;

use sesamebarrow_policy::{Event, Message};

use super::World;
use super::queue::Item;

/// A link.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// Its ends and their processes.
    ends: [(usize, u64); 2],
    /// Earliest arrival of the next message to each end, which keeps their order.
    arrival: [Duration; 2],
}

/// Something that happens to a link.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// It stands.
    Open { link: u64, ends: [(usize, u64); 2] },
    /// A message arrives at an end.
    Deliver {
        link: u64,
        end: usize,
        message: Box<Message>,
    },
}

/// Time that opening a link takes at least.
const OPENING: Duration = Duration::from_millis(2);

impl World {
    pub(super) fn dial(&mut self, from: usize, name: &str) {
        let Some(to) = self.node(name) else {
            return;
        };
        if !self.passes(from, to) || self.nodes[to].board.is_none() {
            return;
        }
        self.next_link += 1;
        let ends = [
            (from, self.nodes[from].incarnation),
            (to, self.nodes[to].incarnation),
        ];
        let delay = OPENING + self.faults.delay(&mut self.rng);
        let link = self.next_link;
        self.queue
            .push(self.now + delay, Item::Link(Step::Open { link, ends }));
    }

    fn passes(&self, a: usize, b: usize) -> bool {
        self.faults.passes(&self.nodes[a].name, &self.nodes[b].name)
    }

    pub(super) fn take_link_step(&mut self, step: Step) {
        match step {
            Step::Open { link, ends } => self.open_link(link, ends),
            Step::Deliver { link, end, message } => self.deliver(link, end, *message),
        }
    }

    fn open_link(&mut self, link: u64, ends: [(usize, u64); 2]) {
        let lives = |(node, incarnation): (usize, u64)| {
            self.nodes[node].incarnation == incarnation && self.nodes[node].paused.is_none()
        };
        let both = ends.iter().copied().all(lives);
        if !both || !self.passes(ends[0].0, ends[1].0) {
            return;
        }
        let arrival = [self.now; 2];
        self.links.insert(link, Link { ends, arrival });
        for (mine, other) in [(0, 1), (1, 0)] {
            let process = &self.nodes[ends[other].0];
            let event = Event::LinkUp {
                name: process.name.as_str().into(),
                domain: process.domain.as_str().into(),
                incarnation: ends[other].1,
            };
            self.tell(ends[mine].0, event);
        }
    }

    /// Returns the newest link from `from` to the process `name`, and its end there.
    fn link_to(&self, from: usize, name: &str) -> Option<(u64, usize)> {
        let to = self.node(name)?;
        let at = |link: &Link, node: usize| link.ends.iter().position(|e| e.0 == node);
        self.links
            .iter()
            .rev()
            .find(|(_, l)| at(l, from).is_some() && at(l, to).is_some())
            .and_then(|(id, l)| Some((*id, at(l, to)?)))
    }

    pub(super) fn send_message(&mut self, from: usize, to: &str, message: &Message) {
        let Some((link, end)) = self.link_to(from, to) else {
            return;
        };
        self.nodes[from].meter.count(message);
        let copies = self.faults.copies(&mut self.rng);
        for _ in 0..copies {
            let mut at = self.now + self.faults.delay(&mut self.rng);
            if let Some(state) = self.links.get_mut(&link)
                && !self.faults.reorder
            {
                at = at.max(state.arrival[end]);
                state.arrival[end] = at;
            }
            let step = Step::Deliver {
                link,
                end,
                message: Box::new(message.clone()),
            };
            self.queue.push(at, Item::Link(step));
        }
    }

    fn deliver(&mut self, link: u64, end: usize, message: Message) {
        let Some(state) = self.links.get(&link) else {
            return;
        };
        let (node, incarnation) = state.ends[end];
        let (other, sender) = state.ends[1 - end];
        if !self.passes(node, other) {
            // The connection goes silent: nothing says so to either end.
            return;
        }
        let event = Event::MessageReceived {
            name: self.nodes[other].name.as_str().into(),
            incarnation: sender,
            message,
        };
        let event = Box::new(event);
        let item = Item::Event {
            node,
            incarnation,
            event,
        };
        self.queue.push(self.now, item);
    }

    pub(super) fn drop_link(&mut self, from: usize, name: &str) {
        while let Some((link, end)) = self.link_to(from, name) {
            let Some(state) = self.links.remove(&link) else {
                return;
            };
            self.tell_down(state.ends[end], state.ends[1 - end]);
        }
    }

    pub(super) fn end_links_of(&mut self, node: usize) {
        let ended: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, l)| l.ends.iter().any(|e| e.0 == node))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            let Some(link) = self.links.remove(&id) else {
                continue;
            };
            for (mine, other) in [(0, 1), (1, 0)] {
                if link.ends[mine].0 != node {
                    self.tell_down(link.ends[mine], link.ends[other]);
                }
            }
        }
    }

    /// Tells an end that the link to the other is gone, if the news can reach it.
    fn tell_down(&mut self, end: (usize, u64), other: (usize, u64)) {
        if !self.passes(end.0, other.0) {
            return;
        }
        let event = Event::LinkDown {
            name: self.nodes[other.0].name.as_str().into(),
            incarnation: other.1,
        };
        let item = Item::Event {
            node: end.0,
            incarnation: end.1,
            event: Box::new(event),
        };
        self.queue.push(self.now, item);
    }
}
