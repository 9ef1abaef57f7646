//! Boards, a platform and upstreams in one queue of timed events.

mod calls;
mod carry;
mod link;
mod meter;
mod queue;
mod request;
mod watch;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_policy::{self as policy, Action, Board, Event, Identity, RequestId, Settings};
use sesamebarrow_wire::control::DocumentKind;

use crate::fault::Faults;
use crate::platform::Platform;
use crate::promise::{IN_FORCE, Promises};
use crate::traffic::{Call, End, Sending};
pub use meter::Meter;
use queue::{Item, Queue};
use request::Running;

/// Time between two ticks of a board.
const TICK: Duration = Duration::from_millis(50);

/// The fleet's ticket key in every world.
const TICKET_KEY: [u8; 32] = [7; 32];

/// A process of a world.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    slot: u16,
    /// The board; `None` while no process runs.
    pub board: Option<Board>,
    incarnation: u64,
    /// Until when the process is paused; what comes in waits.
    paused: Option<Duration>,
    began: Duration,
    next_request: u64,
    /// When it last could not reach the platform, neither by itself nor by a neighbour.
    unreached: Duration,
    running: BTreeMap<RequestId, Running>,
    /// Whether [`Action::Drained`] was said.
    pub drained: bool,
    /// What its control costs.
    pub meter: Meter,
}

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Answers after a while.
    Sound,
    /// Runs requests and never answers.
    Silent,
    /// Runs requests and breaks answers off.
    Cut,
    /// Takes no connection.
    Closed,
}

/// An upstream of a world.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// How it behaves.
    pub conduct: Conduct,
    /// Time that an answer takes.
    pub pace: Duration,
    running: u32,
}

/// The world.
pub struct World {
    /// Its time.
    pub now: Duration,
    /// Its random numbers.
    pub rng: StdRng,
    /// The faults in force.
    pub faults: Faults,
    /// The platform.
    pub platform: Platform,
    /// The processes.
    pub nodes: Vec<Node>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// All sendings.
    pub sendings: Vec<Sending>,
    /// What was promised and seen.
    pub promises: Promises,
    /// Whether every board is checked after every event, and every promise watched.
    pub watched: bool,
    settings: Settings,
    queue: Queue,
    links: BTreeMap<u64, link::Link>,
    next_link: u64,
}

impl World {
    /// Builds an empty world.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            faults: Faults::default(),
            platform: Platform::default(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            sendings: Vec::new(),
            promises: Promises::default(),
            watched: true,
            settings,
            queue: Queue::default(),
            links: BTreeMap::new(),
            next_link: 0,
        }
    }

    /// Adds an upstream.
    pub fn add_upstream(&mut self, name: &str, pace: Duration) {
        self.upstreams.push(Upstream {
            name: name.to_owned(),
            conduct: Conduct::Sound,
            pace,
            running: 0,
        });
    }

    /// Adds a process that does not run yet.
    pub fn add_node(&mut self, name: &str, domain: &str, slot: u16) -> usize {
        self.nodes.push(Node {
            name: name.to_owned(),
            domain: domain.to_owned(),
            slot,
            board: None,
            incarnation: 0,
            paused: None,
            began: Duration::ZERO,
            next_request: 1,
            unreached: Duration::ZERO,
            running: BTreeMap::new(),
            drained: false,
            meter: Meter::default(),
        });
        self.nodes.len() - 1
    }

    /// Returns the process `name`.
    pub fn node(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|n| n.name == name)
    }

    /// Starts the process `node`.
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
        process.began = self.now;
        process.paused = None;
        process.drained = false;
        self.queue.push(self.now, Item::Tick { node, incarnation });
    }

    /// Ends the process `node` at once.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].board = None;
        self.nodes[node].incarnation = 0;
        let running = std::mem::take(&mut self.nodes[node].running);
        for (id, running) in running {
            self.lose_request(node, id, running);
        }
        self.end_links_of(node);
    }

    /// Pauses the process `node`.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused = Some(self.now + time);
    }

    /// Publishes a document and notes it.
    pub fn publish(&mut self, kind: DocumentKind, revision: u64, text: &str) {
        let now = self.now;
        self.platform.publish(kind, revision, text, now);
        self.queue.wake_watchers(now, kind, revision);
    }

    /// Sends a request to `node` and returns the sending's number.
    pub fn send(&mut self, node: usize, call: Call) -> usize {
        let sending = self.sendings.len();
        self.sendings.push(Sending {
            call,
            node,
            at: self.now,
            end: None,
        });
        self.queue.push(self.now, Item::Arrive { sending });
        sending
    }

    /// Asks `node` for a ticket, which a caller gets with a placement.
    pub fn ask_ticket(
        &mut self,
        node: usize,
        key: &str,
        service: &str,
    ) -> Option<smol_str::SmolStr> {
        let id = RequestId(self.nodes[node].next_request);
        self.nodes[node].next_request += 1;
        let event = Event::PlacementRequested {
            id,
            key: Some(sesamebarrow_rules::KeyDigest::of(key.as_bytes())),
            service: service.into(),
        };
        if self.nodes[node].paused.is_some() {
            return None;
        }
        let actions = self.event(node, event);
        let mut ticket = None;
        for action in actions {
            match action {
                Action::ReturnPlacement { ticket: t, .. } => ticket = t,
                other => self.carry_out(node, other),
            }
        }
        ticket
    }

    /// Runs until `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some((at, item)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            self.take(item);
        }
        self.now = until;
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn take(&mut self, item: Item) {
        if let Some(node) = item.node()
            && let Some(until) = self.nodes[node].paused
        {
            if self.now < until {
                self.queue.push(until, item);
                return;
            }
            self.nodes[node].paused = None;
        }
        match item {
            Item::Tick { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    if !self.is_reached(node) {
                        self.nodes[node].unreached = self.now;
                    }
                    self.tell(node, Event::Tick);
                    self.queue
                        .push(self.now + TICK, Item::Tick { node, incarnation });
                }
            }
            Item::Event {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.tell(node, *event);
                }
            }
            Item::Arrive { sending } => self.arrive(sending),
            Item::Link(step) => self.take_link_step(step),
            Item::Request(step) => self.take_request_step(*step),
            Item::Read(read) => self.answer_read(read),
        }
    }

    /// Gives `event` to the board of `node` and returns its actions.
    fn event(&mut self, node: usize, event: Event) -> Vec<Action> {
        let process = &mut self.nodes[node];
        let Some(board) = process.board.as_mut() else {
            return Vec::new();
        };
        let now = self.now.saturating_sub(process.began);
        let before = board.rules_revision();
        let clock = Instant::now();
        let actions = policy::handle(board, now, event);
        process.meter.busy += clock.elapsed();
        if !self.watched {
            return actions;
        }
        if let Err(broken) = policy::check(board) {
            let message = format!("{:?}: {}: {broken}", self.now, process.name);
            self.promises.broken.push(message);
        }
        if board.rules_revision() < before {
            let message = format!("{:?}: {} went back", self.now, process.name);
            self.promises.broken.push(message);
        }
        actions
    }

    /// Gives `event` to the board of `node` and carries its actions out.
    pub fn tell(&mut self, node: usize, event: Event) {
        for action in self.event(node, event) {
            self.carry_out(node, action);
        }
    }

    /// Tells whether `node` has been reached for as long as news may take.
    pub(crate) fn should_know(&self, node: usize) -> bool {
        self.is_reached(node) && self.now - self.nodes[node].unreached >= IN_FORCE
    }

    /// Tells whether `node` can reach the platform or an instance that can.
    pub fn is_reached(&self, node: usize) -> bool {
        let passes = |a: usize| self.faults.passes(&self.nodes[a].name, "platform");
        let linked = |a: usize| {
            self.faults
                .passes(&self.nodes[node].name, &self.nodes[a].name)
                && self.nodes[a].board.is_some()
                && self.nodes[a].paused.is_none()
        };
        !self.platform.down
            && (passes(node) || (0..self.nodes.len()).any(|a| a != node && linked(a) && passes(a)))
    }

    fn end_sending(&mut self, sending: usize, end: End) {
        let now = self.now;
        let record = &mut self.sendings[sending];
        if record.end.is_some() {
            let message = format!("{now:?}: {} was answered twice", record.call.order);
            self.promises.broken.push(message);
            return;
        }
        record.end = Some((now, end.clone()));
        let order = record.call.order.clone();
        let name = record.call.name().to_owned();
        match &end {
            End::Whole(got) => self.promises.note_answer(&order, got, now),
            refused if refused.says_not_run() => {
                self.promises.note_not_run(&name, now);
            }
            _ => {}
        }
    }
}
