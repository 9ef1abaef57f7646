//! Processes of a deployment on loopback, ended by id when they go out of scope.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::http;

/// Longest time to wait for anything, far above what it takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// A process that was started here.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program` with `args`; what it prints goes to `log`, or nowhere.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[&str],
        log: Option<&Path>,
    ) -> anyhow::Result<Self> {
        let (output, errors) = match log {
            Some(path) => {
                let file = std::fs::File::create(path)?;
                (Stdio::from(file.try_clone()?), Stdio::from(file))
            }
            None => (Stdio::null(), Stdio::null()),
        };
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(i32::try_from(self.child.id())?);
        signal::kill(pid, signal).with_context(|| format!("cannot signal {}", self.name))
    }

    /// Stops the process in its tracks and waits until every thread of it stands.
    pub async fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        let tasks = PathBuf::from(format!("/proc/{}/task", self.id()));
        until("the freeze", || async {
            all_stand(&tasks).unwrap_or(false)
        })
        .await
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            anyhow::ensure!(began.elapsed() < PATIENCE, "{} does not end", self.name);
            std::thread::sleep(LOOK);
        }
    }

    /// Asks the process to stop and waits until it has.
    pub fn stop(&mut self) -> anyhow::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        self.wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Tells whether all threads below `tasks` are stopped.
fn all_stand(tasks: &Path) -> anyhow::Result<bool> {
    for task in std::fs::read_dir(tasks)? {
        let stat = std::fs::read_to_string(task?.path().join("stat"))?;
        let state = stat
            .rsplit(')')
            .next()
            .and_then(|rest| rest.split_whitespace().next());
        if state != Some("T") {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns the folder of the programs that were built with this one.
pub fn program_folder() -> anyhow::Result<PathBuf> {
    let here = std::env::current_exe()?;
    let mut folder = here.parent().context("no folder")?;
    for side in ["deps", "examples"] {
        if folder.ends_with(side) {
            folder = folder.parent().context("no folder")?;
        }
    }
    Ok(folder.to_owned())
}

/// Looks until `holds` does, or fails after a generous while.
pub async fn until<F, R>(what: &str, mut holds: F) -> anyhow::Result<()>
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let began = Instant::now();
    while !holds().await {
        anyhow::ensure!(began.elapsed() < PATIENCE, "waited in vain for {what}");
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

/// Waits until something answers at `path` with success.
pub async fn until_ok(address: SocketAddr, path: &str) -> anyhow::Result<()> {
    until(&format!("{address}{path}"), || async {
        let answer = http::call(address, "GET", path, &[], "").await;
        answer.is_ok_and(|a| a.status.is_success())
    })
    .await
}

/// Waits until something listens at `address`.
pub async fn until_listening(address: SocketAddr) -> anyhow::Result<()> {
    until(&address.to_string(), || async {
        tokio::net::TcpStream::connect(address).await.is_ok()
    })
    .await
}
