//! All instances are killed at the same moment while a request that crashes servers keeps coming again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::cases::traffic::Traffic;
use crate::deploy::{self, Deployment, Route, Server};
use crate::http::{Client, End};
use crate::record::Record;

/// Servers.
const SERVERS: usize = 8;

/// Time until a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// Time after which the store removes the entry of a server that is silent: three check-ins.
const LAPSE: Duration = Duration::from_millis(3_600);

/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(6);

/// When the harmful request comes for the first time, how often it comes again, and until when.
const FIRST: Duration = Duration::from_secs(1);
const EVERY: Duration = Duration::from_secs(8);
const UNTIL: Duration = Duration::from_secs(70);

/// When all instances are killed, and when they start again.
const KILLED: Duration = Duration::from_millis(33_500);
const STARTED: Duration = Duration::from_millis(34_500);

/// Sends of the harmful request that the rule allows.
const ALLOWED: usize = 3;

pub fn play(record: &Record, trouble: bool) -> Result<String, String> {
    let error = |e: std::io::Error| e.to_string();
    let mut deployment = Deployment::new(record).map_err(error)?;
    let route = |name| Route {
        name,
        kind: "non_idempotent",
        timeout_ms: 6_000,
        max_attempts: 1,
        can_resume: false,
    };
    let routes = [route("order"), route("harm")];
    deployment
        .store
        .put("op/config", &deploy::config(1, &routes));
    let deployment_servers: Vec<Server> = (0..SERVERS)
        .map(|n| deployment.start_server(&format!("i-{n}"), &["work_ms=30", "deadly=/harm/"]))
        .collect::<Result<_, _>>()
        .map_err(error)?;
    for server in &deployment_servers {
        let key = format!("servers/{}", server.id);
        deployment.store.put(&key, &server.entry("ready", 1, ""));
    }
    deployment.start_instances(2)?;
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let begun = record.now();
    let traffic = Traffic::start(record, &fronts, 4, Duration::from_millis(200));
    let done = Arc::new(AtomicBool::new(false));
    // When each harmful request was sent.
    let sent: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let sender = {
        let (record, sent, done) = (record.clone(), sent.clone(), done.clone());
        std::thread::spawn(move || {
            for n in 0_u32.. {
                let at = FIRST + EVERY * n;
                if at > UNTIL || done.load(Ordering::Relaxed) {
                    return;
                }
                record.sleep_until(begun + at);
                let id = format!("{:016x}", 0xdead_0000 + n);
                let front = fronts[n as usize % fronts.len()];
                let Ok(mut client) = Client::connect(front) else {
                    record.line(format!("client: harmful {id} finds no connection"));
                    continue;
                };
                sent.lock()
                    .expect("not poisoned")
                    .push((id.clone(), record.now()));
                let request = deploy::request("POST", "/harm/go", &id, 6_000, b"{\"same\":1}");
                let seen = client.exchange(&request);
                record.line(format!(
                    "client: harmful {id} gets {}, {:?}",
                    seen.status, seen.end
                ));
            }
        })
    };
    let mut servers: Vec<(Server, Option<Duration>)> =
        deployment_servers.into_iter().map(|s| (s, None)).collect();
    let mut crashes = Vec::new();
    let (mut killed, mut started) = (!trouble, !trouble);
    let mut lapsing: Vec<(String, Duration)> = Vec::new();
    let mut generation = SERVERS;
    while record.now() < begun + UNTIL + Duration::from_secs(2) {
        let now = record.now();
        for (server, ended_at) in &mut servers {
            if ended_at.is_none() && server.has_ended() {
                record.line(format!("platform: server {} has crashed", server.id));
                crashes.push(now);
                lapsing.push((server.id.clone(), now + LAPSE));
                *ended_at = Some(now);
            }
            if ended_at.is_some_and(|at| now > at + BACK_AFTER) {
                let id = format!("i-{generation}");
                generation += 1;
                let port = format!("port={}", server.address.port());
                let options = ["work_ms=30", "deadly=/harm/", &port];
                *server = deployment.start_server(&id, &options).map_err(error)?;
                let key = format!("servers/{id}");
                deployment.store.put(&key, &server.entry("ready", 1, ""));
                *ended_at = None;
            }
        }
        for (id, _) in lapsing.iter().filter(|(_, at)| now > *at) {
            deployment.store.remove(&format!("servers/{id}"));
        }
        lapsing.retain(|(_, at)| now <= *at);
        if !killed && now > begun + KILLED {
            for instance in &mut deployment.instances {
                instance.signal("KILL", record);
            }
            killed = true;
        }
        if !started && now > begun + STARTED {
            deployment.restart_instances()?;
            started = true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    done.store(true, Ordering::Relaxed);
    sender.join().map_err(|_| "a client failed")?;
    let orders = traffic.stop()?;
    deployment.record_logs(&["quarantine changed", "answer broke off", "started"]);
    let third = *crashes
        .get(2)
        .ok_or("the harmful request has not crashed three servers")?;
    let in_touch = |at: Duration| !trouble || at < begun + KILLED || at > begun + STARTED + CONTACT;
    let runs = deployment.runs.lock().expect("not poisoned").clone();
    let counted: Vec<String> = sent
        .lock()
        .expect("not poisoned")
        .iter()
        .filter(|(id, at)| runs.contains_key(id) && *at > third + CONTACT && in_touch(*at))
        .map(|(id, at)| format!("{id} at {:.1}", at.as_secs_f64()))
        .collect();
    let lost = orders.iter().filter(|(id, _, seen)| {
        runs.contains_key(id) && (seen.status != 200 || seen.end != End::Complete)
    });
    record.line(format!(
        "result: {} crashes; harmful requests that count: {counted:?}; {} sound orders failed at a server",
        crashes.len(),
        lost.count()
    ));
    Ok(match counted.len() > ALLOWED {
        true => format!(
            "a request that had crashed three servers was sent {} times more",
            counted.len()
        ),
        false => String::new(),
    })
}
