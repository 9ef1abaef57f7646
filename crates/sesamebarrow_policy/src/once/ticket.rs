//! Tickets: who may run a request, under the fleet's secret.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use subtle::ConstantTimeEq;

const PREFIX: &str = "sb1";

/// Hexadecimal digits of the keyed hash that a ticket ends in.
const MAC_DIGITS: usize = 32;

/// For whom and for what a ticket is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope<'a> {
    /// The customer.
    pub customer: &'a str,
    /// The service.
    pub service: &'a str,
}

/// What a ticket says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The instance that gave it out and alone may run the request.
    pub owner: SmolStr,
    /// The owner's process.
    pub incarnation: u64,
    /// When it was given out, by the owner's clock.
    pub issued: Duration,
    /// A random number that names the request.
    pub number: u64,
}

impl Ticket {
    fn body(&self) -> SmolStr {
        format_smolstr!(
            "{PREFIX}.{}.{:x}.{:x}.{:x}",
            self.owner,
            self.incarnation,
            self.issued.as_millis(),
            self.number
        )
    }

    /// Returns the ticket's text, bound to `scope`.
    pub fn sign(&self, key: &[u8; 32], scope: &Scope<'_>) -> SmolStr {
        let body = self.body();
        let mac = mac(key, &body, scope);
        format_smolstr!("{body}.{mac}")
    }

    /// Reads a ticket; `None` if the fleet did not give it out for `scope`.
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
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        Some(Self {
            owner,
            incarnation: number()?,
            issued: Duration::from_millis(number()?),
            number: number()?,
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
