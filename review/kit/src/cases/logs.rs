//! Whoever collects the log of one instance stops reading for a while, or ends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deploy::{self, Collector, Deployment, Route};
use crate::http::{Client, End};
use crate::record::Record;

/// `timeoutMs` of the route, and the time budget of its clients.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const BUDGET: Duration = Duration::from_secs(3);

/// Time after the time-out within which the rule wants an answer.
const LATE: Duration = Duration::from_millis(500);

/// Clients with kept channels, half of them at each instance, and the pause of each between two orders: 30 orders
/// a second and instance.
const CLIENTS: usize = 32;
const PAUSE: Duration = Duration::from_millis(500);

/// When the collector stops reading, and for how long.
const STALLS_AT: Duration = Duration::from_secs(3);
const STALLS_FOR: Duration = Duration::from_secs(20);

/// Requests that must be unanswered at their time-out for a verdict.
const MIN_UNANSWERED: usize = 8;

/// Plays the case. `state` is what becomes of the log.
pub fn play(record: &Record, trouble: bool, state: Collector) -> Result<String, String> {
    let error = |e: std::io::Error| e.to_string();
    let mut deployment = Deployment::new(record).map_err(error)?;
    let routes = [Route {
        name: "order",
        kind: "non_idempotent",
        timeout_ms: 1_500,
        max_attempts: 1,
        can_resume: false,
    }];
    deployment
        .store
        .put("op/config", &deploy::config(1, &routes));
    let mut servers = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let server = deployment
            .start_server(id, &["work_ms=30"])
            .map_err(error)?;
        deployment
            .store
            .put(&format!("servers/{id}"), &server.entry("ready", 1, ""));
        servers.push(server);
    }
    deployment.start_instances(2)?;
    let begun = record.now();
    let done = Arc::new(AtomicBool::new(false));
    // Instance, time until the answer, or `None` if the client gave up at the end of its time budget.
    let orders: Arc<Mutex<Vec<(usize, Option<Duration>)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, done, orders) = (record.clone(), done.clone(), orders.clone());
            let (instance, front) = (n % 2, deployment.instances[n % 2].front);
            std::thread::spawn(move || {
                let mut client = None;
                std::thread::sleep(PAUSE.mul_f64(n as f64 / CLIENTS as f64));
                for number in 0.. {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let kept = client.take().or_else(|| Client::connect(front).ok());
                    let Some(mut connected) = kept else {
                        std::thread::sleep(PAUSE);
                        continue;
                    };
                    if connected.wait_for(BUDGET).is_err() {
                        return;
                    }
                    let id = format!("{n:08x}{number:08x}");
                    let request = deploy::request("POST", "/order/go", &id, 3_000, b"{\"pay\":1}");
                    let sent_at = Instant::now();
                    let seen = connected.exchange(&request);
                    let took = sent_at.elapsed();
                    record.line(format!(
                        "client: order {id} at instance {} gets {} after {} ms, {:?}",
                        instance + 1,
                        seen.status,
                        took.as_millis(),
                        seen.end
                    ));
                    let answered = seen.end == End::Complete;
                    orders
                        .lock()
                        .expect("not poisoned")
                        .push((instance, answered.then_some(took)));
                    if answered {
                        client = Some(connected);
                    }
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    record.sleep_until(begun + STALLS_AT);
    if trouble {
        deployment.set_collector(0, state);
    }
    record.sleep_until(begun + STALLS_AT + STALLS_FOR);
    let ready = deployment.is_ready(0);
    record.line(format!(
        "platform: edge-lima-a-1 answers GET /readyz with 200: {ready}"
    ));
    done.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    if trouble && state == Collector::Stalled {
        deployment.set_collector(0, Collector::Read);
    }
    let orders = orders.lock().expect("not poisoned").clone();
    let of_instance = |index: usize| {
        let took = orders
            .iter()
            .filter(move |(i, _)| *i == index)
            .map(|(_, took)| *took);
        let unanswered = took
            .clone()
            .filter(|t| t.is_none_or(|t| t > TIMEOUT))
            .count();
        let late = took
            .clone()
            .filter(|t| t.is_none_or(|t| t > TIMEOUT + LATE))
            .count();
        (took.count(), unanswered, late)
    };
    for index in 0..2 {
        let (all, unanswered, late) = of_instance(index);
        record.line(format!(
            "result: {all} orders at instance {}, {unanswered} unanswered at the time-out, {late} of them 0.5 s later",
            index + 1
        ));
    }
    let (all, unanswered, late) = of_instance(0);
    Ok(
        match unanswered >= MIN_UNANSWERED && late * 2 > unanswered {
            true => format!(
                "{late} of {unanswered} orders that were unanswered at their time-out had no answer 0.5 s later, of {all}"
            ),
            false => String::new(),
        },
    )
}
