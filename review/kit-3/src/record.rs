//! Writes what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file of lines, each with the time since its creation.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the seconds since the record was created.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:8.3} {text}");
        }
    }

    /// Writes a line, also to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn finish(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}
