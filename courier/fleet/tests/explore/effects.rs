//! The data directories of couriers, and the effects of a step: writes and sent messages. A process can be killed
//! before each effect.

use quillmount_core::store::Store;
use quillmount_fleet::member::StoreDirectory;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

pub type Disk = BTreeMap<String, Vec<u8>>;

/// The data directories while a process runs a step, and the effect before which the process is killed.
#[derive(Default)]
pub struct Effects {
    pub disks: Vec<Disk>,
    pub die_at: Option<u32>,
    pub effects: u32,
    pub dead: bool,
    /// Whether any effect of the step was other than a lease message.
    pub significant: bool,
    /// Whether a replica was written.
    pub replica_written: bool,
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

/// Counts an effect of the running process. Returns whether the process is still alive, so that the effect takes place.
pub fn effect(significant: bool) -> bool {
    with_effects(|effects| {
        effects.dead |= effects.die_at == Some(effects.effects);
        effects.effects += u32::from(!effects.dead);
        effects.significant |= significant && !effects.dead;
        !effects.dead
    })
}

pub fn trace(line: impl FnOnce() -> String) {
    if TRACING.get() {
        println!("{}", line());
    }
}

#[derive(Clone)]
pub struct Folder(pub usize);

#[derive(Clone)]
pub struct File(pub usize, pub String);

impl Store for File {
    fn len(&self) -> u64 {
        with_effects(|effects| effects.disks[self.0].get(&self.1).map_or(0, Vec::len)) as u64
    }
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(with_effects(|effects| effects.disks[self.0].get(&self.1).cloned().unwrap_or_default()))
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if effect(true) {
            with_effects(|effects| {
                effects.replica_written |= self.1.starts_with("copy.");
                effects.disks[self.0].entry(self.1.clone()).or_default().extend_from_slice(bytes);
            });
        }
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if effect(true) {
            with_effects(|effects| {
                effects.replica_written |= self.1.starts_with("copy.");
                effects.disks[self.0].insert(self.1.clone(), bytes.to_vec())
            });
        }
        Ok(())
    }
}

impl StoreDirectory for Folder {
    type Store = File;
    fn open(&mut self, name: &str) -> io::Result<File> {
        if !with_effects(|effects| effects.dead) {
            with_effects(|effects| effects.disks[self.0].entry(name.into()).or_default().len());
        }
        Ok(File(self.0, name.into()))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        if effect(true) {
            with_effects(|effects| effects.disks[self.0].remove(name));
        }
        Ok(())
    }
    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(with_effects(|effects| effects.disks[self.0].keys().cloned().collect()))
    }
}
