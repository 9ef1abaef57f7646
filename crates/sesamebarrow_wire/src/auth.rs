//! The handshake in which both ends of a link prove that they hold the fleet's secret.
//!
//! Each end sends a [`Hello`] with a fresh nonce and then a [`Proof`]: a keyed hash of its
//! role and of both [`Hello`] messages. The role prevents an attacker from sending one
//! end's proof back to it, and the nonces prevent the replay of an earlier proof.

use prost::Message;
use subtle::ConstantTimeEq;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Version of the protocol between instances.
pub const PROTOCOL_VERSION: u32 = 1;

const LINK_CONTEXT: &str = "sesamebarrow 2026-12 link handshake";
const TICKET_CONTEXT: &str = "sesamebarrow 2026-12 request ticket";
const ADMIN_CONTEXT: &str = "sesamebarrow 2026-12 admin interface";

/// The first message of each end in the handshake.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The sender's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The sender's failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Random number that the sender's process drew at its start.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// [`NONCE_BYTES`] random bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub nonce: bytes::Bytes,
}

/// The second message of each end in the handshake.
#[derive(Clone, PartialEq, Message)]
pub struct Proof {
    /// The keyed hash, 32 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub mac: bytes::Bytes,
}

/// The end of a link that sends a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The end that opened the connection.
    Dialler,
    /// The end that accepted it.
    Listener,
}

/// Keys derived from the fleet's secret, one for each purpose.
#[derive(Clone)]
pub struct FleetKeys {
    link: [u8; 32],
    ticket: [u8; 32],
    admin: [u8; 32],
}

impl std::fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKeys(..)")
    }
}

impl FleetKeys {
    /// Derives the keys from `secret`.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            link: blake3::derive_key(LINK_CONTEXT, secret),
            ticket: blake3::derive_key(TICKET_CONTEXT, secret),
            admin: blake3::derive_key(ADMIN_CONTEXT, secret),
        }
    }

    /// Returns the key that authenticates tickets.
    pub fn ticket_key(&self) -> [u8; 32] {
        self.ticket
    }

    /// Returns the bearer token of the admin interface, in hexadecimal digits.
    pub fn admin_token(&self) -> String {
        blake3::Hash::from(self.admin).to_hex().to_string()
    }

    /// Returns the proof that the end `role` sends.
    pub fn prove(&self, role: Role, dialler: &Hello, listener: &Hello) -> Proof {
        let mac = self.link_mac(role, dialler, listener);
        Proof {
            mac: bytes::Bytes::copy_from_slice(mac.as_bytes()),
        }
    }

    /// Returns whether `proof` is the one that the end `role` has to send.
    ///
    /// Compares in constant time.
    pub fn verify(&self, proof: &Proof, role: Role, dialler: &Hello, listener: &Hello) -> bool {
        let mac = self.link_mac(role, dialler, listener);
        bool::from(mac.as_bytes().as_slice().ct_eq(&proof.mac))
    }

    fn link_mac(&self, role: Role, dialler: &Hello, listener: &Hello) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.link);
        hasher.update(match role {
            Role::Dialler => b"dialler",
            // Seven letters, so that both labels have the same length. It is part of the
            // protocol: do not correct it.
            Role::Listener => b"listenr",
        });
        for hello in [dialler, listener] {
            let bytes = hello.encode_to_vec();
            // CAST: a `Hello` is far shorter than 4 GiB.
            hasher.update(&(bytes.len() as u32).to_be_bytes());
            hasher.update(&bytes);
        }
        hasher.finalize()
    }
}
