//! The replica's side of replication: stores the journal of another courier.

use crate::breaks::{self, Break};
use crate::message::{PAGE_BYTES, ReplicaPosition};
use bytes::Bytes;
use quillmount_core::journal::{self, JournalRecord, Records};
use quillmount_core::store::Store;
use std::io;

/// Upper limit of the size of one replica in bytes. It is four times the largest disk space of a journal so far.
pub const MAX_REPLICA_BYTES: u64 = 64 << 20;

/// An acknowledgement from a replica to the journal's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAcknowledgement {
    /// The position up to which the store has the journal.
    pub stored: ReplicaPosition,
    /// The position up to which a generation that isn't complete yet is staged.
    pub staged: ReplicaPosition,
}

/// A page of a sealed journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPage {
    /// The length of the whole journal in bytes.
    pub journal_len: u64,
    /// The content of the page, which is shorter than a full page at the journal's end.
    pub bytes: Bytes,
}

/// A replica of one journal of another courier.
#[derive(Clone, Debug)]
pub struct JournalReplica<S> {
    store: S,
    /// The stored generation and its length; the default while the generation is unknown.
    position: ReplicaPosition,
    /// The first bytes of a generation that is not complete yet.
    staged: Vec<u8>,
    staged_generation: u64,
    sealed: bool,
}

impl<S: Store> JournalReplica<S> {
    /// Opens the replica in a store. Its generation is unknown, so it accepts only a complete generation
    /// from its owner.
    ///
    /// # Errors
    /// Returns an error if the store can't be read.
    pub fn open(mut store: S) -> io::Result<Self> {
        let bytes = store.read()?;
        let sealed = seal_offset(&bytes).is_some();
        Ok(JournalReplica {
            store,
            position: ReplicaPosition::default(),
            staged: Vec::new(),
            staged_generation: 0,
            sealed,
        })
    }

    /// The number of bytes that the replica uses, in the store and staged.
    pub fn used_bytes(&self) -> u64 {
        self.store.len() + self.staged.len() as u64
    }

    /// Whether the replica is sealed and accepts no more bytes from the owner.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Appends a page from the owner and returns the acknowledgement, or `None` if the replica is sealed and
    /// acknowledges nothing.
    ///
    /// # Errors
    /// Returns an error if the store fails; nothing is acknowledged in that case.
    pub fn append(
        &mut self,
        generation: u64,
        complete_len: u64,
        offset: u64,
        bytes: &[u8],
    ) -> io::Result<Option<ReplicaAcknowledgement>> {
        if self.sealed && !breaks::is_enabled(Break::SealIgnored) {
            return Ok(None);
        }
        if offset + bytes.len() as u64 > MAX_REPLICA_BYTES {
            return Ok(Some(self.acknowledgement()));
        }
        if generation == self.position.generation && generation != 0 {
            self.append_to_store(offset, bytes)?;
        } else if generation > self.position.generation {
            self.stage(generation, complete_len, offset, bytes)?;
        }
        Ok(Some(self.acknowledgement()))
    }

    fn append_to_store(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let already_present = self.position.len.saturating_sub(offset) as usize;
        if offset <= self.position.len && already_present < bytes.len() {
            self.store.append(&bytes[already_present..])?;
            self.position.len += (bytes.len() - already_present) as u64;
        }
        Ok(())
    }

    /// Stages bytes of a later generation, which replaces the stored one once it is complete.
    fn stage(&mut self, generation: u64, complete_len: u64, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if generation != self.staged_generation {
            (self.staged_generation, self.staged) = (generation, Vec::new());
        }
        let staged = self.staged.len() as u64;
        if offset > staged {
            return Ok(());
        }
        let already_present = (staged - offset) as usize;
        if already_present < bytes.len() {
            self.staged.extend_from_slice(&bytes[already_present..]);
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

    /// Seals the replica: it accepts nothing more from the owner, even after a restart.
    ///
    /// # Errors
    /// Returns an error if the store fails; the replica isn't sealed in that case.
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

    /// Returns the page of the sealed journal that begins at `offset`.
    ///
    /// # Errors
    /// Returns an error if the store can't be read.
    pub fn page(&mut self, offset: u64) -> io::Result<ReplicaPage> {
        let bytes = self.store.read()?;
        let start = (offset as usize).min(bytes.len());
        let end = bytes.len().min(start + PAGE_BYTES);
        let page = Bytes::copy_from_slice(&bytes[start..end]);
        Ok(ReplicaPage { journal_len: bytes.len() as u64, bytes: page })
    }

    /// Moves the journal to the store of another epoch, under which its owner continues. The content is retained until
    /// the owner has sent it again.
    ///
    /// # Errors
    /// Returns an error if a store can't be read or written.
    pub fn rename(mut self, mut store: S) -> io::Result<JournalReplica<S>> {
        let bytes = self.store.read()?;
        let end = seal_offset(&bytes).unwrap_or(bytes.len());
        store.replace(&bytes[..end])?;
        JournalReplica::open(store)
    }
}

/// Returns the offset of the record that seals the journal, if there is one.
fn seal_offset(bytes: &[u8]) -> Option<usize> {
    Records::new(bytes).find(|(_, record)| matches!(record, JournalRecord::Sealed)).map(|(offset, _)| offset)
}
