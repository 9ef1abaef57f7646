//! The messages between instances.

use std::time::Duration;

use sesamebarrow_routing::board::limit::{Effects, Permission};
use sesamebarrow_routing::gossip::Datagram;
use sesamebarrow_routing::limit::message::{PermitAnswer, PermitRequest};
use sesamebarrow_routing::token::{self, Body};

use crate::containment::instance;
use crate::limits::{Event, Policy, Run, Waiting, setup};

/// Times after which the gateway sends an unanswered request for a permit again, and at last gives it up.
const RESEND_TIMES: [Duration; 4] = [
    Duration::from_millis(25),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(150),
];

impl Run<'_> {
    pub(super) fn start_round(&mut self, index: usize) {
        if !self.instances[index].up {
            return;
        }
        let now = self.process_time(index);
        let seeds = setup::seeds(self.cfg);
        let board = &mut self.instances[index].board;
        let interval = board.gossip_interval();
        let mut datagram = board.begin_gossip_round(now);
        let (region, own) = (board.identity.region.clone(), board.identity.ip);
        let receivers = board.members.receivers(&region, &seeds, &mut board.rng);
        let mut sent = Vec::new();
        for ip in receivers.into_iter().filter(|ip| *ip != own) {
            board.complete_datagram(now, &mut datagram, ip);
            sent.push((instance::index_of(ip), Box::new(datagram.clone())));
        }
        let states = board.limits.all().count();
        self.report.states = self.report.states.max(states);
        for (to, datagram) in sent {
            self.send_gossip(index, to, datagram);
        }
        self.schedule(interval, Event::Round(index));
        self.record_freedom();
    }

    fn send_gossip(&mut self, from: usize, to: usize, datagram: Box<Datagram>) {
        if self.is_lost() {
            return;
        }
        let delay = self.delay(from, to);
        self.schedule(delay, Event::Gossip { from, to, datagram });
    }

    pub(super) fn receive_gossip(&mut self, from: usize, to: usize, datagram: &Datagram) {
        if !self.reaches(from, to) {
            return;
        }
        let now = self.process_time(to);
        let ip = instance::ip_of(from);
        let board = &mut self.instances[to].board;
        let message = board.limit_message(ip, datagram.limits_digest);
        let needs_reply = board.handle_datagram(now, Duration::ZERO, datagram);
        let reply = needs_reply.then(|| {
            let mut reply = board.begin_gossip_reply(now, datagram);
            board.complete_datagram(now, &mut reply, ip);
            Box::new(reply)
        });
        if let Some(body) = message {
            self.send(to, from, body);
        }
        if let Some(reply) = reply {
            self.send_gossip(to, from, reply);
        }
    }

    /// Sends a message about limits.
    pub(super) fn send(&mut self, from: usize, to: usize, body: Body) {
        // CAST: datagrams are small.
        self.sent_bytes += token::encode(body.clone()).len() as u64;
        if self.is_lost() {
            return;
        }
        let delay = self.delay(from, to);
        self.schedule(delay, Event::Deliver { from, to, body });
    }

    pub(super) fn apply(&mut self, from: usize, effects: Effects) {
        for (ip, body) in effects.messages {
            self.send(from, instance::index_of(ip), body);
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, body: Body) {
        if !self.reaches(from, to) {
            return;
        }
        let now = self.process_time(to);
        let board = &mut self.instances[to].board;
        let effects = match body {
            Body::PermitRequest(request) => return self.answer(from, to, &request),
            Body::PermitAnswer(answer) => return self.receive_permit(&answer),
            Body::LimitObserved(observed) => board.handle_observed(now, &observed),
            Body::LimitStates(states) => board.handle_limit_states(now, &states),
            _ => return,
        };
        self.apply(to, effects);
    }

    fn answer(&mut self, from: usize, to: usize, request: &PermitRequest) {
        let now = self.process_time(to);
        let instance = &mut self.instances[to];
        let board = &mut instance.board;
        let answers = instance.answers.entry((from, request.id));
        let answer = *answers.or_insert_with(|| board.handle_permit_request(now, request));
        self.send(to, from, Body::PermitAnswer(answer));
    }

    /// Asks the owner of a limit for a permit.
    pub(super) fn ask(&mut self, waiting: Waiting) {
        let id = waiting.message.id;
        let body = Body::PermitRequest(waiting.message);
        self.send(waiting.instance, waiting.owner, body);
        self.waiting.insert(id, waiting);
        self.schedule(RESEND_TIMES[0], Event::Unanswered { id, sends: 1 });
    }

    fn receive_permit(&mut self, answer: &PermitAnswer) {
        let Some(waiting) = self.waiting.remove(&answer.id) else {
            return;
        };
        let now = self.process_time(waiting.instance);
        let board = &mut self.instances[waiting.instance].board;
        match board.handle_permit_answer(now, &waiting.message, answer) {
            Permission::Granted => self.arrive(waiting.instance, waiting.upstream),
            _ => self.try_next(waiting.instance, waiting.asked, waiting.returned),
        }
    }

    pub(super) fn handle_unanswered(&mut self, id: u64, sends: usize) {
        let Some(waiting) = self.waiting.get(&id).cloned() else {
            return;
        };
        if !self.instances[waiting.instance].up {
            self.waiting.remove(&id);
            return;
        }
        if sends < RESEND_TIMES.len() {
            let body = Body::PermitRequest(waiting.message);
            self.send(waiting.instance, waiting.owner, body);
            let pause = RESEND_TIMES[sends] - RESEND_TIMES[sends - 1];
            let sends = sends + 1;
            self.schedule(pause, Event::Unanswered { id, sends });
            return;
        }
        self.waiting.remove(&id);
        let now = self.process_time(waiting.instance);
        let board = &mut self.instances[waiting.instance].board;
        board.record_silent_owner(now, instance::ip_of(waiting.owner));
        self.try_next(waiting.instance, waiting.asked, waiting.returned);
    }

    /// Records when all instances are free again after the limits.
    fn record_freedom(&mut self) {
        if self.seconds() < self.cfg.seconds || self.report.free_after.is_some() {
            return;
        }
        let mut limits = self.instances.iter().flat_map(|i| i.board.limits.all());
        if self.policy == Policy::Owner && limits.all(|(_, limit)| limit.rate.is_none()) {
            self.report.free_after = Some(self.seconds() - self.cfg.seconds);
        }
    }
}
