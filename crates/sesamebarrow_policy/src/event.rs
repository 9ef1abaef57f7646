//! What happens to an instance, and what it has to do.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamebarrow_rules::{Document, KeyDigest};
use sesamebarrow_wire::Payload;
use sesamebarrow_wire::control::{self, DocumentKind};
use smol_str::SmolStr;

use crate::board::UpstreamKey;
use crate::refusal::Refusal;

/// A request's number in this process, given by whoever drives the board.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, with the digest of the key that came with the request.
    Caller {
        /// `None` for a request without a key.
        key: Option<KeyDigest>,
    },
    /// Another instance, which has identified the customer and reserved its tokens.
    Instance {
        /// The sender's name.
        name: SmolStr,
        /// The customer; `None` on a route open to all.
        customer: Option<SmolStr>,
        /// Instances that the request has passed.
        hops: u32,
    },
}

/// All of a request that decisions depend on; it holds no data of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Where it came from.
    pub origin: Origin,
    /// The service.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path below the service, without the query.
    pub path: SmolStr,
    /// The ticket, from the `Idempotency-Key`.
    pub ticket: Option<SmolStr>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// An upper bound of the tokens that the request may cost at a model.
    pub estimated_tokens: u64,
}

/// A whole answer that is kept for repeated sendings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Fields for the caller.
    pub fields: Vec<(SmolStr, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Completed {
        /// Tokens that the request really cost, where the answer says so.
        tokens: Option<u64>,
        /// The answer, of a request with a ticket.
        response: Option<Arc<StoredResponse>>,
    },
    /// No byte of the request can have reached the other end.
    NotSent,
    /// The instance to which it was handed refused it.
    Refused(Refusal),
    /// It broke off after bytes of the request were sent.
    Interrupted {
        /// Whether bytes of the answer have gone to the caller.
        relayed: bool,
    },
}

/// A control message between instances.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Liveness, revisions and load.
    Heartbeat(control::Heartbeat),
    /// Asks for a document.
    DocumentRequest(control::DocumentRequest),
    /// A document.
    Document(control::Document),
    /// Asks for tokens.
    LoanRequest(control::LoanRequest),
    /// Lends tokens.
    Loan(control::Loan),
    /// Reports on a loan.
    LoanReport(control::LoanReport),
}

impl From<Message> for Payload {
    fn from(message: Message) -> Self {
        match message {
            Message::Heartbeat(m) => Self::Heartbeat(m),
            Message::DocumentRequest(m) => Self::DocumentRequest(m),
            Message::Document(m) => Self::Document(m),
            Message::LoanRequest(m) => Self::LoanRequest(m),
            Message::Loan(m) => Self::Loan(m),
            Message::LoanReport(m) => Self::LoanReport(m),
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Driven ten times a second or more often.
    Tick,
    /// The platform answered a read with a newer document.
    DocumentRead {
        /// Which document.
        kind: DocumentKind,
        /// Identifier of the read.
        read_id: u64,
        /// The document.
        document: Box<Document>,
    },
    /// The platform answered that it has nothing newer.
    DocumentUnchanged {
        /// Which document.
        kind: DocumentKind,
        /// Identifier of the read.
        read_id: u64,
        /// The platform's revision.
        revision: u64,
    },
    /// The platform did not answer, or not as it should.
    DocumentReadFailed {
        /// Which document.
        kind: DocumentKind,
        /// Identifier of the read.
        read_id: u64,
        /// What went wrong.
        fault: SmolStr,
    },
    /// A link to an instance stands.
    LinkUp {
        /// The instance.
        name: SmolStr,
        /// Its failure domain.
        domain: SmolStr,
        /// Its process.
        incarnation: u64,
    },
    /// A link is gone.
    LinkDown {
        /// The instance.
        name: SmolStr,
        /// Its process.
        incarnation: u64,
    },
    /// An instance sent a control message.
    MessageReceived {
        /// The sender.
        name: SmolStr,
        /// The sender's process.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// An upstream reported its load.
    LoadReported {
        /// The upstream.
        upstream: SmolStr,
        /// Requests that run.
        running: u32,
        /// Requests that wait.
        queued: u32,
    },
    /// A request's head was read.
    RequestArrived {
        /// The request.
        id: RequestId,
        /// Its head.
        head: Head,
    },
    /// A request is about to be sent; answered by [`Action::SendRequest`] or a refusal.
    ReadyToSend {
        /// The request.
        id: RequestId,
    },
    /// The head of an answer goes to the caller.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// The caller went away.
    CallerDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A caller asks which instances to use.
    PlacementRequested {
        /// The question's number, among those of requests.
        id: RequestId,
        /// The digest of the key that came with it.
        key: Option<KeyDigest>,
        /// The service.
        service: SmolStr,
    },
    /// The process is to stop.
    Drain,
}

/// Where to send an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An upstream.
    Upstream {
        /// Its key.
        key: UpstreamKey,
        /// Its name.
        name: SmolStr,
        /// Its address.
        address: std::net::SocketAddr,
    },
    /// Another instance.
    Instance {
        /// Its name.
        name: SmolStr,
        /// The customer, for the envelope.
        customer: Option<SmolStr>,
        /// Tokens reserved.
        reserved_tokens: u64,
    },
}

/// An instance named to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Where callers reach it.
    pub http: std::net::SocketAddr,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the target; then say [`Event::ReadyToSend`].
    Dispatch {
        /// The request.
        id: RequestId,
        /// Where to.
        target: Target,
        /// Whether it must never be sent twice.
        at_most_once: bool,
    },
    /// Send the request now.
    SendRequest {
        /// The request.
        id: RequestId,
    },
    /// Answer the request with a refusal. It is forgotten.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer the request with a kept answer. It is forgotten.
    Replay {
        /// The request.
        id: RequestId,
        /// The answer.
        response: Arc<StoredResponse>,
    },
    /// Break the request off: its key was withdrawn.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Answer a placement question.
    ReturnPlacement {
        /// The question.
        id: RequestId,
        /// Instances to use, the best first.
        candidates: Vec<Candidate>,
        /// How long the answer holds.
        ttl: Duration,
        /// A ticket for a request that is not idempotent.
        ticket: Option<SmolStr>,
    },
    /// Send a control message.
    SendMessage {
        /// The receiver.
        to: SmolStr,
        /// The message.
        message: Message,
    },
    /// Open a link.
    OpenLink {
        /// The instance.
        name: SmolStr,
        /// Its address for instances.
        address: std::net::SocketAddr,
    },
    /// Close a link that is silent.
    CloseLink {
        /// The instance.
        name: SmolStr,
    },
    /// Read a document from the platform; answered by one `Document…` event.
    ReadDocument {
        /// Which document.
        kind: DocumentKind,
        /// Identifier of the read, repeated in the event that reports its result.
        read_id: u64,
        /// The revision held; 0 for none.
        known_revision: u64,
        /// Whether to wait for a newer one.
        wait_for_newer: bool,
    },
    /// Read an upstream's load.
    PollLoad {
        /// The upstream.
        upstream: SmolStr,
        /// Its address.
        address: std::net::SocketAddr,
    },
    /// All work has ended: the process may exit.
    Drained,
}
