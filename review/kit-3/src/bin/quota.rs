//! One customer sends many times its usual for a while: some large requests at the same moment. Checks how many of its
//! tokens run within a window.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_kit_3::client::{self, Request};
use review_kit_3::fleet::Fleet;
use review_kit_3::has_trouble;
use review_kit_3::http::Head;
use review_kit_3::record::Record;
use review_kit_3::runner::{Behaviour, Runner, Work};
use review_kit_3::store::Store;

const HOST: &str = "lumi.example";
const KEY: &str = "k3y0of0rosa0000000000";
/// `ratePerS` and `burst` of the customer.
const RATE: f64 = 4_000.0;
const BURST: f64 = 8_000.0;
/// `quotaWindowS`, `quotaOver` and `quotaSlack` of the settings.
const WINDOW_S: f64 = 8.0;
const OVER: f64 = 0.25;
const SLACK: f64 = 72_000.0;
/// Tokens of a usual request, of which two come each second, in turn at each instance.
const USUAL_TOKENS: u64 = 1_850;
const USUAL_S: f64 = 60.0;
/// Pause after the usual requests.
const PAUSE_S: f64 = 12.0;
const LARGE_TOKENS: u64 = 24_000;
/// Time in which the large requests, one at each instance, are less than 7.5 times the usual, pause included.
const HOT_S: f64 = 6.5;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"statement","host":"lumi.example","prefix":"/statement/",
"kind":"streaming","timeoutMs":5000,"targetLatencyMs":800,"gapAimMs":400,"priority":1,"service":"reparto-llm",
"maxAttempts":1,"public":false,"canResume":false,"allowedRegions":[]}],
"services":[{"name":"reparto-llm","healthPath":"/healthz","maxConns":620,"warmupS":0,"warmupPerS":0,
"engine":{"slots":128,"kvTokens":369295}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"rosa","apiKeys":["k3y0of0rosa0000000000"],"unit":"token_count","plainTokens":200,
"ratePerS":4000,"burst":8000,"allowedRegions":[]}]}"#;

/// A request that ran: when it was sent, when it arrived, and its tokens.
#[derive(Clone, Copy)]
struct Arrival {
    sent_at: f64,
    at: f64,
    tokens: u64,
}

/// Reads when a request was sent, which its path holds, and its tokens.
fn read(head: &Head, at: f64) -> Option<Arrival> {
    let sent_at = head.target().rsplit('/').next()?.parse().ok()?;
    let (input, output) = head.header("token-count")?.split_once(',')?;
    let tokens = input.parse::<u64>().ok()? + output.parse::<u64>().ok()?;
    Some(Arrival {
        sent_at,
        at,
        tokens,
    })
}

/// Returns the most tokens that were sent and have arrived within one window, and when it began.
fn most_in_window(arrivals: &[Arrival]) -> (u64, f64) {
    let sum = |from: f64| {
        let inside = |a: &&Arrival| a.sent_at >= from && a.at <= from + WINDOW_S;
        (arrivals.iter().filter(inside).map(|a| a.tokens).sum(), from)
    };
    let begins = arrivals.iter().map(|a| a.sent_at);
    begins
        .map(sum)
        .max_by_key(|(tokens, _)| *tokens)
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
    let mut runners = Vec::new();
    for (id, zone) in [
        ("i-a1", "lima-a"),
        ("i-b2", "lima-a"),
        ("i-c3", "piura-a"),
        ("i-d4", "piura-a"),
        ("i-e5", "ancash-a"),
        ("i-f6", "ancash-a"),
    ] {
        let (seen, clock) = (arrivals.clone(), record.clone());
        let work_of = move |head: &Head| {
            if let (Some(arrival), Ok(mut seen)) = (read(head, clock.now()), seen.lock()) {
                seen.push(arrival);
            }
            Work::Stream(3)
        };
        let behaviour = Behaviour {
            down_time: Duration::ZERO,
            warmup: Duration::ZERO,
            work_of,
        };
        runners.push(Runner::start(
            (id, "127.0.0.1"),
            ("reparto-llm", zone),
            &store,
            &record,
            behaviour,
        )?);
    }
    let zones = [
        ("lima-a", "lima"),
        ("lima-a", "lima"),
        ("piura-a", "piura"),
        ("piura-a", "piura"),
        ("ancash-a", "ancash"),
        ("ancash-a", "ancash"),
    ];
    let fleet = Fleet::start(program, &zones, zones.len(), store.address)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the instances are not ready in time");
        return Ok(ExitCode::from(2));
    }
    let began_at = record.now();
    let callers = fleet.callers();
    let send = |n: usize, tokens: u64| {
        let (to, record) = (callers[n % callers.len()], record.clone());
        thread::spawn(move || {
            let sent_at = record.now();
            let id = client::new_id();
            let prompt = format!("f0000001:{},{}:{}", tokens / 2, &id[4..], tokens / 2 - 60);
            let req = Request {
                method: "POST",
                path: format!("/statement/{sent_at:.4}"),
                headers: vec![
                    ("Model", "m".into()),
                    ("Token-Count", format!("{},60", tokens - 60)),
                    ("Prompt-Prefix", prompt),
                ],
                body: format!("{{\"trip\":\"{id}\"}}"),
                deadline_ms: 5_000,
                id,
            };
            record.line(&format!("{} of {tokens} tokens sent to {to}", req.id));
            let answer = client::send(to, HOST, KEY, &req, |_| {});
            record.line(&format!(
                "{} answered {} whole={}",
                req.id, answer.status, answer.is_whole
            ));
            answer.status
        })
    };
    let wait_until = |at: f64| {
        let ahead = began_at + at - record.now();
        thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
    };
    let mut usual = Vec::new();
    for n in 0.. {
        let at = f64::from(n) * 0.5;
        if at >= USUAL_S {
            break;
        }
        wait_until(at);
        usual.push(send(n as usize, USUAL_TOKENS));
    }
    wait_until(USUAL_S + PAUSE_S);
    if has_trouble() {
        record.line("the customer sends many times its usual");
        let large: Vec<_> = (0..callers.len()).map(|n| send(n, LARGE_TOKENS)).collect();
        for thread in large {
            let _ = thread.join();
        }
    }
    wait_until(USUAL_S + PAUSE_S + HOT_S);
    let statuses: Vec<u16> = usual.into_iter().flat_map(|t| t.join()).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    let arrivals = arrivals.lock().map(|a| a.clone()).unwrap_or_default();
    let (most, from) = most_in_window(&arrivals);
    let bound = (RATE * WINDOW_S + BURST) * (1.0 + OVER) + SLACK;
    let large = arrivals.iter().filter(|a| a.tokens == LARGE_TOKENS).count();
    record.say(&format!(
        "{served} of {} usual requests and {large} large ones have run; at most {most} tokens within {WINDOW_S} s (from {from:.2} on); \
         allowed are {bound}",
        statuses.len()
    ));
    if served == 0 {
        record.say("nothing was served");
        return Ok(ExitCode::from(2));
    }
    // CAST: far below 2^53.
    let is_broken = most as f64 > bound;
    record.say(if is_broken {
        "QUOTA is broken"
    } else {
        "QUOTA holds"
    });
    Ok(ExitCode::from(u8::from(is_broken)))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
