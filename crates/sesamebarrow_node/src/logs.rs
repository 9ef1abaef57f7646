//! Logs: one line of key=value pairs for each event.
//!
//! No key, no body and no field of a request is ever given to the log.

use logforth::record::{Level as Severity, LevelFilter};

pub use sesamebarrow_gateway::settings::Level;

/// Where the lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts logging at `level`.
pub fn start(level: Level, output: Output) -> anyhow::Result<()> {
    let severity = match level {
        Level::Error => Severity::Error,
        Level::Warn => Severity::Warn,
        Level::Info => Severity::Info,
        Level::Debug => Severity::Debug,
    };
    let filter = LevelFilter::MoreSevereEqual(severity);
    let layout = logforth::layout::LogfmtLayout::default();
    let applied = match output {
        Output::Stdout => logforth::starter_log::stdout()
            .filter(filter)
            .layout(layout)
            .try_apply(),
        Output::Stderr => logforth::starter_log::stderr()
            .filter(filter)
            .layout(layout)
            .try_apply(),
    };
    applied.map_err(|error| anyhow::anyhow!("logs: {error}"))
}
