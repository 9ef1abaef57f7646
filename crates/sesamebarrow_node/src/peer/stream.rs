//! One end of a stream.

use std::sync::Arc;

use bytes::Bytes;
use sesamebarrow_wire::Payload;
use sesamebarrow_wire::stream::{Credit, Data, End, Head, Open, Refused, Reset};
use tokio::sync::{Semaphore, mpsc};

use super::link::Link;

/// Largest piece of a body in one frame, in bytes.
const MAX_DATA_BYTES: usize = 32 * 1024;

/// What comes in on a stream.
pub enum Inbound {
    /// The head of an answer.
    Head(Head),
    /// Bytes of a body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The stream breaks off.
    Reset,
    /// The other end refuses the request.
    Refused(Refused),
}

/// One end of a stream. Dropped before its end, it is reset.
pub struct Stream {
    link: Arc<Link>,
    id: u64,
    rx: mpsc::UnboundedReceiver<Inbound>,
    credit: Arc<Semaphore>,
    /// Whether this end opened the stream and the answer is the other's.
    is_opener: bool,
    /// Whether the stream has come to its end, so that nothing is to be broken off.
    ended: bool,
}

impl Stream {
    pub(super) fn new(
        link: Arc<Link>,
        id: u64,
        rx: mpsc::UnboundedReceiver<Inbound>,
        credit: Arc<Semaphore>,
        is_opener: bool,
    ) -> Self {
        Self {
            link,
            id,
            rx,
            credit,
            is_opener,
            ended: false,
        }
    }

    /// Returns the stream's number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the other end's name.
    pub fn peer_name(&self) -> &str {
        &self.link.name
    }

    /// Sends the request's head; false if the link is closed, so that nothing left.
    pub fn send_open(&self, open: Open) -> bool {
        self.link.send(Payload::Open(open))
    }

    /// Sends an answer's head.
    pub fn send_head(&self, head: Head) -> bool {
        self.link.send(Payload::Head(head))
    }

    /// Sends a refusal.
    pub fn send_refusal(&self, refused: Refused) -> bool {
        self.link.send(Payload::Refused(refused))
    }

    /// Sends bytes as the other end gives credit; false if the stream is over.
    pub async fn send_data(&self, mut bytes: Bytes) -> bool {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(MAX_DATA_BYTES));
            // CAST: a piece is far below 4 GiB.
            let permits = self.credit.acquire_many(chunk.len() as u32).await;
            let Ok(permits) = permits else {
                return false;
            };
            permits.forget();
            let data = Data {
                stream: self.id,
                bytes: chunk,
            };
            if !self.link.send(Payload::Data(data)) {
                return false;
            }
        }
        true
    }

    /// Says that the body is whole.
    pub fn send_end(&self) -> bool {
        self.link.send(Payload::End(End { stream: self.id }))
    }

    /// Sends a whole body.
    pub async fn send_body(&self, body: Bytes) -> bool {
        self.send_data(body).await && self.send_end()
    }

    /// Says that the body breaks off.
    pub fn send_reset(&self) {
        self.link.send(Payload::Reset(Reset { stream: self.id }));
    }

    /// Notes that this end has said its last.
    pub fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// Returns what comes next; `None` once the link is gone.
    pub async fn next(&mut self) -> Option<Inbound> {
        let inbound = self.rx.recv().await;
        match &inbound {
            Some(Inbound::Data(bytes)) => {
                // CAST: a frame is far below 4 GiB.
                self.link.send(Payload::Credit(Credit {
                    stream: self.id,
                    bytes: bytes.len() as u32,
                }));
            }
            Some(Inbound::Head(_)) => {}
            Some(Inbound::End) => self.ended = self.is_opener,
            _ => self.ended = true,
        }
        inbound
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.link.remove_stream(self.id);
        if !self.ended {
            self.send_reset();
        }
    }
}
