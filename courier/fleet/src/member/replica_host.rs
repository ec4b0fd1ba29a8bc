//! Stores replicas of other couriers' journals.

use super::stores::replica_store_name;
use super::{AgreementLog, Member, MemberError, MemberNotice, MemberOutput, StoreDirectory};
use crate::config::Name;
use crate::message::FleetMessage;
use crate::replication::{JournalReplica, ReplicaAcknowledgement, ReplicaPage};
use crate::state::JournalId;
use bytes::Bytes;
use quillmount_policy::Micros;
use std::io;

/// The contents of a [`FleetMessage::Append`].
pub(super) struct AppendRequest {
    pub(super) journal: JournalId,
    pub(super) generation: u64,
    pub(super) complete_len: u64,
    pub(super) offset: u64,
    pub(super) bytes: Bytes,
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Appends bytes of another courier's journal to its replica and acknowledges them. If the write fails, the owner
    /// gets no acknowledgement, and the error is reported once per journal until a write succeeds.
    pub(super) fn append_to_replica(
        &mut self,
        from: Name,
        request: AppendRequest,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let journal = request.journal;
        let is_writable = self.state.journals.get(&journal).is_some_and(|agreed| agreed.sealed.is_none());
        if !is_writable || journal.owner != from {
            return Ok(());
        }
        if !self.replicas.contains_key(&journal) {
            let store = self.stores.open(&replica_store_name(&journal))?;
            self.replicas.insert(journal.clone(), JournalReplica::open(store)?);
        }
        let used: u64 = self.replicas.values().map(JournalReplica::used_bytes).sum();
        let required = used + request.bytes.len() as u64;
        let Some(replica) = self.replicas.get_mut(&journal) else { return Ok(()) };
        let result = if required > self.replica_capacity {
            Err(storage_full(required, self.replica_capacity))
        } else {
            replica.append(request.generation, request.complete_len, request.offset, &request.bytes)
        };
        match result {
            Ok(Some(ReplicaAcknowledgement { stored, staged })) => {
                self.rejected_replicas.remove(&journal);
                let reply = FleetMessage::AppendAck { journal, position: stored, staged };
                out.push(MemberOutput::Send(from, reply));
            }
            Ok(None) => {}
            Err(e) => {
                if self.rejected_replicas.insert(journal.clone()) {
                    let notice = MemberNotice::ReplicaRejected { journal, error: e.to_string() };
                    out.push(MemberOutput::Notice(notice));
                }
            }
        }
        Ok(())
    }

    /// Sends a page of a replica to a courier that takes the journal over.
    pub(super) fn serve_fetch(
        &mut self,
        from: Name,
        journal: JournalId,
        offset: u64,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let reply = match self.replicas.get_mut(&journal) {
            None => FleetMessage::UnknownJournal { journal },
            Some(replica) => {
                // The sender knows that the journal is sealed, possibly before this courier does. After the first page
                // was sent, nothing may be appended to the replica.
                replica.seal()?;
                let ReplicaPage { journal_len, bytes } = replica.page(offset)?;
                FleetMessage::Page { journal, offset, total: journal_len, bytes }
            }
        };
        self.send_to(from, reply, now, out)
    }

    pub(super) fn drop_replica(&mut self, journal: &JournalId) -> Result<(), MemberError> {
        self.rejected_replicas.remove(journal);
        if self.replicas.remove(journal).is_some() {
            self.stores.remove(&replica_store_name(journal))?;
        }
        Ok(())
    }

    /// Drops replicas of journals that are not in the agreed state. When a member is registered, its agreed state
    /// contains all earlier journals.
    pub(super) fn drop_unknown_replicas(&mut self) -> Result<(), MemberError> {
        let unknown: Vec<_> =
            self.replicas.keys().filter(|id| !self.state.journals.contains_key(id)).cloned().collect();
        unknown.iter().try_for_each(|id| self.drop_replica(id))
    }
}

fn storage_full(required: u64, capacity: u64) -> io::Error {
    io::Error::new(
        io::ErrorKind::StorageFull,
        format!(
            "replicas of other couriers need {required} bytes, more than the limit of {capacity} (limits.disk_mb)"
        ),
    )
}
