//! The replicated log of a fleet: the Raft consensus algorithm (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014), implemented by the `raft` library and used without I/O.
//!
//! An [`Agreement`] has no clock, thread or socket. The caller passes inputs with the current time to
//! [`Agreement::step`] and carries out the outputs in order. The agreement writes to its [`Store`] before it returns
//! an output that depends on the written data. All random numbers are derived from a seed, so a run can be repeated.
//! An agreement can be cloned and digested, so a test can explore its state space.
//!
//! Modules: [`limits`](AgreementLimits), `interface` (inputs and outputs) and `error` form the public interface.
//! `requests`, `ticks`, `ready` and `compaction` implement the steps of the state machine. `log` defines the
//! entries, `log_file` and `memory_log` store them, `wire` encodes messages, `explore` makes clones and digests.

mod compaction;
mod error;
mod explore;
mod interface;
mod limits;
mod log;
mod log_file;
mod memory_log;
mod ready;
mod requests;
mod ticks;
mod wire;

pub use error::{AgreementError, DecodeError};
pub use interface::{
    AgreementInput, AgreementOutput, CommittedCommand, MembershipChange, Opened, RejectReason,
};
pub use limits::AgreementLimits;

use quillmount_core::store::Store;
use quillmount_policy::Micros;
use raft::prelude::Config;
use raft::{INVALID_ID, RawNode, StateRole};
use serde::Serialize;
use std::collections::BTreeMap;

use crate::NodeId;
use log::{HardState, StateSnapshot};
use log_file::{LogFile, OpenedLogFile, PersistedLog};
use memory_log::MemoryLog;

/// A proposal of this courier that is not committed yet.
#[derive(Clone, Copy, Debug, Serialize)]
struct PendingProposal {
    /// Term of the proposed log entry. In a later term, another entry may be committed at the same index.
    term: u64,
    /// The number that the caller has given to the proposal.
    ticket: u64,
}

/// The leader and the term that were last reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leadership {
    leader: Option<NodeId>,
    term: u64,
}

/// One courier's Raft node: a voter, a learner, or a courier that has not joined the Raft group yet.
pub struct Agreement<S: Store> {
    limits: AgreementLimits,
    node_id: NodeId,
    file: LogFile<S>,
    node: RawNode<MemoryLog>,
    next_tick: Micros,
    /// Random number of ticks that is added to `election_ticks` before the next election. A new one is drawn for
    /// each term and for each election.
    election_jitter: usize,
    /// Number of random numbers drawn so far.
    random_draws: u64,
    reported: Leadership,
    /// Proposals of this courier that are not committed yet, by log index.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// Tickets of reads that a majority has not confirmed yet, by the sequence number of the read.
    pending_reads: BTreeMap<u64, u64>,
    next_read: u64,
    /// Ticks since a snapshot was sent, by the receiver, until the receiver confirms it.
    snapshot_ticks: BTreeMap<NodeId, usize>,
    /// Arrival time of the last message of each other member.
    last_heard: BTreeMap<NodeId, Micros>,
    /// Index of the last command or state that was delivered to the caller.
    delivered_index: u64,
    /// Length of the log file in bytes at which a snapshot is requested.
    snapshot_threshold: u64,
    /// A snapshot was requested from the caller and has not been provided yet.
    snapshot_requested: bool,
    /// A membership change was applied, and its commit index is not in the log file yet.
    membership_changed: bool,
    halted: bool,
}

impl<S: Store> Agreement<S> {
    /// Reads the log, removes an incomplete last record, and returns the entries that are known to be committed.
    /// A crash during a write leaves such a record. An empty log gets the id `fresh_node_id`.
    ///
    /// # Errors
    ///
    /// The log can't be read or written, a complete record is damaged, or the limits are inconsistent.
    pub fn open(
        store: S,
        fresh_node_id: NodeId,
        limits: AgreementLimits,
        now: Micros,
    ) -> Result<(Self, Opened), AgreementError> {
        if limits.tick_interval == 0 {
            return Err(AgreementError::InvalidLimits { reason: "the tick interval is 0".into() });
        }
        let OpenedLogFile { file, persisted, created } = LogFile::open(store, fresh_node_id)?;
        let mut opened = Opened {
            is_new: created,
            state: persisted.snapshot.state.clone(),
            index: persisted.snapshot.index,
            committed: Vec::new(),
        };
        let (node_id, delivered_index) = (persisted.node_id, persisted.snapshot.index);
        let memory = MemoryLog::from_persisted(&persisted);
        let node = new_raft_node(&limits, node_id, memory, delivered_index)?;
        let snapshot_threshold = file.rewritten_len + limits.log_bytes;
        let mut agreement = Agreement {
            next_tick: now + limits.tick_interval,
            reported: Leadership { leader: None, term: node.raft.term },
            limits,
            node_id,
            file,
            node,
            election_jitter: 0,
            random_draws: 0,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read: 0,
            snapshot_ticks: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            delivered_index,
            snapshot_threshold,
            snapshot_requested: false,
            membership_changed: false,
            halted: false,
        };
        agreement.redraw_election_timeout();
        opened.committed = agreement.deliver_after_open()?;
        Ok((agreement, opened))
    }

    /// Returns the commands after the snapshot that are known to be committed.
    fn deliver_after_open(&mut self) -> Result<Vec<CommittedCommand>, AgreementError> {
        let mut out = Vec::new();
        self.drain_ready(&mut out);
        let mut committed = Vec::new();
        for output in out {
            match output {
                AgreementOutput::Committed { index, command, .. } => {
                    committed.push(CommittedCommand { index, command });
                }
                AgreementOutput::Halted(error) => return Err(error),
                _ => {}
            }
        }
        Ok(committed)
    }

    /// Creates the Raft group of a new fleet with this courier as the only voter. Other couriers are added one by one.
    ///
    /// # Errors
    ///
    /// The log is not empty, or can't be written.
    pub fn bootstrap(&mut self, now: Micros) -> Result<Vec<AgreementOutput>, AgreementError> {
        let memory = self.node.store();
        if memory.snapshot.index > 0
            || !memory.entries.is_empty()
            || !memory.membership.voters.is_empty()
            || self.halted
        {
            return Err(AgreementError::AlreadyBootstrapped);
        }
        // Other couriers start from this first snapshot: it lists a voter, which an empty log can't.
        let snapshot =
            StateSnapshot { index: 1, term: 1, voters: vec![self.node_id], ..StateSnapshot::default() };
        let hard_state = HardState { term: self.node.raft.term.max(1), vote: self.node.raft.vote, commit: 1 };
        let persisted = PersistedLog { node_id: self.node_id, hard_state, snapshot, entries: Vec::new() };
        self.file.rewrite(&persisted)?;
        self.node = new_raft_node(&self.limits, self.node_id, MemoryLog::from_persisted(&persisted), 1)?;
        self.next_tick = now + self.limits.tick_interval;
        let mut out = Vec::new();
        self.node.campaign().map_err(|e| AgreementError::RaftLibrary(e.to_string()))?;
        self.process_ready(&mut out);
        Ok(out)
    }

    /// Processes one input at the time `now` and returns the outputs, which the caller has to carry out in order.
    /// Everything that the outputs depend on is in the store when this function returns.
    pub fn step(&mut self, input: AgreementInput, now: Micros) -> Vec<AgreementOutput> {
        let mut out = Vec::new();
        self.run_due_ticks(now, &mut out);
        match input {
            AgreementInput::Tick => {}
            AgreementInput::Receive { from, bytes } => self.receive(from, &bytes, now, &mut out),
            AgreementInput::Propose { ticket, command } => {
                let result = self.propose(ticket, command);
                self.report_rejection(ticket, result, &mut out);
            }
            AgreementInput::ReadIndex { ticket } => {
                let result = self.read_index(ticket);
                self.report_rejection(ticket, result, &mut out);
            }
            AgreementInput::ChangeMembership { ticket, change } => {
                let result = self.change_membership(ticket, change, now);
                self.report_rejection(ticket, result, &mut out);
            }
            AgreementInput::Snapshot { through, state } => self.handle_snapshot(through, state, &mut out),
            AgreementInput::TransferLeadership { to } => self.transfer_leadership(to),
        }
        self.process_ready(&mut out);
        out
    }

    /// The leader that this courier knows of; `None` if it knows of none or is halted.
    pub fn leader(&self) -> Option<NodeId> {
        let leader = self.node.raft.leader_id;
        (leader != INVALID_ID && !self.halted).then_some(leader)
    }

    /// Whether this courier is leader according to its own state. A newer leader may exist: only
    /// [`AgreementOutput::ReadReady`] is confirmed by a majority.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader && !self.halted
    }

    /// This courier's node id, as stored in its log.
    pub fn node_id(&self) -> NodeId {
        self.node_id
    }

    /// The current Raft term of this courier.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The voters of the Raft group in ascending order of their ids, as of the last applied entry.
    pub fn voters(&self) -> Vec<NodeId> {
        log::MemberIds::of(&self.node.store().membership).voters
    }

    /// The learners of the Raft group in ascending order of their ids, as of the last applied entry.
    pub fn learners(&self) -> Vec<NodeId> {
        log::MemberIds::of(&self.node.store().membership).learners
    }

    /// Index of the last log entry that this courier has applied.
    pub fn applied(&self) -> u64 {
        self.node.raft.raft_log.applied
    }

    /// Arrival time of the last message of another member; `None` if there was none.
    pub fn last_heard(&self, node_id: NodeId) -> Option<Micros> {
        self.last_heard.get(&node_id).copied()
    }

    /// Whether the agreement has halted. A halted agreement sends no messages, because its log can't be written or
    /// lacks entries that it has acknowledged.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Deadline of the next [`AgreementInput::Tick`]; `None` if the agreement is halted or has no voters yet.
    pub fn wake_at(&self) -> Option<Micros> {
        (!self.halted && !self.node.store().membership.voters.is_empty()).then_some(self.next_tick)
    }

    /// The store that contains the log file.
    pub fn store(&self) -> &S {
        &self.file.store
    }

    /// The store that contains the log file, for tests that inject write errors.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.file.store
    }

    /// Consumes the agreement and returns the store that contains the log file.
    pub fn into_store(self) -> S {
        self.file.store
    }
}

fn new_raft_node(
    limits: &AgreementLimits,
    node_id: NodeId,
    memory: MemoryLog,
    applied: u64,
) -> Result<RawNode<MemoryLog>, AgreementError> {
    let config = Config {
        id: node_id,
        election_tick: limits.election_ticks,
        heartbeat_tick: limits.heartbeat_ticks,
        // A range with a single value: the random part of the election timeout is drawn by this module from its seed.
        min_election_tick: limits.election_ticks,
        max_election_tick: limits.election_ticks + 1,
        applied,
        max_size_per_msg: limits.max_append_bytes,
        max_inflight_msgs: limits.max_in_flight,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    RawNode::new(&config, memory, &logger)
        .map_err(|e| AgreementError::InvalidLimits { reason: e.to_string() })
}
