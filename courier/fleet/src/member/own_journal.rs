//! Replication of this member's own journal: which couriers have replicas, how far they are, and which ones the
//! fleet is to agree on.

use super::{AgreementLog, Member, MemberNotice, MemberOutput, StoreDirectory};
use crate::breaks::{self, Break};
use crate::config::{MissingReplicas, Name};
use crate::replication::JournalReplicator;
use crate::state::FleetCommand;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A replica that acknowledges nothing for so many lease times is replaced, and not wanted for as long again.
const MAX_LAG_LEASES: Micros = 2;

/// The replicas of the own journal.
#[derive(Clone, Default)]
pub(super) struct OwnReplication {
    /// `None`: the journal is not open yet.
    pub(super) replicator: Option<JournalReplicator>,
    /// Replicas that this member has proposed, which may be committed at any moment: until the fleet's answer
    /// records have to be at these, too.
    pub(super) proposed: BTreeSet<Name>,
    /// Replicas that lag behind, and until when they are not wanted.
    lagging: BTreeMap<Name, Micros>,
    /// The offset that was last reported as replicated. It never decreases.
    pub(super) replicated_offset: u64,
    /// What was last reported: the agreed replicas, and whether they are enough.
    reported: Option<(BTreeSet<Name>, bool)>,
}

impl OwnReplication {
    /// Length of all that was written to the journal; 0 if it is not open.
    pub(super) fn written(&self) -> u64 {
        self.replicator.as_ref().map_or(0, JournalReplicator::written)
    }
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// The replicas that the own journal should have.
    fn wanted_replicas(&self) -> BTreeSet<Name> {
        let serving = self.state.serving();
        let order = self.config.replica_order(&serving);
        order
            .into_iter()
            .filter(|name| !self.replication.lagging.contains_key(name))
            .take(self.config.replicas)
            .collect()
    }

    /// Version and names of the replicas that the fleet has agreed on.
    fn agreed_replicas(&self) -> Option<(u64, &BTreeSet<Name>)> {
        let journal = self.state.journals.get(&self.journal_id()?)?;
        Some((journal.version, &journal.replicas))
    }

    /// Sends what the replicas lack, and reports how far the journal is replicated.
    pub(super) fn maintain_replicas(&mut self, now: Micros, out: &mut Vec<MemberOutput>) {
        self.replication.lagging.retain(|_, until| now < *until);
        let Some((version, agreed)) = self.agreed_replicas() else { return };
        let agreed = agreed.clone();
        self.mark_lagging(&agreed, now, out);
        let wanted = self.wanted_replicas();
        let replication = &mut self.replication;
        let Some(replicator) = &mut replication.replicator else { return };
        let needed: BTreeSet<Name> = agreed.union(&replication.proposed).cloned().collect();
        let all: BTreeSet<Name> = needed.union(&wanted).cloned().collect();
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
            replicator.replicated_offset(&needed)
        } else {
            replication.replicated_offset
        };
        if replicated > replication.replicated_offset {
            replication.replicated_offset = replicated;
            out.push(MemberOutput::Replicated(replicated));
        }
        let current = Some((agreed, enough));
        if replication.reported != current {
            replication.reported.clone_from(&current);
            out.extend(current.map(|(at, enough)| MemberOutput::Replicas { at, enough }));
        }
    }

    /// Marks replicas that acknowledge nothing, so that others are wanted in their place. Also those that the
    /// fleet has not agreed on yet.
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

    /// The change of the replicas that the fleet is to agree on, if there is one.
    ///
    /// A new replica is proposed when it has caught up; the old ones are dropped when all new ones have.
    pub(super) fn wanted_replica_change(&mut self) -> Option<FleetCommand> {
        let wanted = self.wanted_replicas();
        let journal = self.journal_id()?;
        let (version, agreed) = self.agreed_replicas()?;
        let replicator = self.replication.replicator.as_ref()?;
        // It must have all that was reported as replicated: that may be on the present replicas alone.
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
        // A journal without replicas counts as agreed from the first version on.
        let is_first_without_replicas = prefers && next.is_empty() && version == 0;
        if next == *agreed && !is_first_without_replicas {
            return None;
        }
        self.replication.proposed.extend(next.iter().cloned());
        Some(FleetCommand::SetReplicas { journal, version, replicas: next })
    }
}
