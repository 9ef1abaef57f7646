//! Measures how many requests of a customer within its rate are refused, for each way of sharing
//! the rate between instances.
//!
//! Run with `cargo run --release -p sesamebarrow_trial --example shares`. One customer with a
//! rate of 1,000 tokens/s and a burst of 2,000 tokens sends requests of 50 tokens to 8 slots in
//! 3 regions; the hot region changes each minute. A refusal is wrongful if a single token bucket
//! for the whole fleet would have admitted the request, given the same arrivals.

use std::time::Duration;

use rand::RngExt;
use sesamebarrow_policy::Settings;
use sesamebarrow_policy::settings::Sharing;
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_trial::Simulation;
use sesamebarrow_trial::traffic::Completion;
use sesamebarrow_wire::control::DocumentKind;

const KEY: &str = "key-of-rosa-0001";
const TOKENS_PER_SECOND: f64 = 1000.0;
const BURST_TOKENS: f64 = 2000.0;
const TOKENS_PER_REQUEST: u64 = 50;
const WARMUP: Duration = Duration::from_secs(10);
const MEASURED_TIME: Duration = Duration::from_secs(180);
const HOT_REGION_PERIOD_SECS: u64 = 60;
const NODES: [(&str, &str, u16); 8] = [
    ("a1", "akl-1", 0),
    ("a2", "akl-1", 1),
    ("a3", "akl-1", 2),
    ("w1", "wlg-1", 0),
    ("w2", "wlg-1", 1),
    ("w3", "wlg-1", 2),
    ("c1", "chc-1", 0),
    ("c2", "chc-1", 1),
];

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
struct Case {
    sharing: Sharing,
    /// Demand as a fraction of the customer's rate.
    load: f64,
    /// Weight of an instance in the hot region; others have 1.
    skew: f64,
    /// Number of the eight slots that have an instance.
    filled_slots: usize,
}

/// Results of a measurement.
struct Measurement {
    wrongful_percent: f64,
    violations: usize,
    loan_messages_per_s: f64,
    loan_bytes_per_s: f64,
}

fn build(case: Case) -> Simulation {
    let settings = Settings {
        sharing: case.sharing,
        ..Settings::default()
    };
    let mut simulation = Simulation::new(1, settings);
    simulation.network.min_delay = Duration::from_micros(500);
    simulation.network.max_delay = Duration::from_millis(40);
    let digest = KeyDigest::of(KEY.as_bytes());
    let mut rules = format!(
        "service statements kind=model # a\n\
         customer rosa regions=auckland,wellington,christchurch rate={TOKENS_PER_SECOND} burst={BURST_TOKENS} # a\n\
         allow rosa statements # a\nkey rosa blake3={digest} # a\n"
    );
    let mut list = String::new();
    for (domain, region, slots) in [
        ("akl-1", "auckland", 3),
        ("wlg-1", "wellington", 3),
        ("chc-1", "christchurch", 2),
    ] {
        rules +=
            &format!("region {region} # a\ndomain {domain} region={region} slots={slots} # a\n");
        let name = format!("eng-{domain}");
        list += &format!(
            "upstream {name} domain={domain} service=statements http=10.0.1.1:80 capacity=10000 state=live\n"
        );
        simulation.add_upstream(&name, Duration::from_millis(100));
    }
    for (index, (name, domain, slot)) in NODES.iter().enumerate() {
        simulation.add_node(name, domain, *slot);
        list += &format!(
            "instance {name} domain={domain} slot={slot} http=10.0.0.{index}:80 peer=10.0.0.{index}:81 state=live\n"
        );
    }
    simulation.publish(DocumentKind::Rules, 1, &rules);
    simulation.publish(DocumentKind::List, 1, &list);
    // The last slots of the first two regions stay empty if not all slots are filled.
    let empty = ["a3", "w3"];
    let start: Vec<usize> = (0..NODES.len())
        .filter(|n| !empty[..NODES.len() - case.filled_slots].contains(&NODES[*n].0))
        .collect();
    for node in start {
        simulation.start(node);
    }
    simulation.run(WARMUP);
    simulation
}

/// Draws the instance that receives the next request. Instances in the hot region have the
/// weight `skew`, others 1.
fn choose_node(simulation: &mut Simulation, case: Case) -> usize {
    let hot =
        usize::try_from(simulation.now.as_secs() / HOT_REGION_PERIOD_SECS % 3).unwrap_or_default();
    let region = |n: usize| match NODES[n].1 {
        "akl-1" => 0,
        "wlg-1" => 1,
        _ => 2,
    };
    let live: Vec<usize> = (0..NODES.len())
        .filter(|n| simulation.nodes[*n].board.is_some())
        .collect();
    let weight = |n: usize| if region(n) == hot { case.skew } else { 1.0 };
    let total: f64 = live.iter().map(|n| weight(*n)).sum();
    let mut draw = simulation.rng.random::<f64>() * total;
    for node in &live {
        draw -= weight(*node);
        if draw <= 0.0 {
            return *node;
        }
    }
    live[live.len() - 1]
}

fn measure(case: Case) -> Measurement {
    let mut simulation = build(case);
    let started_at = simulation.now;
    let (mut single_bucket_tokens, mut last_arrival) = (BURST_TOKENS, simulation.now);
    let mut admitted_by_single_bucket = Vec::new();
    let first_measured = simulation.submissions.len();
    while simulation.now - started_at < MEASURED_TIME {
        let gap_secs = -(1.0 - simulation.rng.random::<f64>()).ln() * TOKENS_PER_REQUEST as f64
            / (TOKENS_PER_SECOND * case.load);
        simulation.run(Duration::from_secs_f64(gap_secs));
        let elapsed = (simulation.now - last_arrival).as_secs_f64();
        single_bucket_tokens = f64::min(
            single_bucket_tokens + TOKENS_PER_SECOND * elapsed,
            BURST_TOKENS,
        );
        last_arrival = simulation.now;
        let admitted = single_bucket_tokens >= TOKENS_PER_REQUEST as f64;
        if admitted {
            single_bucket_tokens -= TOKENS_PER_REQUEST as f64;
        }
        admitted_by_single_bucket.push(admitted);
        let node = choose_node(&mut simulation, case);
        let call = Simulation::model_call(
            &format!("q{}", admitted_by_single_bucket.len()),
            KEY,
            TOKENS_PER_REQUEST,
            TOKENS_PER_REQUEST,
        );
        simulation.send(node, call);
    }
    simulation.run(Duration::from_secs(20));
    let refused = |s: &sesamebarrow_trial::traffic::Submission| {
        !matches!(s.completion, Some((_, Completion::Answered(_))))
    };
    let wrongful = simulation.submissions[first_measured..]
        .iter()
        .zip(&admitted_by_single_bucket)
        .filter(|(s, admitted)| **admitted && refused(s))
        .count();
    let per_second = |pick: fn(&sesamebarrow_trial::simulation::Meter) -> u64| {
        simulation.nodes.iter().map(|n| pick(&n.meter)).sum::<u64>() as f64
            / MEASURED_TIME.as_secs_f64()
    };
    let (messages, bytes) = (
        per_second(|m| m.loans.messages),
        per_second(|m| m.loans.bytes),
    );
    let Simulation {
        invariants,
        platform,
        ..
    } = &mut simulation;
    invariants.check_rate_limits(platform);
    Measurement {
        wrongful_percent: 100.0 * wrongful as f64 / admitted_by_single_bucket.len() as f64,
        violations: invariants.violations.len(),
        loan_messages_per_s: messages,
        loan_bytes_per_s: bytes,
    }
}

fn main() {
    println!(
        "| sharing | slots filled | load | skew | wrongful % | promises broken | loan messages/s | loan B/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for filled_slots in [8, 6] {
        for (load, skew) in [(0.6, 1.0), (0.6, 10.0), (0.9, 1.0), (0.9, 10.0)] {
            for sharing in [Sharing::Static, Sharing::Lending] {
                let case = Case {
                    sharing,
                    load,
                    skew,
                    filled_slots,
                };
                let measurement = measure(case);
                println!(
                    "| {sharing} | {filled_slots} of 8 | {load} | {skew} | {:.2} | {} | {:.1} | {:.0} |",
                    measurement.wrongful_percent,
                    measurement.violations,
                    measurement.loan_messages_per_s,
                    measurement.loan_bytes_per_s
                );
            }
        }
    }
}
