//! Records whether upstreams can be reached, and how long they are cold after their return.

use std::collections::HashMap;
use std::time::Duration;

use crate::absence;
use crate::upstream::{Key, Upstream, Upstreams};

impl Upstream {
    /// Records that it cannot be reached, or that its process has `ended`. It may be cold once it can be reached, and have
    /// nothing cached.
    pub(super) fn record_absence(&mut self, now: Duration, ended: bool, warmup: Duration) {
        self.absence.observe_failure(now, ended);
        self.cold_until = self.cold_until.max(now + warmup);
        self.cache.clear();
    }

    /// Records that it can be reached again since `at` at the latest, and is cold for `warmup` from then on.
    pub(super) fn record_return(&mut self, at: Duration, warmup: Duration) {
        self.cold_until = self.cold_until.max(at + warmup);
    }
}

impl Upstreams {
    /// Records that the process of an upstream has ended. `warmup` is the time for which it is cold after its start.
    pub fn record_end(&mut self, now: Duration, key: Key, warmup: Duration) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.record_absence(now, true, warmup);
        }
    }

    /// Records that an upstream has accepted a connection, or answered a request, that was opened or sent at `sent_at` or
    /// later. If it was absent, it is cold for `warmup`.
    pub fn record_contact(&mut self, now: Duration, key: Key, sent_at: Duration, warmup: Duration) {
        if let Some(upstream) = self.all.get_mut(key)
            && upstream.absence.observe_contact(now, sent_at)
        {
            upstream.record_return(now, warmup);
        }
    }

    /// Records what another instance knows of absent upstreams, by the hashes of their ids. `warmup` gives the time for
    /// which a service's upstreams are cold after their return.
    pub fn record_absences(
        &mut self,
        news: &HashMap<u32, absence::News>,
        warmup: impl Fn(&str) -> Duration,
    ) {
        for upstream in self.all.values_mut() {
            let Some(news) = news.get(&upstream.id_hash) else {
                continue;
            };
            if let Some(back_at) = upstream.absence.merge(*news) {
                upstream.record_return(back_at, warmup(&upstream.entry.service));
            }
        }
    }
}
