//! Measures the cost of control traffic as a fleet grows, in one process over virtual time.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example capacity`. It prints the
//! rows of `docs/CAPACITY.md` and, with `--json FILE`, writes them for plots. Messages
//! and bytes are counted at the encoder. Processor time is that of the policy alone, as a
//! percentage of a core and in reference loops per second, each of which hashes a mebibyte, so
//! that results of different machines compare.

use std::time::{Duration, Instant};

use clap::{Arg, Command};
use serde::Serialize;
use sesamebarrow_policy::Settings;
use sesamebarrow_trial::Simulation;
use sesamebarrow_trial::fleet::FleetSpec;
use sesamebarrow_trial::simulation::Meter;
use sesamebarrow_wire::control::DocumentKind;

/// Divisors of the full size that are measured, in the order of growing fleets.
const DIVISORS: [usize; 5] = [16, 8, 4, 2, 1];

/// Virtual time before the measurement, in which a fleet settles.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Virtual time of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(38);

/// Time between two changes of the rules; it corresponds to 4,500 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(19_200);

/// Results for one fleet size. Figures are means per instance and second unless stated
/// otherwise.
#[derive(Clone, Debug, Serialize)]
struct Row {
    instances: usize,
    heartbeats: f64,
    heartbeat_bytes: f64,
    document_bytes: f64,
    /// Bytes sent per second by the instance that sends most.
    most_bytes: f64,
    platform_bytes: f64,
    /// Calls of the whole fleet per second.
    platform_calls: f64,
    /// Longest time until a change was in force at all instances, in seconds.
    in_force: f64,
    /// Processor time of the policy, in percent of a core.
    busy_percent: f64,
    /// Policy time in reference loops per second.
    busy_loops: f64,
    /// Processor time of the busiest instance, in percent of a core.
    most_busy_percent: f64,
    /// Memory of an instance, in mebibytes.
    memory: f64,
    /// Mean number of links of an instance.
    links_mean: f64,
    /// Number of links of the instance that has most.
    links_most: usize,
}

/// Returns the mean time to hash a mebibyte.
fn reference_loop() -> Duration {
    let block = vec![7u8; 1024 * 1024];
    let clock = Instant::now();
    for _ in 0..REFERENCE_ROUNDS {
        std::hint::black_box(blake3::hash(std::hint::black_box(&block)));
    }
    clock.elapsed() / REFERENCE_ROUNDS
}

const REFERENCE_ROUNDS: u32 = 200;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn sum_over_nodes(simulation: &Simulation, pick: impl Fn(&Meter) -> f64) -> f64 {
    simulation.nodes.iter().map(|n| pick(&n.meter)).sum()
}

fn max_over_nodes(simulation: &Simulation, pick: impl Fn(&Meter) -> f64) -> f64 {
    simulation
        .nodes
        .iter()
        .map(|n| pick(&n.meter))
        .fold(0.0, f64::max)
}

fn reset_meters(simulation: &mut Simulation) {
    for node in &mut simulation.nodes {
        node.meter = Meter::default();
    }
    simulation.platform.calls = 0;
}

/// Runs until `revision` of the rules is in force at all running instances and returns the
/// elapsed virtual time. Gives up after `MEASURED_TIME`.
fn wait_until_in_force(simulation: &mut Simulation, revision: u64) -> Duration {
    const STEP: Duration = Duration::from_millis(20);
    let started_at = simulation.now;
    loop {
        let outdated = simulation.nodes.iter().any(|n| {
            n.board
                .as_ref()
                .is_some_and(|b| b.rules_revision() < revision)
        });
        if !outdated || simulation.now - started_at > MEASURED_TIME {
            return simulation.now - started_at;
        }
        simulation.run(STEP);
    }
}

fn measure(fleet: FleetSpec, reference_time: Duration) -> Row {
    let before = resident_bytes();
    let mut simulation = fleet.build(Settings::default());
    simulation.run(SETTLE_TIME);
    let memory = resident_bytes().saturating_sub(before);
    reset_meters(&mut simulation);
    let started_at = simulation.now;
    let mut max_propagation = Duration::ZERO;
    let mut revision = 1;
    while simulation.now - started_at < MEASURED_TIME {
        revision += 1;
        let text = fleet.rules(usize::try_from(revision).unwrap_or_default());
        let published_at = simulation.now;
        simulation.publish(DocumentKind::Rules, revision, &text);
        max_propagation = max_propagation.max(wait_until_in_force(&mut simulation, revision));
        simulation.run_until(published_at + CHANGE_INTERVAL);
    }
    row(
        &simulation,
        fleet,
        simulation.now - started_at,
        max_propagation,
        memory,
        reference_time,
    )
}

fn row(
    simulation: &Simulation,
    fleet: FleetSpec,
    time: Duration,
    max_propagation: Duration,
    memory: u64,
    reference_time: Duration,
) -> Row {
    // CAST: a float represents counts of this size exactly.
    let instances = fleet.instances as f64;
    let seconds = time.as_secs_f64();
    let per_instance = |total: f64| total / instances / seconds;
    let busy = |m: &Meter| m.policy_time.as_secs_f64();
    let links: Vec<usize> = simulation
        .nodes
        .iter()
        .filter_map(|n| n.board.as_ref())
        .map(|b| b.instances.values().filter(|i| i.link.is_some()).count())
        .collect();
    Row {
        instances: fleet.instances,
        heartbeats: per_instance(sum_over_nodes(simulation, |m| m.heartbeats.messages as f64)),
        heartbeat_bytes: per_instance(sum_over_nodes(simulation, |m| m.heartbeats.bytes as f64)),
        document_bytes: per_instance(sum_over_nodes(simulation, |m| m.documents.bytes as f64)),
        most_bytes: max_over_nodes(simulation, |m| m.sent_bytes() as f64) / seconds,
        platform_bytes: per_instance(sum_over_nodes(simulation, |m| m.platform_bytes as f64)),
        platform_calls: simulation.platform.calls as f64 / seconds,
        in_force: max_propagation.as_secs_f64(),
        busy_percent: 100.0 * per_instance(sum_over_nodes(simulation, busy)),
        busy_loops: per_instance(sum_over_nodes(simulation, busy)) / reference_time.as_secs_f64(),
        most_busy_percent: 100.0 * max_over_nodes(simulation, busy) / seconds,
        memory: memory as f64 / instances / 1024.0 / 1024.0,
        links_mean: links.iter().sum::<usize>() as f64 / instances,
        links_most: links.iter().copied().max().unwrap_or_default(),
    }
}

/// A line fitted to measured points by least squares.
struct LineFit {
    slope: f64,
    intercept: f64,
    /// Largest vertical distance of a point from the line, in percent of the largest value.
    residual_percent: f64,
}

fn fit_line(points: &[(f64, f64)]) -> LineFit {
    let n = points.len() as f64;
    let (sx, sy) = points
        .iter()
        .fold((0.0, 0.0), |s, p| (s.0 + p.0, s.1 + p.1));
    let (mx, my) = (sx / n, sy / n);
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let slope = sxy / sxx;
    let intercept = my - slope * mx;
    let worst = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).abs())
        .fold(0.0, f64::max);
    let largest = points
        .iter()
        .map(|p| p.1.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    LineFit {
        slope,
        intercept,
        residual_percent: 100.0 * worst / largest,
    }
}

fn print_fits(rows: &[Row]) {
    type Pick = fn(&Row) -> f64;
    let columns: [(&str, Pick); 7] = [
        ("heartbeats/s", |r| r.heartbeats),
        ("heartbeat bytes/s", |r| r.heartbeat_bytes),
        ("document bytes/s", |r| r.document_bytes),
        ("platform bytes/s", |r| r.platform_bytes),
        ("platform calls/s of the fleet", |r| r.platform_calls),
        ("policy % of a core", |r| r.busy_percent),
        ("memory MiB", |r| r.memory),
    ];
    println!("\n| of one instance | slope per 100 instances | at none | residual % |");
    println!("|---|---|---|---|");
    for (name, pick) in columns {
        let points: Vec<(f64, f64)> = rows.iter().map(|r| (r.instances as f64, pick(r))).collect();
        let fit = fit_line(&points);
        println!(
            "| {name} | {:.3} | {:.3} | {:.1} |",
            fit.slope * 100.0,
            fit.intercept,
            fit.residual_percent
        );
    }
}

/// Measures the worst case of a start: all instances start at once while the platform is down
/// for a minute, and then it returns.
fn measure_fleet_start(fleet: FleetSpec) {
    let mut simulation = fleet.build(Settings::default());
    simulation.platform.down = true;
    simulation.run(Duration::from_secs(60));
    let calls_per_second_down = simulation.platform.calls as f64 / 60.0;
    simulation.platform.down = false;
    reset_meters(&mut simulation);
    let elapsed = wait_until_in_force(&mut simulation, 1);
    let calls_per_second = simulation.platform.calls as f64 / elapsed.as_secs_f64().max(1.0);
    println!(
        "\nstart of {} instances without the platform: {calls_per_second_down:.0} calls/s; after its return \
         all ready in {:.1} s at {calls_per_second:.0} calls/s, {:.0} KB read and {:.0} KB sent by each",
        fleet.instances,
        elapsed.as_secs_f64(),
        sum_over_nodes(&simulation, |m| m.platform_bytes as f64) / fleet.instances as f64 / 1000.0,
        sum_over_nodes(&simulation, |m| m.sent_bytes() as f64) / fleet.instances as f64 / 1000.0,
    );
}

/// Measures the cost of requests at the peak rate. One request in `hot_one_in` is from a
/// customer that sends a multiple of its rate.
fn measure_load_cost(fleet: FleetSpec, hot_one_in: u32) {
    let mut simulation = fleet.build(Settings::default());
    simulation.run(SETTLE_TIME);
    reset_meters(&mut simulation);
    let before: u64 = count_arrived_requests(&simulation);
    fleet.send_load(
        &mut simulation,
        REQUESTS_PER_INSTANCE_PER_SECOND,
        LOAD_TIME,
        hot_one_in,
    );
    let requests = (count_arrived_requests(&simulation) - before) as f64;
    let seconds = LOAD_TIME.as_secs_f64() * fleet.instances as f64;
    println!(
        "| {} | {} | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} |",
        fleet.instances,
        if hot_one_in == u32::MAX {
            "as drawn"
        } else {
            "half"
        },
        requests / seconds,
        sum_over_nodes(&simulation, |m| m.loans.messages as f64) / seconds,
        sum_over_nodes(&simulation, |m| m.loans.bytes as f64) / seconds,
        max_over_nodes(&simulation, |m| m.loans.bytes as f64) / LOAD_TIME.as_secs_f64(),
        sum_over_nodes(&simulation, |m| m.policy_time.as_secs_f64()) / requests * 1e6,
    );
}

/// Requests per second at each instance at the peak.
const REQUESTS_PER_INSTANCE_PER_SECOND: f64 = 66.0;

/// Virtual time in which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(4);

fn count_arrived_requests(simulation: &Simulation) -> u64 {
    let boards = simulation.nodes.iter().filter_map(|n| n.board.as_ref());
    boards.map(|b| b.counters.arrived).sum()
}

/// Measures the loss of two failure domains, all of whose instances are killed at once.
fn measure_domain_loss(fleet: FleetSpec) {
    let mut simulation = fleet.build(Settings::default());
    simulation.run(SETTLE_TIME);
    reset_meters(&mut simulation);
    let killed: Vec<usize> = (0..fleet.instances)
        .filter(|n| n % fleet.domains < 2)
        .collect();
    for node in &killed {
        simulation.kill(*node);
    }
    let observed = Duration::from_secs(20);
    simulation.run(observed);
    let rules = fleet.rules(2);
    simulation.publish(DocumentKind::Rules, 2, &rules);
    let elapsed = wait_until_in_force(&mut simulation, 2);
    println!(
        "\nloss of 2 of {} failure domains, {} instances: in the 20 s after it the busiest of \
         the others sent {:.0} B/s and used {:.2}% of a core; the next change was in force \
         everywhere else after {:.2} s",
        fleet.domains,
        killed.len(),
        max_over_nodes(&simulation, |m| m.sent_bytes() as f64) / observed.as_secs_f64(),
        100.0 * max_over_nodes(&simulation, |m| m.policy_time.as_secs_f64())
            / observed.as_secs_f64(),
        elapsed.as_secs_f64()
    );
}

/// Prints the cost of requests at a sixteenth, an eighth, a quarter and a half of the full size,
/// without the sizes above the full size divided by `smallest_divisor`. Then prints the cost with
/// half of the requests from the hot customer, at a quarter of the full size, or at the full size
/// divided by `smallest_divisor` if that is smaller.
fn print_load_costs(smallest_divisor: usize) {
    println!(
        "\n| instances | share of the hot customer | requests/s each | loan messages/s | loan B/s | most loan B/s | policy us a request |"
    );
    println!("|---|---|---|---|---|---|---|");
    for divisor in [16, 8, 4, 2].into_iter().filter(|p| *p >= smallest_divisor) {
        measure_load_cost(FleetSpec::divided_by(divisor), u32::MAX);
    }
    measure_load_cost(FleetSpec::divided_by(smallest_divisor.max(4)), 2);
}

fn main() -> anyhow::Result<()> {
    let matches = Command::new("capacity")
        .arg(Arg::new("json").long("json").value_name("FILE"))
        .arg(
            Arg::new("largest")
                .long("largest")
                .default_value("1")
                .value_parser(clap::value_parser!(usize))
                .help("Stop at the full size divided by this"),
        )
        .arg(
            Arg::new("work-only")
                .long("work-only")
                .action(clap::ArgAction::SetTrue)
                .help("Measure the cost of requests alone"),
        )
        .get_matches();
    if matches.get_flag("work-only") {
        print_load_costs(1);
        return Ok(());
    }
    let smallest_divisor = matches.get_one::<usize>("largest").copied().unwrap_or(1);
    let reference_time = reference_loop();
    println!(
        "reference loop: {:.3} ms",
        reference_time.as_secs_f64() * 1000.0
    );
    println!(
        "| instances | links mean/most | heartbeats/s | heartbeat B/s | documents B/s | most sent B/s \
         | platform B/s | fleet calls/s | in force s | policy % | loops/s | most % | MiB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut rows = Vec::new();
    for divisor in DIVISORS.into_iter().filter(|p| *p >= smallest_divisor) {
        let row = measure(FleetSpec::divided_by(divisor), reference_time);
        println!(
            "| {} | {:.1}/{} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.2} | {:.3} | {:.3} | {:.3} | {:.1} |",
            row.instances,
            row.links_mean,
            row.links_most,
            row.heartbeats,
            row.heartbeat_bytes,
            row.document_bytes,
            row.most_bytes,
            row.platform_bytes,
            row.platform_calls,
            row.in_force,
            row.busy_percent,
            row.busy_loops,
            row.most_busy_percent,
            row.memory
        );
        rows.push(row);
    }
    print_fits(&rows);
    print_load_costs(smallest_divisor);
    measure_domain_loss(FleetSpec::divided_by(smallest_divisor.max(2)));
    measure_fleet_start(FleetSpec::divided_by(smallest_divisor));
    if let Some(path) = matches.get_one::<String>("json") {
        std::fs::write(path, serde_json::to_vec_pretty(&rows)?)?;
    }
    Ok(())
}
