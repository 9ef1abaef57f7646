//! Writes log lines on a thread of their own, so that an output that is slow, full, closed or failing holds up
//! nothing else.

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines that wait to be written.
const MAX_LINES: usize = 4 * 1024;

/// Maximum length of a line in bytes. The rest is cut off.
pub const MAX_LINE_BYTES: usize = 4 * 1024;

/// Cuts off what exceeds the maximum length of a line, between two characters.
pub fn truncate(line: &mut Vec<u8>) {
    let is_inside_character = |end: usize| line.get(end).is_some_and(|b| b & 0xc0 == 0x80);
    let mut end = MAX_LINE_BYTES;
    while end > 0 && is_inside_character(end) {
        end -= 1;
    }
    line.truncate(end);
}

/// Number of bytes after which lines are written at once.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Pause after each write, in which further lines are collected, so that they cost one call.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which [`Queue::finish`] looks whether all lines are written.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
struct Counts {
    /// Lines that were accepted and not written yet.
    pending: AtomicUsize,
    /// Lines that were not written since this was last reported.
    lost: AtomicU64,
}

impl Counts {
    fn lose(&self, lines: u64, reason: &'static str) {
        self.lost.fetch_add(lines, Ordering::Relaxed);
        metrics::counter!("sesamebarrow_log_lines_not_written_total", "reason" => reason)
            .increment(lines);
    }
}

/// Lines that wait to be written.
pub struct Queue {
    tx: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl fmt::Debug for Queue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue")
            .field("counts", &self.counts)
            .finish()
    }
}

impl Queue {
    /// Starts a thread that writes lines to `out`. It reports lost lines by `report` once it can write again.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(
        out: impl Write + Send + 'static,
        report: impl Fn(u64) + Send + 'static,
    ) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(MAX_LINES);
        let counts = Arc::new(Counts::default());
        let written = counts.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&rx, out, &written, report))?;
        Ok(Self { tx, counts })
    }

    /// Adds a line, or drops and counts it if too many wait. Never blocks.
    pub fn push(&self, line: Vec<u8>) {
        self.counts.pending.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line).is_err() {
            self.counts.pending.fetch_sub(1, Ordering::Relaxed);
            self.counts.lose(1, "queue-full");
        }
    }

    /// Waits until all lines are written, but no longer than `timeout`.
    pub fn finish(&self, timeout: Duration) {
        let started_at = Instant::now();
        while self.counts.pending.load(Ordering::Relaxed) > 0 && started_at.elapsed() < timeout {
            thread::sleep(FINISH_CHECK_INTERVAL);
        }
    }
}

/// Writes lines until the queue is dropped.
fn write_all(rx: &Receiver<Vec<u8>>, mut out: impl Write, counts: &Counts, report: impl Fn(u64)) {
    while let Ok(first) = rx.recv() {
        let (mut batch, mut lines) = (first, 1);
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(line) = rx.try_recv()
        {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let written = out.write_all(&batch).and_then(|()| out.flush());
        counts.pending.fetch_sub(lines, Ordering::Relaxed);
        if written.is_ok() {
            let lost = counts.lost.swap(0, Ordering::Relaxed);
            if lost > 0 {
                report(lost);
            }
        } else {
            counts.lose(lines as u64, "write-failed");
        }
        thread::sleep(BATCH_INTERVAL);
    }
}
