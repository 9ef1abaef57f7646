//! Bounds the memory that bodies of requests and answers hold in this process. Who gets it is decided in
//! [`sesamebarrow_routing::memory`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use sesamebarrow_routing::memory::{Claimant, Full, Ledger};
use sesamebarrow_routing::token;

use crate::meter::MeteredBody;
use crate::reply::Refusal;
use crate::selection;

/// Time after which a client may retry whose request finds no room.
const RETRY_AFTER: Duration = Duration::from_millis(600);

/// Maximum time for which the rest of a refused body is received, so that its client can read the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(10);

/// Number of bytes up to which the changes of a buffer are not counted.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// The memory of all bodies.
#[derive(Debug)]
pub struct Budget {
    ledger: Mutex<Ledger>,
}

impl Budget {
    /// Returns a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(Ledger::new(capacity)),
        })
    }

    /// Returns the bytes that are held, and how many may be.
    pub fn usage(&self) -> (usize, usize) {
        let ledger = self.ledger();
        (ledger.held(), ledger.capacity())
    }

    /// Returns what a request of `customer` holds, which is nothing yet.
    pub fn hold(self: &Arc<Self>, customer: Option<&str>, priority: u8) -> Held {
        let customer = token::customer_hash(customer.unwrap_or_default());
        Held {
            budget: self.clone(),
            claimant: Claimant { customer, priority },
            bytes: 0,
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        // A panic while the lock is held ends only one task. The ledger remains usable.
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that a body holds. They are put back when this is dropped.
#[derive(Debug)]
pub struct Held {
    budget: Arc<Budget>,
    claimant: Claimant,
    bytes: usize,
}

impl Held {
    /// Returns what another body of the same request holds, which is nothing yet.
    pub fn another(&self) -> Self {
        Self {
            budget: self.budget.clone(),
            claimant: self.claimant,
            bytes: 0,
        }
    }

    /// Holds at least `total` bytes in all.
    ///
    /// # Errors
    ///
    /// Fails, and holds what it held before, if there is no room for them.
    pub fn grow_to(&mut self, total: usize) -> Result<(), Full> {
        if total <= self.bytes {
            return Ok(());
        }
        let added = total - self.bytes;
        self.budget.ledger().take(self.claimant, added, total)?;
        self.bytes = total;
        Ok(())
    }

    /// Follows a buffer that now has `total` bytes, and counts it if it is not small.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them.
    pub fn follow(&mut self, total: usize) -> Result<(), Full> {
        let total = if total > UNCOUNTED_BYTES { total } else { 0 };
        if total < self.bytes {
            let freed = self.bytes - total;
            self.budget.ledger().put_back(self.claimant, freed);
            self.bytes = total;
        }
        self.grow_to(total)
    }

    /// Returns `bytes`, which hold what this holds until the last handle to them is dropped.
    pub fn into_bytes(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _held: self })
    }
}

/// Bytes that hold memory.
struct HeldBytes {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.ledger().put_back(self.claimant, self.bytes);
        }
    }
}

/// Returns the refusal of a request for whose body there is no room.
pub fn refusal(full: Full) -> Refusal {
    let reason = match full {
        Full::Budget => "no-memory",
        Full::Customer => "no-memory-for-customer",
    };
    Refusal::NotRun(reason, selection::jittered_retry_after(RETRY_AFTER))
}

/// Receives the rest of a body without holding it. Otherwise, the connection would be reset and its client might not
/// be able to read the response.
pub fn discard(mut body: MeteredBody) {
    tokio::spawn(tokio::time::timeout(DISCARD_TIME, async move {
        while let Some(Ok(_)) = body.frame().await {}
    }));
}
