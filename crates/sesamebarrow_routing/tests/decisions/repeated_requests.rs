//! Tests of what is blamed for crashes under requests that come again, and of how blame reaches its judges.

use std::time::Duration;

use sesamebarrow_routing::quarantine::{Admission, QUARANTINE_CRASHES, Quarantine, Suspects};

use crate::fleet::ms;
use crate::quarantine::{HARMFUL, OWN, ROSA, SHARED, START, part, prompt, request, trial_of};

/// Returns the suspects of a request that comes again.
fn repeated(fingerprint: u64, parts: &[u64]) -> Suspects {
    Suspects::of_request(ROSA, fingerprint, &prompt(parts))
}

#[test]
fn request_that_comes_again_is_quarantined_without_its_parts() {
    let mut q = Quarantine::default();
    let harmful = repeated(7, &[SHARED, 2, OWN]);
    for run in 0..QUARANTINE_CRASHES as u64 {
        assert_eq!(q.admission(START, &harmful), Admission::Allowed);
        q.record_crash(START + ms(2_000 * run), run, &harmful);
    }
    let now = START + ms(6_000);
    assert_eq!(
        q.admission(now, &harmful),
        Admission::Quarantined(request(7))
    );
    let same_parts = repeated(8, &[SHARED, 2, OWN]);
    assert_eq!(q.admission(now, &same_parts), Admission::Allowed);
    assert!(!q.is_suspected(&same_parts));
}

#[test]
fn part_of_two_requests_that_come_again_by_turns_is_quarantined() {
    let mut q = Quarantine::default();
    for run in 0..QUARANTINE_CRASHES as u64 {
        q.record_crash(START, run, &repeated(run % 2, &[HARMFUL, OWN]));
    }
    let third = repeated(3, &[HARMFUL, OWN]);
    assert_eq!(
        q.admission(START, &third),
        Admission::Quarantined(part(HARMFUL))
    );
}

#[test]
fn sound_request_in_the_batches_of_a_harmful_one_is_acquitted_by_its_answers() {
    let mut q = Quarantine::default();
    let (harmful, sound) = (repeated(7, &[]), repeated(8, &[]));
    for run in 0..10 {
        let now = START + ms(1_000 * run);
        q.record_answer(now, &sound);
        q.record_crash(now + ms(200), run, &harmful);
        q.record_crash(now + ms(200), run, &sound);
    }
    let now = START + ms(10_000);
    assert_eq!(q.admission(now, &sound), Admission::Allowed);
    assert!(!q.is_suspected(&sound));
    assert_ne!(q.admission(now, &harmful), Admission::Allowed);
}

#[test]
fn instances_that_notice_one_crash_at_different_times_report_it_once() {
    let mut q = Quarantine::default();
    for late in 0..20 {
        q.record_crash(START + ms(20 * late), 1, &repeated(7, &[]));
    }
    assert_eq!(q.blamed().collect::<Vec<_>>(), [(request(7), 1)]);
}

#[test]
fn report_that_reaches_a_suspended_judge_late_is_not_another_crash() {
    let mut reporter = Quarantine::default();
    reporter.record_crash(START, 1, &repeated(7, &[]));
    let mut judge = Quarantine::default();
    for second in [0, 1, 2, 5, 20] {
        let sent_at = START + Duration::from_secs(second);
        for (blame, age) in reporter.take_due_reports(sent_at) {
            // The first ones wait in the socket until the judge runs again.
            let received_at = sent_at.max(START + Duration::from_secs(3));
            judge.record_blame(received_at, age, blame);
        }
    }
    assert_eq!(judge.blamed().collect::<Vec<_>>(), [(request(7), 1)]);
}

#[test]
fn crashes_of_a_restarted_upstream_that_is_published_as_its_earlier_run_are_counted() {
    let mut q = Quarantine::default();
    let harmful = repeated(7, &[]);
    for number in 0..QUARANTINE_CRASHES as u64 {
        q.record_crash(START + ms(1_000 * number), 1, &harmful);
    }
    assert_eq!(
        q.admission(START + ms(3_000), &harmful),
        Admission::Quarantined(request(7))
    );
}

#[test]
fn judge_that_restarts_between_rare_crashes_learns_of_the_earlier_ones() {
    let harmful = repeated(7, &[]);
    let mut reporters: Vec<Quarantine> = (0..QUARANTINE_CRASHES)
        .map(|_| Quarantine::default())
        .collect();
    let mut judge = Quarantine::default();
    for second in 0..120 {
        let now = START + Duration::from_secs(second);
        if second % 30 == 0
            && let Some(reporter) = reporters.get_mut(second as usize / 30)
        {
            reporter.record_crash(now, second, &harmful);
        }
        let restart = 45;
        if second == restart {
            judge = Quarantine::default();
        }
        let judge_now = match second.checked_sub(restart) {
            Some(since_start) => Duration::from_secs(since_start),
            None => now,
        };
        for reporter in &mut reporters {
            for (blame, age) in reporter.take_due_reports(now) {
                judge.record_blame(judge_now, age, blame);
            }
        }
    }
    let judge_now = Duration::from_secs(75);
    assert_ne!(judge.admission(judge_now, &harmful), Admission::Allowed);
}

#[test]
fn instances_that_pass_blame_on_to_each_other_come_to_an_end() {
    let mut instances = [Quarantine::default(), Quarantine::default()];
    // More requests of one crash than are kept for the part that they share.
    for fingerprint in 0..30 {
        instances[0].record_crash(START, 1, &repeated(fingerprint, &[HARMFUL, OWN]));
    }
    let mut last_sent = 0;
    for second in 0..600 {
        let now = START + Duration::from_secs(second);
        for from in 0..2 {
            for (blame, age) in instances[from].take_due_reports(now) {
                instances[1 - from].relay_blame(now, age, blame);
                last_sent = second;
            }
        }
    }
    assert!(last_sent < 400, "blame is still sent after {last_sent} s");
}

#[test]
fn blame_that_is_repeated_after_an_acquittal_does_not_come_back() {
    let sound = repeated(7, &[]);
    let mut judge = Quarantine::default();
    let mut reporter = Quarantine::default();
    for second in 0..400 {
        let now = START + Duration::from_secs(second);
        judge.remove_expired(now);
        if [0, 10, 20].contains(&second) {
            reporter.record_crash(now, second, &sound);
        }
        for (blame, age) in reporter.take_due_reports(now) {
            judge.record_blame(now, age, blame);
        }
        // Another instance than the reporting one answers the request soon after each crash.
        if [2, 12, 22].contains(&second) {
            judge.record_answer(now, &sound);
        }
        assert_eq!(
            judge.admission(now, &sound),
            Admission::Allowed,
            "{second} s"
        );
    }
}

#[test]
fn reports_of_many_crashes_wait_but_none_is_lost() {
    let mut q = Quarantine::default();
    for run in 0..1_000 {
        q.record_crash(START, run, &repeated(run, &[]));
    }
    let mut first_sent = std::collections::HashSet::new();
    let mut sent = 0;
    for second in 0..60 {
        let due = q.take_due_reports(START + Duration::from_secs(second));
        sent += due.len();
        first_sent.extend(due.iter().map(|(blame, _)| blame.suspect.id));
    }
    assert_eq!(first_sent.len(), 1_000);
    assert!(sent < 512 + 60 * 13, "{sent} reports in a minute");
}

// After the restart of all instances the crashes of this and of the next order count together.
#[test]
fn trial_of_a_request_that_comes_again_is_not_due_soon() {
    let mut q = Quarantine::default();
    let harmful = repeated(7, &[SHARED, 2, OWN]);
    for run in 0..QUARANTINE_CRASHES as u64 {
        q.record_crash(START, run, &harmful);
    }
    let admission = |seconds| q.admission(START + Duration::from_secs(seconds), &harmful);
    assert_eq!(admission(45), Admission::Quarantined(request(7)));
    assert_eq!(admission(50), Admission::TrialDue(trial_of(request(7))));
}
