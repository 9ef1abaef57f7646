//! Refuses requests with a quarantined suspect, and exchanges evidence and orders with other
//! instances. The decisions are in `sesamebarrow_routing::quarantine`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use sesamebarrow_routing::admit;
use sesamebarrow_routing::board::quarantine::{Change, Effects};
use sesamebarrow_routing::quarantine::message::{Blames, Orders};
use sesamebarrow_routing::quarantine::{Admission, Order, Suspect, Suspects};
use sesamebarrow_routing::token::Body;

use crate::crash;
use crate::intake::Job;
use crate::quarantine::trial::Permit;
use crate::reply::Refusal;
use crate::selection::AttemptHistory;
use crate::shared::Shared;

pub mod trial;

/// Checks that `job` has no quarantined suspect, unless it is granted a trial.
pub async fn admit(
    shared: &Arc<Shared>,
    job: &Job,
    history: &mut AttemptHistory,
) -> Result<(), Refusal> {
    if history.is_trial() {
        return check_barred(shared, job, history);
    }
    let now = shared.now();
    let admission = shared.board().quarantine.admission(now, &job.suspects);
    let trial = match admission {
        Admission::Allowed => return Ok(()),
        Admission::Quarantined(suspect) => return Err(refuse(shared, job, suspect)),
        Admission::TrialDue(trial) => trial,
    };
    // A forwarded request is no trial: its first instance does not know that it may not repeat it.
    let may_try = history.begun == 0 && !job.policy.from_instance && can_run(shared, job);
    if may_try && let Some(permit) = trial::request(shared, &trial).await {
        log::info!(
            request = job.id.as_str(), suspects = trial::format(&trial.suspects).as_str(),
            ambiguity = trial.ambiguity, parts = crash::format_parts(job).as_str();
            "trial"
        );
        history.trial = Some(permit);
    }
    // While the judges were asked, another suspect may have been quarantined.
    check_barred(shared, job, history)
}

fn check_barred(shared: &Shared, job: &Job, history: &AttemptHistory) -> Result<(), Refusal> {
    match barred(shared, job, history) {
        None => Ok(()),
        Some(suspect) => Err(refuse(shared, job, suspect)),
    }
}

/// Returns a quarantined suspect of `job` of which it is no trial.
fn barred(shared: &Shared, job: &Job, history: &AttemptHistory) -> Option<Suspect> {
    let tried = history.trial.as_ref().map_or(&[][..], Permit::tried);
    shared.board().quarantine.barred(&job.suspects, tried)
}

fn refuse(shared: &Shared, job: &Job, suspect: Suspect) -> Refusal {
    log_refused(shared, job, suspect);
    Refusal::Harmful
}

/// Returns whether an upstream of this region can run `job`, so that a trial is not granted in vain.
fn can_run(shared: &Shared, job: &Job) -> bool {
    let board = shared.board();
    let is_allowed = job.residency.allows(&board.identity.region);
    is_allowed && admit::service_load(&board, shared.now(), &job.policy.service).1 > 0
}

/// Returns whether `job`, for which a target was selected, may still be sent.
pub fn may_send(shared: &Shared, job: &Job, history: &AttemptHistory) -> bool {
    match barred(shared, job, history) {
        None => true,
        Some(suspect) => {
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

/// Logs the changes of orders and sends the messages.
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
    let address = SocketAddr::new(IpAddr::V4(ip), shared.listen.tokens.port());
    shared.tokens.send(address, body);
}

fn log_change(shared: &Shared, change: Change, order: &Order) {
    let change: &str = change.into();
    let crash_age = shared.now().saturating_sub(order.last_crash_at);
    log::warn!(
        change, kind:% = order.suspect.kind, suspect:% = format!("{:x}", order.suspect.id),
        all_customers = order.customer.is_none(), serial = order.serial, trials = order.trials,
        crash_age_ms = crash_age.as_millis(), crashes = trial::format_crashes(order).as_str();
        "quarantine changed"
    );
    metrics::counter!("sesamebarrow_quarantine_changes_total", "change" => change.to_owned())
        .increment(1);
}
