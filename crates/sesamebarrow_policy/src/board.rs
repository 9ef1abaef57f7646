//! The state of an instance, as plain tables.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use sesamebarrow_routing::quarantine::Quarantine;
use sesamebarrow_rules::list::State;
use sesamebarrow_rules::{KeyDigest, List, Rules};
use sesamebarrow_wire::control::DocumentKind;
use smol_str::SmolStr;

use crate::at_most_once::Records;
use crate::clock::Clock;
use crate::config::DocumentState;
use crate::event::{Action, RequestId};
use crate::limit::Limits;
use crate::pipeline::Request;
use crate::settings::Settings;

slotmap::new_key_type! {
    /// Key of an instance in [`Board::instances`].
    pub struct InstanceKey;
    /// Key of an upstream in [`Board::upstreams`].
    pub struct UpstreamKey;
    /// Key of a customer in the table of rate limits.
    pub struct CustomerKey;
}

/// Retry budget of a new process, in hundredths of a retry.
const INITIAL_RETRY_BUDGET_HUNDREDTHS: u32 = 1_000;

/// Identity of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Slot in the failure domain: one of the numbered places for instances that the rules
    /// give it. Shares of the customers' rates belong to slots.
    pub slot: u16,
    /// Random number that identifies this process.
    pub incarnation: u64,
}

/// An open link to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Incarnation of the process at the other end.
    pub incarnation: u64,
    /// When the last heartbeat arrived, or when the link was opened.
    pub last_heard: Duration,
    /// Sequence number of its newest heartbeat.
    pub sequence: u64,
    /// Revision of the rules document that it uses.
    pub rules_revision: u64,
    /// Revision of the list document that it uses.
    pub list_revision: u64,
    /// Whether the instance accepts new requests.
    pub ready: bool,
    /// Requests in progress at the instance.
    pub requests_in_progress: u32,
    /// Whether the next heartbeat contains the orders of the quarantine.
    pub lacks_orders: bool,
}

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region; empty while its failure domain is not in the rules.
    pub region: SmolStr,
    /// Slot in its failure domain, if the list contains the instance.
    pub slot: Option<u16>,
    /// Address for callers, if the list contains the instance.
    pub http: Option<SocketAddr>,
    /// Address for other instances, if the list contains the instance.
    pub peer: Option<SocketAddr>,
    /// State in the list; `None` if the list does not contain the instance.
    pub listed_state: Option<State>,
    /// The link to it, while one is open.
    pub link: Option<Link>,
    /// Whether this instance is to keep a link to it, whichever end opens it. If not, a link
    /// may still be open because the other instance wants it.
    pub link_wanted: bool,
    /// When a link to it was last attempted, or when this instance began to wait for the
    /// other end's attempt.
    pub last_dialled: Option<Duration>,
}

/// An upstream of this region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Service that it provides.
    pub service: SmolStr,
    /// Network address.
    pub address: SocketAddr,
    /// Concurrent requests that it can run without overload.
    pub capacity: u32,
    /// State in the list; leaving if the list no longer contains it.
    pub state: State,
    /// Attempts of this instance that are in flight there.
    ///
    /// Always equals the number of requests whose target is this upstream.
    pub in_flight: u32,
    /// Load that it last reported: running and queued requests.
    pub reported_load: u32,
    /// When the reported load was measured.
    pub load_measured_at: Option<Duration>,
    /// When this instance last checked whether it has to poll the load.
    pub load_checked_at: Option<Duration>,
    /// Whether this instance polls the load on behalf of its failure domain.
    pub polled_here: bool,
    /// Consecutive failed attempts.
    pub consecutive_failures: u32,
    /// End of its ejection, if it was ejected.
    pub ejected_until: Option<Duration>,
}

/// The blackboard: the state that all controllers read and write.
pub struct Board {
    /// Identity of this instance.
    pub identity: Identity,
    /// Settings of the controllers.
    pub settings: Settings,
    /// Time of the current event, and the detection of pauses.
    pub clock: Clock,
    /// Random number generator, seeded once.
    pub rng: StdRng,
    /// The rules in force; `None` until a rules document has been accepted.
    pub rules: Option<Arc<Rules>>,
    /// The list of instances and upstreams in force.
    pub list: Arc<List>,
    /// State of each published document, such as its revision and age.
    pub documents: BTreeMap<DocumentKind, DocumentState>,
    /// Other instances.
    pub instances: slotmap::SlotMap<InstanceKey, Instance>,
    /// Index of `instances` by name.
    pub instances_by_name: HashMap<SmolStr, InstanceKey>,
    /// Upstreams of this region.
    pub upstreams: slotmap::SlotMap<UpstreamKey, Upstream>,
    /// Index of `upstreams` by name.
    pub upstreams_by_name: HashMap<SmolStr, UpstreamKey>,
    /// Rate limits of the customers.
    pub limits: Limits,
    /// Records of non-idempotent requests.
    pub records: Records,
    /// Blame for crashes of upstreams, and the orders to which it led.
    pub quarantine: Quarantine,
    /// Requests in progress.
    pub requests: BTreeMap<RequestId, Request>,
    /// Retry budget. Completed requests add to it, and retries consume it.
    pub retry_budget_hundredths: u32,
    /// Monotonic counters.
    pub counters: Counters,
    /// Whether the process is shutting down and accepts no new requests from callers.
    pub draining: bool,
    /// Whether the shutdown is about to end, so that also forwarded requests are refused.
    pub refuses_all: bool,
    /// Whether [`Action::Drained`] was emitted.
    pub drained: bool,
    /// When missing links were last checked.
    pub links_checked_at: Option<Duration>,
    /// When heartbeats were last sent.
    pub heartbeat_sent_at: Option<Duration>,
    /// Sequence number of the last heartbeat sent.
    pub heartbeat_sequence: u64,
    /// Position of the round-robin balancing method.
    pub round_robin_cursor: usize,
    /// Actions that the current event has produced.
    pub(crate) actions: Vec<Action>,
}

/// Monotonic counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Requests received from callers.
    pub arrived: u64,
    /// Requests received from other instances.
    pub arrived_forwarded: u64,
    /// Requests refused for any reason.
    pub refused: u64,
    /// Requests refused because the customer exceeded its rate.
    pub refused_rate: u64,
    /// Complete responses.
    pub completed: u64,
    /// Attempts interrupted after bytes of the request were sent.
    pub broken: u64,
    /// Retries after a failed or refused attempt.
    pub retried: u64,
    /// Attempts forwarded to another instance.
    pub forwarded: u64,
    /// Attempts forwarded to another region because no upstream here could take them.
    pub spilled: u64,
    /// Document reads from the platform.
    pub platform_reads: u64,
    /// Control messages sent.
    pub messages_sent: u64,
    /// Detected pauses of the process.
    pub pauses: u64,
    /// Requests cancelled because their key was revoked.
    pub cancelled: u64,
}

impl Board {
    /// Creates the board of a new process. `seed` initialises the random number generator.
    pub fn new(identity: Identity, settings: Settings, ticket_key: [u8; 32], seed: u64) -> Self {
        let documents = [DocumentKind::Rules, DocumentKind::List]
            .into_iter()
            .map(|kind| (kind, DocumentState::default()))
            .collect();
        Self {
            identity,
            settings,
            clock: Clock::default(),
            rng: StdRng::seed_from_u64(seed),
            rules: None,
            list: Arc::default(),
            documents,
            instances: slotmap::SlotMap::with_key(),
            instances_by_name: HashMap::new(),
            upstreams: slotmap::SlotMap::with_key(),
            upstreams_by_name: HashMap::new(),
            limits: Limits::default(),
            records: Records::new(ticket_key),
            quarantine: Quarantine::default(),
            requests: BTreeMap::new(),
            retry_budget_hundredths: INITIAL_RETRY_BUDGET_HUNDREDTHS,
            counters: Counters::default(),
            draining: false,
            refuses_all: false,
            drained: false,
            links_checked_at: None,
            heartbeat_sent_at: None,
            heartbeat_sequence: 0,
            round_robin_cursor: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the time of the current event.
    pub fn now(&self) -> Duration {
        self.clock.now
    }

    /// Returns the region of this instance; `None` while its failure domain is not in
    /// the rules.
    pub fn my_region(&self) -> Option<&SmolStr> {
        self.rules.as_ref()?.region_of(&self.identity.domain)
    }

    /// Returns the customer that owns `key` under the rules in force.
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&SmolStr> {
        self.rules.as_ref()?.keys.get(key)
    }

    /// Returns whether `customer` allows its data to be processed in `region`.
    pub fn allows_region(&self, customer: &str, region: &str) -> bool {
        let Some(rules) = &self.rules else {
            return false;
        };
        rules
            .customers
            .get(customer)
            .is_some_and(|c| c.regions.contains(region))
    }

    /// Returns the revision of the rules in force; 0 if there are none.
    pub fn rules_revision(&self) -> u64 {
        self.documents[&DocumentKind::Rules].revision()
    }

    /// Returns whether this instance accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.my_region().is_some() && !self.draining && self.clock.recovering_until.is_none()
    }

    /// Returns whether a link to `instance` is open, and it was opened or a heartbeat arrived
    /// on it within the link timeout.
    pub fn has_live_link(&self, instance: &Instance) -> bool {
        instance.link.as_ref().is_some_and(|link| {
            self.now().saturating_sub(link.last_heard) < self.settings.link_timeout
        })
    }

    pub(crate) fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn send_message(&mut self, to: SmolStr, message: crate::event::Message) {
        self.counters.messages_sent += 1;
        self.push_action(Action::SendMessage { to, message });
    }
}
