//! Logging: one line of `key=value` pairs for each event.
//!
//! API keys, bodies and header fields of requests are never logged. Lines are written by a thread of their own
//! ([`queue`]); an event that finds too many waiting is dropped and counted.

use std::io::{self, Write};
use std::panic;
use std::sync::OnceLock;
use std::time::Duration;

use logforth::layout::LogfmtLayout;
use logforth::record::{Level as Severity, LevelFilter, Record};
use logforth::{Append, Diagnostic, Layout};

pub use sesamebarrow_gateway::settings::Level;

use crate::logs::queue::Queue;

pub mod queue;

/// Where log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Time for which the end of the process waits until lines are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(300);

/// The queue of this process, once logging has started.
static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Formats records and adds them to the queue.
#[derive(Debug)]
struct QueueAppender {
    layout: LogfmtLayout,
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &Record,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diags)?;
        queue::truncate(&mut line);
        line.push(b'\n');
        if let Some(queue) = QUEUE.get() {
            queue.push(line);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        finish();
        Ok(())
    }
}

/// Starts logging lines of `level` and of more severe levels. Panics are logged too.
pub fn start(level: Level, output: Output) -> anyhow::Result<()> {
    let severity = match level {
        Level::Error => Severity::Error,
        Level::Warn => Severity::Warn,
        Level::Info => Severity::Info,
        Level::Debug => Severity::Debug,
    };
    let out: Box<dyn Write + Send> = match output {
        Output::Stdout => Box::new(io::stdout()),
        Output::Stderr => Box::new(io::stderr()),
    };
    let queue = Queue::start(out, |lines| log::warn!(lines; "log lines not written"))?;
    anyhow::ensure!(QUEUE.set(queue).is_ok(), "logging has started already");
    let appender = QueueAppender {
        layout: LogfmtLayout::default(),
    };
    let filter = LevelFilter::MoreSevereEqual(severity);
    let applied = logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(appender))
        .try_apply();
    applied.map_err(|error| anyhow::anyhow!("cannot start logging: {error}"))?;
    panic::set_hook(Box::new(|info| {
        let location = info.location().map(ToString::to_string);
        let location = location.unwrap_or_default();
        let cause = info.payload_as_str().unwrap_or("not a text");
        log::error!(location = location.as_str(), cause; "panicked");
    }));
    Ok(())
}

/// Waits until lines are written, for a short time.
pub fn finish() {
    if let Some(queue) = QUEUE.get() {
        queue.finish(FINISH_TIMEOUT);
    }
}
