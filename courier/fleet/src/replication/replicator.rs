//! The owner's side of replication: the journal's bytes, and each replica's progress.

use super::progress::{JournalExtent, NextPage, Progress};
use crate::config::Name;
use crate::message::{FleetMessage, PAGE_BYTES, ReplicaPosition};
use crate::state::JournalId;
use bytes::Bytes;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Replicates one journal. Offsets count all bytes that were written since the process started, over all generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalReplicator {
    /// The journal that is replicated.
    pub journal: JournalId,
    /// All of the present generation.
    bytes: Vec<u8>,
    generation: u64,
    /// The first bytes of this generation, which replace the generation before once they are complete.
    complete_len: u64,
    /// Bytes written before this generation, since the process started.
    previous_bytes: u64,
    replicas: BTreeMap<Name, Progress>,
}

impl JournalReplicator {
    /// The journal as the process found it. Offsets count from its first byte.
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

    fn extent(&self) -> JournalExtent {
        JournalExtent {
            generation: self.generation,
            complete_len: self.complete_len,
            previous_bytes: self.previous_bytes,
            len: self.bytes.len() as u64,
        }
    }

    /// The offset of the journal's end: it grows with each record.
    pub fn written(&self) -> u64 {
        self.extent().written()
    }

    /// These bytes were appended to the journal.
    pub fn appended(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The journal was compacted to these bytes: a new generation begins.
    pub fn replaced(&mut self, bytes: Vec<u8>) {
        self.previous_bytes = self.written();
        self.complete_len = bytes.len() as u64;
        self.bytes = bytes;
        self.generation += 1;
    }

    /// Replicates to these couriers, and to no other.
    pub fn set_replicas(&mut self, names: &BTreeSet<Name>, now: Micros) {
        self.replicas.retain(|name, _| names.contains(name));
        for name in names {
            self.replicas.entry(name.clone()).or_insert_with(|| Progress::new(now));
        }
    }

    /// The courier has another process, and perhaps another folder: nothing is known of what it has.
    pub fn forget(&mut self, name: &str) {
        self.replicas.remove(name);
    }

    /// The offset up to which each of these couriers has everything.
    pub fn replicated_offset(&self, needed: &BTreeSet<Name>) -> u64 {
        let at = |name| self.replicas.get(name).map_or(0, |replica| replica.replicated);
        needed.iter().map(at).min().unwrap_or_else(|| self.written())
    }

    /// Whether a replica has had a complete journal; what was written since may be on its way.
    pub fn has_ever_completed(&self, name: &str) -> bool {
        self.replicas.get(name).is_some_and(|replica| replica.ever_complete)
    }

    /// For how long a replica has not acknowledged anything new, though it lacks something that is written.
    pub fn lag(&self, name: &str, now: Micros) -> Micros {
        self.replicas.get(name).map_or(0, |replica| replica.lag(self.written(), now))
    }

    /// A replica has acknowledged what its store has, and what of a generation is staged.
    pub fn acknowledged(
        &mut self,
        from: &str,
        position: ReplicaPosition,
        staged: ReplicaPosition,
        now: Micros,
    ) {
        let extent = self.extent();
        if let Some(replica) = self.replicas.get_mut(from) {
            replica.acknowledged(position, staged, extent, now);
        }
    }

    /// The pages to send now, with the couriers that they are for.
    pub fn next_pages(&mut self, now: Micros) -> Vec<(Name, FleetMessage)> {
        let extent = self.extent();
        let mut messages = Vec::new();
        for (name, replica) in &mut self.replicas {
            let Some(NextPage { offset, complete_len }) = replica.next_page(extent, now) else { continue };
            let from = offset as usize;
            let page = &self.bytes[from..self.bytes.len().min(from + PAGE_BYTES)];
            let message = FleetMessage::Append {
                journal: self.journal.clone(),
                generation: self.generation,
                complete_len,
                offset,
                bytes: Bytes::copy_from_slice(page),
            };
            messages.push((name.clone(), message));
        }
        messages
    }

    /// When [`JournalReplicator::next_pages`] is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        self.replicas.values().filter_map(|replica| replica.retry_at).min()
    }
}
