//! Large generated fleets, for measuring the cost of control traffic.

use std::fmt::Write;
use std::time::Duration;

use rand::RngExt;
use sesamebarrow_policy::{Settings, limit};
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_wire::control::DocumentKind;

use crate::simulation::Simulation;

/// Numbers from which a fleet and its documents are generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSpec {
    /// Number of instances.
    pub instances: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of customers.
    pub customers: usize,
}

impl FleetSpec {
    /// The fleet that the gateway is designed for.
    pub const FULL: Self = Self {
        instances: 350,
        domains: 53,
        regions: 19,
        upstreams: 3000,
        customers: 1200,
    };

    /// Returns [`FleetSpec::FULL`] divided by `divisor`.
    pub fn divided_by(divisor: usize) -> Self {
        let full = Self::FULL;
        Self {
            instances: full.instances / divisor,
            domains: full.domains.div_ceil(divisor),
            regions: full.regions.div_ceil(divisor),
            upstreams: full.upstreams / divisor,
            customers: full.customers / divisor,
        }
    }

    fn domain_name(&self, index: usize) -> String {
        format!("d{:02}", index % self.domains)
    }

    fn region_name(&self, index: usize) -> String {
        format!("r{:02}", index % self.regions)
    }

    /// Returns the API key of a customer.
    pub fn key(customer: usize) -> String {
        format!("key-of-customer-{customer:05}")
    }

    /// Returns the rules. A `variant` above 0 changes the rate of one customer.
    pub fn rules(&self, variant: usize) -> String {
        let mut text = String::new();
        for region in 0..self.regions {
            // Writing to a string never fails.
            let _ = writeln!(text, "region {} # ops", self.region_name(region));
        }
        for domain in 0..self.domains {
            let slots = self.instances.div_ceil(self.domains);
            let (name, region) = (self.domain_name(domain), self.region_name(domain));
            let _ = writeln!(text, "domain {name} region={region} slots={slots} # ops");
        }
        for model in 0..MODELS {
            let _ = writeln!(text, "service model-{model} kind=model # ops");
        }
        for customer in 0..self.customers {
            self.write_customer(&mut text, customer, variant);
        }
        text
    }

    fn write_customer(&self, text: &mut String, customer: usize, variant: usize) {
        let regions: Vec<String> = if customer.is_multiple_of(SINGLE_REGION_ONE_IN) {
            vec![self.region_name(customer)]
        } else {
            (0..self.regions).map(|r| self.region_name(r)).collect()
        };
        let regions = regions.join(",");
        let changed = usize::from(variant > 0 && customer == variant % self.customers);
        let rate = 20_000 + changed * variant;
        let digest = KeyDigest::of(Self::key(customer).as_bytes());
        let name = format!("customer-{customer:04}");
        let _ = writeln!(
            text,
            "customer {name} regions={regions} rate={rate} burst=200000 # someone-{customer}"
        );
        let _ = writeln!(text, "key {name} blake3={digest} # someone-{customer}");
        for model in 0..MODELS {
            let _ = writeln!(text, "allow {name} model-{model} # someone-{customer}");
        }
    }

    /// Returns the list of instances and upstreams. With a `variant` above 0, one upstream is
    /// leaving.
    pub fn list(&self, variant: usize) -> String {
        let mut text = String::new();
        for index in 0..self.instances {
            let (name, domain) = (Self::instance_name(index), self.domain_name(index));
            let slot = index / self.domains;
            let ip = format!("10.1.{}.{}", index / 250, index % 250);
            let _ = writeln!(
                text,
                "instance {name} domain={domain} slot={slot} http={ip}:80 peer={ip}:81 state=live"
            );
        }
        for index in 0..self.upstreams {
            let domain = self.domain_name(index);
            let leaving = variant > 0 && index == variant % self.upstreams;
            let state = if leaving { "leaving" } else { "live" };
            let ip = format!("10.2.{}.{}", index / 250, index % 250);
            let _ = writeln!(
                text,
                "upstream u{index:04} domain={domain} service=model-{} http={ip}:80 capacity=16 state={state}",
                index % MODELS
            );
        }
        text
    }

    /// Sends requests for `time`, on average `requests_per_second` for each instance, each to an
    /// instance that holds a share of its customer's rate. One request in `hot_one_in` is from
    /// [`HOT_CUSTOMER`]. For the others, customer `index` is drawn with a weight of
    /// `1 / (index + 1)`.
    pub fn send_load(
        &self,
        simulation: &mut Simulation,
        requests_per_second: f64,
        time: Duration,
        hot_one_in: u32,
    ) {
        let rules = sesamebarrow_rules::parse(&self.rules(0)).unwrap_or_default();
        let settings = Settings::default();
        let holders: Vec<Vec<usize>> = (0..self.customers)
            .map(|customer| {
                let name = format!("customer-{customer:04}");
                limit::holders(&rules, &name, settings.holders_per_region)
                    .iter()
                    .filter_map(|h| self.node_in_slot(&h.domain, h.slot))
                    .collect()
            })
            .collect();
        let weights: Vec<f64> = (1..=self.customers).map(|rank| 1.0 / rank as f64).collect();
        let total: f64 = weights.iter().sum();
        let end = simulation.now + time;
        let mut sent = 0u64;
        while simulation.now < end {
            let gap_secs = -(1.0 - simulation.rng.random::<f64>()).ln()
                / (requests_per_second * self.instances as f64);
            simulation.run(Duration::from_secs_f64(gap_secs));
            let customer = if simulation.rng.random_ratio(1, hot_one_in) {
                HOT_CUSTOMER
            } else {
                draw_weighted(simulation, &weights, total)
            };
            let nodes = &holders[customer];
            let node = nodes[simulation.rng.random_range(0..nodes.len())];
            sent += 1;
            let key = Self::key(customer);
            let mut call = Simulation::model_call(
                &format!("q{sent}"),
                &key,
                TOKENS_PER_REQUEST,
                TOKENS_PER_REQUEST,
            );
            call.service = "model-0".into();
            simulation.send(node, call);
        }
    }

    /// Returns the index of the instance in a slot, or `None` if the slot is empty.
    fn node_in_slot(&self, domain: &str, slot: u16) -> Option<usize> {
        let domain: usize = domain.trim_start_matches('d').parse().ok()?;
        let index = usize::from(slot) * self.domains + domain;
        (index < self.instances).then_some(index)
    }

    fn instance_name(index: usize) -> String {
        format!("i{index:03}")
    }

    /// Builds the fleet and starts all instances.
    pub fn build(&self, settings: Settings) -> Simulation {
        let mut simulation = Simulation::new(1, settings);
        simulation.checks_enabled = false;
        simulation.network.min_delay = Duration::from_millis(40);
        simulation.network.max_delay = Duration::from_millis(80);
        for index in 0..self.instances {
            let slot = u16::try_from(index / self.domains).unwrap_or_default();
            simulation.add_node(&Self::instance_name(index), &self.domain_name(index), slot);
        }
        for index in 0..self.upstreams {
            simulation.add_upstream(&format!("u{index:04}"), Duration::from_millis(200));
        }
        simulation.publish(DocumentKind::Rules, 1, &self.rules(0));
        simulation.publish(DocumentKind::List, 1, &self.list(0));
        for node in 0..self.instances {
            simulation.start(node);
        }
        simulation
    }
}

fn draw_weighted(simulation: &mut Simulation, weights: &[f64], total: f64) -> usize {
    let mut draw = simulation.rng.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        draw -= weight;
        if draw <= 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Tokens of a request: the full fleet is to serve 5.6 million tokens and 23,000 requests a
/// second.
const TOKENS_PER_REQUEST: u64 = 243;

/// Index of the customer that sends a multiple of its rate. It may use all regions.
pub const HOT_CUSTOMER: usize = 1;

/// Number of models.
pub const MODELS: usize = 4;

/// One customer in this many may use only one region.
const SINGLE_REGION_ONE_IN: usize = 8;
