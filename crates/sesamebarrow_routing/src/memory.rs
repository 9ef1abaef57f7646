//! The memory that requests and answers may hold at an instance.
//!
//! Answers the load of clients and upstreams that send large bodies, many at a time or slowly, each within the limits
//! of the configuration. Without a bound on the sum the process exceeds its memory and ends with all that it has
//! accepted.
//!
//! Who gives way follows from size, priority and customer. Small bodies may use the whole budget, so that they are
//! served beside any number of large ones; large bodies may use a part of it, and those that are less urgent a
//! smaller part. No customer may use more than half of what its body may.

use std::collections::HashMap;

/// Largest body, in bytes, that counts as small.
pub const MAX_SMALL_BYTES: usize = 64 * 1024;

/// Fraction of the budget that large urgent bodies may use.
const LARGE_FRACTION: f64 = 0.75;

/// Fraction of the budget that other large bodies may use.
const LARGE_PATIENT_FRACTION: f64 = 0.6;

/// Priority that counts as urgent; it is the most urgent one.
const URGENT_PRIORITY: u8 = 0;

/// Fraction of what a body may use that its customer may use in all.
const CUSTOMER_FRACTION: f64 = 0.5;

/// Who takes bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Hash of the customer.
    pub customer: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The part of the budget that such a body may use is taken.
    Budget,
    /// The customer's part of it is taken.
    Customer,
}

/// The bytes that are held.
#[derive(Debug)]
pub struct Ledger {
    /// Maximum sum of all bytes.
    capacity: usize,
    /// Sum of all bytes; at most `capacity`.
    held: usize,
    /// Bytes of each customer that holds any; their sum is `held`.
    by_customer: HashMap<u64, usize>,
}

impl Ledger {
    /// Returns a ledger for at most `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: 0,
            by_customer: HashMap::new(),
        }
    }

    /// Returns the maximum sum of all bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the sum of all bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes `added` bytes for a body that then has `total` bytes.
    ///
    /// # Errors
    ///
    /// Fails, and takes nothing, if there is no room for them.
    pub fn take(&mut self, claimant: Claimant, added: usize, total: usize) -> Result<(), Full> {
        let limit = self.limit(claimant.priority, total);
        let of_customer = self.by_customer.get(&claimant.customer).copied();
        let of_customer = of_customer.unwrap_or_default().saturating_add(added);
        if self.held.saturating_add(added) > limit {
            return Err(Full::Budget);
        }
        if of_customer > fraction_of(limit, CUSTOMER_FRACTION) {
            return Err(Full::Customer);
        }
        if added > 0 {
            self.held += added;
            self.by_customer.insert(claimant.customer, of_customer);
        }
        Ok(())
    }

    /// Returns bytes that were taken.
    pub fn put_back(&mut self, claimant: Claimant, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        if let Some(of_customer) = self.by_customer.get_mut(&claimant.customer) {
            *of_customer = of_customer.saturating_sub(bytes);
            if *of_customer == 0 {
                self.by_customer.remove(&claimant.customer);
            }
        }
    }

    /// Returns how many bytes all may hold together when a body of `total` bytes takes some.
    fn limit(&self, priority: u8, total: usize) -> usize {
        let fraction = if total <= MAX_SMALL_BYTES {
            1.0
        } else if priority == URGENT_PRIORITY {
            LARGE_FRACTION
        } else {
            LARGE_PATIENT_FRACTION
        };
        fraction_of(self.capacity, fraction)
    }
}

fn fraction_of(bytes: usize, fraction: f64) -> usize {
    // CAST: budgets are far below 2^53 bytes, and the result is not above `bytes`.
    (bytes as f64 * fraction) as usize
}
