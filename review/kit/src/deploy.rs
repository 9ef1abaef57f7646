//! A small deployment on loopback: the store, servers and instances, each but the store a process of its own.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::record::Record;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Longest time until an instance is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub max_attempts: u32,
    pub can_resume: bool,
}

/// Returns the value of `op/config`. All routes lead to the service `app`.
pub fn config(version: u32, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{0}\",\"host\":\"{HOST}\",\"prefix\":\"/{0}/\",\"kind\":\"{1}\",\
                 \"timeoutMs\":{2},\"targetLatencyMs\":800,\"maxAttempts\":{3},\"priority\":1,\
                 \"service\":\"app\",\"public\":false,\"canResume\":{4},\"allowedRegions\":[]}}",
                r.name, r.kind, r.timeout_ms, r.max_attempts, r.can_resume
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"app\",\
         \"healthPath\":\"/healthz\",\"maxConns\":600,\"warmupS\":0,\"warmupPerS\":0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"],\
         \"unit\":\"token_count\",\"plainTokens\":200,\"ratePerS\":10000000,\"burst\":10000000,\
         \"allowedRegions\":[]}}]}}",
        routes.join(",")
    )
}

/// Returns a request with a key.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A server: this program in a process of its own.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    born: u64,
}

impl Server {
    /// Returns the value of its entry. `more` are further fields, each with a comma before it.
    pub fn entry(&self, state: &str, sequence: u32, more: &str) -> String {
        self.entry_without_born(state, sequence, &format!(",\"born\":{}{more}", self.born))
    }

    /// Returns the value of an entry that lacks `born`.
    pub fn entry_without_born(&self, state: &str, sequence: u32, more: &str) -> String {
        format!(
            "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"lima-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence}{more}}}",
            self.address
        )
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends it at once, whatever it runs.
    pub fn kill(&mut self, record: &Record) {
        record.line(format!("platform: server {} is gone (SIGKILL)", self.id));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An instance of the system.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Instance {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal with the command `kill`, unless the process has ended.
    pub fn signal(&mut self, name: &str, record: &Record) {
        if let Ok(Some(status)) = self.child.try_wait() {
            record.line(format!("platform: {} has ended with {status}", self.name));
            return;
        }
        record.line(format!("platform: SIG{name} to {}", self.name));
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a server says that it ran: by id of the attempt, the times at which it arrived.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<(String, Duration)>>>>;

/// What happens to the output of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Collector {
    /// It is read at once.
    Read,
    /// Its pipes stay open and are not read.
    Stalled,
    /// Its pipes are closed at the next output.
    Closed,
}

/// The deployment. Dropping it ends all its processes and removes its folder.
pub struct Deployment {
    pub store: Store,
    store_address: SocketAddr,
    pub instances: Vec<Instance>,
    pub runs: Runs,
    pub record: Record,
    collector: Arc<Mutex<(usize, Collector)>>,
    folder: PathBuf,
    ports: Vec<u16>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn instance_ip(number: usize) -> String {
    let process = std::process::id() % 200 + 20;
    format!("127.{process}.7.{}", number + 1)
}

impl Deployment {
    pub fn new(record: &Record) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (store, store_address) = Store::start(record)?;
        // All are bound until the last is chosen, so that they differ.
        let listeners: Vec<TcpListener> = (0..7)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let ports = listeners
            .iter()
            .map(|l| l.local_addr().map(|a| a.port()))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            store,
            store_address,
            instances: Vec::new(),
            runs: Runs::default(),
            record: record.clone(),
            collector: Arc::new(Mutex::new((0, Collector::Read))),
            folder,
            ports,
        })
    }

    /// Starts a server, which does not register itself. `options` say how it answers.
    pub fn start_server(&self, id: &str, options: &[&str]) -> std::io::Result<Server> {
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .arg("server")
            .arg(id)
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let first = lines
            .next()
            .unwrap_or_else(|| Err(std::io::ErrorKind::UnexpectedEof.into()))?;
        let address = first.parse().map_err(std::io::Error::other)?;
        let (record, runs, name) = (self.record.clone(), self.runs.clone(), id.to_owned());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(attempt) = line.strip_prefix("runs ") {
                    let attempt = attempt.split(' ').next().unwrap_or_default();
                    let mut runs = runs.lock().expect("not poisoned");
                    let entry = runs.entry(attempt.to_owned()).or_default();
                    entry.push((name.clone(), record.now()));
                }
                record.line(format!("server {name}: {line}"));
            }
        });
        let since_epoch = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        self.record
            .line(format!("platform: server {id} at {address}"));
        Ok(Server {
            id: id.to_owned(),
            address,
            child,
            born: since_epoch.as_millis() as u64,
        })
    }

    /// Starts all instances again, whose processes have ended.
    pub fn restart_instances(&mut self) -> Result<(), String> {
        for number in 0..self.instances.len() {
            self.instances[number] = self.start_instance(number).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Starts `count` instances in one zone with the command of the deploy file, and waits until they are ready.
    pub fn start_instances(&mut self, count: usize) -> Result<(), String> {
        for number in 0..count {
            let instance = self.start_instance(number).map_err(|e| e.to_string())?;
            self.instances.push(instance);
        }
        let started = Instant::now();
        for index in 0..count {
            while !self.is_ready(index) {
                if started.elapsed() > START_TIMEOUT {
                    return Err(format!("{} is not ready", self.instances[index].name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // Members of a region hear of each other within a few rounds.
        std::thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    /// Asks an instance whether it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        Client::connect(self.instances[index].ready).is_ok_and(|mut client| {
            let waits = client.wait_for(Duration::from_secs(1));
            waits.is_ok() && client.exchange(request).status == 200
        })
    }

    fn start_instance(&self, number: usize) -> std::io::Result<Instance> {
        let (ip, name) = (instance_ip(number), format!("edge-lima-a-{}", number + 1));
        let [callers, ready, directory, sync, hop, admin, tokens] = self.ports[..] else {
            return Err(std::io::Error::other("seven ports"));
        };
        let seeds: Vec<String> = (0..3)
            .map(|n| format!("\"{}:{sync}\"", instance_ip(n)))
            .collect();
        // As the deploy file's template is filled in for a small deployment.
        let settings = format!(
            "name = \"{name}\"\ndomain = \"lima-a\"\nip = \"{ip}\"\nseeds = [{}]\n\n\
             [domains]\n\"lima-a\" = \"lima\"\n\n[listen]\ncallers = \"{ip}:{callers}\"\n\
             ready = \"{ip}:{ready}\"\ndirectory = \"{ip}:{directory}\"\nsync = \"{ip}:{sync}\"\n\
             hop = \"{ip}:{hop}\"\ngossip = \"{ip}:{hop}\"\ntokens = \"{ip}:{tokens}\"\n\
             admin = \"{ip}:{admin}\"\n\n[store]\naddress = \"{}\"\n\n[dispatch]\n\
             min_pause = \"500ms\"\nprocessor_share = 0.25\n\n[limits]\nretry_ratio = 0.2\n\
             retry_slack = 56\nretry_window = \"10s\"\nquota_window = \"8s\"\nquota_over = 0.25\n\
             quota_slack = 72000\ncold_ratio = 1.5\ncold_slack = 3\n",
            seeds.join(", "),
            self.store_address
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log_path = self.folder.join(format!("{name}.log"));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log_path)?;
        let mut child = Command::new(Path::new("target/release/sesamebarrow"))
            .args(["routed", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().expect("piped");
        let errors = child.stderr.take().expect("piped");
        self.collect(number, output, log.try_clone()?);
        self.collect(number, errors, log);
        let address = |port: u16| {
            format!("{ip}:{port}")
                .parse()
                .map_err(std::io::Error::other)
        };
        self.record
            .line(format!("platform: {name} starts, pid {}", child.id()));
        Ok(Instance {
            name,
            front: address(callers)?,
            ready: address(ready)?,
            child,
        })
    }

    /// Collects what an instance writes, as [`Self::set_collector`] says.
    fn collect(&self, number: usize, mut output: impl Read + Send + 'static, mut log: fs::File) {
        let disturbed = self.collector.clone();
        std::thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            loop {
                let (index, state) = *disturbed.lock().expect("not poisoned");
                if index == number && state == Collector::Closed {
                    return;
                }
                if index == number && state == Collector::Stalled {
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                }
                match output.read(&mut buf) {
                    Ok(count) if count > 0 => {
                        let _ = log.write_all(&buf[..count]);
                    }
                    _ => return,
                }
            }
        });
    }

    /// Sets how the log of the instance at `index` is collected; those of all others are read.
    pub fn set_collector(&self, index: usize, state: Collector) {
        self.record.line(format!(
            "platform: the log of {} is {state:?} from now on",
            self.instances[index].name
        ));
        *self.collector.lock().expect("not poisoned") = (index, state);
    }

    /// Adds the lines of the instances' logs that contain one of `words` to the record.
    pub fn record_logs(&self, words: &[&str]) {
        for instance in &self.instances {
            let path = self.folder.join(format!("{}.log", instance.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().filter(|l| words.iter().any(|w| l.contains(w))) {
                self.record
                    .line(format!("log of {}: {line}", instance.name));
            }
        }
    }
}
