//! The actor that owns the board, which is the state on which the policy decides. It passes
//! events to the policy and carries out the resulting actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sesamebarrow_policy::{Action, Board, Event, Head, RequestId};
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::peer::Links;
use crate::platform::Platform;
use crate::{platform, telemetry};

/// Time between two [`Event::Tick`] events. The policy needs at least ten of them a second.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Messages to the actor.
pub enum Command {
    /// Passes an event to the policy.
    Event(Event),
    /// Starts a request or a placement query.
    Submit {
        /// The event that reports its arrival.
        event: Event,
        /// Number of the request or query on the board.
        id: RequestId,
        /// Sender for its actions.
        tx: mpsc::UnboundedSender<Action>,
    },
    /// Returns a snapshot of the board as JSON.
    Snapshot(RpcReplyPort<serde_json::Value>),
    /// Updates the metrics from the board.
    UpdateMetrics(RpcReplyPort<()>),
    /// Returns the address on which an instance accepts links.
    PeerAddress(SmolStr, RpcReplyPort<Option<SocketAddr>>),
    /// Returns whether this instance accepts new requests.
    Ready(RpcReplyPort<bool>),
}

/// Handle of the actor.
#[derive(Clone)]
pub struct Handle {
    actor: ActorRef<Command>,
    next_id: Arc<AtomicU64>,
    /// Cancelled when the actor has ended, which it does only by a fault. All requests are
    /// refused from then on.
    pub ended: CancellationToken,
}

impl Handle {
    /// Sends an event to the actor.
    pub fn send_event(&self, event: Event) {
        send_event(&self.actor, event);
    }

    /// Submits a request to the policy.
    pub fn submit_request(&self, head: Head) -> RequestHandle {
        self.submit(|id| Event::RequestArrived { id, head })
    }

    /// Submits a request or a placement query to the policy.
    pub fn submit(&self, event: impl FnOnce(RequestId) -> Event) -> RequestHandle {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        let event = event(id);
        let _ = self.actor.cast(Command::Submit { event, id, tx });
        RequestHandle { id, rx }
    }

    /// Sends a command to the actor and returns its reply.
    pub async fn query<T: Send + 'static>(
        &self,
        command: impl FnOnce(RpcReplyPort<T>) -> Command,
    ) -> anyhow::Result<T> {
        let (tx, rx) = ractor::concurrency::oneshot();
        self.actor
            .cast(command(tx.into()))
            .map_err(|_| anyhow::anyhow!("the process is stopping"))?;
        Ok(rx.await?)
    }
}

/// Sends an event to `actor`.
fn send_event(actor: &ActorRef<Command>, event: Event) {
    // The actor stops only when the process does.
    let _ = actor.cast(Command::Event(event));
}

/// A submitted request or placement query, with its actions.
pub struct RequestHandle {
    /// Number of the request or query on the board.
    pub id: RequestId,
    /// Receiver of its actions.
    pub rx: mpsc::UnboundedReceiver<Action>,
}

/// Arguments of the actor.
pub struct Setup {
    /// The board.
    pub board: Board,
    /// Links to other instances.
    pub links: Links,
    /// How to reach the platform.
    pub platform: Platform,
    /// Set to `true` once the policy reports that the instance has drained.
    pub drained: watch::Sender<bool>,
}

struct Driver;

struct State {
    setup: Setup,
    myself: ActorRef<Command>,
    started_at: Instant,
    /// Senders for the actions of requests in progress.
    requests: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
}

/// Starts the actor and its ticks.
pub async fn start(setup: Setup) -> anyhow::Result<Handle> {
    let (actor, task) = Actor::spawn(None, Driver, setup).await?;
    let ended = CancellationToken::new();
    let handle = Handle {
        actor: actor.clone(),
        next_id: Arc::new(AtomicU64::new(FIRST_REQUEST_ID)),
        ended: ended.clone(),
    };
    tokio::spawn(async move {
        let _ = task.await;
        ended.cancel();
    });
    tokio::spawn(tick(actor));
    Ok(handle)
}

const FIRST_REQUEST_ID: u64 = 1;

async fn tick(actor: ActorRef<Command>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if actor.cast(Command::Event(Event::Tick)).is_err() {
            return;
        }
    }
}

impl Actor for Driver {
    type Msg = Command;
    type State = State;
    type Arguments = Setup;

    async fn pre_start(
        &self,
        myself: ActorRef<Command>,
        setup: Setup,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            setup,
            myself,
            started_at: Instant::now(),
            requests: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Command>,
        command: Command,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match command {
            Command::Event(event) => state.handle(event),
            Command::Submit { event, id, tx } => {
                state.requests.insert(id, tx);
                state.handle(event);
            }
            Command::Snapshot(reply) => {
                let snapshot = sesamebarrow_policy::snapshot(&state.setup.board);
                let _ = reply.send(serde_json::to_value(snapshot)?);
            }
            Command::UpdateMetrics(reply) => {
                telemetry::update(&state.setup.board);
                let _ = reply.send(());
            }
            Command::PeerAddress(name, reply) => {
                let board = &state.setup.board;
                let entry = board.list.instances.get(&name);
                let _ = reply.send(entry.map(|i| i.peer));
            }
            Command::Ready(reply) => {
                let _ = reply.send(state.setup.board.is_ready());
            }
        }
        Ok(())
    }
}

impl State {
    fn handle(&mut self, event: Event) {
        let ended = match &event {
            Event::AttemptFinished { id, .. } | Event::CallerDisconnected { id } => Some(*id),
            _ => None,
        };
        let before = may_change_documents(&event).then(|| LoggedState::of(&self.setup.board));
        let now = self.started_at.elapsed();
        let actions = sesamebarrow_policy::handle(&mut self.setup.board, now, event);
        if let Some(before) = before {
            before.log_changes(&self.setup.board);
        }
        for action in actions {
            self.carry_out(action);
        }
        if let Some(id) = ended
            && !self.setup.board.requests.contains_key(&id)
        {
            self.requests.remove(&id);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, .. } | Action::SendRequest { id } => {
                if let Some(tx) = self.requests.get(&id) {
                    // Fails if the exchange has ended, which it reports with an event of its own.
                    let _ = tx.send(action);
                }
            }
            Action::Refuse { id, .. }
            | Action::Replay { id, .. }
            | Action::Cancel { id }
            | Action::ReturnPlacement { id, .. } => {
                if let Some(tx) = self.requests.remove(&id) {
                    let _ = tx.send(action);
                }
            }
            Action::SendMessage { to, message } => self.setup.links.send(&to, message),
            Action::OpenLink { name, address } => {
                let links = self.setup.links.clone();
                tokio::spawn(async move { links.dial(Some(name), address).await });
            }
            Action::CloseLink { name } => {
                log::warn!(
                    instance = name.as_str();
                    "closing link: no recent heartbeat, or this process was paused"
                );
                self.setup.links.close_link(&name);
            }
            Action::ReadDocument {
                kind,
                read_id,
                known_revision,
                wait_for_newer,
            } => {
                let read = platform::read(
                    self.setup.platform,
                    kind,
                    read_id,
                    known_revision,
                    wait_for_newer,
                );
                let myself = self.myself.clone();
                tokio::spawn(async move { send_event(&myself, read.await) });
            }
            Action::PollLoad { upstream, address } => {
                let myself = self.myself.clone();
                tokio::spawn(async move {
                    if let Some(event) = platform::poll_load(upstream, address).await {
                        send_event(&myself, event);
                    }
                });
            }
            Action::LogQuarantine { change, order } => {
                log::warn!(
                    change:% = change, kind:% = order.suspect.kind,
                    suspect:% = format!("{:x}", order.suspect.id), serial = order.serial,
                    trials = order.trials; "quarantine changed"
                );
            }
            Action::Drained => {
                let _ = self.setup.drained.send(true);
            }
        }
    }
}

fn may_change_documents(event: &Event) -> bool {
    matches!(
        event,
        Event::DocumentRead { .. }
            | Event::DocumentUnchanged { .. }
            | Event::DocumentReadFailed { .. }
            | Event::MessageReceived { .. }
    )
}

/// Revisions and faults of all documents. Their changes are logged.
struct LoggedState {
    rules_revision: u64,
    list_revision: u64,
    faults: Vec<Option<SmolStr>>,
}

impl LoggedState {
    fn of(board: &Board) -> Self {
        Self {
            rules_revision: board.documents[&DocumentKind::Rules].revision(),
            list_revision: board.documents[&DocumentKind::List].revision(),
            faults: board
                .documents
                .values()
                .flat_map(|s| [s.fault.clone(), s.read_fault.clone()])
                .collect(),
        }
    }

    fn log_changes(&self, board: &Board) {
        let after = Self::of(board);
        if after.rules_revision != self.rules_revision {
            log::info!(
                revision = after.rules_revision, before = self.rules_revision;
                "rules document applied"
            );
        }
        if after.list_revision != self.list_revision {
            log::info!(
                revision = after.list_revision, before = self.list_revision;
                "list document applied"
            );
        }
        for (old, new) in self.faults.iter().zip(&after.faults) {
            if let Some(fault) = new
                && old != new
            {
                log::warn!(fault = fault.as_str(); "document fault");
            }
        }
    }
}
