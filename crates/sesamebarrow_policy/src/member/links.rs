//! Which links this instance opens, and when it gives one up.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamebarrow_rules::list::State;
use smol_str::SmolStr;

use super::{find, find_or_add};
use crate::board::{Board, Instance, InstanceKey, Link};
use crate::event::Action;
use crate::limit;

/// Time between two tries to open a link to one instance.
const DIAL_AGAIN: Duration = Duration::from_secs(1);

/// Time between two looks at which links are missing.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// Time that the instances of a domain get to find each other. Until then all that are
/// listed count, lest each of them takes itself for the only one and links to everybody.
const FINDING: Duration = Duration::from_secs(5);

/// Takes a link that stands.
pub(crate) fn handle_link_up(board: &mut Board, name: SmolStr, domain: SmolStr, incarnation: u64) {
    if name == board.me.name {
        return;
    }
    let now = board.now();
    let key = find_or_add(board, &name);
    let instance = &mut board.instances[key];
    if instance.domain.is_empty() {
        instance.domain = domain;
    }
    let replaced = instance.link.as_ref().map(|l| l.incarnation);
    instance.link = Some(Link {
        incarnation,
        last_heard: now,
        sequence: 0,
        rules_revision: 0,
        list_revision: 0,
        ready: false,
        running: 0,
    });
    super::apply_rules(board);
    if replaced.is_some_and(|old| old != incarnation) {
        limit::handle_borrower_restart(board, &name);
    }
    super::send_heartbeats_now(board);
}

/// Takes the end of a link.
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

/// Gives up links on which nothing was heard: what stands between the ends may have
/// lost track of the connection, while a new one would work.
pub(crate) fn drop_silent_links(board: &mut Board) {
    let silent: Vec<InstanceKey> = board
        .instances
        .iter()
        .filter(|(_, i)| i.link.is_some() && !board.has_live_link(i))
        .map(|(key, _)| key)
        .collect();
    for key in silent {
        drop_link(board, key);
    }
}

/// Gives up every link after a pause, for what they still hold may be old.
pub(crate) fn drop_all_links(board: &mut Board) {
    let linked: Vec<InstanceKey> = board
        .instances
        .iter()
        .filter(|(_, i)| i.link.is_some())
        .map(|(key, _)| key)
        .collect();
    for key in linked {
        drop_link(board, key);
    }
}

fn drop_link(board: &mut Board, key: InstanceKey) {
    let instance = &mut board.instances[key];
    instance.link = None;
    let name = instance.name.clone();
    board.push_action(Action::CloseLink { name });
}

/// Opens the links to neighbours that are missing.
pub(crate) fn dial_neighbours(board: &mut Board) {
    let now = board.now();
    if board
        .links_checked_at
        .is_some_and(|at| now - at < LOOK_AGAIN)
    {
        return;
    }
    board.links_checked_at = Some(now);
    let wanted = wanted_neighbours(board);
    for instance in board.instances.values_mut() {
        instance.neighbour = false;
    }
    for key in &wanted {
        board.instances[*key].neighbour = true;
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
    // The end with the smaller name opens the link; the other steps in if it does not.
    let wait = if board.me.name < instance.name {
        DIAL_AGAIN
    } else {
        DIAL_AGAIN * 3
    };
    if instance.last_dialled.is_some_and(|at| now - at < wait) {
        return;
    }
    let first = instance.last_dialled.is_none();
    instance.last_dialled = Some(now);
    if first && board.me.name > instance.name {
        return;
    }
    let name = instance.name.clone();
    board.push_action(Action::OpenLink { name, address });
}

/// Returns the instances to which links should stand.
pub fn wanted_neighbours(board: &Board) -> Vec<InstanceKey> {
    let mut domains: BTreeMap<&str, Vec<InstanceKey>> = BTreeMap::new();
    for key in board.instance_names_in_order() {
        let instance = &board.instances[key];
        if instance.listed_state == Some(State::Live) {
            domains.entry(&instance.domain).or_default().push(key);
        }
    }
    let mut wanted = domains
        .get(board.me.domain.as_str())
        .cloned()
        .unwrap_or_default();
    let (rank, width) = rank_in_domain(board);
    domains.entry(&board.me.domain).or_default();
    let places: Vec<&str> = domains.keys().copied().collect();
    let Some(place) = places.iter().position(|d| *d == board.me.domain) else {
        return wanted;
    };
    let mut step = 1;
    let mut finger = 0;
    while step < places.len() {
        if finger % width == rank {
            let target = places[(place + step) % places.len()];
            wanted.extend(choose_far_end(board, &domains[target], finger));
        }
        step *= 2;
        finger += 1;
    }
    wanted
}

/// Returns this instance's rank among those of its domain that live, and their number.
fn rank_in_domain(board: &Board) -> (usize, usize) {
    let finding = board.now() < FINDING;
    let lives =
        |i: &Instance| board.has_live_link(i) || (finding && i.listed_state == Some(State::Live));
    let heard = board
        .instances
        .values()
        .filter(|i| i.domain == board.me.domain && lives(i));
    let mut rank = 0;
    let mut width = 1;
    for instance in heard {
        width += 1;
        if instance.name < board.me.name {
            rank += 1;
        }
    }
    (rank, width)
}

/// Returns the far end of a finger: one that is linked, or else the one whose last try
/// lies back the longest.
fn choose_far_end(board: &Board, ends: &[InstanceKey], finger: usize) -> Option<InstanceKey> {
    let turned = (0..ends.len()).map(|i| ends[(i + finger) % ends.len()]);
    let linked = turned
        .clone()
        .find(|key| board.instances[*key].link.is_some());
    linked.or_else(|| turned.min_by_key(|key| board.instances[*key].last_dialled))
}

impl Board {
    /// Returns the instances in the order of their names.
    fn instance_names_in_order(&self) -> Vec<InstanceKey> {
        let mut keys: Vec<InstanceKey> = self.instances.keys().collect();
        keys.sort_by(|a, b| self.instances[*a].name.cmp(&self.instances[*b].name));
        keys
    }
}
