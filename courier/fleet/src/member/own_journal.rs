//! Replication of this member's own journal: the couriers that have replicas, their progress, and proposals to change
//! them.

use super::{AgreementLog, Member, MemberNotice, MemberOutput, StoreDirectory};
use crate::breaks::{self, Break};
use crate::config::{MissingReplicas, Name};
use crate::replication::JournalReplicator;
use crate::state::FleetCommand;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A replica that acknowledges no records for this number of lease durations is replaced, and is not chosen again for
/// the same time.
const MAX_LAG_LEASES: Micros = 2;

/// The replicas of the own journal.
#[derive(Clone, Default)]
pub(super) struct OwnReplication {
    /// `None` until the journal is opened.
    pub(super) replicator: Option<JournalReplicator>,
    /// Replicas that this member has proposed. The proposal may be committed at any time, so until its result is known
    /// these replicas must acknowledge records, too.
    pub(super) proposed: BTreeSet<Name>,
    /// Couriers whose replicas lag, and the time until which they are not chosen.
    lagging: BTreeMap<Name, Micros>,
    /// The offset that was last reported as replicated. It never decreases.
    pub(super) replicated_offset: u64,
    /// The last reported replicas, and whether they are enough.
    reported_replicas: Option<(BTreeSet<Name>, bool)>,
}

impl OwnReplication {
    /// Number of bytes ever written to the journal; 0 if it is not open.
    pub(super) fn written(&self) -> u64 {
        self.replicator.as_ref().map_or(0, JournalReplicator::written)
    }
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// The couriers that should have a replica of the own journal.
    fn wanted_replicas(&self) -> BTreeSet<Name> {
        let serving = self.state.serving();
        let order = self.config.replica_order(&serving);
        order
            .into_iter()
            .filter(|name| !self.replication.lagging.contains_key(name))
            .take(self.config.replicas)
            .collect()
    }

    /// The agreed replicas of the own journal and their version.
    fn agreed_replicas(&self) -> Option<(u64, &BTreeSet<Name>)> {
        let journal = self.state.journals.get(&self.journal_id()?)?;
        Some((journal.version, &journal.replicas))
    }

    /// Sends missing records to the replicas, and reports up to which offset the journal is replicated.
    pub(super) fn maintain_replicas(&mut self, now: Micros, out: &mut Vec<MemberOutput>) {
        self.replication.lagging.retain(|_, until| now < *until);
        let Some((version, agreed)) = self.agreed_replicas() else { return };
        let agreed = agreed.clone();
        self.mark_lagging(&agreed, now, out);
        let wanted = self.wanted_replicas();
        let replication = &mut self.replication;
        let Some(replicator) = &mut replication.replicator else { return };
        let required: BTreeSet<Name> = agreed.union(&replication.proposed).cloned().collect();
        let all: BTreeSet<Name> = required.union(&wanted).cloned().collect();
        replicator.set_replicas(&all, now);
        let pages = replicator.next_pages(now);
        out.extend(pages.into_iter().map(|(name, message)| MemberOutput::Send(name, message)));
        let enough = match self.config.missing_replicas {
            MissingReplicas::Require => !agreed.is_empty(),
            MissingReplicas::Prefer => version > 0,
        };
        let replicated = if breaks::is_enabled(Break::ReplicatedAtOnce) {
            replicator.written()
        } else if enough {
            replicator.replicated_offset(&required)
        } else {
            replication.replicated_offset
        };
        if replicated > replication.replicated_offset {
            replication.replicated_offset = replicated;
            out.push(MemberOutput::Replicated(replicated));
        }
        let current = Some((agreed, enough));
        if replication.reported_replicas != current {
            replication.reported_replicas.clone_from(&current);
            out.extend(current.map(|(replicas, enough)| MemberOutput::Replicas { replicas, enough }));
        }
    }

    /// Marks replicas that acknowledge no records as lagging, so that other couriers are chosen in their place. This
    /// includes replicas that are not committed yet.
    fn mark_lagging(&mut self, agreed: &BTreeSet<Name>, now: Micros, out: &mut Vec<MemberOutput>) {
        let max_lag = self.config.lease * MAX_LAG_LEASES;
        let wanted = self.wanted_replicas();
        let Some(replicator) = &self.replication.replicator else { return };
        for name in agreed.union(&wanted) {
            if replicator.lag(name, now) > max_lag && !self.replication.lagging.contains_key(name) {
                self.replication.lagging.insert(name.clone(), now + max_lag);
                out.push(MemberOutput::Notice(MemberNotice::ReplicaLagging { name: name.clone() }));
            }
        }
    }

    /// Returns the command that changes the agreed replicas, if a change is needed.
    ///
    /// A new replica is proposed when it has caught up. Old replicas are removed when all new ones have caught up.
    pub(super) fn wanted_replica_change(&mut self) -> Option<FleetCommand> {
        let wanted = self.wanted_replicas();
        let journal = self.journal_id()?;
        let (version, agreed) = self.agreed_replicas()?;
        let replicator = self.replication.replicator.as_ref()?;
        // A new replica must have all bytes that were reported as replicated, as only the current replicas may have
        // them.
        let has_caught_up = |name: &&Name| {
            let alone = BTreeSet::from([(*name).clone()]);
            replicator.has_ever_completed(name)
                && replicator.replicated_offset(&alone) >= self.replication.replicated_offset
        };
        let caught_up: BTreeSet<Name> = wanted.iter().filter(has_caught_up).cloned().collect();
        let mut next: BTreeSet<Name> = agreed.union(&caught_up).cloned().collect();
        if caught_up.len() == wanted.len() && !wanted.is_empty() {
            next = wanted;
        }
        let prefers = self.config.missing_replicas == MissingReplicas::Prefer;
        if prefers {
            next.retain(|name| !self.replication.lagging.contains_key(name));
        }
        // A journal without replicas needs a committed first version, too.
        let is_first_without_replicas = prefers && next.is_empty() && version == 0;
        if next == *agreed && !is_first_without_replicas {
            return None;
        }
        self.replication.proposed.extend(next.iter().cloned());
        Some(FleetCommand::SetReplicas { journal, version, replicas: next })
    }
}
