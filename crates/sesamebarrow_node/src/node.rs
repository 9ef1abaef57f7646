//! Starts the tasks of the process and stops them gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use sesamebarrow_gateway::pool::Pool;
use sesamebarrow_gateway::telemetry::keep_up;
use sesamebarrow_policy::{self as policy, Board, Event, Identity};
use sesamebarrow_wire::auth::FleetKeys;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::driver::{self, Command, Handle, Setup};
use crate::peer::Links;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::{accept, admin, peer, telemetry};

/// Time between two attempts to connect to the configured peers while no link is open.
const PEER_DIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the end of a shutdown at which the remaining requests are refused.
const FINAL_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time between two checks for connections that have been idle for long enough.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State shared by all tasks of the process.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Identity of this instance.
    pub identity: Identity,
    /// Handle of the actor that owns the board.
    pub driver: Handle,
    /// Links to other instances.
    pub links: Links,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Exchanges, and the streams of requests that other instances forwarded.
    pub exchanges: TaskTracker,
    /// Cancelled when the shutdown begins. From then on each response closes its connection.
    pub draining: CancellationToken,
    next_request_number: AtomicU64,
}

impl Node {
    /// Returns a new request id for logs and `x-request-id`. It contains half of the random
    /// incarnation, so that it differs from the ids of other processes. It is not the
    /// [`RequestId`](policy::RequestId) on the board.
    pub fn next_request_id(&self) -> SmolStr {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{:08x}-{number:x}", self.identity.incarnation >> 32)
    }
}

impl Node {
    /// Returns the address on which the instance `name` accepts links.
    pub async fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let name = SmolStr::new(name);
        let query = self.driver.query(|reply| Command::PeerAddress(name, reply));
        query.await.ok().flatten()
    }
}

/// Runs the process until it is stopped by a signal or has drained.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let signals = Signals::install()?;
    let keys = FleetKeys::new(&settings.secret()?);
    let metrics = telemetry::install()?;
    tokio::spawn(keep_up(metrics.clone()));
    let listen = settings.listen;
    let http_listener = bind("listen.http", listen.http).await?;
    let peer_listener = bind("listen.peer", listen.peer).await?;
    let admin_listener = bind("listen.admin", listen.admin).await?;
    let (drained_tx, drained) = watch::channel(false);
    let node = build(settings, &keys, drained_tx).await?;
    let stop = CancellationToken::new();
    tokio::spawn(peer::listen(node.clone(), peer_listener));
    tokio::spawn(dial_configured_peers(node.clone()));
    tokio::spawn(close_idle_connections(node.clone()));
    let admin_cx = admin::Context {
        node: node.clone(),
        token: keys.admin_token(),
        metrics,
    };
    tokio::spawn(admin::serve(Arc::new(admin_cx), admin_listener));
    let serving = tokio::spawn(accept::serve(node.clone(), http_listener, stop.clone()));
    log::info!(
        name = node.identity.name.as_str(), domain = node.identity.domain.as_str(),
        http:% = listen.http, peer:% = listen.peer, admin:% = listen.admin; "started"
    );
    shut_down(&node, signals, stop, serving, drained).await
}

/// Signals that the process handles. They are installed before it accepts requests, because
/// their default action ends the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn stop_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    log::warn!("settings are read at the start only, restart to apply changes");
                }
            }
        }
    }
}

async fn bind(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{field}: cannot listen on {address}"))
}

async fn build(
    settings: Settings,
    keys: &FleetKeys,
    drained: watch::Sender<bool>,
) -> anyhow::Result<Arc<Node>> {
    let identity = Identity {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        slot: settings.slot,
        incarnation: rand::random(),
    };
    let policy_settings = policy::Settings {
        sharing: settings.policy.sharing,
        balancing: settings.policy.balancing,
        spill: settings.policy.spill,
        ..policy::Settings::default()
    };
    let board = Board::new(
        identity.clone(),
        policy_settings,
        keys.ticket_key(),
        rand::random(),
    );
    let links = Links::new(identity.clone(), keys.clone());
    let setup = Setup {
        board,
        links: links.clone(),
        platform: Platform {
            address: settings.platform.address,
            watch: settings.platform.watch,
            timeout: settings.platform.timeout,
        },
        drained,
    };
    let driver = driver::start(setup).await?;
    let node = Arc::new(Node {
        settings,
        identity,
        driver,
        links: links.clone(),
        pool: Pool::default(),
        exchanges: TaskTracker::new(),
        draining: CancellationToken::new(),
        next_request_number: AtomicU64::new(1),
    });
    links.attach(&node);
    Ok(node)
}

/// Connects to the configured peers whenever no link is open.
async fn dial_configured_peers(node: Arc<Node>) {
    loop {
        if node.links.is_empty() {
            for address in &node.settings.peers {
                node.links.dial(None, *address).await;
            }
        }
        tokio::time::sleep(PEER_DIAL_INTERVAL).await;
    }
}

/// Closes connections to upstreams that have been idle for long enough. Otherwise only the next request to the
/// same upstream would.
async fn close_idle_connections(node: Arc<Node>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        node.pool.remove_expired();
    }
}

/// Waits for a signal, or for the end of a drain that an operator requested. Then stops
/// accepting requests and waits for those in progress. Requests that outlast the limit of the
/// shutdown are refused shortly before it.
async fn shut_down(
    node: &Node,
    mut signals: Signals,
    stop: CancellationToken,
    serving: tokio::task::JoinHandle<()>,
    mut drained: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    tokio::select! {
        () = signals.stop_requested() => {}
        _ = drained.wait_for(|drained| *drained) => {}
        () = node.driver.ended.cancelled() => log::error!("the policy has failed"),
    }
    let shutdown = node.settings.shutdown;
    log::info!(limit:? = shutdown.limit; "draining");
    node.draining.cancel();
    node.driver.send_event(Event::Drain);
    let mut finished = std::pin::pin!(finish_requests(node, stop, serving));
    let refusal_time = FINAL_REFUSAL_TIME.min(shutdown.limit / 4);
    let is_graceful = tokio::select! {
        () = &mut finished => true,
        () = tokio::time::sleep(shutdown.limit - refusal_time) => false,
        _ = signals.interrupt.recv() => false,
    };
    if is_graceful && !node.driver.ended.is_cancelled() {
        log::info!("stopped");
        return Ok(());
    }
    anyhow::ensure!(!node.driver.ended.is_cancelled(), "the policy has failed");
    let state = node.driver.query(Command::Snapshot).await?;
    let left = state["requests"].as_array().map_or(0, Vec::len);
    log::error!(left; "refusing the remaining requests");
    node.driver.send_event(Event::RefuseRemaining);
    let finished = tokio::time::timeout(refusal_time, finished).await.is_ok();
    log::error!(left, finished; "stopped before all requests finished");
    anyhow::bail!("stopped before {left} requests finished")
}

/// Accepts requests until the end of the notice, then waits until none is in progress and
/// all responses are sent.
async fn finish_requests(
    node: &Node,
    stop: CancellationToken,
    serving: tokio::task::JoinHandle<()>,
) {
    // Gives callers and other instances time to learn that this instance takes no new
    // requests.
    tokio::time::sleep(node.settings.shutdown.notice).await;
    stop.cancel();
    let _ = serving.await;
    node.exchanges.close();
    node.exchanges.wait().await;
    node.links.finish().await;
}
