//! Selects the judges of suspects, and handles the messages of [`crate::quarantine`].

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::board::Board;
use crate::quarantine::allowance::Rate;
use crate::quarantine::message::{self, BlameEntry, Blames, MAX_ORDERS, OrderEntry, Orders};
use crate::quarantine::{Order, Suspect, Suspects};
use crate::rendezvous;
use crate::token::Body;

/// Number of instances that judge a suspect. Two may be lost or behind a partition.
const JUDGES: usize = 3;

/// Rate of messages with orders to instances whose digest differs; each has about 400 bytes.
const ORDER_MESSAGE_RATE: Rate = Rate {
    burst: 32.0,
    per_s: 2.0,
};

/// An instance that judges a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judge {
    /// This instance.
    Own,
    /// The instance at this address.
    Other(Ipv4Addr),
}

/// A change of the orders that this instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// This instance gave or extended the order.
    Quarantined,
    /// Another instance gave, extended or changed the order.
    Learned,
    /// This instance granted a trial.
    Trial,
    /// A complete answer at this instance revoked the order.
    Revoked,
    /// This instance revoked the order: orders on others explain its crashes.
    Explained,
    /// Another instance revoked the order.
    Unlearned,
    /// A trial that this instance granted was given back.
    TrialReturned,
}

/// What follows from an event: messages to send, and changes to log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages and the addresses of their receivers.
    pub messages: Vec<(Ipv4Addr, Body)>,
    /// Changes of the orders in force.
    pub changes: Vec<(Change, Order)>,
}

impl Board {
    /// Returns the instances that judge a suspect, the first one first.
    pub fn judges(&self, now: Duration, suspect: Suspect) -> Vec<Judge> {
        let key = suspect.key();
        let weight = |name_hash: u32| rendezvous::weight_of_hashes(key, name_hash.into());
        let members = self.members.alive(now).filter(|m| m.judges_suspects);
        let members = members.map(|m| (weight(m.name_hash), Judge::Other(m.ip())));
        let own = (weight(self.name_hash()), Judge::Own);
        let mut ranked: Vec<(u64, Judge)> = Vec::with_capacity(JUDGES + 1);
        for candidate in members.chain([own]) {
            let index = ranked.partition_point(|(weight, _)| *weight >= candidate.0);
            if index < JUDGES {
                ranked.insert(index, candidate);
                ranked.truncate(JUDGES);
            }
        }
        ranked.into_iter().map(|(_, judge)| judge).collect()
    }

    /// Records that an upstream's `run` crashed under a request with `suspects` of this instance.
    pub fn record_crash(&mut self, now: Duration, run: u64, suspects: &Suspects) -> Effects {
        let orders = self.quarantine.record_crash(now, run, suspects);
        let mut effects = self.announce(now, Change::Quarantined, &orders);
        effects.append(self.release_explained(now));
        effects.messages.extend(self.take_blame_messages(now));
        effects
    }

    /// Releases proven suspects whose crashes others explain.
    fn release_explained(&mut self, now: Duration) -> Effects {
        let released = self.quarantine.release_explained(now);
        self.announce_revoked(now, Change::Explained, &released)
    }

    /// Records that a request with `suspects` was answered completely.
    pub fn record_answer(&mut self, now: Duration, suspects: &Suspects) -> Effects {
        let revoked = self.quarantine.record_answer(now, suspects);
        self.announce_revoked(now, Change::Revoked, &revoked)
    }

    /// Returns the blame to send now. Must be called in each gossip round.
    pub fn take_blame_messages(&mut self, now: Duration) -> Vec<(Ipv4Addr, Body)> {
        let mut by_receiver: BTreeMap<Ipv4Addr, Vec<BlameEntry>> = BTreeMap::new();
        for (blame, age) in self.quarantine.take_due_reports(now) {
            for judge in self.judges(now, blame.suspect) {
                if let Judge::Other(ip) = judge {
                    let entry = BlameEntry::new(blame, age);
                    by_receiver.entry(ip).or_default().push(entry);
                }
            }
        }
        let mut messages = Vec::new();
        for (ip, entries) in by_receiver {
            let packed = message::pack_blame(entries).into_iter();
            messages.extend(packed.map(|blames| (ip, Body::Blames(blames))));
        }
        messages
    }

    /// Handles blame for suspects that this instance judges.
    pub fn handle_blames(&mut self, now: Duration, blames: &Blames) -> Effects {
        let decoded = blames.entries.iter().flat_map(BlameEntry::decode_all);
        let orders: Vec<Order> = decoded
            .filter_map(|(blame, age)| self.quarantine.record_blame(now, age, blame))
            .collect();
        let mut effects = self.announce(now, Change::Quarantined, &orders);
        effects.append(self.release_explained(now));
        effects
    }

    /// Handles orders of another instance.
    pub fn handle_orders(&mut self, now: Duration, message: &Orders) -> Effects {
        let mut effects = Effects::default();
        let mut new = Vec::new();
        let mut revoked = Vec::new();
        for entry in &message.entries {
            let Some(order) = entry.decode(now) else {
                continue;
            };
            let (is_new, revocation) = self.quarantine.merge_order(now, order);
            if is_new {
                let change = match order.in_force {
                    true => Change::Learned,
                    false => Change::Unlearned,
                };
                effects.changes.push((change, order));
                new.push(order);
            }
            revoked.extend(revocation);
        }
        if message.spread {
            effects.messages.extend(self.messages_to_all(now, &new));
        }
        effects.append(self.announce_revoked(now, Change::Revoked, &revoked));
        effects.append(self.release_explained(now));
        effects
    }

    /// Grants a trial of a quarantined suspect to a request with this ambiguity, if one is due and no better request
    /// has asked. Returns whether it was granted.
    pub fn grant_trial(
        &mut self,
        now: Duration,
        suspect: Suspect,
        ambiguity: u32,
    ) -> (bool, Effects) {
        let is_preferred = self.quarantine.is_preferred(now, suspect, ambiguity);
        let order = is_preferred.then(|| self.quarantine.grant_trial(now, suspect));
        let order = order.flatten();
        let effects = self.announce(now, Change::Trial, order.as_slice());
        (order.is_some(), effects)
    }

    /// Takes back a trial of a quarantined suspect that no upstream ran.
    pub fn take_back_trial(&mut self, now: Duration, suspect: Suspect) -> Effects {
        let order = self.quarantine.take_back_trial(now, suspect);
        self.announce(now, Change::TrialReturned, order.as_slice())
    }

    /// Returns messages with all orders for the instance at `ip`, if `digest`, that of its orders,
    /// differs; a sample if there are more than [`ORDER_MESSAGE_RATE`] allows. Instances of earlier versions
    /// send none.
    pub fn order_messages(
        &mut self,
        now: Duration,
        ip: Ipv4Addr,
        digest: Option<u32>,
    ) -> Vec<(Ipv4Addr, Body)> {
        if digest.is_none_or(|digest| digest == self.quarantine.digest()) {
            return Vec::new();
        }
        let mut orders: Vec<Order> = self.quarantine.orders().copied().collect();
        // An instance without any needs all of them, before it is ready.
        if digest != Some(0) {
            let wanted = orders.len().div_ceil(MAX_ORDERS);
            let allowed = self.order_allowance.take(now, ORDER_MESSAGE_RATE, wanted);
            orders = orders
                .into_iter()
                .sample(&mut self.rng, allowed * MAX_ORDERS);
        }
        let messages = encode_orders(now, &orders, false);
        messages.map(|body| (ip, body)).collect()
    }

    /// Sends changed orders to all instances.
    fn announce(&self, now: Duration, change: Change, orders: &[Order]) -> Effects {
        Effects {
            messages: self.messages_to_all(now, orders),
            changes: orders.iter().map(|order| (change, *order)).collect(),
        }
    }

    /// Sends revocations to the judges, which send them to all: many instances may revoke the same order
    /// at once.
    fn announce_revoked(&self, now: Duration, change: Change, orders: &[Order]) -> Effects {
        let mut effects = Effects::default();
        for order in orders {
            effects.changes.push((change, *order));
            for judge in self.judges(now, order.suspect) {
                let orders = std::slice::from_ref(order);
                match judge {
                    Judge::Own => effects.messages.extend(self.messages_to_all(now, orders)),
                    Judge::Other(ip) => {
                        let messages = encode_orders(now, orders, true);
                        effects.messages.extend(messages.map(|body| (ip, body)));
                    }
                }
            }
        }
        effects
    }

    fn messages_to_all(&self, now: Duration, orders: &[Order]) -> Vec<(Ipv4Addr, Body)> {
        if orders.is_empty() {
            return Vec::new();
        }
        let receivers = self.members.alive(now).filter(|m| m.judges_suspects);
        let messages = |ip| encode_orders(now, orders, false).map(move |body| (ip, body));
        receivers.flat_map(|m| messages(m.ip())).collect()
    }
}

impl Effects {
    fn append(&mut self, other: Self) {
        self.messages.extend(other.messages);
        self.changes.extend(other.changes);
    }
}

/// Returns messages with `orders`. `spread` says whether their receivers send them to all instances.
fn encode_orders(now: Duration, orders: &[Order], spread: bool) -> impl Iterator<Item = Body> {
    orders.chunks(MAX_ORDERS).map(move |orders| {
        let entries = orders.iter().map(|o| OrderEntry::new(now, o)).collect();
        Body::Orders(Orders { entries, spread })
    })
}
