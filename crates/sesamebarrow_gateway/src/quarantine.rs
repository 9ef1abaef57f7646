//! Refuses requests with a quarantined suspect, and exchanges evidence and orders with other
//! instances. The decisions are in `sesamebarrow_routing::quarantine`.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamebarrow_routing::admit;
use sesamebarrow_routing::board::quarantine::{Change, Effects, Judge};
use sesamebarrow_routing::quarantine::message::{Blames, Orders, TrialGrant, TrialRequest};
use sesamebarrow_routing::quarantine::{Admission, Order, Suspect, Suspects};
use sesamebarrow_routing::token::Body;
use tokio::sync::oneshot;

use crate::intake::Job;
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;

/// Time within which the first judge of a suspect must answer; more than two round trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// A request for a trial that has not been answered.
struct PendingTrial {
    suspect: Suspect,
    tx: oneshot::Sender<bool>,
}

/// The requests for trials that have not been answered, by id. At most one for each suspect.
#[derive(Default)]
pub struct Trials {
    next_id: AtomicU64,
    pending: Mutex<HashMap<u64, PendingTrial>>,
}

impl Trials {
    fn pending(&self) -> MutexGuard<'_, HashMap<u64, PendingTrial>> {
        // A panic while the lock is held ends only one task. The table remains usable.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn admission(shared: &Shared, job: &Job) -> Admission {
    let now = shared.now();
    shared.board().quarantine.admission(now, &job.suspects)
}

/// Checks that `job` has no quarantined suspect, unless it is granted a trial.
pub async fn admit(
    shared: &Arc<Shared>,
    job: &Job,
    history: &mut AttemptHistory,
) -> Result<(), Refusal> {
    if history.is_trial {
        return Ok(());
    }
    let suspect = match admission(shared, job) {
        Admission::Allowed => return Ok(()),
        Admission::Quarantined(suspect) => suspect,
        Admission::TrialDue(suspect) => {
            // A forwarded request is no trial: its first instance does not know that it may not repeat it.
            let may_try = history.begun == 0 && !job.policy.from_instance && can_run(shared, job);
            if may_try && ask_for_trial(shared, suspect).await {
                log::info!(
                    request = job.id.as_str(), kind:% = suspect.kind,
                    suspect:% = format!("{:x}", suspect.id); "trial"
                );
                history.is_trial = true;
                return Ok(());
            }
            suspect
        }
    };
    log_refused(shared, job, suspect);
    Err(Refusal::Harmful)
}

/// Returns whether an upstream of this region can run `job`, so that a trial is not granted in vain.
fn can_run(shared: &Shared, job: &Job) -> bool {
    let board = shared.board();
    let is_allowed = job.residency.allows(&board.identity.region);
    is_allowed && admit::service_load(&board, shared.now(), &job.policy.service).1 > 0
}

/// Returns whether `job`, for which a target was selected, may still be sent.
pub fn may_send(shared: &Shared, job: &Job, history: &AttemptHistory) -> bool {
    if history.is_trial {
        return true;
    }
    match admission(shared, job) {
        Admission::Allowed => true,
        Admission::Quarantined(suspect) | Admission::TrialDue(suspect) => {
            log_refused(shared, job, suspect);
            false
        }
    }
}

/// Waits until `job` has a quarantined suspect. Its upstream may not have begun to answer it, and then
/// drops it when the connection is closed.
pub async fn wait_until_bound(shared: &Shared, job: &Job, history: &AttemptHistory) {
    let mut changed = shared.quarantine_changed.subscribe();
    // An order may have arrived since the last check, before this task subscribed.
    while may_send(shared, job, history) {
        if changed.changed().await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }
}

/// Returns whether `job`, which met a crash, must not be repeated.
pub fn is_suspected(shared: &Shared, job: &Job) -> bool {
    shared.board().quarantine.is_suspected(&job.suspects)
}

fn log_refused(shared: &Shared, job: &Job, suspect: Suspect) {
    if !shared.log_limiter.allow(true) {
        return;
    }
    let now = shared.now();
    let board = shared.board();
    let order = board.quarantine.orders().find(|o| o.suspect == suspect);
    let crash_age_ms = order.map_or(0, |o| now.saturating_sub(o.last_crash_at).as_millis());
    log::info!(
        request = job.id.as_str(), kind:% = suspect.kind, suspect:% = format!("{:x}", suspect.id),
        crash_age_ms; "request is quarantined"
    );
}

/// Asks the first judge of `suspect` for a trial. Returns whether it was granted.
async fn ask_for_trial(shared: &Arc<Shared>, suspect: Suspect) -> bool {
    let judges = shared.board().judges(shared.now(), suspect);
    let ip = match judges.first() {
        Some(Judge::Other(ip)) => *ip,
        Some(Judge::Own) => return grant_trial(shared, suspect),
        None => return false,
    };
    let trials = &shared.trials;
    let id = trials.next_id.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    {
        let mut pending = trials.pending();
        if pending.values().any(|p| p.suspect == suspect) {
            return false;
        }
        pending.insert(id, PendingTrial { suspect, tx });
    }
    let _guard = PendingGuard { trials, id };
    let request = TrialRequest::new(id, suspect);
    send(shared, ip, Body::TrialRequest(request));
    let granted = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
    matches!(granted, Ok(Ok(true)))
}

/// Forgets a request for a trial when it is answered, times out, or its client leaves.
struct PendingGuard<'a> {
    trials: &'a Trials,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.trials.pending().remove(&self.id);
    }
}

fn grant_trial(shared: &Shared, suspect: Suspect) -> bool {
    let (granted, effects) = shared.board().grant_trial(shared.now(), suspect);
    apply(shared, effects);
    granted
}

/// Records that an upstream's `run` crashed under a request of this instance, and sends blame to the judges.
pub fn record_crash(shared: &Shared, run: u64, suspects: &Suspects) {
    let now = shared.now();
    let effects = shared.board().record_crash(now, run, suspects);
    apply(shared, effects);
}

/// Records that `job` was answered completely.
pub fn record_answer(shared: &Shared, job: &Job) {
    let now = shared.now();
    let effects = shared.board().record_answer(now, &job.suspects);
    apply(shared, effects);
}

/// Sends blame that is due to the judges.
pub fn send_blame(shared: &Shared) {
    let messages = shared.board().take_blame_messages(shared.now());
    send_all(shared, messages);
}

/// Sends all orders to the instance at `ip` if `digest`, that of its own, differs.
pub fn send_orders(shared: &Shared, ip: Ipv4Addr, digest: Option<u32>) {
    let messages = shared.board().order_messages(shared.now(), ip, digest);
    send_all(shared, messages);
}

/// Handles blame for suspects that this instance judges.
pub fn handle_blames(shared: &Shared, blames: &Blames) {
    let effects = shared.board().handle_blames(shared.now(), blames);
    apply(shared, effects);
}

/// Handles orders of another instance.
pub fn handle_orders(shared: &Shared, orders: &Orders) {
    let effects = shared.board().handle_orders(shared.now(), orders);
    apply(shared, effects);
}

/// Handles a request for a trial, and returns the answer.
pub fn handle_trial_request(shared: &Shared, request: TrialRequest) -> TrialGrant {
    TrialGrant {
        id: request.id,
        granted: request.decode().is_some_and(|s| grant_trial(shared, s)),
    }
}

/// Handles the answer to a request for a trial.
pub fn handle_trial_grant(shared: &Shared, grant: TrialGrant) {
    let pending = shared.trials.pending().remove(&grant.id);
    if let Some(pending) = pending {
        // Fails if the client left just now.
        let _ = pending.tx.send(grant.granted);
    }
}

fn apply(shared: &Shared, effects: Effects) {
    if !effects.changes.is_empty() {
        shared.quarantine_changed.send_replace(());
    }
    for (change, order) in effects.changes {
        log_change(shared, change, &order);
    }
    send_all(shared, effects.messages);
}

fn send_all(shared: &Shared, messages: Vec<(Ipv4Addr, Body)>) {
    for (ip, body) in messages {
        send(shared, ip, body);
    }
}

fn send(shared: &Shared, ip: Ipv4Addr, body: Body) {
    let address = SocketAddr::new(IpAddr::V4(ip), shared.settings.listen.tokens.port());
    shared.tokens.send(address, body);
}

fn log_change(shared: &Shared, change: Change, order: &Order) {
    let change: &str = change.into();
    let crash_age = shared.now().saturating_sub(order.last_crash_at);
    log::warn!(
        change, kind:% = order.suspect.kind, suspect:% = format!("{:x}", order.suspect.id),
        all_customers = order.customer.is_none(), serial = order.serial, trials = order.trials,
        crash_age_ms = crash_age.as_millis(); "quarantine changed"
    );
    metrics::counter!("sesamebarrow_quarantine_changes_total", "change" => change.to_owned())
        .increment(1);
}
