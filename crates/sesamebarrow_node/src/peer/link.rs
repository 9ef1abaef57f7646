//! One link: its reader, its writer and its streams.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use sesamebarrow_policy::{Event, Message};
use sesamebarrow_wire::auth::Role;
use sesamebarrow_wire::stream::INITIAL_CREDIT_BYTES;
use sesamebarrow_wire::{Codec, Payload};
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use super::handshake::Greeted;
use super::serve;
use super::stream::{Inbound, Stream};
use crate::node::Node;

/// A link to another instance.
pub struct Link {
    /// The other end.
    pub name: SmolStr,
    /// The other end's process.
    pub incarnation: u64,
    tx: mpsc::UnboundedSender<Payload>,
    closed: CancellationToken,
    streams: Mutex<HashMap<u64, Port>>,
    /// The next stream that this end opens; the ends use odd and even numbers.
    next: AtomicU64,
}

/// Where a stream's frames go.
struct Port {
    tx: mpsc::UnboundedSender<Inbound>,
    /// Bytes that may still be sent.
    credit: Arc<Semaphore>,
}

type Reader = SplitStream<Framed<TcpStream, Codec>>;
type Writer = SplitSink<Framed<TcpStream, Codec>, Payload>;

impl Link {
    /// Starts the link's tasks.
    pub(super) fn start(node: Arc<Node>, greeted: Greeted, role: Role) -> Arc<Self> {
        let (tx, rx) = mpsc::unbounded_channel();
        let (writer, reader) = greeted.framed.split();
        let first = match role {
            Role::Dialler => 1,
            Role::Listener => 2,
        };
        let link = Arc::new(Self {
            name: SmolStr::new(&greeted.hello.name),
            incarnation: greeted.hello.incarnation,
            tx,
            closed: CancellationToken::new(),
            streams: Mutex::default(),
            next: AtomicU64::new(first),
        });
        tokio::spawn(write(writer, rx, link.closed.clone()));
        tokio::spawn(run(node, link.clone(), reader));
        link
    }

    /// Queues a payload.
    pub(super) fn send(&self, payload: Payload) -> bool {
        !self.closed.is_cancelled() && self.tx.send(payload).is_ok()
    }

    /// Closes the link.
    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    /// Opens a stream with the next number of this end.
    pub(super) fn open_stream(self: &Arc<Self>) -> Option<Stream> {
        if self.closed.is_cancelled() {
            return None;
        }
        let id = self.next.fetch_add(2, Ordering::Relaxed);
        Some(self.add_stream(id, true))
    }

    /// Adds the stream `id`.
    pub(super) fn add_stream(self: &Arc<Self>, id: u64, opener: bool) -> Stream {
        let (tx, rx) = mpsc::unbounded_channel();
        let credit = Arc::new(Semaphore::new(INITIAL_CREDIT_BYTES as usize));
        let port = Port {
            tx,
            credit: credit.clone(),
        };
        self.table(|streams| streams.insert(id, port));
        Stream::new(self.clone(), id, rx, credit, opener)
    }

    pub(super) fn remove_stream(&self, id: u64) {
        self.table(|streams| streams.remove(&id));
    }

    fn table<T>(&self, f: impl FnOnce(&mut HashMap<u64, Port>) -> T) -> T {
        let mut streams = match self.streams.lock() {
            Ok(streams) => streams,
            Err(poisoned) => poisoned.into_inner(),
        };
        f(&mut streams)
    }

    /// Hands a frame to its stream. One whose stream is gone belongs to an attempt that
    /// was dropped.
    fn hand_in(&self, id: u64, inbound: Inbound) {
        let known = self.table(|streams| match streams.get(&id) {
            Some(port) => port.tx.send(inbound).is_ok(),
            None => false,
        });
        if !known {
            metrics::counter!("sesamebarrow_late_frames_total").increment(1);
        }
    }

    fn add_credit(&self, id: u64, bytes: u32) {
        self.table(|streams| {
            if let Some(port) = streams.get(&id) {
                port.credit.add_permits(bytes as usize);
            }
        });
    }

    /// Wakes whoever waits to send on a stream that was reset.
    fn close_credit(&self, id: u64) {
        self.table(|streams| {
            if let Some(port) = streams.get(&id) {
                port.credit.close();
            }
        });
    }

    /// Ends every stream: its holder sees the channel end.
    fn end_streams(&self) {
        self.table(|streams| {
            for port in streams.values() {
                port.credit.close();
            }
            streams.clear();
        });
    }
}

async fn write(
    mut writer: Writer,
    mut rx: mpsc::UnboundedReceiver<Payload>,
    closed: CancellationToken,
) {
    loop {
        let payload = tokio::select! {
            payload = rx.recv() => payload,
            () = closed.cancelled() => None,
        };
        let Some(payload) = payload else {
            break;
        };
        let sent = tokio::select! {
            sent = writer.send(payload) => sent.is_ok(),
            () = closed.cancelled() => false,
        };
        if !sent {
            break;
        }
    }
    closed.cancel();
}

async fn run(node: Arc<Node>, link: Arc<Link>, mut reader: Reader) {
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            () = link.closed.cancelled() => None,
        };
        match next {
            Some(Ok(payload)) => {
                if !take(&node, &link, payload) {
                    log::warn!(instance = link.name.as_str(); "unexpected frame, link closed");
                    break;
                }
            }
            Some(Err(error)) => {
                log::warn!(instance = link.name.as_str(), error:% = error; "link failed");
                break;
            }
            None => break,
        }
    }
    link.close();
    link.end_streams();
    node.links.ended(&link);
}

/// Takes a payload; false where the other end may not send it.
fn take(node: &Arc<Node>, link: &Arc<Link>, payload: Payload) -> bool {
    let message = match payload {
        Payload::Heartbeat(m) => Message::Heartbeat(m),
        Payload::DocumentRequest(m) => Message::DocumentRequest(m),
        Payload::Document(m) => Message::Document(m),
        Payload::LoanRequest(m) => Message::LoanRequest(m),
        Payload::Loan(m) => Message::Loan(m),
        Payload::LoanReport(m) => Message::LoanReport(m),
        other => return take_stream(node, link, other),
    };
    node.driver.tell(Event::MessageReceived {
        name: link.name.clone(),
        incarnation: link.incarnation,
        message,
    });
    true
}

fn take_stream(node: &Arc<Node>, link: &Arc<Link>, payload: Payload) -> bool {
    match payload {
        Payload::Open(open) => {
            let ours = link.next.load(Ordering::Relaxed) % 2 == open.stream % 2;
            let used = link.table(|streams| streams.contains_key(&open.stream));
            if ours || used {
                return false;
            }
            serve::start(node.clone(), link.add_stream(open.stream, false), open);
        }
        Payload::Head(m) => link.hand_in(m.stream, Inbound::Head(m)),
        Payload::Data(m) => link.hand_in(m.stream, Inbound::Data(m.bytes)),
        Payload::End(m) => link.hand_in(m.stream, Inbound::End),
        Payload::Reset(m) => {
            link.close_credit(m.stream);
            link.hand_in(m.stream, Inbound::Reset);
        }
        Payload::Refused(m) => link.hand_in(m.stream, Inbound::Refused(m)),
        Payload::Credit(m) => link.add_credit(m.stream, m.bytes),
        _ => return false,
    }
    true
}
