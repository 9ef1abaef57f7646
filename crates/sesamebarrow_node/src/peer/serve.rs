//! Serves requests that other instances forwarded.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::{Method, StatusCode};
use sesamebarrow_policy::{Head, Origin, Reason, Refusal};
use sesamebarrow_wire::stream::{self as frames, Open};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::stream::{Inbound, Stream};
use crate::attempt::OutboundRequest;
use crate::exchange::{self, OutboundFuture, Reply};
use crate::node::Node;
use crate::problem::{self, Problem};
use crate::relay::{self, Part};

/// Starts a task that serves the request on a stream opened by `open`.
pub(super) fn start(node: Arc<Node>, stream: Stream, open: Open) {
    let exchanges = node.exchanges.clone();
    exchanges.spawn(serve(node, stream, open));
}

async fn serve(node: Arc<Node>, mut stream: Stream, open: Open) {
    let id = SmolStr::new(&open.request_id);
    let head = read_head(stream.peer_name(), &open);
    let (body_tx, body_rx) = oneshot::channel();
    let limit = node.settings.request.max_body_bytes;
    let timeout = node.settings.request.read_timeout;
    let outbound_future = read_body(open, body_rx, timeout);
    let exchange = exchange::run(node, head, outbound_future);
    tokio::pin!(exchange);
    let mut collector = BodyCollector::new(body_tx, limit);
    let reply = loop {
        tokio::select! {
            reply = &mut exchange => break reply,
            inbound = stream.next() => {
                if !collector.receive(inbound) {
                    // The sender has abandoned the stream. The exchange continues in the
                    // background if the request was sent and must run at most once.
                    return;
                }
            }
        }
    };
    log::info!(request = id.as_str(), from = stream.peer_name(); "replying to a forwarded request");
    send_reply(&mut stream, reply).await;
}

fn read_head(sender: &str, open: &Open) -> Head {
    let path = open.path.split('?').next().unwrap_or_default();
    let customer = (!open.customer.is_empty()).then(|| SmolStr::new(&open.customer));
    Head {
        origin: Origin::Instance {
            name: SmolStr::new(sender),
            customer,
            hops: open.hops,
        },
        service: SmolStr::new(&open.service),
        method: SmolStr::new(&open.method),
        path: SmolStr::new(path),
        ticket: (!open.ticket.is_empty()).then(|| SmolStr::new(&open.ticket)),
        time_left: Duration::from_millis(u64::from(open.deadline_ms)),
        estimated_tokens: open.reserved_tokens,
    }
}

/// Collects the request body as it arrives.
struct BodyCollector {
    tx: Option<oneshot::Sender<Option<Bytes>>>,
    buf: BytesMut,
    limit: usize,
}

impl BodyCollector {
    fn new(tx: oneshot::Sender<Option<Bytes>>, limit: usize) -> Self {
        Self {
            tx: Some(tx),
            buf: BytesMut::new(),
            limit,
        }
    }

    /// Handles a received frame. Returns false if the sender has abandoned the stream.
    fn receive(&mut self, inbound: Option<Inbound>) -> bool {
        match inbound {
            Some(Inbound::Data(bytes)) => {
                self.buf.extend_from_slice(&bytes);
                if self.buf.len() > self.limit {
                    self.finish(None);
                }
                true
            }
            Some(Inbound::End) => {
                let body = self.buf.split().freeze();
                self.finish(Some(body));
                true
            }
            _ => false,
        }
    }

    fn finish(&mut self, body: Option<Bytes>) {
        if let Some(tx) = self.tx.take() {
            // The exchange may have ended already.
            let _ = tx.send(body);
        }
    }
}

fn read_body(
    open: Open,
    body: oneshot::Receiver<Option<Bytes>>,
    timeout: Duration,
) -> OutboundFuture {
    Box::pin(async move {
        let body = tokio::time::timeout(timeout, body).await;
        let Ok(Ok(Some(body))) = body else {
            let title = "the body did not come whole";
            return Err(rejection("body-broken", title));
        };
        let method = Method::from_bytes(open.method.as_bytes())
            .map_err(|_| rejection("bad-method", "expected an HTTP method"))?;
        Ok(OutboundRequest {
            id: SmolStr::new(&open.request_id),
            method,
            path: open.path,
            fields: super::decode_fields(&open.fields),
            body,
        })
    })
}

fn rejection(reason: &str, title: &str) -> Problem {
    Problem::rejection(StatusCode::BAD_REQUEST, reason, title)
}

async fn send_reply(stream: &mut Stream, reply: Reply) {
    match reply {
        Reply::Response {
            status,
            fields,
            length,
            body,
        } => {
            let head = frames::Head {
                stream: stream.id(),
                status: u32::from(status.as_u16()),
                fields: super::encode_fields(&fields),
                length,
            };
            send_response(stream, head, body).await;
        }
        Reply::Refused(refusal) => {
            stream.send_refusal(problem::encode_refusal(stream.id(), &refusal));
            stream.mark_ended();
        }
        Reply::Problem(_) => {
            // The sender has checked the request, so its body did not arrive complete in
            // time, or it exceeds the limit of this instance. The refusal frame has no field
            // for details.
            let refusal = Refusal::unknown(Reason::UpstreamFailed);
            stream.send_refusal(problem::encode_refusal(stream.id(), &refusal));
            stream.mark_ended();
        }
    }
}

async fn send_response(stream: &mut Stream, head: frames::Head, mut body: relay::Receiver) {
    stream.send_head(head);
    while let Some(part) = body.recv().await {
        match part {
            Part::Chunk(bytes) => {
                if !stream.send_data(bytes).await {
                    return;
                }
            }
            Part::End => {
                stream.send_end();
                stream.mark_ended();
                return;
            }
        }
    }
}
