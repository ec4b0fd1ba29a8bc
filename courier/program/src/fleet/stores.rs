//! The member's stores as files in the state folder, one for each store.

use crate::transport::journal_file::{JournalFile, with_path};
use quillmount_fleet::member::{Member, StoreDirectory};
use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// The member machine on its files, which several tasks step.
pub type SharedMember = Rc<RefCell<Member<FileStores>>>;

/// The folder `fleet` beside the journal.
pub struct FileStores(PathBuf);

impl FileStores {
    /// Opens the folder, or creates it.
    ///
    /// # Errors
    /// The folder can't be created; the text names it.
    pub fn open(folder: PathBuf) -> io::Result<FileStores> {
        fs::create_dir_all(&folder).map_err(|e| with_path(&folder, e))?;
        Ok(FileStores(folder))
    }

    fn named(&self, name: &str, e: io::Error) -> io::Error {
        with_path(&self.0.join(name), e)
    }
}

impl StoreDirectory for FileStores {
    type Store = JournalFile;

    fn open(&mut self, name: &str) -> io::Result<JournalFile> {
        JournalFile::open_file(&self.0, name)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.0.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(self.named(name, e)),
            _ => Ok(()),
        }
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.0).map_err(|e| self.named("", e))?;
        let mut names = Vec::new();
        for entry in entries {
            let name = entry.map_err(|e| self.named("", e))?.file_name();
            names.extend(name.into_string().ok().filter(|name| !name.ends_with(".new")));
        }
        names.sort();
        Ok(names)
    }
}
