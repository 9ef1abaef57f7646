//! The store comes back from a copy that still has the entry of a server that has left.

use std::time::Duration;

use crate::cases::traffic::Traffic;
use crate::deploy::{self, Deployment, Route};
use crate::record::Record;

/// `drainMs`: how long after it was acknowledged that a server is gone a request may reach it.
const DRAIN: Duration = Duration::from_secs(4);

/// Time between two check-ins of a server, `heartbeatMs`.
const CHECK_IN: Duration = Duration::from_millis(1_200);

/// Servers; one of them leaves.
const SERVERS: usize = 8;

/// Clients, each with a kept channel.
const CLIENTS: usize = 32;

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
    let mut leaving = deployment
        .start_server("i-leaves", &["work_ms=300"])
        .map_err(error)?;
    let store = deployment.store.clone();
    store.put("servers/i-leaves", &leaving.entry("ready", 1, ""));
    let mut others = Vec::new();
    for n in 1..SERVERS {
        let id = format!("i-{n}");
        let server = deployment
            .start_server(&id, &["work_ms=300"])
            .map_err(error)?;
        store.put(&format!("servers/{id}"), &server.entry("ready", 1, ""));
        others.push(server);
    }
    deployment.start_instances(2)?;
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let traffic = Traffic::start(record, &fronts, CLIENTS, Duration::from_millis(30));
    let begun = record.now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    record.sleep_until(at(1_000));
    record.line("platform: a copy of the store is made");
    store.copy();
    record.sleep_until(at(2_000));
    // Some servers never report `draining`: their entry is removed, and they serve on for a while.
    record.line("platform: the entry of i-leaves is removed; it serves on");
    store.remove("servers/i-leaves");
    let removed_at = record.now();
    record.sleep_until(at(6_500));
    if trouble {
        record.line("platform: the store goes away");
        store.go_down();
    }
    record.sleep_until(at(7_500));
    if trouble {
        record.line("platform: the store comes back from the copy");
        store.restore();
    }
    let restored_at = record.now();
    // What the operator and the servers wrote is written again at the next check-in.
    record.sleep_until(restored_at + CHECK_IN);
    for server in &others {
        store.put(
            &format!("servers/{}", server.id),
            &server.entry("ready", 2, ""),
        );
    }
    if trouble {
        record.line("platform: the entry of i-leaves is removed again");
        store.remove("servers/i-leaves");
    }
    record.sleep_until(restored_at + CHECK_IN + Duration::from_millis(100));
    leaving.kill(record);
    record.sleep_until(restored_at + CHECK_IN * 2);
    let orders = traffic.stop()?;
    deployment.record_logs(&["upstream published", "entry gone", "store ", "era"]);
    let runs = deployment.runs.lock().expect("not poisoned").clone();
    let mut late = Vec::new();
    let mut lost = Vec::new();
    for (id, sent_at, seen) in &orders {
        let reached = runs.get(id).into_iter().flatten();
        let reached = reached.filter(|(server, _)| server == "i-leaves");
        if *sent_at > removed_at + DRAIN && reached.count() > 0 {
            late.push(id);
            if seen.status != 200 {
                lost.push(id);
            }
        }
    }
    record.line(format!(
        "result: {} orders of {} reached i-leaves later than drainMs after its entry was removed; {} of them failed when it ended",
        late.len(),
        orders.len(),
        lost.len()
    ));
    Ok(match late.len() {
        0 => String::new(),
        n => format!(
            "{n} orders reached a server later than drainMs after it was gone, {} were lost",
            lost.len()
        ),
    })
}
