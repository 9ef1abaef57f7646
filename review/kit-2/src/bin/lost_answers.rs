//! The store loses some of its answers while configurations come in quick succession. After that, a key is taken away.
//! Usage: `lost_answers FOLDER`, with `TROUBLE=0` for a store that loses none.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use review_kit_2::client;
use review_kit_2::deployment::Deployment;
use review_kit_2::record::Record;
use review_kit_2::runner::Runner;
use review_kit_2::store::{Manner, Store};

/// `platform_lost`: 0.35 of the answers, for up to 4.5 s.
const LOST: f64 = 0.35;
/// `config_storm`: a change each 0.33 s for up to 4 s.
const STORM_GAP: Duration = Duration::from_millis(330);
/// Changes before the first answer is lost, and while answers are lost.
const CHANGES_BEFORE: u64 = 1;
const CHANGES_DURING: u64 = 10;
/// `contactMs`, and the longer one of `configApplyMs` (4,000) and `revokeMs`.
const CONTACT_S: f64 = 6.0;
const APPLY_S: f64 = 5.0;
const HOST: &str = "front.example";
const REGIONS: [(&str, usize); 3] = [("akl", 3), ("wlg", 1), ("chc", 2)];
const KEPT_KEY: &str = "key-that-stays";
const DROPPED_KEY: &str = "key-that-goes";
const USUAL: Manner = Manner {
    answer_time: Duration::from_millis(4),
    lost: 0.0,
};

fn config(version: u64, keys: &[&str]) -> String {
    let route = format!(
        "{{\"name\":\"commit\",\"host\":\"{HOST}\",\"prefix\":\"/commit/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\
         \"targetLatencyMs\":400,\"priority\":2,\"service\":\"ticket-desk\",\"maxAttempts\":1,\"public\":false,\
         \"canResume\":false,\"allowedRegions\":[]}}"
    );
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{{\"name\":\"ticket-desk\",\"healthPath\":\"/healthz\",\
         \"maxConns\":96,\"warmupS\":0,\"warmupPerS\":0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"rosa\",\"apiKeys\":[{}],\
         \"unit\":\"token_count\",\"plainTokens\":200,\"ratePerS\":1000000,\"burst\":1000000,\"allowedRegions\":[]}}]}}",
        keys.join(",")
    )
}

fn run(folder: PathBuf, trouble: bool) -> Result<bool, String> {
    let record = Record::begin(&folder).map_err(|e| e.to_string())?;
    // Which answers are lost is drawn anew in each run.
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let seed = now.map_or(1, |d| u64::from(d.subsec_nanos()));
    record.show(&format!("trouble: {trouble}, seed {seed}"));
    let store = Store::start(&record, 50, seed).map_err(|e| e.to_string())?;
    let both = [KEPT_KEY, DROPPED_KEY];
    let mut version = 1;
    store.put("op/config", &config(version, &both));
    let mut runners = Vec::new();
    for (region, _) in REGIONS {
        let id = format!("i-{region}");
        let runner =
            Runner::start(&record, &id, &format!("{region}-a")).map_err(|e| e.to_string())?;
        store.put(
            &format!("servers/{id}"),
            &runner.entry("ticket-desk", "ready"),
        );
        runners.push(runner);
    }
    let mut deployment =
        Deployment::start(&record, store.address, &REGIONS).map_err(|e| e.to_string())?;
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err("the instances are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    for index in 0..deployment.instances.len() {
        let answer = send(
            &record,
            &deployment,
            index,
            &format!("before-{index}"),
            DROPPED_KEY,
        );
        if answer != 200 {
            return Err("not every instance serves before the disruption".to_owned());
        }
    }
    for change in 0..CHANGES_BEFORE + CHANGES_DURING {
        if change == CHANGES_BEFORE && trouble {
            store.set_manner(Manner {
                lost: LOST,
                ..USUAL
            });
        }
        version += 3;
        store.put("op/config", &config(version, &both));
        thread::sleep(STORM_GAP);
    }
    store.set_manner(USUAL);
    let lost_until = record.seconds();
    thread::sleep(Duration::from_millis(100));
    version += 3;
    store.put("op/config", &config(version, &[KEPT_KEY]));
    let confirmed_at = record.seconds();
    record.show(&format!(
        "version {version} without the key confirmed at {confirmed_at:.3} s"
    ));
    // Both bounds: machines are in touch, and the version must be in force.
    let bound_at = (lost_until + CONTACT_S).max(confirmed_at + APPLY_S);
    let stop = AtomicBool::new(false);
    let late = thread::scope(|scope| {
        let senders: Vec<_> = (0..deployment.instances.len())
            .map(|index| {
                let (record, deployment, stop) = (&record, &deployment, &stop);
                scope.spawn(move || {
                    let mut late = Vec::new();
                    for number in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            break;
                        }
                        let sent_at = record.seconds();
                        let attempt = format!("{}-{number}", deployment.instances[index].name);
                        if send(record, deployment, index, &attempt, DROPPED_KEY) == 200
                            && sent_at > bound_at
                        {
                            late.push(attempt);
                        }
                        thread::sleep(Duration::from_millis(100));
                    }
                    late
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(15));
        stop.store(true, Ordering::Relaxed);
        let late = senders
            .into_iter()
            .flat_map(|s| s.join().unwrap_or_default());
        late.collect::<Vec<String>>()
    });
    if !deployment.all_run() {
        return Err("an instance has ended by itself".to_owned());
    }
    // What counts is what runners ran.
    let ran: Vec<_> = runners.iter().flat_map(|r| r.runs()).collect();
    let mut by_machine: BTreeMap<String, (usize, f64)> = BTreeMap::new();
    for run in ran.iter().filter(|run| late.contains(&run.attempt)) {
        let machine = run
            .attempt
            .rsplit_once('-')
            .map_or("?", |(m, _)| m)
            .to_owned();
        let entry = by_machine.entry(machine).or_default();
        *entry = (entry.0 + 1, run.at);
    }
    let (answered, lost) = store.counts();
    record.show(&format!(
        "answers of the store: {answered} sent, {lost} lost; requests with the dropped key that were sent later than \
         {bound_at:.3} s and run, by instance, with the last time: {by_machine:?}"
    ));
    Ok(by_machine.is_empty())
}

fn send(record: &Record, deployment: &Deployment, index: usize, attempt: &str, key: &str) -> u16 {
    let authorization = format!("Token {key}");
    let headers = [
        ("host", HOST),
        ("attempt-id", attempt),
        ("deadline-ms", "2500"),
        ("authorization", authorization.as_str()),
    ];
    let answer = client::send(
        deployment.front(index),
        "POST",
        "/commit/order",
        &headers,
        b"{\"order\":1}",
        Duration::from_millis(2_500),
    );
    record.line(&format!(
        "{attempt} sent with {key} to {}: {}",
        deployment.instances[index].name,
        client::describe(&answer)
    ));
    answer.ok().flatten().map_or(0, |m| m.status())
}

fn main() -> ExitCode {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("."), PathBuf::from);
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match run(folder, trouble) {
        Ok(true) => {
            println!("CONFIG held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("CONFIG broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
