//! A small deployment of real instances, started with the command of the deploy file.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

/// Ports of an instance: front, ready, directory, control, and the two of the range between instances.
type Ports = [u16; 6];

/// One instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its region, which has one zone with the suffix `-a`.
    pub region: String,
    ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
}

/// The instances of a deployment. They are killed when this is dropped.
pub struct Deployment {
    /// The instances.
    pub instances: Vec<Instance>,
    ports: Ports,
    folder: PathBuf,
    program: PathBuf,
    record: Record,
}

impl Deployment {
    /// Starts `count` instances in each of `regions`, as (name, count), with their store at `store`.
    pub fn start(
        record: &Record,
        store: SocketAddr,
        regions: &[(&str, usize)],
    ) -> io::Result<Self> {
        let program = program()?;
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        std::fs::create_dir_all(&folder)?;
        let ports = choose_ports()?;
        let mut deployment = Self {
            instances: Vec::new(),
            ports,
            folder,
            program,
            record: record.clone(),
        };
        let network = [(process % 200) as u8 + 20, (process / 200 % 250) as u8 + 1];
        let names = regions
            .iter()
            .flat_map(|(r, n)| (1..=*n).map(move |i| (*r, i)));
        let places: Vec<(String, String, Ipv4Addr)> = names
            .enumerate()
            .map(|(index, (region, number))| {
                let ip = Ipv4Addr::new(127, network[0], network[1], index as u8 + 1);
                (format!("edge-{region}-a-{number}"), region.to_owned(), ip)
            })
            .collect();
        let seeds: Vec<String> = regions
            .iter()
            .filter_map(|(r, _)| places.iter().find(|(_, region, _)| region == r))
            .map(|(_, _, ip)| format!("\"{ip}:{}\"", ports[3]))
            .collect();
        let zones: String = regions
            .iter()
            .map(|(r, _)| format!("\"{r}-a\" = \"{r}\"\n"))
            .collect();
        for (name, region, ip) in places {
            let text = settings(&name, &region, ip, ports, &seeds.join(", "), &zones, store);
            let path = deployment.folder.join(format!("{name}.toml"));
            std::fs::write(&path, text)?;
            let child = deployment.launch(&name, &path)?;
            deployment.instances.push(Instance {
                name,
                region,
                ip,
                child,
                settings: path,
            });
        }
        Ok(deployment)
    }

    fn launch(&self, name: &str, settings: &Path) -> io::Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .args(["routed", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(&format!("{name} started, pid {}", child.id()));
        Ok(child)
    }

    /// Returns where the instance at `index` serves clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.instances[index].ip.into(), self.ports[0])
    }

    /// Returns whether the instance at `index` says that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(self.instances[index].ip.into(), self.ports[1]);
        let patience = Duration::from_secs(1);
        let answer = client::send(address, "GET", "/readyz", &[("host", "x")], b"", patience);
        answer.is_ok_and(|a| a.is_some_and(|m| m.status() == 200))
    }

    /// Waits until all instances are ready; false if they are not within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if (0..self.instances.len()).all(|index| self.is_ready(index)) {
                self.record
                    .show(&format!("all {} instances are ready", self.instances.len()));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills all processes at the same moment (SIGKILL).
    pub fn kill_all(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
        }
        for instance in &mut self.instances {
            let _ = instance.child.wait();
        }
        self.record.show("all instances killed");
    }

    /// Starts all processes again.
    pub fn restart_all(&mut self) -> io::Result<()> {
        for index in 0..self.instances.len() {
            let (name, settings) = (
                self.instances[index].name.clone(),
                self.instances[index].settings.clone(),
            );
            self.instances[index].child = self.launch(&name, &settings)?;
        }
        self.record.show("all instances started again");
        Ok(())
    }

    /// Returns whether all processes run.
    pub fn all_run(&mut self) -> bool {
        let mut all = self.instances.iter_mut();
        all.all(|i| matches!(i.child.try_wait(), Ok(None)))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs kept in {}", self.folder.display());
        }
    }
}

/// Returns the program that the deploy file starts.
fn program() -> io::Result<PathBuf> {
    let root = std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from);
    root.join("target/release/sesamebarrow").canonicalize()
}

fn choose_ports() -> io::Result<Ports> {
    let listeners: Vec<TcpListener> = (0..6)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    let mut ports = [0; 6];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

/// Returns the settings as the template of the deploy file gives them for a small deployment.
fn settings(
    name: &str,
    region: &str,
    ip: Ipv4Addr,
    [front, ready, directory, control, first, last]: Ports,
    seeds: &str,
    zones: &str,
    store: SocketAddr,
) -> String {
    format!(
        "name = \"{name}\"\ndomain = \"{region}-a\"\nip = \"{ip}\"\nseeds = [{seeds}]\n[domains]\n{zones}[listen]\n\
         callers = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ndirectory = \"{ip}:{directory}\"\n\
         sync = \"{ip}:{control}\"\nhop = \"{ip}:{first}\"\ngossip = \"{ip}:{first}\"\ntokens = \"{ip}:{last}\"\n\
         admin = \"{ip}:{last}\"\n[store]\naddress = \"{store}\"\n[memory]\nprocess_mib = 260\n[dispatch]\n\
         min_pause = \"500ms\"\nprocessor_share = 0.25\n[limits]\nretry_ratio = 0.2\nretry_slack = 56\n\
         retry_window = \"10s\"\nquota_window = \"8s\"\nquota_over = 0.25\nquota_slack = 72000\ncold_ratio = 1.5\n\
         cold_slack = 3\n"
    )
}
