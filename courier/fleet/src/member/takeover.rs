//! Takeover of sealed journals: reads them from replicas, and tracks each adopted partition until both the agreed state
//! and the own journal record its owner.
//!
//! A partition that is assigned to this member is adopted in these steps. The member fetches the sealed journal and
//! the driver writes the partition's records into the own journal ([`TakeoverTask::Adopt`]). Once the records are
//! replicated, the fleet commits [`FleetCommand::Adopted`](crate::state::FleetCommand::Adopted). Only then does the
//! driver process them ([`TakeoverTask::ResolveAdoption`]) and record this in the own journal. Once that record is
//! replicated, the fleet commits [`FleetCommand::Done`](crate::state::FleetCommand::Done), and the agreed state no
//! longer tracks the partition.

use super::{AgreementLog, Member, MemberError, MemberNotice, MemberOutput, StoreDirectory, TakeoverTask};
use crate::breaks::{self, Break};
use crate::config::Name;
use crate::message::FleetMessage;
use crate::replication::MAX_REPLICA_BYTES;
use crate::state::{Epoch, JournalId, PartitionId, PartitionState};
use bytes::Bytes;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time in microseconds without a page after which the next replica is read.
const FETCH_RETRY_INTERVAL: Micros = 300_000;
/// Maximum length of a sealed journal in bytes. It equals that of a replica.
const MAX_JOURNAL_BYTES: u64 = MAX_REPLICA_BYTES;
/// Offset of a partition whose records are not in the own journal yet. No journal is ever replicated up to it.
const NOT_IN_JOURNAL: u64 = u64::MAX;

/// The state of reading a sealed journal from a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SealedFetch {
    /// The bytes received so far.
    bytes: Vec<u8>,
    /// Index of the replica that is read, in the order of the replicas' names, modulo their number.
    replica_index: usize,
    retry_at: Micros,
    /// Number of consecutive replies of couriers that have no replica.
    missing_replies: usize,
}

/// The progress of a partition's adoption that is not complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingAdoption {
    /// The next command may be proposed when the own journal is replicated up to this offset.
    offset: u64,
    /// The fleet has committed the adoption, so this member processes the partition's records.
    adopted: bool,
    /// The own journal contains a record of the committed adoption.
    recorded: bool,
}

impl PendingAdoption {
    fn new(offset: u64) -> Self {
        PendingAdoption { offset, adopted: false, recorded: false }
    }

    /// Whether the next command about the adoption, [`FleetCommand::Adopted`](crate::state::FleetCommand::Adopted) or
    /// [`FleetCommand::Done`](crate::state::FleetCommand::Done), may be proposed.
    pub(super) fn may_be_proposed(&self, agreed: &PartitionState, replicated_offset: u64) -> bool {
        let is_replicated = self.offset <= replicated_offset;
        match agreed {
            PartitionState::Assigned(..) => is_replicated,
            PartitionState::Adopted(..) => self.recorded && is_replicated,
            PartitionState::Unassigned | PartitionState::Done => false,
        }
    }
}

/// The takeovers of this member that are in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Takeovers {
    pub(super) fetches: BTreeMap<JournalId, SealedFetch>,
    pub(super) pending: BTreeMap<PartitionId, PendingAdoption>,
}

/// The contents of a [`FleetMessage::Page`].
pub(super) struct ReceivedPage {
    pub(super) journal: JournalId,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) bytes: Bytes,
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Resumes the adoptions that the own journal contains but does not record as resolved, after it was opened.
    pub(super) fn resume_adoptions(&mut self, unsettled: Vec<PartitionId>) {
        let pending = PendingAdoption::new(self.replication.written());
        self.takeovers.pending = unsettled.into_iter().map(|source| (source, pending)).collect();
    }

    /// Handles the write of a partition's records to the own journal.
    pub(super) fn adoption_written(&mut self, source: PartitionId) {
        let pending = PendingAdoption::new(self.replication.written());
        self.takeovers.pending.insert(source, pending);
    }

    /// Handles the write of the adoption's resolution to the own journal.
    pub(super) fn adoption_recorded(&mut self, source: &PartitionId) {
        let offset = self.replication.written();
        if let Some(pending) = self.takeovers.pending.get_mut(source) {
            pending.offset = offset;
            pending.recorded = true;
        }
    }

    /// Requests pages of the sealed journals that have partitions assigned to this member.
    pub(super) fn fetch_sealed(
        &mut self,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let Some(epoch) = self.epoch.filter(|_| self.replication.replicator.is_some()) else {
            return Ok(());
        };
        let wanted: BTreeSet<JournalId> = self
            .state
            .assigned_to(&self.config.local_name, epoch)
            .filter(|source| !self.takeovers.pending.contains_key(source))
            .map(|source| source.journal)
            .collect();
        self.takeovers.fetches.retain(|journal, _| wanted.contains(journal));
        for journal in wanted {
            let replicas: Vec<Name> = self
                .state
                .journals
                .get(&journal)
                .map(|agreed| agreed.replicas.iter().cloned().collect())
                .unwrap_or_default();
            let fetch = self.takeovers.fetches.entry(journal.clone()).or_insert(SealedFetch {
                bytes: Vec::new(),
                replica_index: 0,
                retry_at: now,
                missing_replies: 0,
            });
            if now < fetch.retry_at || replicas.is_empty() {
                continue;
            }
            if fetch.retry_at != now {
                // No page arrived in time. The next replica is read from the start, as replicas may differ after the
                // offset up to which the journal is replicated.
                fetch.replica_index += 1;
                fetch.bytes.clear();
            }
            fetch.retry_at = now + FETCH_RETRY_INTERVAL;
            let offset = fetch.bytes.len() as u64;
            let to = replicas[fetch.replica_index % replicas.len()].clone();
            self.send_to(to, FleetMessage::Fetch { journal, offset }, now, out)?;
        }
        Ok(())
    }

    pub(super) fn receive_page(
        &mut self,
        from: &Name,
        page: ReceivedPage,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) {
        let replicas = self.state.journals.get(&page.journal).map(|agreed| &agreed.replicas);
        let Some(fetch) = self.takeovers.fetches.get_mut(&page.journal) else { return };
        let current = replicas.and_then(|names| names.iter().nth(fetch.replica_index % names.len().max(1)));
        let is_next = fetch.bytes.len() as u64 == page.offset;
        if current != Some(from) || page.total > MAX_JOURNAL_BYTES || !is_next {
            return;
        }
        fetch.bytes.extend_from_slice(&page.bytes);
        fetch.retry_at = now;
        fetch.missing_replies = 0;
        if fetch.bytes.len() as u64 >= page.total {
            self.finish_fetch(page.journal, out);
        }
    }

    /// Handles the reply of a courier that has no replica of a sealed journal. A notice is sent when none of the
    /// couriers has one.
    pub(super) fn replica_missing(&mut self, journal: JournalId, out: &mut Vec<MemberOutput>) {
        let Some(fetch) = self.takeovers.fetches.get_mut(&journal) else { return };
        fetch.missing_replies += 1;
        let replicas = self.state.journals.get(&journal).map_or(0, |agreed| agreed.replicas.len());
        if fetch.missing_replies == replicas.max(1) {
            out.push(MemberOutput::Notice(MemberNotice::ReplicaUnavailable { journal }));
        }
    }

    /// Requests the adoption of the assigned partitions, after the whole sealed journal was received.
    fn finish_fetch(&mut self, journal: JournalId, out: &mut Vec<MemberOutput>) {
        let Some(fetch) = self.takeovers.fetches.remove(&journal) else { return };
        let Some(epoch) = self.epoch else { return };
        let partitions: Vec<_> = self
            .state
            .assigned_to(&self.config.local_name, epoch)
            .filter(|source| source.journal == journal && !self.takeovers.pending.contains_key(source))
            .collect();
        if partitions.is_empty() {
            return;
        }
        let settled = self.state.adopted_by(&journal.owner, journal.epoch).collect();
        for source in &partitions {
            self.takeovers.pending.insert(source.clone(), PendingAdoption::new(NOT_IN_JOURNAL));
        }
        out.push(MemberOutput::Notice(MemberNotice::TakeoverStarted {
            journal,
            partitions: partitions.len(),
            bytes: fetch.bytes.len(),
        }));
        out.push(MemberOutput::Takeover(TakeoverTask::Adopt { partitions, settled, bytes: fetch.bytes }));
    }

    /// Resolves adoptions that were in the journal when it was opened, and those whose outcome was committed since
    /// then.
    pub(super) fn resolve_pending(&mut self, out: &mut Vec<MemberOutput>) {
        if self.epoch.is_none() {
            return;
        }
        let sources: Vec<_> = self.takeovers.pending.keys().cloned().collect();
        for source in sources {
            let is_adopted = matches!(self.state.partition(&source), Some(PartitionState::Adopted(..)));
            let is_own = self.is_assigned_here(&source);
            let Some(pending) = self.takeovers.pending.get_mut(&source) else { continue };
            if pending.adopted {
                if !is_own && pending.recorded {
                    self.takeovers.pending.remove(&source);
                }
            } else if !is_own {
                self.takeovers.pending.remove(&source);
                out.push(resolve_adoption(source, false));
            } else if is_adopted || breaks::is_enabled(Break::AdoptedAtOnce) {
                pending.adopted = true;
                out.push(resolve_adoption(source, true));
            }
        }
    }

    /// Handles the assignment of a partition: a pending adoption ends if another courier is the assignee.
    pub(super) fn partition_assigned(&mut self, source: PartitionId, out: &mut Vec<MemberOutput>) {
        let is_open = self.takeovers.pending.get(&source).is_some_and(|pending| !pending.adopted);
        if is_open && !self.is_assigned_here(&source) {
            self.takeovers.pending.remove(&source);
            out.push(resolve_adoption(source, false));
        }
    }

    /// Handles the committed adoption of a partition by a courier.
    pub(super) fn partition_adopted(
        &mut self,
        source: PartitionId,
        adopter: Name,
        epoch: Epoch,
        out: &mut Vec<MemberOutput>,
    ) {
        let is_own = adopter == self.config.local_name && self.epoch == Some(epoch);
        let Some(pending) = self.takeovers.pending.get_mut(&source) else { return };
        if !is_own {
            self.takeovers.pending.remove(&source);
            out.push(resolve_adoption(source, false));
        } else if !pending.adopted {
            pending.adopted = true;
            out.push(resolve_adoption(source, true));
        }
    }

    /// Handles the end of a takeover: all partitions of the sealed journal are done. Adoptions that are still pending
    /// here were completed by other couriers.
    pub(super) fn journal_retired(&mut self, journal: &JournalId, out: &mut Vec<MemberOutput>) {
        let sources: Vec<_> =
            self.takeovers.pending.keys().filter(|source| source.journal == *journal).cloned().collect();
        for source in sources {
            if self.takeovers.pending.remove(&source).is_some_and(|pending| !pending.adopted) {
                out.push(resolve_adoption(source, false));
            }
        }
    }

    /// Whether the partition is assigned to this member or adopted by it.
    fn is_assigned_here(&self, source: &PartitionId) -> bool {
        match self.state.partition(source) {
            Some(PartitionState::Assigned(name, epoch) | PartitionState::Adopted(name, epoch)) => {
                *name == self.config.local_name && self.epoch == Some(*epoch)
            }
            _ => false,
        }
    }
}

fn resolve_adoption(source: PartitionId, adopted: bool) -> MemberOutput {
    MemberOutput::Takeover(TakeoverTask::ResolveAdoption { source, adopted })
}
