//! What the couriers agree on: one log of commands, the same at each of them, kept by an existing engine
//! (`raft`).
//!
//! The machine has no clock, disk loop or socket of its own: it is handed inputs with the time, writes to its
//! [`Store`] before it returns anything that depends on what it wrote, and says what is to be sent and what
//! has been agreed. Its draws come from a seed, so that a run repeats; it can be cloned and compared, and so
//! explored.

mod log;
mod wire;

use quillmount_core::store::Store;
use quillmount_policy::Micros;
use raft::prelude::{ConfChange, ConfChangeType, Config, Entry as RaftEntry, Message};
use raft::{INVALID_ID, ProgressState, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::mem;
use std::sync::Arc;

use crate::NodeId;
use log::{HardState, LogEntry, LogFile, MemoryLog, Payload, PersistedLog, StateSnapshot};

/// What an agreement may take, and its pace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementLimits {
    /// Between two ticks. Twenty a second cost a courier that is idle next to nothing.
    pub tick: Micros,
    /// Ticks between a leader's beats: two may be lost or late before a follower doubts it.
    pub heartbeat_ticks: usize,
    /// Without a word from the leader for so many, and up to twice as many by the draw, a voter calls an
    /// election; without a word from a majority for so many, a leader steps down.
    pub election_ticks: usize,
    /// Bytes that the file may grow by before a snapshot is asked for; past twice that no command is taken.
    pub log_bytes: u64,
    /// Of one command. Commands are small facts about books, budgets and homes, never bodies.
    pub entry_bytes: usize,
    /// Of one state: it travels whole in one message to a courier that is behind.
    pub state_bytes: usize,
    /// Of the commands in one message, at least one command.
    pub message_bytes: u64,
    /// Messages on their way to one courier before the next waits for an answer.
    pub inflight: usize,
    /// Commands and changes that wait for agreement: what a leader that is cut off can pile up.
    pub proposals: usize,
    /// Questions that wait for a majority to confirm the leader.
    pub reads: usize,
    /// Entries that a learner may be behind when it is made a voter: further, and its vote would be missing.
    pub promote_lag: u64,
    /// Draws come from it and from the token.
    pub seed: u64,
}

impl Default for AgreementLimits {
    fn default() -> Self {
        AgreementLimits {
            tick: 50_000,
            heartbeat_ticks: 2,
            election_ticks: 10,
            log_bytes: 1 << 20,
            entry_bytes: 64 << 10,
            state_bytes: 16 << 20,
            message_bytes: 256 << 10,
            inflight: 64,
            proposals: 1024,
            reads: 1024,
            promote_lag: 64,
            seed: 0,
        }
    }
}

impl AgreementLimits {
    /// What an election takes at most until it is called, without a word from a leader.
    pub fn max_election_timeout(&self) -> Micros {
        self.tick * 2 * self.election_ticks as Micros
    }
}

/// Why bytes from another courier are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("it is too short")]
    Short,
    #[error("its form {0} is not known here; the sender may be of another version")]
    Version(u8),
    #[error("its checksum does not fit")]
    Checksum,
    #[error("it holds a value that can't be")]
    Value,
    #[error("it is from, or for, another courier")]
    Misaddressed,
}

#[derive(Clone, Debug, thiserror::Error)]
pub enum AgreementError {
    #[error(
        "agreement: {what} its log in the lasting folder failed: {source}; this courier keeps silent in the \
         agreement until it is started again; see to the disk and start it"
    )]
    Store { what: &'static str, source: Arc<io::Error> },
    #[error(
        "agreement: its log in the lasting folder is damaged at byte {at}, and not by a kill; what was \
         promised is not known, so it takes no part; remove the log, and it comes back as a new learner"
    )]
    Damaged { at: u64 },
    #[error("agreement: a record is too large to be written; report it")]
    Unwritable,
    #[error("agreement: the log is new and no token was drawn for it; report it")]
    NoNodeId,
    #[error(
        "agreement: there is one already, and only an empty log can begin one; start it without beginning"
    )]
    AlreadyBootstrapped,
    #[error("agreement: its limits do not fit together ({what}); mend the section `fleet`")]
    InvalidLimits { what: String },
    #[error("agreement: message from courier {from:016x} dropped: {what}")]
    Malformed { from: NodeId, what: DecodeError },
    #[error(
        "agreement: courier {from:016x} says that entry {index} was confirmed here, and there is none beyond \
         {last}: this log was put back from a copy, or that courier belongs to another fleet; this one keeps \
         silent; remove the log here, and it comes back as a new learner"
    )]
    Ahead { from: NodeId, index: u64, last: u64 },
    #[error(
        "agreement: the state handed in is of entry {through}, and {applied} was handed out last; report it"
    )]
    StaleSnapshot { through: u64, applied: u64 },
    #[error("agreement: a state of {bytes} bytes is beyond its limit of {limit}; the log can't be shortened")]
    StateTooLarge { bytes: usize, limit: usize },
    #[error("agreement: the engine refused: {0}; report it")]
    Engine(String),
}

/// A change of those who take part, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// A new courier, or one that has voted: it is told all, and has no vote.
    AddLearner(NodeId),
    /// A learner that has caught up votes from now on.
    Promote(NodeId),
    Remove(NodeId),
}

impl MembershipChange {
    fn encoded(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn decoded(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    fn to_raft(self) -> ConfChange {
        let mut change = ConfChange::default();
        let (what, node_id) = match self {
            MembershipChange::AddLearner(node_id) => (ConfChangeType::AddLearnerNode, node_id),
            MembershipChange::Promote(node_id) => (ConfChangeType::AddNode, node_id),
            MembershipChange::Remove(node_id) => (ConfChangeType::RemoveNode, node_id),
        };
        change.set_change_type(what);
        change.node_id = node_id;
        change
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementInput {
    /// The time that [`Agreement::wake_at`] names has come. Each input does as much.
    Tick,
    /// Bytes of an [`AgreementOutput::Send`] of the courier `from`.
    Receive { from: NodeId, bytes: Vec<u8> },
    /// Only a leader takes it; its end is `Committed`, `Refused` or `Indeterminate`, with this ticket.
    Propose { ticket: u64, command: Vec<u8> },
    /// Whether this courier still leads, by a majority's word given after this: `ReadReady` or `Refused`.
    ReadIndex { ticket: u64 },
    /// Only a leader takes it; its end is `Changed`, `Refused` or `Indeterminate`.
    ChangeMembership { ticket: u64, change: MembershipChange },
    /// The state after `through`: the index of the last command or state that was handed out. The log is
    /// shortened by it.
    Snapshot { through: u64, state: Vec<u8> },
    /// The leader hands its office to a voter, without the wait for an election.
    TransferLeadership { to: NodeId },
}

/// Why something was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// Ask the leader, if there is one.
    NotLeader,
    /// A new leader has yet to agree on its first entry, hands over, or another change is under way: ask
    /// again.
    Busy,
    /// More wait than the limits allow, or the log waits for a snapshot.
    QueueFull,
    /// Empty, or longer than a command may be.
    InvalidSize,
    /// Already so: a known learner, or no such courier.
    NoChange,
    /// The learner has not been heard of, or is too far behind.
    LearnerBehind,
    /// It would leave no majority of couriers that have been heard of, or take the leader itself away.
    QuorumAtRisk,
    /// Nothing can be written here.
    Halted,
}

#[derive(Clone, Debug)]
pub enum AgreementOutput {
    /// May be lost, doubled or late.
    Send { to: NodeId, bytes: Vec<u8> },
    /// Agreed: the same commands in the same order at every courier. `ticket`: proposed here, and still
    /// waited for.
    Committed { index: u64, ticket: Option<u64>, command: Vec<u8> },
    /// Put this in the place of the whole state. Empty bytes are the state before the first command.
    Restored { index: u64, state: Vec<u8> },
    /// Those who take part are others.
    MembershipChanged { index: u64, ticket: Option<u64>, change: MembershipChange },
    /// What was committed when this was asked has been handed out, and the courier led at that time.
    ReadReady { ticket: u64 },
    /// It has not been and will not be agreed.
    Rejected { ticket: u64, reason: RejectReason, leader: Option<NodeId> },
    /// The courier leads no more: it may yet be agreed, or not.
    Indeterminate { ticket: u64 },
    /// The log has grown: hand in [`AgreementInput::Snapshot`] when all before this is done.
    SnapshotWanted,
    /// Who leads has changed, as far as is known here.
    LeaderChanged { leader: Option<NodeId>, term: u64 },
    /// An input was not taken, or the log could not be shortened; all goes on.
    Failed(AgreementError),
    /// Nothing is sent any more, until it is opened again: it can't write, or its log is not what it
    /// promised.
    Halted(AgreementError),
}

/// What an opened log tells.
#[derive(Debug, Default)]
pub struct Opened {
    /// The log was empty, and has the fresh token now.
    pub new: bool,
    /// The state to begin with; empty: the state before the first command.
    pub state: Vec<u8>,
    /// The state is the one after this entry.
    pub index: u64,
    /// Commands known to be agreed after it, in order. More may be; the leader will tell.
    pub committed: Vec<(u64, Vec<u8>)>,
}

/// One courier's part of the agreement.
pub struct Agreement<S: Store> {
    limits: AgreementLimits,
    node_id: NodeId,
    file: LogFile<S>,
    node: RawNode<MemoryLog>,
    next_tick: Micros,
    /// Ticks beyond `election_ticks` before the next election is called, drawn anew for each term and each
    /// call.
    election_jitter: usize,
    draws: u64,
    /// What the last step has told: leader, term, and whether it is this courier.
    reported: (Option<NodeId>, u64),
    /// Proposed here and not agreed yet, by index.
    pending_proposals: BTreeMap<u64, (u64, u64)>,
    pending_reads: BTreeMap<u64, u64>,
    next_read: u64,
    /// Ticks since a snapshot was sent to a courier that has not confirmed it.
    snapshot_ticks: BTreeMap<NodeId, usize>,
    last_heard: BTreeMap<NodeId, Micros>,
    /// Last index that was handed out as a command or a state.
    delivered_index: u64,
    /// Length of the file from which a snapshot is asked for.
    snapshot_at: u64,
    snapshot_requested: bool,
    /// A change of those who take part was applied, and the file does not say yet that it is agreed.
    membership_changed: bool,
    halted: bool,
}

impl<S: Store> Agreement<S> {
    /// Reads the log, drops a torn tail, and tells what is known to be agreed. An empty one is begun under
    /// `fresh_node_id`.
    ///
    /// # Errors
    ///
    /// It can't be read or written, is damaged other than by a kill, or the limits do not fit together.
    pub fn open(
        store: S,
        fresh_node_id: NodeId,
        limits: AgreementLimits,
        now: Micros,
    ) -> Result<(Self, Opened), AgreementError> {
        if limits.tick == 0 {
            return Err(AgreementError::InvalidLimits { what: "no time between ticks".into() });
        }
        let (file, persisted, new) = LogFile::open(store, fresh_node_id)?;
        let mut opened = Opened {
            new,
            state: persisted.snapshot.state.clone(),
            index: persisted.snapshot.index,
            committed: Vec::new(),
        };
        let (node_id, delivered_index) = (persisted.node_id, persisted.snapshot.index);
        let mut memory = MemoryLog::from_persisted(&persisted);
        let node = new_raft_node(&limits, node_id, mem::take(&mut memory), delivered_index)?;
        let snapshot_at = file.base + limits.log_bytes;
        let mut agreement = Agreement {
            next_tick: now + limits.tick,
            reported: (None, node.raft.term),
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
        let mut out = Vec::new();
        agreement.drain_ready(&mut out);
        for output in out {
            match output {
                AgreementOutput::Committed { index, command, .. } => opened.committed.push((index, command)),
                AgreementOutput::Halted(error) => return Err(error),
                _ => {}
            }
        }
        Ok((agreement, opened))
    }

    /// Begins the fleet's agreement as its only voter; the others are added one by one.
    ///
    /// # Errors
    ///
    /// There is one already, or it can't be written.
    pub fn bootstrap(&mut self, now: Micros) -> Result<Vec<AgreementOutput>, AgreementError> {
        let memory = self.node.store();
        if memory.snapshot.index > 0
            || !memory.entries.is_empty()
            || !memory.membership.voters.is_empty()
            || self.halted
        {
            return Err(AgreementError::AlreadyBootstrapped);
        }
        // The others begin with this as their first snapshot: it names a voter, which an empty log can't.
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

    /// One input; everything that is to be done, in order. What is sent stands in the store.
    pub fn step(&mut self, input: AgreementInput, now: Micros) -> Vec<AgreementOutput> {
        let mut out = Vec::new();
        self.run_due_ticks(now, &mut out);
        match input {
            AgreementInput::Tick => {}
            AgreementInput::Receive { from, bytes } => self.receive(from, &bytes, now, &mut out),
            AgreementInput::Propose { ticket, command } => {
                if let Err(reason) = self.propose(ticket, command) {
                    self.reject(ticket, reason, &mut out);
                }
            }
            AgreementInput::ReadIndex { ticket } => {
                if let Err(reason) = self.read(ticket) {
                    self.reject(ticket, reason, &mut out);
                }
            }
            AgreementInput::ChangeMembership { ticket, change } => {
                if let Err(reason) = self.change(ticket, change, now) {
                    self.reject(ticket, reason, &mut out);
                }
            }
            AgreementInput::Snapshot { through, state } => {
                if let Err(error) = self.compact_log(through, state) {
                    // Not at once again.
                    self.snapshot_requested = false;
                    self.snapshot_at = self.file.store.len() + self.limits.log_bytes / 8;
                    out.push(AgreementOutput::Failed(error));
                }
            }
            AgreementInput::TransferLeadership { to } => {
                if !self.halted && self.leads() && to != self.node_id && self.voters().contains(&to) {
                    self.node.transfer_leader(to);
                }
            }
        }
        self.process_ready(&mut out);
        out
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<NodeId> {
        let leader = self.node.raft.leader_id;
        (leader != INVALID_ID && !self.halted).then_some(leader)
    }

    /// It may be another by now: only [`AgreementOutput::ReadReady`] is a majority's word.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader && !self.halted
    }

    /// This courier's number, as its log has it.
    pub fn node_id(&self) -> NodeId {
        self.node_id
    }

    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// In order of their numbers.
    pub fn voters(&self) -> Vec<NodeId> {
        log::voters_and_learners(&self.node.store().membership).0
    }

    pub fn learners(&self) -> Vec<NodeId> {
        log::voters_and_learners(&self.node.store().membership).1
    }

    /// How far it has handed out what is agreed.
    pub fn applied(&self) -> u64 {
        self.node.raft.raft_log.applied
    }

    /// When a message of this courier's last came.
    pub fn last_heard(&self, node_id: NodeId) -> Option<Micros> {
        self.last_heard.get(&node_id).copied()
    }

    /// Nothing can be written, and so nothing is said.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// When it wants [`AgreementInput::Tick`]; `None`: it takes no part yet.
    pub fn wake_at(&self) -> Option<Micros> {
        (!self.halted && !self.node.store().membership.voters.is_empty()).then_some(self.next_tick)
    }

    pub fn store(&self) -> &S {
        &self.file.store
    }

    pub fn store_mut(&mut self) -> &mut S {
        &mut self.file.store
    }

    pub fn into_store(self) -> S {
        self.file.store
    }

    /// Everything that decides what it does next, times as they lie from `now`: equal for two that will do
    /// the same.
    pub fn digest(&self, now: Micros) -> Vec<u8> {
        let raft = &self.node.raft;
        let mut progress: Vec<_> = raft.prs().iter().map(|(id, p)| (*id, format!("{p:?}"))).collect();
        progress.sort();
        let votes: BTreeMap<_, _> = raft.prs().votes().iter().collect();
        let queue = raft.read_only.read_index_queue.iter().map(|ctx| {
            let status = raft.read_only.pending_read_index.get(ctx);
            (ctx, status.map(|s| (s.index, s.acks.iter().collect::<BTreeSet<_>>())))
        });
        let queue: Vec<_> = queue.collect();
        let memory = self.node.store();
        let log: Vec<_> = memory.entries.iter().map(LogEntry::from_raft).collect();
        let times: Vec<_> = self.last_heard.iter().map(|(t, at)| (t, now.saturating_sub(*at))).collect();
        let parts = (
            (self.node_id, raft.term, raft.vote, raft.leader_id, raft.state as u8, raft.lead_transferee),
            (
                raft.raft_log.committed,
                raft.raft_log.applied,
                raft.raft_log.persisted,
                raft.pending_conf_index,
            ),
            (raft.election_elapsed, raft.heartbeat_elapsed(), self.election_jitter, self.draws),
            (progress, votes, queue),
            (&memory.snapshot, log::voters_and_learners(&memory.membership), log),
            (
                self.next_tick.saturating_sub(now),
                &self.pending_proposals,
                &self.pending_reads,
                self.next_read,
                &self.snapshot_ticks,
                times,
            ),
            (
                self.delivered_index,
                self.file.store.len(),
                self.snapshot_at,
                self.snapshot_requested,
                self.halted,
            ),
        );
        postcard::to_stdvec(&parts).unwrap_or_default()
    }

    /// Ticks that are due. After a pause a leader does all of those at once that make it doubt that it leads;
    /// a follower does one, and gives the leader's words that wait for it a chance.
    fn run_due_ticks(&mut self, now: Micros, out: &mut Vec<AgreementOutput>) {
        if self.halted {
            return;
        }
        let tick = self.limits.tick;
        // A clock that was set back.
        self.next_tick = self.next_tick.min(now + tick);
        if now < self.next_tick {
            return;
        }
        let due = (now - self.next_tick) / tick + 1;
        self.next_tick += due * tick;
        let most = if self.leads() { 2 * self.limits.election_ticks as u64 } else { 1 };
        for _ in 0..due.min(most) {
            self.tick();
            self.drain_ready(out);
            if self.halted {
                return;
            }
        }
    }

    fn tick(&mut self) {
        let fires = self.limits.election_ticks + self.election_jitter;
        if self.node.raft.state == StateRole::Leader {
            self.node.tick();
            self.expire_unconfirmed_snapshots();
        } else if self.node.raft.election_elapsed + 1 >= fires {
            // The engine calls an election, or waits on if this is no voter.
            if self.voters().binary_search(&self.node_id).is_ok() {
                self.node.tick();
                self.redraw_election_timeout();
            }
        } else {
            // The engine's own draw is pinned to the least wait; this one's share of it is waited out here.
            self.node.raft.election_elapsed += 1;
        }
    }

    /// The engine waits for a snapshot's end for ever; one that was not confirmed in time counts as lost.
    fn expire_unconfirmed_snapshots(&mut self) {
        let waiting = |p: &raft::Progress| p.state == ProgressState::Snapshot;
        let now: Vec<_> =
            self.node.raft.prs().iter().filter(|(_, p)| waiting(p)).map(|(id, _)| *id).collect();
        self.snapshot_ticks.retain(|id, _| now.contains(id));
        for id in now {
            let ticks = self.snapshot_ticks.entry(id).or_default();
            *ticks += 1;
            if *ticks >= self.limits.election_ticks {
                self.snapshot_ticks.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// From seed, token and count alone.
    fn redraw_election_timeout(&mut self) {
        self.draws += 1;
        let mut x =
            self.limits.seed ^ self.node_id.rotate_left(17) ^ self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        self.election_jitter = ((x ^ (x >> 31)) % (self.limits.election_ticks as u64 + 1)) as usize;
    }

    fn receive(&mut self, from: NodeId, bytes: &[u8], now: Micros, out: &mut Vec<AgreementOutput>) {
        if self.halted {
            return;
        }
        let message = wire::decode(bytes, from, self.node_id).and_then(|m| self.validate_index(m));
        match message {
            Ok(message) => {
                if self.node.raft.prs().get(from).is_some() {
                    self.last_heard.insert(from, now);
                }
                // What it does not take is old, or of one that it does not know: as if it were lost.
                let _ = self.node.step(message);
            }
            // Whoever has said that it holds what it does not hold might vote twice as well.
            Err(error @ AgreementError::Ahead { .. }) => self.halt(error, out),
            Err(error) => out.push(AgreementOutput::Failed(error)),
        }
    }

    /// What the engine would end the process for: it speaks of entries that were never here.
    fn validate_index(&self, message: Message) -> Result<Message, AgreementError> {
        use raft::prelude::MessageType as Type;
        let last = self.node.raft.raft_log.last_index();
        let index = match message.get_msg_type() {
            Type::MsgHeartbeat if message.term >= self.node.raft.term => message.commit,
            Type::MsgAppendResponse if !message.reject && message.term == self.node.raft.term => {
                message.index
            }
            _ => 0,
        };
        if index > last {
            return Err(AgreementError::Ahead { from: message.from, index, last });
        }
        Ok(message)
    }

    fn propose(&mut self, ticket: u64, command: Vec<u8>) -> Result<(), RejectReason> {
        self.check_leadership()?;
        if command.is_empty() || command.len() > self.limits.entry_bytes {
            return Err(RejectReason::InvalidSize);
        }
        self.check_capacity()?;
        self.node.propose(Vec::new(), command).map_err(|_| RejectReason::Busy)?;
        self.track_proposal(ticket);
        Ok(())
    }

    fn read(&mut self, ticket: u64) -> Result<(), RejectReason> {
        self.check_leadership()?;
        if self.pending_reads.len() >= self.limits.reads {
            return Err(RejectReason::QueueFull);
        }
        // Before its first entry is agreed a leader does not know how far its predecessors had come.
        if !self.node.raft.commit_to_current_term() {
            return Err(RejectReason::Busy);
        }
        let read = self.next_read;
        self.next_read += 1;
        self.pending_reads.insert(read, ticket);
        self.node.read_index(read.to_be_bytes().to_vec());
        Ok(())
    }

    fn change(&mut self, ticket: u64, change: MembershipChange, now: Micros) -> Result<(), RejectReason> {
        self.check_leadership()?;
        self.check_capacity()?;
        if self.node.raft.has_pending_conf() || !self.node.raft.commit_to_current_term() {
            return Err(RejectReason::Busy);
        }
        let (mut voters, learners) = log::voters_and_learners(&self.node.store().membership);
        match change {
            MembershipChange::AddLearner(node_id) => {
                if node_id == INVALID_ID || learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                if node_id == self.node_id {
                    return Err(RejectReason::QuorumAtRisk);
                }
                // A voter that is to learn only from now on.
                voters.retain(|v| *v != node_id);
            }
            MembershipChange::Promote(node_id) => {
                if !learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                let enough = self.node.raft.raft_log.committed.saturating_sub(self.limits.promote_lag);
                let matched = self.node.raft.prs().get(node_id).map_or(0, |p| p.matched);
                if matched == 0 || matched < enough || !self.was_heard_recently(node_id, now) {
                    return Err(RejectReason::LearnerBehind);
                }
                voters.push(node_id);
            }
            MembershipChange::Remove(node_id) => {
                if !voters.contains(&node_id) && !learners.contains(&node_id) {
                    return Err(RejectReason::NoChange);
                }
                if node_id == self.node_id {
                    return Err(RejectReason::QuorumAtRisk);
                }
                voters.retain(|v| *v != node_id);
            }
        }
        let reachable =
            voters.iter().filter(|v| **v == self.node_id || self.was_heard_recently(**v, now)).count();
        if reachable <= voters.len() / 2 {
            return Err(RejectReason::QuorumAtRisk);
        }
        self.node.propose_conf_change(change.encoded(), change.to_raft()).map_err(|_| RejectReason::Busy)?;
        self.track_proposal(ticket);
        Ok(())
    }

    /// Heard of within the time after which a leader gives up.
    fn was_heard_recently(&self, node_id: NodeId, now: Micros) -> bool {
        let span = self.limits.tick * self.limits.election_ticks as Micros;
        self.last_heard(node_id).is_some_and(|at| now.saturating_sub(at) <= span)
    }

    fn check_leadership(&self) -> Result<(), RejectReason> {
        match (self.halted, self.leads()) {
            (true, _) => Err(RejectReason::Halted),
            (_, false) => Err(RejectReason::NotLeader),
            _ if self.node.raft.lead_transferee.is_some() => Err(RejectReason::Busy),
            _ => Ok(()),
        }
    }

    fn check_capacity(&self) -> Result<(), RejectReason> {
        let grown = self.file.store.len().saturating_sub(self.file.base);
        let has_capacity =
            self.pending_proposals.len() < self.limits.proposals && grown < self.limits.log_bytes * 2;
        has_capacity.then_some(()).ok_or(RejectReason::QueueFull)
    }

    fn track_proposal(&mut self, ticket: u64) {
        let log = &self.node.raft.raft_log;
        self.pending_proposals.insert(log.last_index(), (self.node.raft.term, ticket));
    }

    fn reject(&self, ticket: u64, reason: RejectReason, out: &mut Vec<AgreementOutput>) {
        out.push(AgreementOutput::Rejected { ticket, reason, leader: self.leader() });
    }

    fn compact_log(&mut self, through: u64, state: Vec<u8>) -> Result<(), AgreementError> {
        if through != self.delivered_index || self.halted {
            return Err(AgreementError::StaleSnapshot { through, applied: self.delivered_index });
        }
        if state.len() > self.limits.state_bytes {
            return Err(AgreementError::StateTooLarge { bytes: state.len(), limit: self.limits.state_bytes });
        }
        let index = self.node.raft.raft_log.applied;
        let memory = self.node.store();
        let term = raft::Storage::term(memory, index).map_err(|e| AgreementError::Engine(e.to_string()))?;
        let (voters, learners) = log::voters_and_learners(&memory.membership);
        self.rewrite_log(StateSnapshot { index, term, voters, learners, state })
    }

    /// The image and what follows it, in the place of the file.
    fn rewrite_log(&mut self, snapshot: StateSnapshot) -> Result<(), AgreementError> {
        let memory = self.node.store();
        let later =
            memory.entries.iter().filter(|e| e.index > snapshot.index).map(LogEntry::from_raft).collect();
        let hard_state = HardState::from_raft(&self.node.raft.hard_state());
        let persisted = PersistedLog { node_id: self.node_id, hard_state, snapshot, entries: later };
        self.file.rewrite(&persisted)?;
        self.node.mut_store().compact(persisted.snapshot);
        // Those who wait for it are asked at once where they stand.
        self.node.ping();
        self.snapshot_requested = false;
        self.snapshot_at = self.file.base + self.limits.log_bytes;
        Ok(())
    }

    /// Everything that the engine has ready, and then what has come of it.
    fn process_ready(&mut self, out: &mut Vec<AgreementOutput>) {
        self.drain_ready(out);
        let snapshot_wanted = self.node.store().snapshot_needed.replace(false);
        if self.halted
            || self.snapshot_requested
            || !(snapshot_wanted || self.file.store.len() >= self.snapshot_at)
        {
            return;
        }
        if self.applied() > self.node.store().snapshot.index {
            self.snapshot_requested = true;
            out.push(AgreementOutput::SnapshotWanted);
        } else if !snapshot_wanted {
            // Nothing new is agreed: the same, without what was overwritten.
            let snapshot = self.node.store().snapshot.clone();
            if let Err(error) = self.rewrite_log(snapshot) {
                self.snapshot_at = self.file.store.len() + self.limits.log_bytes / 8;
                out.push(AgreementOutput::Failed(error));
            }
        }
    }

    fn drain_ready(&mut self, out: &mut Vec<AgreementOutput>) {
        let mut readable = Vec::new();
        while !self.halted && self.node.has_ready() {
            let mut ready = self.node.ready();
            // Written before anything of this is said.
            if let Err(error) = self.persist(&ready) {
                return self.halt(error, out);
            }
            if !ready.snapshot().is_empty() {
                let index = ready.snapshot().get_metadata().index;
                self.delivered_index = index;
                out.push(AgreementOutput::Restored { index, state: ready.snapshot().data.to_vec() });
            }
            readable.extend(ready.take_read_states());
            self.send(ready.take_messages(), out);
            self.send(ready.take_persisted_messages(), out);
            self.apply(ready.take_committed_entries(), out);
            let mut light = self.node.advance_append(ready);
            self.send(light.take_messages(), out);
            self.apply(light.take_committed_entries(), out);
            self.node.advance_apply();
            // So that a restart knows who takes part as this life does.
            let hard_state = HardState::from_raft(&self.node.raft.hard_state());
            if mem::take(&mut self.membership_changed) && hard_state != self.node.store().hard_state {
                if let Err(error) = self.file.append(hard_state, &[]) {
                    return self.halt(error, out);
                }
                self.node.mut_store().hard_state = hard_state;
            }
        }
        self.report_leader(out);
        for state in readable {
            let read = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes);
            if let Some(ticket) = read.ok().and_then(|read| self.pending_reads.remove(&read)) {
                out.push(AgreementOutput::ReadReady { ticket });
            }
        }
    }

    /// The engine is not touched again: it may believe to have written what is not there.
    fn halt(&mut self, error: AgreementError, out: &mut Vec<AgreementOutput>) {
        self.halted = true;
        for (_, (_, ticket)) in mem::take(&mut self.pending_proposals) {
            out.push(AgreementOutput::Indeterminate { ticket });
        }
        for (_, ticket) in mem::take(&mut self.pending_reads) {
            out.push(AgreementOutput::Rejected { ticket, reason: RejectReason::Halted, leader: None });
        }
        out.push(AgreementOutput::Halted(error));
    }

    /// Who leads, if that is news; what was waited for as the leader of an earlier term has its end.
    fn report_leader(&mut self, out: &mut Vec<AgreementOutput>) {
        let now = (self.leader(), self.term());
        if now == self.reported {
            return;
        }
        let before = mem::replace(&mut self.reported, now);
        if now.1 != before.1 {
            self.redraw_election_timeout();
        }
        if before.0 == Some(self.node_id) {
            for (_, (_, ticket)) in mem::take(&mut self.pending_proposals) {
                out.push(AgreementOutput::Indeterminate { ticket });
            }
            for (_, ticket) in mem::take(&mut self.pending_reads) {
                out.push(AgreementOutput::Rejected {
                    ticket,
                    reason: RejectReason::NotLeader,
                    leader: now.0,
                });
            }
            self.snapshot_ticks.clear();
        }
        out.push(AgreementOutput::LeaderChanged { leader: now.0, term: now.1 });
    }

    fn persist(&mut self, ready: &raft::Ready) -> Result<(), AgreementError> {
        let entries: Vec<LogEntry> = ready.entries().iter().map(LogEntry::from_raft).collect();
        let hard_state = HardState::from_raft(&self.node.raft.hard_state());
        if !ready.snapshot().is_empty() {
            let snapshot = StateSnapshot::from_raft(ready.snapshot());
            let persisted = PersistedLog { node_id: self.node_id, hard_state, snapshot, entries };
            self.file.rewrite(&persisted)?;
            let memory = self.node.mut_store();
            memory.restore(persisted.snapshot);
            memory.append(ready.entries());
            self.snapshot_at = self.file.base + self.limits.log_bytes;
            self.snapshot_requested = false;
        } else if !entries.is_empty() || ready.must_sync() {
            // A commit alone is not written: what follows it carries it, and a restart learns it from the
            // leader.
            self.file.append(hard_state, &entries)?;
            self.node.mut_store().append(ready.entries());
        } else {
            return Ok(());
        }
        self.node.mut_store().hard_state = hard_state;
        Ok(())
    }

    fn send(&mut self, mut messages: Vec<Message>, out: &mut Vec<AgreementOutput>) {
        // The engine keeps couriers in a table without order.
        messages.sort_by_key(|m| m.to);
        for message in messages {
            if let Some(bytes) = wire::encode(&message) {
                out.push(AgreementOutput::Send { to: message.to, bytes });
            }
        }
    }

    fn apply(&mut self, entries: Vec<RaftEntry>, out: &mut Vec<AgreementOutput>) {
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            let waited = self.pending_proposals.remove(&index).filter(|(at, _)| *at == term);
            let ticket = waited.map(|(_, ticket)| ticket);
            match LogEntry::from_raft(&entry).payload {
                Payload::Noop => {}
                Payload::Command(command) => {
                    self.delivered_index = index;
                    out.push(AgreementOutput::Committed { index, ticket, command });
                }
                Payload::Membership(change) => {
                    match self.node.apply_conf_change(&change.to_raft()) {
                        Ok(membership) => self.node.mut_store().membership = membership,
                        Err(e) => out.push(AgreementOutput::Failed(AgreementError::Engine(e.to_string()))),
                    }
                    let membership = &self.node.store().membership;
                    self.last_heard
                        .retain(|t, _| membership.voters.contains(t) || membership.learners.contains(t));
                    self.membership_changed = true;
                    out.push(AgreementOutput::MembershipChanged { index, ticket, change });
                }
            }
        }
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
        // One value to draw from: the draw is made here, from the seed.
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

impl<S: Store + Clone> Clone for Agreement<S> {
    /// The engine has no copy of itself: one is built on the same log and given what it does not read from
    /// there. Between two steps the engine has nothing ready, and everything else of it is open.
    fn clone(&self) -> Self {
        let original = &self.node.raft;
        let mut memory = self.node.store().clone();
        let log = &original.raft_log;
        let node = if self.halted {
            memory.hard_state.commit =
                memory.hard_state.commit.clamp(memory.snapshot.index, memory.last_index());
            memory.membership = memory.snapshot.membership();
            let applied = memory.snapshot.index;
            new_raft_node(&self.limits, self.node_id, memory, applied)
        } else {
            memory.hard_state = HardState::from_raft(&original.hard_state());
            new_raft_node(&self.limits, self.node_id, memory, log.applied)
        };
        let mut node = match node {
            Ok(node) => node,
            // The same values made one before.
            Err(error) => unreachable!("{error}"),
        };
        if !self.halted {
            let raft = &mut node.raft;
            *raft.mut_prs() = original.prs().clone();
            raft.r.state = original.state;
            raft.r.leader_id = original.leader_id;
            raft.r.lead_transferee = original.lead_transferee;
            raft.r.pending_conf_index = original.pending_conf_index;
            raft.r.read_only = original.read_only.clone();
            raft.r.raft_log.persisted = log.persisted;
            raft.r.election_elapsed = 0;
            // Fewer than make a beat.
            for _ in 0..original.heartbeat_elapsed() {
                node.tick();
            }
            node.raft.r.election_elapsed = original.election_elapsed;
            let ready = node.ready();
            let _ = node.advance(ready);
        }
        Agreement {
            limits: self.limits.clone(),
            node_id: self.node_id,
            file: self.file.clone(),
            node,
            next_tick: self.next_tick,
            election_jitter: self.election_jitter,
            draws: self.draws,
            reported: self.reported,
            pending_proposals: self.pending_proposals.clone(),
            pending_reads: self.pending_reads.clone(),
            next_read: self.next_read,
            snapshot_ticks: self.snapshot_ticks.clone(),
            last_heard: self.last_heard.clone(),
            delivered_index: self.delivered_index,
            snapshot_at: self.snapshot_at,
            snapshot_requested: self.snapshot_requested,
            membership_changed: self.membership_changed,
            halted: self.halted,
        }
    }
}
