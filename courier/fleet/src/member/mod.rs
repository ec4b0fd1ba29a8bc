//! One courier of a fleet: its part in the agreement, its lease, its own book at other couriers, copies of theirs, and what
//! it takes over from those that are lost. Whoever drives it moves messages, keeps time and carries its outputs out in order.

mod agreement_events;
mod interface;
mod lead;
mod log;
mod peers;
mod stores;
mod upkeep;

pub use interface::{MemberError, MemberInput, MemberNotice, MemberOutput};
pub use log::AgreementLog;
pub use stores::StoreDirectory;

use crate::NodeId;
use crate::agreement::{self, Agreement, AgreementError, MembershipChange};
use crate::breaks::{self, Break};
use crate::budget::ConnectionOrder;
use crate::config::{FleetConfig, MissingReplicas, Name};
use crate::lease::{GrantedLeases, HeldLease};
use crate::message::{Envelope, FleetMessage};
use crate::replication::{JournalReplica, JournalReplicator};
use crate::settlement;
use crate::shares::BudgetShares;
use crate::state::{
    Epoch, FleetCommand, FleetEvent, FleetState, JournalId, PartitionId, PartitionState, Registration,
};
use bytes::Bytes;
use quillmount_core::journal;
use quillmount_core::store::Store;
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// What is wanted of the fleet is said again after so long, until it is so: a word may be lost, and so may a leader.
const RETRY_INTERVAL: Micros = 250_000;
/// A copy that confirms nothing for so many leases is replaced, and not chosen again for as many more.
const MAX_LAG_LEASES: Micros = 2;
/// A page of a sealed book is asked for again after so long, at the next of its copies.
const FETCH_RETRY_INTERVAL: Micros = 300_000;
/// No sealed book is longer, as no copy is.
const MAX_JOURNAL_BYTES: u64 = crate::replication::MAX_REPLICA_BYTES;
/// Settlements' verdicts are looked through for old ones so often.
const VERDICT_SWEEP_INTERVAL: Micros = 10_000_000;
/// Bytes for copies of others' books, where the driver says nothing else.
const DEFAULT_REPLICA_CAPACITY: u64 = 16 * crate::replication::MAX_REPLICA_BYTES;
/// Between two looks at what else is to be done: short against a lease.
const MAINTENANCE_INTERVAL: Micros = 50_000;

/// A sealed book that is being read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SealedFetch {
    bytes: Vec<u8>,
    /// Of its copies, the one that is asked.
    replica_index: usize,
    retry_at: Micros,
    /// Copies that said they have none, one after the other.
    missing_replies: usize,
}

/// A part that is in the journal, and not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingAdoption {
    /// It counts when the journal is safe up to there.
    offset: u64,
    /// The courier goes on with it; `done`: and its journal says so.
    adopted: bool,
    recorded: bool,
}

/// The machine.
#[derive(Clone)]
pub struct Member<D: StoreDirectory, L = Agreement<<D as StoreDirectory>::Store>> {
    pub config: FleetConfig,
    /// Bytes that copies of others' books may take here; a seal is written beyond it.
    pub replica_capacity: u64,
    stores: D,
    agreement: L,
    state: FleetState,
    /// Its own process.
    incarnation: u64,
    lineage: Option<Epoch>,
    identity: D::Store,
    is_first: bool,
    fresh: bool,
    /// Other voters whose folders know of no fleet.
    fresh_voters: BTreeSet<Name>,
    names_by_node: BTreeMap<NodeId, Name>,
    /// Other couriers that know of a fleet: none is begun beside it.
    initialized_peers: BTreeSet<Name>,
    /// What was agreed up to there is in the state.
    applied_index: u64,
    /// Its own registration, from the moment when it was agreed.
    epoch: Option<Epoch>,
    fenced: bool,
    lease: HeldLease,
    lease_lost: bool,
    is_leader: bool,
    granted_leases: GrantedLeases,
    reads: BTreeMap<u64, (Name, Epoch, u64)>,
    ticket: u64,
    replicator: Option<JournalReplicator>,
    proposed: BTreeSet<Name>,
    lagging: BTreeMap<Name, Micros>,
    replicated_offset: u64,
    reported_replicas: Option<(BTreeSet<Name>, bool)>,
    replicas: BTreeMap<JournalId, JournalReplica<D::Store>>,
    /// Books of which a copy was last refused here, by the store.
    rejected_replicas: BTreeSet<JournalId>,
    fetches: BTreeMap<JournalId, SealedFetch>,
    pending: BTreeMap<PartitionId, PendingAdoption>,
    outstanding: Vec<(FleetCommand, Micros)>,
    leaving: bool,
    left: bool,
    shares: BudgetShares,
    /// Those that were last told to agree.
    voters: Vec<Name>,
    maintenance_at: Micros,
    hello_at: Micros,
    expire_at: Micros,
    forget_at: Micros,
}

/// What the lasting folder says of the book beside it: the line of the journal, if there is one that counts.
fn read_identity<S: Store>(store: &mut S) -> Result<Option<Epoch>, MemberError> {
    let bytes = store.read()?;
    Ok(if bytes.is_empty() { None } else { postcard::from_bytes(&bytes)? })
}

fn store_name(journal: &JournalId) -> String {
    format!("copy.{}.{}", journal.epoch, journal.owner)
}

fn journal_of_store(name: &str) -> Option<JournalId> {
    let (epoch, owner) = name.strip_prefix("copy.")?.split_once('.')?;
    Some(JournalId { owner: owner.into(), epoch: epoch.parse().ok()? })
}

impl<D: StoreDirectory> Member<D> {
    /// Takes up what the folder has; `incarnation` and `node_id` are drawn at random by the caller, the second for a new folder.
    ///
    /// # Errors
    /// What is there can't be read.
    pub fn open(
        config: FleetConfig,
        mut stores: D,
        incarnation: u64,
        node_id: NodeId,
        limits: agreement::AgreementLimits,
        now: Micros,
    ) -> Result<(Self, Vec<MemberOutput>), MemberError> {
        let (agreement, opened) = Agreement::open(stores.open("agreement")?, node_id, limits, now)?;
        Member::with_log(config, stores, agreement, opened, incarnation, now)
    }
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Takes up what the folder has beside the log, which was opened already.
    ///
    /// # Errors
    /// What is there can't be read.
    pub fn with_log(
        config: FleetConfig,
        mut stores: D,
        agreement: L,
        opened: agreement::Opened,
        incarnation: u64,
        now: Micros,
    ) -> Result<(Self, Vec<MemberOutput>), MemberError> {
        let mut identity = stores.open("identity")?;
        let (is_first, lineage) = (identity.is_empty(), read_identity(&mut identity)?);
        let mut replicas = BTreeMap::new();
        for name in stores.names()? {
            if let Some(journal) = journal_of_store(&name) {
                replicas.insert(journal, JournalReplica::open(stores.open(&name)?)?);
            }
        }
        let shares = BudgetShares::new(
            &config.local_name,
            config.time_bounds(),
            config.budgets.clone(),
            config.couriers(),
            now,
        );
        let mut member = Member {
            shares,
            config,
            replica_capacity: DEFAULT_REPLICA_CAPACITY,
            stores,
            agreement,
            state: FleetState::default(),
            incarnation,
            lineage,
            identity,
            is_first,
            fresh: opened.new,
            fresh_voters: BTreeSet::new(),
            names_by_node: BTreeMap::new(),
            initialized_peers: BTreeSet::new(),
            applied_index: 0,
            epoch: None,
            fenced: false,
            lease: HeldLease::default(),
            lease_lost: true,
            is_leader: false,
            granted_leases: GrantedLeases::default(),
            reads: BTreeMap::new(),
            ticket: 0,
            replicator: None,
            proposed: BTreeSet::new(),
            lagging: BTreeMap::new(),
            replicated_offset: 0,
            reported_replicas: None,
            replicas,
            rejected_replicas: BTreeSet::new(),
            fetches: BTreeMap::new(),
            pending: BTreeMap::new(),
            outstanding: Vec::new(),
            leaving: false,
            left: false,
            voters: Vec::new(),
            maintenance_at: now,
            hello_at: now,
            expire_at: now,
            forget_at: now,
        };
        let mut out = Vec::new();
        member.restore(&opened.state)?;
        for (_, command) in opened.committed {
            member.apply(&command, now, &mut out)?;
        }
        // A log that was begun and tells nothing yet: it is none of a new folder all the same.
        member.fresh &= member.agreement.voters().is_empty();
        member.index_node_names();
        Ok((member, out))
    }

    pub fn state(&self) -> &FleetState {
        &self.state
    }

    pub fn agreement(&self) -> &L {
        &self.agreement
    }

    /// The epoch under which it serves.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// It is a member, and may act.
    pub fn may_act(&self, now: Micros) -> bool {
        self.epoch.is_some() && !self.fenced && (self.lease.is_valid(now) || breaks::on(Break::LeaseIgnored))
    }

    pub fn wake_at(&self) -> Option<Micros> {
        // One that is replaced or has left copies nothing more: a page that is due would be so for ever.
        let replicator = self.replicator.as_ref().filter(|_| !self.fenced && !self.left);
        let times = [
            Some(self.maintenance_at),
            self.agreement.wake_at(),
            replicator.and_then(JournalReplicator::wake_at),
        ];
        times.into_iter().flatten().min()
    }

    /// No process with this folder was ever one of a fleet: a journal that is there is nobody else's.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Notes the line of the journal that is in the folder from now on; `None`: what is there is worth nothing.
    ///
    /// # Errors
    /// The folder refuses it.
    pub fn record_lineage(&mut self, lineage: Option<Epoch>) -> Result<(), MemberError> {
        self.identity.replace(&postcard::to_allocvec(&lineage)?)?;
        self.lineage = lineage;
        Ok(())
    }

    /// The line of the book under which it serves.
    pub fn agreed_lineage(&self) -> Option<Epoch> {
        self.state.journals.get(&self.journal_id()?).map(|journal| journal.lineage)
    }

    /// Its book is sealed, or over: all that it owed is others' by now.
    pub fn has_left(&self) -> bool {
        let own = self.journal_id().and_then(|journal| self.state.journals.get(&journal));
        self.left && own.is_none_or(|journal| journal.sealed.is_some())
    }

    fn journal_id(&self) -> Option<JournalId> {
        Some(JournalId { owner: self.config.local_name.clone(), epoch: self.epoch? })
    }

    /// # Errors
    /// What has to outlast the process can't be written: the member says nothing more, and its lease runs out.
    pub fn step(&mut self, input: MemberInput, now: Micros) -> Result<Vec<MemberOutput>, MemberError> {
        let mut out = Vec::new();
        match input {
            MemberInput::Tick => self.step_agreement(agreement::AgreementInput::Tick, now, &mut out)?,
            MemberInput::Received(envelope) => self.receive(envelope, now, &mut out)?,
            MemberInput::JournalOpened { bytes, unsettled } => {
                if let Some(journal) = self.journal_id() {
                    let replicator = JournalReplicator::new(journal, bytes);
                    let pending =
                        PendingAdoption { offset: replicator.written(), adopted: false, recorded: false };
                    self.pending = unsettled.into_iter().map(|source| (source, pending)).collect();
                    self.replicator = Some(replicator);
                }
            }
            MemberInput::JournalAppended(bytes) => {
                if let Some(replicator) = &mut self.replicator {
                    replicator.appended(&bytes);
                }
            }
            MemberInput::JournalReplaced(bytes) => {
                if let Some(replicator) = &mut self.replicator {
                    replicator.replaced(bytes);
                }
            }
            MemberInput::Adopted(source) => {
                let offset = self.replicator.as_ref().map_or(0, JournalReplicator::written);
                self.pending.insert(source, PendingAdoption { offset, adopted: false, recorded: false });
            }
            MemberInput::AdoptionResolved(source) => {
                let offset = self.replicator.as_ref().map_or(0, JournalReplicator::written);
                if let Some(pending) = self.pending.get_mut(&source) {
                    (pending.offset, pending.recorded) = (offset, true);
                }
            }
            MemberInput::Leave => {
                self.leaving = true;
                self.shares.gate.leave();
            }
            MemberInput::Settlement(command) => {
                if let Some(leader) = self.leader().filter(|_| self.epoch.is_some()) {
                    self.send_to(
                        leader,
                        FleetMessage::Propose(FleetCommand::Settlement(command)),
                        now,
                        &mut out,
                    )?;
                }
            }
        }
        self.run_maintenance(now, &mut out)?;
        Ok(out)
    }
}

impl From<&PartitionId> for journal::Source {
    fn from(source: &PartitionId) -> Self {
        journal::Source {
            owner: source.journal.owner.clone(),
            epoch: source.journal.epoch,
            part: source.partition as u32,
        }
    }
}

impl From<&journal::Source> for PartitionId {
    fn from(source: &journal::Source) -> Self {
        let journal = JournalId { owner: source.owner.clone(), epoch: source.epoch };
        PartitionId { journal, partition: source.part as usize }
    }
}
