//! Tests of what is blamed for crashes of upstreams, and of the orders that quarantine it.

use std::time::Duration;

use prost::Message as _;
use sesamebarrow_routing::cache::PromptPart;
use sesamebarrow_routing::quarantine::message::{BlameEntry, OrderEntry, Orders};
use sesamebarrow_routing::quarantine::{
    ACQUITTAL_TIME, Admission, Blame, Kind, Order, QUARANTINE_CRASHES, Quarantine, Suspect,
    Suspects, Trial,
};
use sesamebarrow_routing::token;

use crate::fleet::ms;

pub const HARMFUL: u64 = 0xbad;
pub const SHARED: u64 = 1;
pub const OWN: u64 = 0xffff;
pub const ROSA: u64 = 100;
pub const IKER: u64 = 200;

/// Later than [`ACQUITTAL_TIME`], so that no answer is too recent.
pub const START: Duration = Duration::from_secs(100);

pub fn prompt(parts: &[u64]) -> Vec<PromptPart> {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 10,
    };
    parts.iter().map(part).collect()
}

pub fn part(id: u64) -> Suspect {
    Suspect {
        kind: Kind::Part,
        id,
    }
}

pub fn request(fingerprint: u64) -> Suspect {
    Suspect {
        kind: Kind::Request,
        id: fingerprint,
    }
}

/// Returns a trial of one suspect, without others that may be to blame.
pub fn trial_of(suspect: Suspect) -> Trial {
    Trial {
        suspects: vec![suspect],
        ambiguity: 1,
    }
}

/// Returns the suspects of a request with a prompt that has come only once.
pub fn single(customer: u64, fingerprint: u64, parts: &[u64]) -> Suspects {
    Suspects::of_request(customer, (1 << 40) + fingerprint, &prompt(parts))
}

/// Records that run number `run` crashed under one request of a customer, different from all others.
pub fn crash(
    q: &mut Quarantine,
    now: Duration,
    run: u64,
    customer: u64,
    parts: &[u64],
) -> Vec<Order> {
    q.record_crash(now, run, &single(customer, run, parts))
}

pub fn answer(q: &mut Quarantine, now: Duration, customer: u64, parts: &[u64]) -> Vec<Order> {
    q.record_answer(now, &single(customer, 0xa, parts))
}

pub fn admission(q: &Quarantine, now: Duration, customer: u64, parts: &[u64]) -> Admission {
    q.admission(now, &single(customer, 0xb, parts))
}

/// Returns the blamed parts and the number of crashes that count against them.
pub fn blamed_parts(q: &Quarantine) -> Vec<(u64, usize)> {
    let parts = q.blamed().filter(|(s, _)| s.kind == Kind::Part);
    parts
        .map(|(suspect, crashes)| (suspect.id, crashes))
        .collect()
}

/// Returns a quarantine with an order on [`HARMFUL`] that binds `customers`.
fn ordered(customers: &[u64]) -> Quarantine {
    let mut q = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        let customer = customers[run as usize % customers.len()];
        crash(&mut q, START, run, customer, &[HARMFUL, OWN + run]);
    }
    q
}

/// Defines a test of a part that stands anywhere before the last part of the prompts.
macro_rules! quarantined_test {
    ($($name:ident: $parts:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut q = Quarantine::default();
            for run in 0..QUARANTINE_CRASHES as u64 {
                let now = START + ms(100 * run);
                assert_eq!(admission(&q, now, ROSA, &$parts(OWN)), Admission::Allowed);
                answer(&mut q, now, ROSA, &[SHARED, 2, OWN]);
                crash(&mut q, now, run, ROSA, &$parts(OWN + run));
            }
            let now = START + ms(400);
            assert_eq!(admission(&q, now, ROSA, &$parts(OWN)), Admission::Quarantined(part(HARMFUL)));
            assert_eq!(admission(&q, now, ROSA, &[SHARED, 2, OWN]), Admission::Allowed);
        }
    )*};
}

quarantined_test! {
    part_that_stands_first_is_quarantined: |own| [HARMFUL, SHARED, 2, own];
    part_that_stands_in_the_middle_is_quarantined: |own| [SHARED, HARMFUL, 2, own];
    part_that_stands_next_to_last_is_quarantined: |own| [SHARED, 2, HARMFUL, own];
}

#[test]
fn part_of_sound_requests_that_run_beside_a_harmful_one_is_not_quarantined() {
    let mut q = Quarantine::default();
    for run in 0..20 {
        let now = START + ms(250 * run);
        crash(&mut q, now, run, ROSA, &[SHARED, HARMFUL, OWN]);
        crash(&mut q, now, run, ROSA, &[SHARED, 7, OWN]);
        answer(&mut q, now + ms(50), ROSA, &[SHARED, 7, OWN]);
        assert_eq!(
            admission(&q, now, ROSA, &[SHARED, 7, OWN]),
            Admission::Allowed
        );
    }
}

#[test]
fn part_of_many_requests_is_not_blamed_for_upstreams_that_crash_at_once() {
    let mut q = Quarantine::default();
    answer(&mut q, START, ROSA, &[SHARED, 7, OWN]);
    for run in 0..50 {
        crash(&mut q, START + ms(20), run, ROSA, &[SHARED, 7, OWN]);
    }
    assert_eq!(q.orders().count(), 0);
    assert_eq!(blamed_parts(&q), []);
}

#[test]
fn last_part_is_not_blamed() {
    let mut q = Quarantine::default();
    for run in 0..10 {
        crash(&mut q, START, run, ROSA, &[HARMFUL]);
        crash(&mut q, START, run, ROSA, &[OWN + run, HARMFUL]);
    }
    assert_eq!(
        admission(&q, START, ROSA, &[HARMFUL, OWN]),
        Admission::Allowed
    );
}

#[test]
fn one_run_that_ends_under_many_requests_is_blamed_on_a_part_once() {
    let mut q = Quarantine::default();
    for own in 0..30 {
        crash(&mut q, START, 1, ROSA, &[HARMFUL, own]);
    }
    assert_eq!(blamed_parts(&q), [(HARMFUL, 1)]);
}

#[test]
fn two_harmful_parts_are_quarantined_at_the_same_time() {
    let mut q = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut q, START, 2 * run, ROSA, &[HARMFUL, OWN]);
        crash(&mut q, START, 2 * run + 1, ROSA, &[0xbad2, OWN]);
    }
    let at = |part| admission(&q, START, ROSA, &[part, OWN]);
    assert_eq!(at(HARMFUL), Admission::Quarantined(part(HARMFUL)));
    assert_eq!(at(0xbad2), Admission::Quarantined(part(0xbad2)));
}

#[test]
fn part_that_comes_once_a_minute_is_quarantined() {
    let mut q = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        let now = START + Duration::from_secs(60 * run);
        q.remove_expired(now);
        crash(&mut q, now, run, ROSA, &[HARMFUL, OWN]);
    }
    let now = START + Duration::from_secs(121);
    assert_eq!(
        admission(&q, now, ROSA, &[HARMFUL, OWN]),
        Admission::Quarantined(part(HARMFUL))
    );
}

#[test]
fn request_with_a_suspected_part_is_not_repeated() {
    let mut q = Quarantine::default();
    let harmful = single(ROSA, 0xc, &[SHARED, HARMFUL, OWN]);
    crash(&mut q, START, 1, ROSA, &[SHARED, HARMFUL, OWN]);
    assert!(!q.is_suspected(&harmful), "one crash says little");
    answer(&mut q, START, ROSA, &[SHARED, OWN]);
    crash(&mut q, START, 2, ROSA, &[SHARED, HARMFUL, OWN]);
    assert!(q.is_suspected(&harmful));
    assert!(!q.is_suspected(&single(ROSA, 0xd, &[SHARED, OWN])));
}

#[test]
fn order_binds_other_customers_only_after_a_crash_under_their_requests() {
    let mut q = ordered(&[ROSA]);
    let at = |q: &Quarantine, customer| admission(q, START, customer, &[HARMFUL, OWN]);
    assert_eq!(at(&q, ROSA), Admission::Quarantined(part(HARMFUL)));
    assert_eq!(at(&q, IKER), Admission::Allowed);
    let orders = crash(&mut q, START, 50, IKER, &[HARMFUL, OWN]);
    assert_eq!(orders.len(), 1, "the extended order is sent to the others");
    assert_eq!(at(&q, IKER), Admission::Quarantined(part(HARMFUL)));
    assert_eq!(at(&q, 300), Admission::Quarantined(part(HARMFUL)));
}

#[test]
fn order_after_crashes_under_several_customers_binds_all() {
    let q = ordered(&[ROSA, IKER]);
    assert_eq!(
        admission(&q, START, 300, &[HARMFUL, OWN]),
        Admission::Quarantined(part(HARMFUL))
    );
}

#[test]
fn complete_answer_revokes_an_order() {
    let mut q = ordered(&[ROSA]);
    let revoked = answer(&mut q, START + ms(500), ROSA, &[HARMFUL, OWN]);
    assert_eq!(revoked.len(), 1);
    assert_eq!(
        admission(&q, START + ms(500), ROSA, &[HARMFUL, OWN]),
        Admission::Allowed
    );
}

#[test]
fn instance_that_knows_a_recent_answer_revokes_the_order_of_another() {
    let order = *ordered(&[ROSA]).orders().next().expect("an order");
    let mut q = Quarantine::default();
    answer(&mut q, START - ms(2_000), ROSA, &[HARMFUL, OWN]);
    let (is_new, revoked) = q.merge_order(START, order);
    assert!(is_new);
    let revoked = revoked.expect("the answer acquits the part");
    let mut other = ordered(&[ROSA]);
    assert!(other.merge_order(START, revoked).0);
    assert_eq!(
        admission(&other, START, ROSA, &[HARMFUL, OWN]),
        Admission::Allowed
    );
}

#[test]
fn part_that_becomes_harmful_after_sound_answers_is_quarantined() {
    let mut q = Quarantine::default();
    answer(&mut q, START, ROSA, &[HARMFUL, OWN]);
    let later = START + ACQUITTAL_TIME;
    for run in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut q, later, run, ROSA, &[HARMFUL, OWN]);
    }
    assert_eq!(
        admission(&q, later, ROSA, &[HARMFUL, OWN]),
        Admission::Quarantined(part(HARMFUL))
    );
}

#[test]
fn revoked_order_is_not_brought_back_by_an_instance_that_still_has_it() {
    let old = *ordered(&[ROSA]).orders().next().expect("an order");
    let mut q = ordered(&[ROSA]);
    answer(&mut q, START, ROSA, &[HARMFUL, OWN]);
    assert!(!q.merge_order(START + ms(100), old).0);
}

#[test]
fn trials_are_granted_one_at_a_time_and_ever_less_often() {
    let mut q = ordered(&[ROSA]);
    let mut now = START;
    let mut trials = Vec::new();
    for _ in 0..3_600 {
        now += Duration::from_secs(1);
        if q.grant_trial(now, part(HARMFUL)).is_some() {
            trials.push((now - START).as_secs());
            assert_eq!(
                q.grant_trial(now, part(HARMFUL)),
                None,
                "a second one at the same time"
            );
            crash(&mut q, now, now.as_secs(), ROSA, &[HARMFUL, OWN]);
        }
    }
    assert_eq!(trials, [4, 68, 1_092]);
}

#[test]
fn made_up_parts_do_not_displace_blame_of_harmful_ones() {
    let mut q = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        for made_up in 0..5_000 {
            let part = 10_000 + run * 5_000 + made_up;
            crash(&mut q, START, 1_000_000 + part, IKER, &[part, OWN]);
        }
        crash(&mut q, START, run, ROSA, &[HARMFUL, OWN]);
        // Of the parts with one crash, the oldest are dropped first; a second crash protects.
        crash(&mut q, START, 500 + run, ROSA, &[HARMFUL, OWN]);
    }
    assert_eq!(
        admission(&q, START, ROSA, &[HARMFUL, OWN]),
        Admission::Quarantined(part(HARMFUL))
    );
    assert!(q.blamed().count() <= 1_024, "memory is bounded");
}

#[test]
fn orders_of_two_instances_converge_whatever_their_order_of_arrival() {
    let first = *ordered(&[ROSA]).orders().next().expect("an order");
    let mut extended = first;
    assert!(extended.extend_to(IKER));
    let mut revoked = first;
    revoked.revoke(START);
    let all = [first, extended, revoked];
    let merge = |indices: [usize; 3]| {
        let mut q = Quarantine::default();
        for index in indices {
            q.merge_order(START, all[index]);
        }
        (q.digest(), admission(&q, START, 300, &[HARMFUL, OWN]))
    };
    let expected = merge([0, 1, 2]);
    assert_eq!(
        expected.1,
        Admission::Quarantined(part(HARMFUL)),
        "the stricter one of the same serial"
    );
    for indices in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        assert_eq!(merge(indices), expected);
    }
}

#[test]
fn digest_says_whether_orders_differ() {
    let mut q = ordered(&[ROSA]);
    assert_eq!(Quarantine::default().digest(), 0);
    assert_eq!(q.digest(), ordered(&[ROSA]).digest());
    let before = q.digest();
    q.grant_trial(START + ms(5_000), part(HARMFUL));
    assert_ne!(q.digest(), before);
}

#[test]
fn order_that_is_sent_keeps_its_age() {
    let order = *ordered(&[ROSA]).orders().next().expect("an order");
    let sent_at = START + ms(7_000);
    let received_at = Duration::from_secs(500);
    let received = OrderEntry::new(sent_at, &order).decode(received_at);
    let received = received.expect("a known kind");
    assert_eq!(received_at - received.since, ms(7_000));
    assert_eq!(received.suspect, order.suspect);
    assert_eq!(received.customer, Some(ROSA));
}

#[test]
fn blame_is_sent_to_the_judges_several_times() {
    let mut q = Quarantine::default();
    crash(&mut q, START, 1, ROSA, &[HARMFUL, OWN]);
    let suspects = single(ROSA, 1, &[HARMFUL, OWN]);
    let expected = [request(suspects.fingerprint), part(HARMFUL)].map(|suspect| Blame {
        suspect,
        run: 1,
        earlier_crashes: 0,
        customer: ROSA,
        request: suspects.request,
        one_of_many: false,
    });
    let mut sent = 0;
    for step in 0..30 {
        let due = q.take_due_reports(START + ms(400 * step));
        assert!(due.iter().all(|(blame, _)| expected.contains(blame)));
        sent += due.len();
    }
    assert_eq!(sent, 4 * expected.len());
}

#[test]
fn trial_that_is_answered_frees_a_part_that_was_blamed_wrongly() {
    let mut q = ordered(&[ROSA]);
    let later = START + ms(4_000);
    assert_eq!(
        admission(&q, later, ROSA, &[HARMFUL, OWN]),
        Admission::TrialDue(trial_of(part(HARMFUL)))
    );
    assert!(q.grant_trial(later, part(HARMFUL)).is_some());
    answer(&mut q, later + ms(300), ROSA, &[HARMFUL, OWN]);
    assert_eq!(
        admission(&q, later + ms(300), ROSA, &[HARMFUL, OWN]),
        Admission::Allowed
    );
}

#[test]
fn blame_of_the_version_before_is_taken_for_that_of_different_requests() {
    let mut q = Quarantine::default();
    for run in 1..=QUARANTINE_CRASHES as u64 {
        let entry = BlameEntry {
            suspect: HARMFUL,
            run,
            customer: ROSA,
            ..BlameEntry::default()
        };
        let (blame, age) = entry.decode().expect("a known kind");
        q.record_blame(START, age, blame);
    }
    assert_eq!(
        admission(&q, START, ROSA, &[HARMFUL, OWN]),
        Admission::Quarantined(part(HARMFUL))
    );
}

#[test]
fn kinds_of_a_later_version_are_ignored() {
    let entry = OrderEntry {
        kind: 99,
        in_force: true,
        ..OrderEntry::default()
    };
    assert_eq!(entry.decode(START), None);
}

/// A datagram as the version before reads it.
#[derive(Clone, PartialEq, prost::Message)]
struct EarlierDatagram {
    #[prost(message, tag = "1")]
    request: Option<token::Request>,
}

#[test]
fn instance_of_the_version_before_ignores_orders() {
    let order = *ordered(&[ROSA]).orders().next().expect("an order");
    let orders = Orders {
        entries: vec![OrderEntry::new(START, &order)],
        spread: false,
    };
    let bytes = token::encode(token::Body::Orders(orders));
    let read = EarlierDatagram::decode(&bytes[..]).expect("unknown kinds are skipped");
    assert_eq!(read, EarlierDatagram::default());
}
