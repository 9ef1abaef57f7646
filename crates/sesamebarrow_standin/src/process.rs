//! Child processes of a deployment on loopback, killed by id when they are dropped.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::http;

/// Time limit of every wait, far above what any condition needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What becomes of the output of a process that is not written to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// It goes to pipes that nobody reads.
    Unread,
    /// It goes to pipes whose readers have ended.
    Closed,
}

/// A child process.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program` with `args`. Its output goes to the file `log`, or is discarded.
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

    /// Starts `program` with `args`. Its output goes to pipes.
    pub fn start_with_pipes(
        name: &str,
        program: &Path,
        args: &[&str],
        output: Output,
    ) -> anyhow::Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        if output == Output::Closed {
            child.stdout = None;
            child.stderr = None;
        }
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(i32::try_from(self.child.id())?);
        signal::kill(pid, signal).with_context(|| format!("cannot signal {}", self.name))
    }

    /// Suspends the process with SIGSTOP and waits until all its threads are stopped.
    pub async fn suspend(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        let tasks = PathBuf::from(format!("/proc/{}/task", self.id()));
        wait_until("the process to be suspended", || async {
            all_threads_stopped(&tasks).unwrap_or(false)
        })
        .await
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            anyhow::ensure!(
                began.elapsed() < WAIT_TIMEOUT,
                "{} did not exit within {WAIT_TIMEOUT:?}",
                self.name
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends SIGTERM and waits until the process exits.
    pub fn stop(&mut self) -> anyhow::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        self.wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has exited and was reaped already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether all threads listed in `tasks`, a `/proc/PID/task` folder, are stopped.
fn all_threads_stopped(tasks: &Path) -> anyhow::Result<bool> {
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

/// Returns the target folder that holds the programs built together with this one.
pub fn program_folder() -> anyhow::Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    let mut folder = current_exe
        .parent()
        .context("the program has no parent folder")?;
    for subfolder in ["deps", "examples"] {
        if folder.ends_with(subfolder) {
            folder = folder.parent().context("the target folder has no parent")?;
        }
    }
    Ok(folder.to_owned())
}

/// Polls until `condition` returns true. Fails after [`WAIT_TIMEOUT`], naming `what`.
pub async fn wait_until<F, R>(what: &str, mut condition: F) -> anyhow::Result<()>
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let began = Instant::now();
    while !condition().await {
        anyhow::ensure!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting for {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until `GET path` succeeds at `address`.
pub async fn wait_until_ok(address: SocketAddr, path: &str) -> anyhow::Result<()> {
    wait_until(&format!("{address}{path}"), || async {
        let response = http::call(address, "GET", path, &[], "").await;
        response.is_ok_and(|r| r.status.is_success())
    })
    .await
}

/// Waits until `address` accepts TCP connections.
pub async fn wait_until_listening(address: SocketAddr) -> anyhow::Result<()> {
    wait_until(&address.to_string(), || async {
        tokio::net::TcpStream::connect(address).await.is_ok()
    })
    .await
}
