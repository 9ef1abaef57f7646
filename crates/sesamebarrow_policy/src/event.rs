//! Inputs and outputs of the decision logic: events, and the actions that they cause.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamebarrow_routing::board::quarantine::Change;
use sesamebarrow_routing::quarantine::Order;
use sesamebarrow_rules::{Document, KeyDigest};
use sesamebarrow_wire::Payload;
use sesamebarrow_wire::control::{self, DocumentKind};
use smol_str::SmolStr;

use crate::board::UpstreamKey;
use crate::refusal::Refusal;

/// Number of a request in this process, assigned by the driver of the board.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Origin of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller {
        /// Digest of the API key in the request; `None` if it has no key.
        key: Option<KeyDigest>,
    },
    /// Another instance, which has identified the customer. It has also reserved the tokens,
    /// unless this instance owns the request's ticket.
    Instance {
        /// Name of the sender.
        name: SmolStr,
        /// Customer; `None` for a request without a key, which only open routes accept.
        customer: Option<SmolStr>,
        /// Number of times that the request was forwarded between instances.
        hops: u32,
    },
}

/// The part of a request on which decisions depend. It contains no request body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Origin of the request.
    pub origin: Origin,
    /// Requested service.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// URL path below the service prefix, without the query.
    pub path: SmolStr,
    /// Ticket from the `Idempotency-Key` header. It names the process that may run a
    /// non-idempotent request.
    pub ticket: Option<SmolStr>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Estimate of the tokens that the request uses at a model. Tokens used beyond it are
    /// charged afterwards. For a forwarded request, the tokens that the sender has reserved;
    /// 0 if it has reserved none.
    pub estimated_tokens: u64,
}

/// A complete response that is stored and replayed when the caller repeats the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields for the caller.
    pub fields: Vec<(SmolStr, Bytes)>,
    /// Response body.
    pub body: Bytes,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was received.
    Completed {
        /// Tokens that the request used, if the response states them.
        tokens: Option<u64>,
        /// The response to store, for a request with a ticket.
        response: Option<Arc<StoredResponse>>,
        /// Whether its status is a server error.
        is_server_error: bool,
    },
    /// No byte of the request can have reached the target.
    NotSent,
    /// The instance to which the request was forwarded refused it.
    Refused(Refusal),
    /// The attempt ended prematurely after bytes of the request were sent.
    Interrupted {
        /// Whether bytes of the response were sent to the caller.
        relayed: bool,
        /// Whether the target is an upstream that accepted no connection after it.
        crashed: bool,
    },
}

/// A control message between instances.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Liveness, revisions and load.
    Heartbeat(control::Heartbeat),
    /// Requests a document.
    DocumentRequest(control::DocumentRequest),
    /// Contains a document or a change of one.
    DocumentUpdate(control::DocumentUpdate),
    /// Requests a loan of rate-limit tokens.
    LoanRequest(control::LoanRequest),
    /// Grants a loan.
    Loan(control::Loan),
    /// Reports how much of a loan was spent.
    LoanReport(control::LoanReport),
}

impl From<Message> for Payload {
    fn from(message: Message) -> Self {
        match message {
            Message::Heartbeat(m) => Self::Heartbeat(m),
            Message::DocumentRequest(m) => Self::DocumentRequest(m),
            Message::DocumentUpdate(m) => Self::DocumentUpdate(m),
            Message::LoanRequest(m) => Self::LoanRequest(m),
            Message::Loan(m) => Self::Loan(m),
            Message::LoanReport(m) => Self::LoanReport(m),
        }
    }
}

/// An input of the decision logic.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. The driver must send it at least ten times a second.
    Tick,
    /// A read from the platform returned a newer document.
    DocumentRead {
        /// Kind of the document.
        kind: DocumentKind,
        /// Identifier of the read.
        read_id: u64,
        /// The document.
        document: Box<Document>,
    },
    /// A read from the platform found no newer document.
    DocumentUnchanged {
        /// Kind of the document.
        kind: DocumentKind,
        /// Identifier of the read.
        read_id: u64,
        /// Revision that the platform has.
        revision: u64,
    },
    /// A read from the platform failed: there was no response or an invalid one.
    DocumentReadFailed {
        /// Kind of the document.
        kind: DocumentKind,
        /// Identifier of the read.
        read_id: u64,
        /// Description of the failure.
        fault: SmolStr,
    },
    /// A link to an instance was opened.
    LinkUp {
        /// Name of the instance.
        name: SmolStr,
        /// Failure domain of the instance.
        domain: SmolStr,
        /// Incarnation of its process.
        incarnation: u64,
    },
    /// A link was closed.
    LinkDown {
        /// Name of the instance.
        name: SmolStr,
        /// Incarnation of its process.
        incarnation: u64,
    },
    /// A control message arrived from an instance.
    MessageReceived {
        /// Name of the sender.
        name: SmolStr,
        /// Incarnation of the sender's process.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// An upstream reported its load.
    LoadReported {
        /// Name of the upstream.
        upstream: SmolStr,
        /// Requests that it is running.
        running: u32,
        /// Requests that wait in its queue.
        queued: u32,
    },
    /// The head of a request was received.
    RequestArrived {
        /// The request.
        id: RequestId,
        /// Head of the request.
        head: Head,
    },
    /// The connection to the target is open and the request can be sent. The reaction is
    /// [`Action::SendRequest`], a dispatch to another target, or a refusal.
    ReadyToSend {
        /// The request.
        id: RequestId,
        /// Fingerprint of its method, service, path and body, the same when it comes again.
        fingerprint: u64,
    },
    /// The head of the response is being sent to the caller.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// Result of the attempt.
        outcome: Outcome,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A caller asked which instances it should use.
    PlacementRequested {
        /// Number of the query, from the same sequence as the numbers of requests.
        id: RequestId,
        /// Digest of the API key in the query.
        key: Option<KeyDigest>,
        /// Requested service.
        service: SmolStr,
    },
    /// The process was asked to shut down gracefully.
    Drain,
    /// The limit of the shutdown is near: every request whose response has not started must be
    /// refused.
    RefuseRemaining,
}

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An upstream.
    Upstream {
        /// Key on the board.
        key: UpstreamKey,
        /// Name.
        name: SmolStr,
        /// Network address.
        address: std::net::SocketAddr,
    },
    /// Another instance.
    Instance {
        /// Name.
        name: SmolStr,
        /// Customer, stated in the envelope of the forwarded request.
        customer: Option<SmolStr>,
        /// Tokens reserved for the request on this instance; 0 if the receiver is to reserve
        /// them.
        reserved_tokens: u64,
    },
}

/// An instance that is recommended to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Address for callers.
    pub http: std::net::SocketAddr,
}

/// An output of the decision logic, which the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the target, then report [`Event::ReadyToSend`].
    Dispatch {
        /// The request.
        id: RequestId,
        /// Destination.
        target: Target,
        /// Whether the request must never be sent twice.
        at_most_once: bool,
    },
    /// Send the request over the open connection.
    SendRequest {
        /// The request.
        id: RequestId,
    },
    /// Respond to the request with a refusal, and abort its attempt unless the attempt is
    /// at-most-once and was sent. No further action for the request follows.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Respond to the request with a stored response. No further action for the request
    /// follows.
    Replay {
        /// The request.
        id: RequestId,
        /// The stored response.
        response: Arc<StoredResponse>,
    },
    /// Abort the request after its response has started, because its key was revoked. No
    /// further action for the request follows.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Respond to a placement query.
    ReturnPlacement {
        /// Number of the query.
        id: RequestId,
        /// Recommended instances, best first.
        candidates: Vec<Candidate>,
        /// How long the recommendation is valid.
        ttl: Duration,
        /// Ticket for a non-idempotent request, if this instance can own one.
        ticket: Option<SmolStr>,
    },
    /// Send a control message.
    SendMessage {
        /// Name of the receiver.
        to: SmolStr,
        /// The message.
        message: Message,
    },
    /// Open a link to an instance.
    OpenLink {
        /// Name of the instance.
        name: SmolStr,
        /// Address for other instances.
        address: std::net::SocketAddr,
    },
    /// Close a link on which no heartbeat arrived within the link timeout, or any link
    /// after a pause of the process.
    CloseLink {
        /// Name of the instance.
        name: SmolStr,
    },
    /// Read a document from the platform. The driver reports the result with
    /// [`Event::DocumentRead`], [`Event::DocumentUnchanged`] or
    /// [`Event::DocumentReadFailed`].
    ReadDocument {
        /// Kind of the document.
        kind: DocumentKind,
        /// Identifier of the read, repeated in the event that reports its result.
        read_id: u64,
        /// Newest revision that this instance has examined; 0 for none.
        known_revision: u64,
        /// Whether the platform should delay its response until a newer revision exists.
        wait_for_newer: bool,
    },
    /// Read the load of an upstream.
    PollLoad {
        /// Name of the upstream.
        upstream: SmolStr,
        /// Network address.
        address: std::net::SocketAddr,
    },
    /// Log a change of the requests that are refused because they crash upstreams.
    LogQuarantine {
        /// What happened.
        change: Change,
        /// The order that changed.
        order: Order,
    },
    /// The graceful shutdown is complete and the process may exit.
    Drained,
}
