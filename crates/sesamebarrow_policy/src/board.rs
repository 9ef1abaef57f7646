//! All that an instance knows, as plain tables.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use sesamebarrow_rules::list::State;
use sesamebarrow_rules::{KeyDigest, List, Rules};
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::clock::Clock;
use crate::config::Shelf;
use crate::event::{Action, RequestId};
use crate::limit::Limits;
use crate::once::Records;
use crate::pipeline::Request;
use crate::settings::Settings;

slotmap::new_key_type! {
    /// Names an instance on the board.
    pub struct InstanceKey;
    /// Names an upstream on the board.
    pub struct UpstreamKey;
    /// Names a customer on the board.
    pub struct CustomerKey;
}

/// Hundredths of a retry that a new process may make.
const INITIAL_RETRY_BUDGET_HUNDREDTHS: u32 = 1_000;

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name, unique in the fleet.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its slot in the domain.
    pub slot: u16,
    /// A random number of this process.
    pub incarnation: u64,
}

/// A link to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// The other end's process.
    pub incarnation: u64,
    /// When it was last heard.
    pub last_heard: Duration,
    /// Sequence of its newest heartbeat.
    pub sequence: u64,
    /// Revision of its rules.
    pub rules_revision: u64,
    /// Revision of its list.
    pub list_revision: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests in flight at it.
    pub running: u32,
}

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its region; empty while its domain is not in the rules.
    pub region: SmolStr,
    /// Its slot, where the list tells it.
    pub slot: Option<u16>,
    /// Where callers reach it, where the list tells it.
    pub http: Option<SocketAddr>,
    /// Where instances reach it, where the list tells it.
    pub peer: Option<SocketAddr>,
    /// Its state on the list; `None` where the list does not name it.
    pub listed_state: Option<State>,
    /// The link to it, while one stands.
    pub link: Option<Link>,
    /// Whether control messages go to it regularly.
    pub neighbour: bool,
    /// When a link to it was last tried.
    pub last_dialled: Option<Duration>,
}

/// An upstream of this region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name.
    pub name: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that it runs well at a time.
    pub capacity: u32,
    /// Its state on the list.
    pub state: State,
    /// Attempts of this instance that are under way at it.
    ///
    /// Always the number of requests whose target it is.
    pub in_flight: u32,
    /// Requests that it last reported, its waiting ones included.
    pub reported_load: u32,
    /// When that report was true.
    pub load_reported_at: Option<Duration>,
    /// When it was last looked at whether to ask for its load.
    pub load_checked_at: Option<Duration>,
    /// Whether this instance asks for its load, for all of the domain.
    pub polled_here: bool,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// Until when it is ejected.
    pub ejected_until: Option<Duration>,
}

/// The blackboard that all controllers read and write.
pub struct Board {
    /// Who this instance is.
    pub me: Identity,
    /// The controllers' settings.
    pub settings: Settings,
    /// Time as the controllers know it.
    pub clock: Clock,
    /// Random numbers, from one seed.
    pub rng: StdRng,
    /// The rules in force; `None` until some were accepted.
    pub rules: Option<Arc<Rules>>,
    /// The list in force.
    pub list: Arc<List>,
    /// The published documents and what is known of their age.
    pub shelves: BTreeMap<DocumentKind, Shelf>,
    /// Other instances.
    pub instances: slotmap::SlotMap<InstanceKey, Instance>,
    /// Instances by name; the same set as `instances`.
    pub instances_by_name: HashMap<SmolStr, InstanceKey>,
    /// Upstreams of this region.
    pub upstreams: slotmap::SlotMap<UpstreamKey, Upstream>,
    /// Upstreams by name; the same set as `upstreams`.
    pub upstreams_by_name: HashMap<SmolStr, UpstreamKey>,
    /// Customers' shares.
    pub limits: Limits,
    /// Requests that are not idempotent.
    pub records: Records,
    /// Requests under way.
    pub requests: BTreeMap<RequestId, Request>,
    /// Retries that may be made, in hundredths of a retry.
    pub retry_budget: u32,
    /// Counts that only rise.
    pub counters: Counters,
    /// Whether the process is stopping.
    pub draining: bool,
    /// Whether [`Action::Drained`] was said.
    pub drained: bool,
    /// When missing links were last looked for.
    pub links_checked_at: Option<Duration>,
    /// When heartbeats were last sent.
    pub heartbeat_sent_at: Option<Duration>,
    /// Sequence of the newest heartbeat.
    pub heartbeat_sequence: u64,
    /// Next upstream in turn.
    pub next_in_turn: usize,
    /// Actions not yet taken.
    pub(crate) actions: Vec<Action>,
}

/// Counts that only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Requests that arrived from callers.
    pub arrived: u64,
    /// Requests that arrived from instances.
    pub arrived_forwarded: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused for the customer's rate.
    pub refused_rate: u64,
    /// Whole answers.
    pub completed: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Requests handed to another instance.
    pub forwarded: u64,
    /// Requests handed to another region for want of room.
    pub spilled: u64,
    /// Reads of the platform.
    pub platform_reads: u64,
    /// Control messages sent.
    pub messages_sent: u64,
    /// Pauses of the process.
    pub pauses: u64,
    /// Requests cancelled for a withdrawn key.
    pub cancelled: u64,
}

impl Board {
    /// Builds the board of a new process. `seed` feeds its random numbers.
    pub fn new(me: Identity, settings: Settings, ticket_key: [u8; 32], seed: u64) -> Self {
        let shelves = [DocumentKind::Rules, DocumentKind::List]
            .into_iter()
            .map(|kind| (kind, Shelf::default()))
            .collect();
        Self {
            me,
            settings,
            clock: Clock::default(),
            rng: StdRng::seed_from_u64(seed),
            rules: None,
            list: Arc::default(),
            shelves,
            instances: slotmap::SlotMap::with_key(),
            instances_by_name: HashMap::new(),
            upstreams: slotmap::SlotMap::with_key(),
            upstreams_by_name: HashMap::new(),
            limits: Limits::default(),
            records: Records::new(ticket_key),
            requests: BTreeMap::new(),
            retry_budget: INITIAL_RETRY_BUDGET_HUNDREDTHS,
            counters: Counters::default(),
            draining: false,
            drained: false,
            links_checked_at: None,
            heartbeat_sent_at: None,
            heartbeat_sequence: 0,
            next_in_turn: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the time of the event in hand.
    pub fn now(&self) -> Duration {
        self.clock.now
    }

    /// Returns this instance's region; `None` while its domain is not in the rules.
    pub fn my_region(&self) -> Option<&SmolStr> {
        self.rules.as_ref()?.region_of(&self.me.domain)
    }

    /// Returns the customer to whom `key` belongs under the rules in force.
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&SmolStr> {
        self.rules.as_ref()?.keys.get(key)
    }

    /// Tells whether the data of `customer` may be in `region`.
    pub fn allows_region(&self, customer: &str, region: &str) -> bool {
        let Some(rules) = &self.rules else {
            return false;
        };
        rules
            .customers
            .get(customer)
            .is_some_and(|c| c.regions.contains(region))
    }

    /// Returns the revision of the rules in force; 0 for none.
    pub fn rules_revision(&self) -> u64 {
        self.shelves[&DocumentKind::Rules].revision()
    }

    /// Tells whether the instance takes new work.
    pub fn is_ready(&self) -> bool {
        self.my_region().is_some() && !self.draining && self.clock.waking.is_none()
    }

    /// Tells whether `instance` was heard from lately.
    pub fn is_linked(&self, instance: &Instance) -> bool {
        instance.link.as_ref().is_some_and(|link| {
            self.now().saturating_sub(link.last_heard) < self.settings.link_timeout
        })
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn send(&mut self, to: SmolStr, message: crate::event::Message) {
        self.counters.messages_sent += 1;
        self.act(Action::SendMessage { to, message });
    }
}
