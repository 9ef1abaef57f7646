//! Asks dispatchers, and answers for the services that this instance dispatches.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sesamebarrow_routing::dispatch::message::{
    Answer, Decision, Event, Notice, Notices, PlaceRequest,
};
use sesamebarrow_routing::token::Body;
use tokio::sync::mpsc;

use crate::dispatch::lock;
use crate::dispatch::place::{self, Posted};
use crate::shared::Shared;

/// Time after which a request is sent again; datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(40);

/// Number of times that a request is sent until the dispatcher counts as silent. Together they take longer than the
/// pause of an instance whose processor time is granted in slices of a tenth of a second.
const MAX_SENDS: u32 = 3;

/// Time after which a waiting request is asked for again, so that both sides know that the other still does.
const RENEW_AFTER: Duration = Duration::from_millis(500);

/// Time between two offers of places to waiting requests.
const SERVE_INTERVAL: Duration = Duration::from_millis(10);

/// Forgets a request when it is decided, times out, or its client leaves. The dispatcher is then told, unless it
/// has decided.
struct PendingRequest<'a> {
    shared: &'a Shared,
    dispatcher: Ipv4Addr,
    id: u64,
    decided: bool,
}

impl Drop for PendingRequest<'_> {
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

/// Sends a request and waits for the decision. Returns `None` if the dispatcher does not answer.
pub async fn send(shared: &Shared, dispatcher: Ipv4Addr, req: &PlaceRequest) -> Option<Answer> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    lock(&shared.dispatches.pending).insert(req.id, tx);
    let mut pending = PendingRequest {
        shared,
        dispatcher,
        id: req.id,
        decided: false,
    };
    let mut unanswered = 0;
    loop {
        deliver(shared, dispatcher, Body::PlaceRequest(req.clone()));
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
        let port = shared.listen.tokens.port();
        shared
            .tokens
            .send(SocketAddr::new(IpAddr::V4(to), port), body);
        return;
    }
    match body {
        Body::PlaceRequest(req) => {
            let answer = shared.board().handle_place_request(shared.now(), to, &req);
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

/// Handles a request of the instance at `from`, and returns the answer.
pub fn handle_place_request(shared: &Shared, from: Ipv4Addr, req: &PlaceRequest) -> Answer {
    let answer = shared.board().handle_place_request(shared.now(), from, req);
    notify_of_waiting(shared, &answer);
    answer
}

/// Handles the answer to a request.
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
