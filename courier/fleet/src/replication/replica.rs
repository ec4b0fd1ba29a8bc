//! The replica's side of replication: another courier's journal in a store of this one.

use crate::breaks::{self, Break};
use crate::message::{PAGE_BYTES, ReplicaPosition};
use bytes::Bytes;
use quillmount_core::journal::{self, JournalRecord, Records};
use quillmount_core::store::Store;
use std::io;

/// Bytes of one replica, at most: four times the largest share of a disk that a journal has had.
pub const MAX_REPLICA_BYTES: u64 = 64 << 20;

/// What a replica acknowledges to the journal's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAcknowledgement {
    /// What its store has.
    pub stored: ReplicaPosition,
    /// What it has of a generation that is not complete yet.
    pub staged: ReplicaPosition,
}

/// A page of a sealed journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPage {
    /// Bytes of the journal.
    pub journal_len: u64,
    /// Bytes of the page; fewer than a full page at the journal's end.
    pub bytes: Bytes,
}

/// A replica of one journal of another courier.
#[derive(Clone, Debug)]
pub struct JournalReplica<S> {
    store: S,
    /// What of which generation the store has; the default while the generation is not known.
    position: ReplicaPosition,
    /// The first bytes of a generation that is not complete yet.
    staged: Vec<u8>,
    staged_generation: u64,
    sealed: bool,
}

impl<S: Store> JournalReplica<S> {
    /// The replica that the store has. Only a complete journal changes it from here on, as its generation is not known.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn open(mut store: S) -> io::Result<Self> {
        let bytes = store.read()?;
        let sealed = sealed_at(&bytes).is_some();
        Ok(JournalReplica {
            store,
            position: ReplicaPosition::default(),
            staged: Vec::new(),
            staged_generation: 0,
            sealed,
        })
    }

    /// The bytes that it uses, in the store and staged.
    pub fn used_bytes(&self) -> u64 {
        self.store.len() + self.staged.len() as u64
    }

    /// Whether it accepts no more bytes.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Appends a page of the owner's; returns the acknowledgement. `None`: the replica is sealed, and nothing is
    /// acknowledged.
    ///
    /// # Errors
    /// The store fails: nothing is acknowledged.
    pub fn append(
        &mut self,
        generation: u64,
        complete_len: u64,
        at: u64,
        bytes: &[u8],
    ) -> io::Result<Option<ReplicaAcknowledgement>> {
        if self.sealed && !breaks::is_enabled(Break::SealIgnored) {
            return Ok(None);
        }
        if at + bytes.len() as u64 > MAX_REPLICA_BYTES {
            return Ok(Some(self.acknowledgement()));
        }
        if generation == self.position.generation && generation != 0 {
            self.append_to_store(at, bytes)?;
        } else if generation > self.position.generation {
            self.stage(generation, complete_len, at, bytes)?;
        }
        Ok(Some(self.acknowledgement()))
    }

    fn append_to_store(&mut self, at: u64, bytes: &[u8]) -> io::Result<()> {
        let known = self.position.len.saturating_sub(at) as usize;
        if at <= self.position.len && known < bytes.len() {
            self.store.append(&bytes[known..])?;
            self.position.len += (bytes.len() - known) as u64;
        }
        Ok(())
    }

    /// Stages bytes of a later generation, which replaces the store's once it is complete.
    fn stage(&mut self, generation: u64, complete_len: u64, at: u64, bytes: &[u8]) -> io::Result<()> {
        if generation != self.staged_generation {
            (self.staged_generation, self.staged) = (generation, Vec::new());
        }
        let staged = self.staged.len() as u64;
        if at > staged {
            return Ok(());
        }
        let known = (staged - at) as usize;
        if known < bytes.len() {
            self.staged.extend_from_slice(&bytes[known..]);
        }
        if self.staged.len() as u64 >= complete_len {
            self.store.replace(&self.staged)?;
            self.position = ReplicaPosition { generation, len: self.staged.len() as u64 };
            (self.staged, self.staged_generation) = (Vec::new(), 0);
        }
        Ok(())
    }

    fn acknowledgement(&self) -> ReplicaAcknowledgement {
        let staged = ReplicaPosition { generation: self.staged_generation, len: self.staged.len() as u64 };
        ReplicaAcknowledgement { stored: self.position, staged }
    }

    /// Accepts nothing of the owner's from here on, even after a restart.
    ///
    /// # Errors
    /// The store fails: the replica is not sealed.
    pub fn seal(&mut self) -> io::Result<()> {
        if self.sealed {
            return Ok(());
        }
        let frame = journal::frame(&JournalRecord::Sealed).map_err(io::Error::other)?;
        self.store.append(&frame)?;
        self.position.len += frame.len() as u64;
        self.sealed = true;
        (self.staged, self.staged_generation) = (Vec::new(), 0);
        Ok(())
    }

    /// A page of the sealed journal, from this offset on.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn page(&mut self, at: u64) -> io::Result<ReplicaPage> {
        let bytes = self.store.read()?;
        let from = (at as usize).min(bytes.len());
        let to = bytes.len().min(from + PAGE_BYTES);
        let page = Bytes::copy_from_slice(&bytes[from..to]);
        Ok(ReplicaPage { journal_len: bytes.len() as u64, bytes: page })
    }

    /// Moves the journal to the store of another epoch, under which its owner continues. What it has stays until the owner
    /// has sent it again.
    ///
    /// # Errors
    /// A store can't be read or written.
    pub fn rename(mut self, mut store: S) -> io::Result<JournalReplica<S>> {
        let bytes = self.store.read()?;
        let end = sealed_at(&bytes).unwrap_or(bytes.len());
        store.replace(&bytes[..end])?;
        JournalReplica::open(store)
    }
}

/// Where the record that seals a journal begins, if it has one.
fn sealed_at(bytes: &[u8]) -> Option<usize> {
    Records::new(bytes).find(|(_, record)| matches!(record, JournalRecord::Sealed)).map(|(at, _)| at)
}
