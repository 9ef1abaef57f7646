//! Asks dispatchers, and answers for the services that this instance dispatches.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sesamebarrow_routing::dispatch::message::{Answer, Ask, Decision, Event, Notice, Notices};
use sesamebarrow_routing::token::Body;
use tokio::sync::mpsc;

use crate::dispatch::lock;
use crate::dispatch::place::{self, Posted};
use crate::shared::Shared;

/// Time after which an ask is sent again; datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(40);

/// Number of times that an ask is sent until the dispatcher counts as silent. Together they take longer than the
/// pause of an instance whose processor time is granted in slices of a tenth of a second.
const MAX_SENDS: u32 = 3;

/// Time after which a waiting request is asked for again, so that both sides know that the other still does.
const RENEW_AFTER: Duration = Duration::from_millis(500);

/// Time between two offers of places to waiting requests.
const SERVE_INTERVAL: Duration = Duration::from_millis(10);

/// Forgets an ask when it is decided, times out, or its client leaves. The dispatcher is then told, unless it
/// has decided.
struct PendingAsk<'a> {
    shared: &'a Shared,
    dispatcher: Ipv4Addr,
    id: u64,
    decided: bool,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        lock(&self.shared.dispatches.pending).remove(&self.id);
        if !self.decided {
            let notice = Notice {
                id: self.id,
                event: Event::Ended.into(),
                ..Notice::default()
            };
            place::post(self.shared, self.dispatcher, Posted::Notice(notice));
        }
    }
}

/// Sends an ask and waits for the decision. Returns `None` if the dispatcher does not answer.
pub async fn send(shared: &Shared, dispatcher: Ipv4Addr, ask: &Ask) -> Option<Answer> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    lock(&shared.dispatches.pending).insert(ask.id, tx);
    let mut pending = PendingAsk {
        shared,
        dispatcher,
        id: ask.id,
        decided: false,
    };
    let mut unanswered = 0;
    loop {
        deliver(shared, dispatcher, Body::Ask(ask.clone()));
        unanswered += 1;
        let mut wait = RESEND_AFTER;
        while let Ok(answer) = tokio::time::timeout(wait, rx.recv()).await {
            let answer = answer?;
            if answer.decision() != Decision::Waiting {
                pending.decided = true;
                return Some(answer);
            }
            unanswered = 0;
            wait = RENEW_AFTER;
        }
        if unanswered >= MAX_SENDS {
            log::info!(dispatcher:% = dispatcher; "dispatcher does not answer");
            let now = shared.now();
            shared.board().record_silent_dispatcher(now, dispatcher);
            return None;
        }
    }
}

/// Sends a datagram, or handles it if it is for this instance.
pub fn deliver(shared: &Shared, to: Ipv4Addr, body: Body) {
    if to != shared.identity.ip {
        let port = shared.settings.listen.tokens.port();
        shared
            .tokens
            .send(SocketAddr::new(IpAddr::V4(to), port), body);
        return;
    }
    match body {
        Body::Ask(ask) => {
            let answer = shared.board().handle_ask(shared.now(), to, &ask);
            notify_of_waiting(shared, &answer);
            handle_answer(shared, answer);
        }
        Body::Answer(answer) => handle_answer(shared, answer),
        _ => {}
    }
}

fn notify_of_waiting(shared: &Shared, answer: &Answer) {
    if answer.decision() == Decision::Waiting {
        shared.dispatches.queue_filled.notify_one();
    }
}

/// Handles an ask of the instance at `from`, and returns the answer.
pub fn handle_ask(shared: &Shared, from: Ipv4Addr, ask: &Ask) -> Answer {
    let answer = shared.board().handle_ask(shared.now(), from, ask);
    notify_of_waiting(shared, &answer);
    answer
}

/// Handles the answer to an ask.
pub fn handle_answer(shared: &Shared, answer: Answer) {
    let pending = lock(&shared.dispatches.pending);
    if let Some(tx) = pending.get(&answer.id) {
        // Fails if the client left just now.
        let _ = tx.send(answer);
    }
}

/// Handles what another instance reports.
pub fn handle_notices(shared: &Shared, from: Ipv4Addr, notices: &Notices) {
    shared.board().handle_notices(shared.now(), from, notices);
}

/// Offers places to waiting requests while there are any, until the process ends.
pub async fn serve_queue(shared: Arc<Shared>) {
    loop {
        shared.dispatches.queue_filled.notified().await;
        loop {
            tokio::time::sleep(SERVE_INTERVAL).await;
            let now = shared.now();
            let (answers, waits) = shared.board().serve_waiting(now);
            for (ip, answer) in answers {
                deliver(&shared, ip, Body::Answer(answer));
            }
            if !waits {
                break;
            }
        }
    }
}
