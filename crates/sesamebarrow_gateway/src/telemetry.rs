//! Metrics in the text format of Prometheus. docs/METRICS.md describes them for operators.

use std::time::Duration;

use metrics::Unit;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::event_stream::Foreign;
use crate::shared::Shared;

/// Upper bounds of the latency buckets, in seconds. They include the users' targets of 0.4, 0.5
/// and 0.8 s and their deadlines.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.4, 0.5, 0.8, 1.5, 2.5, 5.0, 12.0,
];

/// Names and descriptions of the counters.
const COUNTERS: [(&str, &str); 26] = [
    (
        "sesamebarrow_log_lines_not_written_total",
        "Log lines that were not written, by reason.",
    ),
    (
        "sesamebarrow_answers_total",
        "Answers that came from an upstream, by how they ended.",
    ),
    (
        "sesamebarrow_answer_ends_total",
        "Ends of answers, by framing, position in the event stream and outcome.",
    ),
    (
        "sesamebarrow_foreign_bytes_total",
        "Event streams in which bytes were received that are no part of one, by what shows it.",
    ),
    (
        "sesamebarrow_broken_answers_total",
        "Answers that broke off, by whether their upstream had crashed.",
    ),
    (
        "sesamebarrow_quarantine_changes_total",
        "Changes of the quarantine of requests that crash upstreams, by kind.",
    ),
    (
        "sesamebarrow_upstream_changes_total",
        "Changes that upstreams announced in answers, by kind.",
    ),
    (
        "sesamebarrow_limited_sends_total",
        "Requests sent to upstreams that have named a limit, by whether they are first attempts.",
    ),
    (
        "sesamebarrow_permits_total",
        "Permits asked for to send a request to a limited upstream, by outcome.",
    ),
    (
        "sesamebarrow_refusals_total",
        "Requests that this instance answered itself, by reason.",
    ),
    (
        "sesamebarrow_upstream_refusals_total",
        "Refusals of upstreams, by whether they name the request and whether the connection is new.",
    ),
    (
        "sesamebarrow_promises_total",
        "Requests said not to have run, by the weakest evidence that one of their sends did not run.",
    ),
    (
        "sesamebarrow_connections_failed_total",
        "Connections to upstreams and instances that failed, by error.",
    ),
    (
        "sesamebarrow_member_changes_total",
        "Instances that are new, run again or are heard again, by what showed it.",
    ),
    (
        "sesamebarrow_attempts_failed_total",
        "Attempts that gave no answer, by outcome.",
    ),
    (
        "sesamebarrow_resends_total",
        "Requests to send one again, by whether the shared budget granted it.",
    ),
    (
        "sesamebarrow_cold_sends_total",
        "Requests sent to cold upstreams.",
    ),
    (
        "sesamebarrow_prompt_tokens_total",
        "Prompt tokens sent, by whether the upstream is expected to keep them.",
    ),
    (
        "sesamebarrow_quota_tokens_total",
        "Tokens asked for under a customer's rate, by outcome.",
    ),
    (
        "sesamebarrow_token_requests_total",
        "Requests for tokens to other instances, by whether they were answered in time.",
    ),
    (
        "sesamebarrow_borrowed_tokens_total",
        "Tokens borrowed from the buckets of other instances.",
    ),
    (
        "sesamebarrow_connections_opened_total",
        "Connections opened to upstreams and instances.",
    ),
    ("sesamebarrow_store_calls_total", "Calls to the store."),
    (
        "sesamebarrow_store_eras_total",
        "Times that this instance saw the store come back from an older copy.",
    ),
    (
        "sesamebarrow_task_failures_total",
        "Tasks of the process that failed and were started again, by task.",
    ),
    (
        "sesamebarrow_log_lines_dropped_total",
        "Log lines beyond their budget.",
    ),
];

/// Names and descriptions of the histograms, all in seconds.
const HISTOGRAMS: [(&str, &str); 4] = [
    (
        "sesamebarrow_directory_silence_seconds",
        "Longest time since an instance named by the directory was last known to run, by answer.",
    ),
    (
        "sesamebarrow_answer_seconds",
        "Time from a request's head to the end of its answer.",
    ),
    (
        "sesamebarrow_first_event_seconds",
        "Time from a request's head to the first event of its stream, by route.",
    ),
    (
        "sesamebarrow_longest_pause_seconds",
        "Longest pause within a stream, by route.",
    ),
];

/// Names and descriptions of the gauges.
const GAUGES: [(&str, &str); 7] = [
    (
        "sesamebarrow_held_bytes",
        "Bytes that bodies of requests and answers hold.",
    ),
    (
        "sesamebarrow_held_bytes_limit",
        "Bytes that bodies of requests and answers may hold.",
    ),
    (
        "sesamebarrow_members_heard",
        "Other instances that are heard from.",
    ),
    (
        "sesamebarrow_config_version",
        "Version of the configuration in force.",
    ),
    (
        "sesamebarrow_upstreams",
        "Upstreams of the region that are known.",
    ),
    (
        "sesamebarrow_unread_tokens",
        "Prompt tokens that were sent and not read yet.",
    ),
    (
        "sesamebarrow_store_answers",
        "1 if the store answers this instance, as far as it knows.",
    ),
];

/// Installs the metrics recorder of this process.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)?
        .install_recorder()?;
    for (name, text) in COUNTERS {
        metrics::describe_counter!(name, text);
    }
    for (name, text) in HISTOGRAMS {
        metrics::describe_histogram!(name, Unit::Seconds, text);
    }
    for (name, text) in GAUGES {
        metrics::describe_gauge!(name, text);
    }
    Ok(handle)
}

/// Interval at which samples of histograms are summed up. They are kept one by one until then, or until somebody reads
/// the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the memory of the metrics small, until the process ends.
pub async fn keep_up(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// Records the time to the first event of a stream and its longest pause.
pub fn record_stream(route: &str, first_event: Duration, longest_pause: Duration) {
    let route = route.to_owned();
    metrics::histogram!("sesamebarrow_first_event_seconds", "route" => route.clone())
        .record(first_event.as_secs_f64());
    metrics::histogram!("sesamebarrow_longest_pause_seconds", "route" => route)
        .record(longest_pause.as_secs_f64());
}

/// Counts the tokens of a prompt that was sent to an upstream. The upstream is expected to
/// prefill `prefill_tokens` of them and to have cached the others.
pub fn count_prompt(prompt_tokens: u64, prefill_tokens: u64) {
    let cached_tokens = prompt_tokens.saturating_sub(prefill_tokens);
    metrics::counter!("sesamebarrow_prompt_tokens_total", "expected" => "read")
        .increment(prefill_tokens);
    metrics::counter!("sesamebarrow_prompt_tokens_total", "expected" => "kept")
        .increment(cached_tokens);
}

/// Counts tokens that were requested under a customer's rate.
pub fn count_quota(cost: f64, admitted: bool) {
    let outcome = if admitted { "admitted" } else { "refused" };
    // CAST: costs are integers far below 2^53.
    metrics::counter!("sesamebarrow_quota_tokens_total", "outcome" => outcome)
        .increment(cost as u64);
}

/// Counts a request for tokens to another instance.
pub fn count_token_request(answered: bool) {
    let answered = if answered { "yes" } else { "no" };
    metrics::counter!("sesamebarrow_token_requests_total", "answered" => answered).increment(1);
}

/// Counts a retry that the retry budget granted or denied.
pub fn count_retry(granted: bool) {
    let outcome = if granted { "granted" } else { "denied" };
    metrics::counter!("sesamebarrow_resends_total", "outcome" => outcome).increment(1);
}

/// Counts a stream in which `foreign` bytes were received.
pub fn count_foreign_bytes(foreign: Foreign) {
    let kind: &str = foreign.into();
    metrics::counter!("sesamebarrow_foreign_bytes_total", "kind" => kind).increment(1);
}

/// Updates the gauges from the board.
pub fn update_gauges(shared: &Shared) {
    let now = shared.now();
    let board = shared.board();
    let alive = board.members.alive(now).count();
    let version = board.config.as_ref().map_or(0, |c| c.version);
    let (held, limit) = shared.memory.usage();
    metrics::gauge!("sesamebarrow_held_bytes").set(held as f64);
    metrics::gauge!("sesamebarrow_held_bytes_limit").set(limit as f64);
    let prefill_tokens: u64 = board.upstreams.all.values().map(|u| u.prefill_tokens).sum();
    // CAST: floats represent counts of this size exactly.
    metrics::gauge!("sesamebarrow_members_heard").set(alive as f64);
    metrics::gauge!("sesamebarrow_config_version").set(version as f64);
    metrics::gauge!("sesamebarrow_upstreams").set(board.upstreams.all.len() as f64);
    metrics::gauge!("sesamebarrow_unread_tokens").set(prefill_tokens as f64);
    metrics::gauge!("sesamebarrow_store_answers").set(f64::from(u8::from(board.store_answers)));
}
