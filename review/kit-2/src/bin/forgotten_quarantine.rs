//! A part of a prompt crashes each runner that begins to answer it. After five crashes, all instances are killed at the
//! same moment and start again; requests with the part still come. Usage: `forgotten_quarantine FOLDER`, with `TROUBLE=0`
//! for instances that are not killed.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_kit_2::client;
use review_kit_2::deployment::Deployment;
use review_kit_2::record::Record;
use review_kit_2::runner;
use review_kit_2::store::Store;

/// `contactMs`.
const CONTACT_S: f64 = 6.0;
/// Most requests with the part that may reach runners later than `contactMs` after the fifth crash.
const MOST: usize = 3;
/// Time between two requests with the part, once it has crashed five runners.
const HARMFUL_GAP: Duration = Duration::from_secs(7);
const HARMFUL_REQUESTS: usize = 5;
/// Time after which a runner that has crashed is back ("some seconds"), and its former entry lapses.
const RUNNER_BACK: Duration = Duration::from_millis(2_500);
const ENTRY_LAPSES: Duration = Duration::from_millis(3_600);
const PART: &str = "badbadbad";
const HOST: &str = "front.example";
const SERVICE: &str = "reparto-llm";
const REGIONS: [(&str, usize); 3] = [("lima", 3), ("piura", 3), ("ancash", 2)];
const RUNNERS_PER_REGION: usize = 4;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"{HOST}\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\
         \"timeoutMs\":5000,\"targetLatencyMs\":800,\"gapAimMs\":400,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":1,\"public\":true,\"canResume\":false,\"sticky\":true,\"allowedRegions\":[]}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":620,\"warmupS\":0,\"warmupPerS\":0,\
         \"engine\":{{\"slots\":128,\"kvTokens\":369295}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[]}}"
    )
}

/// What runners have said.
#[derive(Default)]
struct Seen {
    /// When requests with the part reached runners, and their ids.
    arrivals: Vec<(f64, String)>,
    /// When runners crashed.
    crashes: Vec<f64>,
}

/// The runners, each a process that is started again some seconds after it has crashed.
struct Runners {
    record: Record,
    store: Arc<Store>,
    seen: Mutex<Seen>,
    children: Mutex<Vec<Child>>,
    boots: AtomicUsize,
    stop: AtomicBool,
}

impl Runners {
    fn keep_up(self: &Arc<Self>, region: &'static str) {
        let runners = self.clone();
        thread::spawn(move || {
            while !runners.stop.load(Ordering::Relaxed) {
                if runners.run_once(region).is_none() {
                    return;
                }
                thread::sleep(RUNNER_BACK);
            }
        });
    }

    /// Runs a runner until it ends.
    fn run_once(self: &Arc<Self>, region: &str) -> Option<()> {
        let boot = self.boots.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{region}-{boot:03}");
        let program = std::env::current_exe().ok()?.with_file_name("fragile_runner");
        let mut child = Command::new(program).args([id.as_str(), PART]).stdout(Stdio::piped()).spawn().ok()?;
        let out = child.stdout.take()?;
        let pid = child.id();
        self.children.lock().expect("not poisoned").push(child);
        let key = format!("servers/{id}");
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            self.record.line(&format!("runner {id}: {line}"));
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let at = self.record.seconds();
            let mut seen = self.seen.lock().expect("not poisoned");
            match word {
                "HARMFUL" => seen.arrivals.push((at, rest.to_owned())),
                "CRASH" => seen.crashes.push(at),
                "LISTEN" => {
                    let born = 1_700_000_000_000 + boot as u64;
                    let entry = runner::entry(SERVICE, rest.parse().ok()?, &format!("{region}-a"), "ready", born);
                    drop(seen);
                    self.store.put(&key, &entry);
                }
                _ => {}
            }
        }
        let mut children = self.children.lock().expect("not poisoned");
        if let Some(index) = children.iter().position(|c| c.id() == pid) {
            let _ = children.swap_remove(index).wait();
        }
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(ENTRY_LAPSES);
            store.remove(&key);
        });
        Some(())
    }

    fn crashes(&self) -> Vec<f64> {
        let mut crashes = self.seen.lock().expect("not poisoned").crashes.clone();
        crashes.sort_by(f64::total_cmp);
        crashes
    }

    fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for child in self.children.lock().expect("not poisoned").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn run(folder: PathBuf, trouble: bool) -> Result<bool, String> {
    let record = Record::begin(&folder).map_err(|e| e.to_string())?;
    record.show(&format!("trouble: {trouble}"));
    let store = Store::start(&record, 50, 1).map_err(|e| e.to_string())?;
    store.put("op/config", &config());
    let runners = Arc::new(Runners {
        record: record.clone(),
        store: store.clone(),
        seen: Mutex::default(),
        children: Mutex::default(),
        boots: AtomicUsize::new(0),
        stop: AtomicBool::new(false),
    });
    for (region, _) in REGIONS {
        (0..RUNNERS_PER_REGION).for_each(|_| runners.keep_up(region));
    }
    thread::sleep(Duration::from_millis(500));
    let result = Deployment::start(&record, store.address, &REGIONS).map_err(|e| e.to_string());
    let result = result.and_then(|mut deployment| play(&record, &mut deployment, &runners, trouble));
    runners.end();
    result
}

fn play(
    record: &Record,
    deployment: &mut Deployment,
    runners: &Arc<Runners>,
    trouble: bool,
) -> Result<bool, String> {
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err("the instances are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs_f64(CONTACT_S));
    let count = deployment.instances.len();
    for index in 0..count {
        if send(record, deployment, index, &format!("sound-{index}"), "aa") != 200 {
            return Err("not every instance serves before the disruption".to_owned());
        }
    }
    // Two requests with the part at each machine, at the same time.
    thread::scope(|scope| {
        for number in 0..2 * count {
            let deployment = &*deployment;
            scope.spawn(move || send(record, deployment, number % count, &format!("harmful-first-{number}"), PART));
        }
    });
    thread::sleep(Duration::from_millis(500));
    let crashes = runners.crashes();
    let Some(fifth_at) = crashes.get(4).copied() else {
        return Err(format!("only {} runners crashed at first", crashes.len()));
    };
    record.show(&format!("{} crashes; the fifth at {fifth_at:.3} s", crashes.len()));
    thread::sleep(Duration::from_secs(8));
    let mut in_touch_from = 0.0;
    if trouble {
        deployment.kill_all();
        thread::sleep(Duration::from_secs(1));
        deployment.restart_all().map_err(|e| e.to_string())?;
        in_touch_from = record.seconds() + CONTACT_S;
    }
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err("the instances are not ready again".to_owned());
    }
    thread::sleep(Duration::from_secs_f64(CONTACT_S + 1.0));
    for number in 0..HARMFUL_REQUESTS {
        send(record, deployment, number * 3 % count, &format!("harmful-later-{number}"), PART);
        for index in 0..count {
            send(record, deployment, index, &format!("sound-later-{number}-{index}"), "aa");
        }
        if number + 1 < HARMFUL_REQUESTS {
            thread::sleep(HARMFUL_GAP);
        }
    }
    if !deployment.all_run() {
        return Err("an instance has ended by itself".to_owned());
    }
    let bound_at = (fifth_at + CONTACT_S).max(in_touch_from);
    let seen = runners.seen.lock().expect("not poisoned");
    let late: Vec<_> = seen.arrivals.iter().filter(|(at, _)| *at > bound_at).collect();
    record.show(&format!(
        "{} requests with the part reached runners later than {bound_at:.3} s, sent by machines in touch: {late:?}; {MOST} \
         may; {} crashes in all",
        late.len(),
        seen.crashes.len()
    ));
    Ok(late.len() <= MOST)
}

fn send(record: &Record, deployment: &Deployment, index: usize, attempt: &str, part: &str) -> u16 {
    let own = attempt.bytes().fold(17u64, |n, b| n.wrapping_mul(131).wrapping_add(u64::from(b)));
    let prefix = format!("{part}:2520,{:x}:3780,{:x}:2890", own >> 8, own);
    let headers = [
        ("host", HOST),
        ("attempt-id", attempt),
        ("deadline-ms", "5000"),
        ("model", "m"),
        ("token-count", "9190,54"),
        ("prompt-prefix", prefix.as_str()),
    ];
    let answer = client::send(
        deployment.front(index),
        "POST",
        "/draft/1",
        &headers,
        attempt.as_bytes(),
        Duration::from_secs(5),
    );
    record.line(&format!("{attempt} sent to {}: {}", deployment.instances[index].name, client::describe(&answer)));
    answer.ok().flatten().filter(|m| m.is_whole).map_or(0, |m| m.status())
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match run(folder, trouble) {
        Ok(true) => {
            println!("BUDGET held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("BUDGET broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
