//! Instances as separate processes, with settings as the platform fills them in.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;

/// Ports, the same for all instances: callers, readiness, directory, sync, and two of the range.
type Ports = [u16; 6];

pub struct Instance {
    pub name: String,
    pub ip: String,
    settings: PathBuf,
    process: Option<Child>,
}

pub struct Fleet {
    pub instances: Vec<Instance>,
    ports: Ports,
    program: PathBuf,
    folder: PathBuf,
}

fn choose_ports() -> io::Result<Ports> {
    let mut listeners = Vec::new();
    let mut ports = [0; 6];
    for port in &mut ports {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

impl Fleet {
    /// Starts an instance in each of the first `started` of `zones`, which are pairs of a zone and its region. The others
    /// are spare.
    pub fn start(
        program: PathBuf,
        zones: &[(&str, &str)],
        started: usize,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let ports = choose_ports()?;
        let network = 16 + std::process::id() % 200;
        let ip = |index: usize| format!("127.{network}.1.{}", index + 1);
        let mut fleet_seeds = Vec::new();
        for index in 0..zones.len().min(3) {
            fleet_seeds.push(format!("\"{}:{}\"", ip(index), ports[3]));
        }
        let seeds = fleet_seeds.join(", ");
        let mut domains: Vec<String> = zones
            .iter()
            .map(|(z, r)| format!("\"{z}\" = \"{r}\""))
            .collect();
        domains.sort();
        domains.dedup();
        let mut fleet = Self {
            instances: Vec::new(),
            ports,
            program,
            folder,
        };
        for (index, (zone, _)) in zones.iter().enumerate() {
            let (ip, name) = (ip(index), format!("edge-{zone}-{index}"));
            let [callers, ready, directory, sync, first, last] = ports;
            let text = format!(
                "name = \"{name}\"\ndomain = \"{zone}\"\nip = \"{ip}\"\nseeds = [{seeds}]\n\n[domains]\n{}\n\n\
                 [listen]\ncallers = \"{ip}:{callers}\"\nready = \"{ip}:{ready}\"\ndirectory = \"{ip}:{directory}\"\n\
                 sync = \"{ip}:{sync}\"\nhop = \"{ip}:{first}\"\ngossip = \"{ip}:{first}\"\ntokens = \"{ip}:{last}\"\n\
                 admin = \"{ip}:{last}\"\n\n[store]\naddress = \"{store}\"\n\n[memory]\nprocess_mib = 260\n\n\
                 [dispatch]\nmin_pause = \"500ms\"\nprocessor_share = 0.25\n\n[limits]\nretry_ratio = 0.2\n\
                 retry_slack = 56\nretry_window = \"10s\"\nquota_window = \"8s\"\nquota_over = 0.25\n\
                 quota_slack = 72000\ncold_ratio = 1.5\ncold_slack = 3\n",
                domains.join("\n"),
            );
            let settings = fleet.folder.join(format!("{name}.toml"));
            fs::write(&settings, text)?;
            fleet.instances.push(Instance {
                name,
                ip,
                settings,
                process: None,
            });
        }
        for index in 0..started.min(zones.len()) {
            fleet.start_instance(index)?;
        }
        Ok(fleet)
    }

    /// Starts the process of an instance that does not run.
    pub fn start_instance(&mut self, index: usize) -> io::Result<()> {
        let instance = &mut self.instances[index];
        let log = self.folder.join(format!("{}.log", instance.name));
        let log = File::options().create(true).append(true).open(log)?;
        let process = Command::new(&self.program)
            .arg("routed")
            .arg("--settings")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // For whoever has to end it if this program can't.
        let ids = self.folder.with_file_name("pids");
        let mut ids = File::options().create(true).append(true).open(ids)?;
        writeln!(ids, "{}", process.id())?;
        instance.process = Some(process);
        Ok(())
    }

    /// Ends the process of an instance with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut process) = self.instances[index].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal, by its name, to the process of an instance.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(process) = &self.instances[index].process {
            let id = process.id().to_string();
            let _ = Command::new("kill").args(["-s", signal, &id]).status();
        }
    }

    /// Writes other seeds into the settings of an instance, and tells its process.
    pub fn change_seeds(&self, index: usize, seeds: &[usize]) -> io::Result<()> {
        let address = |i: &usize| format!("\"{}:{}\"", self.instances[*i].ip, self.ports[3]);
        let seeds: Vec<String> = seeds.iter().map(address).collect();
        let line = format!("seeds = [{}]", seeds.join(", "));
        let path = &self.instances[index].settings;
        let text = fs::read_to_string(path)?;
        let lines = text
            .lines()
            .map(|l| if l.starts_with("seeds") { &line } else { l });
        fs::write(path, lines.collect::<Vec<_>>().join("\n"))?;
        self.signal(index, "HUP");
        Ok(())
    }

    /// Returns the addresses at which instances accept clients.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let address = |i: &Instance| format!("{}:{}", i.ip, self.ports[0]).parse();
        self.instances.iter().flat_map(address).collect()
    }

    /// Waits until all instances that run say that they are ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let is_ready = |i: &Instance| {
            let address: Result<SocketAddr, _> = format!("{}:{}", i.ip, self.ports[1]).parse();
            let stream = address.ok().and_then(|a| TcpStream::connect(a).ok());
            stream.is_some_and(|s| client::get(s, "/readyz") == Some(200))
        };
        while !self
            .instances
            .iter()
            .filter(|i| i.process.is_some())
            .all(is_ready)
        {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Returns the lines of all logs that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for instance in &self.instances {
            let path = self.folder.join(format!("{}.log", instance.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let found = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
            lines.extend(found.map(|l| format!("{} {l}", instance.name)));
        }
        lines
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.instances.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
