//! All instances and a runner lose power. The machines that the seeds name stay dark, the others come back. Checks that
//! the runner, which is cold, gets no more requests in a second than all instances together may send it.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_kit_3::client::{self, Request};
use review_kit_3::fleet::Fleet;
use review_kit_3::has_trouble;
use review_kit_3::record::Record;
use review_kit_3::runner::{Behaviour, Runner, Work};
use review_kit_3::store::Store;

const HOST: &str = "lumi.example";
const KEY: &str = "k3y0of0rosa0000000000";
/// `warmupPerS` of the service, `coldOver` and `coldSlack`.
const BOUND: f64 = 3.3 * 1.5 + 3.0;
const WARMUP: Duration = Duration::from_secs(8);
const SEEDS: usize = 3;
const REQUESTS_PER_S: f64 = 60.0;
const TROUBLE_S: f64 = 5.0;
const END_S: f64 = 15.0;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"balance","host":"lumi.example","prefix":"/balance/",
"kind":"idempotent","timeoutMs":1500,"targetLatencyMs":500,"priority":2,"service":"pagos-app",
"maxAttempts":2,"public":false,"canResume":false,"allowedRegions":[]}],
"services":[{"name":"pagos-app","healthPath":"/healthz","maxConns":110,"warmupS":8,"warmupPerS":3.3}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"rosa","apiKeys":["k3y0of0rosa0000000000"],"unit":"token_count","plainTokens":200,
"ratePerS":0,"burst":0,"allowedRegions":[]}]}"#;

/// When a request was sent, and when it arrived at the runner.
#[derive(Clone, Copy)]
struct Arrival {
    sent_at: f64,
    at: f64,
}

/// Returns the largest number of requests that were sent and have arrived within one second, and when it began.
fn most_in_a_second(arrivals: &[Arrival]) -> (usize, f64) {
    let begins = arrivals.iter().map(|a| a.sent_at);
    let count = |from: f64| {
        let inside = |a: &&Arrival| a.sent_at >= from && a.at <= from + 1.0;
        (arrivals.iter().filter(inside).count(), from)
    };
    begins
        .map(count)
        .max_by_key(|(n, _)| *n)
        .unwrap_or_default()
}

fn run() -> std::io::Result<ExitCode> {
    let mut args = std::env::args().skip(1);
    let program = PathBuf::from(args.next().unwrap_or_default());
    let record = Record::create(&PathBuf::from(
        args.next().unwrap_or_else(|| "record.txt".into()),
    ))?;
    let store = Store::start()?;
    store.write("op/config", Some(CONFIG));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let (seen, clock) = (arrivals.clone(), record.clone());
    let work_of = move |head: &review_kit_3::http::Head| {
        // The path holds when the client sent the request.
        let sent_at = head
            .target()
            .rsplit('/')
            .next()
            .and_then(|s| s.parse().ok());
        if let (Some(sent_at), Ok(mut seen)) = (sent_at, seen.lock()) {
            seen.push(Arrival {
                sent_at,
                at: clock.now(),
            });
        }
        Work::Answer(10)
    };
    let behaviour = Behaviour {
        down_time: Duration::from_millis(1_500),
        warmup: WARMUP,
        work_of,
    };
    let runner = Runner::start(
        ("i-a1", "127.0.0.1"),
        ("pagos-app", "lima-a"),
        &store,
        &record,
        behaviour,
    )?;
    let zones = [("lima-a", "lima"); 8];
    let mut fleet = Fleet::start(program, &zones, zones.len(), store.address)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the instances are not ready in time");
        return Ok(ExitCode::from(2));
    }
    thread::sleep(Duration::from_secs(1));
    let began_at = record.now();
    let callers = fleet.callers();
    let traffic = {
        let record = record.clone();
        thread::spawn(move || {
            let mut threads = Vec::new();
            // Clients connect to machines that are up.
            let up = if has_trouble() {
                &callers[SEEDS..]
            } else {
                &callers[..]
            };
            for n in 0.. {
                let at = f64::from(n) / REQUESTS_PER_S;
                if at >= END_S {
                    break;
                }
                let ahead = began_at + at - record.now();
                thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
                let (to, record) = (up[n as usize % up.len()], record.clone());
                threads.push(thread::spawn(move || {
                    let sent_at = record.now();
                    let req = Request {
                        id: client::new_id(),
                        method: "GET",
                        path: format!("/balance/{sent_at:.4}"),
                        deadline_ms: 3_000,
                        ..Request::default()
                    };
                    record.line(&format!("{} sent to {to}", req.id));
                    let answer = client::send(to, HOST, KEY, &req, |_| {});
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(&format!("{} answered {} {text}", req.id, answer.status));
                }));
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    let wait_until = |at: f64| {
        let ahead = began_at + at - record.now();
        thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
    };
    wait_until(TROUBLE_S);
    let stopped_at = record.now();
    runner.stop();
    if has_trouble() {
        for index in 0..zones.len() {
            fleet.kill(index);
        }
        record.line("all instances have lost power");
        wait_until(TROUBLE_S + 0.5);
        for index in SEEDS..zones.len() {
            fleet.start_instance(index)?;
        }
        record.line("those that no seed names are back");
    }
    let _ = traffic.join();
    let arrivals = arrivals.lock().map(|a| a.clone()).unwrap_or_default();
    let cold = arrivals
        .iter()
        .filter(|a| a.at > stopped_at && a.at < stopped_at + 9.0);
    let cold: Vec<Arrival> = cold.copied().collect();
    let (most, from) = most_in_a_second(&cold);
    record.say(&format!(
        "{} requests ran before, {} while the runner was cold, at most {most} of them sent and run in one second \
         (from {from:.2} on); allowed are {BOUND:.2}",
        arrivals.iter().filter(|a| a.at < stopped_at).count(),
        cold.len()
    ));
    if cold.is_empty() {
        record.say("no request has run while the runner was cold");
        return Ok(ExitCode::from(2));
    }
    // CAST: a small number.
    let is_broken = most as f64 > BOUND;
    record.say(if is_broken {
        "FAILBACK is broken"
    } else {
        "FAILBACK holds"
    });
    Ok(ExitCode::from(u8::from(is_broken)))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
