//! Describes a small deployment on loopback: its addresses, settings and list document.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// Secret shared by the instances of a deployment on loopback.
pub const SECRET: &str = "loopback-only-secret-of-a-trial-deployment";

/// One instance and its addresses.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its slot in the failure domain.
    pub slot: u16,
    /// Listen address for callers.
    pub http: SocketAddr,
    /// Listen address for other instances.
    pub peer: SocketAddr,
    /// Address that other instances connect to, if it differs from `peer`.
    pub advertised_peer: Option<SocketAddr>,
    /// Listen address for operators.
    pub admin: SocketAddr,
}

/// One upstream and its address.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub http: SocketAddr,
    /// Requests that it can run at once.
    pub capacity: u32,
}

/// Addresses of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// The platform's address.
    pub platform: SocketAddr,
    /// Instances.
    pub instances: Vec<InstanceSpec>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamSpec>,
    /// Time between the start of a shutdown and the end of listening.
    pub shutdown_notice: Duration,
    /// Maximum time of a shutdown.
    pub shutdown_limit: Duration,
}

/// First port that is assigned.
const FIRST_PORT: u16 = 10_000;

/// Returns a loopback address that no other call returns.
///
/// Each process uses its own host address in 127.0.0.0/8, which is never a source of
/// outgoing connections, so nothing else takes its ports. The port is not tested by binding
/// it: a child process that another thread is starting briefly holds a copy of every open
/// socket, and the address would then appear to be in use.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high.wrapping_add(1), middle, low);
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    // The counter wraps around to 0 after port 65535.
    anyhow::ensure!(port >= FIRST_PORT, "no port is left on {host}");
    Ok(SocketAddr::from((host, port)))
}

impl DeploymentSpec {
    /// Creates a deployment without instances and upstreams.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            platform: free_address()?,
            instances: Vec::new(),
            upstreams: Vec::new(),
            shutdown_notice: Duration::from_millis(200),
            shutdown_limit: Duration::from_secs(20),
        })
    }

    /// Adds an instance.
    pub fn add_instance(&mut self, name: &str, domain: &str, slot: u16) -> anyhow::Result<()> {
        self.instances.push(InstanceSpec {
            name: name.to_owned(),
            domain: domain.to_owned(),
            slot,
            http: free_address()?,
            peer: free_address()?,
            advertised_peer: None,
            admin: free_address()?,
        });
        Ok(())
    }

    /// Adds an upstream.
    pub fn add_upstream(
        &mut self,
        name: &str,
        domain: &str,
        service: &str,
        capacity: u32,
    ) -> anyhow::Result<()> {
        self.upstreams.push(UpstreamSpec {
            name: name.to_owned(),
            domain: domain.to_owned(),
            service: service.to_owned(),
            http: free_address()?,
            capacity,
        });
        Ok(())
    }

    /// Returns the list document, which marks the processes named in `leaving` as leaving.
    pub fn list(&self, leaving: &[&str]) -> String {
        let state = |name: &str| {
            if leaving.contains(&name) {
                "leaving"
            } else {
                "live"
            }
        };
        let mut text = String::new();
        for i in &self.instances {
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "instance {} domain={} slot={} http={} peer={} state={}",
                i.name,
                i.domain,
                i.slot,
                i.http,
                i.advertised_peer.unwrap_or(i.peer),
                state(&i.name)
            );
        }
        for u in &self.upstreams {
            let _ = writeln!(
                text,
                "upstream {} domain={} service={} http={} capacity={} state={}",
                u.name,
                u.domain,
                u.service,
                u.http,
                u.capacity,
                state(&u.name)
            );
        }
        text
    }

    /// Returns the settings file of `instance`, with the secret in the file `secret`.
    pub fn settings(&self, instance: &InstanceSpec, secret: &Path) -> String {
        let peers: Vec<String> = self
            .instances
            .iter()
            .filter(|i| i.name != instance.name)
            .map(|i| format!("\"{}\"", i.advertised_peer.unwrap_or(i.peer)))
            .collect();
        format!(
            "name = \"{}\"\ndomain = \"{}\"\nslot = {}\nsecret_file = {:?}\npeers = [{}]\n\n\
             [listen]\nhttp = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n\
             [platform]\naddress = \"{}\"\n\n[request]\nread_timeout = \"1s\"\n\n[shutdown]\nnotice = \"{}ms\"\nlimit = \"{}ms\"\n",
            instance.name,
            instance.domain,
            instance.slot,
            secret,
            peers.join(", "),
            instance.http,
            instance.peer,
            instance.admin,
            self.platform,
            self.shutdown_notice.as_millis(),
            self.shutdown_limit.as_millis()
        )
    }

    /// Writes the secret and the settings of every instance into `folder`. Returns the
    /// paths of the settings in the order of the instances.
    pub fn write(&self, folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
        std::fs::create_dir_all(folder)?;
        let secret = folder.join("secret");
        std::fs::write(&secret, SECRET)?;
        let mut paths = Vec::new();
        for instance in &self.instances {
            let path = folder.join(format!("{}.toml", instance.name));
            std::fs::write(&path, self.settings(instance, &secret))?;
            paths.push(path);
        }
        Ok(paths)
    }
}
