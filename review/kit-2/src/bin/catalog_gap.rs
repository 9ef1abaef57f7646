//! While the store is slow, it drops its history, and an evacuation is confirmed while the instances that read the store
//! read it again in pages. Usage: `catalog_gap FOLDER`, with `TROUBLE=0` for a store that is not slow and drops
//! nothing, and `TIMING=random` for an evacuation at any moment while runners leave.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use review_kit_2::Random;
use review_kit_2::client;
use review_kit_2::deployment::Deployment;
use review_kit_2::record::Record;
use review_kit_2::runner::Runner;
use review_kit_2::store::{Manner, Store};

/// Items of a page, as in the site files (`page`).
const PAGE_ITEMS: usize = 50;
/// `platform_slow`: 60 times the usual 4 ms, for 4.5 s.
const SLOW: Duration = Duration::from_millis(240);
const SLOW_FOR: Duration = Duration::from_millis(4_500);
/// `evacMs`.
const EVAC_S: f64 = 5.0;
/// `stretchMaxMs`, though the pages grant none here.
const STRETCH_S: f64 = 10.0;
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(6_000);
/// For how long requests are sent after the evacuation.
const WATCHED: Duration = Duration::from_secs(30);
const HOST: &str = "front.example";
const REGIONS: [(&str, usize); 3] = [("lima", 3), ("piura", 3), ("ancash", 2)];

fn config() -> String {
    let route = format!(
        "{{\"name\":\"read\",\"host\":\"{HOST}\",\"prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeoutMs\":1500,\
         \"targetLatencyMs\":500,\"priority\":2,\"service\":\"pagos-app\",\"maxAttempts\":2,\"public\":true,\
         \"canResume\":false,\"allowedRegions\":[]}}"
    );
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"warmupS\":0,\"warmupPerS\":0}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[]}}",
        service("pagos-app"),
        service("reparto-llm")
    )
}

fn run(folder: PathBuf, trouble: bool) -> Result<bool, String> {
    let record = Record::begin(&folder).map_err(|e| e.to_string())?;
    record.show(&format!("trouble: {trouble}"));
    let store = Store::start(&record, PAGE_ITEMS, 1).map_err(|e| e.to_string())?;
    store.put("op/config", &config());
    // 60 runners, so that the store has more than one page. Two in each region serve the route, one of them evacuated
    // with its zone.
    let mut runners = Vec::new();
    for (region, _) in REGIONS {
        for (service, count) in [("pagos-app", 2), ("reparto-llm", 18)] {
            for number in 0..count {
                let id = format!("i-{service}-{region}-{number:02}");
                let runner = Runner::start(&record, &id, &format!("{region}-a"))
                    .map_err(|e| e.to_string())?;
                store.put(&format!("servers/{id}"), &runner.entry(service, "ready"));
                runners.push((runner, service));
            }
        }
    }
    let mut deployment =
        Deployment::start(&record, store.address, &REGIONS).map_err(|e| e.to_string())?;
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err("the instances are not ready".to_owned());
    }
    thread::sleep(CONTACT);
    let count_runs = || -> usize { runners.iter().map(|(r, _)| r.runs().len()).sum() };
    for index in 0..deployment.instances.len() {
        send(&record, &deployment, index, &format!("before-{index}"));
    }
    if count_runs() < deployment.instances.len() {
        return Err("not every instance serves before the disruption".to_owned());
    }
    if trouble {
        store.set_manner(Manner {
            answer_time: SLOW,
            lost: 0.0,
        });
        thread::sleep(Duration::from_millis(300));
    }
    // Planned work: the last two runners leave, one after the other.
    let mut leaving: Vec<_> = runners.iter().collect();
    leaving.sort_by_key(|(runner, _)| runner.id.clone());
    let leave = |(runner, service): &(Arc<Runner>, &str)| {
        store.put(
            &format!("servers/{}", runner.id),
            &runner.entry(service, "draining"),
        );
    };
    if trouble {
        store.mute_watches();
        leave(leaving[leaving.len() - 2]);
        thread::sleep(Duration::from_secs(1));
        store.drop_history();
    } else {
        leave(leaving[leaving.len() - 2]);
        thread::sleep(Duration::from_secs(1));
    }
    let dropped_at = record.seconds();
    let evacuated_at = if std::env::var("TIMING").is_ok_and(|v| v == "random") {
        // Ten runners leave one after the other, and the evacuation comes at any moment meanwhile.
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let mut random = Random::new(now.map_or(1, |d| u64::from(d.subsec_nanos())));
        let evacuation = (random.next_unit() * 10.0) as usize;
        let mut evacuated_at = 0.0;
        for step in 0..10 {
            thread::sleep(Duration::from_millis(60));
            if step == evacuation {
                store.put("op/evacuate/piura-a", "{}");
                evacuated_at = record.seconds();
            }
            thread::sleep(Duration::from_millis(60));
            leave(leaving[leaving.len() - 10 + step]);
        }
        evacuated_at
    } else {
        // The instances that read the store hear of it after 120 ms, and ask again 75 to 150 ms later. Their first page is
        // as of the moment 120 ms after that, their second page 240 ms later.
        thread::sleep(Duration::from_millis(470));
        store.put("op/evacuate/piura-a", "{}");
        let evacuated_at = record.seconds();
        leave(leaving[leaving.len() - 1]);
        evacuated_at
    };
    if trouble {
        let slow_since = dropped_at - 1.3;
        thread::sleep(Duration::from_secs_f64(
            (slow_since + SLOW_FOR.as_secs_f64() - record.seconds()).max(0.0),
        ));
        store.set_manner(Manner {
            answer_time: Duration::from_millis(4),
            lost: 0.0,
        });
    }
    let slow_until = record.seconds();
    let stop = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        for index in 0..deployment.instances.len() {
            let (record, deployment, stop) = (&record, &deployment, stop.clone());
            scope.spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    send(
                        record,
                        deployment,
                        index,
                        &format!("{}-{number}", deployment.instances[index].name),
                    );
                    number += 1;
                    thread::sleep(Duration::from_millis(250));
                }
            });
        }
        thread::sleep(WATCHED);
        stop.store(true, Ordering::Relaxed);
    });
    if !deployment.all_run() {
        return Err("an instance has ended by itself".to_owned());
    }
    // All machines are in touch again `contactMs` after the store was slow; the bound is counted with its whole stretch.
    let bound_at = (evacuated_at + EVAC_S + STRETCH_S).max(slow_until + CONTACT.as_secs_f64());
    let mut late = std::collections::BTreeMap::new();
    for (runner, _) in runners.iter().filter(|(r, _)| r.zone == "piura-a") {
        for run in runner.runs().iter().filter(|run| run.at > bound_at) {
            let machine = run
                .attempt
                .rsplit_once('-')
                .map_or("?", |(m, _)| m)
                .to_owned();
            *late.entry(machine).or_insert(0) += 1;
        }
    }
    record.show(&format!(
        "piura-a evacuated at {evacuated_at:.3} s; requests that its runners ran later than {bound_at:.3} s, by the \
         instance that took them: {late:?}"
    ));
    Ok(late.is_empty())
}

fn send(record: &Record, deployment: &Deployment, index: usize, attempt: &str) {
    let headers = [
        ("host", HOST),
        ("attempt-id", attempt),
        ("deadline-ms", "3000"),
    ];
    let answer = client::send(
        deployment.front(index),
        "GET",
        "/read/balance",
        &headers,
        b"",
        Duration::from_secs(3),
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
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match run(folder, trouble) {
        Ok(true) => {
            println!("EVAC held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("EVAC broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
