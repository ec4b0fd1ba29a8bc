//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: impl std::fmt::Display) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {line}", self.seconds());
        }
    }

    /// Adds a line and prints it.
    pub fn print(&self, line: impl std::fmt::Display) {
        println!("{:8.3} {line}", self.seconds());
        self.add(line);
    }
}
