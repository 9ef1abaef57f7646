//! Carries one request from its head to its final answer, as the policy says.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, StatusCode};
use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::{self as policy, Action, Event, Head, Outcome, Refusal, RequestId};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::{self, Answer, Begun, Call, Envelope, Part, Way};
use crate::driver::Ticket;
use crate::node::Node;
use crate::problem::Problem;
use crate::relay::{self, Broken, Watcher};

/// Reads the rest of a request once its head has passed.
pub type ReadCall = Pin<Box<dyn Future<Output = Result<Call, Problem>> + Send>>;

/// The final answer to a request.
pub enum Reply {
    /// An answer; its body may still be on the way.
    Answer {
        /// HTTP status.
        status: StatusCode,
        /// Fields.
        fields: HeaderMap,
        /// The body's chunks; an `Err` is a body that broke off.
        body: mpsc::Receiver<Result<Bytes, Broken>>,
    },
    /// A refusal.
    Refused(Refusal),
    /// The caller's own fault.
    Problem(Problem),
}

/// Why an exchange ends before its attempt does.
enum Interrupt {
    Refused(Refusal),
    Cancelled,
    CallerGone,
}

/// Runs a request. The exchange goes on by itself where a request runs at most once
/// and its caller goes away.
pub async fn run(node: Arc<Node>, head: Head, read: ReadCall) -> Option<Reply> {
    let (tx, rx) = oneshot::channel();
    let envelope = Envelope {
        service: head.service.clone(),
        ticket: head.ticket.clone(),
        deadline: head.time_left,
    };
    let ticket = node.driver.arrive(head);
    let exchange = Exchange {
        node,
        id: ticket.id,
        ticket,
        reply: Some(tx),
        envelope,
        began: Instant::now(),
        once: false,
        sent: false,
    };
    tokio::spawn(exchange.drive(read));
    rx.await.ok()
}

struct Exchange {
    node: Arc<Node>,
    id: RequestId,
    ticket: Ticket,
    reply: Option<oneshot::Sender<Reply>>,
    envelope: Envelope,
    began: Instant,
    /// Whether the request runs at most once.
    once: bool,
    /// Whether bytes of the attempt in hand may have left.
    sent: bool,
}

impl Exchange {
    async fn drive(mut self, mut read: ReadCall) {
        let mut call: Option<Call> = None;
        while let Some(action) = self.ticket.rx.recv().await {
            let (target, at_most_once) = match action {
                Action::Dispatch {
                    target,
                    at_most_once,
                    ..
                } => (target, at_most_once),
                other => {
                    self.end(other);
                    return;
                }
            };
            self.once = at_most_once;
            if call.is_none() {
                call = self.read_call(&mut read).await;
            }
            let Some(call) = &call else {
                return;
            };
            if let Err(interrupt) = self.attempt(target, call).await {
                self.interrupted(interrupt);
                return;
            }
        }
    }

    /// Reads the call's body; on a fault of the caller's the exchange is over.
    async fn read_call(&mut self, read: &mut ReadCall) -> Option<Call> {
        let result = self.race(read).await;
        match result {
            Ok(Ok(call)) => Some(call),
            Ok(Err(problem)) => {
                self.node
                    .driver
                    .tell(Event::CallerDisconnected { id: self.id });
                let problem = problem.doubted(self.envelope.ticket.is_some());
                self.say(Reply::Problem(problem));
                None
            }
            Err(interrupt) => {
                self.interrupted(interrupt);
                None
            }
        }
    }

    async fn attempt(&mut self, target: Target, call: &Call) -> Result<(), Interrupt> {
        self.sent = false;
        let node = self.node.clone();
        let once = self.once;
        let way = self.race(attempt::open(&node, &target, once)).await?;
        let Some(way) = way else {
            self.finish(Outcome::NotSent);
            return Ok(());
        };
        self.node.driver.tell(Event::ReadyToSend { id: self.id });
        match self.ticket.rx.recv().await {
            Some(Action::SendRequest { .. }) => {}
            Some(Action::Refuse { refusal, .. }) => return Err(Interrupt::Refused(refusal)),
            Some(Action::Dispatch { target, .. }) => {
                // The target no longer stood; another was chosen.
                return Box::pin(self.attempt(target, call)).await;
            }
            _ => return Err(Interrupt::Cancelled),
        }
        self.sent = true;
        self.send(way, call).await
    }

    async fn send(&mut self, way: Way, call: &Call) -> Result<(), Interrupt> {
        let mut envelope = self.envelope.clone();
        envelope.deadline = envelope.deadline.saturating_sub(self.began.elapsed());
        match self.race(attempt::send(way, call, &envelope)).await? {
            Begun::Answer(answer) if self.once => self.keep(*answer).await,
            Begun::Answer(answer) => self.relay(*answer).await,
            Begun::Refused(refusal) => {
                self.finish(Outcome::Refused(refusal));
                Ok(())
            }
            Begun::NotSent => {
                self.finish(Outcome::NotSent);
                Ok(())
            }
            Begun::Broken => {
                self.finish(Outcome::Interrupted { relayed: false });
                Ok(())
            }
        }
    }

    /// Passes an answer on as it comes.
    async fn relay(&mut self, mut answer: Answer) -> Result<(), Interrupt> {
        let (tx, rx) = relay::channel();
        let mut watcher = Watcher::new(&answer.fields);
        self.node
            .driver
            .tell(Event::ResponseStarted { id: self.id });
        let status = answer.status;
        let fields = answer.fields.clone();
        crate::telemetry::note_head(self.began.elapsed().as_secs_f64());
        self.say(Reply::Answer {
            status,
            fields,
            body: rx,
        });
        let stall = self.node.settings.request.stall;
        loop {
            let part = tokio::select! {
                part = answer.next(stall) => part,
                () = tx.closed() => return Err(Interrupt::CallerGone),
                Some(Action::Cancel { .. }) = self.ticket.rx.recv() => Part::Broken,
            };
            match part {
                Part::Chunk(bytes) => {
                    watcher.see(&bytes);
                    if tx.send(Ok(bytes)).await.is_err() {
                        return Err(Interrupt::CallerGone);
                    }
                }
                Part::End if watcher.is_whole() => {
                    answer.finish(&self.node.pool);
                    let tokens = spent(status, &watcher);
                    let response = None;
                    self.finish(Outcome::Completed { tokens, response });
                    return Ok(());
                }
                Part::End | Part::Broken => {
                    // The caller must see that the answer is not whole.
                    let _ = tx.send(Err(Broken)).await;
                    self.finish(Outcome::Interrupted { relayed: true });
                    return Ok(());
                }
            }
        }
    }

    /// Takes in the whole answer to a request that runs at most once, so that it can be
    /// kept, and only then passes it on.
    async fn keep(&mut self, answer: Answer) -> Result<(), Interrupt> {
        let status = answer.status;
        let fields = answer.fields.clone();
        let collected = self.race(collect(self.node.clone(), answer)).await?;
        let Some((body, tokens)) = collected else {
            self.finish(Outcome::Interrupted { relayed: false });
            return Ok(());
        };
        let kept = policy::StoredResponse {
            status: status.as_u16(),
            fields: keep_fields(&fields),
            body: body.clone(),
        };
        self.finish(Outcome::Completed {
            tokens,
            response: Some(Arc::new(kept)),
        });
        self.say(whole(status, fields, body));
        Ok(())
    }

    /// Waits for `work`, unless the policy or the caller ends the exchange before.
    async fn race<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Interrupt> {
        let mut work = std::pin::pin!(work);
        loop {
            let goes_on = self.once && self.sent;
            tokio::select! {
                output = &mut work => return Ok(output),
                Some(action) = self.ticket.rx.recv() => match action {
                    Action::Refuse { refusal, .. } if goes_on => {
                        // The caller has its answer; the attempt's is still to be kept.
                        self.say(Reply::Refused(refusal));
                    }
                    Action::Refuse { refusal, .. } => return Err(Interrupt::Refused(refusal)),
                    _ => return Err(Interrupt::Cancelled),
                },
                () = closed(&mut self.reply), if !goes_on => return Err(Interrupt::CallerGone),
            }
        }
    }

    /// Ends on an action that is an answer.
    fn end(&mut self, action: Action) {
        match action {
            Action::Refuse { refusal, .. } => self.say(Reply::Refused(refusal)),
            Action::Replay { response, .. } => {
                let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
                let fields = restore_fields(&response.fields);
                self.say(whole(status, fields, response.body.clone()));
            }
            _ => {}
        }
    }

    fn interrupted(&mut self, interrupt: Interrupt) {
        match interrupt {
            Interrupt::Refused(refusal) => self.say(Reply::Refused(refusal)),
            Interrupt::CallerGone => self
                .node
                .driver
                .tell(Event::CallerDisconnected { id: self.id }),
            // The caller sees its connection end; the key is no longer in force.
            Interrupt::Cancelled => {}
        }
    }

    fn finish(&self, outcome: Outcome) {
        self.node.driver.tell(Event::AttemptFinished {
            id: self.id,
            outcome,
        });
    }

    fn say(&mut self, reply: Reply) {
        if let Some(tx) = self.reply.take() {
            // A caller that is gone needs no answer.
            let _ = tx.send(reply);
        }
    }
}

/// Completes when nobody waits for the reply any more.
async fn closed(reply: &mut Option<oneshot::Sender<Reply>>) {
    match reply {
        Some(tx) => tx.closed().await,
        None => std::future::pending().await,
    }
}

/// Returns the tokens spent; an answer that is an error costs nothing.
fn spent(status: StatusCode, watcher: &Watcher) -> Option<u64> {
    if status.is_client_error() || status.is_server_error() {
        Some(0)
    } else {
        watcher.tokens()
    }
}

async fn collect(node: Arc<Node>, mut answer: Answer) -> Option<(Bytes, Option<u64>)> {
    let stall: Duration = node.settings.request.stall;
    let mut watcher = Watcher::new(&answer.fields);
    let mut body = BytesMut::new();
    loop {
        match answer.next(stall).await {
            Part::Chunk(bytes) => {
                watcher.see(&bytes);
                body.extend_from_slice(&bytes);
                if body.len() > node.settings.request.max_kept_bytes {
                    return None;
                }
            }
            Part::End if watcher.is_whole() => {
                let tokens = spent(answer.status, &watcher);
                answer.finish(&node.pool);
                return Some((body.freeze(), tokens));
            }
            Part::End | Part::Broken => return None,
        }
    }
}

fn whole(status: StatusCode, fields: HeaderMap, bytes: Bytes) -> Reply {
    let (tx, body) = relay::channel();
    // The channel is empty, so that there is room.
    let _ = tx.try_send(Ok(bytes));
    Reply::Answer {
        status,
        fields,
        body,
    }
}

fn keep_fields(fields: &HeaderMap) -> Vec<(SmolStr, Bytes)> {
    fields
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (SmolStr::new(name.as_str()), value)
        })
        .collect()
}

fn restore_fields(fields: &[(SmolStr, Bytes)]) -> HeaderMap {
    let mut restored = HeaderMap::new();
    for (name, value) in fields {
        crate::peer::add_field(&mut restored, name, value);
    }
    restored
}
