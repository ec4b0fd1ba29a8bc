//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start, in a file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {line}", self.started.elapsed().as_secs_f64());
    }

    /// Adds a line and prints it.
    pub fn print(&self, line: &str) {
        println!("{:9.3} s  {line}", self.started.elapsed().as_secs_f64());
        self.add(line);
    }
}
