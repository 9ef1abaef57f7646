//! Selects the target of an attempt: an upstream of this region, or an instance of another.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use sesamebarrow_routing::Board;
use sesamebarrow_routing::admit::{self, MIN_RETRY_AFTER, Rejection, RequestSpec};
use sesamebarrow_routing::spill::{self, RemoteInstance, Shortage};
use sesamebarrow_routing::upstream::Key;
use smol_str::SmolStr;
use tokio::task::JoinHandle;

use crate::attempt::Target;
use crate::dispatch;
use crate::dispatch::place::Place;
use crate::intake::Job;
use crate::limit;
use crate::quarantine::trial::Permit;
use crate::reply::Refusal;
use crate::sends::Sends;
use crate::shared::Shared;

/// Minimum estimated time that forwarding a request to another region must save.
const MIN_FORWARDING_GAIN: Duration = Duration::from_millis(120);

/// Minimum time after which a client may retry that was refused since no upstream is known.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Minimum of the range of random times that is added to the retry delays of refused clients.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(400);

/// Range of random times that is added to long retry delays, as a fraction of the delay.
const RETRY_AFTER_SPREAD: f64 = 0.25;

/// Maximum number of limited upstreams that are asked for a permit before one attempt. Those that refuse are not
/// asked again for a while.
const MAX_PERMIT_REQUESTS: u32 = 4;

/// The attempts made so far for a job.
#[derive(Default)]
pub struct AttemptHistory {
    /// Upstreams of this region that were tried.
    pub tried_upstreams: Vec<Key>,
    /// Other regions that were tried.
    pub tried_regions: Vec<SmolStr>,
    /// Ids of upstreams of other regions that ran the request.
    pub tried_remote_upstreams: Vec<SmolStr>,
    /// Number of attempts begun, including those that could not connect.
    pub begun: u32,
    /// Number of these whose connection was refused.
    pub refused_connections: u32,
    /// The attempts that were sent to a target.
    pub sends: Sends,
    /// Number of these that were refused by an instance that stops.
    pub refused_stopping: u32,
    /// Number of attempts whose upstream has crashed.
    pub crashes: u32,
    /// The trials of quarantined suspects that were granted to the request, which is sent once then.
    pub trial: Option<Permit>,
    /// Whether the next attempt goes to an upstream without limit, since several limited ones have refused it.
    pub skips_limited: bool,
    /// Whether a permit was taken for the next attempt, since its upstream has a limit.
    pub has_permit: bool,
    /// The place that a dispatcher gave to the next attempt.
    pub place: Option<Place>,
    /// Finds out whether the upstream of the last attempt, which broke off, has crashed.
    pub examination: Option<JoinHandle<bool>>,
}

impl AttemptHistory {
    /// Returns whether the request is a trial of quarantined suspects.
    pub fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Notes in the trial whether an upstream may have run the request.
    pub fn update_trial(&mut self) {
        let may_have_run = self.sends.possible_runs() > 0;
        if let Some(trial) = &mut self.trial {
            trial.set_may_have_run(may_have_run);
        }
    }

    /// Waits until it is known whether the upstream of the last attempt has crashed.
    pub async fn finish_examination(&mut self) {
        if let Some(examination) = self.examination.take()
            && examination.await.unwrap_or_default()
        {
            self.crashes += 1;
        }
    }
}

/// Returns the time until an upstream of this region wants requests for the service of `job` again;
/// zero if one does now, or if there are none.
pub fn rest_of_service(shared: &Shared, job: &Job) -> Duration {
    let now = shared.now();
    admit::service_rest(&shared.board(), now, &job.policy.service).unwrap_or_default()
}

/// Returns the delay after which a refused client may retry, at least `min`. It is random so
/// that refused clients do not all retry at the same time.
pub fn jittered_retry_after(min: Duration) -> Duration {
    let range = RETRY_AFTER_JITTER.max(min.mul_f64(RETRY_AFTER_SPREAD));
    min + range.mul_f64(rand::rng().random::<f64>())
}

/// Selects the target of the next attempt of `job`, and takes a permit if that is an upstream with a limit.
pub async fn select_permitted(
    shared: &Arc<Shared>,
    job: &Job,
    history: &mut AttemptHistory,
) -> Result<Target, Refusal> {
    history.has_permit = false;
    history.skips_limited = false;
    if let Some(dispatched) = dispatch::select(shared, job, history).await {
        return dispatched;
    }
    let mut soonest = None;
    for request in 0..=MAX_PERMIT_REQUESTS {
        // Limited upstreams whose owners were not asked are left to other requests.
        history.skips_limited = request == MAX_PERMIT_REQUESTS;
        history.has_permit = false;
        let target = match select_target(shared, job, history) {
            Ok(target) => target,
            // All are limited; those that were asked have said when a permit is due.
            Err(Refusal::NotRun("limited", _)) if history.skips_limited => break,
            Err(refusal) => return Err(refusal),
        };
        let Target::Upstream(selected) = &target else {
            return Ok(target);
        };
        match limit::take_permit(shared, job, selected).await {
            Ok(has_permit) => {
                history.has_permit = has_permit;
                return Ok(target);
            }
            Err(due_in) => {
                soonest = Some(soonest.map_or(due_in, |known: Duration| known.min(due_in)));
            }
        }
    }
    Err(to_refusal(Rejection::Limited(soonest.unwrap_or_default())))
}

/// Selects the target of the next attempt of `job`.
pub fn select_target(
    shared: &Shared,
    job: &Job,
    history: &mut AttemptHistory,
) -> Result<Target, Refusal> {
    let now = shared.now();
    let mut board = shared.board();
    let time_to_target = job
        .response_due_at
        .saturating_duration_since(Instant::now());
    let mut spec = job.spec.clone();
    // Once the target latency has passed, half of the remaining time takes its place, so that the
    // request is still sent while its deadline allows.
    spec.target_wait = if time_to_target.is_zero() {
        job.time_left() / 2
    } else {
        time_to_target
    };
    // Another instance may have named upstreams that it tried.
    spec.tried_upstreams.extend(&history.tried_upstreams);
    spec.is_trial = history.is_trial();
    spec.skips_limited = history.skips_limited;
    let region_allowed = job.residency.allows(&board.identity.region);
    let mut local = if region_allowed {
        admit::select_upstream(&mut board, now, &spec)
    } else {
        Err(Rejection::NoUpstream)
    };
    let exhausted =
        region_allowed && local == Err(Rejection::NoUpstream) && !spec.tried_upstreams.is_empty();
    let may_repeat_there = job.policy.may_repeat
        && (history.sends.possible_runs() > 0 || !job.spec.tried_upstreams.is_empty());
    if exhausted && may_repeat_there {
        // All upstreams were tried. The request may be repeated, so they may be tried again.
        spec.tried_upstreams.clear();
        local = admit::select_upstream(&mut board, now, &spec);
    }
    if job.policy.from_instance || history.is_trial() {
        return local.map(Target::Upstream).map_err(|rejection| {
            log_rejection(shared, &board, job, &spec, (rejection.into(), None));
            to_refusal(rejection)
        });
    }
    if let Ok(selected) = &local
        && selected.estimated_wait + selected.refusal_wait
            < MIN_FORWARDING_GAIN + board.parameters.region_delay * 2
    {
        return Ok(Target::Upstream(selected.clone()));
    }
    // The last part belongs to this request alone. The part before it stands for the prefix that
    // requests share.
    let affinity_key = spec.prompt.iter().rev().nth(1).map(|part| part.id);
    let allowed = |region: &str| job.residency.allows(region);
    if local == Err(Rejection::NoUpstream) && spec.tried_upstreams.is_empty() {
        let mut select = |tried_regions: &[SmolStr]| {
            let request = spill::Request {
                service: &job.policy.service,
                target_wait: spec.target_wait,
                tried_regions,
                affinity_key,
            };
            spill::select_with_room(&mut board, now, &request, allowed)
        };
        let mut remote = select(&history.tried_regions);
        if remote.is_err() && history.sends.possible_runs() > 0 && job.policy.may_repeat {
            remote = select(&[]);
        }
        return remote.map(Target::Instance).map_err(|shortage| {
            log_rejection(shared, &board, job, &spec, (shortage.into(), None));
            shortage_refusal(shortage)
        });
    }
    let mut select_instance = |tried_regions: &[SmolStr]| {
        let service = &job.policy.service;
        spill::select_instance(
            &mut board,
            now,
            service,
            allowed,
            tried_regions,
            affinity_key,
        )
    };
    let mut remote = select_instance(&history.tried_regions);
    if remote.is_none()
        && local.is_err()
        && history.sends.possible_runs() > 0
        && job.policy.may_repeat
    {
        // All regions were tried. Other upstreams of theirs may continue.
        remote = select_instance(&[]);
    }
    match (local, remote) {
        (Ok(selected), Some(remote))
            if remote.estimated_wait + MIN_FORWARDING_GAIN
                < selected.estimated_wait + selected.refusal_wait =>
        {
            Ok(Target::Instance(remote))
        }
        (Ok(selected), _) => Ok(Target::Upstream(selected)),
        (Err(_), Some(remote)) if remote.estimated_wait < spec.target_wait => {
            Ok(Target::Instance(remote))
        }
        (Err(rejection), remote) => {
            let reason = rejection.into();
            log_rejection(shared, &board, job, &spec, (reason, remote.as_ref()));
            // Another region may take the request sooner than a permit is due here.
            let rejection = match (rejection, &remote) {
                (Rejection::Limited(_), Some(_)) => Rejection::Overload,
                (rejection, _) => rejection,
            };
            Err(to_refusal(rejection))
        }
    }
}

/// Logs that neither an upstream nor another region accepts a request, with the values that
/// decided it.
fn log_rejection(
    shared: &Shared,
    board: &Board,
    job: &Job,
    spec: &RequestSpec,
    (reason, remote): (&'static str, Option<&RemoteInstance>),
) {
    if !shared.log_limiter.allow(true) {
        return;
    }
    let (wait, usable) = admit::service_load(board, shared.now(), &spec.service);
    log::info!(
        request = job.id.as_str(), refused = reason, service = spec.service.as_str(), usable,
        wait_ms = wait.as_millis(), target_ms = spec.target_wait.as_millis(), tokens = spec.prompt_tokens,
        hop = remote.map_or("none", |h| h.name.as_str()),
        hop_wait_ms = remote.map_or(0, |h| h.estimated_wait.as_millis());
        "nothing takes it"
    );
}

fn shortage_refusal(shortage: Shortage) -> Refusal {
    let min = match shortage {
        Shortage::NoUpstream => NO_UPSTREAM_RETRY_AFTER,
        Shortage::NoRoomElsewhere | Shortage::TooLateElsewhere => MIN_RETRY_AFTER,
    };
    Refusal::NotRun(shortage.into(), jittered_retry_after(min))
}

fn to_refusal(rejection: Rejection) -> Refusal {
    let min = match rejection {
        Rejection::NoUpstream => NO_UPSTREAM_RETRY_AFTER,
        Rejection::Cold => Duration::from_millis(400),
        Rejection::Resting(rest) | Rejection::Limited(rest) => rest.max(MIN_RETRY_AFTER),
        Rejection::Overload => MIN_RETRY_AFTER,
    };
    Refusal::NotRun(rejection.into(), jittered_retry_after(min))
}
