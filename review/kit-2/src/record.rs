//! The record of what was sent, answered and run, in `record.txt` of the case's folder.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Begins the record in `folder`.
    pub fn begin(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        })
    }

    /// Returns the seconds since the record began.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.seconds());
        let mut file = self.file.lock().expect("not poisoned");
        let _ = file.write_all(line.as_bytes());
    }

    /// Adds a line, and shows it.
    pub fn show(&self, text: &str) {
        self.line(text);
        println!("{:9.3} s  {text}", self.seconds());
    }
}
