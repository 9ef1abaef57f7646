//! Blame that is sent to the judges, and how much of it is sent at once.

use std::time::Duration;

use crate::quarantine::allowance::Rate;
use crate::quarantine::{Blame, Quarantine, Suspect};

/// Maximum number of suspects in reports that are to be sent to the judges.
pub(super) const MAX_REPORTED: usize = 2_048;

/// The same for those that are some of many.
pub(super) const MAX_REPORTED_OF_MANY: usize = 16_384;

/// Maximum number of suspects in one report, so that an allowance is never too small for it.
const MAX_SUSPECTS_PER_REPORT: usize = 512;

/// Rate of suspects in reports. The burst is that of a crash with a large batch; each takes about 140 bytes at three
/// judges.
const REPORT_RATE: Rate = Rate {
    burst: 512.0,
    per_s: 12.0,
};

/// The same for those that are some of many. The burst is that of a few crashes under prompts as long as a request's
/// head may be; each takes 24 bytes and more at three judges.
const REPORT_OF_MANY_RATE: Rate = Rate {
    burst: 8_192.0,
    per_s: 64.0,
};

/// Times after which blame is sent to the judges again, since datagrams may be lost and judges restart.
const REPORT_TIMES: [Duration; 7] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(1_500),
    Duration::from_secs(5),
    Duration::from_secs(20),
    Duration::from_secs(80),
    Duration::from_secs(320),
];

/// Blame of one request that is sent to the judges.
#[derive(Clone, Debug)]
pub(super) struct Report {
    /// The blame of one of `suspects`.
    blame: Blame,
    pub(super) suspects: Vec<Suspect>,
    at: Duration,
    /// Number of times that it was sent.
    sent: usize,
}

impl Quarantine {
    /// Schedules reports of the blame of `suspects`, which is that of `blame` otherwise.
    pub(super) fn add_report(&mut self, now: Duration, blame: Blame, suspects: &[Suspect]) {
        for suspects in suspects.chunks(MAX_SUSPECTS_PER_REPORT) {
            self.push_report(now, blame, suspects.to_vec());
        }
    }

    /// Schedules a report, in place of those that were sent most often if there are too many.
    fn push_report(&mut self, now: Duration, blame: Blame, suspects: Vec<Suspect>) {
        let max = match blame.one_of_many {
            true => MAX_REPORTED_OF_MANY,
            false => MAX_REPORTED,
        };
        let is_same_form = |r: &Report| r.blame.one_of_many == blame.one_of_many;
        let reported = self.reports.iter().filter(|r| is_same_form(r));
        let mut total = suspects.len() + reported.map(|r| r.suspects.len()).sum::<usize>();
        while total > max {
            let reports = self.reports.iter().enumerate();
            let of_form = reports.filter(|(_, r)| is_same_form(r));
            let Some((index, _)) = of_form.max_by_key(|(_, r)| r.sent) else {
                break;
            };
            total -= self.reports.swap_remove(index).suspects.len();
        }
        self.reports.push(Report {
            blame,
            suspects,
            at: now,
            sent: 0,
        });
    }

    /// Returns the blame that is due to be sent to the judges, and its age. What was sent least often comes
    /// first; the rest of it has to wait if there is too much.
    pub fn take_due_reports(&mut self, now: Duration) -> Vec<(Blame, Duration)> {
        let is_due = |report: &&mut Report| {
            let time = REPORT_TIMES.get(report.sent);
            time.is_some_and(|time| now.saturating_sub(report.at) >= *time)
        };
        let mut due: Vec<&mut Report> = self.reports.iter_mut().filter(is_due).collect();
        due.sort_by_key(|report| report.sent);
        let mut taken = Vec::new();
        let mut is_exhausted = [false; 2];
        for report in due {
            let one_of_many = report.blame.one_of_many;
            let (allowance, rate) = match one_of_many {
                true => (&mut self.report_of_many_allowance, REPORT_OF_MANY_RATE),
                false => (&mut self.report_allowance, REPORT_RATE),
            };
            let is_exhausted = &mut is_exhausted[usize::from(one_of_many)];
            if *is_exhausted || !allowance.take_all(now, rate, report.suspects.len()) {
                // What was sent more often must not overtake it.
                *is_exhausted = true;
                continue;
            }
            report.sent += 1;
            let (blame, age) = (report.blame, now.saturating_sub(report.at));
            let suspects = report.suspects.iter();
            taken.extend(suspects.map(|suspect| {
                (
                    Blame {
                        suspect: *suspect,
                        ..blame
                    },
                    age,
                )
            }));
        }
        self.reports.retain(|r| r.sent < REPORT_TIMES.len());
        taken
    }
}
