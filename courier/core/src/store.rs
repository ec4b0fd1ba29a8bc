//! Storage of the journal: a folder of the courier in production, memory in tests and state-space exploration.

use std::io;

/// A byte sequence that survives a crash of the process. Writes are not followed by fsync, so that they may be lost
/// if the machine crashes.
pub trait Store {
    /// The number of stored bytes.
    fn len(&self) -> u64;

    /// Whether nothing is stored.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reads all stored bytes.
    ///
    /// # Errors
    /// The store can't be read.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Appends bytes. After a crash any prefix of them may be stored.
    ///
    /// # Errors
    /// The store can't be written; none of the bytes are stored.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Replaces all stored bytes atomically: after a crash either all old bytes or all new ones are stored.
    ///
    /// # Errors
    /// The store can't be written; the old bytes remain stored.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A fault to inject into the writes of a [`Memory`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault: writes succeed.
    #[default]
    None,
    /// The disk is full: every write fails and stores nothing.
    Full {
        /// Number of writes that succeed before the first failure.
        after: u32,
    },
    /// The process crashes during a write. Nothing that it writes afterwards reaches the store.
    Crash {
        /// Number of writes that succeed before the crash.
        after: u32,
        /// Number of bytes of the interrupted write that are stored.
        bytes: usize,
    },
}

/// A store in memory with fault injection, for tests and state-space exploration.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    bytes: Vec<u8>,
    fault: Fault,
    writes: u32,
    crashed: bool,
}

impl Memory {
    /// A store that already contains these bytes, such as those that remain after a crash.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Memory { bytes, ..Memory::default() }
    }

    /// The stored bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Sets the fault of the following writes and resets the count of writes to 0.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
        self.writes = 0;
    }

    /// The number of writes since the fault was set, including failed ones.
    pub fn writes(&self) -> u32 {
        self.writes
    }

    /// Whether the simulated process has crashed during a write ([`Fault::Crash`]).
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    fn write(&mut self, bytes: &[u8], replaces: bool) -> io::Result<()> {
        if self.crashed {
            return Ok(());
        }
        let previous_writes = self.writes;
        self.writes += 1;
        match self.fault {
            Fault::Full { after } if previous_writes >= after => {
                return Err(io::ErrorKind::StorageFull.into());
            }
            Fault::Crash { after, bytes: written } if previous_writes >= after => {
                self.crashed = true;
                // A replacement is stored entirely or not at all.
                if !replaces {
                    self.bytes.extend_from_slice(&bytes[..written.min(bytes.len())]);
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
