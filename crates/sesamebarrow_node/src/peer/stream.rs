//! One end of a stream that carries a forwarded request and its response.

use std::sync::Arc;

use bytes::Bytes;
use sesamebarrow_wire::Payload;
use sesamebarrow_wire::stream::{Credit, Data, End, Head, Open, Refused, Reset};
use tokio::sync::{Semaphore, mpsc};

use super::link::Link;

/// Maximum number of body bytes in one frame.
const MAX_DATA_BYTES: usize = 32 * 1024;

/// A frame received on a stream.
pub enum Inbound {
    /// Response head.
    Head(Head),
    /// Bytes of a body.
    Data(Bytes),
    /// End of a complete body.
    End,
    /// The other end aborted the stream.
    Reset,
    /// The other end refused the request.
    Refused(Refused),
}

/// One end of a stream. Sends a reset if it is dropped before the stream has ended.
pub struct Stream {
    link: Arc<Link>,
    id: u64,
    rx: mpsc::UnboundedReceiver<Inbound>,
    credit: Arc<Semaphore>,
    /// Whether this end opened the stream, so that it receives the response.
    is_opener: bool,
    /// Whether the stream has ended, so that no reset is needed.
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

    /// Returns the number of the stream.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the name of the instance at the other end.
    pub fn peer_name(&self) -> &str {
        &self.link.name
    }

    /// Sends the request head. Returns false if the link is closed, so that nothing was sent.
    pub fn send_open(&self, open: Open) -> bool {
        self.link.send(Payload::Open(open))
    }

    /// Sends the response head.
    pub fn send_head(&self, head: Head) -> bool {
        self.link.send(Payload::Head(head))
    }

    /// Sends a refusal.
    pub fn send_refusal(&self, refused: Refused) -> bool {
        self.link.send(Payload::Refused(refused))
    }

    /// Sends bytes of a body as the credit of the other end allows. Returns false if the stream
    /// was reset or the link was closed.
    pub async fn send_data(&self, mut bytes: Bytes) -> bool {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(MAX_DATA_BYTES));
            // CAST: a chunk is far smaller than 4 GiB.
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

    /// Sends the end of a complete body.
    pub fn send_end(&self) -> bool {
        self.link.send(Payload::End(End { stream: self.id }))
    }

    /// Sends a complete body and its end.
    pub async fn send_body(&self, body: Bytes) -> bool {
        self.send_data(body).await && self.send_end()
    }

    /// Sends a reset, which aborts the stream.
    pub fn send_reset(&self) {
        self.link.send(Payload::Reset(Reset { stream: self.id }));
    }

    /// Marks the stream as ended, so that no reset is sent when it is dropped.
    pub fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// Returns the next received frame, or `None` once the link is closed. Gives the other end
    /// credit for received bytes.
    pub async fn next(&mut self) -> Option<Inbound> {
        let inbound = self.rx.recv().await;
        match &inbound {
            Some(Inbound::Data(bytes)) => {
                // CAST: a frame is far smaller than 4 GiB.
                self.link.send(Payload::Credit(Credit {
                    stream: self.id,
                    bytes: bytes.len() as u32,
                }));
            }
            Some(Inbound::Head(_)) => {}
            // The end of the response ends the stream; the end of the request body does not.
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
