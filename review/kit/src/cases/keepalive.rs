//! A server states a very long time in `Keep-Alive`.

use std::time::Duration;

use crate::cases::traffic::Traffic;
use crate::deploy::{self, Deployment, Route};
use crate::http::End;
use crate::record::Record;

/// Requests that the rule allows to be lost.
const ALLOWED: usize = 3;

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
    let seconds = if trouble { i64::MAX } else { 60 };
    let header = format!("header=Keep-Alive: timeout={seconds}");
    let server = deployment.start_server("i-1", &[&header]).map_err(error)?;
    deployment
        .store
        .put("servers/i-1", &server.entry("ready", 1, ""));
    deployment.start_instances(2)?;
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let traffic = Traffic::start(record, &fronts, 4, Duration::from_millis(100));
    std::thread::sleep(Duration::from_secs(4));
    let orders = traffic.stop()?;
    deployment.record_logs(&["panicked", "overflow"]);
    let runs = deployment.runs.lock().expect("not poisoned").clone();
    let lost = orders
        .iter()
        .filter(|(id, _, seen)| runs.contains_key(id) && matches!(seen.end, End::NoAnswer(_)));
    let lost = lost.count();
    record.line(format!(
        "result: {lost} of {} orders were run and not answered",
        orders.len()
    ));
    Ok(match lost > ALLOWED {
        true => format!(
            "{lost} of {} orders were run and their channels closed without an answer",
            orders.len()
        ),
        false => String::new(),
    })
}
