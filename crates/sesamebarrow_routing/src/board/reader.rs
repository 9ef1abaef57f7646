//! Selects the instances that read the store, and those from which the others take what it says.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use smol_str::SmolStr;

use crate::board::Board;
use crate::member::Member;
use crate::rendezvous;

/// Number of instances per region that read the store. With two, updates still arrive while
/// the failure of one is being detected.
const STORE_READERS_PER_REGION: usize = 2;

impl Board {
    /// Returns whether this instance reads the store for its region. The instances with the
    /// highest rendezvous weights do, among those that are alive, are not draining and get
    /// answers from the store.
    pub fn is_store_reader(&self, now: Duration) -> bool {
        if !self.store_answers {
            return false;
        }
        let weight = |name: &str| rendezvous::weight(self.identity.region.as_bytes(), name);
        let own_weight = weight(&self.identity.name);
        let higher = self.members.alive(now).filter(|m| {
            m.region == self.identity.region
                && m.record.store_answers
                && m.draining_since.is_none()
                && weight(&m.record.name) > own_weight
        });
        higher.count() < STORE_READERS_PER_REGION
    }

    /// Returns whether another instance of the region can read the store.
    pub fn can_another_read_store(&self, now: Duration) -> bool {
        let mut peers = self
            .members
            .alive(now)
            .filter(|m| m.region == self.identity.region);
        peers.any(|m| m.record.store_answers && m.draining_since.is_none())
    }

    /// Returns the name and the address of an instance that knows newer items or a newer configuration, another
    /// than `failed` if there is one.
    pub fn select_newer_instance(
        &mut self,
        now: Duration,
        failed: Option<&str>,
    ) -> Option<(SmolStr, Ipv4Addr)> {
        let (revision, version) = (self.revision, self.config_version());
        let is_newer = |m: &&Member| m.revision > revision || m.config_version > version;
        let newer: Vec<_> = self.members.alive(now).filter(is_newer).collect();
        let others = newer
            .iter()
            .filter(|m| Some(m.record.name.as_str()) != failed);
        let selected = others
            .choose(&mut self.rng)
            .or_else(|| newer.iter().choose(&mut self.rng))?;
        Some((SmolStr::new(&selected.record.name), selected.ip()))
    }
}
