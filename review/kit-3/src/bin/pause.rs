//! Sound requests pause for a while. When they come again, requests with a part that crashes runners come too.
//! Checks that the sound ones still begin.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
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
/// Events of a sound stream, one each 100 ms.
const EVENTS: u32 = 60;
/// `contactMs` of the settings.
const CONTACT_S: f64 = 6.0;
const PAUSE_S: f64 = 18.5;
const BASE_S: f64 = 10.0;
const TROUBLE_S: f64 = 55.0;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"statement","host":"lumi.example","prefix":"/statement/",
"kind":"streaming","timeoutMs":12000,"targetLatencyMs":800,"gapAimMs":400,"priority":1,"service":"reparto-llm",
"maxAttempts":1,"public":false,"canResume":false,"allowedRegions":[]}],
"services":[{"name":"reparto-llm","healthPath":"/healthz","maxConns":620,"warmupS":0,"warmupPerS":0,
"engine":{"slots":128,"kvTokens":369295}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"rosa","apiKeys":["k3y0of0rosa0000000000"],"unit":"token_count","plainTokens":200,
"ratePerS":1000000,"burst":1000000,"allowedRegions":[]}]}"#;

/// A sound request: when it was sent, and whether it began.
struct Sound {
    sent_at: f64,
    began: bool,
}

fn request(is_harmful: bool) -> Request {
    let id = client::new_id();
    let own = format!("{}:60", &id[4..]);
    let prompt = match is_harmful {
        true => format!("{SHARED_PART}:900,{HARMFUL_PART}:300,{own}"),
        false => format!("{SHARED_PART}:900,{own}"),
    };
    Request {
        method: "POST",
        path: format!("/statement/{id}"),
        headers: vec![
            ("Model", "m".into()),
            ("Token-Count", "1260,400".into()),
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
    let crashed_at: Arc<Mutex<Vec<f64>>> = Arc::default();
    let mut runners = Vec::new();
    for (id, ip) in [
        ("i-a1", "127.0.0.1"),
        ("i-b2", "127.0.0.1"),
        ("i-c3", "127.0.0.1"),
    ] {
        let (crashed_at, seen) = (crashed_at.clone(), record.clone());
        let work_of = move |head: &review_kit_3::http::Head| {
            let prompt = head.header("prompt-prefix").unwrap_or("");
            match prompt.contains(HARMFUL_PART) {
                true => {
                    crashed_at.lock().map(|mut c| c.push(seen.now())).ok();
                    Work::Crash
                }
                false => Work::Stream(EVENTS),
            }
        };
        let place = ("reparto-llm", "lima-a");
        let behaviour = Behaviour {
            down_time: Duration::from_secs(3),
            warmup: Duration::ZERO,
            work_of,
        };
        runners.push(Runner::start((id, ip), place, &store, &record, behaviour)?);
    }
    let zones = [("lima-a", "lima"), ("lima-a", "lima")];
    let fleet = Fleet::start(program, &zones, zones.len(), store.address)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the instances are not ready in time");
        return Ok(ExitCode::from(2));
    }
    thread::sleep(Duration::from_secs(1));
    let callers = fleet.callers();
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let harmful_sent = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    let began_at = record.now();
    let end = BASE_S + PAUSE_S + TROUBLE_S;
    let mut tick = 0_u32;
    loop {
        let at = f64::from(tick) * 0.2;
        if at >= end {
            break;
        }
        let ahead = began_at + at - record.now();
        thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
        let is_late = at >= BASE_S + PAUSE_S;
        let sounds = if tick.is_multiple_of(5) && (at < BASE_S || is_late) {
            3
        } else {
            0
        };
        let harmful = u32::from(is_late && has_trouble());
        for n in 0..sounds + harmful {
            let is_harmful = n >= sounds;
            let to =
                callers[(tick as usize / 5 + n as usize + usize::from(is_harmful) * tick as usize)
                    % callers.len()];
            let (record, sound, sent) = (record.clone(), sound.clone(), harmful_sent.clone());
            threads.push(thread::spawn(move || {
                let req = request(is_harmful);
                let kind = if is_harmful { "harmful" } else { "sound" };
                let sent_at = record.now();
                record.line(&format!("{kind} {} sent to {to}", req.id));
                if is_harmful {
                    sent.fetch_add(1, Ordering::Relaxed);
                }
                let mut began = false;
                let answer = client::send(to, HOST, KEY, &req, |status| began = status == 200);
                let (status, is_whole) = (answer.status, answer.is_whole);
                let text = match status {
                    200 => String::new(),
                    _ => String::from_utf8_lossy(&answer.body).into_owned(),
                };
                record.line(&format!(
                    "{kind} {} answered {status} whole={is_whole} began={began} {text}",
                    req.id
                ));
                if !is_harmful && let Ok(mut sound) = sound.lock() {
                    sound.push(Sound { sent_at, began });
                }
            }));
        }
        tick += 1;
    }
    for thread in threads {
        let _ = thread.join();
    }
    for line in fleet.log_lines(&["quarantine changed", " trial"]) {
        record.line(&format!("log {line}"));
    }
    let crashed_at = crashed_at.lock().map(|c| c.clone()).unwrap_or_default();
    let crashes: u64 = runners.iter().map(|r| r.crashes()).sum();
    let sound = sound
        .lock()
        .map(|mut s| std::mem::take(&mut *s))
        .unwrap_or_default();
    let trouble_at = began_at + BASE_S + PAUSE_S;
    let counted_crash = crashed_at
        .get(4)
        .or(crashed_at.last())
        .copied()
        .unwrap_or(trouble_at);
    let from = counted_crash + 2.0 * CONTACT_S;
    let share = |of: &dyn Fn(&Sound) -> bool| {
        let of: Vec<&Sound> = sound.iter().filter(|s| of(s)).collect();
        (of.iter().filter(|s| s.began).count(), of.len())
    };
    let (base_began, base) = share(&|s| s.sent_at < trouble_at - 1.0);
    let (began, late) = share(&|s| s.sent_at >= from);
    record.say(&format!(
        "{crashes} crashes, {} harmful requests sent; sound ones that began: {base_began} of {base} before, \
         {began} of {late} from {:.1} s after the counted crash on",
        harmful_sent.load(Ordering::Relaxed),
        2.0 * CONTACT_S
    ));
    if base < 20 || late < 20 || base_began == 0 {
        record.say("too few requests to judge");
        return Ok(ExitCode::from(2));
    }
    // Less than half as often.
    let is_broken = 2 * began * base < base_began * late;
    record.say(if is_broken {
        "LOST is broken"
    } else {
        "LOST holds"
    });
    Ok(ExitCode::from(u8::from(is_broken)))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
