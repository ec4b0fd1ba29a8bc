//! Takeover of sealed journals: reads them from their replicas, and follows each adopted partition until the
//! fleet and the own journal agree on whose it is.
//!
//! A partition that is assigned to this member goes through these steps: its journal is fetched, its records are
//! written into the own journal ([`TakeoverTask::Adopt`]), and, once they are replicated, the fleet commits
//! [`FleetCommand::Adopted`](crate::state::FleetCommand::Adopted). Only then the member acts on them
//! ([`TakeoverTask::ResolveAdoption`]). When the own journal records that, replicated in turn, the fleet commits
//! [`FleetCommand::Done`](crate::state::FleetCommand::Done) and forgets the partition.

use super::{AgreementLog, Member, MemberError, MemberNotice, MemberOutput, StoreDirectory, TakeoverTask};
use crate::breaks::{self, Break};
use crate::config::Name;
use crate::message::FleetMessage;
use crate::replication::MAX_REPLICA_BYTES;
use crate::state::{Epoch, JournalId, PartitionId, PartitionState};
use bytes::Bytes;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time without a page after which the next replica is read, in microseconds.
const FETCH_RETRY_INTERVAL: Micros = 300_000;
/// Maximum length of a sealed journal in bytes: that of a replica.
const MAX_JOURNAL_BYTES: u64 = MAX_REPLICA_BYTES;
/// Offset of a partition whose records are not in the journal yet: never replicated.
const NOT_IN_JOURNAL: u64 = u64::MAX;

/// A sealed journal that is being read from a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SealedFetch {
    /// The bytes that were read so far.
    bytes: Vec<u8>,
    /// Which of the replicas is read, counted in the order of their names, modulo their number.
    replica_index: usize,
    retry_at: Micros,
    /// Replies in a row of couriers that have no replica.
    missing_replies: usize,
}

/// An adopted partition whose adoption is not complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingAdoption {
    /// The adoption may be proposed when the own journal is replicated up to this offset.
    offset: u64,
    /// The fleet has committed the adoption: this member acts on the partition's records.
    adopted: bool,
    /// The own journal records that.
    recorded: bool,
}

impl PendingAdoption {
    fn new(offset: u64) -> Self {
        PendingAdoption { offset, adopted: false, recorded: false }
    }

    /// Whether the fleet is to commit the adoption, or its end.
    pub(super) fn may_be_proposed(&self, agreed: &PartitionState, replicated_offset: u64) -> bool {
        let is_replicated = self.offset <= replicated_offset;
        match agreed {
            PartitionState::Assigned(..) => is_replicated,
            PartitionState::Adopted(..) => self.recorded && is_replicated,
            PartitionState::Unassigned | PartitionState::Done => false,
        }
    }
}

/// The takeovers in progress.
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
    /// The own journal was opened with adopted partitions in it that it does not record as resolved.
    pub(super) fn resume_adoptions(&mut self, unsettled: Vec<PartitionId>) {
        let pending = PendingAdoption::new(self.replication.written());
        self.takeovers.pending = unsettled.into_iter().map(|source| (source, pending)).collect();
    }

    /// The partition's records are in the own journal.
    pub(super) fn adoption_written(&mut self, source: PartitionId) {
        let pending = PendingAdoption::new(self.replication.written());
        self.takeovers.pending.insert(source, pending);
    }

    /// The own journal records how the adoption was resolved.
    pub(super) fn adoption_recorded(&mut self, source: &PartitionId) {
        let offset = self.replication.written();
        if let Some(pending) = self.takeovers.pending.get_mut(source) {
            pending.offset = offset;
            pending.recorded = true;
        }
    }

    /// Reads sealed journals of which partitions are assigned to this member.
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
                // No page came in time. The next replica is read from the start: replicas may differ after the
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

    /// A courier has no replica of a sealed journal. It is reported when none of them has.
    pub(super) fn replica_missing(&mut self, journal: JournalId, out: &mut Vec<MemberOutput>) {
        let Some(fetch) = self.takeovers.fetches.get_mut(&journal) else { return };
        fetch.missing_replies += 1;
        let replicas = self.state.journals.get(&journal).map_or(0, |agreed| agreed.replicas.len());
        if fetch.missing_replies == replicas.max(1) {
            out.push(MemberOutput::Notice(MemberNotice::ReplicaUnavailable { journal }));
        }
    }

    /// A sealed journal is read: the partitions that are assigned to this member go into its own journal.
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

    /// Resolves adoptions that were in the journal when it was opened, or whose end was committed meanwhile.
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

    /// The partition has another assignee, or the first one.
    pub(super) fn partition_assigned(&mut self, source: PartitionId, out: &mut Vec<MemberOutput>) {
        let is_open = self.takeovers.pending.get(&source).is_some_and(|pending| !pending.adopted);
        if is_open && !self.is_assigned_here(&source) {
            self.takeovers.pending.remove(&source);
            out.push(resolve_adoption(source, false));
        }
    }

    /// The fleet has committed the adoption of the partition by a courier.
    pub(super) fn partition_adopted(
        &mut self,
        source: PartitionId,
        by: Name,
        epoch: Epoch,
        out: &mut Vec<MemberOutput>,
    ) {
        let is_own = by == self.config.local_name && self.epoch == Some(epoch);
        let Some(pending) = self.takeovers.pending.get_mut(&source) else { return };
        if !is_own {
            self.takeovers.pending.remove(&source);
            out.push(resolve_adoption(source, false));
        } else if !pending.adopted {
            pending.adopted = true;
            out.push(resolve_adoption(source, true));
        }
    }

    /// All partitions of a sealed journal are done. Whatever of it is open here belongs to others.
    pub(super) fn journal_retired(&mut self, journal: &JournalId, out: &mut Vec<MemberOutput>) {
        let sources: Vec<_> =
            self.takeovers.pending.keys().filter(|source| source.journal == *journal).cloned().collect();
        for source in sources {
            if self.takeovers.pending.remove(&source).is_some_and(|pending| !pending.adopted) {
                out.push(resolve_adoption(source, false));
            }
        }
    }

    /// Whether the partition is assigned to this member, or adopted by it.
    fn is_assigned_here(&self, source: &PartitionId) -> bool {
        match self.state.partition(source) {
            Some(PartitionState::Assigned(name, epoch) | PartitionState::Adopted(name, epoch)) => {
                *name == self.config.local_name && self.epoch == Some(*epoch)
            }
            _ => false,
        }
    }
}

/// The output for a partition whose adoption is decided.
fn resolve_adoption(source: PartitionId, adopted: bool) -> MemberOutput {
    MemberOutput::Takeover(TakeoverTask::ResolveAdoption { source, adopted })
}
