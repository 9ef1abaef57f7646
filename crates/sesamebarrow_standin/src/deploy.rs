//! A small deployment on loopback: settings, list and addresses.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

/// The secret of deployments on loopback.
pub const SECRET: &str = "loopback-only-secret-of-a-trial-deployment";

/// One instance and its addresses.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its slot.
    pub slot: u16,
    /// For callers.
    pub http: SocketAddr,
    /// For instances.
    pub peer: SocketAddr,
    /// Where other instances reach it, if not at `peer`.
    pub via: Option<SocketAddr>,
    /// For operators.
    pub admin: SocketAddr,
}

/// One upstream and its address.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub http: SocketAddr,
    /// Requests that it runs well.
    pub capacity: u32,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The platform's address.
    pub platform: SocketAddr,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Upstreams.
    pub backends: Vec<Backend>,
}

/// First port that is given out.
const FIRST_PORT: u16 = 10_000;

/// Returns an address on loopback that nothing else was given.
///
/// Each process takes a host number of its own in 127.0.0.0/8, from which no connection
/// leaves, so that nobody else comes near its ports. They are not tried out by binding:
/// a process that is just being started elsewhere in the program holds a copy of every
/// open socket for a moment, and the address would seem to be in use afterwards.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high.wrapping_add(1), middle, low);
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    anyhow::ensure!(port >= FIRST_PORT, "all ports were given out");
    Ok(SocketAddr::from((host, port)))
}

impl Deployment {
    /// Builds an empty deployment.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            platform: free_address()?,
            instances: Vec::new(),
            backends: Vec::new(),
        })
    }

    /// Adds an instance.
    pub fn add_instance(&mut self, name: &str, domain: &str, slot: u16) -> anyhow::Result<()> {
        self.instances.push(Instance {
            name: name.to_owned(),
            domain: domain.to_owned(),
            slot,
            http: free_address()?,
            peer: free_address()?,
            via: None,
            admin: free_address()?,
        });
        Ok(())
    }

    /// Adds an upstream.
    pub fn add_backend(
        &mut self,
        name: &str,
        domain: &str,
        service: &str,
        capacity: u32,
    ) -> anyhow::Result<()> {
        self.backends.push(Backend {
            name: name.to_owned(),
            domain: domain.to_owned(),
            service: service.to_owned(),
            http: free_address()?,
            capacity,
        });
        Ok(())
    }

    /// Returns the list, in which the processes named in `leaving` are leaving.
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
            // Writing to a string never fails.
            let _ = writeln!(
                text,
                "instance {} domain={} slot={} http={} peer={} state={}",
                i.name,
                i.domain,
                i.slot,
                i.http,
                i.via.unwrap_or(i.peer),
                state(&i.name)
            );
        }
        for b in &self.backends {
            let _ = writeln!(
                text,
                "upstream {} domain={} service={} http={} capacity={} state={}",
                b.name,
                b.domain,
                b.service,
                b.http,
                b.capacity,
                state(&b.name)
            );
        }
        text
    }

    /// Returns the settings of an instance whose secret is in `secret`.
    pub fn settings(&self, instance: &Instance, secret: &Path) -> String {
        let peers: Vec<String> = self
            .instances
            .iter()
            .filter(|i| i.name != instance.name)
            .map(|i| format!("\"{}\"", i.via.unwrap_or(i.peer)))
            .collect();
        format!(
            "name = \"{}\"\ndomain = \"{}\"\nslot = {}\nsecret_file = {:?}\npeers = [{}]\n\n\
             [listen]\nhttp = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n\
             [platform]\naddress = \"{}\"\n\n[request]\nread_timeout = \"1s\"\n\n[shutdown]\nnotice = \"200ms\"\nlimit = \"20s\"\n",
            instance.name,
            instance.domain,
            instance.slot,
            secret,
            peers.join(", "),
            instance.http,
            instance.peer,
            instance.admin,
            self.platform
        )
    }

    /// Writes the secret and every instance's settings into `folder`; returns the
    /// settings' paths in the instances' order.
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
