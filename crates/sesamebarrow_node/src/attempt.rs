//! One attempt at a request: at an upstream, or handed to another instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use sesamebarrow_gateway::pool::{self, Connection};
use sesamebarrow_policy::Refusal;
use sesamebarrow_policy::event::Target;
use smol_str::SmolStr;

use crate::node::Node;
use crate::peer::{self, Inbound, Stream};

/// Idle connections that are kept for one upstream.
const MAX_IDLE: usize = 32;

/// A request as it goes on: nothing in it is a credential.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request's id.
    pub id: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// Fields for the upstream.
    pub fields: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// What the envelope to another instance needs besides the call.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The service.
    pub service: SmolStr,
    /// The ticket of a request that runs at most once.
    pub ticket: Option<SmolStr>,
    /// Time left.
    pub deadline: Duration,
}

/// A way to the target on which nothing has been sent.
pub enum Way {
    /// To an upstream.
    Upstream(Connection, SocketAddr),
    /// To another instance.
    Instance(Box<Stream>, Target),
}

/// How an attempt went on after it was sent.
pub enum Begun {
    /// The answer's head came.
    Answer(Box<Answer>),
    /// The instance refused the request.
    Refused(Refusal),
    /// No byte of it left.
    NotSent,
    /// Bytes of it may have left.
    Broken,
}

/// An answer on its way.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Fields for the caller.
    pub fields: HeaderMap,
    body: Source,
}

enum Source {
    /// With the connection and how long it may stay idle afterwards.
    Upstream(Incoming, Option<(Connection, Option<Duration>)>),
    Instance(Box<Stream>),
}

/// The next part of an answer's body.
pub enum Part {
    /// Bytes.
    Chunk(Bytes),
    /// The body ended as its protocol says.
    End,
    /// It broke off.
    Broken,
}

/// Opens a way to `target`; `None` if there is none.
pub async fn open(node: &Node, target: &Target, once: bool) -> Option<Way> {
    let timeout = node.settings.request.connect_timeout;
    match target {
        Target::Upstream { address, .. } => {
            let connected = if once {
                node.pool.open(*address, timeout).await
            } else {
                node.pool.connect(*address, timeout).await
            };
            if let Err(error) = &connected {
                log::debug!(address:% = address, error:% = error; "not connected");
            }
            Some(Way::Upstream(connected.ok()?, *address))
        }
        Target::Instance { name, .. } => {
            let stream = node.links.open_stream(name, timeout).await?;
            Some(Way::Instance(Box::new(stream), target.clone()))
        }
    }
}

/// Sends the call and waits for the answer's head.
pub async fn send(way: Way, call: &Call, envelope: &Envelope) -> Begun {
    match way {
        Way::Upstream(connection, address) => send_upstream(connection, address, call).await,
        Way::Instance(stream, target) => send_instance(*stream, &target, call, envelope).await,
    }
}

async fn send_upstream(mut connection: Connection, address: SocketAddr, call: &Call) -> Begun {
    let Ok(req) = upstream_request(address, call) else {
        return Begun::NotSent;
    };
    match connection.send(req).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            Begun::Answer(Box::new(Answer {
                status: head.status,
                fields: crate::credential::answer_fields(&head.headers),
                body: Source::Upstream(body, Some((connection, pool::idle_time(&head.headers)))),
            }))
        }
        Err(pool::Error::NotSent) => Begun::NotSent,
        Err(pool::Error::Broken) => Begun::Broken,
    }
}

fn upstream_request(address: SocketAddr, call: &Call) -> anyhow::Result<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .body(Full::new(call.body.clone()))?;
    *req.headers_mut() = call.fields.clone();
    let host = HeaderValue::from_str(&address.to_string())?;
    req.headers_mut().insert(HOST, host);
    let id = HeaderValue::from_str(&call.id)?;
    req.headers_mut().insert("x-request-id", id);
    Ok(req)
}

async fn send_instance(
    mut stream: Stream,
    target: &Target,
    call: &Call,
    envelope: &Envelope,
) -> Begun {
    let open = peer::envelope(stream.id(), target, call, envelope);
    if !stream.send_open(open) {
        return Begun::NotSent;
    }
    if !stream.send_body(call.body.clone()).await {
        return Begun::Broken;
    }
    match stream.next().await {
        Some(Inbound::Head(head)) => Begun::Answer(Box::new(Answer {
            status: status_of(head.status),
            fields: peer::read_fields(&head.fields),
            body: Source::Instance(Box::new(stream)),
        })),
        Some(Inbound::Refused(refused)) => Begun::Refused(crate::problem::read_refusal(&refused)),
        _ => Begun::Broken,
    }
}

fn status_of(code: u32) -> StatusCode {
    u16::try_from(code)
        .ok()
        .and_then(|c| StatusCode::from_u16(c).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

impl Answer {
    /// Returns the next part of the body; silence for longer than `stall` breaks it off.
    pub async fn next(&mut self, stall: Duration) -> Part {
        match tokio::time::timeout(stall, self.read()).await {
            Ok(part) => part,
            Err(_) => Part::Broken,
        }
    }

    async fn read(&mut self) -> Part {
        match &mut self.body {
            Source::Upstream(body, _) => read_upstream(body).await,
            Source::Instance(stream) => match stream.next().await {
                Some(Inbound::Data(bytes)) => Part::Chunk(bytes),
                Some(Inbound::End) => Part::End,
                _ => Part::Broken,
            },
        }
    }

    /// Gives the connection of a whole answer back to the pool.
    pub fn finish(self, pool: &pool::Pool) {
        if let Source::Upstream(_, Some((connection, idle_time))) = self.body {
            pool.release(connection, idle_time, MAX_IDLE);
        }
    }
}

async fn read_upstream(body: &mut Incoming) -> Part {
    loop {
        match body.frame().await {
            None => return Part::End,
            Some(Err(_)) => return Part::Broken,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Part::Chunk(bytes);
                }
            }
        }
    }
}
