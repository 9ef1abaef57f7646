//! Stand-ins for the second independent review: the platform's store, runners, clients and a small deployment of real
//! instances on loopback. Uses the standard library only.

pub mod client;
pub mod deployment;
pub mod fragile;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;

/// Returns the bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A small generator of pseudo-random numbers (xorshift).
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    /// Returns a generator for `seed`.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to 1.
    pub fn next_unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
