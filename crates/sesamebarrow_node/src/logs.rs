//! Logs: one line of key=value pairs for each event, to standard error.
//!
//! No key, no body and no field of a request is ever given to the log.

use logforth::record::{Level as Severity, LevelFilter};

use crate::settings::Level;

/// Starts logging at `level`.
pub fn start(level: Level) -> anyhow::Result<()> {
    let severity = match level {
        Level::Error => Severity::Error,
        Level::Warn => Severity::Warn,
        Level::Info => Severity::Info,
        Level::Debug => Severity::Debug,
    };
    logforth::starter_log::stderr()
        .filter(LevelFilter::MoreSevereEqual(severity))
        .layout(logforth::layout::LogfmtLayout::default())
        .try_apply()
        .map_err(|error| anyhow::anyhow!("logs: {error}"))
}
