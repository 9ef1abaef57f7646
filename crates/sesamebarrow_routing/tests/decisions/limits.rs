//! Tests of the limits that upstreams name: when they begin and end, and what their buckets grant.

use std::time::Duration;

use rstest::rstest;
use sesamebarrow_routing::limit::bucket::Bucket;
use sesamebarrow_routing::limit::slot::Slots;
use sesamebarrow_routing::limit::{self, Change, Limits, Observation};

use crate::fleet::ms;

const RUN: u64 = 7;

const START: Duration = Duration::from_secs(100);

fn named(rate: f64) -> Observation {
    Observation {
        run: RUN,
        rate: Some(rate),
        by_refusal: false,
    }
}

const UNNAMED: Observation = Observation {
    run: RUN,
    rate: None,
    by_refusal: false,
};

const REFUSAL: Observation = Observation {
    by_refusal: true,
    ..UNNAMED
};

/// Returns limits of an owner that has observed `observations`, one each second.
fn observed(observations: &[Observation]) -> Limits {
    let mut limits = Limits::default();
    let mut now = START;
    for observation in observations {
        limits.observe(now, *observation, true);
        now += Duration::from_secs(1);
    }
    limits
}

#[rstest]
#[case::named(&[named(2.0)], Some(2.0))]
#[case::raised(&[named(2.0), named(5.0)], Some(5.0))]
#[case::lowered(&[named(2.0), named(0.0)], Some(0.0))]
#[case::one_answer_without_it(&[named(2.0), UNNAMED], Some(2.0))]
#[case::ended(&[named(2.0), UNNAMED, UNNAMED], None)]
#[case::named_by_every_second_answer(&[named(2.0), UNNAMED, named(2.0), UNNAMED], Some(2.0))]
#[case::refusals_never_named_it(&[named(2.0), REFUSAL, REFUSAL, REFUSAL], Some(2.0))]
#[case::named_again_soon(&[named(2.0), UNNAMED, UNNAMED, named(2.0), UNNAMED, UNNAMED], Some(2.0))]
#[case::ended_again(&[named(2.0), UNNAMED, UNNAMED, named(2.0), UNNAMED, UNNAMED, UNNAMED, UNNAMED], None)]
fn limit_stands_while_it_is_named(#[case] observations: &[Observation], #[case] rate: Option<f64>) {
    let limits = observed(observations);
    assert_eq!(limits.in_force(RUN).and_then(|l| l.rate), rate);
}

#[test]
fn limit_named_by_refusals_only_ends_after_a_time() {
    let mut limits = Limits::default();
    let named = Observation {
        by_refusal: true,
        ..named(2.0)
    };
    limits.observe(START, named, true);
    for second in 1..30 {
        limits.observe(START + Duration::from_secs(second), UNNAMED, true);
    }
    assert!(limits.in_force(RUN).is_some());
    for second in 31..33 {
        limits.observe(START + Duration::from_secs(second), UNNAMED, true);
    }
    assert!(limits.in_force(RUN).is_none());
}

#[test]
fn only_the_owner_ends_a_limit() {
    let mut limits = observed(&[named(2.0)]);
    for _ in 0..limit::MAX_END_EVIDENCE {
        assert_eq!(limits.observe(START, UNNAMED, false), None);
    }
    assert!(limits.in_force(RUN).is_some());
}

#[test]
fn newer_state_of_another_instance_stands() {
    let mut limits = observed(&[named(2.0)]);
    assert_eq!(limits.merge(START, RUN, 1, None), None);
    assert_eq!(limits.merge(START, RUN, 2, None), Some(Change::Unlimited));
    assert_eq!(limits.merge(START, RUN, 1, Some(2.0)), None);
    assert_eq!(
        limits.merge(START, RUN, 2, Some(3.0)),
        Some(Change::Limited),
        "of the same age the stricter one"
    );
}

/// Returns the number of permits that a bucket grants in each second, for `per_s` requests a second.
fn grants(rate: f64, per_s: u32, seconds: u32) -> Vec<u32> {
    let mut bucket = Bucket::empty(START);
    let mut now = START;
    let mut counts = Vec::new();
    for _ in 0..seconds {
        let mut count = 0;
        for _ in 0..per_s {
            now += Duration::from_secs(1) / per_s;
            count += u32::from(bucket.take(now, rate, 0).is_ok());
        }
        counts.push(count);
    }
    counts
}

#[rstest]
#[case::quarter(0.25)]
#[case::one(1.0)]
#[case::seven(7.0)]
#[case::hundred(100.0)]
fn bucket_uses_the_whole_limit_and_no_more(#[case] rate: f64) {
    let counts = grants(rate, 400, 60);
    let total = f64::from(counts.iter().sum::<u32>());
    assert!(total >= 0.95 * rate * 60.0 - 1.0, "{total}");
    for four in counts.windows(4) {
        let sum = f64::from(four.iter().sum::<u32>());
        assert!(sum <= 4.0 * rate + 2.0, "{sum} in 4 s");
    }
}

#[test]
fn refused_requests_are_told_to_come_back_one_after_the_other() {
    let mut bucket = Bucket::empty(START);
    let due: Vec<Duration> = (0..5)
        .map(|_| bucket.take(START, 2.0, 0).expect_err("no permit yet"))
        .collect();
    let apart = due.windows(2).all(|pair| pair[1] >= pair[0] + ms(500));
    assert!(apart, "{due:?}");
}

#[test]
fn urgent_requests_come_first_and_others_are_not_starved() {
    let mut bucket = Bucket::empty(START);
    let mut served = [0, 0];
    for step in 0..600_u32 {
        let now = START + ms(100) * step;
        for urgency in [1, 0] {
            let granted = bucket.take(now, 2.0, urgency).is_ok();
            served[usize::from(urgency)] += u32::from(granted);
        }
    }
    assert!(served[0] > 2 * served[1], "{served:?}");
    assert!(served[1] * 8 >= served[0], "{served:?}");
}

#[rstest]
#[case::half_a_second(0.5)]
#[case::seven(7.0)]
#[case::hundred(100.0)]
fn each_slot_is_granted_by_one_side(#[case] rate: f64) {
    let start = Duration::from_millis(1_790_000_000_000);
    let of_side = |side: u64| Slots::new((0..9).map(|weight| (weight, weight % 3 == side)), rate);
    let mut due: Vec<Duration> = (0..3)
        .flat_map(|side| {
            let slots = of_side(side);
            let times = std::iter::successors(Some(start), move |at| Some(slots.next_after(*at)));
            times.skip(1).take(30).collect::<Vec<_>>()
        })
        .collect();
    due.sort();
    let interval = Duration::from_secs_f64(1.0 / rate);
    for pair in due.windows(2) {
        let apart = pair[1] - pair[0];
        assert!(apart.abs_diff(interval) < ms(1), "{apart:?}");
    }
}

#[test]
fn slots_that_nobody_takes_lapse_and_turns_add_no_permit() {
    let slots = Slots::new([(0, true), (1, false)], 4.0);
    let clock = Duration::from_secs(1_790_000_000);
    let mut bucket = Bucket::empty(START);
    let mut now = START;
    let mut take = |after: Duration| {
        now += after;
        let clock = clock + now;
        std::iter::repeat_with(|| bucket.take_slot(now, clock, &slots, 0))
            .take_while(Result::is_ok)
            .count()
    };
    assert_eq!(take(Duration::ZERO), 0, "nothing that was due before");
    assert_eq!(take(Duration::from_secs(60)), 1, "only the last one");
    let mut granted = 0;
    for _ in 0..1_000 {
        now += ms(10);
        granted += u32::from(bucket.take_slot(now, clock + now, &slots, 0).is_ok());
        granted += u32::from(bucket.take(now, 2.0, 0).is_ok());
    }
    assert!(granted <= 20, "{granted}");
}
