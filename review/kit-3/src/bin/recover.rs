//! All instances lose power. The machines that the seeds name are lost and replaced by spare ones, the others come back.
//! Checks that they serve again.

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
const SEEDS: usize = 3;
const MACHINES: usize = 8;
/// Spare machines, which replace those of the seeds.
const SPARE: usize = 3;
const REQUESTS_PER_S: f64 = 40.0;
const TROUBLE_S: f64 = 10.0;
const OTHERS_BACK_S: f64 = TROUBLE_S + 0.5;
/// From then on as many machines run as before.
const BACK_S: f64 = TROUBLE_S + 1.0;
/// `seedLagS` of the settings: seeds are at most so old.
const SEED_LAG_S: f64 = 3.0;
/// `recoverS` of the settings.
const RECOVER_S: f64 = 12.0;
const END_S: f64 = BACK_S + RECOVER_S + 20.0;

/// The customer asks for 10,400 tokens a second.
const CONFIG: &str = r#"{"version":VERSION,"routes":[{"name":"balance","host":"lumi.example","prefix":"/balance/",
"kind":"idempotent","timeoutMs":1500,"targetLatencyMs":500,"priority":2,"service":"pagos-app",
"maxAttempts":2,"public":false,"canResume":false,"allowedRegions":[]}],
"services":[{"name":"pagos-app","healthPath":"/healthz","maxConns":110,"warmupS":0,"warmupPerS":0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"rosa","apiKeys":["k3y0of0rosa0000000000"],"unit":"token_count","plainTokens":200,
"ratePerS":18000,"burst":36000,"allowedRegions":[]}]}"#;

/// When a request was sent, and the status of its answer.
#[derive(Clone, Copy)]
struct Done {
    sent_at: f64,
    status: u16,
}

fn run() -> std::io::Result<ExitCode> {
    let mut args = std::env::args().skip(1);
    let program = PathBuf::from(args.next().unwrap_or_default());
    let record = Record::create(&PathBuf::from(
        args.next().unwrap_or_else(|| "record.txt".into()),
    ))?;
    let store = Store::start()?;
    store.write("op/config", Some(&CONFIG.replace("VERSION", "1")));
    let mut runners = Vec::new();
    for id in ["i-a1", "i-b2", "i-c3"] {
        let behaviour = Behaviour {
            down_time: Duration::ZERO,
            warmup: Duration::ZERO,
            work_of: |_: &review_kit_3::http::Head| Work::Answer(10),
        };
        runners.push(Runner::start(
            (id, "127.0.0.1"),
            ("pagos-app", "lima-a"),
            &store,
            &record,
            behaviour,
        )?);
    }
    let zones = [("lima-a", "lima"); MACHINES + SPARE];
    let mut fleet = Fleet::start(program, &zones, MACHINES, store.address)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the instances are not ready in time");
        return Ok(ExitCode::from(2));
    }
    thread::sleep(Duration::from_secs(1));
    let began_at = record.now();
    let done: Arc<Mutex<Vec<Done>>> = Arc::default();
    let traffic = {
        let (record, done, callers) = (record.clone(), done.clone(), fleet.callers());
        thread::spawn(move || {
            let mut threads = Vec::new();
            // Clients connect to machines that are up.
            let before = &callers[..MACHINES];
            let after = match has_trouble() {
                true => &callers[SEEDS..],
                false => before,
            };
            for n in 0.. {
                let at = f64::from(n) / REQUESTS_PER_S;
                if at >= END_S {
                    break;
                }
                let ahead = began_at + at - record.now();
                thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
                let up = if at < TROUBLE_S { before } else { after };
                let (to, record, done) = (up[n as usize % up.len()], record.clone(), done.clone());
                threads.push(thread::spawn(move || {
                    let sent_at = record.now();
                    let id = client::new_id();
                    let req = Request {
                        method: "GET",
                        path: format!("/balance/{id}"),
                        headers: vec![("Token-Count", "200,60".into())],
                        deadline_ms: 3_000,
                        id,
                        ..Request::default()
                    };
                    record.line(&format!("{} sent to {to}", req.id));
                    let answer = client::send(to, HOST, KEY, &req, |_| {});
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(&format!("{} answered {} {text}", req.id, answer.status));
                    if let Ok(mut done) = done.lock() {
                        done.push(Done {
                            sent_at,
                            status: answer.status,
                        });
                    }
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
    store.write("op/config", Some(&CONFIG.replace("VERSION", "4")));
    if has_trouble() {
        for index in 0..MACHINES {
            fleet.kill(index);
        }
        record.line("all instances have lost power");
        wait_until(OTHERS_BACK_S);
        for index in SEEDS..MACHINES {
            fleet.start_instance(index)?;
        }
        wait_until(BACK_S);
        for index in MACHINES..zones.len() {
            fleet.start_instance(index)?;
        }
        record.line("five machines are back, and three spare ones replace the others");
        wait_until(TROUBLE_S + SEED_LAG_S);
        for index in SEEDS..zones.len() {
            fleet.change_seeds(index, &[SEEDS, SEEDS + 1, SEEDS + 2])?;
        }
        record.line("the settings name seeds that are up");
    }
    let _ = traffic.join();
    for line in fleet.log_lines(&["limits reloaded"]) {
        record.line(&format!("log {line}"));
    }
    let done = done.lock().map(|d| d.clone()).unwrap_or_default();
    let share = |from: f64, until: f64| {
        let inside = done
            .iter()
            .filter(|d| d.sent_at >= began_at + from && d.sent_at < began_at + until);
        (
            inside.clone().filter(|d| d.status == 200).count(),
            inside.count(),
        )
    };
    let (served_before, before) = share(0.0, TROUBLE_S - 1.0);
    let (served, after) = share(BACK_S + RECOVER_S, END_S);
    record.say(&format!(
        "served were {served_before} of {before} requests before, and {served} of {after} sent later than recoverS \
         after the machines were back"
    ));
    if 4 * served_before < before || after < 20 {
        record.say("too few requests to judge");
        return Ok(ExitCode::from(2));
    }
    let is_broken = 4 * served < after;
    record.say(if is_broken {
        "RECOVER is broken"
    } else {
        "RECOVER holds"
    });
    Ok(ExitCode::from(u8::from(is_broken)))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
