//! Tests that the token buckets of all instances together stay within each rate, and that
//! they refuse few requests that one bucket for the whole fleet would have admitted.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamebarrow_routing::Config;
use smol_str::{SmolStr, format_smolstr};

use crate::fleet::{Fleet, STEP, config, customer, ms, route};

// The tolerance, with the same values as in `parameters().quota`.
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT_FACTOR: f64 = 1.25;
const SLACK: f64 = 72_000.0;

/// Fraction of the requests that may be refused although one bucket for the whole fleet
/// would have admitted them.
const MAX_WRONGFUL: f64 = 0.005;

/// Time after the start in which instances discover each other and buckets fill.
const START_TIME: Duration = Duration::from_secs(10);

/// Demand of a customer, and what became of its requests.
struct Demand {
    name: SmolStr,
    rate: f64,
    /// Mean size of a request; sizes vary by half of it.
    mean_cost: f64,
    /// Tokens per second at each instance.
    per_instance: Vec<f64>,
    admitted: VecDeque<(Duration, f64)>,
    admitted_in_window: f64,
    ideal_tokens: f64,
    requests: u32,
    refused: u32,
    /// Requests that were refused although one bucket would have admitted them.
    wrongful: u32,
}

/// Customers that send requests to a fleet.
struct Simulation {
    fleet: Fleet,
    rng: StdRng,
    regions: Vec<SmolStr>,
    demands: Vec<Demand>,
}

impl Simulation {
    /// Starts a fleet with the given number of instances in each region. `customers` are
    /// their rates and mean costs.
    fn new(counts: &[(&str, usize)], customers: &[(f64, f64)], seed: u64) -> Self {
        let name = |n: usize| format_smolstr!("customer-{n}");
        let rates = customers.iter().map(|(rate, _)| *rate);
        let mut fleet = Fleet::new(counts, config_with(&rates.collect::<Vec<_>>(), 1));
        fleet.advance(START_TIME);
        let regions = fleet
            .instances
            .iter()
            .map(|i| i.board.identity.region.clone());
        let demands = customers
            .iter()
            .enumerate()
            .map(|(n, (rate, mean_cost))| Demand {
                name: name(n),
                rate: *rate,
                mean_cost: *mean_cost,
                per_instance: vec![0.0; fleet.instances.len()],
                admitted: VecDeque::new(),
                admitted_in_window: 0.0,
                ideal_tokens: *rate,
                requests: 0,
                refused: 0,
                wrongful: 0,
            });
        Self {
            regions: regions.collect(),
            demands: demands.collect(),
            rng: StdRng::seed_from_u64(seed),
            fleet,
        }
    }

    /// Sets the demand of each customer as a fraction of its rate, by region; all instances
    /// of a region receive the same part.
    fn set_demand(&mut self, fraction_in: impl Fn(&str) -> f64) {
        for demand in &mut self.demands {
            for (region, tokens_per_s) in self.regions.iter().zip(&mut demand.per_instance) {
                let instances = self.regions.iter().filter(|r| *r == region).count();
                *tokens_per_s = demand.rate * fraction_in(region) / instances as f64;
            }
        }
    }

    /// Advances the time. Messages arrive only where `reaches` returns true.
    fn run(&mut self, time: Duration, reaches: impl Fn(usize, usize) -> bool) {
        let until = self.fleet.now + time;
        while self.fleet.now < until {
            self.fleet.step(&reaches);
            for demand in &mut self.demands {
                demand.ideal_tokens =
                    (demand.ideal_tokens + demand.rate * STEP.as_secs_f64()).min(demand.rate);
                // Draws the time to the next request over all instances at once, so that a
                // large fleet costs no more than a small one.
                let total: f64 = demand.per_instance.iter().sum();
                let mut expected = total * STEP.as_secs_f64() / demand.mean_cost;
                while expected > 0.0 {
                    if self.rng.random::<f64>() < expected {
                        let mut pick = self.rng.random::<f64>() * total;
                        let index = demand.per_instance.iter().position(|part| {
                            pick -= part;
                            pick < 0.0
                        });
                        let index = index.unwrap_or(0);
                        let cost = (demand.mean_cost * self.rng.random_range(0.5..1.5)).floor();
                        send(&mut self.fleet, demand, index, cost, &reaches);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    /// Returns the fraction of all requests that were wrongly refused.
    fn wrongful(&self) -> f64 {
        let sum = |count: fn(&Demand) -> u32| self.demands.iter().map(count).sum::<u32>();
        f64::from(sum(|d| d.wrongful)) / f64::from(sum(|d| d.requests))
    }

    /// Returns the fraction of all requests that were refused.
    fn refused(&self) -> f64 {
        let sum = |count: fn(&Demand) -> u32| self.demands.iter().map(count).sum::<u32>();
        f64::from(sum(|d| d.refused)) / f64::from(sum(|d| d.requests))
    }

    /// Asserts that hardly any request was refused without need.
    fn check_wrongful(&self) {
        let wrongful = self.wrongful();
        assert!(
            wrongful <= MAX_WRONGFUL,
            "fraction {wrongful} wrongly refused"
        );
    }
}

/// Advances the time while the demand moves and instances restart or are cut off at random.
fn run_random_faults(simulation: &mut Simulation, time: Duration) {
    let until = simulation.fleet.now + time;
    let count = simulation.fleet.instances.len();
    while simulation.fleet.now < until {
        let demand: Vec<f64> = (0..3)
            .map(|_| simulation.rng.random_range(0.0..1.5))
            .collect();
        simulation.set_demand(|region| match region {
            "a" => demand[0],
            "b" => demand[1],
            _ => demand[2],
        });
        for index in 0..count {
            if simulation.rng.random_ratio(1, 20) {
                simulation.fleet.restart(index);
            }
        }
        let cut: Vec<bool> = (0..count)
            .map(|_| simulation.rng.random_ratio(1, 8))
            .collect();
        let one_way = simulation.rng.random_ratio(1, 4);
        let reaches = |from: usize, to: usize| !cut[from] && (one_way || !cut[to]);
        let time = ms(simulation.rng.random_range(500..3_000));
        simulation.run(time, reaches);
    }
}

/// Returns a configuration with a customer for each rate.
pub fn config_with(rates: &[f64], version: u64) -> Config {
    let customers = rates.iter().enumerate();
    let customers = customers.map(|(n, rate)| customer(&format!("customer-{n}"), *rate));
    let mut config = config(&customers.collect::<Vec<_>>(), vec![route("r", &[])]);
    config.version = version;
    config
}

/// Sends one request and checks that the customer's window is within its limit.
fn send(
    fleet: &mut Fleet,
    demand: &mut Demand,
    index: usize,
    cost: f64,
    reaches: impl Fn(usize, usize) -> bool,
) {
    let ideal = demand.ideal_tokens >= cost;
    if ideal {
        demand.ideal_tokens -= cost;
    }
    demand.requests += 1;
    if !fleet.take(index, &demand.name, cost, reaches) {
        demand.refused += 1;
        demand.wrongful += u32::from(ideal);
        return;
    }
    demand.admitted.push_back((fleet.now, cost));
    demand.admitted_in_window += cost;
    while let Some((at, old)) = demand.admitted.front().copied()
        && fleet.now - at >= WINDOW
    {
        demand.admitted_in_window -= old;
        demand.admitted.pop_front();
    }
    let limit = (demand.rate * WINDOW.as_secs_f64() + demand.rate) * OVERSHOOT_FACTOR + SLACK;
    let (admitted, name) = (demand.admitted_in_window, &demand.name);
    assert!(
        admitted <= limit,
        "{admitted} tokens of {name} in the window before {:?}, allowed {limit}",
        fleet.now
    );
}

fn all(_: usize, _: usize) -> bool {
    true
}

pub const SMALL: &[(&str, usize)] = &[("a", 3), ("b", 1), ("c", 2)];
pub const LARGE: &[(&str, usize)] = &[("a", 65), ("b", 65), ("c", 65)];

/// Defines a test for a fleet and its customers' rates and mean costs, which runs with
/// several seeds. [`send`] checks the limit.
macro_rules! bucket_test {
    ($name:ident, $counts:expr, $customers:expr, $seeds:expr, |$simulation:ident| $body:block) => {
        #[test]
        fn $name() {
            for seed in 0..$seeds {
                let mut simulation = Simulation::new($counts, $customers, seed);
                let $simulation = &mut simulation;
                $body
            }
        }
    };
}

/// Customers like those of a deployment with 195 instances: many small ones, and prompts
/// that are large compared with their rates.
fn many_customers() -> Vec<(f64, f64)> {
    let rate = |n: u32| (3_000_000.0 / f64::from(n)).max(18_000.0);
    (1..=12)
        .map(|n| (rate(n), 4_500.0))
        .chain([(18_000.0, 4_500.0), (18_000.0, 200.0)])
        .collect()
}

/// Runs a peak that moves through all regions: each has 0.5 of the rate for a third of the
/// time and 0.05 otherwise, and changes within two seconds.
fn run_wave(simulation: &mut Simulation, regions: &[&str]) {
    const PEAK: u64 = 6;
    for peak in regions {
        for step in 1..=4 {
            let progress = f64::from(step) / 4.0;
            let previous = regions
                .iter()
                .position(|r| r == peak)
                .map(|n| regions[(n + regions.len() - 1) % regions.len()]);
            simulation.set_demand(|region| match region {
                r if r == *peak => 0.05 + 0.45 * progress,
                r if Some(r) == previous => 0.5 - 0.45 * progress,
                _ => 0.05,
            });
            simulation.run(ms(500), all);
        }
        simulation.run(Duration::from_secs(PEAK), all);
    }
}

bucket_test!(
    wave_through_the_regions_of_195_instances_refuses_nothing_within_the_rate,
    LARGE,
    &many_customers(),
    1,
    |simulation| {
        run_wave(simulation, &["a", "b", "c"]);
        simulation.check_wrongful();
    }
);

bucket_test!(
    wave_through_the_regions_of_350_instances_refuses_nothing_within_the_rate,
    &[("a", 117), ("b", 117), ("c", 116)],
    &many_customers(),
    1,
    |simulation| {
        run_wave(simulation, &["a", "b", "c"]);
        simulation.check_wrongful();
    }
);

bucket_test!(
    wave_through_the_regions_of_eight_instances_refuses_nothing_within_the_rate,
    &[("a", 3), ("b", 3), ("c", 2)],
    &many_customers(),
    2,
    |simulation| {
        run_wave(simulation, &["a", "b", "c"]);
        simulation.check_wrongful();
    }
);

bucket_test!(
    one_region_can_use_the_rate_that_others_leave,
    LARGE,
    &[(600_000.0, 4_500.0)],
    2,
    |simulation| {
        simulation.set_demand(|region| if region == "a" { 0.8 } else { 0.02 });
        simulation.run(ms(15_000), all);
        simulation.check_wrongful();
    }
);

bucket_test!(
    customer_at_its_exact_rate_in_one_region_is_served_like_by_one_bucket,
    LARGE,
    &[(600_000.0, 4_500.0)],
    2,
    |simulation| {
        simulation.set_demand(|region| if region == "a" { 1.0 } else { 0.0 });
        simulation.run(ms(15_000), all);
        simulation.check_wrongful();
    }
);

bucket_test!(
    demand_that_moves_to_another_region_at_once_is_served,
    LARGE,
    &[(600_000.0, 4_500.0), (60_000.0, 4_500.0)],
    2,
    |simulation| {
        for target in ["a", "b", "c", "a"] {
            simulation.set_demand(|region| if region == target { 0.6 } else { 0.0 });
            simulation.run(ms(3_000), all);
        }
        simulation.check_wrongful();
    }
);

bucket_test!(
    small_customer_with_large_prompts_is_rarely_refused,
    SMALL,
    &[(100_000.0, 9_000.0)],
    4,
    |simulation| {
        simulation.set_demand(|region| match region {
            "a" => 0.265,
            "b" => 0.09,
            _ => 0.175,
        });
        simulation.run(ms(30_000), all);
        simulation.check_wrongful();
    }
);

bucket_test!(
    limit_holds_for_a_customer_at_several_times_its_rate,
    SMALL,
    &[(600_000.0, 9_000.0)],
    4,
    |simulation| {
        simulation.set_demand(|_| 1.7);
        simulation.run(ms(12_000), all);
    }
);

bucket_test!(
    limit_holds_at_195_instances_for_customers_at_several_times_their_rates,
    LARGE,
    &[(600_000.0, 9_000.0), (18_000.0, 4_500.0)],
    1,
    |simulation| {
        simulation.set_demand(|_| 2.0);
        simulation.run(ms(12_000), all);
        // What fits the rates is served.
        let refused = simulation.refused();
        assert!(
            refused <= 0.85,
            "fraction {refused} refused at 6 times the rate"
        );
    }
);

bucket_test!(
    limit_holds_when_all_instances_restart_under_load,
    SMALL,
    &[(600_000.0, 9_000.0)],
    4,
    |simulation| {
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(6_000), all);
        (0..6).for_each(|at| simulation.fleet.restart(at));
        simulation.run(ms(8_000), all);
    }
);

bucket_test!(
    limit_holds_when_195_instances_restart_under_load,
    LARGE,
    &[(600_000.0, 9_000.0), (18_000.0, 4_500.0)],
    1,
    |simulation| {
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(4_000), all);
        (0..195).for_each(|at| simulation.fleet.restart(at));
        simulation.run(ms(9_000), all);
    }
);

bucket_test!(
    limit_holds_when_instances_restart_in_turn,
    SMALL,
    &[(300_000.0, 9_000.0)],
    4,
    |simulation| {
        simulation.set_demand(|_| 2.0);
        for at in 0..6 {
            simulation.run(ms(1_300), all);
            simulation.fleet.restart(at);
        }
        simulation.run(ms(6_000), all);
    }
);

/// Connects only instances of the same region.
fn partitioned(regions: &[SmolStr]) -> impl Fn(usize, usize) -> bool + use<> {
    let regions = regions.to_vec();
    move |from, to| regions[from] == regions[to]
}

bucket_test!(
    limit_holds_while_regions_are_partitioned_and_peaks_move,
    SMALL,
    &[(600_000.0, 9_000.0)],
    4,
    |simulation| {
        let partitioned = partitioned(&simulation.regions);
        simulation.set_demand(|region| if region == "a" { 1.5 } else { 0.03 });
        simulation.run(ms(5_000), all);
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(5_000), &partitioned);
        simulation.set_demand(|region| if region == "a" { 0.45 } else { 1.6 });
        simulation.run(ms(5_000), &partitioned);
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(8_000), all);
    }
);

bucket_test!(
    region_that_is_cut_off_keeps_its_part_of_the_rate,
    LARGE,
    &[(600_000.0, 4_500.0), (60_000.0, 4_500.0)],
    1,
    |simulation| {
        let partitioned = partitioned(&simulation.regions);
        simulation.set_demand(|_| 0.3);
        simulation.run(ms(2_000), all);
        simulation.run(ms(12_000), &partitioned);
        simulation.check_wrongful();
    }
);

bucket_test!(
    limit_holds_when_datagrams_pass_in_one_direction_only,
    SMALL,
    &[(600_000.0, 9_000.0)],
    4,
    |simulation| {
        simulation.set_demand(|_| 1.0);
        simulation.run(ms(4_000), all);
        simulation.run(ms(9_000), |from, to| from < 3 || to >= 3);
        simulation.run(ms(8_000), all);
    }
);

bucket_test!(
    limit_holds_when_a_region_is_split_in_itself,
    LARGE,
    &[(600_000.0, 9_000.0)],
    1,
    |simulation| {
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(2_000), all);
        simulation.run(ms(9_000), |from, to| from % 2 == to % 2);
        simulation.run(ms(3_000), all);
    }
);

bucket_test!(
    limit_holds_when_a_region_is_split_in_itself_for_longer_than_members_are_kept,
    SMALL,
    &[(600_000.0, 9_000.0)],
    2,
    |simulation| {
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(2_000), all);
        simulation.run(ms(40_000), |from, to| from % 2 == to % 2);
        simulation.run(ms(8_000), all);
    }
);

bucket_test!(
    limit_holds_when_a_region_is_split_in_itself_for_five_minutes,
    SMALL,
    &[(600_000.0, 9_000.0)],
    1,
    |simulation| {
        simulation.set_demand(|_| 1.3);
        simulation.run(ms(2_000), all);
        simulation.run(ms(300_000), |from, to| from % 2 == to % 2);
        simulation.run(ms(40_000), all);
    }
);

bucket_test!(
    customers_are_served_while_a_third_of_the_instances_is_gone,
    LARGE,
    &many_customers(),
    1,
    |simulation| {
        simulation.set_demand(|_| 0.15);
        simulation.run(ms(2_000), all);
        let gone = |index: usize| index.is_multiple_of(3);
        for demand in &mut simulation.demands {
            let parts = demand.per_instance.iter_mut().enumerate();
            for (_, part) in parts.filter(|(index, _)| gone(*index)) {
                *part = 0.0;
            }
        }
        simulation.run(ms(8_000), |from, to| !gone(from) && !gone(to));
        // The buckets of a third of the customers are refilled elsewhere only after the
        // instances are removed; the two other regions must lend enough.
        let wrongful = simulation.wrongful();
        assert!(wrongful <= 0.05, "fraction {wrongful} wrongly refused");
    }
);

bucket_test!(
    limit_holds_at_eight_instances_under_random_faults,
    &[("a", 3), ("b", 3), ("c", 2)],
    &[(600_000.0, 4_500.0), (60_000.0, 4_500.0), (18_000.0, 200.0)],
    12,
    |simulation| {
        run_random_faults(simulation, ms(30_000));
    }
);

bucket_test!(
    limit_holds_at_sixty_instances_under_random_faults,
    &[("a", 20), ("b", 20), ("c", 20)],
    &[(600_000.0, 4_500.0), (60_000.0, 4_500.0), (18_000.0, 200.0)],
    3,
    |simulation| {
        run_random_faults(simulation, ms(30_000));
    }
);

bucket_test!(
    lowered_rate_binds_all_regions,
    LARGE,
    &[(600_000.0, 4_500.0)],
    1,
    |simulation| {
        simulation.set_demand(|_| 0.3);
        simulation.run(ms(3_000), all);
        for index in 0..simulation.fleet.instances.len() {
            let now = simulation.fleet.process_time(index);
            let board = &mut simulation.fleet.instances[index].board;
            assert!(board.apply_config(now, config_with(&[60_000.0], 2)));
        }
        simulation.run(WINDOW, all);
        let demand = &mut simulation.demands[0];
        demand.per_instance.iter_mut().for_each(|part| *part *= 1.5);
        demand.rate = 60_000.0;
        demand.admitted.clear();
        demand.admitted_in_window = 0.0;
        simulation.run(ms(9_000), all);
    }
);

bucket_test!(
    tokens_stored_before_a_rate_was_lowered_are_not_spent_after_it,
    LARGE,
    &[(6_000_000.0, 4_500.0)],
    1,
    |simulation| {
        for index in 0..simulation.fleet.instances.len() {
            let now = simulation.fleet.process_time(index);
            let board = &mut simulation.fleet.instances[index].board;
            assert!(board.apply_config(now, config_with(&[60_000.0], 2)));
        }
        simulation.fleet.advance(WINDOW);
        simulation.demands[0].rate = 60_000.0;
        simulation.set_demand(|_| 10.0);
        simulation.run(ms(9_000), all);
    }
);
