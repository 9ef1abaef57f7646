//! Tests of which requests are trials of quarantined suspects, and of what is released without one.

use std::time::Duration;

use sesamebarrow_routing::quarantine::{
    ACQUITTAL_TIME, Admission, Kind, Order, QUARANTINE_CRASHES, Quarantine, Suspect,
};

use crate::fleet::ms;
use crate::quarantine::{IKER, OWN, ROSA, START, admission, part, single};

/// Time after an order at which a trial of a part is due.
const TRIAL_DELAY: Duration = Duration::from_secs(4);

/// Number of crashes within which a harmful part has to stop in a small fleet.
const MAX_CRASHES: u64 = 5;

/// Ids of a sound and a harmful part; decisions must not depend on their order.
type Parts = (u64, u64);

fn crash(q: &mut Quarantine, now: Duration, run: u64, customer: u64, parts: &[u64]) -> Vec<Order> {
    let mut orders = q.record_crash(now, run, &single(customer, 1_000 + run, parts));
    orders.extend(q.release_explained(now));
    orders
}

/// Crashes runs under requests with both parts and, beside them, with the sound one.
fn crash_both(q: &mut Quarantine, now: Duration, (sound, harmful): Parts) {
    for run in 0..QUARANTINE_CRASHES as u64 {
        q.record_crash(now, run, &single(ROSA, run, &[sound, harmful, OWN + run]));
        crash(q, now, run, ROSA, &[sound, OWN + 100 + run]);
    }
}

/// Answers several requests with a part.
fn prove(q: &mut Quarantine, now: Duration, part: u64) {
    for own in 0..2 {
        q.record_answer(now, &single(ROSA, 50 + own, &[part, OWN + 50 + own]));
    }
}

fn ambiguity(q: &Quarantine, now: Duration, parts: &[u64]) -> Option<u32> {
    match admission(q, now, ROSA, parts) {
        Admission::TrialDue(trial) => Some(trial.ambiguity),
        _ => None,
    }
}

/// Defines a test for both orders of the ids of a sound and a harmful part.
macro_rules! both_orders_test {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            for parts in [(1, 2), (2, 1)] {
                $check(parts);
            }
        }
    )*};
}

both_orders_test! {
    trial_of_a_shared_part_is_left_to_requests_without_another_quarantined_one: check_trial_is_left;
    request_with_two_quarantined_parts_is_a_trial_of_both_if_no_better_one_comes: check_joint_trial;
    permit_for_one_part_does_not_let_another_quarantined_one_pass: check_permit_is_of_one_part;
    part_proven_before_a_pause_is_released_if_another_explains_its_crashes: check_release_after_pause;
    part_without_answers_is_not_released_for_another: check_no_release_without_proof;
    proven_part_that_goes_on_crashing_is_quarantined_for_good: check_second_order_stays;
    repeated_blame_does_not_bring_a_released_part_back: check_repeated_blame;
}

fn check_trial_is_left((sound, harmful): Parts) {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (sound, harmful));
    let due = START + TRIAL_DELAY;
    assert_eq!(ambiguity(&q, due, &[sound, harmful, OWN]), Some(2));
    assert_eq!(ambiguity(&q, due, &[sound, OWN]), Some(1));
    for asked in 0..10 {
        let now = due + ms(100 * asked);
        assert!(!q.is_preferred(now, part(sound), 2), "no better one yet");
    }
    assert!(q.is_preferred(due + ms(1_000), part(sound), 1));
}

fn check_joint_trial((sound, harmful): Parts) {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (sound, harmful));
    let due = START + TRIAL_DELAY;
    assert!(!q.is_preferred(due, part(sound), 2));
    assert!(!q.is_preferred(due + ms(1_999), part(sound), 3));
    assert!(
        !q.is_preferred(due + ms(2_000), part(sound), 3),
        "one with fewer has asked"
    );
    assert!(q.is_preferred(due + ms(2_000), part(sound), 2));
    assert!(q.is_preferred(due + Duration::from_secs(60), part(sound), 3));
}

fn check_permit_is_of_one_part((sound, harmful): Parts) {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (sound, harmful));
    let both = single(ROSA, 0xb, &[sound, harmful, OWN]);
    let suspects = [part(sound), part(harmful)];
    assert_eq!(q.barred(&both, &[part(sound)]), Some(part(harmful)));
    assert_eq!(q.barred(&both, &suspects), None);
}

fn check_release_after_pause((sound, harmful): Parts) {
    for pause_s in [11, 60, 3_600] {
        let mut q = Quarantine::default();
        prove(&mut q, START, sound);
        let now = START + Duration::from_secs(pause_s);
        q.remove_expired(now);
        crash_both(&mut q, now, (sound, harmful));
        assert_eq!(admission(&q, now, ROSA, &[sound, OWN]), Admission::Allowed);
        let barred = Admission::Quarantined(part(harmful));
        assert_eq!(admission(&q, now, ROSA, &[sound, harmful, OWN]), barred);
    }
}

fn check_no_release_without_proof(parts: Parts) {
    let mut q = Quarantine::default();
    // Retries of one request prove nothing.
    for _ in 0..3 {
        q.record_answer(START, &single(ROSA, 50, &[parts.0, OWN]));
    }
    let now = START + ACQUITTAL_TIME;
    crash_both(&mut q, now, parts);
    let barred = Admission::Quarantined(part(parts.0));
    assert_eq!(admission(&q, now, ROSA, &[parts.0, OWN]), barred);
}

/// A part that is proven may become harmful. What rode along with it must not hide it for long.
fn check_second_order_stays((turned, beside): Parts) {
    let mut q = Quarantine::default();
    prove(&mut q, START, turned);
    let now = START + Duration::from_secs(60);
    crash_both(&mut q, now, (turned, beside));
    assert_eq!(admission(&q, now, ROSA, &[turned, OWN]), Admission::Allowed);
    // Requests with what rode along are refused by now.
    let now = now + Duration::from_secs(3);
    let mut crashes = QUARANTINE_CRASHES as u64;
    while admission(&q, now, ROSA, &[turned, OWN]) == Admission::Allowed {
        crash(&mut q, now, 50 + crashes, ROSA, &[turned, OWN + crashes]);
        crashes += 1;
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    // Not released again, whatever else is quarantined.
    crash_both(&mut q, now + ms(500), (3, beside));
    assert_ne!(admission(&q, now, ROSA, &[turned, OWN]), Admission::Allowed);
}

fn check_repeated_blame((sound, harmful): Parts) {
    let mut q = Quarantine::default();
    let mut judge = Quarantine::default();
    prove(&mut q, START, sound);
    let now = START + Duration::from_secs(60);
    crash_both(&mut q, now, (sound, harmful));
    for step in 0..60 {
        let at = now + ms(400 * step);
        for (blame, age) in q.take_due_reports(at) {
            judge.record_blame(at, age, blame);
        }
        let orders: Vec<Order> = judge.orders().copied().collect();
        for order in orders {
            q.merge_order(at, order);
        }
        q.release_explained(at);
        let orders: Vec<Order> = q.orders().copied().collect();
        for order in orders {
            judge.merge_order(at, order);
        }
        let allowed = admission(&judge, at, ROSA, &[sound, OWN]);
        assert_eq!(allowed, Admission::Allowed, "{step}");
    }
}

/// Callers that make up names must not cost others their defence.
#[test]
fn made_up_parts_do_not_displace_proofs() {
    let mut q = Quarantine::default();
    prove(&mut q, START, 1);
    for made_up in 0..100_000 {
        q.record_answer(START + ms(1), &single(IKER, 60, &[1_000 + made_up, OWN]));
    }
    let now = START + Duration::from_secs(60);
    crash_both(&mut q, now, (1, 2));
    assert_eq!(admission(&q, now, ROSA, &[1, OWN]), Admission::Allowed);
}

/// Fingerprints were blamed for what ran beside them, as parts were.
#[test]
fn repeated_request_that_ran_beside_a_harmful_one_is_released_after_a_pause() {
    let mut q = Quarantine::default();
    let sound = single(ROSA, 7, &[]);
    q.record_answer(START, &sound);
    q.record_answer(START + ms(500), &sound);
    let now = START + Duration::from_secs(60);
    for run in 0..QUARANTINE_CRASHES as u64 {
        q.record_crash(now, run, &sound);
        q.record_crash(now, run, &single(ROSA, 9, &[]));
    }
    q.release_explained(now);
    assert_eq!(q.admission(now, &sound), Admission::Allowed);
    let harmful = Suspect {
        kind: Kind::Request,
        id: single(ROSA, 9, &[]).fingerprint,
    };
    let barred = q.admission(now, &single(ROSA, 9, &[]));
    assert_eq!(barred, Admission::Quarantined(harmful));
}

/// A request with parts that no answer has shown to be sound may be harmful itself.
#[test]
fn request_with_unknown_parts_is_a_worse_trial() {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (1, 2));
    prove(&mut q, START, 5);
    let due = START + TRIAL_DELAY;
    assert_eq!(ambiguity(&q, due, &[1, 5, OWN]), Some(1));
    assert_eq!(ambiguity(&q, due, &[1, 6, OWN]), Some(2));
}

/// Otherwise a request with several harmful parts could be a trial of each in turn.
#[test]
fn crash_under_a_trial_of_several_parts_delays_the_next_of_each() {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (1, 2));
    let due = START + TRIAL_DELAY;
    q.grant_trial(due, part(1));
    crash(&mut q, due + ms(100), 70, ROSA, &[1, 2, OWN]);
    let trials: Vec<u32> = q
        .orders()
        .filter(|o| o.suspect.kind == Kind::Part)
        .map(|o| o.trials)
        .collect();
    assert_eq!(trials, [1, 1]);
}

/// The upstreams may refuse a trial, or its caller may leave before it is sent.
#[test]
fn trial_that_no_upstream_ran_is_given_back() {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (1, 2));
    let due = START + TRIAL_DELAY;
    assert!(q.grant_trial(due, part(1)).is_some());
    assert!(q.take_back_trial(due + ms(100), part(1)).is_some());
    let soon = due + ms(100) + TRIAL_DELAY;
    assert_eq!(ambiguity(&q, soon, &[1, OWN]), Some(1));
    // A crash is an answer, and so is none of the trials of before.
    assert!(q.grant_trial(soon, part(1)).is_some());
    crash(&mut q, soon + ms(100), 80, ROSA, &[1, OWN]);
    assert_eq!(q.take_back_trial(soon + ms(200), part(1)), None);
    assert_eq!(q.take_back_trial(soon + ms(200), part(7)), None);
}

/// Trials before it must not lengthen the wait.
#[test]
fn trial_that_is_given_back_after_others_is_due_soon() {
    let mut q = Quarantine::default();
    crash_both(&mut q, START, (1, 2));
    let mut now = START;
    for run in 0..2 {
        now += Duration::from_secs(2_000);
        assert!(q.grant_trial(now, part(1)).is_some());
        crash(&mut q, now, 90 + run, ROSA, &[1, OWN]);
    }
    now += Duration::from_secs(2_000);
    assert!(q.grant_trial(now, part(1)).is_some());
    q.take_back_trial(now, part(1));
    assert_eq!(q.grant_trial(now + TRIAL_DELAY - ms(1), part(1)), None);
    assert!(q.grant_trial(now + TRIAL_DELAY, part(1)).is_some());
}
