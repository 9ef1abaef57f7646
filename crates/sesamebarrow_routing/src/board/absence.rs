//! Records which upstreams cannot be reached, and which can be again ([`crate::absence`]).

use std::net::SocketAddr;
use std::time::Duration;

use crate::board::Board;
use crate::config::Config;
use crate::upstream::{Key, Upstream};

impl Board {
    /// Returns how long upstreams of `service` are cold after their start.
    pub fn warmup(&self, service: &str) -> Duration {
        warmup(self.config.as_deref(), service)
    }

    /// Records that no process listens at the address of an upstream: it has ended.
    pub fn record_end(&mut self, now: Duration, key: Key) {
        let service = self.upstreams.all.get(key).map(|u| &u.entry.service);
        let warmup = service.map_or(Duration::ZERO, |service| self.warmup(service));
        self.upstreams.record_end(now, key, warmup);
    }

    /// Records that an upstream has accepted a connection, or answered a request, that was opened or sent at `sent_at` or
    /// later.
    pub fn record_contact(&mut self, now: Duration, key: Key, sent_at: Duration) {
        let service = self.upstreams.all.get(key).map(|u| &u.entry.service);
        let warmup = service.map_or(Duration::ZERO, |service| self.warmup(service));
        self.upstreams.record_contact(now, key, sent_at, warmup);
    }

    /// Returns the absent upstreams that this instance should now open a connection to, since nothing else may show that
    /// they are back: their address, and the number of idle connections that it may keep to them.
    pub fn take_probes(&mut self, now: Duration) -> Vec<(Key, SocketAddr, usize)> {
        let config = self.config.clone();
        let is_limited = |service: &str| {
            let service = config.as_ref().and_then(|c| c.services.get(service));
            service.is_some_and(|s| s.cold_rate > 0.0)
        };
        let evacuated = &self.evacuated;
        let is_used = |u: &Upstream| {
            u.entry.ready && !u.availability.leaving && !evacuated.contains(&u.entry.domain)
        };
        let all = self.upstreams.all.iter_mut();
        let due = all.filter(|(_, u)| is_limited(&u.entry.service) && is_used(u));
        let due = due.filter_map(|(key, u)| u.absence.take_probe(now).then_some(key));
        let due: Vec<Key> = due.collect();
        let probe = |key: Key| {
            let entry = &self.upstreams.all[key].entry;
            (
                key,
                entry.address,
                self.max_idle_connections(now, &entry.service),
            )
        };
        due.into_iter().map(probe).collect()
    }
}

/// Returns how long upstreams of `service` are cold after their start.
pub(super) fn warmup(config: Option<&Config>, service: &str) -> Duration {
    let service = config.and_then(|c| c.services.get(service));
    service.map_or(Duration::ZERO, |s| s.warmup)
}
