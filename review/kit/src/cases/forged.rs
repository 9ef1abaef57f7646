//! Another writer writes an entry without `born` for a server that has reported `draining`.

use std::time::Duration;

use crate::cases::traffic::Traffic;
use crate::deploy::{self, Deployment, Route};
use crate::record::Record;

/// `drainMs`: how long after it was acknowledged that a server is draining a request may reach it.
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
    record.line("platform: i-leaves reports draining");
    store.put("servers/i-leaves", &leaving.entry("draining", 2, ""));
    let drained_at = record.now();
    record.sleep_until(at(5_500));
    if trouble {
        record.line("platform: another writer writes the entry, without born");
        store.put(
            "servers/i-leaves",
            &leaving.entry_without_born("ready", 3, ""),
        );
    }
    record.sleep_until(at(5_500) + CHECK_IN);
    record.line("platform: i-leaves checks in");
    store.put("servers/i-leaves", &leaving.entry("draining", 3, ""));
    record.sleep_until(at(5_600) + CHECK_IN);
    leaving.kill(record);
    store.remove("servers/i-leaves");
    record.sleep_until(at(8_500));
    let orders = traffic.stop()?;
    deployment.record_logs(&["upstream published", "entry", "era"]);
    let runs = deployment.runs.lock().expect("not poisoned").clone();
    let mut late = Vec::new();
    let mut lost = Vec::new();
    for (id, sent_at, seen) in &orders {
        let reached = runs.get(id).into_iter().flatten();
        let reached = reached.filter(|(server, _)| server == "i-leaves");
        if *sent_at > drained_at + DRAIN && reached.count() > 0 {
            late.push(id);
            if seen.status != 200 {
                lost.push(id);
            }
        }
    }
    record.line(format!(
        "result: {} orders of {} reached i-leaves later than drainMs after it reported draining; {} of them failed when it ended",
        late.len(),
        orders.len(),
        lost.len()
    ));
    Ok(match late.len() {
        0 => String::new(),
        n => format!(
            "{n} orders reached a draining server later than drainMs, {} were lost",
            lost.len()
        ),
    })
}
