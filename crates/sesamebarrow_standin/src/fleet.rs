//! A running deployment: the platform and the upstreams run as tasks of this process, and
//! each instance as a separate process.

use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::deploy::{DeploymentSpec, InstanceSpec};
use crate::platform::Platform;
use crate::process::{self, Process};
use crate::relay::Relay;
use crate::upstream::{Kind, Upstream};

/// A running deployment.
pub struct Fleet {
    /// Addresses of the deployment.
    pub deployment: DeploymentSpec,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Stand-ins for the upstreams, in the order of the deployment.
    pub upstreams: Vec<Upstream>,
    /// Processes of the instances, in the order of the deployment.
    pub instances: Vec<Process>,
    platform_task: JoinHandle<()>,
    upstream_tasks: Vec<JoinHandle<()>>,
    settings_paths: Vec<PathBuf>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the deployment with `rules` and waits until every instance is ready.
    ///
    /// Upstreams of the services named in `models` are model engines; all others are plain.
    pub async fn start(
        deployment: DeploymentSpec,
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
        let mut upstream_tasks = Vec::new();
        for spec in &deployment.upstreams {
            let kind = if models.contains(&spec.service.as_str()) {
                let token_interval = Duration::from_millis(5);
                Kind::Model { token_interval }
            } else {
                Kind::Plain
            };
            let upstream = Upstream::new(spec.name.clone(), kind, true);
            let listener = TcpListener::bind(spec.http).await?;
            upstream_tasks.push(tokio::spawn(upstream.clone().serve(listener)));
            upstreams.push(upstream);
        }
        let settings_paths = deployment.write(folder)?;
        let mut fleet = Self {
            deployment,
            platform,
            upstreams,
            instances: Vec::new(),
            platform_task,
            upstream_tasks,
            settings_paths,
            folder: folder.to_owned(),
        };
        for index in 0..fleet.deployment.instances.len() {
            let process = fleet.launch(index)?;
            fleet.instances.push(process);
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn launch(&self, index: usize) -> anyhow::Result<Process> {
        let instance = &self.deployment.instances[index];
        let program = process::program_folder()?.join("sesamebarrow");
        let settings = self.settings_paths[index].to_string_lossy().into_owned();
        let log = self.folder.join(format!("{}.log", instance.name));
        let args = ["--settings", settings.as_str()];
        Process::start(&instance.name, &program, &args, Some(&log))
    }

    /// Starts the instance at `index` again and drops its previous process.
    pub fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        self.instances[index] = self.launch(index)?;
        Ok(())
    }

    /// Waits until every instance is ready.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        for instance in &self.deployment.instances {
            process::wait_until_ok(instance.admin, "/ready").await?;
        }
        Ok(())
    }

    /// Returns the addresses of the instance at `index`.
    pub fn instance(&self, index: usize) -> &InstanceSpec {
        &self.deployment.instances[index]
    }

    /// Returns the log of the instance at `index` since its latest start.
    pub fn log(&self, index: usize) -> anyhow::Result<String> {
        let name = &self.instance(index).name;
        Ok(std::fs::read_to_string(
            self.folder.join(format!("{name}.log")),
        )?)
    }

    /// Routes the links between instances through relays: in a list document published with
    /// `revision`, and in the settings of instances that start from now on. Returns the
    /// relays in the order of the instances.
    pub async fn relay_links(&mut self, revision: u64) -> anyhow::Result<Vec<Relay>> {
        let mut relays = Vec::new();
        for instance in &mut self.deployment.instances {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let relay = Relay::new(instance.peer, Duration::ZERO);
            instance.advertised_peer = Some(listener.local_addr()?);
            tokio::spawn(relay.clone().serve(listener));
            relays.push(relay);
        }
        self.deployment.write(&self.folder)?;
        self.platform
            .publish("list", revision, self.deployment.list(&[]));
        Ok(relays)
    }

    /// Stops accepting connections to the platform, permanently. Open connections are still
    /// served.
    pub fn stop_platform(&self) {
        self.platform_task.abort();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.platform_task.abort();
        for task in &self.upstream_tasks {
            task.abort();
        }
    }
}
