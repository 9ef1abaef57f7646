//! A fleet of boards that exchange datagrams over a network with delays and cuts.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use sesamebarrow_routing::config::{Backend, Customer, Engine, Route, Service};
use sesamebarrow_routing::gossip::{self, Datagram};
use sesamebarrow_routing::member::GOSSIP_INTERVAL;
use sesamebarrow_routing::state::Bounds;
use sesamebarrow_routing::upstream::Entry;
use sesamebarrow_routing::{Config, Identity, RequestKind, RoutingState, budget, cold, quota};
use smol_str::{SmolStr, format_smolstr};

/// One-way delay between any two instances.
const DELAY: Duration = Duration::from_millis(80);

/// Step of the virtual time.
pub const STEP: Duration = Duration::from_millis(10);

/// Incarnation of the first runs: milliseconds of a day in 2026, as processes count them.
const FIRST_RUN: u64 = 1_790_000_000_000;

pub const MODEL: &str = "model";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn bounds() -> Bounds {
    Bounds {
        budget: budget::Bound {
            ratio: 0.2,
            slack: 52.0,
            window: Duration::from_secs(10),
        },
        quota: quota::Bound {
            window: Duration::from_secs(8),
            overshoot: 0.25,
            slack: 72_000.0,
            assumed_instances: 6.0,
        },
        cold: cold::Bound {
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
            kv_tokens: 350_000,
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

/// A datagram on its way.
struct Flight {
    at: Duration,
    from: usize,
    to: usize,
    datagram: Datagram,
}

/// An instance: its board, and when its process began.
pub struct Instance {
    pub state: RoutingState,
    pub began: Duration,
    rounds: u32,
}

/// Instances `domain`-0, `domain`-1, …; the region has the domain's name.
pub struct Fleet {
    pub now: Duration,
    pub instances: Vec<Instance>,
    pub config: Config,
    /// Bytes of datagrams that were sent.
    pub sent_bytes: u64,
    flights: Vec<Flight>,
    runs: u64,
}

impl Fleet {
    pub fn new(domains: &[(&str, usize)], config: Config) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
            config,
            sent_bytes: 0,
            flights: Vec::new(),
            runs: 0,
        };
        let regions: HashMap<SmolStr, SmolStr> = domains
            .iter()
            .map(|(d, _)| (SmolStr::new(*d), SmolStr::new(*d)))
            .collect();
        for (domain, count) in domains {
            for number in 0..*count {
                let at = fleet.instances.len() as u16;
                let [high, low] = at.to_be_bytes();
                let me = Identity {
                    name: format_smolstr!("{domain}-{number}"),
                    domain: SmolStr::new(*domain),
                    region: SmolStr::new(*domain),
                    ip: Ipv4Addr::new(10, 0, high, low),
                    incarnation: FIRST_RUN,
                };
                let mut state = RoutingState::new(me, bounds(), regions.clone(), u64::from(at));
                state.apply_config(Duration::ZERO, fleet.config.clone());
                fleet.instances.push(Instance {
                    state,
                    began: Duration::ZERO,
                    rounds: 0,
                });
            }
        }
        fleet
    }

    /// Time as the instance's process counts it.
    pub fn local(&self, at: usize) -> Duration {
        self.now.saturating_sub(self.instances[at].began)
    }

    /// Ends an instance's process and begins a new one that knows only the configuration.
    pub fn restart(&mut self, at: usize) {
        self.runs += 1;
        let old = &self.instances[at].state;
        let mut me = old.identity.clone();
        me.incarnation += self.runs;
        let mut state = RoutingState::new(me, bounds(), old.regions.clone(), self.runs);
        state.apply_config(Duration::ZERO, self.config.clone());
        self.instances[at] = Instance {
            state,
            began: self.now,
            rounds: 0,
        };
    }

    /// Passes one step; datagrams pass only where `reaches` allows.
    pub fn step(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        self.now += STEP;
        for from in 0..self.instances.len() {
            let local = self.local(from);
            if local >= GOSSIP_INTERVAL * self.instances[from].rounds {
                self.instances[from].rounds += 1;
                self.send_round(from, local);
            }
        }
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|f| f.at <= self.now);
        self.flights = later;
        let due: Vec<Flight> = due;
        for flight in due {
            if reaches(flight.from, flight.to) {
                let local = self.local(flight.to);
                let state = &mut self.instances[flight.to].state;
                if state.handle_datagram(local, &flight.datagram) {
                    let mut answer = state.begin_gossip_reply(local, &flight.datagram);
                    let ip = Ipv4Addr::from_bits(flight.datagram.sender.ip);
                    state.complete_datagram(local, &mut answer, ip);
                    self.flights.push(Flight {
                        at: self.now + DELAY,
                        from: flight.to,
                        to: flight.from,
                        datagram: answer,
                    });
                }
            }
        }
    }

    /// Passes time in which all reach all.
    pub fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step(|_, _| true);
        }
    }

    fn send_round(&mut self, from: usize, local: Duration) {
        let addresses: Vec<_> = self.instances.iter().map(|i| i.state.identity.ip).collect();
        let me = addresses[from];
        let seeds = [addresses[0], addresses[addresses.len() - 1]];
        let seeds: Vec<_> = seeds.into_iter().filter(|seed| *seed != me).collect();
        let state = &mut self.instances[from].state;
        let mut datagram = state.begin_gossip_round(local);
        for ip in state
            .members
            .receivers(&state.identity.region, &seeds, &mut state.rng)
        {
            state.complete_datagram(local, &mut datagram, ip);
            self.sent_bytes += gossip::encode(&datagram).len() as u64;
            let to = addresses.iter().position(|a| *a == ip);
            self.flights.push(Flight {
                at: self.now + DELAY,
                from,
                to: to.expect("only known addresses are sent to"),
                datagram: datagram.clone(),
            });
        }
    }
}
