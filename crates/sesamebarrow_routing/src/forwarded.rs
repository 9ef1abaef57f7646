//! The requests that this instance has forwarded to other regions and that have not ended yet.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Time after the last forwarded request for which an instance counts as one that forwards.
const ACTIVE_TIME: Duration = Duration::from_secs(10);

/// A forwarded request that has not ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Key {
    region: SmolStr,
    service_hash: u32,
}

/// Numbers of forwarded requests that have not ended.
#[derive(Debug, Default)]
pub struct Forwarded {
    /// By region and hash of the service's name.
    counts: HashMap<(SmolStr, u32), u32>,
    /// When the first request was forwarded that no pause of [`ACTIVE_TIME`] followed, and the last one.
    active: Option<(Duration, Duration)>,
}

impl Forwarded {
    /// Counts a request until [`Self::end`] is called with the returned key.
    pub fn begin(&mut self, now: Duration, region: &SmolStr, service_hash: u32) -> Key {
        let active_for = self.active_for(now).unwrap_or_default();
        self.active = Some((now.saturating_sub(active_for), now));
        *self
            .counts
            .entry((region.clone(), service_hash))
            .or_default() += 1;
        Key {
            region: region.clone(),
            service_hash,
        }
    }

    /// Stops counting a request, however it ended.
    pub fn end(&mut self, key: Key) {
        if let Some(count) = self.counts.get_mut(&(key.region, key.service_hash)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns for how long this instance has forwarded requests; `None` if it does not now.
    pub fn active_for(&self, now: Duration) -> Option<Duration> {
        let (first, last) = self.active?;
        (now.saturating_sub(last) < ACTIVE_TIME).then(|| now.saturating_sub(first))
    }

    /// Returns the number of requests for a service in `region` that have not ended.
    pub fn count(&self, region: &SmolStr, service_hash: u32) -> u32 {
        let count = self.counts.get(&(region.clone(), service_hash));
        count.copied().unwrap_or_default()
    }
}
