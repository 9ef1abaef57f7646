//! Frames: what goes in comes out, and any other bytes are refused.

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
fn a_frame_that_is_too_large_is_refused_from_its_length() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits");
    let mut buf = BytesMut::from(length.to_be_bytes().as_slice());
    assert!(Codec::default().decode(&mut buf).is_err());
}

#[test]
fn a_proof_counts_for_one_end_one_pair_and_one_secret() {
    let keys = FleetKeys::new(b"the fleet's secret");
    let (a, b) = (hello("a"), hello("b"));
    let proof = keys.prove(Role::Dialler, &a, &b);
    assert!(keys.verify(&proof, Role::Dialler, &a, &b));
    assert!(!keys.verify(&proof, Role::Listener, &a, &b), "sent back");
    assert!(
        !keys.verify(&proof, Role::Dialler, &b, &a),
        "other way round"
    );
    let fresh = Hello {
        nonce: Bytes::from_static(b"another-nonce-00"),
        ..b.clone()
    };
    assert!(!keys.verify(&proof, Role::Dialler, &a, &fresh), "replayed");
    let other = FleetKeys::new(b"another secret here");
    assert!(!other.verify(&proof, Role::Dialler, &a, &b), "other fleet");
}

proptest! {
    #[test]
    fn any_bytes_are_taken_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut buf = BytesMut::from(bytes.as_slice());
        let mut codec = Codec::default();
        while let Ok(Some(_)) = codec.decode(&mut buf) {}
    }

    #[test]
    fn frames_come_out_as_they_went_in_however_they_are_cut(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..5),
        cut in 1..64usize,
    ) {
        let mut wire = BytesMut::new();
        let mut codec = Codec::default();
        let sent: Vec<Payload> = (1..).zip(bodies).map(|(n, b)| data(n, b)).collect();
        let mut expected = 0;
        for payload in &sent {
            codec.encode(payload.clone(), &mut wire).expect("fits");
            expected += encoded_len(payload);
        }
        prop_assert_eq!(wire.len(), expected);
        let mut buf = BytesMut::new();
        let mut got = Vec::new();
        for piece in wire.chunks(cut) {
            buf.extend_from_slice(piece);
            while let Some(payload) = codec.decode(&mut buf).expect("sound") {
                got.push(payload);
            }
        }
        prop_assert_eq!(got, sent);
    }
}
