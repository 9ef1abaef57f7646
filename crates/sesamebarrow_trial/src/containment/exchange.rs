//! The messages between instances.

use rand::RngExt;
use rand::seq::IteratorRandom;
use sesamebarrow_routing::board::quarantine::Effects;
use sesamebarrow_routing::quarantine::{Kind, Order, Suspect};
use sesamebarrow_routing::token::{self, Body};

use crate::containment::experiment::Policy;
use crate::containment::{
    DELAYS, Event, FANOUT, HARMFUL_PART, HARMFUL_REQUESTS, REGIONS, ROUND, Run, SUBJECTS, instance,
};

impl Run<'_> {
    pub(super) fn start_round(&mut self) {
        self.schedule(ROUND, Event::Round);
        for index in 0..self.instances.len() {
            if !self.instances[index].up {
                continue;
            }
            let now = self.process_time(index);
            let board = &mut self.instances[index].board;
            board.quarantine.remove_expired(now);
            let entries = board.quarantine.blamed().count() + board.quarantine.orders().count();
            let messages = board.take_blame_messages(now);
            self.report.max_entries = self.report.max_entries.max(entries);
            let effects = Effects {
                messages,
                changes: Vec::new(),
            };
            self.apply(index, effects);
            self.compare_digests(index);
        }
        self.record_wrong_orders();
    }

    pub(super) fn compare_digests(&mut self, index: usize) {
        let digest = self.instances[index].board.quarantine.digest();
        let others = (0..self.instances.len()).filter(|other| *other != index);
        let receivers: Vec<usize> = others.sample(&mut self.rng, FANOUT);
        for to in receivers {
            if !self.reaches(index, to) || self.rng.random_bool(self.cfg.loss) {
                continue;
            }
            let now = self.process_time(to);
            let board = &mut self.instances[to].board;
            let messages = board.order_messages(now, instance::ip_of(index), Some(digest));
            let effects = Effects {
                messages,
                changes: Vec::new(),
            };
            self.apply(to, effects);
        }
    }

    pub(super) fn record_wrong_orders(&mut self) {
        let mut wrong: Vec<Suspect> = Vec::new();
        for instance in &self.instances {
            let orders = instance.board.quarantine.orders();
            let is_wrong = |o: &&Order| o.in_force && !is_harmful(o.suspect);
            wrong.extend(orders.filter(is_wrong).map(|o| o.suspect));
        }
        for suspect in &wrong {
            self.wrong_since.entry(*suspect).or_insert(self.now);
        }
        let (now, longest) = (self.now, &mut self.report.longest_wrong);
        self.wrong_since.retain(|suspect, since| {
            let stays = wrong.contains(suspect);
            if !stays {
                *longest = (*longest).max(now.saturating_sub(*since));
            }
            stays
        });
    }

    pub(super) fn apply(&mut self, from: usize, effects: Effects) {
        if self.report.crashes_before_order == 0 && !effects.changes.is_empty() {
            self.report.crashes_before_order = self.report.crashes;
        }
        for (_, order) in effects.changes.iter().filter(|(_, order)| order.in_force) {
            self.cancel(from, order.suspect);
        }
        if self.policy == Policy::Instance {
            return;
        }
        for (ip, body) in effects.messages {
            let to = instance::index_of(ip);
            // CAST: datagrams are small.
            self.sent_bytes += token::encode(body.clone()).len() as u64;
            if self.rng.random_bool(self.cfg.loss) {
                continue;
            }
            let delay = match from % REGIONS == to % REGIONS {
                true => DELAYS.0,
                false => DELAYS.1,
            };
            self.schedule(delay, Event::Deliver { from, to, body });
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, body: Body) {
        if !self.reaches(from, to) {
            return;
        }
        let now = self.process_time(to);
        let board = &mut self.instances[to].board;
        let effects = match body {
            Body::Blames(blames) => board.handle_blames(now, &blames),
            Body::Orders(orders) => board.handle_orders(now, &orders),
            _ => return,
        };
        self.apply(to, effects);
    }
}

fn is_harmful(suspect: Suspect) -> bool {
    match suspect.kind {
        Kind::Part => (HARMFUL_PART..SUBJECTS).contains(&suspect.id),
        Kind::Request => suspect.id >= HARMFUL_REQUESTS,
    }
}
