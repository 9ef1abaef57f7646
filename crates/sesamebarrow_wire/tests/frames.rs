//! Tests of the frame codec and of the handshake's proofs.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use sesamebarrow_wire::auth::{FleetKeys, Hello, PROTOCOL_VERSION, Role};
use sesamebarrow_wire::frame::{MAX_FRAME_BYTES, encoded_len};
use sesamebarrow_wire::stream::Data;
use sesamebarrow_wire::{Codec, Payload};
use tokio_util::codec::{Decoder, Encoder};

fn data(stream: u64, bytes: Vec<u8>) -> Payload {
    Payload::Data(Data {
        stream,
        bytes: bytes.into(),
    })
}

fn hello(name: &str) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        name: name.to_owned(),
        domain: "lim-1".to_owned(),
        incarnation: 1,
        nonce: Bytes::from_static(b"0123456789abcdef"),
    }
}

#[test]
fn oversized_frame_is_rejected_by_its_length_prefix() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("within the limits");
    let mut buf = BytesMut::from(length.to_be_bytes().as_slice());
    assert!(Codec::default().decode(&mut buf).is_err());
}

#[test]
fn proof_is_valid_for_one_role_one_pair_of_hellos_and_one_secret() {
    let keys = FleetKeys::new(b"the fleet's secret");
    let (a, b) = (hello("a"), hello("b"));
    let proof = keys.prove(Role::Dialler, &a, &b);
    assert!(keys.verify(&proof, Role::Dialler, &a, &b));
    assert!(
        !keys.verify(&proof, Role::Listener, &a, &b),
        "proof reflected to its sender"
    );
    assert!(
        !keys.verify(&proof, Role::Dialler, &b, &a),
        "hellos swapped"
    );
    let fresh = Hello {
        nonce: Bytes::from_static(b"another-nonce-00"),
        ..b.clone()
    };
    assert!(
        !keys.verify(&proof, Role::Dialler, &a, &fresh),
        "proof replayed with another nonce"
    );
    let other = FleetKeys::new(b"another secret here");
    assert!(!other.verify(&proof, Role::Dialler, &a, &b), "other secret");
}

proptest! {
    #[test]
    fn decoder_never_panics_on_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut buf = BytesMut::from(bytes.as_slice());
        let mut codec = Codec::default();
        while let Ok(Some(_)) = codec.decode(&mut buf) {}
    }

    #[test]
    fn decoded_frames_equal_encoded_ones_whatever_the_chunk_size(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..5),
        chunk_bytes in 1..64usize,
    ) {
        let mut wire = BytesMut::new();
        let mut codec = Codec::default();
        let sent: Vec<Payload> = (1..).zip(bodies).map(|(n, b)| data(n, b)).collect();
        let mut expected_len = 0;
        for payload in &sent {
            codec.encode(payload.clone(), &mut wire).expect("within the limits");
            expected_len += encoded_len(payload);
        }
        prop_assert_eq!(wire.len(), expected_len);
        let mut buf = BytesMut::new();
        let mut received = Vec::new();
        for chunk in wire.chunks(chunk_bytes) {
            buf.extend_from_slice(chunk);
            while let Some(payload) = codec.decode(&mut buf).expect("valid frame") {
                received.push(payload);
            }
        }
        prop_assert_eq!(received, sent);
    }
}
