//! Finds out whether an upstream has crashed under a request whose answer broke off, and whether one that was
//! unreachable is back.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::JoinHandle;

use crate::attempt::Attempt;
use crate::intake::Job;
use crate::pool::Listening;
use crate::quarantine;
use crate::shared::Shared;

/// Maximum time to open a connection to an upstream that may have crashed. A retry waits for it, and for
/// [`SETTLING_TIME`].
const EXAMINE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a connection to an upstream that may have crashed must stay open to show that it has not.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// Starts to find out whether the upstream of `attempt`, whose answer to `job` broke off after `events`
/// events, has crashed. Returns `None` if the target is no upstream, or one whose end was announced.
pub fn examine(
    shared: &Arc<Shared>,
    job: &Job,
    attempt: &Attempt,
    events: u64,
) -> Option<JoinHandle<bool>> {
    let endpoint = attempt.serving_endpoint()?;
    let shared = shared.clone();
    let (request, route) = (job.id.clone(), job.policy.route.clone());
    let upstream = attempt.target_name().clone();
    let parts = format_parts(job);
    let suspects = job.suspects.clone();
    Some(tokio::spawn(async move {
        let listening = shared.pool.probe_listening(
            endpoint.address,
            EXAMINE_TIMEOUT,
            SETTLING_TIME,
            endpoint.max_idle,
        );
        let crashed = listening.await == Listening::No;
        if shared.log_limiter.allow(true) {
            log::info!(
                request = request.as_str(), route = route.as_str(), upstream = upstream.as_str(), crashed,
                events, parts = parts.as_str(), fingerprint:% = format!("{:x}", suspects.fingerprint);
                "answer broke off"
            );
        }
        let crashed_text = if crashed { "yes" } else { "no" };
        metrics::counter!("sesamebarrow_broken_answers_total", "crashed" => crashed_text)
            .increment(1);
        if crashed {
            let now = shared.now();
            let mut board = shared.board();
            if let Some(key) = board.upstreams.key_of_run(endpoint.run) {
                board.record_end(now, key);
            }
            drop(board);
            quarantine::record_crash(&shared, endpoint.run, &suspects);
        }
        crashed
    }))
}

/// Opens connections to absent upstreams from time to time, to find out whether they are back.
pub fn probe_absent(shared: &Arc<Shared>) {
    let now = shared.now();
    let probes = shared.board().take_probes(now);
    for (key, address, max_idle) in probes {
        let shared = shared.clone();
        tokio::spawn(async move {
            let sent_at = shared.now();
            let pool = &shared.pool;
            let listening = pool.probe_listening(address, EXAMINE_TIMEOUT, SETTLING_TIME, max_idle);
            match listening.await {
                Listening::Yes => {
                    log::info!(address:% = address; "absent upstream is back");
                    shared.board().record_contact(shared.now(), key, sent_at);
                }
                Listening::No => shared.board().record_end(shared.now(), key),
                Listening::Unknown => {}
            }
        });
    }
}

/// Returns the ids of the parts of a prompt, which are no data of the request.
pub fn format_parts(job: &Job) -> SmolStr {
    let ids = job.spec.prompt.iter().map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(",").into()
}
