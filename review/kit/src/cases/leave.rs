//! A server that is taken away at short notice ends in the middle of streams that only the end of their
//! channel frames.

use std::time::Duration;

use crate::deploy::{self, Deployment, Route};
use crate::http::{Client, End, Seen};
use crate::record::Record;

/// Servers; one of them leaves.
const SERVERS: usize = 8;

/// Streams at once, half of which may be resumed.
const STREAMS: usize = 64;

/// Events of a stream, one in 200 ms: four seconds.
const EVENTS: usize = 20;

/// Time from the notice until the server is gone.
const LEAVES: Duration = Duration::from_secs(2);

pub fn play(record: &Record, trouble: bool) -> Result<String, String> {
    let error = |e: std::io::Error| e.to_string();
    let mut deployment = Deployment::new(record).map_err(error)?;
    let route = |name, max_attempts, can_resume| Route {
        name,
        kind: "streaming",
        timeout_ms: 12_000,
        max_attempts,
        can_resume,
    };
    let routes = [route("stream", 2, true), route("stream-once", 1, false)];
    deployment
        .store
        .put("op/config", &deploy::config(1, &routes));
    let events = format!("events={EVENTS}");
    let options = [events.as_str(), "gap_ms=200", "framing=close"];
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let id = format!("i-{n}");
        let server = deployment.start_server(&id, &options).map_err(error)?;
        deployment
            .store
            .put(&format!("servers/{id}"), &server.entry("ready", 1, ""));
        servers.push(server);
    }
    deployment.start_instances(2)?;
    let begun = record.now();
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let front = deployment.instances[n % 2].front;
            let path = if n % 4 < 2 {
                "/stream/go"
            } else {
                "/stream-once/go"
            };
            let record = record.clone();
            std::thread::spawn(move || {
                stream(&record, front, path, &format!("{:016x}", 0xa100 + n))
            })
        })
        .collect();
    record.sleep_until(begun + Duration::from_millis(700));
    let leaves_ms = LEAVES.as_millis();
    let notice = servers[0].entry("draining", 2, &format!(",\"leavesMs\":{leaves_ms}"));
    record.line(format!(
        "platform: server i-0 is draining, leavesMs {leaves_ms}"
    ));
    deployment.store.put("servers/i-0", &notice);
    record.sleep_until(begun + Duration::from_millis(700) + LEAVES);
    if trouble {
        servers[0].kill(record);
        deployment.store.remove("servers/i-0");
    }
    let mut broken = Vec::new();
    for client in clients {
        let (id, events, seen) = client.join().map_err(|_| "a client failed")??;
        if seen.status == 200 && seen.end == End::Complete && events < EVENTS {
            broken.push(format!(
                "{id} ended as complete after {events} of {EVENTS} events"
            ));
        } else if !trouble && (seen.status, &seen.end) != (200, &End::Complete) {
            broken.push(format!("{id} was not answered: {seen:?}"));
        }
    }
    deployment.record_logs(&[
        "request ended",
        "stream broken",
        "upstream published",
        "entry gone",
    ]);
    Ok(broken.join("; "))
}

fn stream(
    record: &Record,
    front: std::net::SocketAddr,
    path: &str,
    id: &str,
) -> Result<(String, usize, Seen), String> {
    let mut client = Client::connect(front).map_err(|e| e.to_string())?;
    record.line(format!("client: sends {id} {path} to {front}"));
    let seen = client.exchange(&deploy::request("POST", path, id, 12_000, b"{}"));
    let events = String::from_utf8_lossy(&seen.body)
        .matches("data: ")
        .count();
    record.line(format!(
        "client: {id} {path} gets {}, {events} of {EVENTS} events, {:?}",
        seen.status, seen.end
    ));
    Ok((id.to_owned(), events, seen))
}
