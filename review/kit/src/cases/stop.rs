//! A planned stop of an instance, while clients send requests that take most of their time budget.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::deploy::{self, Deployment, Route};
use crate::http::{Client, End};
use crate::record::Record;

/// Time from SIGTERM to SIGKILL, `graceS`.
const GRACE: Duration = Duration::from_secs(8);

/// Time until a request has its answer; its route's time-out and its time budget are 6 s.
const WORK_MS: u64 = 4_750;

/// When the requests are sent, in milliseconds after SIGTERM. The rule excuses those sent in the first 3 s that
/// are still at work in the last sixth of `graceS`.
const SENT_MS: (u64, u64) = (3_020, 3_180);

/// Clients, each with one request.
const CLIENTS: u64 = 24;

pub fn play(record: &Record, trouble: bool) -> Result<String, String> {
    let error = |e: std::io::Error| e.to_string();
    let mut deployment = Deployment::new(record).map_err(error)?;
    let routes = [Route {
        name: "order",
        kind: "non_idempotent",
        timeout_ms: 6_000,
        max_attempts: 1,
        can_resume: false,
    }];
    deployment
        .store
        .put("op/config", &deploy::config(1, &routes));
    let work = format!("work_ms={WORK_MS}");
    let server = deployment.start_server("i-1", &[&work]).map_err(error)?;
    deployment
        .store
        .put("servers/i-1", &server.entry("ready", 1, ""));
    deployment.start_instances(2)?;
    let front = deployment.instances[0].front;
    // Kept channels, which carried a request before. 404 needs no server.
    let mut kept = Vec::new();
    for n in 0..CLIENTS {
        let mut client = Client::connect(front).map_err(error)?;
        let request = deploy::request(
            "GET",
            "/none/go",
            &format!("{:016x}", 0xd000 + n),
            6_000,
            b"",
        );
        let seen = client.exchange(&request);
        if seen.status != 404 {
            return Err(format!("a channel cannot be kept: {seen:?}"));
        }
        kept.push(client);
    }
    let stopped = record.now();
    if trouble {
        deployment.instances[0].signal("TERM", record);
    }
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            let (record, lost, n) = (record.clone(), lost.clone(), n as u64);
            std::thread::spawn(move || {
                let at = SENT_MS.0 + (SENT_MS.1 - SENT_MS.0) * n / CLIENTS;
                record.sleep_until(stopped + Duration::from_millis(at));
                let id = format!("{:016x}", 0xe000 + n);
                record.line(format!("client: sends order {id}"));
                let request = deploy::request("POST", "/order/go", &id, 6_000, b"{}");
                let seen = client.exchange(&request);
                record.line(format!(
                    "client: order {id} gets {}, {:?}",
                    seen.status, seen.end
                ));
                if seen.end != End::Complete {
                    lost.lock().expect("not poisoned").push(id);
                }
            })
        })
        .collect();
    if trouble {
        record.sleep_until(stopped + GRACE);
        deployment.instances[0].signal("KILL", record);
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    std::thread::sleep(Duration::from_millis(300));
    let runs = deployment.runs.lock().expect("not poisoned").clone();
    let lost = lost.lock().expect("not poisoned").clone();
    let passed = lost.iter().filter(|id| runs.contains_key(*id)).count();
    deployment.record_logs(&["draining", "stopped"]);
    record.line(format!(
        "result: {} lost, {passed} of which a server ran",
        lost.len()
    ));
    Ok(match passed {
        0 => String::new(),
        n => format!("{n} orders that a server had got ended without an answer"),
    })
}
