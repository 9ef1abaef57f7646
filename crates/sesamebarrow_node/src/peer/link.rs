//! A link: its reader task, its writer task and its streams.

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
use tokio_util::task::TaskTracker;

use super::handshake::Established;
use super::serve;
use super::stream::{Inbound, Stream};
use crate::node::Node;

/// A link to another instance.
pub struct Link {
    /// Name of the instance at the other end.
    pub name: SmolStr,
    /// Incarnation: the random number that identifies the process at the other end.
    pub incarnation: u64,
    tx: mpsc::UnboundedSender<Payload>,
    closed: CancellationToken,
    streams: Mutex<HashMap<u64, StreamEntry>>,
    /// Number of the next stream that this end opens. The dialler uses odd numbers, the
    /// listener even ones.
    next_stream_id: AtomicU64,
}

/// The part of a stream that the reader task uses.
struct StreamEntry {
    tx: mpsc::UnboundedSender<Inbound>,
    /// Number of bytes that may still be sent.
    credit: Arc<Semaphore>,
}

type Reader = SplitStream<Framed<TcpStream, Codec>>;
type Writer = SplitSink<Framed<TcpStream, Codec>, Payload>;

impl Link {
    /// Starts the tasks of a link, as part of `tasks`. Once `finishing` is cancelled, the link
    /// closes after its queued frames.
    pub(super) fn start(
        node: Arc<Node>,
        established: Established,
        role: Role,
        finishing: &CancellationToken,
        tasks: &TaskTracker,
    ) -> Arc<Self> {
        let (tx, rx) = mpsc::unbounded_channel();
        let (writer, reader) = established.framed.split();
        let first_stream_id = match role {
            Role::Dialler => 1,
            Role::Listener => 2,
        };
        let link = Arc::new(Self {
            name: SmolStr::new(&established.hello.name),
            incarnation: established.hello.incarnation,
            tx,
            closed: CancellationToken::new(),
            streams: Mutex::default(),
            next_stream_id: AtomicU64::new(first_stream_id),
        });
        let closed = link.closed.clone();
        tasks.spawn(run_writer(writer, rx, closed, finishing.clone()));
        tasks.spawn(run_reader(node, link.clone(), reader));
        link
    }

    /// Queues a frame with this payload for the writer task. Returns false if the link is closed.
    pub(super) fn send(&self, payload: Payload) -> bool {
        !self.closed.is_cancelled() && self.tx.send(payload).is_ok()
    }

    /// Closes the link.
    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    /// Opens a stream with the next number of this end. Returns `None` if the link is closed.
    pub(super) fn open_stream(self: &Arc<Self>) -> Option<Stream> {
        if self.closed.is_cancelled() {
            return None;
        }
        let id = self.next_stream_id.fetch_add(2, Ordering::Relaxed);
        Some(self.add_stream(id, true))
    }

    /// Adds the stream with the number `id`.
    pub(super) fn add_stream(self: &Arc<Self>, id: u64, is_opener: bool) -> Stream {
        let (tx, rx) = mpsc::unbounded_channel();
        let credit = Arc::new(Semaphore::new(INITIAL_CREDIT_BYTES as usize));
        let entry = StreamEntry {
            tx,
            credit: credit.clone(),
        };
        self.with_streams(|streams| streams.insert(id, entry));
        Stream::new(self.clone(), id, rx, credit, is_opener)
    }

    pub(super) fn remove_stream(&self, id: u64) {
        self.with_streams(|streams| streams.remove(&id));
    }

    fn with_streams<T>(&self, f: impl FnOnce(&mut HashMap<u64, StreamEntry>) -> T) -> T {
        let mut streams = match self.streams.lock() {
            Ok(streams) => streams,
            Err(poisoned) => poisoned.into_inner(),
        };
        f(&mut streams)
    }

    /// Delivers a frame to its stream. Discards it if the stream no longer exists, because its
    /// attempt was abandoned.
    fn deliver(&self, id: u64, inbound: Inbound) {
        let delivered = self.with_streams(|streams| match streams.get(&id) {
            Some(entry) => entry.tx.send(inbound).is_ok(),
            None => false,
        });
        if !delivered {
            metrics::counter!("sesamebarrow_late_frames_total").increment(1);
        }
    }

    fn add_credit(&self, id: u64, bytes: u32) {
        self.with_streams(|streams| {
            if let Some(entry) = streams.get(&id) {
                entry.credit.add_permits(bytes as usize);
            }
        });
    }

    /// Makes pending and later sends on a reset stream fail.
    fn close_credit(&self, id: u64) {
        self.with_streams(|streams| {
            if let Some(entry) = streams.get(&id) {
                entry.credit.close();
            }
        });
    }

    /// Removes all streams. Their owners see the end of the channel.
    fn remove_all_streams(&self) {
        self.with_streams(|streams| {
            for entry in streams.values() {
                entry.credit.close();
            }
            streams.clear();
        });
    }
}

async fn run_writer(
    mut writer: Writer,
    mut rx: mpsc::UnboundedReceiver<Payload>,
    closed: CancellationToken,
    finishing: CancellationToken,
) {
    loop {
        let payload = tokio::select! {
            payload = rx.recv() => payload,
            () = finishing.cancelled(), if !rx.is_closed() => {
                rx.close();
                continue;
            }
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
    if finishing.is_cancelled() && writer.close().await.is_ok() {
        // The other end closes the link once it has read all frames.
        return;
    }
    closed.cancel();
}

async fn run_reader(node: Arc<Node>, link: Arc<Link>, mut reader: Reader) {
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            () = link.closed.cancelled() => None,
        };
        match next {
            Some(Ok(payload)) => {
                if !handle_payload(&node, &link, payload) {
                    log::warn!(instance = link.name.as_str(); "unexpected frame, closing link");
                    break;
                }
            }
            Some(Err(error)) => {
                log::warn!(
                    instance = link.name.as_str(), error:% = error;
                    "reading from link failed, closing it"
                );
                break;
            }
            None => break,
        }
    }
    link.close();
    link.remove_all_streams();
    node.links.remove_closed(&link);
}

/// Handles the payload of a received frame. Returns false if the other end must not send it.
fn handle_payload(node: &Arc<Node>, link: &Arc<Link>, payload: Payload) -> bool {
    let message = match payload {
        Payload::Heartbeat(m) => Message::Heartbeat(m),
        Payload::DocumentRequest(m) => Message::DocumentRequest(m),
        Payload::DocumentUpdate(m) => Message::DocumentUpdate(m),
        Payload::LoanRequest(m) => Message::LoanRequest(m),
        Payload::Loan(m) => Message::Loan(m),
        Payload::LoanReport(m) => Message::LoanReport(m),
        other => return handle_stream_payload(node, link, other),
    };
    node.driver.send_event(Event::MessageReceived {
        name: link.name.clone(),
        incarnation: link.incarnation,
        message,
    });
    true
}

fn handle_stream_payload(node: &Arc<Node>, link: &Arc<Link>, payload: Payload) -> bool {
    match payload {
        Payload::Open(open) => {
            let is_number_of_this_end =
                link.next_stream_id.load(Ordering::Relaxed) % 2 == open.stream % 2;
            let is_open = link.with_streams(|streams| streams.contains_key(&open.stream));
            if is_number_of_this_end || is_open {
                return false;
            }
            serve::start(node.clone(), link.add_stream(open.stream, false), open);
        }
        Payload::Head(m) => link.deliver(m.stream, Inbound::Head(m)),
        Payload::Data(m) => link.deliver(m.stream, Inbound::Data(m.bytes)),
        Payload::End(m) => link.deliver(m.stream, Inbound::End),
        Payload::Reset(m) => {
            link.close_credit(m.stream);
            link.deliver(m.stream, Inbound::Reset);
        }
        Payload::Refused(m) => link.deliver(m.stream, Inbound::Refused(m)),
        Payload::Credit(m) => link.add_credit(m.stream, m.bytes),
        _ => return false,
    }
    true
}
