//! Folders that a test writes into.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// An empty folder of its own for a test, removed when the value is dropped.
#[derive(Debug)]
pub struct TemporaryFolder(
    /// The path of the folder.
    pub PathBuf,
);

impl TemporaryFolder {
    /// Creates the folder among the system's temporary files.
    ///
    /// # Panics
    /// The folder can't be created.
    #[must_use]
    #[expect(clippy::new_without_default, reason = "creating a folder is no default value")]
    pub fn new() -> TemporaryFolder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("quillmount-fixtures-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // A test that fails is to show its own failure, not that of the removal.
        let _ = fs::remove_dir_all(&self.0);
    }
}
