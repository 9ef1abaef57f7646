//! What is simulated, and what is measured.

use std::time::Duration;

use crate::limits::{ALLOWED, CONTACT_TIME, NAMED_AT, Run, USE_WINDOW, WINDOW};

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Number of instances, in three regions of two failure domains.
    pub instances: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Fraction of the upstreams that name a limit; at least one does.
    pub limited: f64,
    /// Limit in requests per second.
    pub rate: f64,
    /// Requests per second that would go to limited upstreams, as a multiple of the sum of the limits.
    pub demand: f64,
    /// How much more the first region gets than each other.
    pub skew: f64,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Span in seconds after the naming in which the failure domains do not reach each other.
    pub cut: Option<(f64, f64)>,
    /// Time in seconds after the naming at which a third of the instances restart.
    pub restart: Option<f64>,
    /// Whether these are all instances of one region.
    pub restarts_region: bool,
    /// Time for which the limits are named, in seconds.
    pub seconds: f64,
    /// Time simulated after their end, in seconds.
    pub seconds_after: f64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            instances: 8,
            upstreams: 18,
            limited: 1.0,
            rate: 1.0,
            demand: 3.0,
            skew: 1.0,
            loss: 0.0,
            cut: None,
            restart: None,
            restarts_region: false,
            seconds: 60.0,
            seconds_after: 20.0,
        }
    }
}

/// How the instances share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// One owner grants permits.
    Owner,
    /// No limit is kept.
    None,
    /// Each instance keeps the whole limit by itself.
    Instance,
    /// Each instance has an equal part.
    EqualPart,
    /// As `Owner`, but forwarded requests take no permit; a planted fault.
    HopsNotCounted,
    /// As `Owner`, but the end of a limit is not seen; a planted fault.
    NeverEnds,
}

impl Policy {
    /// Returns whether instances ask owners for permits.
    pub fn has_owners(self) -> bool {
        matches!(self, Self::Owner | Self::HopsNotCounted | Self::NeverEnds)
    }
}

/// What is measured.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Largest number of requests that a limited upstream got in [`WINDOW`], later than [`CONTACT_TIME`] after the
    /// naming, as a multiple of what is allowed.
    pub worst_ratio: f64,
    /// Time from the naming until the last window that exceeds what is allowed, in seconds.
    pub bound_after: f64,
    /// Fraction of the limits that is used later than [`CONTACT_TIME`].
    pub used: f64,
    /// The same in the worst [`USE_WINDOW`].
    pub used_worst: f64,
    /// Requests, without those that came back.
    pub requests: u64,
    /// Requests that reached an upstream.
    pub served: u64,
    /// Requests that were refused, came back and were refused again.
    pub in_vain: u64,
    /// Time from the end of the limits until all instances are free, in seconds.
    pub free_after: Option<f64>,
    /// Bytes of messages about limits that an instance sends, per second.
    pub bytes_per_s: f64,
    /// Largest number of limits at an instance.
    pub states: usize,
}

impl Run<'_> {
    /// Returns what was measured.
    pub(super) fn measure(mut self) -> Report {
        let mut report = std::mem::take(&mut self.report);
        let end = NAMED_AT + Duration::from_secs_f64(self.cfg.seconds);
        let limited = self.upstreams.iter().filter(|u| u.limited);
        let limited: Vec<&[Duration]> = limited.map(|u| u.arrivals.as_slice()).collect();
        for arrivals in &limited {
            measure_windows(&mut report, arrivals, end, self.cfg.rate);
        }
        // CAST: small numbers.
        let total_rate = self.cfg.rate * limited.len() as f64;
        let start = NAMED_AT + CONTACT_TIME;
        report.used = used(&limited, total_rate, start, end);
        report.used_worst = f64::INFINITY;
        let mut from = start;
        while from + USE_WINDOW <= end {
            let in_window = used(&limited, total_rate, from, from + USE_WINDOW);
            report.used_worst = report.used_worst.min(in_window);
            from += Duration::from_secs(1);
        }
        let seconds = self.cfg.seconds + self.cfg.seconds_after;
        // CAST: small numbers.
        report.bytes_per_s = self.sent_bytes as f64 / self.cfg.instances as f64 / seconds;
        report
    }
}

/// Compares the arrivals at one upstream in each window with what is allowed.
fn measure_windows(report: &mut Report, arrivals: &[Duration], end: Duration, rate: f64) {
    let allowed = ALLOWED.0 * rate * WINDOW.as_secs_f64() + ALLOWED.1;
    let named = arrivals.iter().filter(|at| (NAMED_AT..end).contains(*at));
    let named: Vec<Duration> = named.copied().collect();
    for (first, start) in named.iter().enumerate() {
        let in_window = named[first..]
            .iter()
            .take_while(|at| **at < *start + WINDOW);
        // CAST: small numbers.
        let ratio = in_window.count() as f64 / allowed;
        if *start >= NAMED_AT + CONTACT_TIME {
            report.worst_ratio = report.worst_ratio.max(ratio);
        }
        if ratio > 1.0 {
            let after = (*start + WINDOW - NAMED_AT).as_secs_f64();
            report.bound_after = report.bound_after.max(after);
        }
    }
}

/// Returns the fraction of the limits that was used in a span.
fn used(limited: &[&[Duration]], total_rate: f64, from: Duration, to: Duration) -> f64 {
    let within = |arrivals: &&[Duration]| {
        let times = arrivals.iter().filter(|at| (from..to).contains(*at));
        times.count()
    };
    // CAST: small numbers.
    let count = limited.iter().map(within).sum::<usize>() as f64;
    count / (total_rate * (to - from).as_secs_f64())
}
