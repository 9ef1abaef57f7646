//! Simulates instances that exchange datagrams over a network with delays and partitions.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::config::{Backend, Customer, Engine, Route, Service};
use sesamebarrow_routing::gossip::{self, Datagram};
use sesamebarrow_routing::holder::{self, Holder};
use sesamebarrow_routing::quota::LoanNeed;
use sesamebarrow_routing::token;
use sesamebarrow_routing::upstream::Entry;
use sesamebarrow_routing::{Board, Config, Identity, RequestKind, budget, cold, quota};
use smol_str::{SmolStr, format_smolstr};

/// One-way delay between any two instances.
const DELAY: Duration = Duration::from_millis(80);

/// Time between two checks whether loans are needed.
const LOAN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Step of the simulated time.
pub const STEP: Duration = Duration::from_millis(10);

/// Incarnation of each instance's first run: milliseconds since 1970 on a day in 2026.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

pub const MODEL: &str = "model";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn parameters() -> Parameters {
    Parameters {
        stop_limit: Duration::from_millis(7_700),
        budget: budget::Limit {
            ratio: 0.2,
            slack: 52.0,
            window: Duration::from_secs(10),
        },
        quota: quota::Tolerance {
            window: Duration::from_secs(8),
            overshoot: 0.25,
            slack: 72_000.0,
        },
        cold: cold::Limit {
            rate_factor: 1.5,
            slack: 3.0,
        },
        dispatch: Default::default(),
        prefill_per_ms: 91.8,
        region_delay: DELAY,
        expects_others: true,
    }
}

pub fn customer(name: &str, rate: f64) -> Customer {
    Customer {
        name: name.into(),
        priority: None,
        rate,
        burst: rate,
        default_cost: 200,
        counts_tokens: true,
        allowed_regions: Vec::new(),
    }
}

pub fn route(name: &str, regions: &[&str]) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format_smolstr!("/{name}/"),
        kind: RequestKind::Streaming,
        resumable: true,
        backends: vec![Backend {
            service: MODEL.into(),
            weight: 1,
        }],
        timeout: Duration::from_secs(5),
        target_latency: ms(800),
        max_pause: None,
        max_attempts: 2,
        priority: 0,
        public: false,
        allowed_regions: regions.iter().map(|r| SmolStr::new(*r)).collect(),
    }
}

pub fn config(customers: &[Customer], routes: Vec<Route>) -> Config {
    let mut config = Config::default();
    config.version = 1;
    let service = Service {
        name: MODEL.into(),
        max_connections: 600,
        warmup: Duration::from_secs(3),
        cold_rate: 3.7,
        engine: Some(Engine {
            kv_capacity_tokens: 350_000,
            slots: 128,
        }),
    };
    config.services.insert(service.name.clone(), service);
    config.customers = customers.iter().cloned().map(Into::into).collect();
    config.routes = routes.into_iter().map(Into::into).collect();
    config.build_host_index()
}

pub fn entry(id: &str, domain: &str, cold: Duration) -> Entry {
    Entry {
        id: id.into(),
        service: MODEL.into(),
        address: ([10, 9, 0, 1], 80).into(),
        domain: domain.into(),
        slots: 128,
        ready: true,
        cold_remaining: cold,
        started_at_ms: Some(1),
    }
}

/// A datagram in transit.
struct InTransit {
    arrives_at: Duration,
    from: usize,
    to: usize,
    datagram: Datagram,
}

/// A message about a loan in transit.
struct LoanInTransit {
    arrives_at: Duration,
    from: usize,
    to: usize,
    customer: u64,
    requested: f64,
    /// Tokens that were lent.
    tokens: f64,
    /// Whether it is the answer to a request.
    lent: bool,
}

/// An instance: its board, and when its process started.
pub struct Instance {
    pub board: Board,
    pub started_at: Duration,
    /// Whether its datagrams are like those of the previous version.
    pub previous_version: bool,
    /// Time of its process at which the next gossip round starts.
    next_round_at: Duration,
    /// Whether its process has ended.
    ended: bool,
    /// Time at which its process was frozen, if it is.
    frozen_at: Option<Duration>,
}

/// Instances named `domain`-0, `domain`-1 and so on. The region has the name of the domain.
pub struct Fleet {
    pub now: Duration,
    pub instances: Vec<Instance>,
    pub config: Config,
    /// The instances that all settings name as seeds.
    pub seeds: Vec<usize>,
    /// Total size of the datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Number of messages about tokens.
    pub token_messages: u64,
    in_transit: Vec<InTransit>,
    loans_in_transit: Vec<LoanInTransit>,
    indices: HashMap<Ipv4Addr, usize>,
    restarts: u64,
}

impl Fleet {
    pub fn new(domains: &[(&str, usize)], config: Config) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
            config,
            seeds: Vec::new(),
            sent_bytes: 0,
            token_messages: 0,
            in_transit: Vec::new(),
            loans_in_transit: Vec::new(),
            indices: HashMap::new(),
            restarts: 0,
        };
        let regions: HashMap<SmolStr, SmolStr> = domains
            .iter()
            .map(|(d, _)| (SmolStr::new(*d), SmolStr::new(*d)))
            .collect();
        for (domain, count) in domains {
            for number in 0..*count {
                let index = fleet.instances.len() as u16;
                let [high, low] = index.to_be_bytes();
                let identity = Identity {
                    name: format_smolstr!("{domain}-{number}"),
                    domain: SmolStr::new(*domain),
                    region: SmolStr::new(*domain),
                    ip: Ipv4Addr::new(10, 0, high, low),
                    incarnation: FIRST_INCARNATION,
                };
                let mut board =
                    Board::new(identity, parameters(), regions.clone(), u64::from(index));
                board.apply_config(Duration::ZERO, fleet.config.clone());
                fleet
                    .indices
                    .insert(board.identity.ip, fleet.instances.len());
                fleet.instances.push(Instance {
                    board,
                    started_at: Duration::ZERO,
                    previous_version: false,
                    next_round_at: Duration::ZERO,
                    ended: false,
                    frozen_at: None,
                });
            }
        }
        fleet.seeds = vec![0, fleet.instances.len() - 1];
        fleet
    }

    /// Returns the time since the start of the instance's process.
    pub fn process_time(&self, index: usize) -> Duration {
        self.now.saturating_sub(self.instances[index].started_at)
    }

    /// Ends an instance's process and starts a new one that knows only the configuration.
    pub fn restart(&mut self, index: usize) {
        self.restarts += 1;
        let old = &self.instances[index].board;
        let mut identity = old.identity.clone();
        identity.incarnation += self.restarts;
        let mut board = Board::new(identity, parameters(), old.regions.clone(), self.restarts);
        board.apply_config(Duration::ZERO, self.config.clone());
        self.instances[index] = Instance {
            board,
            started_at: self.now,
            previous_version: false,
            next_round_at: Duration::ZERO,
            ended: false,
            frozen_at: None,
        };
    }

    /// Ends an instance's process without notice.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].ended = true;
    }

    /// Freezes an instance's process. What arrives meanwhile waits.
    pub fn freeze(&mut self, index: usize) {
        self.instances[index].frozen_at = Some(self.now);
    }

    /// Lets a frozen process run on, which reads first what has arrived.
    pub fn thaw(&mut self, index: usize) {
        self.instances[index].frozen_at = None;
    }

    /// Returns whether a process runs.
    pub fn runs(&self, index: usize) -> bool {
        !self.instances[index].ended && self.instances[index].frozen_at.is_none()
    }

    /// Advances the time by one step. Datagrams arrive only where `reaches` returns true.
    pub fn step(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        self.now += STEP;
        for from in 0..self.instances.len() {
            let process_time = self.process_time(from);
            if self.runs(from) && process_time >= self.instances[from].next_round_at {
                self.send_round(from, process_time);
                let interval = self.instances[from].board.gossip_interval();
                self.instances[from].next_round_at = process_time + interval;
            }
        }
        self.move_loans(&reaches);
        let (due, remaining) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|f| f.arrives_at <= self.now && self.instances[f.to].frozen_at.is_none());
        self.in_transit = remaining;
        let due: Vec<InTransit> = due;
        for arrival in due {
            if reaches(arrival.from, arrival.to) && !self.instances[arrival.to].ended {
                let process_time = self.process_time(arrival.to);
                let waited = self.now.saturating_sub(arrival.arrives_at);
                let board = &mut self.instances[arrival.to].board;
                if board.handle_datagram(process_time, waited, &arrival.datagram) {
                    let mut reply = board.begin_gossip_reply(process_time, &arrival.datagram);
                    let ip = Ipv4Addr::from_bits(arrival.datagram.sender.ip);
                    board.complete_datagram(process_time, &mut reply, ip);
                    self.in_transit.push(InTransit {
                        arrives_at: self.now + DELAY,
                        from: arrival.to,
                        to: arrival.from,
                        datagram: reply,
                    });
                }
            }
        }
    }

    /// Takes tokens for a request at instance `index`, as the gateway does: from the bucket
    /// of the holder, or of the next one if it does not answer. Returns whether they were
    /// granted. Instances of one region answer within one step.
    pub fn take(
        &mut self,
        index: usize,
        name: &str,
        cost: f64,
        reaches: impl Fn(usize, usize) -> bool,
    ) -> bool {
        let customer = token::customer_hash(name);
        let now = self.process_time(index);
        let mut refusals = 0;
        for holder in holder::holders(&self.instances[index].board, now, customer) {
            let granted = match holder {
                Holder::Own => {
                    let quota = &mut self.instances[index].board.quota;
                    quota.take(now, customer, cost).is_ok()
                }
                Holder::Other(ip) => {
                    self.token_messages += 2;
                    let other = self.indices[&ip];
                    if !reaches(index, other) || !reaches(other, index) {
                        holder::record_unanswered(&mut self.instances[index].board, now, ip);
                        continue;
                    }
                    let other_now = self.process_time(other);
                    let quota = &mut self.instances[other].board.quota;
                    quota.take(other_now, customer, cost).is_ok()
                }
            };
            if granted {
                return true;
            }
            refusals += 1;
            if refusals == holder::REFILLED_PER_REGION {
                break;
            }
        }
        false
    }

    /// Returns the delay of a message about tokens: one step within a region.
    fn delay(&self, from: usize, to: usize) -> Duration {
        let region = |index: usize| &self.instances[index].board.identity.region;
        if region(from) == region(to) {
            STEP
        } else {
            DELAY
        }
    }

    /// Requests loans and delivers those that are due.
    fn move_loans(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        let (due, remaining) = std::mem::take(&mut self.loans_in_transit)
            .into_iter()
            .partition(|l| l.arrives_at <= self.now);
        self.loans_in_transit = remaining;
        let due: Vec<LoanInTransit> = due;
        for loan in due.into_iter().filter(|l| reaches(l.from, l.to)) {
            self.token_messages += 1;
            let now = self.process_time(loan.to);
            let lender = self.instances[loan.from].board.identity.ip;
            let board = &mut self.instances[loan.to].board;
            if loan.lent {
                let requested = LoanNeed {
                    customer: loan.customer,
                    tokens: loan.requested,
                };
                holder::receive_loan(board, lender, requested, loan.tokens);
                continue;
            }
            let tokens = board.quota.lend(now, loan.customer, loan.requested);
            self.loans_in_transit.push(LoanInTransit {
                arrives_at: self.now + self.delay(loan.to, loan.from),
                from: loan.to,
                to: loan.from,
                customer: loan.customer,
                requested: loan.requested,
                tokens,
                lent: true,
            });
        }
        if !self
            .now
            .as_millis()
            .is_multiple_of(LOAN_CHECK_INTERVAL.as_millis())
        {
            return;
        }
        for from in 0..self.instances.len() {
            let now = self.process_time(from);
            for request in holder::request_loans(&mut self.instances[from].board, now) {
                let to = self.indices[&request.lender];
                self.loans_in_transit.push(LoanInTransit {
                    arrives_at: self.now + self.delay(from, to),
                    from,
                    to,
                    customer: request.need.customer,
                    requested: request.need.tokens,
                    tokens: 0.0,
                    lent: false,
                });
            }
        }
    }

    /// Advances the time by `time` while all instances reach each other.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step(|_, _| true);
        }
    }

    fn send_round(&mut self, from: usize, process_time: Duration) {
        let addresses: Vec<_> = self.instances.iter().map(|i| i.board.identity.ip).collect();
        let own_address = addresses[from];
        let seeds = self.seeds.iter().map(|index| addresses[*index]);
        let seeds: Vec<_> = seeds.filter(|seed| *seed != own_address).collect();
        let previous_version = self.instances[from].previous_version;
        let board = &mut self.instances[from].board;
        let mut datagram = board.begin_gossip_round(process_time);
        datagram.sender.keeps_buckets = !previous_version;
        if previous_version {
            for load in &mut datagram.service_loads {
                load.room = None;
            }
        }
        for ip in board
            .members
            .receivers(&board.identity.region, &seeds, &mut board.rng)
        {
            board.complete_datagram(process_time, &mut datagram, ip);
            self.sent_bytes += gossip::encode(&datagram).len() as u64;
            let to = addresses.iter().position(|a| *a == ip);
            self.in_transit.push(InTransit {
                arrives_at: self.now + DELAY,
                from,
                to: to.expect("datagrams are sent only to known addresses"),
                datagram: datagram.clone(),
            });
        }
    }
}
