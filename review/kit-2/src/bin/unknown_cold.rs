//! The runners of a zone are down and come back cold, under their ids, while the store is down. Usage:
//! `unknown_cold FOLDER`. `TROUBLE=0` does without both, `TROUBLE=runners` and `TROUBLE=store` with one of them.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_kit_2::client;
use review_kit_2::deployment::Deployment;
use review_kit_2::record::Record;
use review_kit_2::store::Store;

/// `platform_down`, for 4.5 s.
const DOWN: Duration = Duration::from_millis(4_500);
/// The runners come back after this time (`cold_return`: 4.5 s at most).
const BACK_AFTER: Duration = Duration::from_millis(2_000);
/// `warmupS` and `warmupPerS` of the service, `coldOver` and `coldSlack`.
const WARMUP_S: f64 = 3.0;
const WARMUP_PER_S: f64 = 3.3;
const MOST: f64 = WARMUP_PER_S * 1.5 + 3.0;
/// Time between two requests of a client; each instance has some clients. As many requests come for each runner as in
/// the sheet of the installation.
const CLIENTS_PER_INSTANCE: usize = 4;
const REQUEST_GAP: Duration = Duration::from_millis(120);
const HOST: &str = "front.example";
const SERVICE: &str = "reparto-llm";
const REGIONS: [(&str, usize); 3] = [("lima", 3), ("piura", 3), ("ancash", 2)];
const RUNNERS_PER_REGION: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"ask\",\"host\":\"{HOST}\",\"prefix\":\"/ask/\",\"kind\":\"streaming\",\
         \"timeoutMs\":12000,\"targetLatencyMs\":800,\"gapAimMs\":400,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":2,\"public\":true,\"canResume\":true,\"sticky\":true,\"allowedRegions\":[]}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":620,\"warmupS\":{WARMUP_S},\
         \"warmupPerS\":{WARMUP_PER_S},\"engine\":{{\"slots\":128,\"kvTokens\":369295}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[]}}"
    )
}

/// A runner as a process of its own, at an address that it keeps.
struct Runner {
    id: String,
    zone: String,
    address: SocketAddr,
    child: Mutex<Option<Child>>,
    /// When requests reached it, and when their clients sent them.
    arrivals: Mutex<Vec<(f64, f64)>>,
}

impl Runner {
    fn new(id: String, zone: String) -> std::io::Result<Self> {
        Ok(Self {
            id,
            zone,
            address: TcpListener::bind("127.0.0.1:0")?.local_addr()?,
            child: Mutex::default(),
            arrivals: Mutex::default(),
        })
    }

    /// Starts the process, and records what it says until it ends.
    fn start(self: &Arc<Self>, record: &Record) -> Option<()> {
        let program = std::env::current_exe()
            .ok()?
            .with_file_name("fragile_runner");
        let address = self.address.to_string();
        let mut child = Command::new(program)
            .args([&self.id, "none", &address])
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let out = child.stdout.take()?;
        record.line(&format!("runner {} started, pid {}", self.id, child.id()));
        *self.child.lock().expect("not poisoned") = Some(child);
        let (runner, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.line(&format!("runner {}: {line}", runner.id));
                // The attempt's id ends with the time at which it was sent.
                if let Some(("RUN", attempt)) = line.split_once(' ') {
                    let sent_at = attempt
                        .rsplit_once('-')
                        .and_then(|(_, t)| t.parse().ok())
                        .unwrap_or(0.0);
                    let arrival = (record.seconds(), sent_at);
                    runner.arrivals.lock().expect("not poisoned").push(arrival);
                }
            }
        });
        Some(())
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("not poisoned").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn entry(&self, warmup_left_ms: u64, born: u64) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":128,\
             \"state\":\"ready\",\"warmupLeftMs\":{warmup_left_ms},\"sequence\":1,\"born\":{born}}}",
            self.address, self.zone
        )
    }
}

fn run(folder: PathBuf, trouble: &str) -> Result<bool, String> {
    let record = Record::begin(&folder).map_err(|e| e.to_string())?;
    record.show(&format!("trouble: {trouble}"));
    let store = Store::start(&record, 50, 1).map_err(|e| e.to_string())?;
    store.put("op/config", &config());
    let mut runners = Vec::new();
    for (region, _) in REGIONS {
        for number in 0..RUNNERS_PER_REGION {
            let runner = Runner::new(format!("i-{region}-{number}"), format!("{region}-a"));
            let runner = Arc::new(runner.map_err(|e| e.to_string())?);
            runner.start(&record).ok_or("a runner does not start")?;
            store.put(
                &format!("servers/{}", runner.id),
                &runner.entry(0, 1_700_000_000_000),
            );
            runners.push(runner);
        }
    }
    thread::sleep(Duration::from_millis(300));
    let result = Deployment::start(&record, store.address, &REGIONS).map_err(|e| e.to_string());
    let result =
        result.and_then(|mut deployment| play(&record, &mut deployment, &store, &runners, trouble));
    runners.iter().for_each(|r| r.kill());
    result
}

fn play(
    record: &Record,
    deployment: &mut Deployment,
    store: &Arc<Store>,
    runners: &[Arc<Runner>],
    trouble: &str,
) -> Result<bool, String> {
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err("the instances are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let stop = AtomicBool::new(false);
    let fragile = &runners[RUNNERS_PER_REGION..2 * RUNNERS_PER_REGION];
    let back_at = thread::scope(|scope| {
        for number in 0..deployment.instances.len() * CLIENTS_PER_INSTANCE {
            let (deployment, stop) = (&*deployment, &stop);
            scope.spawn(move || {
                let index = number / CLIENTS_PER_INSTANCE;
                for request in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    send(
                        record,
                        deployment,
                        index,
                        &format!("a{number}-{request}-{:.3}", record.seconds()),
                    );
                    thread::sleep(REQUEST_GAP);
                }
            });
        }
        thread::sleep(Duration::from_secs(6));
        let down = trouble != "0" && trouble != "runners";
        let crashes = trouble != "0" && trouble != "store";
        if down {
            store.set_down(true);
        }
        let down_since = record.seconds();
        thread::sleep(Duration::from_millis(200));
        if crashes {
            fragile.iter().for_each(|r| r.kill());
            record.show("the runners of piura-a are down");
        }
        thread::sleep(BACK_AFTER);
        let back_at = record.seconds();
        if crashes {
            record.show(&format!(
                "the runners of piura-a are back, cold for {WARMUP_S} s"
            ));
            for runner in fragile {
                let _ = runner.start(record);
                // It writes to the store as soon as that takes it.
                let (store, runner, record) = (store.clone(), runner.clone(), record.clone());
                thread::spawn(move || {
                    while store.is_down() {
                        thread::sleep(HEARTBEAT);
                    }
                    let left_s = (WARMUP_S - (record.seconds() - back_at)).max(0.0);
                    let entry = runner.entry((left_s * 1_000.0) as u64, 1_700_000_009_000);
                    store.put(&format!("servers/{}", runner.id), &entry);
                });
            }
        }
        let left = DOWN.as_secs_f64() - (record.seconds() - down_since);
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
        if down {
            store.set_down(false);
        }
        thread::sleep(Duration::from_secs(4));
        stop.store(true, Ordering::Relaxed);
        back_at
    });
    if !deployment.all_run() {
        return Err("an instance has ended by itself".to_owned());
    }
    if trouble == "0" || trouble == "store" {
        record.show("no runner was cold");
        return Ok(true);
    }
    // Requests that were sent and arrived inside one second, while the runner was cold.
    let cold_until = back_at + WARMUP_S;
    let mut held = true;
    for runner in fragile {
        let arrivals = runner.arrivals.lock().expect("not poisoned").clone();
        let cold: Vec<(f64, f64)> = arrivals
            .into_iter()
            .filter(|(at, sent)| *sent >= back_at && *at <= cold_until)
            .collect();
        let within = |from: f64| {
            cold.iter()
                .filter(|(at, sent)| *sent >= from && *at <= from + 1.0)
                .count()
        };
        let windows = cold.iter().map(|(_, sent)| (within(*sent), *sent));
        let (most, from) = windows.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0));
        record.show(&format!(
            "runner {} was cold from {back_at:.3} s to {cold_until:.3} s and got {} requests, most in one second: {most}, \
             from {from:.3} s on; {MOST:.2} may come",
            runner.id,
            cold.len()
        ));
        held &= most as f64 <= MOST;
    }
    Ok(held)
}

fn send(record: &Record, deployment: &Deployment, index: usize, attempt: &str) {
    let own = attempt
        .bytes()
        .fold(17u64, |n, b| n.wrapping_mul(131).wrapping_add(u64::from(b)));
    let prefix = format!("{:x}:119,{:x}:79,{own:x}:628", own % 40, own % 224 + 1_000);
    let headers = [
        ("host", HOST),
        ("attempt-id", attempt),
        ("deadline-ms", "12000"),
        ("model", "m"),
        ("token-count", "826,18"),
        ("prompt-prefix", prefix.as_str()),
    ];
    let answer = client::send(
        deployment.front(index),
        "POST",
        "/ask/1",
        &headers,
        b"why?",
        Duration::from_secs(12),
    );
    record.line(&format!(
        "{attempt} sent to {}: {}",
        deployment.instances[index].name,
        client::describe(&answer)
    ));
}

fn main() -> ExitCode {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("."), PathBuf::from);
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "both".to_owned());
    match run(folder, &trouble) {
        Ok(true) => {
            println!("FAILBACK held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("FAILBACK broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
