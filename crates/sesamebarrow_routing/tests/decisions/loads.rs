//! Tests how estimates of waits follow a change of load.

use std::time::Duration;

use sesamebarrow_routing::admit::{self, RequestSpec};

use crate::fleet::{Fleet, MODEL, config, entry, ms, route};

/// Returns a fleet with `upstreams` upstreams in each region.
fn fleet(domains: &[(&str, usize)], upstreams: usize) -> Fleet {
    let mut fleet = Fleet::new(domains, config(&[], vec![route("r", &[])]));
    for instance in &mut fleet.instances {
        let region = instance.board.identity.region.clone();
        for n in 0..upstreams {
            let entry = entry(&format!("{region}-up-{n}"), &region, Duration::ZERO);
            instance.board.put_upstream(Duration::ZERO, entry);
        }
    }
    fleet.advance(ms(6_000));
    fleet
}

fn request() -> RequestSpec {
    RequestSpec {
        service: MODEL.into(),
        prompt_tokens: 2_000,
        output_tokens: 60,
        target_wait: ms(800),
        ..RequestSpec::default()
    }
}

/// Instances that get few answers must not take a quiet time for the peak before it.
#[test]
fn estimates_recover_soon_after_a_peak_at_an_instance_with_few_requests() {
    let mut fleet = fleet(&[("a", 1)], 1);
    let board = &mut fleet.instances[0].board;
    let key = board.upstreams.of_service(MODEL)[0];
    board.upstreams.all[key].in_progress = 1;
    let estimate = |board: &mut sesamebarrow_routing::Board, now| {
        let selected = admit::select_upstream(board, now, &request());
        selected
            .expect("an upstream with one request accepts another")
            .estimated_wait
    };
    let peak_end = ms(20_000);
    for n in 0..150 {
        let at = ms(15_000) + ms(33 * n);
        board.record_first_event(at, &MODEL.into(), ms(400), ms(2_400));
    }
    let at_peak = estimate(board, peak_end);
    assert!(at_peak > ms(400), "{at_peak:?} is estimated at the peak");
    // One answer every 700 ms, as soon as an idle upstream gives it.
    for n in 1..=8 {
        let at = peak_end + ms(700 * n);
        let estimated = estimate(board, at);
        board.record_first_event(at, &MODEL.into(), estimated, ms(90));
    }
    let after = estimate(board, peak_end + ms(6_000));
    assert!(
        after < ms(200),
        "{after:?} is estimated six seconds after the peak"
    );
}
