//! The replicated log that all couriers agree on: Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014) by the `raft` library, without I/O.
//!
//! An [`Agreement`] has no clock, thread or socket. Its caller hands it inputs with the time
//! ([`Agreement::step`]) and carries out the outputs in order. It writes to its [`Store`] before it returns
//! anything that depends on what it wrote. Its random numbers come from a seed, so that a run can be repeated;
//! it can be cloned and compared, so that its state space can be explored.
//!
//! Modules: [`limits`](AgreementLimits), `interface` (inputs and outputs) and `error` are what the caller sees;
//! `requests`, `ticks`, `ready` and `compaction` are the steps of the machine; `log` has the
//! entries, `log_file` and `memory_log` store them, `wire` has the messages, `explore` copies and digests.

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

/// A proposal made here whose commit is pending.
#[derive(Clone, Copy, Debug, Serialize)]
struct PendingProposal {
    /// Term of its log entry. Another entry may be committed at the same index in a later term.
    term: u64,
    /// The caller's number of it.
    ticket: u64,
}

/// Leader and term, as they were last reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leadership {
    leader: Option<NodeId>,
    term: u64,
}

/// One courier's part in the agreement.
pub struct Agreement<S: Store> {
    limits: AgreementLimits,
    node_id: NodeId,
    file: LogFile<S>,
    node: RawNode<MemoryLog>,
    next_tick: Micros,
    /// Ticks that are added to `election_ticks` before the next election: drawn for each term and each
    /// election.
    election_jitter: usize,
    /// Number of random numbers drawn.
    draws: u64,
    reported: Leadership,
    /// Proposals made here and not committed yet, by log index.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// Tickets of reads that no majority has confirmed yet, by the number of the read.
    pending_reads: BTreeMap<u64, u64>,
    next_read: u64,
    /// Ticks since a snapshot was sent, by the courier that has not confirmed it.
    snapshot_ticks: BTreeMap<NodeId, usize>,
    last_heard: BTreeMap<NodeId, Micros>,
    /// Index of the last command or state that was delivered.
    delivered_index: u64,
    /// Length of the log file in bytes from which a snapshot is requested.
    snapshot_at: u64,
    /// The caller was asked for a snapshot and has not provided it yet.
    snapshot_requested: bool,
    /// A membership change was applied, and its commit is not in the log file yet.
    membership_changed: bool,
    halted: bool,
}

impl<S: Store> Agreement<S> {
    /// Reads the log, drops a record that a kill has cut short, and returns what is known to be committed. An
    /// empty log gets the id `fresh_node_id`.
    ///
    /// # Errors
    ///
    /// The log can't be read or written, is damaged other than by a kill, or the limits contradict each other.
    pub fn open(
        store: S,
        fresh_node_id: NodeId,
        limits: AgreementLimits,
        now: Micros,
    ) -> Result<(Self, Opened), AgreementError> {
        if limits.tick == 0 {
            return Err(AgreementError::InvalidLimits { what: "no time between ticks".into() });
        }
        let OpenedLogFile { file, persisted, is_new } = LogFile::open(store, fresh_node_id)?;
        let mut opened = Opened {
            new: is_new,
            state: persisted.snapshot.state.clone(),
            index: persisted.snapshot.index,
            committed: Vec::new(),
        };
        let (node_id, delivered_index) = (persisted.node_id, persisted.snapshot.index);
        let memory = MemoryLog::from_persisted(&persisted);
        let node = new_raft_node(&limits, node_id, memory, delivered_index)?;
        let snapshot_at = file.base + limits.log_bytes;
        let mut agreement = Agreement {
            next_tick: now + limits.tick,
            reported: Leadership { leader: None, term: node.raft.term },
            limits,
            node_id,
            file,
            node,
            election_jitter: 0,
            draws: 0,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read: 0,
            snapshot_ticks: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            delivered_index,
            snapshot_at,
            snapshot_requested: false,
            membership_changed: false,
            halted: false,
        };
        agreement.redraw_election_timeout();
        opened.committed = agreement.deliver_after_open()?;
        Ok((agreement, opened))
    }

    /// The commands after the snapshot that are known to be committed.
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

    /// Starts the fleet's agreement with this courier as the only voter. The others are added one by one.
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
        // The others start with this as their first snapshot: it names a voter, which an empty log can't.
        let snapshot =
            StateSnapshot { index: 1, term: 1, voters: vec![self.node_id], ..StateSnapshot::default() };
        let hard_state = HardState { term: self.node.raft.term.max(1), vote: self.node.raft.vote, commit: 1 };
        let persisted = PersistedLog { node_id: self.node_id, hard_state, snapshot, entries: Vec::new() };
        self.file.rewrite(&persisted)?;
        self.node = new_raft_node(&self.limits, self.node_id, MemoryLog::from_persisted(&persisted), 1)?;
        self.next_tick = now + self.limits.tick;
        let mut out = Vec::new();
        self.node.campaign().map_err(|e| AgreementError::Engine(e.to_string()))?;
        self.process_ready(&mut out);
        Ok(out)
    }

    /// Takes one input at the time `now` and returns what is to be done, in order. All that the outputs depend
    /// on is in the store by then.
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

    /// The leader, as far as it is known here.
    pub fn leader(&self) -> Option<NodeId> {
        let leader = self.node.raft.leader_id;
        (leader != INVALID_ID && !self.halted).then_some(leader)
    }

    /// Whether this courier believes to lead. Another one may lead by now: only
    /// [`AgreementOutput::ReadReady`] is confirmed by a majority.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader && !self.halted
    }

    /// This courier's id, as its log has it.
    pub fn node_id(&self) -> NodeId {
        self.node_id
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The voters, in the order of their ids.
    pub fn voters(&self) -> Vec<NodeId> {
        log::MemberIds::of(&self.node.store().membership).voters
    }

    /// The learners, in the order of their ids.
    pub fn learners(&self) -> Vec<NodeId> {
        log::MemberIds::of(&self.node.store().membership).learners
    }

    /// Index of the last log entry that was applied here.
    pub fn applied(&self) -> u64 {
        self.node.raft.raft_log.applied
    }

    /// When the last message of another member of the agreement arrived.
    pub fn last_heard(&self, node_id: NodeId) -> Option<Micros> {
        self.last_heard.get(&node_id).copied()
    }

    /// Whether the agreement has halted: its log can't be written or is not to be trusted, so that it sends
    /// nothing more.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// When it wants [`AgreementInput::Tick`] at the latest; `None`: it is halted or knows of no voters yet.
    pub fn wake_at(&self) -> Option<Micros> {
        (!self.halted && !self.node.store().membership.voters.is_empty()).then_some(self.next_tick)
    }

    /// The store of the log.
    pub fn store(&self) -> &S {
        &self.file.store
    }

    /// The store of the log, for tests that make it fail.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.file.store
    }

    /// Ends the agreement and returns the store of its log.
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
        // A range of one value: the election time-out is drawn here, from the seed.
        min_election_tick: limits.election_ticks,
        max_election_tick: limits.election_ticks + 1,
        applied,
        max_size_per_msg: limits.message_bytes,
        max_inflight_msgs: limits.inflight,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    RawNode::new(&config, memory, &logger).map_err(|e| AgreementError::InvalidLimits { what: e.to_string() })
}
