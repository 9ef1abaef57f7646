//! Makes attempts to run a job until one returns a response or no retry is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, Uri, Version};
use sesamebarrow_platform::head::{self, ResponseKind};
use sesamebarrow_routing::admit::{self, MIN_RETRY_AFTER, SelectedUpstream};
use sesamebarrow_routing::upstream::AttemptOutcome;
use smol_str::SmolStr;

use crate::attempt::{Attempt, Target};
use crate::crash;
use crate::dispatch;
use crate::framing::Framing;
use crate::hop;
use crate::intake::Job;
use crate::limit;
use crate::meter::MeteredBody;
use crate::notice;
use crate::pool;
use crate::quarantine;
use crate::reply::Refusal;
use crate::selection::{self, AttemptHistory};
use crate::sends::Evidence;
use crate::shared::Shared;
use crate::telemetry;

/// Maximum time to connect to an upstream of this region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time to connect to an instance of another region; more than two round trips.
const HOP_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of attempts for one request, including those that cannot connect but not those whose
/// connection is refused. The route's `max_attempts` limits only the attempts that may have run.
const MAX_ATTEMPTS_BEGUN: u32 = 4;

/// Maximum number of attempts for one request whose connection is refused, which takes no time. As many crashed
/// upstreams may still be published.
const MAX_REFUSED_CONNECTIONS: u32 = 16;

/// Maximum number of upstreams that may crash under one request.
const MAX_CRASHES_PER_REQUEST: u32 = 2;

/// Minimum remaining time for a retry.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// A response whose head was received.
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: Response<()>,
    /// The body, which is still being received.
    pub body: MeteredBody,
    /// What ends the body.
    pub framing: Framing,
    /// When something of it was last received.
    pub heard_at: Instant,
    /// The attempt that it belongs to.
    pub attempt: Attempt,
}

/// Result of an attempt.
enum AttemptResult {
    Response(Box<UpstreamResponse>),
    /// The upstream ran the request and returned a server error, which is relayed if no retry
    /// succeeds.
    Failed(Box<UpstreamResponse>),
    /// The request has not run. Contains the reason and the time after which to retry.
    NotRun(&'static str, Duration),
    /// The request has not run; it crashes upstreams.
    Harmful,
    /// The request may have run.
    Broken(&'static str),
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

/// Makes attempts until one returns a response.
pub async fn make_attempts(
    shared: &Arc<Shared>,
    job: &Job,
    history: &mut AttemptHistory,
) -> Result<UpstreamResponse, Refusal> {
    make_attempts_after(shared, job, history, job.last_event.as_ref()).await
}

/// Makes attempts until one returns a response. A stream continues after `last_event`.
pub async fn make_attempts_after(
    shared: &Arc<Shared>,
    job: &Job,
    history: &mut AttemptHistory,
    last_event: Option<&SmolStr>,
) -> Result<UpstreamResponse, Refusal> {
    let mut failed_response: Option<Box<UpstreamResponse>> = None;
    let mut last_refusal = None;
    loop {
        if history.begun > 0 {
            history.finish_examination().await;
            if !try_spend_retry(shared, job, history) {
                return final_result(failed_response, last_refusal);
            }
        }
        if let Err(refusal) = quarantine::admit(shared, job, history).await {
            let refusal = harmful_refusal(history, last_refusal, refusal);
            return final_result(failed_response, Some(refusal));
        }
        let target = match selection::select_permitted(shared, job, history).await {
            Ok(target) => target,
            Err(refusal) => return final_result(failed_response, last_refusal.or(Some(refusal))),
        };
        let result = make_attempt(shared, job, &target, history, last_event).await;
        let (outcome, refusal) = match result {
            AttemptResult::Response(response) => return Ok(*response),
            AttemptResult::Failed(response) => {
                failed_response = Some(response);
                ("failed", Refusal::Unknown("upstream-failed"))
            }
            AttemptResult::NotRun(reason, after) => {
                let min = after.max(selection::rest_of_service(shared, job));
                let after = selection::jittered_retry_after(min);
                (reason, Refusal::NotRun(reason, after))
            }
            AttemptResult::Harmful => {
                let refusal = harmful_refusal(history, last_refusal, Refusal::Harmful);
                return final_result(failed_response, Some(refusal));
            }
            AttemptResult::Broken(reason) => (reason, Refusal::Unknown(reason)),
            AttemptResult::TimedOut => ("timeout", Refusal::TimedOut),
        };
        metrics::counter!("sesamebarrow_attempts_failed_total", "outcome" => outcome).increment(1);
        if shared.log_limiter.allow(true) {
            log::info!(
                request = job.id.as_str(), target = target.name().as_str(), outcome,
                sent = history.sends.count(); "attempt ended"
            );
        }
        // Once the request may have run, the refusal must not say that it has not, whatever
        // later attempts return.
        if !matches!(last_refusal, Some(Refusal::Unknown(_) | Refusal::TimedOut))
            || history.sends.possible_runs() == 0
        {
            last_refusal = Some(refusal);
        }
    }
}

/// Returns the refusal of a quarantined request: `refusal`, which names no time to come back, unless
/// an earlier attempt may have run.
fn harmful_refusal(
    history: &AttemptHistory,
    last_refusal: Option<Refusal>,
    refusal: Refusal,
) -> Refusal {
    match last_refusal {
        Some(earlier) if history.sends.possible_runs() > 0 => earlier,
        _ => refusal,
    }
}

/// Returns the result for the client after the last attempt.
fn final_result(
    failed_response: Option<Box<UpstreamResponse>>,
    last_refusal: Option<Refusal>,
) -> Result<UpstreamResponse, Refusal> {
    match (failed_response, last_refusal) {
        (Some(response), _) => Ok(*response),
        (None, Some(refusal)) => Err(refusal),
        (None, None) => Err(Refusal::NotRun("no-upstream", MIN_RETRY_AFTER)),
    }
}

/// Returns whether another attempt may be made. A retry is taken from the retry budget.
fn try_spend_retry(shared: &Shared, job: &Job, history: &AttemptHistory) -> bool {
    let refused = history.refused_connections;
    let others = history.begun - refused;
    if job.time_left() < MIN_TIME_LEFT
        || others >= MAX_ATTEMPTS_BEGUN
        || refused >= MAX_REFUSED_CONNECTIONS
    {
        return false;
    }
    if history.sends.possible_runs() > 0
        && (!job.policy.may_repeat || history.sends.possible_runs() >= job.policy.max_attempts)
    {
        return false;
    }
    let is_trial_over = history.is_trial() && history.sends.count() > 0;
    if is_trial_over || history.crashes >= MAX_CRASHES_PER_REQUEST {
        return false;
    }
    if history.crashes > 0 && quarantine::is_suspected(shared, job) {
        return false;
    }
    if history.sends.count() == history.refused_stopping {
        // No upstream was sent the request yet, so the next attempt is not a retry.
        return true;
    }
    let now = shared.now();
    let mut board = shared.board();
    let instances = board.instance_count(now);
    let granted = board
        .budget
        .try_spend(now, &job.policy.service, instances, rand::random());
    telemetry::count_retry(granted);
    granted
}

async fn make_attempt(
    shared: &Arc<Shared>,
    job: &Job,
    target: &Target,
    history: &mut AttemptHistory,
    last_event: Option<&SmolStr>,
) -> AttemptResult {
    history.begun += 1;
    let mut attempt = Attempt::begin(shared, target, job, history.place.take());
    let (address, timeout) = match target {
        Target::Upstream(selected) => {
            history.tried_upstreams.push(selected.key);
            (selected.address, CONNECT_TIMEOUT)
        }
        Target::Instance(remote) => {
            history.tried_regions.push(remote.region.clone());
            (hop::address(shared, remote.ip), HOP_CONNECT_TIMEOUT)
        }
    };
    let connect_time = timeout.min(job.time_left());
    let connected = shared
        .pool
        .connect_for(address, &job.id, connect_time)
        .await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                request = job.id.as_str(), target = target.name().as_str(), error:% = error;
                "not connected"
            );
            let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            history.refused_connections += u32::from(is_refused);
            if let Target::Upstream(selected) = target
                && is_refused
            {
                let now = shared.now();
                shared.board().record_end(now, selected.key);
            }
            let is_cut_short =
                error.kind() == std::io::ErrorKind::TimedOut && connect_time < timeout;
            attempt.end(match is_cut_short {
                true => AttemptOutcome::Inconclusive,
                false => AttemptOutcome::Unreachable,
            });
            return AttemptResult::NotRun("unreachable", MIN_RETRY_AFTER);
        }
    };
    if let Target::Upstream(selected) = target {
        if connection.is_opened_since(attempt.started_at) {
            attempt.record_contact();
        }
        // What other answers said while the connection was opened.
        let now = shared.now();
        let may_send = admit::may_send(&shared.board(), now, selected.key);
        if !may_send || !limit::may_send(shared, selected, history.has_permit) {
            attempt.end(AttemptOutcome::Cancelled);
            return AttemptResult::NotRun("upstream-withdrew", MIN_RETRY_AFTER);
        }
    }
    if !quarantine::may_send(shared, job, history) {
        attempt.end(AttemptOutcome::Cancelled);
        return AttemptResult::Harmful;
    }
    let req = match target {
        Target::Upstream(selected) => build_upstream_request(shared, job, selected, last_event),
        Target::Instance(remote) => {
            let delay = shared.board().parameters.region_delay;
            hop::build_request(
                job,
                remote,
                delay,
                last_event,
                &history.tried_remote_upstreams,
            )
        }
    };
    // A forwarded request was already counted by the instance that forwarded it.
    if history.sends.count() == 0 && !job.policy.from_instance {
        let now = shared.now();
        let mut board = shared.board();
        let instances = board.instance_count(now);
        board
            .budget
            .record_first_attempt(now, &job.policy.service, instances);
    }
    attempt.sent_at = shared.now();
    attempt.record_sent(job);
    if history.has_permit {
        limit::count_send(job, history.sends.count());
    }
    history.sends.record();
    history.update_trial();
    job.reservation.set_consumed(true);
    let sent = tokio::select! {
        sent = tokio::time::timeout(job.time_left(), connection.send(req)) => sent,
        () = quarantine::wait_until_bound(shared, job, history) => {
            attempt.end(AttemptOutcome::Cancelled);
            return AttemptResult::Broken("harmful-request");
        }
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(pool::Error::NotSent)) => {
            withdraw_send(job, history, Evidence::NotWritten);
            attempt.record_not_run(job);
            attempt.end(AttemptOutcome::Broken);
            return AttemptResult::NotRun("connection-closed", MIN_RETRY_AFTER);
        }
        Ok(Err(pool::Error::Broken)) => {
            history.examination = crash::examine(shared, job, &attempt, 0);
            attempt.end(AttemptOutcome::Broken);
            return AttemptResult::Broken("connection-broken");
        }
        Err(_) => {
            let outcome = attempt.outcome_at_deadline(job, None);
            attempt.end(outcome);
            return AttemptResult::TimedOut;
        }
    };
    attempt.connection = Some(connection);
    classify(shared, job, target, history, attempt, response)
}

/// Records that the latest send of `job` has not run and will not.
fn withdraw_send(job: &Job, history: &mut AttemptHistory, evidence: Evidence) {
    history.sends.withdraw(evidence);
    history.update_trial();
    job.reservation
        .set_consumed(history.sends.possible_runs() > 0);
}

fn build_upstream_request(
    shared: &Shared,
    job: &Job,
    selected: &SelectedUpstream,
    last_event: Option<&SmolStr>,
) -> Request<Full<Bytes>> {
    let mut req = build_request(job);
    let headers = head::UpstreamHeaders {
        time_left: job.time_left(),
        upstream_id: &selected.id,
        customer: job.policy.customer.as_deref(),
        priority: dispatch::engine_priority(shared, job),
        last_event: last_event.map(SmolStr::as_str),
    };
    head::write_upstream_headers(req.headers_mut(), &headers);
    req
}

/// Builds the request to a target, with the headers that are forwarded.
pub fn build_request(job: &Job) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = Uri::from(job.path_and_query.clone());
    *req.headers_mut() = job.headers.clone();
    req
}

fn classify(
    shared: &Arc<Shared>,
    job: &Job,
    target: &Target,
    history: &mut AttemptHistory,
    mut attempt: Attempt,
    response: Response<MeteredBody>,
) -> AttemptResult {
    let (mut parts, body) = response.into_parts();
    attempt.idle_time = pool::idle_time(&parts.headers);
    attempt.record_contact();
    if let Target::Upstream(selected) = target {
        notice::record(shared, job, selected, &parts, attempt.expected());
        limit::record(
            shared,
            job,
            selected,
            &parts,
            attempt.expected(),
            attempt.sent_at,
        );
    }
    if let (Target::Upstream(selected), Some(load)) =
        (target, head::read_reported_load(&parts.headers))
    {
        let now = shared.now();
        attempt.slowness_percent = load.slowness_percent;
        shared
            .board()
            .upstreams
            .record_reported_load(now, selected.key, load);
    }
    if matches!(target, Target::Instance(_)) {
        history
            .tried_remote_upstreams
            .extend(hop::read_upstream(&parts.headers));
    }
    if matches!(target, Target::Instance(_))
        && let Some(refusal_kind) = hop::read_refusal_kind(&parts.headers)
    {
        // `Cancelled` closes the connection, since the response body was not read.
        attempt.end(AttemptOutcome::Cancelled);
        if !head::names_attempt(&parts.headers, &job.id) {
            return AttemptResult::Broken("foreign-answer");
        }
        if let Target::Instance(remote) = target
            && hop::is_stopping(&parts.headers)
        {
            let now = shared.now();
            shared.board().members.record_stopping(now, &remote.name);
            history.refused_stopping += 1;
            // Another instance of its region may take the request.
            history.tried_regions.retain(|r| *r != remote.region);
        }
        return match refusal_kind {
            hop::RefusalKind::NotRun => {
                withdraw_send(job, history, Evidence::RefusedThere);
                let after = head::read_refusal_delay(&parts.headers);
                AttemptResult::NotRun("refused-there", after.max(MIN_RETRY_AFTER))
            }
            hop::RefusalKind::Harmful => {
                withdraw_send(job, history, Evidence::RefusedThere);
                AttemptResult::Harmful
            }
            hop::RefusalKind::Unknown => AttemptResult::Broken("broken-there"),
            hop::RefusalKind::TimedOut => AttemptResult::TimedOut,
        };
    }
    match head::classify_response(parts.status, &parts.headers, attempt.expected()) {
        ResponseKind::NotRun => {
            record_refusal(shared, job, &attempt, &parts);
            if let Some(connection) = &mut attempt.connection {
                connection.record_refusal(&job.id);
            }
            withdraw_send(job, history, Evidence::NamedRefusal);
            // hyper closes the connection unless it can read the rest of the body at once.
            drop(body);
            attempt.record_not_run(job);
            attempt.end(refusal_outcome(job, parts.status));
            AttemptResult::NotRun("refused-by-upstream", MIN_RETRY_AFTER)
        }
        ResponseKind::Unproven => {
            record_refusal(shared, job, &attempt, &parts);
            // Not one of those outcomes after which the connection is kept: the request may be running.
            attempt.end(AttemptOutcome::Inconclusive);
            AttemptResult::Broken("refusal-without-proof")
        }
        ResponseKind::Invalid => {
            attempt.end(AttemptOutcome::Broken);
            AttemptResult::Broken("foreign-answer")
        }
        ResponseKind::Executed
            if !job.policy.may_repeat && head::promises_not_run(parts.status) =>
        {
            // Relayed, the status would promise to the client that the request has not run.
            attempt.end(AttemptOutcome::Failed);
            AttemptResult::Broken("unproven-refusal")
        }
        ResponseKind::Executed => {
            // The HTTP library frames a response to the client by its version; HTTP/1.0 has no chunks.
            parts.version = Version::HTTP_11;
            let response = Box::new(UpstreamResponse {
                framing: Framing::of(&parts.headers, &body),
                heard_at: Instant::now(),
                head: Response::from_parts(parts, ()),
                body,
                attempt,
            });
            if response.head.status().is_server_error() && job.policy.may_repeat {
                AttemptResult::Failed(response)
            } else {
                AttemptResult::Response(response)
            }
        }
    }
}

/// Returns what a refusal that names its request shows of the upstream.
fn refusal_outcome(job: &Job, status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::Misdirected,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            if job.time_left() >= MIN_TIME_LEFT =>
        {
            AttemptOutcome::Refused
        }
        _ => AttemptOutcome::Rejected,
    }
}

/// Logs and counts the refusal of an upstream, with what shows that it answers this request.
fn record_refusal(shared: &Shared, job: &Job, attempt: &Attempt, parts: &Parts) {
    let names_request = head::names_attempt(&parts.headers, &job.id);
    let is_new = attempt.expected().is_first;
    if shared.log_limiter.allow(true) {
        log::info!(
            request = job.id.as_str(), upstream = attempt.target_name().as_str(),
            status = parts.status.as_u16(), names_request, new_connection = is_new,
            signed = head::is_signed(&parts.headers);
            "upstream refused"
        );
    }
    let yes_or_no = |b: bool| if b { "yes" } else { "no" };
    let connection = if is_new { "new" } else { "kept" };
    metrics::counter!(
        "sesamebarrow_upstream_refusals_total",
        "names_request" => yes_or_no(names_request), "connection" => connection
    )
    .increment(1);
}

/// Returns whether a response's status means that the upstream failed.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
