//! The state of the board for operators, without keys and without requests' data.

use std::time::Duration;

use serde::Serialize;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::board::{Board, Counters};
use crate::limit::MICRO;
use crate::pipeline::{Stage, TargetKey};
use crate::upstream;

/// The whole state.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// This instance.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its region, where the rules tell it.
    pub region: Option<SmolStr>,
    /// Its slot.
    pub slot: u16,
    /// The process, in hexadecimal digits.
    pub incarnation: String,
    /// Time since the process began.
    pub uptime_ms: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// The rules.
    pub rules: Shelf,
    /// The list.
    pub list: Shelf,
    /// Other instances.
    pub instances: Vec<Instance>,
    /// Upstreams of this region.
    pub upstreams: Vec<Upstream>,
    /// Customers with anything to tell.
    pub customers: Vec<Customer>,
    /// Requests under way.
    pub requests: Vec<Request>,
    /// Tickets remembered.
    pub tickets: usize,
    /// Counts that only rise.
    pub counters: Counters,
}

/// A published document.
#[derive(Clone, Debug, Serialize)]
pub struct Shelf {
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// Time since the platform confirmed it.
    pub age_ms: Option<u64>,
    /// Revision that was refused last; 0 for none.
    pub refused: u64,
    /// What is wrong with the document.
    pub fault: Option<SmolStr>,
    /// What is wrong with reading the platform.
    pub read_fault: Option<SmolStr>,
}

/// Another instance.
#[derive(Clone, Debug, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its state on the list.
    pub listed: Option<String>,
    /// Whether a link stands.
    pub linked: bool,
    /// Whether it is one of those that are linked regularly.
    pub neighbour: bool,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Time since it was heard.
    pub heard_ms: Option<u64>,
    /// Its revision of the rules.
    pub rules_revision: Option<u64>,
}

/// An upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Its name.
    pub name: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Its state on the list.
    pub state: String,
    /// Requests of this instance at it.
    pub own: u32,
    /// Requests thought to be at it.
    pub load: u32,
    /// Requests that it runs well.
    pub capacity: u32,
    /// Whether it is ejected.
    pub ejected: bool,
}

/// A customer's share here, in whole tokens.
#[derive(Clone, Debug, Serialize)]
pub struct Customer {
    /// Its name.
    pub name: SmolStr,
    /// This share's rate per second.
    pub rate: u64,
    /// This share's burst.
    pub burst: u64,
    /// Tokens at hand.
    pub tokens: u64,
    /// Tokens lent to others.
    pub lent: u64,
    /// Tokens borrowed and not spent.
    pub borrowed: u64,
    /// Requests that wait for tokens.
    pub waiting: usize,
}

/// A request under way.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Its number.
    pub id: u64,
    /// Its customer.
    pub customer: Option<SmolStr>,
    /// Its service.
    pub service: SmolStr,
    /// How far it has come.
    pub stage: Stage,
    /// Where it goes.
    pub target: Option<SmolStr>,
    /// Attempts.
    pub attempts: u32,
    /// Time left until the deadline.
    pub deadline_ms: u64,
}

/// Returns the state of `board`.
pub fn snapshot(board: &Board) -> Snapshot {
    Snapshot {
        name: board.me.name.clone(),
        domain: board.me.domain.clone(),
        region: board.my_region().cloned(),
        slot: board.me.slot,
        incarnation: format!("{:016x}", board.me.incarnation),
        uptime_ms: millis(board.now()),
        ready: board.is_ready(),
        draining: board.draining,
        rules: shelf(board, DocumentKind::Rules),
        list: shelf(board, DocumentKind::List),
        instances: instances(board),
        upstreams: upstreams(board),
        customers: customers(board),
        requests: requests(board),
        tickets: board.records.by_number.len(),
        counters: board.counters,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn shelf(board: &Board, kind: DocumentKind) -> Shelf {
    let shelf = &board.shelves[&kind];
    Shelf {
        revision: shelf.revision(),
        age_ms: shelf.age(board.now()).map(millis),
        refused: shelf.refused,
        fault: shelf.fault.clone(),
        read_fault: shelf.read_fault.clone(),
    }
}

fn instances(board: &Board) -> Vec<Instance> {
    let mut all: Vec<Instance> = board
        .instances
        .values()
        .map(|i| Instance {
            name: i.name.clone(),
            domain: i.domain.clone(),
            listed: i.listed_state.map(|s| s.to_string()),
            linked: i.link.is_some(),
            neighbour: i.neighbour,
            takes_work: crate::member::takes_work(board, i),
            heard_ms: i
                .link
                .as_ref()
                .map(|l| millis(board.now().saturating_sub(l.last_heard))),
            rules_revision: i.link.as_ref().map(|l| l.rules_revision),
        })
        .collect();
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn upstreams(board: &Board) -> Vec<Upstream> {
    let mut all: Vec<Upstream> = board
        .upstreams
        .values()
        .map(|u| Upstream {
            name: u.name.clone(),
            service: u.service.clone(),
            state: u.state.to_string(),
            own: u.in_flight,
            load: upstream::load(board, u),
            capacity: u.capacity,
            ejected: upstream::is_ejected(board, u),
        })
        .collect();
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn customers(board: &Board) -> Vec<Customer> {
    let mut all: Vec<Customer> = board
        .limits
        .shares
        .values()
        .map(|s| Customer {
            name: s.name.clone(),
            rate: s.rate / MICRO,
            burst: s.burst_now() / MICRO,
            tokens: s.tokens_at(board.now()) / MICRO,
            lent: s.lent_total() / MICRO,
            borrowed: s.loans.iter().map(|l| l.amount - l.spent).sum::<u64>() / MICRO,
            waiting: s.waiting.len(),
        })
        .collect();
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn requests(board: &Board) -> Vec<Request> {
    let target = |target: &TargetKey| match target {
        TargetKey::Upstream(key) => board.upstreams.get(*key).map(|u| u.name.clone()),
        TargetKey::Instance(key) => board.instances.get(*key).map(|i| i.name.clone()),
    };
    board
        .requests
        .iter()
        .map(|(id, r)| Request {
            id: id.0,
            customer: r.customer.clone(),
            service: r.head.service.clone(),
            stage: r.stage,
            target: r.target.as_ref().and_then(target),
            attempts: r.attempts,
            deadline_ms: millis(r.deadline.saturating_sub(board.now())),
        })
        .collect()
}
