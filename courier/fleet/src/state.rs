//! What the fleet agrees on: who is a member under which epoch, whose book is whose, who holds copies of it, and who takes
//! over what of it. Every courier applies the same commands in the same order; nothing here knows the time.

use crate::NodeId;
use crate::breaks::{self, Break};
use crate::budget;
use crate::config::{Name, rendezvous_weight};
use crate::settlement;
use crate::shares::{BudgetKind, SharedBudgets};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Grows with each registration of any courier: whoever acts under an older one has been replaced.
pub type Epoch = u64;

/// A sealed book is taken over in so many parts, by destination: a dozen takers share one loss, and the state stays small.
pub const PARTITIONS: usize = 16;
/// Sealed books at once: beyond, no new member is registered until takers have done their work, since each loss adds one.
pub const MAX_JOURNALS: usize = 4_096;

/// The part of a book that a destination's messages are in.
pub fn partition_of(dest: u64) -> usize {
    (rendezvous_weight(&dest.to_le_bytes(), "") % PARTITIONS as u64) as usize
}

/// A book's name: the courier that writes it, and the epoch under which it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JournalId {
    pub owner: Name,
    pub epoch: Epoch,
}

impl std::fmt::Display for JournalId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.owner, self.epoch)
    }
}

/// A part of a sealed book.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionId {
    pub journal: JournalId,
    pub partition: usize,
}

impl std::fmt::Display for PartitionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} part {}", self.journal, self.partition)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    pub node_id: NodeId,
    /// Drawn by its process.
    pub incarnation: u64,
    pub epoch: Epoch,
    /// Its lease has not lapsed, and it has not left.
    pub serving: bool,
}

/// Who has a part of a sealed book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionState {
    /// Nobody is there to take it.
    Unassigned,
    /// To be copied into this courier's book.
    Assigned(Name, Epoch),
    /// It is in this courier's book, and its.
    Adopted(Name, Epoch),
    /// That book says so itself: nothing more is to be remembered here.
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedJournal {
    /// The epoch under which it began: the same as long as its owner goes on with the same journal.
    pub lineage: Epoch,
    /// Those at which each record has to be before it counts.
    pub replicas: BTreeSet<Name>,
    /// Grows with each change of `replicas`, and with each folder that a copy may have been lost with. Where it is 0, nothing
    /// that was written there counts.
    pub version: u64,
    /// `None`: its owner writes it.
    pub sealed: Option<Vec<PartitionState>>,
}

/// Everything that is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    pub epoch: Epoch,
    pub members: BTreeMap<Name, Registration>,
    pub journals: BTreeMap<JournalId, ReplicatedJournal>,
    /// Partners' budgets, and who holds what of them.
    pub shared: SharedBudgets,
    /// Settlements' homes, and the verdicts of those that are over.
    pub settlements: settlement::SettlementRegistry,
}

/// One change of it. Each says under which circumstances it holds, so that a late or repeated one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// A courier's process has started; `journal`: the line of the book in its folder.
    Join { name: Name, node_id: NodeId, incarnation: u64, journal: Option<Epoch> },
    /// Its lease has lapsed, or it has left: its book is sealed.
    Deregister { name: Name, epoch: Epoch },
    /// The owner wants these copies; `version`: the one that it knows.
    SetReplicas { journal: JournalId, version: u64, replicas: BTreeSet<Name> },
    /// The part is in the taker's book.
    Adopted { source: PartitionId, by: Name, epoch: Epoch },
    /// The taker's book says so.
    Done { source: PartitionId, by: Name, epoch: Epoch },
    /// Of a partner's budget.
    Budget(BudgetKind, budget::BudgetCommand),
    /// Of a settlement's home.
    Settlement(settlement::SettlementCommand),
}

/// What a command has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// It serves under this epoch; `retained`: the book in its folder is still its own.
    Joined {
        name: Name,
        epoch: Epoch,
        incarnation: u64,
        retained: bool,
    },
    Deregistered {
        name: Name,
        epoch: Epoch,
    },
    /// The same book under a new epoch, since its owner's process is another.
    Renamed {
        from: JournalId,
        to: JournalId,
    },
    Sealed(JournalId),
    /// Its copies are others.
    ReplicasChanged(JournalId),
    /// Somebody else has it, or somebody at all.
    Assigned(PartitionId),
    Adopted(PartitionId, Name, Epoch),
    /// All of a book is in others.
    Retired(JournalId),
    /// What couriers may use of partners' budgets is another.
    BudgetsChanged,
    Settlement(settlement::SettlementEvent),
}

impl FleetState {
    /// Those that serve.
    pub fn serving(&self) -> BTreeSet<Name> {
        self.members.iter().filter(|(_, m)| m.serving).map(|(name, _)| name.clone()).collect()
    }

    /// The epoch under which a courier serves.
    pub fn epoch_of(&self, name: &str) -> Option<Epoch> {
        self.members.get(name).filter(|m| m.serving).map(|m| m.epoch)
    }

    pub fn partition(&self, source: &PartitionId) -> Option<&PartitionState> {
        self.journals.get(&source.journal)?.sealed.as_ref()?.get(source.partition)
    }

    /// What a courier is to take over: parts that are given to it under this epoch.
    pub fn assigned_to<'a>(&'a self, name: &'a str, epoch: Epoch) -> impl Iterator<Item = PartitionId> + 'a {
        self.journals.iter().flat_map(move |(journal, b)| {
            let partitions = b.sealed.iter().flatten().enumerate();
            partitions.filter_map(move |(partition, p)| match p {
                PartitionState::Assigned(to, at) if to == name && *at == epoch => {
                    Some(PartitionId { journal: journal.clone(), partition })
                }
                _ => None,
            })
        })
    }

    /// Applies a command; one that does not hold any more changes nothing and tells nothing.
    pub fn apply(&mut self, command: FleetCommand) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        match command {
            FleetCommand::Join { name, node_id, incarnation, journal } => {
                self.join(name, node_id, incarnation, journal, &mut events)
            }
            FleetCommand::Deregister { name, epoch } => {
                if self.epoch_of(&name) == Some(epoch) {
                    self.deregister(&name, epoch, &mut events);
                }
            }
            FleetCommand::SetReplicas { journal, version, replicas } => {
                let serving = self.serving();
                if let Some(b) = self.journals.get_mut(&journal)
                    && b.sealed.is_none()
                    && b.version == version
                    && replicas.is_subset(&serving)
                    && !replicas.contains(&journal.owner)
                {
                    (b.replicas, b.version) = (replicas, version + 1);
                    events.push(FleetEvent::ReplicasChanged(journal));
                }
            }
            FleetCommand::Adopted { source, by, epoch } => {
                let is_current = self.epoch_of(&by) == Some(epoch);
                if let Some(partition) = self.partition_mut(&source)
                    && is_current
                    && *partition == PartitionState::Assigned(by.clone(), epoch)
                {
                    *partition = PartitionState::Adopted(by.clone(), epoch);
                    events.push(FleetEvent::Adopted(source, by, epoch));
                }
            }
            FleetCommand::Done { source, by, epoch } => {
                if let Some(partition) = self.partition_mut(&source)
                    && *partition == PartitionState::Adopted(by, epoch)
                {
                    *partition = PartitionState::Done;
                    self.retire_completed(&mut events);
                }
            }
            FleetCommand::Budget(count, command) => {
                if self.shared.apply(count, &command) {
                    events.push(FleetEvent::BudgetsChanged);
                }
            }
            FleetCommand::Settlement(command) => {
                // Only a member that serves is home to any.
                let is_current = match &command {
                    settlement::SettlementCommand::Open { owner, owner_epoch, .. } => {
                        self.epoch_of(owner) == Some(*owner_epoch)
                    }
                    settlement::SettlementCommand::Move { to, to_epoch, .. } => {
                        self.epoch_of(to) == Some(*to_epoch)
                    }
                    _ => true,
                };
                if is_current {
                    events.extend(self.settlements.apply(&command).into_iter().map(FleetEvent::Settlement));
                }
            }
        }
        events
    }

    fn partition_mut(&mut self, source: &PartitionId) -> Option<&mut PartitionState> {
        self.journals.get_mut(&source.journal)?.sealed.as_mut()?.get_mut(source.partition)
    }

    fn join(
        &mut self,
        name: Name,
        node_id: NodeId,
        incarnation: u64,
        journal: Option<Epoch>,
        events: &mut Vec<FleetEvent>,
    ) {
        // Asked twice, since the first word may have been lost: the same life keeps what it got.
        if self
            .members
            .get(&name)
            .is_some_and(|m| m.serving && m.node_id == node_id && m.incarnation == incarnation)
        {
            return;
        }
        if self.journals.len() >= MAX_JOURNALS {
            return;
        }
        self.epoch += 1;
        let epoch = self.epoch;
        let old = self.members.get(&name).cloned();
        if let Some(m) = &old
            && m.node_id != node_id
            && !breaks::on(Break::EmptyReplicaTrusted)
        {
            // Its folder is lost, and with it all copies that it held for others.
            self.drop_replicas_at(&name, true, events);
        }
        let from = old.map(|m| JournalId { owner: name.clone(), epoch: m.epoch });
        // Its own book is still its own if nobody has taken any of it.
        let retained = from.filter(|from| {
            let unadopted =
                |p: &PartitionState| matches!(p, PartitionState::Unassigned | PartitionState::Assigned(..));
            let own = |b: &ReplicatedJournal| {
                journal == Some(b.lineage) && b.sealed.iter().flatten().all(unadopted)
            };
            self.journals.get(from).is_some_and(own)
        });
        let to = JournalId { owner: name.clone(), epoch };
        match &retained {
            Some(from) => {
                if let Some(b) = self.journals.remove(from) {
                    let serving = self.serving();
                    let replicas =
                        b.replicas.into_iter().filter(|replica| serving.contains(replica)).collect();
                    let b = ReplicatedJournal { sealed: None, version: b.version + 1, replicas, ..b };
                    self.journals.insert(to.clone(), b);
                }
                self.reassign_partitions(&name, from.epoch, epoch);
                events.push(FleetEvent::Renamed { from: from.clone(), to });
            }
            None => {
                if let Some(m) = self.members.get(&name).cloned() {
                    if m.serving {
                        self.deregister(&name, m.epoch, events);
                    }
                    let id = JournalId { owner: name.clone(), epoch: m.epoch };
                    if self.journals.get(&id).is_some_and(|b| b.version == 0) {
                        self.journals.remove(&id);
                        events.push(FleetEvent::Retired(id));
                    }
                }
                self.journals.insert(
                    to,
                    ReplicatedJournal { lineage: epoch, replicas: BTreeSet::new(), version: 0, sealed: None },
                );
            }
        }
        self.members.insert(name.clone(), Registration { node_id, incarnation, epoch, serving: true });
        self.shared.joined(&name, epoch);
        events.push(FleetEvent::Joined {
            name: name.clone(),
            epoch,
            incarnation,
            retained: retained.is_some(),
        });
        if let Some(from) = retained {
            self.reclaim_settlements(&name, from.epoch, epoch, events);
        }
        self.assign_partitions(events);
    }

    /// A process that goes on with its book goes on with what it had to take over, too.
    fn reassign_partitions(&mut self, name: &str, from: Epoch, to: Epoch) {
        let partitions = self.journals.values_mut().filter_map(|b| b.sealed.as_mut()).flatten();
        for partition in partitions {
            match partition {
                PartitionState::Assigned(by, epoch) | PartitionState::Adopted(by, epoch)
                    if by == name && *epoch == from =>
                {
                    *epoch = to
                }
                _ => {}
            }
        }
    }

    /// A sealed book's copy may be needed when its holder is back; one whose folder is lost (`lost`) will not.
    fn drop_replicas_at(&mut self, name: &str, lost: bool, events: &mut Vec<FleetEvent>) {
        for (id, journal) in self.journals.iter_mut().filter(|(_, b)| lost || b.sealed.is_none()) {
            // An owner that has not heard of it yet may ask for the copy that was lost: that word is void.
            let may_be_requested = lost && journal.sealed.is_none() && journal.version > 0;
            if journal.replicas.remove(name) || may_be_requested {
                journal.version += 1;
                events.push(FleetEvent::ReplicasChanged(id.clone()));
            }
        }
    }

    fn deregister(&mut self, name: &str, epoch: Epoch, events: &mut Vec<FleetEvent>) {
        if let Some(m) = self.members.get_mut(name) {
            m.serving = false;
        }
        self.shared.gone(name, epoch);
        self.settlements.deregister(name, epoch);
        events.push(FleetEvent::Deregistered { name: name.into(), epoch });
        self.drop_replicas_at(name, false, events);
        let id = JournalId { owner: name.into(), epoch };
        // Of a book that never had a copy nothing can be taken over: it stays its owner's, as it is.
        if let Some(journal) = self.journals.get_mut(&id).filter(|journal| journal.version > 0) {
            journal.sealed = Some(vec![PartitionState::Unassigned; PARTITIONS]);
            events.push(FleetEvent::Sealed(id));
        }
        for journal in self.journals.values_mut() {
            for partition in journal.sealed.iter_mut().flatten() {
                if *partition == PartitionState::Assigned(name.into(), epoch) {
                    *partition = PartitionState::Unassigned;
                }
            }
        }
        self.assign_partitions(events);
    }

    /// A courier goes on with its book: it is home to its settlements again.
    fn reclaim_settlements(&mut self, name: &str, from: Epoch, to: Epoch, events: &mut Vec<FleetEvent>) {
        let journals = &self.journals;
        let read = |journal: &settlement::JournalRef, dest: u64| {
            let id = JournalId { owner: journal.courier.clone(), epoch: journal.epoch };
            let partition = journals.get(&id).and_then(|b| b.sealed.as_ref()?.get(partition_of(dest)));
            !matches!(partition, Some(PartitionState::Unassigned | PartitionState::Assigned(..)))
        };
        events.extend(self.settlements.reclaim(name, from, to, read).into_iter().map(FleetEvent::Settlement));
    }

    /// Names takers for what waits: by part, so that each message has exactly one and the work spreads.
    fn assign_partitions(&mut self, events: &mut Vec<FleetEvent>) {
        let serving: Vec<(Name, Epoch)> =
            self.members.iter().filter(|(_, m)| m.serving).map(|(name, m)| (name.clone(), m.epoch)).collect();
        for (id, journal) in &mut self.journals {
            for (n, partition) in journal.sealed.iter_mut().flatten().enumerate() {
                let best = serving.iter().max_by_key(|(name, _)| rendezvous_weight(&n.to_le_bytes(), name));
                if let (PartitionState::Unassigned, Some((name, epoch))) = (&*partition, best) {
                    *partition = PartitionState::Assigned(name.clone(), *epoch);
                    events.push(FleetEvent::Assigned(PartitionId { journal: id.clone(), partition: n }));
                }
            }
        }
        // A settlement's records are in the part of its destination.
        let members = &self.members;
        let serves =
            |name: &str, epoch: Epoch| members.get(name).is_some_and(|m| m.serving && m.epoch == epoch);
        let successor = |dest: u64| {
            let partition = partition_of(dest).to_le_bytes();
            let best = serving.iter().max_by_key(|(name, _)| rendezvous_weight(&partition, name));
            best.map(|(name, epoch)| settlement::JournalRef { courier: name.clone(), epoch: *epoch })
        };
        events.extend(
            self.settlements.reassign_lost(serves, successor).into_iter().map(FleetEvent::Settlement),
        );
    }

    /// Forgets books of which all is in others; what was in those, is in their takers' by now.
    fn retire_completed(&mut self, events: &mut Vec<FleetEvent>) {
        loop {
            let done = |b: &ReplicatedJournal| {
                b.sealed
                    .as_ref()
                    .is_some_and(|partitions| partitions.iter().all(|p| *p == PartitionState::Done))
            };
            let Some(id) = self.journals.iter().find(|(_, b)| done(b)).map(|(id, _)| id.clone()) else {
                return;
            };
            self.journals.remove(&id);
            let partitions = self.journals.values_mut().filter_map(|b| b.sealed.as_mut()).flatten();
            for partition in partitions.filter(|p| **p == PartitionState::Adopted(id.owner.clone(), id.epoch))
            {
                *partition = PartitionState::Done;
            }
            events.push(FleetEvent::Retired(id));
        }
    }
}
