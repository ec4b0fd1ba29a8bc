//! The folders of couriers and the effects of a step, at each of which the process may die.

use quillmount_core::store::Store;
use quillmount_fleet::member::StoreDirectory;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

pub type Disk = BTreeMap<String, Vec<u8>>;

/// The folders while a process runs a step, and the effect at which it dies.
#[derive(Default)]
pub struct Effects {
    pub disks: Vec<Disk>,
    pub die_at: Option<u32>,
    pub effects: u32,
    pub dead: bool,
    /// Whether there were effects of other things than leases.
    pub matters: bool,
    pub copies: bool,
}

thread_local! {
    pub static EFFECTS: RefCell<Effects> = RefCell::default();
}

thread_local! {
    pub static TRACING: Cell<bool> = const { Cell::new(false) };
}

pub fn with_effects<T>(f: impl FnOnce(&mut Effects) -> T) -> T {
    EFFECTS.with(|effects| f(&mut effects.borrow_mut()))
}

/// Counts an effect of the process that runs. Returns whether the process is still alive for it.
pub fn effect(matters: bool) -> bool {
    with_effects(|h| {
        h.dead |= h.die_at == Some(h.effects);
        h.effects += u32::from(!h.dead);
        h.matters |= matters && !h.dead;
        !h.dead
    })
}

pub fn trace(what: impl FnOnce() -> String) {
    if TRACING.get() {
        println!("{}", what());
    }
}

#[derive(Clone)]
pub struct Folder(pub usize);

#[derive(Clone)]
pub struct File(pub usize, pub String);

impl Store for File {
    fn len(&self) -> u64 {
        with_effects(|h| h.disks[self.0].get(&self.1).map_or(0, Vec::len)) as u64
    }
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(with_effects(|h| h.disks[self.0].get(&self.1).cloned().unwrap_or_default()))
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if effect(true) {
            with_effects(|h| {
                h.copies |= self.1.starts_with("copy.");
                h.disks[self.0].entry(self.1.clone()).or_default().extend_from_slice(bytes);
            });
        }
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if effect(true) {
            with_effects(|h| {
                h.copies |= self.1.starts_with("copy.");
                h.disks[self.0].insert(self.1.clone(), bytes.to_vec())
            });
        }
        Ok(())
    }
}

impl StoreDirectory for Folder {
    type Store = File;
    fn open(&mut self, name: &str) -> io::Result<File> {
        if !with_effects(|h| h.dead) {
            with_effects(|h| h.disks[self.0].entry(name.into()).or_default().len());
        }
        Ok(File(self.0, name.into()))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        if effect(true) {
            with_effects(|h| h.disks[self.0].remove(name));
        }
        Ok(())
    }
    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(with_effects(|h| h.disks[self.0].keys().cloned().collect()))
    }
}
