//! One courier of a fleet: its participation in the agreement, its lease, the replicas of its journal at other couriers, the
//! replicas that it keeps for them, and its takeovers of sealed journals.
//!
//! A [`Member`] has no clock, thread or socket. Its driver hands it inputs with the time ([`Member::step`]) and
//! carries out the outputs in order. It writes to its [`StoreDirectory`] before it returns anything that depends on
//! what it wrote.
//!
//! `interface`, `notice` and `error` are what the driver sees; `log` and `stores` what it provides. The other modules
//! are steps of the machine: `messages` and `agreement_outputs` dispatch what arrives, `fleet_events` applies changes
//! of the agreed state, and `registration`, `own_journal`, `takeover`, `proposals`, `budget_shares` and `leadership`
//! do what is due as time passes. `replica_host` keeps the replicas of others.

mod agreement_outputs;
mod budget_shares;
mod error;
mod fleet_events;
mod interface;
mod leadership;
mod log;
mod messages;
mod notice;
mod own_journal;
mod proposals;
mod registration;
mod replica_host;
mod stores;
mod takeover;

pub use error::MemberError;
pub use interface::{MemberInput, MemberOutput, TakeoverTask};
pub use log::AgreementLog;
pub use notice::MemberNotice;
pub use stores::StoreDirectory;

use crate::NodeId;
use crate::agreement::{Agreement, AgreementInput, AgreementLimits, CommittedCommand, Opened};
use crate::breaks::{self, Break};
use crate::config::{FleetConfig, Name};
use crate::lease::{GrantedLeases, HeldLease};
use crate::message::FleetMessage;
use crate::replication::{JournalReplica, JournalReplicator, MAX_REPLICA_BYTES};
use crate::settlement::SettlementCommand;
use crate::shares::BudgetShares;
use crate::state::{Epoch, FleetCommand, FleetState, JournalId};
use own_journal::OwnReplication;
use proposals::OutstandingProposal;
use quillmount_core::store::Store;
use quillmount_policy::Micros;
use registration::{Discovery, PendingRenewal};
use std::collections::{BTreeMap, BTreeSet};
use stores::{AGREEMENT_STORE, IDENTITY_STORE, journal_of_store, read_lineage};
use takeover::Takeovers;

/// Time after which a request to the fleet is repeated until it has its effect, in microseconds: a message may be
/// lost, and so may a leader.
const RETRY_INTERVAL: Micros = 250_000;
/// Time between two rounds of maintenance at the most, in microseconds: short against a lease.
const MAINTENANCE_INTERVAL: Micros = 50_000;
/// Bytes for replicas of others' journals, unless the driver sets another limit.
const DEFAULT_REPLICA_CAPACITY: u64 = 16 * MAX_REPLICA_BYTES;

/// One courier's state machine in its fleet.
#[derive(Clone)]
pub struct Member<D: StoreDirectory, L = Agreement<<D as StoreDirectory>::Store>> {
    /// The fleet's settings.
    pub config: FleetConfig,
    /// Maximum bytes that replicas of others' journals may use. Seals are written even beyond it.
    pub replica_capacity: u64,
    stores: D,
    agreement: L,
    state: FleetState,
    /// Random number of this process, which distinguishes it from earlier ones of the same courier.
    incarnation: u64,
    /// Lineage of the journal in the folder; `None`: there is none that counts.
    lineage: Option<Epoch>,
    /// Where the lineage is stored.
    identity: D::Store,
    is_first: bool,
    discovery: Discovery,
    names_by_node: BTreeMap<NodeId, Name>,
    /// Index of the last log entry that `state` contains.
    applied_index: u64,
    /// The epoch of this process's registration, from its commit on.
    epoch: Option<Epoch>,
    /// The registration is void. It stays so until the process ends.
    fenced: bool,
    lease: HeldLease,
    /// What was last reported of the lease.
    lease_lost: bool,
    is_leader: bool,
    granted_leases: GrantedLeases,
    /// Lease renewals that wait for the leadership's confirmation, by the agreement's ticket.
    pending_renewals: BTreeMap<u64, PendingRenewal>,
    /// Ticket of the last request to the agreement.
    last_ticket: u64,
    replication: OwnReplication,
    /// Replicas of others' journals.
    replicas: BTreeMap<JournalId, JournalReplica<D::Store>>,
    /// Journals whose replica the store has rejected bytes of, as was reported.
    rejected_replicas: BTreeSet<JournalId>,
    takeovers: Takeovers,
    outstanding: Vec<OutstandingProposal>,
    leaving: bool,
    left: bool,
    shares: BudgetShares,
    reported_voters: Vec<Name>,
    maintenance_at: Micros,
    next_expiry_at: Micros,
    next_verdict_sweep_at: Micros,
}

/// The numbers of one run of a courier's process, which the caller draws at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The number of this run.
    pub incarnation: u64,
    /// The node id for a new folder, not 0; a folder that has one keeps it.
    pub fresh_node_id: NodeId,
}

/// The agreement's log, which the caller has opened.
#[derive(Debug)]
pub struct OpenedLog<L> {
    /// The log.
    pub log: L,
    /// What was read from it.
    pub opened: Opened,
}

impl<D: StoreDirectory> Member<D> {
    /// Opens the agreement's log and the rest of the folder.
    ///
    /// # Errors
    /// A store can't be opened, read or decoded.
    pub fn open(
        config: FleetConfig,
        mut stores: D,
        identity: ProcessIdentity,
        limits: AgreementLimits,
        now: Micros,
    ) -> Result<(Self, Vec<MemberOutput>), MemberError> {
        let store = stores.open(AGREEMENT_STORE)?;
        let (log, opened) = Agreement::open(store, identity.fresh_node_id, limits, now)?;
        Member::with_log(config, stores, OpenedLog { log, opened }, identity.incarnation, now)
    }
}

impl<D: StoreDirectory, L: AgreementLog> Member<D, L> {
    /// Opens what the folder has besides the agreement's log, which the caller has opened.
    ///
    /// # Errors
    /// A store can't be opened, read or decoded.
    pub fn with_log(
        config: FleetConfig,
        mut stores: D,
        opened_log: OpenedLog<L>,
        incarnation: u64,
        now: Micros,
    ) -> Result<(Self, Vec<MemberOutput>), MemberError> {
        let OpenedLog { log, opened } = opened_log;
        let mut identity = stores.open(IDENTITY_STORE)?;
        let is_first = identity.is_empty();
        let lineage = read_lineage(&mut identity)?;
        let replicas = open_replicas(&mut stores)?;
        let shares = BudgetShares::new(
            &config.local_name,
            config.time_bounds(),
            config.budgets.clone(),
            config.couriers(),
            now,
        );
        let mut member = Member {
            config,
            replica_capacity: DEFAULT_REPLICA_CAPACITY,
            stores,
            agreement: log,
            state: FleetState::default(),
            incarnation,
            lineage,
            identity,
            is_first,
            discovery: Discovery::new(opened.new, now),
            names_by_node: BTreeMap::new(),
            applied_index: 0,
            epoch: None,
            fenced: false,
            lease: HeldLease::default(),
            lease_lost: true,
            is_leader: false,
            granted_leases: GrantedLeases::default(),
            pending_renewals: BTreeMap::new(),
            last_ticket: 0,
            replication: OwnReplication::default(),
            replicas,
            rejected_replicas: BTreeSet::new(),
            takeovers: Takeovers::default(),
            outstanding: Vec::new(),
            leaving: false,
            left: false,
            shares,
            reported_voters: Vec::new(),
            maintenance_at: now,
            next_expiry_at: now,
            next_verdict_sweep_at: now,
        };
        let mut out = Vec::new();
        member.apply_opened(opened, now, &mut out)?;
        Ok((member, out))
    }

    fn apply_opened(
        &mut self,
        opened: Opened,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        self.restore(&opened.state)?;
        for CommittedCommand { command, .. } in opened.committed {
            self.apply_command(&command, now, out)?;
        }
        // A log that has voters belongs to a fleet, even if nothing in it is known to be committed.
        self.discovery.fresh &= self.agreement.voters().is_empty();
        self.index_node_names();
        Ok(())
    }

    /// The state that the fleet has agreed on, as far as it is known here.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The replicated log.
    pub fn agreement(&self) -> &L {
        &self.agreement
    }

    /// The epoch of this process's registration, once it is committed.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Whether the courier is a member with a valid lease, so that it may accept messages and begin calls.
    pub fn may_act(&self, now: Micros) -> bool {
        self.epoch.is_some()
            && !self.fenced
            && (self.lease.is_valid(now) || breaks::is_enabled(Break::LeaseIgnored))
    }

    /// When it wants [`MemberInput::Tick`] at the latest.
    pub fn wake_at(&self) -> Option<Micros> {
        // After it is fenced or has left no page is sent any more: one that is due would stay due for ever.
        let replicator = self.replication.replicator.as_ref().filter(|_| !self.fenced && !self.left);
        let times = [
            Some(self.maintenance_at),
            self.agreement.wake_at(),
            replicator.and_then(JournalReplicator::wake_at),
        ];
        times.into_iter().flatten().min()
    }

    /// Whether no earlier process with this folder was a member of a fleet, and no other process had this courier's
    /// name: a journal in the folder belongs to nobody else.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Stores the lineage of the journal that is in the folder from now on; `None`: the journal there is void.
    ///
    /// # Errors
    /// It can't be written.
    pub fn record_lineage(&mut self, lineage: Option<Epoch>) -> Result<(), MemberError> {
        self.identity.replace(&postcard::to_allocvec(&lineage)?)?;
        self.lineage = lineage;
        Ok(())
    }

    /// The lineage of this courier's journal that the fleet has agreed on.
    pub fn agreed_lineage(&self) -> Option<Epoch> {
        self.state.journals.get(&self.journal_id()?).map(|journal| journal.lineage)
    }

    /// Whether the courier has left the fleet and its journal is sealed or retired: others have what was in it.
    pub fn has_left(&self) -> bool {
        let own = self.journal_id().and_then(|id| self.state.journals.get(&id));
        self.left && own.is_none_or(|journal| journal.sealed.is_some())
    }

    /// Takes one input at the time `now` and returns what is to be done, in order.
    ///
    /// # Errors
    /// Something can't be written that has to outlast the process. The member must not be used any more; its lease
    /// expires.
    pub fn step(&mut self, input: MemberInput, now: Micros) -> Result<Vec<MemberOutput>, MemberError> {
        let mut out = Vec::new();
        match input {
            MemberInput::Tick => self.step_agreement(AgreementInput::Tick, now, &mut out)?,
            MemberInput::Received(envelope) => self.receive(envelope, now, &mut out)?,
            MemberInput::JournalOpened { bytes, unsettled } => {
                if let Some(journal) = self.journal_id() {
                    self.replication.replicator = Some(JournalReplicator::new(journal, bytes));
                    self.resume_adoptions(unsettled);
                }
            }
            MemberInput::JournalAppended(bytes) => {
                if let Some(replicator) = &mut self.replication.replicator {
                    replicator.appended(&bytes);
                }
            }
            MemberInput::JournalReplaced(bytes) => {
                if let Some(replicator) = &mut self.replication.replicator {
                    replicator.replaced(bytes);
                }
            }
            MemberInput::Adopted(source) => self.adoption_written(source),
            MemberInput::AdoptionResolved(source) => self.adoption_recorded(&source),
            MemberInput::Leave => {
                self.leaving = true;
                self.shares.gate.leave();
            }
            MemberInput::Settlement(command) => self.send_settlement_command(command, now, &mut out)?,
        }
        self.run_maintenance(now, &mut out)?;
        Ok(out)
    }

    /// Does what is due as time passes.
    fn run_maintenance(&mut self, now: Micros, out: &mut Vec<MemberOutput>) -> Result<(), MemberError> {
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        self.send_hello(now, out)?;
        if self.fenced || self.left {
            return Ok(());
        }
        self.renew_lease(now, out)?;
        self.maintain_replicas(now, out);
        self.maintain_budget_shares(now, out)?;
        self.fetch_sealed(now, out)?;
        self.propose_wanted(now, out)?;
        if self.is_leader {
            self.lead(now, out)?;
        }
        Ok(())
    }

    fn send_settlement_command(
        &mut self,
        command: SettlementCommand,
        now: Micros,
        out: &mut Vec<MemberOutput>,
    ) -> Result<(), MemberError> {
        let Some(leader) = self.leader().filter(|_| self.epoch.is_some()) else { return Ok(()) };
        self.send_to(leader, FleetMessage::Propose(FleetCommand::Settlement(command)), now, out)
    }

    /// The leader's name, if there is a leader and its name is known.
    fn leader(&self) -> Option<Name> {
        let node_id = self.agreement.leader()?;
        if node_id == self.agreement.node_id() {
            return Some(self.config.local_name.clone());
        }
        self.names_by_node.get(&node_id).cloned()
    }

    /// The own journal, under the epoch of this process's registration.
    fn journal_id(&self) -> Option<JournalId> {
        Some(JournalId { owner: self.config.local_name.clone(), epoch: self.epoch? })
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }
}

fn open_replicas<D: StoreDirectory>(
    stores: &mut D,
) -> Result<BTreeMap<JournalId, JournalReplica<D::Store>>, MemberError> {
    let mut replicas = BTreeMap::new();
    for name in stores.names()? {
        if let Some(journal) = journal_of_store(&name) {
            replicas.insert(journal, JournalReplica::open(stores.open(&name)?)?);
        }
    }
    Ok(replicas)
}
