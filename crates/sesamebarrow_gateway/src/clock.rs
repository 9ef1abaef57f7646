//! The clock of this process's decisions.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the time since the host started. It goes on while the host is suspended, which the clock of
/// [`std::time::Instant`] does not, so that what was known before is as old as it is.
pub fn now() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    // Both clocks exist on every supported kernel.
    time.map(Duration::from).unwrap_or_default()
}
