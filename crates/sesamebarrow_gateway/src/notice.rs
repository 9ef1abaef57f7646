//! Records what upstreams announce in their answers: that they leave, and when they want requests
//! again. Also records which other instances are new, or run again.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use hyper::http::response::Parts;
use sesamebarrow_platform::head::{self, Expected};
use sesamebarrow_routing::admit::SelectedUpstream;
use sesamebarrow_routing::availability::Change;
use smol_str::SmolStr;

use crate::intake::Job;
use crate::shared::Shared;

/// Records what `selected` announces in the head of its answer to `job`.
pub fn record(
    shared: &Shared,
    job: &Job,
    selected: &SelectedUpstream,
    parts: &Parts,
    expected: Expected<'_>,
) {
    let now = SystemTime::now();
    let notice = head::read_notice(parts.status, &parts.headers, expected, now);
    let change = shared
        .board()
        .record_notice(shared.now(), selected.key, notice);
    let Some(change) = change else {
        return;
    };
    if change == Change::Leaving {
        shared.pool.close_idle(selected.address);
    }
    record_change(change, selected, &job.id, notice.rest);
}

/// Acts on what other instances reported of upstreams that leave, as on an announcement to this one.
pub fn record_learned(shared: &Shared) {
    let departures: Vec<(SmolStr, SocketAddr)> = {
        let mut board = shared.board();
        let keys = board.upstreams.take_learned_departures();
        let upstreams = keys.iter().filter_map(|key| board.upstreams.all.get(*key));
        let entries = upstreams.map(|u| (u.entry.id.clone(), u.entry.address));
        entries.collect()
    };
    for (id, address) in departures {
        shared.pool.close_idle(address);
        log::info!(upstream = id.as_str(), change = "leaving"; "upstream leaves, says another instance");
        metrics::counter!("sesamebarrow_upstream_changes_total", "change" => "learned-leaving")
            .increment(1);
    }
}

/// Logs and counts a change of an upstream's availability; `request` is the request whose answer
/// showed it, `rest` the time for which the upstream wants no request.
pub fn record_change(
    change: Change,
    selected: &SelectedUpstream,
    request: &str,
    rest: Option<Duration>,
) {
    let change: &str = change.into();
    log::info!(
        request, upstream = selected.id.as_str(), change,
        rest_ms = rest.map_or(0, |r| r.as_millis());
        "upstream announced a change"
    );
    metrics::counter!("sesamebarrow_upstream_changes_total", "change" => change.to_owned())
        .increment(1);
}

/// Logs and counts what changed in what is known of the other instances. `waited` is how long the datagram that
/// showed it may have waited to be read.
pub fn record_member_changes(shared: &Shared, waited: Duration) {
    let changes = shared.board().members.changes.take();
    for member in changes {
        let (change, evidence): (&str, &str) = (member.kind.into(), member.evidence.into());
        if shared.log_limiter.allow(true) {
            log::info!(
                instance = member.name.as_str(), change, evidence,
                silence_ms = member.silence.as_millis(), waited_ms = waited.as_millis(),
                incarnation = member.incarnation;
                "instance changed"
            );
        }
        metrics::counter!(
            "sesamebarrow_member_changes_total", "change" => change, "evidence" => evidence
        )
        .increment(1);
    }
}
