//! Which upstream a request goes to, and when it is refused at once.

use std::time::Duration;

use sesamebarrow_routing::RoutingState;
use sesamebarrow_routing::admit::{self, Rejection, RequestSpec, SelectedUpstream};
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::upstream::{AttemptOutcome, RequestLoad};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

const NOW: Duration = Duration::from_secs(10);

/// A board with `count` warm upstreams.
fn state(count: usize) -> RoutingState {
    let mut fleet = Fleet::new(&[("a", 1)], config(&[], vec![route("r", &[])]));
    let mut state = fleet.instances.remove(0).state;
    for number in 0..count {
        let mut entry = entry(&format!("up-{number}"), "a", Duration::ZERO);
        entry.address.set_port(8000 + number as u16);
        state.put_upstream(Duration::ZERO, entry);
    }
    state
}

/// A prompt about `subject` of 9,000 tokens, 6,000 of them shared.
fn ask(subject: u64, own: u64) -> RequestSpec {
    let part = |id, tokens| PromptPart { id, tokens };
    RequestSpec {
        service: MODEL.into(),
        prompt: vec![part(1, 2_500), part(subject, 3_500), part(own, 3_000)],
        prompt_tokens: 9_000,
        output_tokens: 60,
        target_latency: ms(800),
        tried: Vec::new(),
    }
}

fn send(state: &mut RoutingState, ask: &RequestSpec) -> Result<SelectedUpstream, Rejection> {
    let chosen = admit::select_upstream(state, NOW, ask)?;
    state
        .upstreams
        .start_attempt(NOW, chosen.key, chosen.request_load, &ask.prompt, 350_000);
    Ok(chosen)
}

fn finish(state: &mut RoutingState, chosen: &SelectedUpstream, end: AttemptOutcome) {
    state.upstreams.finish_attempt(
        NOW,
        chosen.key,
        chosen.request_load,
        end,
        Duration::from_secs(3),
    );
}

#[test]
fn requests_about_one_subject_go_where_its_parts_are_kept() {
    let mut state = state(4);
    let first = send(&mut state, &ask(77, 1_000)).expect("idle upstreams take it");
    finish(&mut state, &first, AttemptOutcome::Whole);
    for own in 1_001..1_020 {
        let next = send(&mut state, &ask(77, own)).expect("idle upstreams take it");
        assert_eq!(next.id, first.id);
        assert_eq!(
            next.request_load.prefill_tokens, 3_000,
            "only its own part is read"
        );
        finish(&mut state, &next, AttemptOutcome::Whole);
    }
}

#[test]
fn two_instances_send_one_subject_to_the_same_upstream() {
    let (mut one, mut two) = (state(5), state(5));
    for subject in 10..40 {
        let a = send(&mut one, &ask(subject, 1)).expect("taken");
        let b = send(&mut two, &ask(subject, 2)).expect("taken");
        finish(&mut one, &a, AttemptOutcome::Whole);
        finish(&mut two, &b, AttemptOutcome::Whole);
        assert_eq!(a.id, b.id, "subject {subject}");
    }
}

#[test]
fn a_hot_subject_spreads_once_its_upstream_is_busy() {
    let mut state = state(3);
    let ids: std::collections::HashSet<_> = (0..30)
        .filter_map(|own| send(&mut state, &ask(5, 100 + own)).ok())
        .map(|chosen| chosen.id)
        .collect();
    assert!(ids.len() > 1, "all of it went to one upstream");
}

#[test]
fn what_cannot_begin_in_time_is_refused_at_once() {
    let mut state = state(1);
    let taken = (0..100).filter(|own| send(&mut state, &ask(9, 500 + own)).is_ok());
    let taken = taken.count();
    assert!((5..40).contains(&taken), "{taken} taken");
    assert_eq!(send(&mut state, &ask(9, 999)), Err(Rejection::Overload));
}

/// A board whose upstreams run 128 requests of others each, as many as they have slots,
/// but for the first, which seems idle.
fn busy_board(count: usize, slots: u32) -> RoutingState {
    let mut state = state(count);
    for upstream in state.upstreams.all.values_mut() {
        upstream.others_load.running = if upstream.entry.id == "up-0" {
            0
        } else {
            slots
        };
    }
    state
}

// Grown scale-1 of the first site: whatever left its homes went from all instances to the
// upstream that seemed free, until the next news.
#[test]
fn few_subjects_go_to_the_one_upstream_that_seems_idle() {
    let mut chosen = 0;
    for subject in 0..100 {
        let mut state = busy_board(64, 128);
        // Each stands for an instance with the same news.
        if send(&mut state, &ask(1_000 + subject, 1)).is_ok_and(|c| c.id == "up-0") {
            chosen += 1;
        }
    }
    assert!(
        chosen <= 25,
        "{chosen} of 100 subjects at one of 64 upstreams"
    );
}

// The same day: upstreams whose slots were taken got nothing, although one was free within
// 80 ms.
#[test]
fn a_slot_that_is_soon_free_is_waited_for() {
    let mut state = busy_board(1, 128);
    for upstream in state.upstreams.all.values_mut() {
        upstream.others_load.running = 128;
    }
    let chosen = send(&mut state, &ask(5, 1)).expect("one is free in time");
    assert!(chosen.estimated_wait > ms(180), "it waits for a slot");
    for upstream in state.upstreams.all.values_mut() {
        upstream.others_load.running = 200;
    }
    assert_eq!(send(&mut state, &ask(5, 2)), Err(Rejection::Overload));
}

// With nothing admitted, no answer would ever correct the lateness again.
#[test]
fn a_large_prompt_is_taken_by_an_idle_upstream_after_late_answers() {
    let mut state = state(1);
    for _ in 0..500 {
        state.record_first_event(&MODEL.into(), ms(100), ms(3_000));
    }
    let mut large = ask(5, 1);
    large.prompt[2].tokens = 18_000;
    large.prompt_tokens = 24_000;
    assert!(send(&mut state, &large).is_ok());
}

#[test]
fn memory_of_an_engine_is_not_overcommitted() {
    let mut state = state(1);
    let mut memory = 0;
    for own in 0..200 {
        if let Ok(chosen) = send(&mut state, &ask(own, 10_000 + own)) {
            memory += chosen.request_load.memory_tokens;
            state
                .upstreams
                .record_prefill_done(chosen.key, chosen.request_load);
        }
    }
    assert!(memory <= 350_000, "{memory} tokens at once");
}

#[test]
fn upstream_that_fails_rests_while_others_serve() {
    let mut state = state(2);
    let first = send(&mut state, &ask(3, 1)).expect("taken");
    finish(&mut state, &first, AttemptOutcome::Unreachable);
    for own in 2..10 {
        let next = send(&mut state, &ask(3, own)).expect("the other takes it");
        assert_ne!(next.id, first.id);
        finish(&mut state, &next, AttemptOutcome::Whole);
    }
}

#[test]
fn the_only_upstream_is_tried_although_it_failed() {
    let mut state = state(1);
    for own in 0..5 {
        let chosen = send(&mut state, &ask(3, own)).expect("there is no other");
        finish(&mut state, &chosen, AttemptOutcome::Broken);
    }
}

#[test]
fn draining_gone_and_tried_upstreams_get_nothing() {
    let mut state = state(3);
    let mut leaving = entry("up-0", "a", Duration::ZERO);
    leaving.ready = false;
    state.put_upstream(NOW, leaving);
    state.remove_upstream(NOW, "up-1");
    let chosen = send(&mut state, &ask(4, 1)).expect("one is left");
    assert_eq!(chosen.id, "up-2");
    let again = RequestSpec {
        tried: vec![chosen.key],
        ..ask(4, 1)
    };
    assert_eq!(
        admit::select_upstream(&mut state, NOW, &again),
        Err(Rejection::NoUpstream)
    );
}

/// An entry that lapsed while the store was away may be back two seconds later.
#[test]
fn entry_that_lapsed_in_an_outage_holds_until_it_may_be_back() {
    let mut state = state(1);
    state.store_failed_at = Some(NOW - ms(500));
    state.remove_upstream(NOW, "up-0");
    assert!(admit::select_upstream(&mut state, NOW, &ask(1, 1)).is_ok());
    state.upstreams.remove_due(NOW + ms(2_100));
    let after = admit::select_upstream(&mut state, NOW + ms(2_100), &ask(1, 1));
    assert_eq!(after, Err(Rejection::NoUpstream));
}

#[test]
fn load_of_other_instances_counts() {
    let mut state = state(2);
    let first = send(&mut state, &ask(8, 1)).expect("taken");
    finish(&mut state, &first, AttemptOutcome::Whole);
    state.upstreams.all[first.key].others_load.prefill_tokens = 200_000;
    let next = send(&mut state, &ask(8, 2)).expect("the other takes it");
    assert_ne!(next.id, first.id);
    assert_eq!(RequestLoad::default().prefill_tokens, 0);
}
