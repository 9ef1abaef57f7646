//! Simulates instances that exchange datagrams over a network with delays and partitions.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use sesamebarrow_routing::board::Parameters;
use sesamebarrow_routing::config::{Backend, Customer, Engine, Route, Service};
use sesamebarrow_routing::gossip::{self, Datagram};
use sesamebarrow_routing::member::GOSSIP_INTERVAL;
use sesamebarrow_routing::upstream::Entry;
use sesamebarrow_routing::{Board, Config, Identity, RequestKind, budget, cold, quota};
use smol_str::{SmolStr, format_smolstr};

/// One-way delay between any two instances.
const DELAY: Duration = Duration::from_millis(80);

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
        budget: budget::Limit {
            ratio: 0.2,
            slack: 52.0,
            window: Duration::from_secs(10),
        },
        quota: quota::Tolerance {
            window: Duration::from_secs(8),
            overshoot: 0.25,
            slack: 72_000.0,
            assumed_instances: 6.0,
        },
        cold: cold::Limit {
            rate_factor: 1.5,
            slack: 3.0,
        },
        prefill_per_ms: 91.8,
        region_delay: DELAY,
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

/// An instance: its board, and when its process started.
pub struct Instance {
    pub board: Board,
    pub started_at: Duration,
    rounds: u32,
}

/// Instances named `domain`-0, `domain`-1 and so on. The region has the name of the domain.
pub struct Fleet {
    pub now: Duration,
    pub instances: Vec<Instance>,
    pub config: Config,
    /// Total size of the datagrams sent, in bytes.
    pub sent_bytes: u64,
    in_transit: Vec<InTransit>,
    restarts: u64,
}

impl Fleet {
    pub fn new(domains: &[(&str, usize)], config: Config) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
            config,
            sent_bytes: 0,
            in_transit: Vec::new(),
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
                fleet.instances.push(Instance {
                    board,
                    started_at: Duration::ZERO,
                    rounds: 0,
                });
            }
        }
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
            rounds: 0,
        };
    }

    /// Advances the time by one step. Datagrams arrive only where `reaches` returns true.
    pub fn step(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        self.now += STEP;
        for from in 0..self.instances.len() {
            let process_time = self.process_time(from);
            if process_time >= GOSSIP_INTERVAL * self.instances[from].rounds {
                self.instances[from].rounds += 1;
                self.send_round(from, process_time);
            }
        }
        let (due, remaining) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|f| f.arrives_at <= self.now);
        self.in_transit = remaining;
        let due: Vec<InTransit> = due;
        for arrival in due {
            if reaches(arrival.from, arrival.to) {
                let process_time = self.process_time(arrival.to);
                let board = &mut self.instances[arrival.to].board;
                if board.handle_datagram(process_time, &arrival.datagram) {
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
        let seeds = [addresses[0], addresses[addresses.len() - 1]];
        let seeds: Vec<_> = seeds
            .into_iter()
            .filter(|seed| *seed != own_address)
            .collect();
        let board = &mut self.instances[from].board;
        let mut datagram = board.begin_gossip_round(process_time);
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
