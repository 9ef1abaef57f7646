//! A part of a prompt crashes each runner that begins to answer it. The prompts of the caller, sound or not, have more
//! parts than the product tells apart. Usage: `long_prompts FOLDER`, with `TROUBLE=0` for runners that the part does not
//! crash. `PARTS` sets the number of parts, `CRASH=after` lets runners crash just after the end of their answer.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// Time between two requests with the part, and their number.
const HARMFUL_GAP: Duration = Duration::from_secs(3);
const HARMFUL_REQUESTS: usize = 16;
/// Parts of each prompt, unless the variable `PARTS` says another number.
const PARTS: usize = 40;
/// Time between two sound requests at each machine.
const SOUND_GAP: Duration = Duration::from_millis(1_500);
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
    let runners = Runners::new(
        &record,
        &store,
        SERVICE,
        if trouble { PART } else { "none" },
    );
    for (region, _) in REGIONS {
        (0..RUNNERS_PER_REGION).for_each(|_| runners.keep_up(region));
    }
    thread::sleep(Duration::from_millis(500));
    let result = Deployment::start(&record, store.address, &REGIONS).map_err(|e| e.to_string());
    let result = result.and_then(|mut deployment| play(&record, &mut deployment, &runners));
    runners.end();
    result
}

fn play(
    record: &Record,
    deployment: &mut Deployment,
    runners: &Arc<Runners>,
) -> Result<bool, String> {
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err("the instances are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs_f64(CONTACT_S));
    let count = deployment.instances.len();
    for index in 0..count {
        if send(
            record,
            deployment,
            index,
            &format!("sound-first-{index}"),
            "aa",
        ) != 200
        {
            return Err("not every instance serves before the disruption".to_owned());
        }
    }
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for index in 0..count {
            let (deployment, stop) = (&*deployment, &stop);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    send(
                        record,
                        deployment,
                        index,
                        &format!("sound-{index}-{number}"),
                        "aa",
                    );
                    thread::sleep(SOUND_GAP);
                }
            });
        }
        for number in 0..HARMFUL_REQUESTS {
            send(
                record,
                deployment,
                number * 3 % count,
                &format!("harmful-{number}"),
                PART,
            );
            thread::sleep(HARMFUL_GAP);
        }
        stop.store(true, Ordering::Relaxed);
    });
    if !deployment.all_run() {
        return Err("an instance has ended by itself".to_owned());
    }
    let crashes = runners.crashes();
    let Some(fifth_at) = crashes.get(4) else {
        record.show(&format!(
            "{} crashes; the bound holds from the fifth on",
            crashes.len()
        ));
        return Ok(true);
    };
    let bound_at = fifth_at + CONTACT_S;
    let seen = runners.seen.lock().expect("not poisoned");
    let late = seen
        .arrivals
        .iter()
        .filter(|(at, _)| *at > bound_at)
        .count();
    record.show(&format!(
        "{late} of {HARMFUL_REQUESTS} requests with the part reached runners later than {bound_at:.3} s, {CONTACT_S} s \
         after the fifth crash; {MOST} may; {} crashes in all",
        crashes.len()
    ));
    Ok(late <= MOST)
}

/// Returns a prompt whose parts are shared but the last one; the one in the middle is `part`.
fn prompt(part: &str, own: u64) -> String {
    let count = std::env::var("PARTS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(PARTS);
    let parts = (1..count).map(|number| match number {
        _ if number == count / 2 => format!("{part}:225"),
        _ => format!("{:x}:225", 0xc0de_0000_u64 + number as u64),
    });
    parts
        .chain([format!("{own:x}:225")])
        .collect::<Vec<_>>()
        .join(",")
}

fn send(record: &Record, deployment: &Deployment, index: usize, attempt: &str, part: &str) -> u16 {
    let own = attempt
        .bytes()
        .fold(17u64, |n, b| n.wrapping_mul(131).wrapping_add(u64::from(b)));
    let prefix = prompt(part, own);
    let headers = [
        ("host", HOST),
        ("attempt-id", attempt),
        ("deadline-ms", "5000"),
        ("model", "m"),
        ("token-count", "9000,54"),
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
