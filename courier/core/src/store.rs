//! Where the journal lives: a small folder of the courier, or memory where the rules are explored.

use std::io;

/// Bytes that outlast the process. Nothing of it is synced: what is written survives the process, and
/// the machine's loss takes all of it.
pub trait Store {
    /// Bytes that are in it.
    fn len(&self) -> u64;

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All of it.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Adds bytes at its end. An error means that none of them are in it; a kill may leave any prefix.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Puts these bytes in the place of all others: a kill leaves the old ones or the new ones, whole.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// What the next writes of a [`Memory`] come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// After so many more writes the disk is full: each one is refused, and leaves nothing.
    Full { after: u32 },
    /// After so many more writes the process dies in the middle of one, of which so many bytes remain.
    /// Nothing that it does from there on reaches the store.
    Die { after: u32, bytes: usize },
}

/// A store in memory, with faults on request.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    bytes: Vec<u8>,
    fault: Fault,
    writes: u32,
    dead: bool,
}

impl Memory {
    /// What a kill has left.
    pub fn of(bytes: Vec<u8>) -> Self {
        Memory { bytes, ..Memory::default() }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// From now on; counts of writes begin anew.
    pub fn fail(&mut self, fault: Fault) {
        (self.fault, self.writes) = (fault, 0);
    }

    /// Writes since the fault was set, refused ones included.
    pub fn writes(&self) -> u32 {
        self.writes
    }

    /// The process has died in a write.
    pub fn is_dead(&self) -> bool {
        self.dead
    }

    fn write(&mut self, bytes: &[u8], whole: bool) -> io::Result<()> {
        if self.dead {
            return Ok(());
        }
        let n = self.writes;
        self.writes += 1;
        match self.fault {
            Fault::Full { after } if n >= after => return Err(io::ErrorKind::StorageFull.into()),
            Fault::Die { after, bytes: left } if n >= after => {
                self.dead = true;
                // A copy is put in place whole or not at all.
                if !whole {
                    self.bytes.extend_from_slice(&bytes[..left.min(bytes.len())]);
                }
            }
            _ if whole => self.bytes = bytes.to_vec(),
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
