//! One courier of a fleet: its Raft node, its lease, the replicas of its journal at other couriers, the replicas that
//! it stores for them, and its takeovers of sealed journals.
//!
//! A [`Member`] has no clock, thread or socket. The driver passes inputs with the current time to [`Member::step`]
//! and carries out the outputs in order. The member writes to its [`StoreDirectory`] before it returns an output that
//! depends on the written data.
//!
//! `interface`, `notice` and `error` define what the driver receives, `log` and `stores` what it provides. The other
//! modules implement the steps of the state machine: `messages` and `agreement_outputs` dispatch inputs, `fleet_events`
//! applies changes of the agreed state, and `registration`, `own_journal`, `takeover`, `proposals`, `budget_shares` and
//! `leadership` run periodic maintenance. `replica_host` stores the replicas of other couriers' journals.

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

/// Time in microseconds after which a request to the fleet is repeated until it takes effect: messages may be lost, and
/// the leader may fail.
const RETRY_INTERVAL: Micros = 250_000;
/// Maximum time between two rounds of maintenance in microseconds. It is short compared with a lease.
const MAINTENANCE_INTERVAL: Micros = 50_000;
/// Default of [`Member::replica_capacity`] in bytes.
const DEFAULT_REPLICA_CAPACITY: u64 = 16 * MAX_REPLICA_BYTES;

/// The state machine of one courier in its fleet.
#[derive(Clone)]
pub struct Member<D: StoreDirectory, L = Agreement<<D as StoreDirectory>::Store>> {
    /// The fleet's settings. The driver may replace them while the member runs.
    pub config: FleetConfig,
    /// Maximum total size in bytes of the replicas of other couriers' journals. Seals are written even beyond it.
    pub replica_capacity: u64,
    stores: D,
    agreement: L,
    state: FleetState,
    /// Random number of this process. It distinguishes the process from earlier ones of the same courier.
    incarnation: u64,
    /// Lineage of the journal in the data directory; `None` if there is no valid journal.
    lineage: Option<Epoch>,
    /// The store of the lineage.
    identity: D::Store,
    /// See [`Member::is_first`].
    is_first: bool,
    discovery: Discovery,
    names_by_node: BTreeMap<NodeId, Name>,
    /// Index of the last log entry that `state` contains.
    applied_index: u64,
    /// The epoch of this process's registration, once it is committed.
    epoch: Option<Epoch>,
    /// The registration is void. A fenced process stays fenced until it ends.
    fenced: bool,
    lease: HeldLease,
    /// The value of the last [`MemberNotice::LeaseLost`].
    lease_lost: bool,
    is_leader: bool,
    granted_leases: GrantedLeases,
    /// Lease renewals that wait until a majority confirms the leadership, by the ticket of the read request.
    pending_renewals: BTreeMap<u64, PendingRenewal>,
    /// Ticket of the last request to the agreement.
    last_ticket: u64,
    replication: OwnReplication,
    /// Replicas of other couriers' journals that this member stores.
    replicas: BTreeMap<JournalId, JournalReplica<D::Store>>,
    /// Journals whose replica could not be written, and for which a notice was sent.
    rejected_replicas: BTreeSet<JournalId>,
    takeovers: Takeovers,
    outstanding_proposals: Vec<OutstandingProposal>,
    leaving: bool,
    left: bool,
    shares: BudgetShares,
    reported_voters: Vec<Name>,
    maintenance_at: Micros,
    next_expiry_at: Micros,
    next_verdict_sweep_at: Micros,
}

/// Random numbers that identify one run of a courier's process. The caller draws them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The number of this run. No two runs of a courier have the same one.
    pub incarnation: u64,
    /// The node id for a new data directory, not 0. A directory that contains a node id keeps it.
    pub fresh_node_id: NodeId,
}

/// A replicated log that the caller has opened.
#[derive(Debug)]
pub struct OpenedLog<L> {
    /// The replicated log.
    pub log: L,
    /// The contents that were read when the log was opened.
    pub opened: Opened,
}

impl<D: StoreDirectory> Member<D> {
    /// Opens the agreement's log and all other stores of the directory.
    ///
    /// # Errors
    /// A store can't be opened, read or decoded, or the limits are inconsistent.
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
    /// Opens all stores of the directory except for the replicated log, which the caller has opened.
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
            discovery: Discovery::new(opened.is_new, now),
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
            outstanding_proposals: Vec::new(),
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

    /// The agreed state of the fleet, as of the last command that this member has applied.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The replicated log of this member.
    pub fn agreement(&self) -> &L {
        &self.agreement
    }

    /// The epoch of this process's registration, once it is committed.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Whether the courier is a member with a valid lease, and so may accept messages and start calls.
    pub fn may_act(&self, now: Micros) -> bool {
        self.epoch.is_some()
            && !self.fenced
            && (self.lease.is_valid(now) || breaks::is_enabled(Break::LeaseIgnored))
    }

    /// Deadline of the next [`MemberInput::Tick`].
    pub fn wake_at(&self) -> Option<Micros> {
        // A member that is fenced or has left sends no pages, so the deadline of a due page would never advance.
        let replicator = self.replication.replicator.as_ref().filter(|_| !self.fenced && !self.left);
        let times = [
            Some(self.maintenance_at),
            self.agreement.wake_at(),
            replicator.and_then(JournalReplicator::wake_at),
        ];
        times.into_iter().flatten().min()
    }

    /// Whether no earlier process with this data directory was a member of a fleet, and no process with another data
    /// directory was registered under this courier's name. If so, no other courier has taken over the journal in the
    /// directory.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Stores the lineage of the journal in the data directory; `None` if that journal is void.
    ///
    /// # Errors
    /// The lineage can't be written.
    pub fn record_lineage(&mut self, lineage: Option<Epoch>) -> Result<(), MemberError> {
        self.identity.replace(&postcard::to_allocvec(&lineage)?)?;
        self.lineage = lineage;
        Ok(())
    }

    /// The lineage of this courier's journal in the agreed state; `None` if the courier is not registered.
    pub fn agreed_lineage(&self) -> Option<Epoch> {
        self.state.journals.get(&self.journal_id()?).map(|journal| journal.lineage)
    }

    /// Whether the courier has left the fleet and its journal is sealed or retired, so that other couriers take it over
    /// or have done so.
    pub fn has_left(&self) -> bool {
        let own = self.journal_id().and_then(|id| self.state.journals.get(&id));
        self.left && own.is_none_or(|journal| journal.sealed.is_some())
    }

    /// Processes one input at the time `now` and returns the outputs, which the driver has to carry out in order.
    ///
    /// # Errors
    /// A store can't be read or written, or the agreement has halted. The member must not be used any more, and its
    /// lease expires.
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

    /// Runs the periodic tasks that are due.
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

    /// The leader's name; `None` if there is no known leader or its name is unknown.
    fn leader(&self) -> Option<Name> {
        let node_id = self.agreement.leader()?;
        if node_id == self.agreement.node_id() {
            return Some(self.config.local_name.clone());
        }
        self.names_by_node.get(&node_id).cloned()
    }

    /// The id of the own journal, under the epoch of this process's registration; `None` before the registration.
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
