//! Requests on their way through a world.

use std::sync::Arc;
use std::time::Duration;

use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::{Action, Event, Head, Origin, Outcome, RequestId, StoredResponse};
use sesamebarrow_rules::{KeyDigest, RequestClass};

use super::queue::Item;
use super::{Conduct, World};
use crate::traffic::{Call, End};

/// Time to connect to anything.
const CONNECT: Duration = Duration::from_millis(1);

/// Silence after which an attempt has broken off.
const STALL: Duration = Duration::from_secs(15);

/// Who waits for the end of a request at a process.
#[derive(Clone, Debug)]
pub(super) enum Waiter {
    /// A caller's sending.
    Caller(usize),
    /// A request at another process, and that process.
    Instance {
        node: usize,
        incarnation: u64,
        id: RequestId,
    },
}

/// A request at a process.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) call: Call,
    waiter: Waiter,
    pub(super) target: Option<Target>,
    /// Whether the request may run once only.
    once: bool,
    /// When its tokens were taken here.
    pub(super) admitted: Option<Duration>,
}

/// Something that happens to a request.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// The connection to the target stands, or does not.
    Connected {
        node: usize,
        incarnation: u64,
        id: RequestId,
    },
    /// It arrives at another process.
    Forwarded {
        node: usize,
        incarnation: u64,
        call: Box<Call>,
        head: Box<Head>,
        waiter: Waiter,
        admitted: Option<Duration>,
    },
    /// An attempt ends.
    Ended {
        node: usize,
        incarnation: u64,
        id: RequestId,
        outcome: Outcome,
        order: String,
        upstream: Option<usize>,
    },
}

impl Step {
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::Connected { node, .. }
            | Self::Forwarded { node, .. }
            | Self::Ended { node, .. } => Some(*node),
        }
    }
}

/// Returns a kept answer that carries the order which it answers.
fn answer_of(order: &str) -> Arc<StoredResponse> {
    Arc::new(StoredResponse {
        status: 200,
        fields: Vec::new(),
        body: order.as_bytes().to_vec().into(),
    })
}

impl World {
    pub(super) fn arrive(&mut self, sending: usize) {
        let record = &self.sendings[sending];
        let node = record.node;
        let call = record.call.clone();
        if self.nodes[node].board.is_none() {
            self.end_sending(sending, End::Broken);
            return;
        }
        if let Some(until) = self.nodes[node].paused {
            if self.now < until {
                self.queue.push(until, Item::Arrive { sending });
                return;
            }
            self.nodes[node].paused = None;
        }
        let head = Head {
            origin: Origin::Caller {
                key: call.key.as_ref().map(|k| KeyDigest::of(k.as_bytes())),
            },
            service: call.service.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            ticket: call.ticket.clone(),
            time_left: call.deadline,
            estimated_tokens: call.estimate,
        };
        self.begin(node, call, head, Waiter::Caller(sending), None);
    }

    fn begin(
        &mut self,
        node: usize,
        call: Call,
        head: Head,
        waiter: Waiter,
        admitted: Option<Duration>,
    ) {
        let process = &mut self.nodes[node];
        let id = RequestId(process.next_request);
        process.next_request += 1;
        let once = process
            .board
            .as_ref()
            .and_then(|b| b.rules.as_ref())
            .and_then(|r| r.classify(&call.service, &call.method, &call.path))
            == Some(RequestClass::NonIdempotent);
        let running = Running {
            call,
            waiter,
            target: None,
            once,
            admitted,
        };
        process.running.insert(id, running);
        self.tell(node, Event::RequestArrived { id, head });
    }

    pub(super) fn carry_request(&mut self, node: usize, action: Action) {
        match action {
            Action::Dispatch { id, target, .. } => self.connect(node, id, target),
            Action::SendRequest { id } => self.go(node, id),
            Action::Refuse { id, refusal } => self.end(node, id, End::Refused(refusal)),
            Action::Replay { id, response } => {
                let order = String::from_utf8_lossy(&response.body).into_owned();
                self.end(node, id, End::Whole(order));
            }
            Action::Cancel { id } => self.end(node, id, End::Broken),
            _ => {}
        }
    }

    fn connect(&mut self, node: usize, id: RequestId, target: Target) {
        let reserved = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.requests.get(&id))
            .is_some_and(|r| r.reservation.is_some());
        let now = self.now;
        let incarnation = self.nodes[node].incarnation;
        let Some(running) = self.nodes[node].running.get_mut(&id) else {
            return;
        };
        running.target = Some(target);
        if reserved && running.admitted.is_none() {
            running.admitted = Some(now);
        }
        let step = Step::Connected {
            node,
            incarnation,
            id,
        };
        self.queue
            .push(now + CONNECT, Item::Request(Box::new(step)));
    }

    pub(super) fn take_request_step(&mut self, step: Step) {
        match step {
            Step::Connected {
                node,
                incarnation,
                id,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.connected(node, id);
                }
            }
            Step::Forwarded {
                node,
                incarnation,
                call,
                head,
                waiter,
                admitted,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.begin(node, *call, *head, waiter, admitted);
                }
            }
            Step::Ended {
                node,
                incarnation,
                id,
                outcome,
                order,
                upstream,
            } => {
                if let Some(upstream) = upstream {
                    self.upstreams[upstream].running -= 1;
                }
                if self.nodes[node].incarnation == incarnation {
                    self.attempt_ended(node, id, outcome, order);
                }
            }
        }
    }

    /// Goes on once a connection stands, or says that none does.
    fn connected(&mut self, node: usize, id: RequestId) {
        let Some(running) = self.nodes[node].running.get(&id) else {
            return;
        };
        let stands = match &running.target {
            Some(Target::Upstream { name, .. }) => self
                .upstreams
                .iter()
                .any(|u| u.name == *name && u.conduct != Conduct::Closed),
            Some(Target::Instance { name, .. }) => self.node(name).is_some_and(|to| {
                self.nodes[to].board.is_some() && self.faults.passes(&self.nodes[node].name, name)
            }),
            None => false,
        };
        let event = if stands {
            Event::ReadyToSend { id }
        } else {
            Event::AttemptFinished {
                id,
                outcome: Outcome::NotSent,
            }
        };
        self.tell(node, event);
    }

    fn go(&mut self, node: usize, id: RequestId) {
        let Some(running) = self.nodes[node].running.get_mut(&id) else {
            return;
        };
        let running = running.clone();
        self.watch_departure(node, &running);
        match running.target.clone() {
            Some(Target::Upstream { name, .. }) => self.run_at(node, id, &running, &name),
            Some(Target::Instance {
                name,
                customer,
                reserved_tokens,
            }) => {
                let origin = Origin::Instance {
                    name: self.nodes[node].name.as_str().into(),
                    customer,
                    hops: 1,
                };
                self.forward(node, id, running, &name, origin, reserved_tokens);
            }
            None => {}
        }
    }

    fn run_at(&mut self, node: usize, id: RequestId, running: &Running, name: &str) {
        let now = self.now;
        let order = running.call.order.clone();
        if self.watched {
            let reached = self.should_know(node);
            self.promises.note_work(&self.platform, name, reached, now);
        }
        if running.once {
            let ticket = running.call.ticket.clone().unwrap_or_default();
            self.promises.note_run(&order, &ticket, now);
        } else {
            self.promises.note_idempotent_run(&order, now);
        }
        let Some(index) = self.upstreams.iter().position(|u| u.name == name) else {
            return;
        };
        let tokens = Some(self.real_cost(node, &running.call));
        let upstream = &mut self.upstreams[index];
        upstream.running += 1;
        let whole = Outcome::Completed {
            tokens,
            response: running.once.then(|| answer_of(&order)),
        };
        let broken = Outcome::Interrupted { relayed: false };
        let (outcome, time) = match upstream.conduct {
            Conduct::Sound => (whole, upstream.pace),
            Conduct::Silent => (broken, STALL),
            Conduct::Cut | Conduct::Closed => (broken, upstream.pace),
        };
        let step = Step::Ended {
            node,
            incarnation: self.nodes[node].incarnation,
            id,
            outcome,
            order,
            upstream: Some(index),
        };
        self.queue.push(now + time, Item::Request(Box::new(step)));
    }

    fn forward(
        &mut self,
        node: usize,
        id: RequestId,
        running: Running,
        name: &str,
        origin: Origin,
        reserved: u64,
    ) {
        let Some(to) = self.node(name) else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let call = running.call;
        let order = call.order.clone();
        let head = Head {
            origin,
            service: call.service.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            ticket: call.ticket.clone().filter(|_| running.once),
            time_left: call.deadline,
            estimated_tokens: reserved,
        };
        let waiter = Waiter::Instance {
            node,
            incarnation,
            id,
        };
        // What never arrives ends by silence.
        let lost = Step::Ended {
            node,
            incarnation,
            id,
            outcome: Outcome::Interrupted { relayed: false },
            order,
            upstream: None,
        };
        self.queue
            .push(self.now + STALL, Item::Request(Box::new(lost)));
        if !self.faults.passes(&self.nodes[node].name, name) {
            return;
        }
        let delay = self.faults.delay(&mut self.rng);
        let step = Step::Forwarded {
            node: to,
            incarnation: self.nodes[to].incarnation,
            call: Box::new(call),
            head: Box::new(head),
            waiter,
            admitted: running.admitted,
        };
        self.queue
            .push(self.now + delay, Item::Request(Box::new(step)));
    }

    fn attempt_ended(&mut self, node: usize, id: RequestId, outcome: Outcome, order: String) {
        let whole = matches!(outcome, Outcome::Completed { .. });
        let known = self.nodes[node].running.contains_key(&id);
        let waits = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.requests.get(&id))
            .is_some_and(|r| !r.detached);
        self.tell(node, Event::AttemptFinished { id, outcome });
        if whole && known && waits {
            self.end(node, id, End::Whole(order));
        } else if whole {
            self.nodes[node].running.remove(&id);
        }
    }

    /// Ends a request at a process and tells whoever waits.
    fn end(&mut self, node: usize, id: RequestId, end: End) {
        let Some(running) = self.nodes[node].running.remove(&id) else {
            return;
        };
        let detached = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.requests.get(&id))
            .is_some_and(|r| r.detached);
        if detached {
            // The attempt goes on without its caller.
            let mut left = running.clone();
            left.waiter = Waiter::Caller(usize::MAX);
            self.nodes[node].running.insert(id, left);
        }
        self.tell_waiter(node, running, end);
    }

    fn tell_waiter(&mut self, node: usize, running: Running, end: End) {
        match running.waiter {
            Waiter::Caller(usize::MAX) => {}
            Waiter::Caller(sending) => self.end_sending(sending, end),
            Waiter::Instance {
                node: to,
                incarnation,
                id,
            } => {
                if !self
                    .faults
                    .passes(&self.nodes[node].name, &self.nodes[to].name)
                {
                    return;
                }
                let order = match &end {
                    End::Whole(order) => order.clone(),
                    _ => running.call.order.clone(),
                };
                let outcome = match end {
                    End::Whole(_) => Outcome::Completed {
                        tokens: Some(running.call.real),
                        response: None,
                    },
                    End::Refused(refusal) => Outcome::Refused(refusal),
                    End::Broken => Outcome::Interrupted { relayed: false },
                };
                let delay = self.faults.delay(&mut self.rng);
                let step = Step::Ended {
                    node: to,
                    incarnation,
                    id,
                    outcome,
                    order,
                    upstream: None,
                };
                self.queue
                    .push(self.now + delay, Item::Request(Box::new(step)));
            }
        }
    }

    /// Ends a request whose process was killed.
    pub(super) fn lose_request(&mut self, node: usize, _id: RequestId, running: Running) {
        self.tell_waiter(node, running, End::Broken);
    }
}
