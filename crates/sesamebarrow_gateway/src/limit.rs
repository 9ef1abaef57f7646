//! Takes permits for requests to upstreams that have named a limit, and exchanges limits with other instances.
//! The decisions are in `sesamebarrow_routing::limit`.

use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::http::response::Parts;
use sesamebarrow_platform::head::{self, Expected};
use sesamebarrow_routing::admit::SelectedUpstream;
use sesamebarrow_routing::board::limit::{Effects, Permission};
use sesamebarrow_routing::limit::message::{self, Observed, PermitAnswer, PermitRequest, States};
use sesamebarrow_routing::limit::{Change, Statement};
use sesamebarrow_routing::token::Body;
use tokio::sync::oneshot;

use crate::intake::Job;
use crate::shared::Shared;

/// Times after which an unanswered request for a permit is sent again; datagrams may be lost.
const RESEND_TIMES: [Duration; 3] = [
    Duration::from_millis(25),
    Duration::from_millis(50),
    Duration::from_millis(100),
];

/// Time within which the owner of a limit must answer. Longer than the pause of an instance whose processor time
/// is granted in slices of a tenth of a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a request for a permit that was not answered may be made again.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Number of answers that are remembered, for requests that are sent again.
const MAX_REMEMBERED_ANSWERS: usize = 512;

/// Time for which an answer is remembered; longer than a request for a permit is sent again.
const ANSWER_LIFETIME: Duration = Duration::from_secs(1);

/// Answers to the requests of other instances, the oldest first.
type Answers = VecDeque<(Instant, SocketAddr, PermitAnswer)>;

/// Requests for permits.
#[derive(Default)]
pub struct Permits {
    next_id: AtomicU64,
    /// Requests that have not been answered, by id.
    pending: Mutex<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    /// Answers to the requests of other instances.
    answers: Mutex<Answers>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while a lock is held ends only one task. The tables remain usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes a permit for one request of `job` to `selected`. Returns whether the upstream has a limit.
///
/// # Errors
///
/// Returns the time until a permit is due, if there is none now.
pub async fn take_permit(
    shared: &Shared,
    job: &Job,
    selected: &SelectedUpstream,
) -> Result<bool, Duration> {
    let now = shared.now();
    let urgency = job.spec.urgency;
    let permission = shared.board().take_permit(now, selected.key, urgency);
    let (permission, asked) = match permission {
        Permission::Ask(ip, request) => (ask(shared, ip, request).await, true),
        permission => (permission, false),
    };
    let result = match permission {
        Permission::Unlimited => return Ok(false),
        Permission::Granted => Ok(true),
        Permission::Refused(due_in) => Err(due_in),
        Permission::Ask(..) => Err(UNANSWERED_RETRY_AFTER),
    };
    let outcome = match result {
        Ok(_) => "granted",
        Err(_) => "refused",
    };
    metrics::counter!("sesamebarrow_permits_total", "outcome" => outcome).increment(1);
    if let Err(due_in) = result
        && shared.log_limiter.allow(true)
    {
        log::info!(
            request = job.id.as_str(), upstream = selected.id.as_str(), asked, urgency,
            due_ms = due_in.as_millis();
            "limit of upstream is used up"
        );
    }
    result
}

/// Asks the instance at `ip` for a permit. Returns [`Permission::Ask`] if it does not answer.
async fn ask(shared: &Shared, ip: Ipv4Addr, request: PermitRequest) -> Permission {
    let permits = &shared.permits;
    let id = permits.next_id.fetch_add(1, Ordering::Relaxed);
    let request = PermitRequest { id, ..request };
    let (tx, mut rx) = oneshot::channel();
    lock(&permits.pending).insert(id, tx);
    let _pending = PendingPermit { permits, id };
    let asked_at = tokio::time::Instant::now();
    send(shared, ip, Body::PermitRequest(request));
    for resend_after in RESEND_TIMES {
        if let Ok(Ok(answer)) = tokio::time::timeout_at(asked_at + resend_after, &mut rx).await {
            return decide(shared, &request, &answer);
        }
        send(shared, ip, Body::PermitRequest(request));
    }
    if let Ok(Ok(answer)) = tokio::time::timeout_at(asked_at + ANSWER_TIMEOUT, &mut rx).await {
        return decide(shared, &request, &answer);
    }
    log::info!(owner:% = ip; "owner of a limit does not answer");
    shared.board().record_silent_owner(shared.now(), ip);
    Permission::Ask(ip, request)
}

fn decide(shared: &Shared, request: &PermitRequest, answer: &PermitAnswer) -> Permission {
    let mut board = shared.board();
    board.handle_permit_answer(shared.now(), request, answer)
}

/// Forgets a request for a permit when it is answered, times out, or its client leaves. A permit that is granted
/// later is lost.
struct PendingPermit<'a> {
    permits: &'a Permits,
    id: u64,
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        lock(&self.permits.pending).remove(&self.id);
    }
}

/// Handles a request for a permit, and returns the answer. One that was sent again gets the same answer.
pub fn handle_permit_request(
    shared: &Shared,
    request: &PermitRequest,
    from: SocketAddr,
) -> PermitAnswer {
    let now = Instant::now();
    let mut answers = lock(&shared.permits.answers);
    let is_old = |at: &Instant| now.duration_since(*at) > ANSWER_LIFETIME;
    while answers.front().is_some_and(|(at, ..)| is_old(at)) {
        answers.pop_front();
    }
    let known = answers
        .iter()
        .find(|(_, sender, answer)| *sender == from && answer.id == request.id);
    if let Some((_, _, answer)) = known {
        return *answer;
    }
    let answer = shared.board().handle_permit_request(shared.now(), request);
    if answers.len() >= MAX_REMEMBERED_ANSWERS {
        answers.pop_front();
    }
    answers.push_back((now, from, answer));
    answer
}

/// Handles the answer to a request for a permit.
pub fn handle_permit_answer(shared: &Shared, answer: PermitAnswer) {
    if let Some(tx) = lock(&shared.permits.pending).remove(&answer.id) {
        // Fails if the client left just now.
        let _ = tx.send(answer);
    }
}

/// Returns whether a request for which `has_permit` says whether a permit was taken may still be sent.
pub fn may_send(shared: &Shared, selected: &SelectedUpstream, has_permit: bool) -> bool {
    has_permit || shared.board().is_unlimited(selected.key)
}

/// Records which limit `selected` names in the head of its answer to `job`, which was sent at `sent_at`.
pub fn record(
    shared: &Shared,
    job: &Job,
    selected: &SelectedUpstream,
    parts: &Parts,
    expected: Expected<'_>,
    sent_at: Duration,
) {
    let statement = match head::read_limit(parts.status, &parts.headers, expected) {
        Ok(statement) => statement,
        Err(error) => {
            if shared.log_limiter.allow(true) {
                log::warn!(
                    request = job.id.as_str(), upstream = selected.id.as_str(), error:% = error;
                    "cannot read limit"
                );
            }
            Statement::Nothing
        }
    };
    let by_refusal = head::says_not_run(parts.status, &parts.headers);
    let now = shared.now();
    let effects = shared
        .board()
        .observe_limit(now, selected.key, statement, by_refusal, sent_at);
    apply(shared, effects, job.id.as_str());
}

/// Counts a request to an upstream with a limit, and how often it had been sent before.
pub fn count_send(job: &Job, sent: u32) {
    let attempt = match (sent, job.policy.from_instance) {
        (0, false) => "first",
        (0, true) => "forwarded",
        _ => "repeated",
    };
    metrics::counter!("sesamebarrow_limited_sends_total", "attempt" => attempt).increment(1);
}

/// Logs a rate of another instance that is none; the board ignores it.
fn warn_if_invalid(rate: Option<f64>) {
    if !message::is_valid(rate) {
        log::warn!(rate = rate.unwrap_or_default(); "invalid rate in a datagram about limits");
    }
}

/// Handles what an answer to another instance said.
pub fn handle_observed(shared: &Shared, observed: &Observed) {
    warn_if_invalid(observed.rate);
    let effects = shared.board().handle_observed(shared.now(), observed);
    apply(shared, effects, "");
}

/// Handles what another instance knows about limits.
pub fn handle_states(shared: &Shared, states: &States) {
    states.entries.iter().for_each(|s| warn_if_invalid(s.rate));
    let effects = shared.board().handle_limit_states(shared.now(), states);
    apply(shared, effects, "");
}

/// Sends limits to the instance at `ip` if `digest`, that of its own, differs.
pub fn send_states(shared: &Shared, ip: Ipv4Addr, digest: Option<u32>) {
    let message = shared.board().limit_message(ip, digest);
    if let Some(body) = message {
        send(shared, ip, body);
    }
}

/// Sends messages and logs changes. `request` is the request whose answer showed them; empty if another instance
/// did.
fn apply(shared: &Shared, effects: Effects, request: &str) {
    for (ip, body) in effects.messages {
        send(shared, ip, body);
    }
    for (run, change) in effects.changes {
        log_change(shared, run, change, request);
    }
}

fn send(shared: &Shared, ip: Ipv4Addr, body: Body) {
    let address = SocketAddr::new(IpAddr::V4(ip), shared.listen.tokens.port());
    shared.tokens.send(address, body);
}

fn log_change(shared: &Shared, run: u64, change: Change, request: &str) {
    let board = shared.board();
    let mut upstreams = board.upstreams.all.values();
    let entry = upstreams
        .find(|u| u.run_hash == run)
        .map(|u| u.entry.clone());
    let limit = board.limits.in_force(run);
    let rate = limit.and_then(|limit| limit.rate).unwrap_or_default();
    drop(board);
    let change: &str = change.into();
    metrics::counter!("sesamebarrow_upstream_changes_total", "change" => change.to_owned())
        .increment(1);
    if shared.log_limiter.allow(true) {
        let by_other = request.is_empty();
        log::info!(
            request, upstream = entry.as_ref().map_or("unknown", |e| e.id.as_str()),
            service = entry.as_ref().map_or("unknown", |e| e.service.as_str()), change, rate, by_other;
            "limit of an upstream changed"
        );
    }
}
