//! The state of the board for operators. It contains no API keys and no request bodies.
//!
//! The field names are the keys of the JSON that operators read.

use std::time::Duration;

use serde::Serialize;
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::board::{Board, Counters};
use crate::limit::MICRO_TOKENS_PER_TOKEN;
use crate::pipeline::{Stage, TargetKey};
use crate::upstream;

/// State of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// Name of this instance.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region, if the rules contain the failure domain.
    pub region: Option<SmolStr>,
    /// Slot in the failure domain.
    pub slot: u16,
    /// Incarnation of the process, in hexadecimal digits.
    pub incarnation: String,
    /// Time since the process started.
    pub uptime_ms: u64,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Rules document.
    pub rules: Document,
    /// List document.
    pub list: Document,
    /// Other instances.
    pub instances: Vec<Instance>,
    /// Upstreams of this region.
    pub upstreams: Vec<Upstream>,
    /// Customers with their share of the rate on this instance.
    pub customers: Vec<Customer>,
    /// Requests in progress.
    pub requests: Vec<Request>,
    /// Requests that are refused since they crash upstreams.
    pub quarantine: Vec<Quarantined>,
    /// Number of ticket records.
    pub tickets: usize,
    /// Monotonic counters.
    pub counters: Counters,
}

/// A published document.
#[derive(Clone, Debug, Serialize)]
pub struct Document {
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// Time since the platform confirmed that it has no newer revision.
    pub age_ms: Option<u64>,
    /// Newest revision that was refused; 0 for none.
    pub refused: u64,
    /// Fault of the newest revision refused here or by another instance, or why a
    /// neighbour's change could not be applied.
    pub fault: Option<SmolStr>,
    /// Failure of the last read from the platform, or the older revision that it offered.
    pub read_fault: Option<SmolStr>,
}

/// Requests that are refused since they crash upstreams.
#[derive(Clone, Debug, Serialize)]
pub struct Quarantined {
    /// Kind of what they have in common.
    pub kind: String,
    /// Its id, in hexadecimal digits.
    pub suspect: String,
    /// Number of trials so far.
    pub trials: u32,
    /// Time since the last known crash.
    pub crash_age_ms: u64,
}

/// Another instance.
#[derive(Clone, Debug, Serialize)]
pub struct Instance {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// State in the list; absent if the list does not contain it.
    pub listed: Option<String>,
    /// Whether a link to it is open.
    pub linked: bool,
    /// Whether this instance is to keep a link to it, whichever end opens it. If not, a link
    /// may still be open because the other instance wants it.
    pub neighbour: bool,
    /// Whether new requests may be sent to it.
    pub takes_work: bool,
    /// Time since the last heartbeat on the link.
    pub heard_ms: Option<u64>,
    /// Revision of the rules that it uses.
    pub rules_revision: Option<u64>,
}

/// An upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Name.
    pub name: SmolStr,
    /// Service that it provides.
    pub service: SmolStr,
    /// State in the list.
    pub state: String,
    /// Attempts of this instance that are in flight there.
    pub own: u32,
    /// Estimated number of requests there.
    pub load: u32,
    /// Concurrent requests that it can run without overload.
    pub capacity: u32,
    /// Whether it is ejected.
    pub ejected: bool,
}

/// Share of a customer's rate on this instance, in whole tokens.
#[derive(Clone, Debug, Serialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: SmolStr,
    /// Rate of this share under the rules in force, in tokens per second.
    pub rate: u64,
    /// Burst of this share that applies now; after a change, the smaller of the old and the
    /// new one.
    pub burst: u64,
    /// Tokens available.
    pub tokens: u64,
    /// Tokens lent to other instances.
    pub lent: u64,
    /// Tokens borrowed and not yet spent.
    pub borrowed: u64,
    /// Number of requests that wait for tokens.
    pub waiting: usize,
}

/// A request in progress.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Number of the request.
    pub id: u64,
    /// Customer.
    pub customer: Option<SmolStr>,
    /// Requested service.
    pub service: SmolStr,
    /// Stage in the pipeline.
    pub stage: Stage,
    /// Name of the upstream or instance that is its target.
    pub target: Option<SmolStr>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time left until the deadline.
    pub deadline_ms: u64,
}

/// Returns the state of `board`.
pub fn snapshot(board: &Board) -> Snapshot {
    Snapshot {
        name: board.identity.name.clone(),
        domain: board.identity.domain.clone(),
        region: board.my_region().cloned(),
        slot: board.identity.slot,
        incarnation: format!("{:016x}", board.identity.incarnation),
        uptime_ms: millis(board.now()),
        ready: board.is_ready(),
        draining: board.draining,
        rules: document(board, DocumentKind::Rules),
        list: document(board, DocumentKind::List),
        instances: instances(board),
        upstreams: upstreams(board),
        customers: customers(board),
        requests: requests(board),
        quarantine: quarantined(board),
        tickets: board.records.by_number.len(),
        counters: board.counters,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn quarantined(board: &Board) -> Vec<Quarantined> {
    let in_force = board.quarantine.orders().filter(|o| o.in_force);
    let quarantined = in_force.map(|o| Quarantined {
        kind: o.suspect.kind.to_string(),
        suspect: format!("{:x}", o.suspect.id),
        trials: o.trials,
        crash_age_ms: millis(board.now().saturating_sub(o.last_crash_at)),
    });
    quarantined.collect()
}

fn document(board: &Board, kind: DocumentKind) -> Document {
    let document = &board.documents[&kind];
    Document {
        revision: document.revision(),
        age_ms: document.age(board.now()).map(millis),
        refused: document.refused_revision,
        fault: document.fault.clone(),
        read_fault: document.read_fault.clone(),
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
            neighbour: i.link_wanted,
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
            rate: s.rate / MICRO_TOKENS_PER_TOKEN,
            burst: s.effective_burst() / MICRO_TOKENS_PER_TOKEN,
            tokens: s.micro_tokens_at(board.now()) / MICRO_TOKENS_PER_TOKEN,
            lent: s.lent_total() / MICRO_TOKENS_PER_TOKEN,
            borrowed: s.borrowed.iter().map(|l| l.amount - l.spent).sum::<u64>()
                / MICRO_TOKENS_PER_TOKEN,
            waiting: s.waiting.len(),
        })
        .collect();
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn requests(board: &Board) -> Vec<Request> {
    let name_of = |target: &TargetKey| match target {
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
            target: r.target.as_ref().and_then(name_of),
            attempts: r.attempts,
            deadline_ms: millis(r.deadline.saturating_sub(board.now())),
        })
        .collect()
}
