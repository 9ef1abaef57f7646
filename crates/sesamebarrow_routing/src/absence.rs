//! Whether an upstream could be reached lately, and since when it can be again.
//!
//! An upstream that could not be reached may have restarted. It then comes back cold, at a moment that only a
//! connection or an answer shows, and neither its id nor its entry need say so: the store may be down. Until it is
//! reached again it counts as cold, and for its warm-up time after that.
//!
//! | observation | consequence |
//! |---|---|
//! | no connection in time | absent, for this instance: its own link may be at fault |
//! | connection refused | its process has ended: absent, and others of the region are told |
//! | another instance was refused a connection | absent, and probed at once; told on only if that is refused too |
//! | connection, or answer to a request sent since | back; cold for the warm-up time from now on |
//! | another instance reports its load, or that it is back | the same, from the time of the report on |
//! | entry of another run | back, as the entry says |
//!
//! An instance that sends it nothing, since another one owns it while it is cold, learns of its return from the others,
//! or opens a connection from time to time.

use std::time::Duration;

/// Time for which news of an end or a return are sent to other instances.
pub const NEWS_TIME: Duration = Duration::from_secs(10);

/// Maximum number of upstreams with news in one datagram.
pub const MAX_NEWS: usize = 16;

/// Time after which an absent upstream is probed, and probed again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time by which a relayed report may be older than the time that it seems to be of.
const REPORT_ERROR: Duration = Duration::from_millis(100);

/// When an upstream could not be reached, and when it could be again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Absence {
    /// When it was last found to be unreachable; `None` if it has been reached since.
    since: Option<Duration>,
    /// When this instance last found that its process has ended. What others found is not relayed: the times would
    /// grow with each relay, and soon pass for those of another end.
    ended_at: Option<Duration>,
    /// When it was reached again after it had been absent.
    back_at: Option<Duration>,
    /// When the latest request that it has answered was sent to it, or the latest connection opened.
    reached_at: Duration,
    /// When it was last probed.
    probed_at: Duration,
    /// Whether only another instance has found it to be absent.
    is_hearsay: bool,
}

/// What is sent about an upstream to other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// When its process ended.
    pub ended_at: Option<Duration>,
    /// When it was reached again.
    pub back_at: Option<Duration>,
}

impl Absence {
    /// Returns that of a run that has just been published. What others found earlier was another run.
    pub fn of_new_run(now: Duration) -> Self {
        Self {
            reached_at: now,
            ..Self::default()
        }
    }

    /// Returns whether it has not been reached since it was found to be unreachable.
    pub fn is_absent(&self) -> bool {
        self.since.is_some()
    }

    /// Records that it could not be reached. `ended` says whether its process is known to have ended.
    pub fn observe_failure(&mut self, now: Duration, ended: bool) {
        self.since = Some(now);
        self.is_hearsay = false;
        if ended {
            self.ended_at = Some(now);
        }
    }

    /// Records that a request that was sent at `sent_at` was answered, or a connection opened since then. Returns
    /// whether it is back.
    pub fn observe_contact(&mut self, now: Duration, sent_at: Duration) -> bool {
        self.reached_at = self.reached_at.max(sent_at);
        // An answer that was on its way when the process ended shows nothing.
        if self.since.is_none_or(|since| sent_at <= since) {
            return false;
        }
        self.since = None;
        self.back_at = Some(now);
        true
    }

    /// Records that it reported its load to another instance at about `at`. Returns whether it is back.
    pub fn observe_report(&mut self, at: Duration) -> bool {
        if self.since.is_none_or(|since| at <= since + REPORT_ERROR) {
            return false;
        }
        self.since = None;
        self.back_at = Some(at);
        true
    }

    /// Merges what another instance knows. Returns when it is known to be back, if that is new.
    pub fn merge(&mut self, news: News) -> Option<Duration> {
        let is_later = |at: Duration, known: Option<Duration>| known.is_none_or(|k| k < at);
        if let Some(ended_at) = news.ended_at
            && is_later(ended_at, self.back_at)
        {
            if self.since.is_none() && self.reached_at > ended_at {
                // It was away unnoticed.
                self.back_at = Some(self.reached_at);
                return self.back_at;
            }
            self.is_hearsay |= self.since.is_none();
            self.since = self.since.max(Some(ended_at));
        }
        let back_at = news
            .back_at
            .filter(|at| self.since.is_some_and(|since| since < *at));
        if back_at.is_some() {
            self.since = None;
            self.back_at = back_at;
        }
        back_at
    }

    /// Returns what other instances should know; `None` if there is nothing new.
    pub fn news(&self, now: Duration) -> Option<News> {
        let recent = |at: &Duration| now.saturating_sub(*at) < NEWS_TIME;
        let news = News {
            ended_at: self.ended_at.filter(recent),
            back_at: self.back_at.filter(recent),
        };
        (news != News::default()).then_some(news)
    }

    /// Returns whether it should be probed now, and records that it is.
    pub fn take_probe(&mut self, now: Duration) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let is_due = now.saturating_sub(since.max(self.probed_at)) >= PROBE_INTERVAL;
        if !is_due && !self.is_hearsay {
            return false;
        }
        self.probed_at = now;
        self.is_hearsay = false;
        true
    }
}
