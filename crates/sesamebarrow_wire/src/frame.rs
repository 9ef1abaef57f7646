//! One frame of a link and its codec.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{auth, control, stream};

/// Maximum size of a frame in bytes. A whole document of one megabyte must fit.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The payload. A frame without one, or with an unknown one, is an error.
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub payload: Option<Payload>,
}

/// The payload of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// First handshake message of each end.
    #[prost(message, tag = "1")]
    Hello(auth::Hello),
    /// Second handshake message of each end.
    #[prost(message, tag = "2")]
    Proof(auth::Proof),
    /// Liveness, revisions and load.
    #[prost(message, tag = "3")]
    Heartbeat(control::Heartbeat),
    /// Requests a document.
    #[prost(message, tag = "4")]
    DocumentRequest(control::DocumentRequest),
    /// A document, whole or as a change.
    #[prost(message, tag = "5")]
    DocumentUpdate(control::DocumentUpdate),
    /// Requests a loan of tokens.
    #[prost(message, tag = "6")]
    LoanRequest(control::LoanRequest),
    /// Tokens lent.
    #[prost(message, tag = "7")]
    Loan(control::Loan),
    /// How much of a loan was used.
    #[prost(message, tag = "8")]
    LoanReport(control::LoanReport),
    /// Head of a forwarded request.
    #[prost(message, tag = "9")]
    Open(stream::Open),
    /// Head of a response.
    #[prost(message, tag = "10")]
    Head(stream::Head),
    /// Bytes of a body.
    #[prost(message, tag = "11")]
    Data(stream::Data),
    /// The sender has sent the whole body.
    #[prost(message, tag = "12")]
    End(stream::End),
    /// The stream is aborted.
    #[prost(message, tag = "13")]
    Reset(stream::Reset),
    /// Lets the other end send more bytes.
    #[prost(message, tag = "14")]
    Credit(stream::Credit),
    /// The request is refused.
    #[prost(message, tag = "15")]
    Refused(stream::Refused),
}

impl From<Payload> for Frame {
    fn from(payload: Payload) -> Self {
        Self {
            payload: Some(payload),
        }
    }
}

/// An error after which the link must be closed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed, or a frame is larger than [`MAX_FRAME_BYTES`].
    #[error("link I/O: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes cannot be decoded as a frame.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The frame has no payload that this version knows.
    #[error("frame without a known payload")]
    MissingPayload,
}

/// Encodes and decodes frames, each behind its length in four bytes.
#[derive(Debug)]
pub struct Codec {
    length_codec: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { length_codec }
    }
}

impl Decoder for Codec {
    type Item = Payload;
    type Error = Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Payload>, Error> {
        let Some(bytes) = self.length_codec.decode(buf)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze())?;
        frame.payload.map(Some).ok_or(Error::MissingPayload)
    }
}

impl Encoder<Payload> for Codec {
    type Error = Error;

    fn encode(&mut self, payload: Payload, buf: &mut BytesMut) -> Result<(), Error> {
        let bytes = Frame::from(payload).encode_to_vec();
        self.length_codec.encode(Bytes::from(bytes), buf)?;
        Ok(())
    }
}

/// Returns the number of bytes that `payload` takes on a link, including the length prefix.
pub fn encoded_len(payload: &Payload) -> usize {
    const PREFIX_BYTES: usize = 4;
    Frame::from(payload.clone()).encoded_len() + PREFIX_BYTES
}
