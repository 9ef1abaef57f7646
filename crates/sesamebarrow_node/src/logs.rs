//! Logging: one line of `key=value` pairs for each event.
//!
//! API keys, bodies and header fields of requests are never logged.

use logforth::record::{Level as Severity, LevelFilter};

pub use sesamebarrow_gateway::settings::Level;

/// Where log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts logging lines of `level` and of more severe levels.
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
    applied.map_err(|error| anyhow::anyhow!("cannot start logging: {error}"))
}
