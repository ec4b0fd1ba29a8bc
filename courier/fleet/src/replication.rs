//! A courier's book at other couriers: the owner's side, which knows how far each copy is, and the copy's.
//!
//! A book is the owner's journal, byte for byte. Whatever is written to it counts once it is at every copy of the agreed set,
//! so that any one of them has all that counts. A journal that is compacted begins a new generation; a copy puts it in the
//! place of the one before in one step, when it is whole.

use crate::config::Name;
use crate::message::{FleetMessage, PAGE_BYTES, ReplicaPosition};
use crate::state::JournalId;
use bytes::Bytes;
use quillmount_core::journal::{self, JournalRecord, Records};
use quillmount_core::store::Store;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// A page that is not confirmed is sent again after so long; a connection between couriers answers in milliseconds.
const INITIAL_BACKOFF: Micros = 200_000;
/// A page that can never be confirmed is not sent more often than this.
const MAX_BACKOFF: Micros = 1_000_000;
/// Bytes of one book at a copy, at most: four times the largest share of a disk that a journal has had.
pub const MAX_REPLICA_BYTES: u64 = 64 << 20;

/// Where one copy is, by the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Progress {
    /// Bytes of this generation that it has, staged ones included; sent from here on.
    next: ReplicaPosition,
    /// All up to this point of the owner's count is in its store.
    replicated: u64,
    /// Its store has this generation, whole.
    has_generation: bool,
    /// It has had one.
    ever_complete: bool,
    /// A page is out, and sent again then.
    retry_at: Option<Micros>,
    backoff: Micros,
    /// It last confirmed anything new then, had all, or was chosen.
    progressed_at: Micros,
}

/// The owner's side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalReplicator {
    pub journal: JournalId,
    /// All of the journal.
    bytes: Vec<u8>,
    generation: u64,
    /// The first bytes of this generation, which are whole or worth nothing.
    complete_len: u64,
    /// Bytes ever written before this generation, in this life.
    previous_bytes: u64,
    replicas: BTreeMap<Name, Progress>,
}

impl JournalReplicator {
    /// The journal as the process found it; none of it counts as written in this life.
    pub fn new(journal: JournalId, bytes: Vec<u8>) -> Self {
        let complete_len = bytes.len() as u64;
        JournalReplicator {
            journal,
            bytes,
            generation: 1,
            complete_len,
            previous_bytes: 0,
            replicas: BTreeMap::new(),
        }
    }

    /// All that was ever written: a mark that grows with each record.
    pub fn written(&self) -> u64 {
        self.previous_bytes + self.bytes.len() as u64
    }

    pub fn appended(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub fn replaced(&mut self, bytes: Vec<u8>) {
        self.previous_bytes = self.written();
        self.complete_len = bytes.len() as u64;
        self.bytes = bytes;
        self.generation += 1;
    }

    /// Copies to these, and to no other.
    pub fn set_replicas(&mut self, names: &BTreeSet<Name>, now: Micros) {
        self.replicas.retain(|name, _| names.contains(name));
        for name in names {
            self.replicas.entry(name.clone()).or_insert(Progress {
                next: ReplicaPosition::default(),
                replicated: 0,
                has_generation: false,
                ever_complete: false,
                retry_at: None,
                backoff: INITIAL_BACKOFF,
                progressed_at: now,
            });
        }
    }

    /// Its process is another, and perhaps its folder: nothing is known of what it has.
    pub fn forget(&mut self, name: &str) {
        self.replicas.remove(name);
    }

    /// All up to this mark is at each of these.
    pub fn replicated_offset(&self, needed: &BTreeSet<Name>) -> u64 {
        let at = |name| self.replicas.get(name).map_or(0, |replica| replica.replicated);
        needed.iter().map(at).min().unwrap_or_else(|| self.written())
    }

    /// A copy has all that is written.
    pub fn is_caught_up(&self, name: &str) -> bool {
        self.replicas.get(name).is_some_and(|replica| replica.replicated == self.written())
    }

    /// A copy has got the whole book once; what came since is on its way.
    pub fn has_ever_completed(&self, name: &str) -> bool {
        self.replicas.get(name).is_some_and(|replica| replica.ever_complete)
    }

    /// Something is written that this copy has not confirmed for so long.
    pub fn lag(&self, name: &str, now: Micros) -> Micros {
        let done = |replica: &Progress| replica.has_generation && replica.replicated == self.written();
        let lag =
            |replica: &Progress| if done(replica) { 0 } else { now.saturating_sub(replica.progressed_at) };
        self.replicas.get(name).map_or(0, lag)
    }

    pub fn acknowledged(
        &mut self,
        from: &str,
        position: ReplicaPosition,
        staged: ReplicaPosition,
        now: Micros,
    ) {
        let (generation, complete_len, before, len) =
            (self.generation, self.complete_len, self.previous_bytes, self.bytes.len() as u64);
        let Some(replica) = self.replicas.get_mut(from) else { return };
        let next = [staged, position].into_iter().find(|p| p.generation == generation).unwrap_or_default();
        if position.len > len && position.generation == generation || next.len > len {
            // No copy has more than its owner; a word of an earlier life may say so.
            return;
        }
        replica.has_generation = position.generation == generation && position.len >= complete_len;
        if replica.has_generation {
            let replicated = before + position.len;
            if replicated > replica.replicated || !replica.ever_complete {
                (replica.progressed_at, replica.backoff) = (now, INITIAL_BACKOFF);
            }
            (replica.replicated, replica.ever_complete) = (replica.replicated.max(replicated), true);
        }
        if next != replica.next {
            (replica.next, replica.progressed_at) = (next, now);
        }
        replica.retry_at = None;
    }

    /// What is to be sent now.
    pub fn next_pages(&mut self, now: Micros) -> Vec<(Name, FleetMessage)> {
        let mut messages = Vec::new();
        for (name, replica) in &mut self.replicas {
            if replica.next.generation != self.generation {
                replica.next = ReplicaPosition { generation: self.generation, len: 0 };
                (replica.retry_at, replica.has_generation) = (None, false);
            }
            let at = replica.next.len as usize;
            let done = replica.has_generation && at == self.bytes.len();
            if done {
                // It is behind from the next record on, however long there has been none.
                replica.progressed_at = now;
            }
            if done || replica.retry_at.is_some_and(|retry_at| now < retry_at) {
                continue;
            }
            if replica.retry_at.is_some() {
                replica.backoff = (replica.backoff * 2).min(MAX_BACKOFF);
            }
            replica.retry_at = Some(now + replica.backoff);
            let page = &self.bytes[at..self.bytes.len().min(at + PAGE_BYTES)];
            messages.push((
                name.clone(),
                FleetMessage::Append {
                    journal: self.journal.clone(),
                    generation: self.generation,
                    // One that begins anew may have had all of this, and must not have less of it meanwhile.
                    complete_len: if replica.has_generation {
                        self.complete_len
                    } else {
                        self.bytes.len() as u64
                    },
                    offset: at as u64,
                    bytes: Bytes::copy_from_slice(page),
                },
            ));
        }
        messages
    }

    pub fn wake_at(&self) -> Option<Micros> {
        self.replicas.values().filter_map(|replica| replica.retry_at).min()
    }
}

/// The copy's side: one book of another courier.
#[derive(Clone, Debug)]
pub struct JournalReplica<S> {
    store: S,
    position: ReplicaPosition,
    /// A generation that is not whole yet.
    staged: Vec<u8>,
    staged_generation: u64,
    sealed: bool,
}

impl<S: Store> JournalReplica<S> {
    /// What the store has: from here on only a whole book changes it, since its generation is not known.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn open(mut store: S) -> io::Result<Self> {
        let bytes = store.read()?;
        let sealed = Records::new(&bytes).any(|(_, record)| matches!(record, JournalRecord::Sealed));
        Ok(JournalReplica {
            store,
            position: ReplicaPosition::default(),
            staged: Vec::new(),
            staged_generation: 0,
            sealed,
        })
    }

    /// Bytes that it takes, on the disk and before that.
    pub fn used_bytes(&self) -> u64 {
        self.store.len() + self.staged.len() as u64
    }

    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Takes bytes of the owner's; says how far it is. `None`: the book is sealed, and nothing is said.
    ///
    /// # Errors
    /// The store refuses them: nothing is confirmed.
    pub fn append(
        &mut self,
        generation: u64,
        complete_len: u64,
        at: u64,
        bytes: &[u8],
    ) -> io::Result<Option<(ReplicaPosition, ReplicaPosition)>> {
        if self.sealed && !crate::breaks::on(crate::breaks::Break::SealIgnored) {
            return Ok(None);
        }
        if at + bytes.len() as u64 > MAX_REPLICA_BYTES {
            return Ok(Some(self.acknowledgement()));
        }
        if generation == self.position.generation && generation != 0 {
            let old = self.position.len.saturating_sub(at) as usize;
            if at <= self.position.len && old < bytes.len() {
                self.store.append(&bytes[old..])?;
                self.position.len += (bytes.len() - old) as u64;
            }
        } else if generation > self.position.generation {
            if generation != self.staged_generation {
                (self.staged_generation, self.staged) = (generation, Vec::new());
            }
            let follows = at <= self.staged.len() as u64;
            let old = (self.staged.len() as u64).saturating_sub(at) as usize;
            if follows && old < bytes.len() {
                self.staged.extend_from_slice(&bytes[old..]);
            }
            if follows && self.staged.len() as u64 >= complete_len {
                self.store.replace(&self.staged)?;
                self.position = ReplicaPosition { generation, len: self.staged.len() as u64 };
                (self.staged, self.staged_generation) = (Vec::new(), 0);
            }
        }
        Ok(Some(self.acknowledgement()))
    }

    fn acknowledgement(&self) -> (ReplicaPosition, ReplicaPosition) {
        (self.position, ReplicaPosition { generation: self.staged_generation, len: self.staged.len() as u64 })
    }

    /// Nothing of the owner's is taken from here on, whatever becomes of this process.
    ///
    /// # Errors
    /// The store refuses the record: it is not sealed.
    pub fn seal(&mut self) -> io::Result<()> {
        if !self.sealed {
            let frame = journal::frame(&JournalRecord::Sealed).map_err(io::Error::other)?;
            self.store.append(&frame)?;
            self.position.len += frame.len() as u64;
            self.sealed = true;
            (self.staged, self.staged_generation) = (Vec::new(), 0);
        }
        Ok(())
    }

    /// A page of a sealed book, and how long the book is.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn page(&mut self, at: u64) -> io::Result<(u64, Bytes)> {
        let bytes = self.store.read()?;
        let from = (at as usize).min(bytes.len());
        let to = bytes.len().min(from + PAGE_BYTES);
        Ok((bytes.len() as u64, Bytes::copy_from_slice(&bytes[from..to])))
    }

    /// The book goes on under another epoch, in another store; what it has stays until the owner has sent it anew.
    ///
    /// # Errors
    /// A store can't be read or written.
    pub fn rename(mut self, mut store: S) -> io::Result<JournalReplica<S>> {
        let bytes = self.store.read()?;
        let end = Records::new(&bytes)
            .find(|(_, record)| matches!(record, JournalRecord::Sealed))
            .map(|(at, _)| at);
        store.replace(&bytes[..end.unwrap_or(bytes.len())])?;
        JournalReplica::open(store)
    }
}
