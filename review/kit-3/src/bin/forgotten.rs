//! Requests with a part that crashes runners have crashed more than five. Then all instances are killed at the same moment
//! and start again. Checks how many such requests still reach runners, sent by machines in touch.

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
const SHARED_PART: &str = "f0000001";
const HARMFUL_PART: &str = "10000002";
/// `contactMs` of the settings.
const CONTACT_S: f64 = 6.0;
/// Requests with the part that may reach runners later than `contactMs` after the fifth crash.
const ALLOWED: usize = 3;
const RUNNERS: [&str; 8] = [
    "i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6", "i-g7", "i-h8",
];
const BURST: u32 = 24;
const BURST_S: f64 = 8.0;
const KILL_S: f64 = BURST_S + 3.0;
const BACK_S: f64 = KILL_S + 0.5;
/// From here on, one comes every [`INTERVAL_S`].
const SINGLES_S: f64 = BACK_S + CONTACT_S + 1.0;
const INTERVAL_S: f64 = 3.0;
const SINGLES: u32 = 10;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"statement","host":"lumi.example","prefix":"/statement/",
"kind":"streaming","timeoutMs":12000,"targetLatencyMs":800,"gapAimMs":400,"priority":1,"service":"reparto-llm",
"maxAttempts":1,"public":false,"canResume":false,"allowedRegions":[]}],
"services":[{"name":"reparto-llm","healthPath":"/healthz","maxConns":620,"warmupS":0,"warmupPerS":0,
"engine":{"slots":128,"kvTokens":369295}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"rosa","apiKeys":["k3y0of0rosa0000000000"],"unit":"token_count","plainTokens":200,
"ratePerS":1000000,"burst":1000000,"allowedRegions":[]}]}"#;

fn request(is_harmful: bool) -> Request {
    let id = client::new_id();
    let (session, own) = (&id[2..10], &id[6..]);
    let prompt = match is_harmful {
        true => format!("{SHARED_PART}:900,{HARMFUL_PART}:300,{own}{session}:40,{own}:60"),
        false => format!("{SHARED_PART}:900,{own}:60"),
    };
    Request {
        method: "POST",
        path: format!("/statement/{id}"),
        headers: vec![
            ("Model", "m".into()),
            ("Token-Count", "1300,40".into()),
            ("Prompt-Prefix", prompt),
        ],
        body: format!("{{\"trip\":\"{id}\"}}"),
        deadline_ms: 12_000,
        id,
    }
}

fn run() -> std::io::Result<ExitCode> {
    let mut args = std::env::args().skip(1);
    let program = PathBuf::from(args.next().unwrap_or_default());
    let record = Record::create(&PathBuf::from(
        args.next().unwrap_or_else(|| "record.txt".into()),
    ))?;
    let store = Store::start()?;
    store.write("op/config", Some(CONFIG));
    // When requests with the part have reached runners, each of which then crashes.
    let reached_at: Arc<Mutex<Vec<f64>>> = Arc::default();
    let mut runners = Vec::new();
    for id in RUNNERS {
        let (reached_at, clock) = (reached_at.clone(), record.clone());
        let work_of = move |head: &review_kit_3::http::Head| {
            let prompt = head.header("prompt-prefix").unwrap_or("");
            if !prompt.contains(HARMFUL_PART) {
                return Work::Stream(4);
            }
            if let Ok(mut reached_at) = reached_at.lock() {
                reached_at.push(clock.now());
            }
            Work::Crash
        };
        let behaviour = Behaviour {
            down_time: Duration::from_secs(2),
            warmup: Duration::ZERO,
            work_of,
        };
        runners.push(Runner::start(
            (id, "127.0.0.1"),
            ("reparto-llm", "lima-a"),
            &store,
            &record,
            behaviour,
        )?);
    }
    let zones = [("lima-a", "lima"); 3];
    let mut fleet = Fleet::start(program, &zones, zones.len(), store.address)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the instances are not ready in time");
        return Ok(ExitCode::from(2));
    }
    thread::sleep(Duration::from_secs(1));
    let began_at = record.now();
    let callers = fleet.callers();
    let wait_until = |at: f64| {
        let ahead = began_at + at - record.now();
        thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
    };
    let send = |n: u32, is_harmful: bool| {
        let (to, record) = (callers[n as usize % callers.len()], record.clone());
        thread::spawn(move || {
            let req = request(is_harmful);
            let kind = if is_harmful { "harmful" } else { "sound" };
            record.line(&format!("{kind} {} sent to {to}", req.id));
            let answer = client::send(to, HOST, KEY, &req, |_| {});
            let (status, is_whole) = (answer.status, answer.is_whole);
            record.line(&format!(
                "{kind} {} answered {status} whole={is_whole}",
                req.id
            ));
        })
    };
    let end = SINGLES_S + f64::from(SINGLES) * INTERVAL_S;
    let sound = {
        let (callers, record) = (callers.clone(), record.clone());
        thread::spawn(move || {
            let mut n = 0_usize;
            while record.now() < began_at + end {
                let (to, record) = (callers[n % callers.len()], record.clone());
                thread::spawn(move || {
                    let req = request(false);
                    record.line(&format!("sound {} sent to {to}", req.id));
                    let answer = client::send(to, HOST, KEY, &req, |_| {});
                    record.line(&format!(
                        "sound {} answered {} whole={}",
                        req.id, answer.status, answer.is_whole
                    ));
                });
                n += 1;
                thread::sleep(Duration::from_millis(250));
            }
        })
    };
    wait_until(BURST_S);
    let burst: Vec<_> = (0..BURST).map(|n| send(n, true)).collect();
    for thread in burst {
        let _ = thread.join();
    }
    wait_until(KILL_S);
    if has_trouble() {
        for index in 0..zones.len() {
            fleet.kill(index);
        }
        record.line("all instances are killed");
        wait_until(BACK_S);
        for index in 0..zones.len() {
            fleet.start_instance(index)?;
        }
        record.line("all instances start again");
    }
    let mut singles = Vec::new();
    for n in 0..SINGLES {
        wait_until(SINGLES_S + f64::from(n) * INTERVAL_S);
        singles.push(send(n, true));
    }
    for thread in singles {
        let _ = thread.join();
    }
    let _ = sound.join();
    for line in fleet.log_lines(&["quarantine changed"]) {
        record.line(&format!("log {line}"));
    }
    let crashes: u64 = runners.iter().map(|r| r.crashes()).sum();
    let reached_at = reached_at.lock().map(|r| r.clone()).unwrap_or_default();
    // Each runner crashes at most once in the burst.
    let early = reached_at
        .iter()
        .filter(|at| **at < began_at + KILL_S)
        .count();
    let from = began_at + BURST_S + 1.0 + CONTACT_S;
    let late = reached_at
        .iter()
        .filter(|at| **at > from.max(began_at + SINGLES_S - 0.5))
        .count();
    record.say(&format!(
        "{crashes} crashes; {early} requests with the part have reached runners in the burst, and {late} later than \
         contactMs after it, from machines in touch; allowed are {ALLOWED}"
    ));
    if crashes < 5 || early < 5 {
        record.say("fewer than five crashes");
        return Ok(ExitCode::from(2));
    }
    let is_broken = late > ALLOWED;
    record.say(if is_broken {
        "BUDGET is broken"
    } else {
        "BUDGET holds"
    });
    Ok(ExitCode::from(u8::from(is_broken)))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
