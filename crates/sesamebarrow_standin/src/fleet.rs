//! A running deployment: the platform and upstreams as tasks of this process, or all as
//! processes, and every instance as a process.

use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::deploy::{Deployment, Instance};
use crate::platform::Platform;
use crate::process::{self, Process};
use crate::relay::Relay;
use crate::upstream::{Kind, Upstream};

/// A running deployment.
pub struct Fleet {
    /// Its addresses.
    pub deployment: Deployment,
    /// The platform.
    pub platform: Platform,
    /// The upstreams, in the deployment's order.
    pub upstreams: Vec<Upstream>,
    /// The instances, in the deployment's order.
    pub instances: Vec<Process>,
    platform_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    settings: Vec<PathBuf>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts everything with `rules` and waits until every instance is ready.
    ///
    /// Backends of a service whose name is in `models` are model engines.
    pub async fn start(
        deployment: Deployment,
        rules: &str,
        models: &[&str],
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let platform = Platform::default();
        platform.publish("rules", 1, rules);
        platform.publish("list", 1, deployment.list(&[]));
        let listener = TcpListener::bind(deployment.platform).await?;
        let platform_task = tokio::spawn(platform.clone().serve(listener));
        let mut upstreams = Vec::new();
        let mut tasks = Vec::new();
        for backend in &deployment.backends {
            let kind = if models.contains(&backend.service.as_str()) {
                let pace = Duration::from_millis(5);
                Kind::Model { pace }
            } else {
                Kind::Plain
            };
            let upstream = Upstream::new(backend.name.clone(), kind, true);
            let listener = TcpListener::bind(backend.http).await?;
            tasks.push(tokio::spawn(upstream.clone().serve(listener)));
            upstreams.push(upstream);
        }
        let settings = deployment.write(folder)?;
        let mut fleet = Self {
            deployment,
            platform,
            upstreams,
            instances: Vec::new(),
            platform_task,
            tasks,
            settings,
            folder: folder.to_owned(),
        };
        for index in 0..fleet.deployment.instances.len() {
            let process = fleet.launch(index)?;
            fleet.instances.push(process);
        }
        fleet.until_ready().await?;
        Ok(fleet)
    }

    fn launch(&self, index: usize) -> anyhow::Result<Process> {
        let instance = &self.deployment.instances[index];
        let program = process::program_folder()?.join("sesamebarrow");
        let settings = self.settings[index].to_string_lossy().into_owned();
        let log = self.folder.join(format!("{}.log", instance.name));
        let args = ["--settings", settings.as_str()];
        Process::start(&instance.name, &program, &args, Some(&log))
    }

    /// Starts the instance at `index` anew, in place of the process before.
    pub fn relaunch(&mut self, index: usize) -> anyhow::Result<()> {
        self.instances[index] = self.launch(index)?;
        Ok(())
    }

    /// Waits until every instance is ready.
    pub async fn until_ready(&self) -> anyhow::Result<()> {
        for instance in &self.deployment.instances {
            process::until_ok(instance.admin, "/ready").await?;
        }
        Ok(())
    }

    /// Returns the instance at `index`.
    pub fn instance(&self, index: usize) -> &Instance {
        &self.deployment.instances[index]
    }

    /// Returns what the instance at `index` has logged.
    pub fn log(&self, index: usize) -> anyhow::Result<String> {
        let name = &self.instance(index).name;
        Ok(std::fs::read_to_string(
            self.folder.join(format!("{name}.log")),
        )?)
    }

    /// Leads the links between instances through relays, in the list and in the settings
    /// of instances that are launched from now on. Returns the relays in their order.
    pub async fn relay_links(&mut self, revision: u64) -> anyhow::Result<Vec<Relay>> {
        let mut relays = Vec::new();
        for instance in &mut self.deployment.instances {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let relay = Relay::new(instance.peer, Duration::ZERO);
            instance.via = Some(listener.local_addr()?);
            tokio::spawn(relay.clone().serve(listener));
            relays.push(relay);
        }
        self.deployment.write(&self.folder)?;
        self.platform
            .publish("list", revision, self.deployment.list(&[]));
        Ok(relays)
    }

    /// Cuts the platform off for good.
    pub fn stop_platform(&self) {
        self.platform_task.abort();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.platform_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}
