//! A part of a prompt crashes each runner that begins to answer it. After five crashes, all instances are killed at the
//! same moment and start again; requests with the part still come. Usage: `forgotten_quarantine FOLDER`, with `TROUBLE=0`
//! for instances that are not killed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_kit_2::client;
use review_kit_2::deployment::Deployment;
use review_kit_2::fragile::Runners;
use review_kit_2::record::Record;
use review_kit_2::store::Store;

/// `contactMs`.
const CONTACT_S: f64 = 6.0;
/// Most requests with the part that may reach runners later than `contactMs` after the fifth crash.
const MOST: usize = 3;
/// Time between two requests with the part, once it has crashed five runners.
const HARMFUL_GAP: Duration = Duration::from_secs(7);
const HARMFUL_REQUESTS: usize = 5;
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

fn run(folder: PathBuf, trouble: bool) -> Result<bool, String> {
    let record = Record::begin(&folder).map_err(|e| e.to_string())?;
    record.show(&format!("trouble: {trouble}"));
    let store = Store::start(&record, 50, 1).map_err(|e| e.to_string())?;
    store.put("op/config", &config());
    let runners = Runners::new(&record, &store, SERVICE, PART);
    for (region, _) in REGIONS {
        (0..RUNNERS_PER_REGION).for_each(|_| runners.keep_up(region));
    }
    thread::sleep(Duration::from_millis(500));
    let result = Deployment::start(&record, store.address, &REGIONS).map_err(|e| e.to_string());
    let result =
        result.and_then(|mut deployment| play(&record, &mut deployment, &runners, trouble));
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
            scope.spawn(move || {
                send(
                    record,
                    deployment,
                    number % count,
                    &format!("harmful-first-{number}"),
                    PART,
                )
            });
        }
    });
    thread::sleep(Duration::from_millis(500));
    let crashes = runners.crashes();
    let Some(fifth_at) = crashes.get(4).copied() else {
        return Err(format!("only {} runners crashed at first", crashes.len()));
    };
    record.show(&format!(
        "{} crashes; the fifth at {fifth_at:.3} s",
        crashes.len()
    ));
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
        send(
            record,
            deployment,
            number * 3 % count,
            &format!("harmful-later-{number}"),
            PART,
        );
        for index in 0..count {
            send(
                record,
                deployment,
                index,
                &format!("sound-later-{number}-{index}"),
                "aa",
            );
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
    let late: Vec<_> = seen
        .arrivals
        .iter()
        .filter(|(at, _)| *at > bound_at)
        .collect();
    record.show(&format!(
        "{} requests with the part reached runners later than {bound_at:.3} s, sent by machines in touch: {late:?}; {MOST} \
         may; {} crashes in all",
        late.len(),
        seen.crashes.len()
    ));
    Ok(late.len() <= MOST)
}

fn send(record: &Record, deployment: &Deployment, index: usize, attempt: &str, part: &str) -> u16 {
    let own = attempt
        .bytes()
        .fold(17u64, |n, b| n.wrapping_mul(131).wrapping_add(u64::from(b)));
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
    record.line(&format!(
        "{attempt} sent to {}: {}",
        deployment.instances[index].name,
        client::describe(&answer)
    ));
    answer
        .ok()
        .flatten()
        .filter(|m| m.is_whole)
        .map_or(0, |m| m.status())
}

fn main() -> ExitCode {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("."), PathBuf::from);
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
