//! The path of requests through simulated instances and upstreams.

use std::sync::Arc;
use std::time::Duration;

use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::{Action, Event, Head, Origin, Outcome, RequestId, StoredResponse};
use sesamebarrow_rules::{KeyDigest, RequestClass};

use super::queue::Item;
use super::{Behaviour, Simulation};
use crate::traffic::{Call, Completion};

/// Time to connect to an upstream or another instance.
const CONNECT_TIME: Duration = Duration::from_millis(1);

/// Time without an answer after which an attempt counts as interrupted.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The party that waits for the result of a request at an instance.
#[derive(Clone, Debug)]
pub(super) enum Waiter {
    /// The submission of a caller; `usize::MAX` if no caller waits any more.
    Caller(usize),
    /// The request at the instance that forwarded it.
    Instance {
        node: usize,
        incarnation: u64,
        id: RequestId,
    },
}

/// A request that an instance handles.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    pub(super) call: Call,
    waiter: Waiter,
    pub(super) target: Option<Target>,
    /// Whether the request is non-idempotent and may run at most once.
    at_most_once: bool,
    /// When its tokens were reserved, at this instance or at the one that forwarded it.
    pub(super) admitted_at: Option<Duration>,
}

/// A timed event of a request.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// The connection to the target is open or has failed.
    Connected {
        node: usize,
        incarnation: u64,
        id: RequestId,
    },
    /// The request arrives at the instance to which it was forwarded.
    Forwarded {
        node: usize,
        incarnation: u64,
        call: Box<Call>,
        head: Box<Head>,
        waiter: Waiter,
        admitted_at: Option<Duration>,
    },
    /// An attempt has ended.
    AttemptEnded {
        node: usize,
        incarnation: u64,
        id: RequestId,
        outcome: Outcome,
        work_id: String,
        upstream: Option<usize>,
    },
}

impl Step {
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::Connected { node, .. }
            | Self::Forwarded { node, .. }
            | Self::AttemptEnded { node, .. } => Some(*node),
        }
    }
}

/// Returns a response for storage whose body is the id of the work that was done.
fn stored_response(work_id: &str) -> Arc<StoredResponse> {
    Arc::new(StoredResponse {
        status: 200,
        fields: Vec::new(),
        body: work_id.as_bytes().to_vec().into(),
    })
}

impl Simulation {
    pub(super) fn receive_submission(&mut self, submission: usize) {
        let record = &self.submissions[submission];
        let node = record.node;
        let call = record.call.clone();
        if self.nodes[node].board.is_none() {
            self.complete_submission(submission, Completion::Broken);
            return;
        }
        if let Some(until) = self.nodes[node].paused_until {
            if self.now < until {
                self.queue.push(until, Item::Arrival { submission });
                return;
            }
            self.nodes[node].paused_until = None;
        }
        let head = Head {
            origin: Origin::Caller {
                key: call.key.as_ref().map(|k| KeyDigest::of(k.as_bytes())),
            },
            service: call.service.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            ticket: call.ticket.clone(),
            time_left: call.time_left,
            estimated_tokens: call.estimated_tokens,
        };
        self.begin_request(node, call, head, Waiter::Caller(submission), None);
    }

    fn begin_request(
        &mut self,
        node: usize,
        call: Call,
        head: Head,
        waiter: Waiter,
        admitted_at: Option<Duration>,
    ) {
        let process = &mut self.nodes[node];
        let id = RequestId(process.next_request_id);
        process.next_request_id += 1;
        let at_most_once = process
            .board
            .as_ref()
            .and_then(|b| b.rules.as_ref())
            .and_then(|r| r.classify(&call.service, &call.method, &call.path))
            == Some(RequestClass::NonIdempotent);
        let request = ActiveRequest {
            call,
            waiter,
            target: None,
            at_most_once,
            admitted_at,
        };
        process.requests.insert(id, request);
        self.deliver_event(node, Event::RequestArrived { id, head });
    }

    pub(super) fn perform_request_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Dispatch { id, target, .. } => self.begin_connect(node, id, target),
            Action::SendRequest { id } => self.send_attempt(node, id),
            Action::Refuse { id, refusal } => {
                self.finish_request(node, id, Completion::Refused(refusal));
            }
            Action::Replay { id, response } => {
                let work_id = String::from_utf8_lossy(&response.body).into_owned();
                self.finish_request(node, id, Completion::Answered(work_id));
            }
            Action::Cancel { id } => self.finish_request(node, id, Completion::Broken),
            _ => {}
        }
    }

    fn begin_connect(&mut self, node: usize, id: RequestId, target: Target) {
        let has_reservation = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.requests.get(&id))
            .is_some_and(|r| r.reservation.is_some());
        let now = self.now;
        let incarnation = self.nodes[node].incarnation;
        let Some(request) = self.nodes[node].requests.get_mut(&id) else {
            return;
        };
        request.target = Some(target);
        if has_reservation && request.admitted_at.is_none() {
            request.admitted_at = Some(now);
        }
        let step = Step::Connected {
            node,
            incarnation,
            id,
        };
        self.queue
            .push(now + CONNECT_TIME, Item::Request(Box::new(step)));
    }

    pub(super) fn handle_request_step(&mut self, step: Step) {
        match step {
            Step::Connected {
                node,
                incarnation,
                id,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.finish_connect(node, id);
                }
            }
            Step::Forwarded {
                node,
                incarnation,
                call,
                head,
                waiter,
                admitted_at,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.begin_request(node, *call, *head, waiter, admitted_at);
                }
            }
            Step::AttemptEnded {
                node,
                incarnation,
                id,
                outcome,
                work_id,
                upstream,
            } => {
                if let Some(upstream) = upstream {
                    self.upstreams[upstream].running -= 1;
                }
                if self.nodes[node].incarnation == incarnation {
                    self.finish_attempt(node, id, outcome, work_id);
                }
            }
        }
    }

    /// Tells the board that the connection is open, or that it could not be opened.
    fn finish_connect(&mut self, node: usize, id: RequestId) {
        let Some(request) = self.nodes[node].requests.get(&id) else {
            return;
        };
        let is_open = match &request.target {
            Some(Target::Upstream { name, .. }) => self
                .upstreams
                .iter()
                .any(|u| u.name == *name && u.behaviour != Behaviour::Closed),
            Some(Target::Instance { name, .. }) => self.node_index(name).is_some_and(|to| {
                self.nodes[to].board.is_some()
                    && self.network.connects(&self.nodes[node].name, name)
            }),
            None => false,
        };
        let event = if is_open {
            Event::ReadyToSend {
                id,
                fingerprint: id.0,
            }
        } else {
            Event::AttemptFinished {
                id,
                outcome: Outcome::NotSent,
            }
        };
        self.deliver_event(node, event);
    }

    fn send_attempt(&mut self, node: usize, id: RequestId) {
        let Some(request) = self.nodes[node].requests.get_mut(&id) else {
            return;
        };
        let request = request.clone();
        self.check_before_send(node, &request);
        match request.target.clone() {
            Some(Target::Upstream { name, .. }) => self.run_on_upstream(node, id, &request, &name),
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
                self.forward(node, id, request, &name, origin, reserved_tokens);
            }
            None => {}
        }
    }

    fn run_on_upstream(&mut self, node: usize, id: RequestId, request: &ActiveRequest, name: &str) {
        let now = self.now;
        let work_id = request.call.work_id.clone();
        if self.checks_enabled {
            let must_be_current = self.must_be_current(node);
            self.invariants
                .check_upstream(&self.platform, name, must_be_current, now);
        }
        if request.at_most_once {
            let ticket = request.call.ticket.clone().unwrap_or_default();
            self.invariants
                .record_at_most_once_run(&work_id, &ticket, now);
        } else {
            self.invariants.record_run(&work_id, now);
        }
        let Some(index) = self.upstreams.iter().position(|u| u.name == name) else {
            return;
        };
        let tokens = Some(self.actual_cost(node, &request.call));
        let upstream = &mut self.upstreams[index];
        upstream.running += 1;
        let completed = Outcome::Completed {
            tokens,
            response: request.at_most_once.then(|| stored_response(&work_id)),
            is_server_error: false,
        };
        let interrupted = Outcome::Interrupted {
            relayed: false,
            crashed: false,
        };
        let (outcome, time) = match upstream.behaviour {
            Behaviour::Healthy => (completed, upstream.response_time),
            Behaviour::Silent => (interrupted, STALL_TIMEOUT),
            Behaviour::Interrupting | Behaviour::Closed => (interrupted, upstream.response_time),
        };
        let step = Step::AttemptEnded {
            node,
            incarnation: self.nodes[node].incarnation,
            id,
            outcome,
            work_id,
            upstream: Some(index),
        };
        self.queue.push(now + time, Item::Request(Box::new(step)));
    }

    fn forward(
        &mut self,
        node: usize,
        id: RequestId,
        request: ActiveRequest,
        name: &str,
        origin: Origin,
        reserved_tokens: u64,
    ) {
        let Some(to) = self.node_index(name) else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let call = request.call;
        let work_id = call.work_id.clone();
        let head = Head {
            origin,
            service: call.service.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            ticket: call.ticket.clone().filter(|_| request.at_most_once),
            time_left: call.time_left,
            estimated_tokens: reserved_tokens,
        };
        let waiter = Waiter::Instance {
            node,
            incarnation,
            id,
        };
        // An attempt whose result never arrives ends after the stall timeout.
        let stalled = Step::AttemptEnded {
            node,
            incarnation,
            id,
            outcome: Outcome::Interrupted {
                relayed: false,
                crashed: false,
            },
            work_id,
            upstream: None,
        };
        self.queue
            .push(self.now + STALL_TIMEOUT, Item::Request(Box::new(stalled)));
        if !self.network.connects(&self.nodes[node].name, name) {
            return;
        }
        let delay = self.network.delay(&mut self.rng);
        let step = Step::Forwarded {
            node: to,
            incarnation: self.nodes[to].incarnation,
            call: Box::new(call),
            head: Box::new(head),
            waiter,
            admitted_at: request.admitted_at,
        };
        self.queue
            .push(self.now + delay, Item::Request(Box::new(step)));
    }

    fn finish_attempt(&mut self, node: usize, id: RequestId, outcome: Outcome, work_id: String) {
        let completed = matches!(outcome, Outcome::Completed { .. });
        let is_active = self.nodes[node].requests.contains_key(&id);
        let has_waiter = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.requests.get(&id))
            .is_some_and(|r| !r.detached);
        self.deliver_event(node, Event::AttemptFinished { id, outcome });
        if completed && is_active && has_waiter {
            self.finish_request(node, id, Completion::Answered(work_id));
        } else if completed {
            self.nodes[node].requests.remove(&id);
        }
    }

    /// Removes a finished request from its node and notifies its waiter.
    fn finish_request(&mut self, node: usize, id: RequestId, completion: Completion) {
        let Some(request) = self.nodes[node].requests.remove(&id) else {
            return;
        };
        let detached = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.requests.get(&id))
            .is_some_and(|r| r.detached);
        if detached {
            // The attempt continues after its caller has its answer.
            let mut detached_request = request.clone();
            detached_request.waiter = Waiter::Caller(usize::MAX);
            self.nodes[node].requests.insert(id, detached_request);
        }
        self.notify_waiter(node, request, completion);
    }

    fn notify_waiter(&mut self, node: usize, request: ActiveRequest, completion: Completion) {
        match request.waiter {
            Waiter::Caller(usize::MAX) => {}
            Waiter::Caller(submission) => self.complete_submission(submission, completion),
            Waiter::Instance {
                node: to,
                incarnation,
                id,
            } => {
                if !self
                    .network
                    .connects(&self.nodes[node].name, &self.nodes[to].name)
                {
                    return;
                }
                let work_id = match &completion {
                    Completion::Answered(work_id) => work_id.clone(),
                    _ => request.call.work_id.clone(),
                };
                let outcome = match completion {
                    Completion::Answered(_) => Outcome::Completed {
                        tokens: Some(request.call.actual_tokens),
                        response: None,
                        is_server_error: false,
                    },
                    Completion::Refused(refusal) => Outcome::Refused(refusal),
                    Completion::Broken => Outcome::Interrupted {
                        relayed: false,
                        crashed: false,
                    },
                };
                let delay = self.network.delay(&mut self.rng);
                let step = Step::AttemptEnded {
                    node: to,
                    incarnation,
                    id,
                    outcome,
                    work_id,
                    upstream: None,
                };
                self.queue
                    .push(self.now + delay, Item::Request(Box::new(step)));
            }
        }
    }

    /// Breaks a request off because its process was killed.
    pub(super) fn fail_request(&mut self, node: usize, _id: RequestId, request: ActiveRequest) {
        self.notify_waiter(node, request, Completion::Broken);
    }
}
