//! Runs a request from its head to its final response, as the policy decides.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, StatusCode};
use sesamebarrow_gateway::pool::Listening;
use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::{
    self as policy, Action, Event, Head, Outcome, Reason, Refusal, RequestId,
};
use sesamebarrow_routing::fingerprint::{self, Content};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::attempt::{
    self, BodyPart, OutboundRequest, RequestContext, SendOutcome, TargetResponse, Transport,
};
use crate::driver::RequestHandle;
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Part, ResponseTracker};

/// Maximum time to open a connection to an upstream that may have crashed.
const EXAMINE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a connection to an upstream that may have crashed must stay open to show that it has not.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// Reads the body of a request. It is first polled after the policy has chosen a target.
pub type OutboundFuture = Pin<Box<dyn Future<Output = Result<OutboundRequest, Problem>> + Send>>;

/// Result of an exchange.
pub enum Reply {
    /// A response. Its body may still be arriving.
    Response {
        /// HTTP status.
        status: StatusCode,
        /// Header fields.
        fields: HeaderMap,
        /// Length of the body in bytes, or the length that the response to `HEAD` states, if known.
        length: Option<u64>,
        /// Parts of the body.
        body: relay::Receiver,
    },
    /// A refusal by the policy.
    Refused(Refusal),
    /// A rejection because of an error in the request.
    Problem(Problem),
}

/// Why an exchange ends while an attempt is in progress.
enum Abort {
    Refused(Refusal),
    Cancelled,
    CallerDisconnected,
}

/// Runs a request and returns the reply to it.
///
/// If the caller disconnects after a request that must run at most once was sent, the
/// exchange continues in the background, so that the response can be stored.
pub async fn run(node: Arc<Node>, head: Head, outbound_future: OutboundFuture) -> Reply {
    let (tx, rx) = oneshot::channel();
    let context = RequestContext {
        service: head.service.clone(),
        ticket: head.ticket.clone(),
        time_left: head.time_left,
    };
    let handle = node.driver.submit_request(head);
    let exchange = Exchange {
        node,
        id: handle.id,
        handle,
        reply_tx: Some(tx),
        context,
        started_at: Instant::now(),
        at_most_once: false,
        sent: false,
        upstream: None,
    };
    let exchanges = exchange.node.exchanges.clone();
    exchanges.spawn(exchange.run_attempts(outbound_future));
    let failed = |_| Reply::Refused(Refusal::unknown(Reason::Internal));
    rx.await.unwrap_or_else(failed)
}

/// A request in progress, with its attempts one after another.
struct Exchange {
    node: Arc<Node>,
    /// Number of the request on the board.
    id: RequestId,
    handle: RequestHandle,
    reply_tx: Option<oneshot::Sender<Reply>>,
    /// Its `time_left` is the time that was left at `started_at`.
    context: RequestContext,
    started_at: Instant,
    /// Whether the request must run at most once.
    at_most_once: bool,
    /// Whether bytes of the current attempt may have been sent.
    sent: bool,
    /// Address of the upstream of the current attempt; `None` if its target is an instance.
    upstream: Option<SocketAddr>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Removes the request from the board, which would otherwise wait for its end.
            self.finish_attempt(Outcome::Interrupted {
                relayed: true,
                crashed: false,
            });
        }
    }
}

impl Exchange {
    async fn run_attempts(mut self, mut outbound_future: OutboundFuture) {
        let mut outbound: Option<OutboundRequest> = None;
        while let Some(action) = self.handle.rx.recv().await {
            let (target, at_most_once) = match action {
                Action::Dispatch {
                    target,
                    at_most_once,
                    ..
                } => (target, at_most_once),
                other => {
                    self.end_with(other);
                    return;
                }
            };
            self.at_most_once = at_most_once;
            if outbound.is_none() {
                outbound = self.read_body(&mut outbound_future).await;
            }
            let Some(outbound) = &outbound else {
                return;
            };
            if let Err(cause) = self.attempt(target, outbound).await {
                self.abort(cause);
                return;
            }
        }
    }

    /// Reads the body. Returns `None` if the exchange has ended because the body could not
    /// be read or the exchange was aborted.
    async fn read_body(&mut self, outbound_future: &mut OutboundFuture) -> Option<OutboundRequest> {
        let result = self.run_unless_aborted(outbound_future).await;
        match result {
            Ok(Ok(outbound)) => Some(outbound),
            Ok(Err(problem)) => {
                // The request was not sent. The policy drops it, as it does when the caller has
                // disconnected.
                self.node
                    .driver
                    .send_event(Event::CallerDisconnected { id: self.id });
                let problem = problem.with_unknown_execution_if(self.context.ticket.is_some());
                self.send_reply(Reply::Problem(problem));
                None
            }
            Err(cause) => {
                self.abort(cause);
                None
            }
        }
    }

    async fn attempt(&mut self, target: Target, outbound: &OutboundRequest) -> Result<(), Abort> {
        self.sent = false;
        let node = self.node.clone();
        let at_most_once = self.at_most_once;
        let transport = self
            .run_unless_aborted(attempt::connect(&node, &target, at_most_once))
            .await?;
        let Some(transport) = transport else {
            self.finish_attempt(Outcome::NotSent);
            return Ok(());
        };
        let fingerprint = self.fingerprint(outbound);
        self.node.driver.send_event(Event::ReadyToSend {
            id: self.id,
            fingerprint,
        });
        match self.handle.rx.recv().await {
            Some(Action::SendRequest { .. }) => {}
            Some(Action::Refuse { refusal, .. }) => return Err(Abort::Refused(refusal)),
            Some(Action::Dispatch { target, .. }) => {
                // The policy has replaced the target, because it is no longer usable.
                return Box::pin(self.attempt(target, outbound)).await;
            }
            _ => return Err(Abort::Cancelled),
        }
        self.sent = true;
        self.upstream = match target {
            Target::Upstream { address, .. } => Some(address),
            Target::Instance { .. } => None,
        };
        self.send(transport, outbound).await
    }

    async fn send(
        &mut self,
        transport: Transport,
        outbound: &OutboundRequest,
    ) -> Result<(), Abort> {
        let mut context = self.context.clone();
        context.time_left = context.time_left.saturating_sub(self.started_at.elapsed());
        match self
            .run_unless_aborted(attempt::send(transport, outbound, &context))
            .await?
        {
            SendOutcome::Response(target_response) if self.at_most_once => {
                self.buffer_response(*target_response).await
            }
            SendOutcome::Response(target_response) => self.stream_response(*target_response).await,
            SendOutcome::Refused(refusal) => {
                self.finish_attempt(Outcome::Refused(refusal));
                Ok(())
            }
            SendOutcome::NotSent => {
                self.finish_attempt(Outcome::NotSent);
                Ok(())
            }
            SendOutcome::Interrupted => {
                self.finish_interrupted(false).await;
                Ok(())
            }
        }
    }

    /// Sends the response to the caller while it is being received.
    async fn stream_response(&mut self, mut target_response: TargetResponse) -> Result<(), Abort> {
        let (tx, rx) = relay::channel();
        let mut tracker = ResponseTracker::new(&target_response.fields);
        self.node
            .driver
            .send_event(Event::ResponseStarted { id: self.id });
        let status = target_response.status;
        let fields = target_response.fields.clone();
        crate::telemetry::record_response_head(self.started_at.elapsed().as_secs_f64());
        self.send_reply(Reply::Response {
            status,
            fields,
            length: target_response.length,
            body: rx,
        });
        let stall = self.node.settings.request.stall;
        loop {
            let has_all_bytes = target_response.has_all_bytes();
            let part = tokio::select! {
                part = target_response.next(stall) => part,
                () = tx.closed(), if !has_all_bytes => return Err(Abort::CallerDisconnected),
                Some(action) = self.handle.rx.recv() => match action {
                    // Was sent before the policy knew that the response had started.
                    Action::Refuse { refusal, .. } if refusal.reason != Reason::BadKey => continue,
                    _ => BodyPart::Interrupted,
                },
            };
            match part {
                BodyPart::Chunk(mut bytes) => {
                    let received = bytes.len();
                    bytes.truncate(tracker.update(&bytes));
                    let is_foreign = bytes.len() < received;
                    if !bytes.is_empty() && tx.send(Part::Chunk(bytes)).await.is_err() {
                        return Err(Abort::CallerDisconnected);
                    }
                    if is_foreign {
                        drop(tx);
                        self.finish_interrupted(true).await;
                        return Ok(());
                    }
                }
                BodyPart::End if is_complete(&self.node, &tracker, &target_response).await => {
                    target_response.finish(&self.node.pool);
                    let tokens = tokens_used(status, &tracker);
                    let response = None;
                    let is_server_error = status.is_server_error();
                    self.finish_attempt(Outcome::Completed {
                        tokens,
                        response,
                        is_server_error,
                    });
                    // The caller may have disconnected.
                    let _ = tx.send(Part::End).await;
                    return Ok(());
                }
                BodyPart::End | BodyPart::Interrupted => {
                    drop(tx);
                    self.finish_interrupted(true).await;
                    return Ok(());
                }
            }
        }
    }

    /// Receives the complete response to a request that must run at most once, so that the
    /// policy can store it, and only then sends it to the caller.
    async fn buffer_response(&mut self, target_response: TargetResponse) -> Result<(), Abort> {
        let status = target_response.status;
        let fields = target_response.fields.clone();
        let length = target_response.length;
        let collected = self
            .run_unless_aborted(collect(self.node.clone(), target_response))
            .await?;
        let Some((body, tokens)) = collected else {
            self.finish_interrupted(false).await;
            return Ok(());
        };
        let stored = policy::StoredResponse {
            status: status.as_u16(),
            fields: to_stored_fields(&fields),
            body: body.clone(),
        };
        self.finish_attempt(Outcome::Completed {
            tokens,
            response: Some(Arc::new(stored)),
            is_server_error: status.is_server_error(),
        });
        let length = length.unwrap_or(body.len() as u64);
        self.send_reply(complete_reply(status, fields, length, body));
        Ok(())
    }

    /// Waits for `future`, unless the policy or the caller ends the exchange first.
    ///
    /// Once a request that must run at most once has been sent, neither a refusal nor a
    /// disconnected caller ends the exchange.
    async fn run_unless_aborted<T>(&mut self, future: impl Future<Output = T>) -> Result<T, Abort> {
        let mut future = std::pin::pin!(future);
        loop {
            let must_finish = self.at_most_once && self.sent;
            tokio::select! {
                output = &mut future => return Ok(output),
                Some(action) = self.handle.rx.recv() => match action {
                    Action::Refuse { refusal, .. } if must_finish => {
                        // The caller gets the refusal, but the response of the attempt
                        // must still be stored.
                        self.send_reply(Reply::Refused(refusal));
                    }
                    Action::Refuse { refusal, .. } => return Err(Abort::Refused(refusal)),
                    _ => return Err(Abort::Cancelled),
                },
                () = reply_receiver_dropped(&mut self.reply_tx), if !must_finish =>
                    return Err(Abort::CallerDisconnected),
            }
        }
    }

    /// Ends the exchange and sends the reply that `action` contains, if any.
    fn end_with(&mut self, action: Action) {
        match action {
            Action::Refuse { refusal, .. } => self.send_reply(Reply::Refused(refusal)),
            Action::Replay { response, .. } => {
                let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
                let fields = from_stored_fields(&response.fields);
                let length = response.body.len() as u64;
                self.send_reply(complete_reply(
                    status,
                    fields,
                    length,
                    response.body.clone(),
                ));
            }
            _ => {}
        }
    }

    fn abort(&mut self, cause: Abort) {
        match cause {
            Abort::Refused(refusal) => self.send_reply(Reply::Refused(refusal)),
            Abort::CallerDisconnected => self
                .node
                .driver
                .send_event(Event::CallerDisconnected { id: self.id }),
            // The policy ends a request without a refusal only after its response has started.
            Abort::Cancelled => {}
        }
    }

    /// Ends an attempt that was interrupted, once it is known whether its upstream has crashed.
    async fn finish_interrupted(&self, relayed: bool) {
        let crashed = match self.upstream {
            Some(address) => {
                let max_idle = attempt::MAX_IDLE_CONNECTIONS;
                let pool = &self.node.pool;
                let listening =
                    pool.probe_listening(address, EXAMINE_TIMEOUT, SETTLING_TIME, max_idle);
                listening.await == Listening::No
            }
            None => false,
        };
        log::info!(request:% = self.id.0, relayed, crashed; "answer broke off");
        self.finish_attempt(Outcome::Interrupted { relayed, crashed });
    }

    /// Returns the fingerprint of the request without its customer, which the policy adds.
    fn fingerprint(&self, outbound: &OutboundRequest) -> u64 {
        fingerprint::of_request(&Content {
            method: outbound.method.as_str(),
            host: &self.context.service,
            path_and_query: &outbound.path,
            customer: "",
            body: &outbound.body,
        })
    }

    fn finish_attempt(&self, outcome: Outcome) {
        self.node.driver.send_event(Event::AttemptFinished {
            id: self.id,
            outcome,
        });
    }

    fn send_reply(&mut self, reply: Reply) {
        if let Some(tx) = self.reply_tx.take() {
            // The caller may have disconnected.
            let _ = tx.send(reply);
        }
    }
}

/// Completes when the receiver of the reply has been dropped. Never completes if the reply
/// was already sent.
async fn reply_receiver_dropped(reply_tx: &mut Option<oneshot::Sender<Reply>>) {
    match reply_tx {
        Some(tx) => tx.closed().await,
        None => std::future::pending().await,
    }
}

/// Returns whether a response whose body has ended is complete.
async fn is_complete(node: &Node, tracker: &ResponseTracker, response: &TargetResponse) -> bool {
    tracker.is_complete() && (tracker.has_final_event() || response.confirm_end(&node.pool).await)
}

/// Returns the tokens that the request used. Error responses use none.
fn tokens_used(status: StatusCode, tracker: &ResponseTracker) -> Option<u64> {
    if status.is_client_error() || status.is_server_error() {
        Some(0)
    } else {
        tracker.tokens()
    }
}

/// Receives the complete body and returns it with the tokens used. Returns `None` if it is
/// incomplete or larger than `max_kept_bytes`.
async fn collect(
    node: Arc<Node>,
    mut target_response: TargetResponse,
) -> Option<(Bytes, Option<u64>)> {
    let stall: Duration = node.settings.request.stall;
    let mut tracker = ResponseTracker::new(&target_response.fields);
    let mut body = BytesMut::new();
    loop {
        match target_response.next(stall).await {
            BodyPart::Chunk(bytes) => {
                if tracker.update(&bytes) < bytes.len() {
                    return None;
                }
                body.extend_from_slice(&bytes);
                if body.len() > node.settings.request.max_kept_bytes {
                    return None;
                }
            }
            BodyPart::End if is_complete(&node, &tracker, &target_response).await => {
                let tokens = tokens_used(target_response.status, &tracker);
                target_response.finish(&node.pool);
                return Some((body.freeze(), tokens));
            }
            BodyPart::End | BodyPart::Interrupted => return None,
        }
    }
}

fn complete_reply(status: StatusCode, fields: HeaderMap, length: u64, bytes: Bytes) -> Reply {
    let (tx, body) = relay::channel();
    // The channel is empty, so it has capacity.
    let _ = tx.try_send(Part::Chunk(bytes));
    let _ = tx.try_send(Part::End);
    // An event stream that came whole is sent with its length too.
    Reply::Response {
        status,
        fields,
        length: Some(length),
        body,
    }
}

fn to_stored_fields(fields: &HeaderMap) -> Vec<(SmolStr, Bytes)> {
    fields
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (SmolStr::new(name.as_str()), value)
        })
        .collect()
}

fn from_stored_fields(fields: &[(SmolStr, Bytes)]) -> HeaderMap {
    let mut restored = HeaderMap::new();
    for (name, value) in fields {
        crate::peer::append_field(&mut restored, name, value);
    }
    restored
}
