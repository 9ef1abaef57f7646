//! Numbers the bytes of a stream between two instances, so that a gap is noticed.
//!
//! A connection that is reset at the end of a partition may deliver bytes that were sent after others that
//! are lost. Each record of a numbered stream is a head and its bytes: the low 16 bits of the offset of its
//! first byte, and its length, both big-endian.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of a record's head.
const HEAD_BYTES: usize = 4;

/// Largest number of bytes of one record.
const MAX_RECORD_BYTES: usize = 0xffff;

/// Bytes of a numbered stream are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bytes are missing: expected offset {expected}, got {got}")]
pub struct Gap {
    /// Low bits of the offset that should follow.
    pub expected: u16,
    /// Low bits of the offset that followed.
    pub got: u16,
}

/// Returns the bits of `offset` that a record's head holds.
fn low_bits(offset: u64) -> u16 {
    // CAST: only the low bits are meant.
    offset as u16
}

/// Numbers a stream.
#[derive(Debug, Default)]
pub struct Encoder {
    offset: u64,
}

impl Encoder {
    /// Returns the records that hold `data`.
    pub fn encode(&mut self, mut data: Bytes) -> Bytes {
        let mut records = BytesMut::with_capacity(data.len() + HEAD_BYTES);
        while !data.is_empty() {
            let record = data.split_to(data.len().min(MAX_RECORD_BYTES));
            records.put_u16(low_bits(self.offset));
            // CAST: at most `MAX_RECORD_BYTES`.
            records.put_u16(record.len() as u16);
            self.offset += record.len() as u64;
            records.extend_from_slice(&record);
        }
        records.freeze()
    }
}

/// Checks a numbered stream.
#[derive(Debug, Default)]
pub struct Decoder {
    offset: u64,
    /// Bytes of a record that is not complete.
    buf: BytesMut,
}

impl Decoder {
    /// Adds a chunk and returns the bytes of the records that are complete now.
    ///
    /// # Errors
    ///
    /// Returns a [`Gap`] if a record does not follow the one before.
    pub fn decode(&mut self, chunk: &[u8]) -> Result<Bytes, Gap> {
        self.buf.extend_from_slice(chunk);
        let mut data = BytesMut::new();
        while let Some(mut head) = self.buf.get(..HEAD_BYTES) {
            let (got, length) = (head.get_u16(), usize::from(head.get_u16()));
            let expected = low_bits(self.offset);
            if got != expected {
                return Err(Gap { expected, got });
            }
            if self.buf.len() < HEAD_BYTES + length {
                break;
            }
            self.buf.advance(HEAD_BYTES);
            data.unsplit(self.buf.split_to(length));
            self.offset += length as u64;
        }
        Ok(data.freeze())
    }

    /// Returns whether no record has begun that is not complete.
    pub fn is_between_records(&self) -> bool {
        self.buf.is_empty()
    }
}
