//! Where the journal is stored: a small folder of the courier, or memory in tests and exploration.

use std::io;

/// Bytes that outlast the process. Writes are not synced: they survive the process, but not the machine.
pub trait Store {
    /// The number of bytes stored.
    fn len(&self) -> u64;

    /// Whether nothing is stored.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reads all bytes.
    ///
    /// # Errors
    /// The store can't be read.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Appends bytes. A crash may leave any prefix of them.
    ///
    /// # Errors
    /// The store can't be written; none of the bytes are stored.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Replaces all bytes by these. A crash leaves either all old bytes or all new ones.
    ///
    /// # Errors
    /// The store can't be written; the old bytes are stored.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// The fault of the next writes to a [`Memory`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The disk is full: each write fails and stores nothing.
    Full {
        /// After so many successful writes.
        after: u32,
    },
    /// The process crashes in the middle of a write. Nothing that it does afterwards reaches the store.
    Die {
        /// After so many successful writes.
        after: u32,
        /// The number of bytes of that write that are stored.
        bytes: usize,
    },
}

/// A store in memory, into which faults can be injected.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    bytes: Vec<u8>,
    fault: Fault,
    writes: u32,
    dead: bool,
}

impl Memory {
    /// A store with these bytes, as a crash has left them.
    pub fn of(bytes: Vec<u8>) -> Self {
        Memory { bytes, ..Memory::default() }
    }

    /// The bytes stored.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Injects a fault; the count of writes starts from 0.
    pub fn fail(&mut self, fault: Fault) {
        self.fault = fault;
        self.writes = 0;
    }

    /// The number of writes since the fault was injected, with those that failed.
    pub fn writes(&self) -> u32 {
        self.writes
    }

    /// The process has crashed in a write.
    pub fn is_dead(&self) -> bool {
        self.dead
    }

    fn write(&mut self, bytes: &[u8], replaces: bool) -> io::Result<()> {
        if self.dead {
            return Ok(());
        }
        let n = self.writes;
        self.writes += 1;
        match self.fault {
            Fault::Full { after } if n >= after => return Err(io::ErrorKind::StorageFull.into()),
            Fault::Die { after, bytes: left } if n >= after => {
                self.dead = true;
                // A replacement is stored entirely or not at all.
                if !replaces {
                    self.bytes.extend_from_slice(&bytes[..left.min(bytes.len())]);
                }
            }
            _ if replaces => self.bytes = bytes.to_vec(),
            _ => self.bytes.extend_from_slice(bytes),
        }
        Ok(())
    }
}

impl Store for Memory {
    fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes.clone())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write(bytes, false)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write(bytes, true)
    }
}
