//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that several threads write.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().expect("not poisoned");
        file.write_all(line.as_bytes())
            .expect("the record is written");
    }

    /// Waits until `at` after the start.
    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}
