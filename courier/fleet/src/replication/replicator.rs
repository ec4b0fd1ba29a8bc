//! The owner's side of replication: the bytes of the journal, and the progress of each replica.

use super::progress::{JournalExtent, NextPage, Progress};
use crate::config::Name;
use crate::message::{FleetMessage, PAGE_BYTES, ReplicaPosition};
use crate::state::JournalId;
use bytes::Bytes;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Replicates one journal. Offsets count all bytes written since the process started, in all generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalReplicator {
    /// The id of the replicated journal.
    pub journal: JournalId,
    /// The content of the current generation.
    bytes: Vec<u8>,
    generation: u64,
    /// The number of bytes that a replica needs of this generation before it replaces the previous one.
    complete_len: u64,
    /// Bytes written in earlier generations since the process started.
    previous_bytes: u64,
    replicas: BTreeMap<Name, Progress>,
}

impl JournalReplicator {
    /// Creates the replicator of a journal with the content that the process found at its start. Offsets count from
    /// its first byte.
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

    /// The offset of the journal's end, which grows with each record.
    pub fn written(&self) -> u64 {
        self.extent().written()
    }

    /// Records that bytes were appended to the journal.
    pub fn appended(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Records that the journal was compacted to `bytes`, which begins a new generation.
    pub fn replaced(&mut self, bytes: Vec<u8>) {
        self.previous_bytes = self.written();
        self.complete_len = bytes.len() as u64;
        self.bytes = bytes;
        self.generation += 1;
    }

    /// Sets the couriers that have a replica; others are dropped.
    pub fn set_replicas(&mut self, names: &BTreeSet<Name>, now: Micros) {
        self.replicas.retain(|name, _| names.contains(name));
        for name in names {
            self.replicas.entry(name.clone()).or_insert_with(|| Progress::new(now));
        }
    }

    /// Discards the progress of a courier that has a new process and may have lost its folder.
    pub fn forget(&mut self, name: &str) {
        self.replicas.remove(name);
    }

    /// The offset up to which all couriers in `needed` have everything; the journal's end if `needed` is empty.
    pub fn replicated_offset(&self, needed: &BTreeSet<Name>) -> u64 {
        let offset_of = |name| self.replicas.get(name).map_or(0, |replica| replica.replicated);
        needed.iter().map(offset_of).min().unwrap_or_else(|| self.written())
    }

    /// Whether a replica has ever had the complete journal. Later records may still be in flight to it.
    pub fn has_ever_completed(&self, name: &str) -> bool {
        self.replicas.get(name).is_some_and(|replica| replica.ever_complete)
    }

    /// The time in microseconds since a replica last made progress; 0 if it is caught up.
    pub fn lag(&self, name: &str, now: Micros) -> Micros {
        self.replicas.get(name).map_or(0, |replica| replica.lag(self.written(), now))
    }

    /// Handles a replica's acknowledgement of its stored and its staged position.
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

    /// Returns the pages to send now, each with its recipient.
    pub fn next_pages(&mut self, now: Micros) -> Vec<(Name, FleetMessage)> {
        let extent = self.extent();
        let mut messages = Vec::new();
        for (name, replica) in &mut self.replicas {
            let Some(NextPage { offset, complete_len }) = replica.next_page(extent, now) else { continue };
            let start = offset as usize;
            let page = &self.bytes[start..self.bytes.len().min(start + PAGE_BYTES)];
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

    /// The time at which [`JournalReplicator::next_pages`] is due next; `None` if no page is in flight.
    pub fn wake_at(&self) -> Option<Micros> {
        self.replicas.values().filter_map(|replica| replica.retry_at).min()
    }
}
