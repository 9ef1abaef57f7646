//! State that all tasks of the process share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use sesamebarrow_routing::{Board, Catalog, Identity};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock;
use crate::dispatch::Dispatches;
use crate::limit::Permits;
use crate::log_limit::Limiter;
use crate::memory::Budget;
use crate::pool::Pool;
use crate::quarantine::trial::Trials;
use crate::settings::{Listen, Settings};
use crate::token::Tokens;

/// State that all tasks of the process share.
pub struct Shared {
    /// The settings in force.
    settings: RwLock<Arc<Settings>>,
    /// The addresses that this process listens on.
    pub listen: Listen,
    /// Identifies this instance.
    pub identity: Identity,
    /// The board. Its lock is held for one decision at a time and never across an `await`.
    board: Mutex<Board>,
    /// The items that the store has published.
    catalog: Mutex<Catalog>,
    /// The memory that bodies may hold.
    pub memory: Arc<Budget>,
    /// Connections to upstreams and other instances.
    pub pool: Pool,
    /// The exchange of tokens with other instances.
    pub tokens: Tokens,
    /// Permits for requests to upstreams that have named a limit.
    pub permits: Permits,
    /// Requests that dispatchers know.
    pub dispatches: Dispatches,
    /// Requests for trials of quarantined prompt parts.
    pub trials: Trials,
    /// Sent when the quarantine of prompt parts has changed.
    pub quarantine_changed: watch::Sender<()>,
    /// Limits the number of log lines.
    pub log_limiter: Limiter,
    /// Open inbound connections.
    pub inbound_connections: TaskTracker,
    /// Number of active requests.
    pub active_requests: AtomicU64,
    /// Number of inbound connections that owe an answer, or that nothing was received on yet.
    pub busy_connections: AtomicU64,
    /// Whether responses tell clients to close their connections.
    pub closes_connections: AtomicBool,
    /// Whether streaming requests are refused, because the process may stop before they end.
    pub refuses_streams: AtomicBool,
    /// Cancelled when inbound connections must be closed as soon as they are idle.
    pub close_idle: CancellationToken,
    /// Cancelled shortly before the process ends: what is unanswered then is answered by this instance.
    pub ends: CancellationToken,
    /// Notified when another instance has newer items than this one.
    pub catalog_outdated: Notify,
    /// Notified when a watch of the store has returned changes.
    pub catalog_updated: Notify,
    started_at: Duration,
}

impl Shared {
    /// Builds the shared state of a new process.
    pub fn new(settings: Settings, identity: Identity, tokens: Tokens) -> Self {
        let regions: HashMap<SmolStr, SmolStr> = settings.domains.clone();
        let board = Board::new(
            identity.clone(),
            settings.parameters(),
            regions,
            rand::random(),
        );
        let memory = Budget::new(settings.memory.budget_bytes());
        Self {
            memory,
            listen: settings.listen,
            settings: RwLock::new(Arc::new(settings)),
            identity,
            board: Mutex::new(board),
            catalog: Mutex::default(),
            pool: Pool::default(),
            tokens,
            permits: Permits::default(),
            dispatches: Dispatches::default(),
            trials: Trials::default(),
            quarantine_changed: watch::Sender::default(),
            log_limiter: Limiter::default(),
            inbound_connections: TaskTracker::new(),
            active_requests: AtomicU64::new(0),
            busy_connections: AtomicU64::new(0),
            closes_connections: AtomicBool::new(false),
            refuses_streams: AtomicBool::new(false),
            close_idle: CancellationToken::new(),
            ends: CancellationToken::new(),
            catalog_outdated: Notify::new(),
            catalog_updated: Notify::new(),
            started_at: clock::now(),
        }
    }

    /// Returns the time since the process started, the clock of the board.
    pub fn now(&self) -> Duration {
        clock::now().saturating_sub(self.started_at)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        let settings = self.settings.read();
        settings.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts settings in force. What the board keeps of them must be updated by the caller.
    pub fn set_settings(&self, settings: Settings) {
        let current = self.settings.write();
        *current.unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Locks the board.
    pub fn board(&self) -> MutexGuard<'_, Board> {
        // A panic while the lock is held ends only one task. The tables remain usable.
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the catalog. To avoid deadlocks, it must be locked before the board.
    pub fn catalog(&self) -> MutexGuard<'_, Catalog> {
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
