//! What all parts of the process share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamebarrow_routing::{Board, Catalog, Identity};
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::log_limit::Limiter;
use crate::pool::Pool;
use crate::settings::Settings;

/// What all parts of the process share.
pub struct Shared {
    /// The settings at the start.
    pub settings: Settings,
    /// Who this instance is.
    pub identity: Identity,
    /// What it knows. Held for the length of one decision, never over an `await`.
    board: Mutex<Board>,
    /// The published items.
    catalog: Mutex<Catalog>,
    /// Connections to upstreams and instances.
    pub pool: Pool,
    /// Budgets of the log.
    pub log_limiter: Limiter,
    /// Connections of callers and instances that are open.
    pub connections: TaskTracker,
    /// Requests under way.
    pub active_requests: AtomicU64,
    /// Whether answers tell callers to close their connections.
    pub closes_connections: AtomicBool,
    /// Whether streams are refused, since the process may end before they do.
    pub refuses_streams: AtomicBool,
    /// Cancelled when idle connections are to be closed.
    pub close_idle: CancellationToken,
    /// Woken when another instance has newer items than this one.
    pub catalog_outdated: Notify,
    /// Woken when this instance has read newer items from the store.
    pub catalog_updated: Notify,
    started_at: Instant,
}

impl Shared {
    /// Builds the shared state of a new process.
    pub fn new(settings: Settings, identity: Identity) -> Self {
        let regions: HashMap<SmolStr, SmolStr> = settings.domains.clone();
        let board = Board::new(
            identity.clone(),
            settings.parameters(),
            regions,
            rand::random(),
        );
        Self {
            settings,
            identity,
            board: Mutex::new(board),
            catalog: Mutex::default(),
            pool: Pool::default(),
            log_limiter: Limiter::default(),
            connections: TaskTracker::new(),
            active_requests: AtomicU64::new(0),
            closes_connections: AtomicBool::new(false),
            refuses_streams: AtomicBool::new(false),
            close_idle: CancellationToken::new(),
            catalog_outdated: Notify::new(),
            catalog_updated: Notify::new(),
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the process began, as the board counts it.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Locks the board.
    pub fn board(&self) -> MutexGuard<'_, Board> {
        // A panic inside a decision ends one task; the tables stay usable.
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the catalog. Where both locks are held, the catalog's is taken first.
    pub fn catalog(&self) -> MutexGuard<'_, Catalog> {
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
