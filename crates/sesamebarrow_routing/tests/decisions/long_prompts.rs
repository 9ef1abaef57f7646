//! Tests of harmful parts in prompts with many parts.

use std::time::Duration;

use sesamebarrow_routing::quarantine::message::{self, BlameEntry};
use sesamebarrow_routing::quarantine::{Admission, QUARANTINE_CRASHES, Quarantine};
use sesamebarrow_routing::token;

use crate::fleet::ms;
use crate::quarantine::{
    HARMFUL, IKER, OWN, ROSA, SHARED, START, admission, answer, blamed_parts, crash, part, single,
};

/// Returns a prompt with `count` parts that come only once, and [`HARMFUL`] among them.
fn made_up(number: u64, count: u64) -> Vec<u64> {
    let made_up = (0..count).map(|n| 100_000 + number * count + n);
    made_up.chain([HARMFUL, OWN]).collect()
}

#[test]
fn harmful_part_in_a_long_list_of_made_up_parts_is_quarantined_for_its_customer_only() {
    let mut q = Quarantine::default();
    let long = |number: u64| made_up(number, 2_000);
    for run in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut q, START, run, ROSA, &long(run));
    }
    assert_eq!(blamed_parts(&q), [], "made-up parts fill no table");
    let of_rosa = admission(&q, START, ROSA, &long(50));
    assert_eq!(of_rosa, Admission::Quarantined(part(HARMFUL)));
    assert_eq!(admission(&q, START, IKER, &long(50)), Admission::Allowed);
    assert_eq!(
        admission(&q, START, ROSA, &[SHARED, 7, OWN]),
        Admission::Allowed
    );
    let mut sound = long(60);
    sound.retain(|part| *part != HARMFUL);
    assert_eq!(admission(&q, START, ROSA, &sound), Admission::Allowed);
}

/// Returns a prompt with `count` parts that all requests share, and `part` among them, in the order of `number`.
fn shared(number: u64, count: u64, part: u64) -> Vec<u64> {
    let mut parts: Vec<u64> = (0..count).map(|n| 5_000 + n).collect();
    // CAST: small numbers.
    parts.rotate_left((number * 7 % count) as usize);
    parts.insert((number * 11 % count) as usize, part);
    parts.push(OWN + number);
    parts
}

/// Defines a test of long prompts with so many parts, whose sound ones are answered between the crashes. The other
/// parts must not acquit the harmful one, and it must not have them refused.
macro_rules! long_prompts_test {
    ($($name:ident: $count:expr, $customers:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut q = Quarantine::default();
            let customers: &[u64] = &$customers;
            for run in 0..QUARANTINE_CRASHES as u64 {
                let now = START + ms(3_000 * run);
                let customer = customers[run as usize % customers.len()];
                answer(&mut q, now, customer, &shared(run, $count, 0x50de));
                crash(&mut q, now, run, customer, &shared(run, $count, HARMFUL));
                answer(&mut q, now + ms(100), customer, &shared(run + 20, $count, 0x50de));
            }
            let now = START + ms(9_000);
            for customer in customers {
                let at = |part| admission(&q, now, *customer, &shared(50, $count, part));
                assert_eq!(at(HARMFUL), Admission::Quarantined(part(HARMFUL)));
                assert_eq!(at(0x50de), Admission::Allowed);
            }
            let short = admission(&q, now, customers[0], &[HARMFUL, OWN]);
            assert_eq!(short, Admission::Quarantined(part(HARMFUL)));
        }
    )*};
}

long_prompts_test! {
    harmful_part_among_thirty_shared_parts_is_quarantined: 30, [ROSA];
    harmful_part_among_thirty_three_shared_parts_is_quarantined: 33, [ROSA];
    harmful_part_among_two_thousand_shared_parts_is_quarantined: 2_000, [ROSA];
    harmful_part_in_long_prompts_of_several_customers_is_quarantined: 64, [ROSA, IKER, 300];
}

/// A part that comes in long prompts and in short ones must be blamed under one name.
#[test]
fn blame_of_long_and_of_short_prompts_adds_up() {
    for order in [
        [2_000, 0, 2_000],
        [0, 2_000, 0],
        [2_000, 2_000, 0],
        [0, 0, 2_000],
    ] {
        let mut q = Quarantine::default();
        for (run, count) in (0..).zip(order) {
            crash(&mut q, START, run, ROSA, &made_up(run, count));
        }
        let short = admission(&q, START, ROSA, &[HARMFUL, OWN]);
        assert_eq!(short, Admission::Quarantined(part(HARMFUL)), "{order:?}");
    }
}

/// Crashes under long prompts at different instances must add up at a judge.
#[test]
fn blame_of_long_prompts_reaches_the_judge_in_small_datagrams() {
    let mut judge = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        let mut reporter = Quarantine::default();
        crash(&mut reporter, START, run, ROSA, &made_up(run, 2_000));
        let due = reporter.take_due_reports(START);
        assert_eq!(due.len(), 2_002, "the parts and the request");
        let entries = due
            .into_iter()
            .map(|(blame, age)| BlameEntry::new(blame, age));
        for message in message::pack_blame(entries.collect()) {
            let bytes = token::encode(token::Body::Blames(message));
            assert!(bytes.len() < 512, "{} bytes", bytes.len());
            let received = token::decode(&bytes).expect("what was encoded").body;
            let Some(token::Body::Blames(received)) = received else {
                unreachable!("blame was sent")
            };
            for (blame, age) in received.entries.iter().flat_map(BlameEntry::decode_all) {
                judge.record_blame(START, age, blame);
            }
        }
    }
    let of_rosa = admission(&judge, START, ROSA, &[HARMFUL, OWN]);
    assert_eq!(of_rosa, Admission::Quarantined(part(HARMFUL)));
    assert!(judge.blamed().count() < 10, "made-up parts fill no table");
}

/// A report that no allowance covers would never be sent, and keep others from being sent.
#[test]
fn blame_of_a_prompt_of_any_length_is_sent() {
    let mut q = Quarantine::default();
    crash(&mut q, START, 1, ROSA, &made_up(1, 12_000));
    crash(&mut q, START, 2, ROSA, &made_up(2, 40));
    let mut sent = 0;
    for second in 0..200 {
        sent += q
            .take_due_reports(START + Duration::from_secs(second))
            .len();
    }
    assert!(sent >= 12_000, "only {sent} suspects sent");
}

/// Without any answer, the parts that all requests share are as suspicious as the harmful one. They are freed by the
/// first answer.
#[test]
fn long_prompts_whose_parts_no_answer_acquits_are_refused_until_one_is_answered() {
    let mut q = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut q, START, run, ROSA, &shared(run, 2_000, HARMFUL));
    }
    let at = |q: &Quarantine, now, part| admission(q, now, ROSA, &shared(50, 2_000, part));
    assert!(matches!(at(&q, START, HARMFUL), Admission::Quarantined(_)));
    assert!(q.blamed().count() <= 1_024, "memory is bounded");
    let later = START + ms(4_000);
    assert!(matches!(at(&q, later, 0x50de), Admission::TrialDue(_)));
    q.record_answer(later, &single(ROSA, 0xe, &shared(60, 2_000, 0x50de)));
    assert_eq!(at(&q, later, 0x50de), Admission::Allowed);
    for run in 10..10 + QUARANTINE_CRASHES as u64 {
        crash(&mut q, later, run, ROSA, &shared(run, 2_000, HARMFUL));
    }
    // If an order on it was among the first ones, a trial is due.
    assert_ne!(at(&q, later, HARMFUL), Admission::Allowed);
    assert_eq!(at(&q, later, 0x50de), Admission::Allowed);
}
