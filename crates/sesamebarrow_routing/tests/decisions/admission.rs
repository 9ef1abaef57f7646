//! Tests which upstream is selected for a request, and when a request is rejected.

use std::time::Duration;

use sesamebarrow_routing::Board;
use sesamebarrow_routing::admit::{self, Rejection, RequestSpec, SelectedUpstream};
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::upstream::{AttemptOutcome, ReportedLoad, RequestLoad};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

const NOW: Duration = Duration::from_secs(10);

/// Returns the board of an instance with `count` warm upstreams.
fn board(count: usize) -> Board {
    let mut fleet = Fleet::new(&[("a", 1)], config(&[], vec![route("r", &[])]));
    let mut board = fleet.instances.remove(0).board;
    for number in 0..count {
        let mut entry = entry(&format!("up-{number}"), "a", Duration::ZERO);
        entry.address.set_port(8000 + number as u16);
        board.put_upstream(Duration::ZERO, entry);
    }
    board
}

/// Returns a request with a prompt of 9,000 tokens, 6,000 of them in a prefix that all
/// prompts with the same `topic` share.
fn request(topic: u64, request_id: u64) -> RequestSpec {
    let part = |id, tokens| PromptPart { id, tokens };
    RequestSpec {
        service: MODEL.into(),
        prompt: vec![part(1, 2_500), part(topic, 3_500), part(request_id, 3_000)],
        prompt_tokens: 9_000,
        output_tokens: 60,
        target_wait: ms(800),
        tried_upstreams: Vec::new(),
        rank: 0,
        urgency: 0,
        skips_limited: false,
        is_trial: false,
    }
}

fn send(board: &mut Board, request: &RequestSpec) -> Result<SelectedUpstream, Rejection> {
    let selected = admit::select_upstream(board, NOW, request)?;
    let (key, load) = (selected.key, selected.request_load);
    board.upstreams.start_attempt(NOW, key, load);
    board
        .upstreams
        .record_prompt_sent(NOW, key, &request.prompt, 350_000);
    Ok(selected)
}

fn finish(board: &mut Board, selected: &SelectedUpstream, outcome: AttemptOutcome) {
    board.upstreams.finish_attempt(
        NOW,
        selected.key,
        selected.request_load,
        outcome,
        Duration::from_secs(3),
    );
}

#[test]
fn requests_go_to_the_upstream_that_has_their_prefix_cached() {
    let mut board = board(4);
    let first = send(&mut board, &request(77, 1_000)).expect("an idle upstream accepts it");
    finish(&mut board, &first, AttemptOutcome::Whole);
    for request_id in 1_001..1_020 {
        let next = send(&mut board, &request(77, request_id)).expect("an idle upstream accepts it");
        assert_eq!(next.id, first.id);
        assert_eq!(
            next.request_load.prefill_tokens, 3_000,
            "only the part after the shared prefix is prefilled"
        );
        finish(&mut board, &next, AttemptOutcome::Whole);
    }
}

#[test]
fn two_instances_send_one_prefix_to_the_same_upstream() {
    let (mut one, mut two) = (board(5), board(5));
    for topic in 10..40 {
        let a = send(&mut one, &request(topic, 1)).expect("an idle upstream accepts it");
        let b = send(&mut two, &request(topic, 2)).expect("an idle upstream accepts it");
        finish(&mut one, &a, AttemptOutcome::Whole);
        finish(&mut two, &b, AttemptOutcome::Whole);
        assert_eq!(a.id, b.id, "topic {topic}");
    }
}

#[test]
fn a_frequent_prefix_spreads_once_its_upstream_is_busy() {
    let mut board = board(3);
    let ids: std::collections::HashSet<_> = (0..30)
        .filter_map(|request_id| send(&mut board, &request(5, 100 + request_id)).ok())
        .map(|selected| selected.id)
        .collect();
    assert!(ids.len() > 1, "all requests went to one upstream");
}

#[test]
fn requests_that_cannot_begin_in_time_are_rejected_at_once() {
    let mut board = board(1);
    let accepted =
        (0..100).filter(|request_id| send(&mut board, &request(9, 500 + request_id)).is_ok());
    let accepted = accepted.count();
    assert!((5..40).contains(&accepted), "{accepted} requests accepted");
    assert_eq!(send(&mut board, &request(9, 999)), Err(Rejection::Overload));
}

/// Returns a board on which other instances occupy all slots of every upstream, except that
/// the first one seems idle.
fn board_with_busy_upstreams(count: usize, slots: u32) -> Board {
    let mut board = board(count);
    for upstream in board.upstreams.all.values_mut() {
        upstream.others_load.in_progress = if upstream.entry.id == "up-0" {
            0
        } else {
            slots
        };
    }
    board
}

// Regression test (run scale-1): requests that could not go to their
// preferred upstreams went from all instances to the one that seemed idle, until the next
// load report.
#[test]
fn few_prefixes_go_to_the_one_upstream_that_seems_idle() {
    let mut selected = 0;
    for topic in 0..100 {
        let mut board = board_with_busy_upstreams(64, 128);
        // Each board stands for another instance with the same load reports.
        if send(&mut board, &request(1_000 + topic, 1)).is_ok_and(|c| c.id == "up-0") {
            selected += 1;
        }
    }
    assert!(
        selected <= 25,
        "{selected} of 100 prefixes sent to one of 64 upstreams"
    );
}

// Regression test (run scale-1): upstreams whose slots were all in use
// got no requests, although a slot became free within 80 ms.
#[test]
fn request_waits_for_a_slot_that_is_soon_free() {
    let mut board = board_with_busy_upstreams(1, 128);
    for upstream in board.upstreams.all.values_mut() {
        upstream.others_load.in_progress = 128;
    }
    let selected = send(&mut board, &request(5, 1)).expect("a slot is free in time");
    assert!(
        selected.estimated_wait > ms(180),
        "the estimate includes no wait for a slot"
    );
    for upstream in board.upstreams.all.values_mut() {
        upstream.others_load.in_progress = 200;
    }
    assert_eq!(send(&mut board, &request(5, 2)), Err(Rejection::Overload));
}

// With all requests rejected, no answer would ever lower the correction of estimates again.
#[test]
fn idle_upstream_accepts_a_large_prompt_after_late_answers() {
    let mut board = board(1);
    for n in 0..500 {
        board.record_first_event(ms(20 * n), &MODEL.into(), ms(100), ms(3_000));
    }
    let mut large_request = request(5, 1);
    large_request.prompt[2].tokens = 18_000;
    large_request.prompt_tokens = 24_000;
    assert!(send(&mut board, &large_request).is_ok());
}

#[test]
fn kv_cache_of_an_engine_is_not_overcommitted() {
    let mut board = board(1);
    let mut kv_tokens = 0;
    for request_id in 0..200 {
        if let Ok(selected) = send(&mut board, &request(request_id, 10_000 + request_id)) {
            kv_tokens += selected.request_load.kv_tokens;
            board
                .upstreams
                .record_prefill_done(selected.key, selected.request_load);
        }
    }
    assert!(
        kv_tokens <= 350_000,
        "{kv_tokens} tokens in the KV cache at once"
    );
}

#[test]
fn failed_upstream_is_ejected_while_others_serve() {
    let mut board = board(2);
    let first = send(&mut board, &request(3, 1)).expect("an idle upstream accepts it");
    finish(&mut board, &first, AttemptOutcome::Unreachable);
    for request_id in 2..10 {
        let next =
            send(&mut board, &request(3, request_id)).expect("the other upstream accepts it");
        assert_ne!(next.id, first.id);
        finish(&mut board, &next, AttemptOutcome::Whole);
    }
}

#[test]
fn the_only_upstream_is_used_although_it_failed() {
    let mut board = board(1);
    for request_id in 0..5 {
        let selected =
            send(&mut board, &request(3, request_id)).expect("the only upstream accepts it");
        finish(&mut board, &selected, AttemptOutcome::Broken);
    }
}

#[test]
fn draining_removed_and_tried_upstreams_get_no_requests() {
    let mut board = board(3);
    let mut draining = entry("up-0", "a", Duration::ZERO);
    draining.ready = false;
    board.put_upstream(NOW, draining);
    board.remove_upstream(NOW, "up-1");
    let selected = send(&mut board, &request(4, 1)).expect("one upstream is left");
    assert_eq!(selected.id, "up-2");
    let retry = RequestSpec {
        tried_upstreams: vec![selected.key],
        ..request(4, 1)
    };
    assert_eq!(
        admit::select_upstream(&mut board, NOW, &retry),
        Err(Rejection::NoUpstream)
    );
}

/// The entry of an upstream that expired during an outage of the store may be published
/// again two seconds later.
#[test]
fn entry_that_expired_in_an_outage_is_kept_while_it_may_be_published_again() {
    let mut board = board(1);
    board.last_store_outage_at = Some(NOW - ms(500));
    board.remove_upstream(NOW, "up-0");
    assert!(admit::select_upstream(&mut board, NOW, &request(1, 1)).is_ok());
    board.upstreams.remove_due(NOW + ms(2_100), 0);
    let after = admit::select_upstream(&mut board, NOW + ms(2_100), &request(1, 1));
    assert_eq!(after, Err(Rejection::NoUpstream));
}

#[test]
fn upstream_loaded_by_other_instances_is_avoided() {
    let mut board = board(2);
    let first = send(&mut board, &request(8, 1)).expect("an idle upstream accepts it");
    finish(&mut board, &first, AttemptOutcome::Whole);
    board.upstreams.all[first.key].others_load.prefill_tokens = 200_000;
    let next = send(&mut board, &request(8, 2)).expect("the other upstream accepts it");
    assert_ne!(next.id, first.id);
    assert_eq!(RequestLoad::default().prefill_tokens, 0);
}

#[test]
fn upstream_that_reports_an_impossible_load_counts_as_full() {
    let mut board = board(1);
    let selected = send(&mut board, &request(1, 1)).expect("an idle upstream accepts it");
    let load = ReportedLoad {
        running: u32::MAX,
        queued: u32::MAX,
        slowness_percent: 0,
    };
    board
        .upstreams
        .record_reported_load(NOW, selected.key, load);
    assert_eq!(send(&mut board, &request(1, 2)), Err(Rejection::Overload));
}

#[test]
fn prompt_of_an_attempt_that_was_withdrawn_before_it_was_sent_does_not_count_as_cached() {
    let mut board = board(4);
    let withdrawn = admit::select_upstream(&mut board, NOW, &request(77, 1)).expect("idle");
    let (key, load) = (withdrawn.key, withdrawn.request_load);
    board.upstreams.start_attempt(NOW, key, load);
    finish(&mut board, &withdrawn, AttemptOutcome::Cancelled);
    let cache = &board.upstreams.all[key].cache;
    assert_eq!(cache.cached_tokens(&request(77, 2).prompt), 0);
}

#[test]
fn prompt_that_an_upstream_refused_does_not_count_as_cached() {
    let mut board = board(4);
    let refused = send(&mut board, &request(77, 101)).expect("idle");
    let prompt = request(77, 101).prompt;
    board.upstreams.record_prompt_not_read(refused.key, &prompt);
    finish(&mut board, &refused, AttemptOutcome::Refused);
    let cache = &board.upstreams.all[refused.key].cache;
    assert_eq!(cache.cached_tokens(&prompt), 0);
}

#[test]
fn refused_prompt_still_counts_as_cached_where_another_request_brought_it() {
    let mut board = board(1);
    let read = send(&mut board, &request(77, 101)).expect("idle");
    let prompt = request(77, 102).prompt;
    let cached = |board: &Board| board.upstreams.all[read.key].cache.cached_tokens(&prompt);
    let before = cached(&board);
    assert!(before > 0);
    send(&mut board, &request(77, 102)).expect("a free slot");
    board.upstreams.record_prompt_not_read(read.key, &prompt);
    assert_eq!(cached(&board), before);
}
