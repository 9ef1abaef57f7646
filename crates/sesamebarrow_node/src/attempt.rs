//! Attempts: sends a request to an upstream, or forwards it to another instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as _;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use sesamebarrow_gateway::event_stream;
use sesamebarrow_gateway::framing::{self, Framing};
use sesamebarrow_gateway::meter::MeteredBody;
use sesamebarrow_gateway::pool::{self, Connection};
use sesamebarrow_policy::Refusal;
use sesamebarrow_policy::event::Target;
use smol_str::SmolStr;

use crate::node::Node;
use crate::peer::{self, Inbound, Stream};

/// Maximum number of idle connections kept open to one upstream.
pub const MAX_IDLE_CONNECTIONS: usize = 32;

/// Maximum time to connect to the upstream of a response that only its connection frames, at its end.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which that connection must stay open.
const CONFIRM_SETTLING_TIME: Duration = Duration::from_millis(50);

/// A request as it is sent to the target. It contains no credential.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// Id of the request in logs and in `x-request-id`, the same at every instance.
    pub id: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path below the service prefix, with the query.
    pub path: String,
    /// Header fields for the upstream.
    pub fields: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Data that is sent with a request forwarded to another instance.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Requested service.
    pub service: SmolStr,
    /// Ticket from the `Idempotency-Key` header of the caller. For a request that must run at
    /// most once, it names the process that may run it.
    pub ticket: Option<SmolStr>,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// A connection or stream to the target on which nothing of this request has been sent yet.
pub enum Transport {
    /// A connection to an upstream.
    Upstream(Connection, SocketAddr),
    /// A stream to another instance.
    Instance(Box<Stream>, Target),
}

/// Result of sending a request and waiting for the response head.
pub enum SendOutcome {
    /// The response head was received.
    Response(Box<TargetResponse>),
    /// The other instance refused the request.
    Refused(Refusal),
    /// No byte of the request can have been sent.
    NotSent,
    /// The attempt failed after bytes of the request may have been sent.
    Interrupted,
}

/// A response whose body is still being received.
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields for the caller.
    pub fields: HeaderMap,
    /// Length of the body in bytes, or the length that the response to `HEAD` states, if known.
    pub length: Option<u64>,
    /// Number of bytes of the body that are still to come, if known.
    remaining: Option<u64>,
    /// Address of the upstream if only the end of its connection ends the body.
    unframed_from: Option<SocketAddr>,
    body: BodySource,
}

enum BodySource {
    /// Also holds the connection, and for how long it may stay idle for reuse after the
    /// response; `None` if it must be closed then.
    Upstream(MeteredBody, Option<(Connection, Option<Duration>)>),
    Instance(Box<Stream>),
}

/// Next part of a response body.
pub enum BodyPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body ended as its protocol prescribes.
    End,
    /// The body ended prematurely, or the next part did not arrive in time.
    Interrupted,
}

/// Connects to `target`. Returns `None` if that fails.
///
/// Requests that must run at most once get a new connection: the upstream might already be
/// closing an idle one.
pub async fn connect(node: &Node, target: &Target, at_most_once: bool) -> Option<Transport> {
    let timeout = node.settings.request.connect_timeout;
    match target {
        Target::Upstream { address, .. } => {
            let connected = if at_most_once {
                node.pool.open(*address, timeout).await
            } else {
                node.pool.connect(*address, timeout).await
            };
            if let Err(error) = &connected {
                log::debug!(address:% = address, error:% = error; "cannot connect to upstream");
            }
            Some(Transport::Upstream(connected.ok()?, *address))
        }
        Target::Instance { name, .. } => {
            let stream = node.links.open_stream(name, timeout).await?;
            Some(Transport::Instance(Box::new(stream), target.clone()))
        }
    }
}

/// Sends the request and waits for the head of the response.
pub async fn send(
    transport: Transport,
    outbound: &OutboundRequest,
    context: &RequestContext,
) -> SendOutcome {
    match transport {
        Transport::Upstream(connection, address) => {
            send_to_upstream(connection, address, outbound).await
        }
        Transport::Instance(stream, target) => {
            send_to_instance(*stream, &target, outbound, context).await
        }
    }
}

async fn send_to_upstream(
    mut connection: Connection,
    address: SocketAddr,
    outbound: &OutboundRequest,
) -> SendOutcome {
    let Ok(req) = upstream_request(address, outbound) else {
        return SendOutcome::NotSent;
    };
    match connection.send(req).await {
        // An encoded body is not the one that was asked for, and without a status nothing is an answer.
        Ok(response)
            if framing::has_transfer_coding(response.headers())
                || !framing::is_final(response.status()) =>
        {
            SendOutcome::Interrupted
        }
        Ok(response) => {
            let (head, body) = response.into_parts();
            let length = if outbound.method == Method::HEAD {
                stated_length(&head.headers)
            } else {
                body.size_hint().exact()
            };
            let is_unframed = Framing::of(&head.headers, &body) == Framing::Connection;
            let idle_time = pool::idle_time(&head.headers);
            let fields = crate::credential::response_fields(&head.headers);
            let body = BodySource::Upstream(body, Some((connection, idle_time)));
            let mut response = TargetResponse::new(outbound, head.status, fields, length, body);
            response.unframed_from = is_unframed.then_some(address);
            SendOutcome::Response(Box::new(response))
        }
        Err(pool::Error::NotSent) => SendOutcome::NotSent,
        Err(pool::Error::Broken) => SendOutcome::Interrupted,
    }
}

fn upstream_request(
    address: SocketAddr,
    outbound: &OutboundRequest,
) -> anyhow::Result<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(outbound.method.clone())
        .uri(outbound.path.as_str())
        .body(Full::new(outbound.body.clone()))?;
    *req.headers_mut() = outbound.fields.clone();
    let host = HeaderValue::from_str(&address.to_string())?;
    req.headers_mut().insert(HOST, host);
    let id = HeaderValue::from_str(&outbound.id)?;
    req.headers_mut().insert("x-request-id", id);
    Ok(req)
}

async fn send_to_instance(
    mut stream: Stream,
    target: &Target,
    outbound: &OutboundRequest,
    context: &RequestContext,
) -> SendOutcome {
    let open = peer::open_frame(stream.id(), target, outbound, context);
    if !stream.send_open(open) {
        return SendOutcome::NotSent;
    }
    if !stream.send_body(outbound.body.clone()).await {
        return SendOutcome::Interrupted;
    }
    match stream.next().await {
        Some(Inbound::Head(head)) => {
            let status = status_from_code(head.status);
            let fields = peer::decode_fields(&head.fields);
            let body = BodySource::Instance(Box::new(stream));
            let response = TargetResponse::new(outbound, status, fields, head.length, body);
            SendOutcome::Response(Box::new(response))
        }
        Some(Inbound::Refused(refused)) => {
            SendOutcome::Refused(crate::problem::decode_refusal(&refused))
        }
        _ => SendOutcome::Interrupted,
    }
}

fn status_from_code(code: u32) -> StatusCode {
    u16::try_from(code)
        .ok()
        .and_then(|c| StatusCode::from_u16(c).ok())
        .filter(|status| framing::is_final(*status))
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Returns the length that the headers state.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

impl TargetResponse {
    fn new(
        outbound: &OutboundRequest,
        status: StatusCode,
        fields: HeaderMap,
        length: Option<u64>,
        body: BodySource,
    ) -> Self {
        let has_no_body = outbound.method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        // A stream whose length ends inside an event must not look complete.
        let length = length.filter(|_| !event_stream::is_event_stream(&fields));
        Self {
            status,
            fields,
            length,
            remaining: if has_no_body { Some(0) } else { length },
            unframed_from: None,
            body,
        }
    }

    /// Returns whether the end of the body is known to be the end of the response. The connections of a process that has
    /// ended are closed in order too, so the upstream of an unframed response must still accept one.
    pub async fn confirm_end(&self, pool: &pool::Pool) -> bool {
        let Some(address) = self.unframed_from else {
            return true;
        };
        let listening = pool.probe_listening(
            address,
            CONFIRM_TIMEOUT,
            CONFIRM_SETTLING_TIME,
            MAX_IDLE_CONNECTIONS,
        );
        listening.await == pool::Listening::Yes
    }

    /// Returns whether all bytes of the body were received, though perhaps not yet its end. The HTTP library
    /// drops the body for the caller then.
    pub fn has_all_bytes(&self) -> bool {
        self.remaining == Some(0)
    }

    /// Returns the next part of the body, or [`BodyPart::Interrupted`] if none arrives
    /// within `stall`.
    pub async fn next(&mut self, stall: Duration) -> BodyPart {
        let part = tokio::time::timeout(stall, self.read()).await;
        let part = part.unwrap_or(BodyPart::Interrupted);
        if let (BodyPart::Chunk(bytes), Some(remaining)) = (&part, &mut self.remaining) {
            *remaining = remaining.saturating_sub(bytes.len() as u64);
        }
        part
    }

    async fn read(&mut self) -> BodyPart {
        match &mut self.body {
            BodySource::Upstream(body, _) => read_upstream(body).await,
            BodySource::Instance(stream) => match stream.next().await {
                Some(Inbound::Data(bytes)) => BodyPart::Chunk(bytes),
                Some(Inbound::End) => BodyPart::End,
                _ => BodyPart::Interrupted,
            },
        }
    }

    /// Returns the connection to the pool. The response must be complete.
    pub fn finish(self, pool: &pool::Pool) {
        if let BodySource::Upstream(_, Some((connection, idle_time))) = self.body {
            pool.release(connection, idle_time, MAX_IDLE_CONNECTIONS);
        }
    }
}

async fn read_upstream(body: &mut MeteredBody) -> BodyPart {
    loop {
        match body.frame().await {
            None => return BodyPart::End,
            Some(Err(_)) => return BodyPart::Interrupted,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return BodyPart::Chunk(bytes);
                }
            }
        }
    }
}
