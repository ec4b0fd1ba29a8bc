//! The journal's file in the folder that outlasts the process.

use super::gate::{Gate, JournalWrite};
use quillmount_core::store::Store;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// An error with the path that it is about, which its own text does not name.
pub fn with_path(path: &Path, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

/// The path of a replacement until it is complete.
fn replacement_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

/// An append-only file, and its atomic replacement: a complete copy is written beside it and renamed.
pub struct JournalFile {
    path: PathBuf,
    file: File,
    len: u64,
    /// A write failed and what it left could not be truncated yet: it would make every later record unreadable.
    torn: bool,
    /// Where the journal is replicated: waits until the records are at the replicas.
    gate: Option<Rc<Gate>>,
}

impl JournalFile {
    /// Opens the journal in this folder; creates both where they are missing.
    ///
    /// # Errors
    /// The folder or its file can't be created or opened, or an incomplete replacement can't be removed; the text names
    /// the path.
    pub fn open(folder: &Path) -> io::Result<JournalFile> {
        Self::open_file(folder, "journal")
    }

    /// Like [`JournalFile::open`], with a file of another name.
    ///
    /// # Errors
    /// Those of [`JournalFile::open`].
    pub fn open_file(folder: &Path, name: &str) -> io::Result<JournalFile> {
        let path = folder.join(name);
        let named = |e: io::Error| with_path(&path, e);
        fs::create_dir_all(folder).map_err(named)?;
        // A replacement that a kill has interrupted: the old file is still complete.
        match fs::remove_file(replacement_path(&path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(named(e)),
            _ => {}
        }
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(named)?;
        let len = file.metadata().map_err(named)?.len();
        Ok(JournalFile { path, file, len, torn: false, gate: None })
    }

    /// Reports each write to the gate from here on.
    pub fn with_gate(self, gate: Rc<Gate>) -> JournalFile {
        JournalFile { gate: Some(gate), ..self }
    }

    fn named(&self, e: io::Error) -> io::Error {
        with_path(&self.path, e)
    }

    /// Truncates what a failed write has left.
    fn truncate(&mut self) -> io::Result<()> {
        self.torn = true;
        self.file.set_len(self.len).map_err(|e| self.named(e))?;
        self.torn = false;
        Ok(())
    }
}

impl Store for JournalFile {
    fn len(&self) -> u64 {
        self.len
    }

    fn read(&mut self) -> io::Result<Vec<u8>> {
        fs::read(&self.path).map_err(|e| self.named(e))
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.torn {
            self.truncate()?;
        }
        if let Err(e) = self.file.write_all(bytes) {
            // Whether it can be truncated now or only before the next write, this write has failed.
            let _ = self.truncate();
            return Err(self.named(e));
        }
        self.len += bytes.len() as u64;
        if let Some(gate) = &self.gate {
            gate.record_write(JournalWrite::Appended(bytes.to_vec()));
        }
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let copy = replacement_path(&self.path);
        fs::write(&copy, bytes).map_err(|e| self.named(e))?;
        let file = OpenOptions::new().append(true).open(&copy).map_err(|e| self.named(e))?;
        fs::rename(&copy, &self.path).map_err(|e| self.named(e))?;
        (self.file, self.len, self.torn) = (file, bytes.len() as u64, false);
        if let Some(gate) = &self.gate {
            gate.record_write(JournalWrite::Replaced(bytes.to_vec()));
        }
        Ok(())
    }
}
