//! The handshake on a new connection, in which both ends prove that they hold the fleet's
//! secret.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sesamebarrow_policy::Identity;
use sesamebarrow_wire::auth::{FleetKeys, Hello, NONCE_BYTES, PROTOCOL_VERSION, Role};
use sesamebarrow_wire::{Codec, Payload};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Why a link was not opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("connect: {0}")]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Wire(#[from] sesamebarrow_wire::Error),
    #[error("the other end closed the connection")]
    Closed,
    #[error("expected a handshake message")]
    Unexpected,
    #[error("the other end uses version {0} of the protocol")]
    Version(u32),
    #[error("the other end does not hold the fleet's secret")]
    Secret,
}

/// A connection after a successful handshake.
pub(super) struct Established {
    /// The hello message of the other end.
    pub(super) hello: Hello,
    /// The connection.
    pub(super) framed: Framed<TcpStream, Codec>,
}

/// Runs the handshake as `role`.
pub(super) async fn run(
    stream: TcpStream,
    role: Role,
    identity: &Identity,
    keys: &FleetKeys,
) -> Result<Established, Error> {
    let mut framed = Framed::new(stream, Codec::default());
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let own_hello = Hello {
        version: PROTOCOL_VERSION,
        name: identity.name.to_string(),
        domain: identity.domain.to_string(),
        incarnation: identity.incarnation,
        nonce: Bytes::copy_from_slice(&nonce),
    };
    framed.send(Payload::Hello(own_hello.clone())).await?;
    let Payload::Hello(peer_hello) = read(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    if peer_hello.version != PROTOCOL_VERSION {
        return Err(Error::Version(peer_hello.version));
    }
    let (dialler, listener, peer_role) = match role {
        Role::Dialler => (&own_hello, &peer_hello, Role::Listener),
        Role::Listener => (&peer_hello, &own_hello, Role::Dialler),
    };
    let proof = keys.prove(role, dialler, listener);
    framed.send(Payload::Proof(proof)).await?;
    let Payload::Proof(proof) = read(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    if !keys.verify(&proof, peer_role, dialler, listener) {
        return Err(Error::Secret);
    }
    Ok(Established {
        hello: peer_hello,
        framed,
    })
}

async fn read(framed: &mut Framed<TcpStream, Codec>) -> Result<Payload, Error> {
    match framed.next().await {
        Some(payload) => Ok(payload?),
        None => Err(Error::Closed),
    }
}
