//! Tickets, which name the process that may run a request, signed with a key of the fleet.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use subtle::ConstantTimeEq;

/// Identifies the format of a ticket.
const PREFIX: &str = "sb1";

/// Hexadecimal digits of the message authentication code at the end of a ticket.
const MAC_DIGITS: usize = 32;

/// The customer and the service for which a ticket is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope<'a> {
    /// The customer.
    pub customer: &'a str,
    /// The service.
    pub service: &'a str,
}

/// The contents of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The instance that issued the ticket and alone may run the request.
    pub owner: SmolStr,
    /// Incarnation of the owner's process.
    pub incarnation: u64,
    /// When the ticket was issued, by the owner's clock.
    pub issued: Duration,
    /// Random number that identifies the request.
    pub number: u64,
}

impl Ticket {
    /// Returns the text of the ticket without its authentication code.
    fn body(&self) -> SmolStr {
        format_smolstr!(
            "{PREFIX}.{}.{:x}.{:x}.{:x}",
            self.owner,
            self.incarnation,
            self.issued.as_millis(),
            self.number
        )
    }

    /// Returns the text of the ticket, signed for `scope`.
    pub fn sign(&self, key: &[u8; 32], scope: &Scope<'_>) -> SmolStr {
        let body = self.body();
        let mac = mac(key, &body, scope);
        format_smolstr!("{body}.{mac}")
    }

    /// Parses a ticket; returns `None` if the fleet did not issue it for `scope`.
    pub fn verify(text: &str, key: &[u8; 32], scope: &Scope<'_>) -> Option<Self> {
        let (body, found) = text.rsplit_once('.')?;
        let expected = mac(key, body, scope);
        if !bool::from(expected.as_bytes().ct_eq(found.as_bytes())) {
            return None;
        }
        let mut parts = body.split('.');
        if parts.next() != Some(PREFIX) {
            return None;
        }
        let owner = SmolStr::new(parts.next()?);
        let mut next_number = || u64::from_str_radix(parts.next()?, 16).ok();
        Some(Self {
            owner,
            incarnation: next_number()?,
            issued: Duration::from_millis(next_number()?),
            number: next_number()?,
        })
    }
}

fn mac(key: &[u8; 32], body: &str, scope: &Scope<'_>) -> String {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in [body, scope.customer, scope.service] {
        hasher.update(part.as_bytes());
        hasher.update(b"\0");
    }
    let mut digits = hasher.finalize().to_hex().to_string();
    digits.truncate(MAC_DIGITS);
    digits
}
