//! Metrics in the Prometheus text format.

use metrics::SharedString;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sesamebarrow_policy::Board;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

/// Installs the metrics recorder of this process.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)?
        .install_recorder()?;
    metrics::describe_histogram!(
        "sesamebarrow_answer_head_seconds",
        metrics::Unit::Seconds,
        "Time from a request's head to its answer's head."
    );
    metrics::describe_counter!(
        "sesamebarrow_answers_total",
        "Answers to callers by result and reason."
    );
    Ok(handle)
}

/// Counts a response to a caller.
pub fn count_response(result: impl Into<SharedString>, reason: impl Into<SharedString>) {
    let labels = [("result", result.into()), ("reason", reason.into())];
    metrics::counter!("sesamebarrow_answers_total", &labels).increment(1);
}

/// Records the time from the head of a request to the head of its response. It is not
/// recorded for buffered responses.
pub fn record_response_head(seconds: f64) {
    metrics::histogram!("sesamebarrow_answer_head_seconds").record(seconds);
}

/// Updates the metrics that are computed from the board.
pub fn update(board: &Board) {
    let counters = board.counters;
    let totals = [
        ("sesamebarrow_requests_total", counters.arrived),
        (
            "sesamebarrow_requests_from_instances_total",
            counters.arrived_forwarded,
        ),
        ("sesamebarrow_refusals_total", counters.refused),
        ("sesamebarrow_refusals_rate_total", counters.refused_rate),
        ("sesamebarrow_completed_total", counters.completed),
        ("sesamebarrow_broken_total", counters.broken),
        ("sesamebarrow_retries_total", counters.retried),
        ("sesamebarrow_forwarded_total", counters.forwarded),
        ("sesamebarrow_spilled_total", counters.spilled),
        ("sesamebarrow_platform_reads_total", counters.platform_reads),
        (
            "sesamebarrow_control_messages_total",
            counters.messages_sent,
        ),
        ("sesamebarrow_pauses_total", counters.pauses),
        ("sesamebarrow_cancelled_total", counters.cancelled),
    ];
    for (name, value) in totals {
        metrics::counter!(name).absolute(value);
    }
    let faulty = board
        .documents
        .values()
        .filter(|s| s.fault.is_some())
        .count();
    // CAST: `f64` represents counts of this size exactly.
    metrics::gauge!("sesamebarrow_documents_faulty").set(faulty as f64);
    metrics::gauge!("sesamebarrow_rules_revision").set(board.rules_revision() as f64);
    metrics::gauge!("sesamebarrow_requests_running").set(board.requests.len() as f64);
}
