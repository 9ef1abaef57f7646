//! Tests of numbered streams between instances, over every place at which they can be split or lose bytes.

use bytes::Bytes;
use sesamebarrow_gateway::hop::numbering::{Decoder, Encoder};

/// Returns the records of `parts`, each encoded by itself.
fn encode(parts: &[&[u8]]) -> Vec<Bytes> {
    let mut encoder = Encoder::default();
    let encode = |part: &&[u8]| encoder.encode(Bytes::copy_from_slice(part));
    parts.iter().map(encode).collect()
}

#[test]
fn a_stream_is_read_wherever_it_is_split() {
    let whole = encode(&[b"id: 1\n\n", b"id: 22\n\n", b"x"]).concat();
    for split in 0..whole.len() {
        let mut decoder = Decoder::default();
        let first = decoder.decode(&whole[..split]).expect("no gap");
        let rest = decoder.decode(&whole[split..]).expect("no gap");
        assert_eq!([first, rest].concat(), b"id: 1\n\nid: 22\n\nx");
        assert!(decoder.is_between_records());
    }
}

#[test]
fn a_record_that_is_missing_is_noticed_before_the_next_is_returned() {
    let records = encode(&[b"one", b"two", b"three"]);
    for missing in 0..2 {
        let mut decoder = Decoder::default();
        let kept = records.iter().enumerate().filter(|(i, _)| *i != missing);
        let results: Vec<_> = kept.map(|(_, r)| decoder.decode(r)).collect();
        assert_eq!(results.iter().filter(|r| r.is_ok()).count(), missing);
    }
}

#[test]
fn a_stream_that_ends_inside_a_record_is_not_complete() {
    let record = encode(&[b"event"]).concat();
    for length in 1..record.len() {
        let mut decoder = Decoder::default();
        decoder.decode(&record[..length]).expect("no gap");
        assert!(!decoder.is_between_records(), "cut after {length} bytes");
    }
}

#[test]
fn large_chunks_and_long_streams_are_numbered() {
    let chunk = vec![7_u8; 150_000];
    let mut encoder = Encoder::default();
    let mut decoder = Decoder::default();
    for _ in 0..3 {
        let records = encoder.encode(Bytes::from(chunk.clone()));
        assert_eq!(decoder.decode(&records).expect("no gap"), chunk);
    }
}
