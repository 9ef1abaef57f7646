//! The choice of the links that this instance opens, and the closing of silent ones.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_rules::list::State;
use smol_str::SmolStr;

use super::{find, find_or_add};
use crate::board::{Board, Instance, InstanceKey, Link};
use crate::event::Action;
use crate::limit;

/// Time between two attempts to open a link to the same instance.
const REDIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks for missing links.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the start in which the instances of a domain discover each other. Until then
/// all live instances on the list count as present. Otherwise each instance would take
/// itself for the only one of its domain and open all links to other domains.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(5);

/// Handles a link that was established.
pub(crate) fn handle_link_up(board: &mut Board, name: SmolStr, domain: SmolStr, incarnation: u64) {
    if name == board.identity.name {
        return;
    }
    let now = board.now();
    let key = find_or_add(board, &name);
    let instance = &mut board.instances[key];
    if instance.domain.is_empty() {
        instance.domain = domain;
    }
    let previous_incarnation = instance.link.as_ref().map(|l| l.incarnation);
    instance.link = Some(Link {
        incarnation,
        last_heard: now,
        sequence: 0,
        rules_revision: 0,
        list_revision: 0,
        ready: false,
        requests_in_progress: 0,
        lacks_orders: true,
    });
    super::update_regions(board);
    if previous_incarnation.is_some_and(|old| old != incarnation) {
        limit::handle_borrower_restart(board, &name);
    }
    super::send_heartbeats_now(board);
}

/// Handles the end of a link.
pub(crate) fn handle_link_down(board: &mut Board, name: &SmolStr, incarnation: u64) {
    let Some(key) = find(board, name) else {
        return;
    };
    let instance = &mut board.instances[key];
    if instance
        .link
        .as_ref()
        .is_some_and(|l| l.incarnation == incarnation)
    {
        instance.link = None;
    }
}

/// Closes links on which nothing was received for the link timeout. A device between the
/// ends may have lost the state of the connection, while a new connection would work.
pub(crate) fn close_silent_links(board: &mut Board) {
    let silent: Vec<InstanceKey> = board
        .instances
        .iter()
        .filter(|(_, i)| i.link.is_some() && !board.has_live_link(i))
        .map(|(key, _)| key)
        .collect();
    for key in silent {
        close_link(board, key);
    }
}

/// Closes every link after a pause, because data still buffered in them may be outdated.
pub(crate) fn close_all_links(board: &mut Board) {
    let linked: Vec<InstanceKey> = board
        .instances
        .iter()
        .filter(|(_, i)| i.link.is_some())
        .map(|(key, _)| key)
        .collect();
    for key in linked {
        close_link(board, key);
    }
}

fn close_link(board: &mut Board, key: InstanceKey) {
    let instance = &mut board.instances[key];
    instance.link = None;
    let name = instance.name.clone();
    board.push_action(Action::CloseLink { name });
}

/// Opens the wanted links that are missing.
pub(crate) fn dial_wanted_links(board: &mut Board) {
    let now = board.now();
    if board
        .links_checked_at
        .is_some_and(|at| now - at < LINK_CHECK_INTERVAL)
    {
        return;
    }
    board.links_checked_at = Some(now);
    let wanted = wanted_links(board);
    for instance in board.instances.values_mut() {
        instance.link_wanted = false;
    }
    for key in &wanted {
        board.instances[*key].link_wanted = true;
    }
    for key in wanted {
        dial(board, key);
    }
}

fn dial(board: &mut Board, key: InstanceKey) {
    let now = board.now();
    let instance = &mut board.instances[key];
    if instance.link.is_some() {
        return;
    }
    let Some(address) = instance.peer else {
        return;
    };
    // The end with the smaller name opens the link. The other end waits three intervals
    // before its own first attempt, and between two attempts.
    let wait = if board.identity.name < instance.name {
        REDIAL_INTERVAL
    } else {
        REDIAL_INTERVAL * 3
    };
    if instance.last_dialled.is_some_and(|at| now - at < wait) {
        return;
    }
    let first = instance.last_dialled.is_none();
    instance.last_dialled = Some(now);
    if first && board.identity.name > instance.name {
        return;
    }
    let name = instance.name.clone();
    board.push_action(Action::OpenLink { name, address });
}

/// Returns the instances to which this one should have a link.
pub fn wanted_links(board: &Board) -> Vec<InstanceKey> {
    let mut domains: BTreeMap<&str, Vec<InstanceKey>> = BTreeMap::new();
    for key in board.instance_keys_by_name() {
        let instance = &board.instances[key];
        if instance.listed_state == Some(State::Live) {
            domains.entry(&instance.domain).or_default().push(key);
        }
    }
    let mut wanted = domains
        .get(board.identity.domain.as_str())
        .cloned()
        .unwrap_or_default();
    let (rank, instance_count) = rank_in_domain(board);
    domains.entry(&board.identity.domain).or_default();
    let ring: Vec<&str> = domains.keys().copied().collect();
    let Some(position) = ring.iter().position(|d| *d == board.identity.domain) else {
        return wanted;
    };
    let mut distance = 1;
    let mut finger_index = 0;
    while distance < ring.len() {
        if finger_index % instance_count == rank {
            let target_domain = ring[(position + distance) % ring.len()];
            wanted.extend(choose_finger_target(
                board,
                &domains[target_domain],
                finger_index,
            ));
        }
        distance *= 2;
        finger_index += 1;
    }
    wanted
}

/// Returns this instance's rank by name among the present ones of its domain, and their
/// number.
fn rank_in_domain(board: &Board) -> (usize, usize) {
    let discovering = board.now() < DISCOVERY_PERIOD;
    let is_present = |i: &Instance| {
        board.has_live_link(i) || (discovering && i.listed_state == Some(State::Live))
    };
    let present = board
        .instances
        .values()
        .filter(|i| i.domain == board.identity.domain && is_present(i));
    let mut rank = 0;
    let mut instance_count = 1;
    for instance in present {
        instance_count += 1;
        if instance.name < board.identity.name {
            rank += 1;
        }
    }
    (rank, instance_count)
}

/// Returns the instance of another domain to which a finger leads: one that is linked, or
/// else one that was never dialled, or else the one that was dialled the longest time ago.
fn choose_finger_target(
    board: &Board,
    candidates: &[InstanceKey],
    finger_index: usize,
) -> Option<InstanceKey> {
    // Each finger starts at another instance, so that the links into a domain spread over
    // its instances.
    let rotated = (0..candidates.len()).map(|i| candidates[(i + finger_index) % candidates.len()]);
    let linked = rotated
        .clone()
        .find(|key| board.instances[*key].link.is_some());
    linked.or_else(|| rotated.min_by_key(|key| board.instances[*key].last_dialled))
}

impl Board {
    /// Returns the keys of the instances, sorted by name.
    fn instance_keys_by_name(&self) -> Vec<InstanceKey> {
        let mut keys: Vec<InstanceKey> = self.instances.keys().collect();
        keys.sort_by(|a, b| self.instances[*a].name.cmp(&self.instances[*b].name));
        keys
    }
}
