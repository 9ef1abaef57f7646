//! A discrete-event simulation of instances, a platform and upstreams.

mod actions;
mod calls;
mod checks;
mod link;
mod meter;
mod queue;
mod request;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_policy::{self as policy, Action, Board, Event, Identity, RequestId, Settings};
use sesamebarrow_wire::control::DocumentKind;

use crate::invariant::{Invariants, PROPAGATION_LIMIT};
use crate::network::Network;
use crate::platform::Platform;
use crate::traffic::{Call, Completion, Submission};
pub use meter::Meter;
use queue::{Item, Queue};
use request::ActiveRequest;

/// Time between two [`Event::Tick`]s of a board.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticket key of all instances in a simulation.
const TICKET_KEY: [u8; 32] = [7; 32];

/// A simulated instance and its process. A restart keeps the node and draws a new incarnation.
pub struct Node {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    slot: u16,
    /// The board of the process; `None` while no process is running.
    pub board: Option<Board>,
    incarnation: u64,
    /// End of the current pause; items for the process are delayed until then.
    paused_until: Option<Duration>,
    started_at: Duration,
    next_request_id: u64,
    /// Last time at which the node had no path to the platform, direct or through another one.
    last_without_platform: Duration,
    requests: BTreeMap<RequestId, ActiveRequest>,
    /// Whether the board has returned [`Action::Drained`].
    pub drained: bool,
    /// Control traffic and processor time.
    pub meter: Meter,
}

/// Behaviour of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers after its response time.
    Healthy,
    /// Runs requests and never answers.
    Silent,
    /// Runs requests and closes the connection before the response is complete.
    Interrupting,
    /// Accepts no connection.
    Closed,
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Current behaviour.
    pub behaviour: Behaviour,
    /// Time from a request until its response is complete.
    pub response_time: Duration,
    running: u32,
}

/// A simulation: its state and the events that are due.
pub struct Simulation {
    /// Current virtual time.
    pub now: Duration,
    /// Source of all random choices.
    pub rng: StdRng,
    /// State of the network: faults and delays.
    pub network: Network,
    /// The platform.
    pub platform: Platform,
    /// The instances.
    pub nodes: Vec<Node>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// All requests that callers have submitted.
    pub submissions: Vec<Submission>,
    /// Invariants, with the observations that they are checked against.
    pub invariants: Invariants,
    /// Whether each board is checked after every event and the invariants are checked on each
    /// send.
    pub checks_enabled: bool,
    settings: Settings,
    queue: Queue,
    links: BTreeMap<u64, link::Link>,
    last_link_id: u64,
}

impl Simulation {
    /// Builds an empty simulation.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            network: Network::default(),
            platform: Platform::default(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            submissions: Vec::new(),
            invariants: Invariants::default(),
            checks_enabled: true,
            settings,
            queue: Queue::default(),
            links: BTreeMap::new(),
            last_link_id: 0,
        }
    }

    /// Adds an upstream.
    pub fn add_upstream(&mut self, name: &str, response_time: Duration) {
        self.upstreams.push(Upstream {
            name: name.to_owned(),
            behaviour: Behaviour::Healthy,
            response_time,
            running: 0,
        });
    }

    /// Adds a node whose process is not started yet, and returns its index.
    pub fn add_node(&mut self, name: &str, domain: &str, slot: u16) -> usize {
        self.nodes.push(Node {
            name: name.to_owned(),
            domain: domain.to_owned(),
            slot,
            board: None,
            incarnation: 0,
            paused_until: None,
            started_at: Duration::ZERO,
            next_request_id: 1,
            last_without_platform: Duration::ZERO,
            requests: BTreeMap::new(),
            drained: false,
            meter: Meter::default(),
        });
        self.nodes.len() - 1
    }

    /// Returns the index of the node `name`.
    pub fn node_index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|n| n.name == name)
    }

    /// Starts the process of `node`.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let incarnation = self.rng.random();
        let settings = self.settings;
        let process = &mut self.nodes[node];
        let identity = Identity {
            name: process.name.as_str().into(),
            domain: process.domain.as_str().into(),
            slot: process.slot,
            incarnation,
        };
        process.board = Some(Board::new(identity, settings, TICKET_KEY, seed));
        process.incarnation = incarnation;
        process.started_at = self.now;
        process.paused_until = None;
        process.drained = false;
        self.queue.push(self.now, Item::Tick { node, incarnation });
    }

    /// Kills the process of `node`; its requests and links end at once.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].board = None;
        self.nodes[node].incarnation = 0;
        let requests = std::mem::take(&mut self.nodes[node].requests);
        for (id, request) in requests {
            self.fail_request(node, id, request);
        }
        self.close_all_links(node);
    }

    /// Pauses the process of `node` for `time`.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = Some(self.now + time);
    }

    /// Publishes a document on the platform and completes the long polls that wait for it.
    pub fn publish(&mut self, kind: DocumentKind, revision: u64, text: &str) {
        let now = self.now;
        self.platform.publish(kind, revision, text, now);
        self.queue.complete_long_polls(now, kind, revision);
    }

    /// Submits a request to `node` and returns the index of the submission.
    pub fn send(&mut self, node: usize, call: Call) -> usize {
        let submission = self.submissions.len();
        self.submissions.push(Submission {
            call,
            node,
            submitted_at: self.now,
            completion: None,
        });
        self.queue.push(self.now, Item::Arrival { submission });
        submission
    }

    /// Requests a placement from `node` and returns the ticket in it, or `None` if it has none or
    /// the process is paused.
    pub fn request_ticket(
        &mut self,
        node: usize,
        key: &str,
        service: &str,
    ) -> Option<smol_str::SmolStr> {
        let id = RequestId(self.nodes[node].next_request_id);
        self.nodes[node].next_request_id += 1;
        let event = Event::PlacementRequested {
            id,
            key: Some(sesamebarrow_rules::KeyDigest::of(key.as_bytes())),
            service: service.into(),
        };
        if self.nodes[node].paused_until.is_some() {
            return None;
        }
        let actions = self.handle_event(node, event);
        let mut ticket = None;
        for action in actions {
            match action {
                Action::ReturnPlacement { ticket: t, .. } => ticket = t,
                other => self.perform(node, other),
            }
        }
        ticket
    }

    /// Runs until the virtual time `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some((at, item)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            self.handle_item(item);
        }
        self.now = until;
    }

    /// Runs for `time` of virtual time.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn handle_item(&mut self, item: Item) {
        if let Some(node) = item.node()
            && let Some(until) = self.nodes[node].paused_until
        {
            if self.now < until {
                self.queue.push(until, item);
                return;
            }
            self.nodes[node].paused_until = None;
        }
        match item {
            Item::Tick { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    if !self.reaches_platform(node) {
                        self.nodes[node].last_without_platform = self.now;
                    }
                    self.deliver_event(node, Event::Tick);
                    self.queue
                        .push(self.now + TICK_INTERVAL, Item::Tick { node, incarnation });
                }
            }
            Item::BoardEvent {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.deliver_event(node, *event);
                }
            }
            Item::Arrival { submission } => self.receive_submission(submission),
            Item::Link(step) => self.handle_link_step(step),
            Item::Request(step) => self.handle_request_step(*step),
            Item::PlatformRead(read) => self.finish_platform_read(read),
        }
    }

    /// Passes `event` to the board of `node` and returns the resulting actions.
    fn handle_event(&mut self, node: usize, event: Event) -> Vec<Action> {
        let process = &mut self.nodes[node];
        let Some(board) = process.board.as_mut() else {
            return Vec::new();
        };
        let now = self.now.saturating_sub(process.started_at);
        let before = board.rules_revision();
        let clock = Instant::now();
        let actions = policy::handle(board, now, event);
        process.meter.policy_time += clock.elapsed();
        if !self.checks_enabled {
            return actions;
        }
        if let Err(violation) = policy::check(board) {
            let message = format!("{:?}: {}: {violation}", self.now, process.name);
            self.invariants.violations.push(message);
        }
        if board.rules_revision() < before {
            let message = format!(
                "{:?}: {} reverted to an older revision of the rules",
                self.now, process.name
            );
            self.invariants.violations.push(message);
        }
        actions
    }

    /// Passes `event` to the board of `node` and performs the resulting actions.
    pub fn deliver_event(&mut self, node: usize, event: Event) {
        for action in self.handle_event(node, event) {
            self.perform(node, action);
        }
    }

    /// Returns whether `node` has had a path to the platform for [`PROPAGATION_LIMIT`], so that
    /// it must have applied each change published before that time.
    pub(crate) fn must_be_current(&self, node: usize) -> bool {
        self.reaches_platform(node)
            && self.now - self.nodes[node].last_without_platform >= PROPAGATION_LIMIT
    }

    /// Returns whether `node` can reach the platform, directly or through one other instance.
    pub fn reaches_platform(&self, node: usize) -> bool {
        let connects = |a: usize| self.network.connects(&self.nodes[a].name, "platform");
        let linked = |a: usize| {
            self.network
                .connects(&self.nodes[node].name, &self.nodes[a].name)
                && self.nodes[a].board.is_some()
                && self.nodes[a].paused_until.is_none()
        };
        !self.platform.down
            && (connects(node)
                || (0..self.nodes.len()).any(|a| a != node && linked(a) && connects(a)))
    }

    fn complete_submission(&mut self, submission: usize, completion: Completion) {
        let now = self.now;
        let record = &mut self.submissions[submission];
        if record.completion.is_some() {
            let message = format!("{now:?}: {} was answered twice", record.call.work_id);
            self.invariants.violations.push(message);
            return;
        }
        record.completion = Some((now, completion.clone()));
        let work_id = record.call.work_id.clone();
        let execution_id = record.call.execution_id().to_owned();
        match &completion {
            Completion::Answered(got) => self.invariants.check_answer(&work_id, got, now),
            refused if refused.reports_not_run() => {
                self.invariants.record_not_run(&execution_id, now);
            }
            _ => {}
        }
    }
}
