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
use raft::prelude::{ConfChange, ConfChangeType, Config, Entry as RaftEntry, Message};
use raft::{INVALID_ID, ProgressState, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::mem;
use std::sync::Arc;

use crate::Token;
use log::{Entry, File, Image, Mem, Payload, Told, Vow};

/// What an agreement may take, and its pace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
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

impl Default for Limits {
    fn default() -> Self {
        Limits {
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

impl Limits {
    /// What an election takes at most until it is called, without a word from a leader.
    pub fn patience(&self) -> Micros {
        self.tick * 2 * self.election_ticks as Micros
    }
}

/// Why bytes from another courier are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Garbled {
    #[error("it is too short")]
    Short,
    #[error("its form {0} is not known here; the sender may be of another version")]
    Form(u8),
    #[error("its checksum does not fit")]
    Checksum,
    #[error("it holds a value that can't be")]
    Value,
    #[error("it is from, or for, another courier")]
    Addressed,
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
    NoToken,
    #[error(
        "agreement: there is one already, and only an empty log can begin one; start it without beginning"
    )]
    Begun,
    #[error("agreement: its limits do not fit together ({what}); mend the section `fleet`")]
    Limits { what: String },
    #[error("agreement: message from courier {from:016x} dropped: {what}")]
    Garbled { from: Token, what: Garbled },
    #[error(
        "agreement: courier {from:016x} says that entry {index} was confirmed here, and there is none beyond \
         {last}: this log was put back from a copy, or that courier belongs to another fleet; this one keeps \
         silent; remove the log here, and it comes back as a new learner"
    )]
    Ahead { from: Token, index: u64, last: u64 },
    #[error(
        "agreement: the state handed in is of entry {through}, and {applied} was handed out last; report it"
    )]
    Stale { through: u64, applied: u64 },
    #[error("agreement: a state of {bytes} bytes is beyond its limit of {limit}; the log can't be shortened")]
    State { bytes: usize, limit: usize },
    #[error("agreement: the engine refused: {0}; report it")]
    Engine(String),
}

/// A change of those who take part, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A new courier, or one that has voted: it is told all, and has no vote.
    AddLearner(Token),
    /// A learner that has caught up votes from now on.
    Promote(Token),
    Remove(Token),
}

impl Change {
    fn encoded(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn decoded(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    fn to_raft(self) -> ConfChange {
        let mut change = ConfChange::default();
        let (what, token) = match self {
            Change::AddLearner(token) => (ConfChangeType::AddLearnerNode, token),
            Change::Promote(token) => (ConfChangeType::AddNode, token),
            Change::Remove(token) => (ConfChangeType::RemoveNode, token),
        };
        change.set_change_type(what);
        change.node_id = token;
        change
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The time that [`Agreement::wake_at`] names has come. Each input does as much.
    Tick,
    /// Bytes of an [`Output::Send`] of the courier `from`.
    Heard { from: Token, bytes: Vec<u8> },
    /// Only a leader takes it; its end is `Committed`, `Refused` or `Unsure`, with this ticket.
    Propose { ticket: u64, command: Vec<u8> },
    /// Whether this courier still leads, by a majority's word given after this: `Readable` or `Refused`.
    Read { ticket: u64 },
    /// Only a leader takes it; its end is `Changed`, `Refused` or `Unsure`.
    Change { ticket: u64, change: Change },
    /// The state after `through`: the index of the last command or state that was handed out. The log is
    /// shortened by it.
    Snapshot { through: u64, state: Vec<u8> },
    /// The leader hands its office to a voter, without the wait for an election.
    HandOver { to: Token },
}

/// Why something was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// Ask the leader, if there is one.
    NotLeader,
    /// A new leader has yet to agree on its first entry, hands over, or another change is under way: ask
    /// again.
    Busy,
    /// More wait than the limits allow, or the log waits for a snapshot.
    Full,
    /// Empty, or longer than a command may be.
    Size,
    /// Already so: a known learner, or no such courier.
    Nothing,
    /// The learner has not been heard of, or is too far behind.
    Behind,
    /// It would leave no majority of couriers that have been heard of, or take the leader itself away.
    Majority,
    /// Nothing can be written here.
    Silent,
}

#[derive(Clone, Debug)]
pub enum Output {
    /// May be lost, doubled or late.
    Send { to: Token, bytes: Vec<u8> },
    /// Agreed: the same commands in the same order at every courier. `ticket`: proposed here, and still
    /// waited for.
    Committed { index: u64, ticket: Option<u64>, command: Vec<u8> },
    /// Put this in the place of the whole state. Empty bytes are the state before the first command.
    Restored { index: u64, state: Vec<u8> },
    /// Those who take part are others.
    Changed { index: u64, ticket: Option<u64>, change: Change },
    /// What was committed when this was asked has been handed out, and the courier led at that time.
    Readable { ticket: u64 },
    /// It has not been and will not be agreed.
    Refused { ticket: u64, why: Why, leader: Option<Token> },
    /// The courier leads no more: it may yet be agreed, or not.
    Unsure { ticket: u64 },
    /// The log has grown: hand in [`Input::Snapshot`] when all before this is done.
    SnapshotWanted,
    /// Who leads has changed, as far as is known here.
    Leader { leader: Option<Token>, term: u64 },
    /// An input was not taken, or the log could not be shortened; all goes on.
    Failed(AgreementError),
    /// Nothing is sent any more, until it is opened again: it can't write, or its log is not what it
    /// promised.
    Silent(AgreementError),
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
    limits: Limits,
    token: Token,
    file: File<S>,
    node: RawNode<Mem>,
    next_tick: Micros,
    /// Ticks beyond `election_ticks` before the next election is called, drawn anew for each term and each
    /// call.
    extra: usize,
    draws: u64,
    /// What the last step has told: leader, term, and whether it is this courier.
    told: (Option<Token>, u64),
    /// Proposed here and not agreed yet, by index.
    pending: BTreeMap<u64, (u64, u64)>,
    reads: BTreeMap<u64, u64>,
    next_read: u64,
    /// Ticks since a snapshot was sent to a courier that has not confirmed it.
    sent: BTreeMap<Token, usize>,
    heard: BTreeMap<Token, Micros>,
    /// Last index that was handed out as a command or a state.
    handed: u64,
    /// Length of the file from which a snapshot is asked for.
    ask_at: u64,
    asked: bool,
    /// A change of those who take part was applied, and the file does not say yet that it is agreed.
    changed: bool,
    silent: bool,
}

impl<S: Store> Agreement<S> {
    /// Reads the log, drops a torn tail, and tells what is known to be agreed. An empty one is begun under
    /// `fresh_token`.
    ///
    /// # Errors
    ///
    /// It can't be read or written, is damaged other than by a kill, or the limits do not fit together.
    pub fn open(
        store: S,
        fresh_token: Token,
        limits: Limits,
        now: Micros,
    ) -> Result<(Self, Opened), AgreementError> {
        if limits.tick == 0 {
            return Err(AgreementError::Limits { what: "no time between ticks".into() });
        }
        let (file, told, new) = File::open(store, fresh_token)?;
        let mut opened =
            Opened { new, state: told.image.state.clone(), index: told.image.index, committed: Vec::new() };
        let (token, handed) = (told.token, told.image.index);
        let mut mem = Mem::of(&told);
        let node = engine(&limits, token, mem::take(&mut mem), handed)?;
        let ask_at = file.base + limits.log_bytes;
        let mut agreement = Agreement {
            next_tick: now + limits.tick,
            told: (None, node.raft.term),
            limits,
            token,
            file,
            node,
            extra: 0,
            draws: 0,
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            sent: BTreeMap::new(),
            heard: BTreeMap::new(),
            handed,
            ask_at,
            asked: false,
            changed: false,
            silent: false,
        };
        agreement.draw();
        let mut out = Vec::new();
        agreement.drain(&mut out);
        for output in out {
            match output {
                Output::Committed { index, command, .. } => opened.committed.push((index, command)),
                Output::Silent(error) => return Err(error),
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
    pub fn begin(&mut self, now: Micros) -> Result<Vec<Output>, AgreementError> {
        let mem = self.node.store();
        if mem.image.index > 0 || !mem.entries.is_empty() || !mem.conf.voters.is_empty() || self.silent {
            return Err(AgreementError::Begun);
        }
        // The others begin with this as their first snapshot: it names a voter, which an empty log can't.
        let image = Image { index: 1, term: 1, voters: vec![self.token], ..Image::default() };
        let vow = Vow { term: self.node.raft.term.max(1), vote: self.node.raft.vote, commit: 1 };
        let told = Told { token: self.token, vow, image, entries: Vec::new() };
        self.file.anew(&told)?;
        self.node = engine(&self.limits, self.token, Mem::of(&told), 1)?;
        self.next_tick = now + self.limits.tick;
        let mut out = Vec::new();
        self.node.campaign().map_err(|e| AgreementError::Engine(e.to_string()))?;
        self.settle(&mut out);
        Ok(out)
    }

    /// One input; everything that is to be done, in order. What is sent stands in the store.
    pub fn step(&mut self, input: Input, now: Micros) -> Vec<Output> {
        let mut out = Vec::new();
        self.due(now, &mut out);
        match input {
            Input::Tick => {}
            Input::Heard { from, bytes } => self.hear(from, &bytes, now, &mut out),
            Input::Propose { ticket, command } => {
                if let Err(why) = self.propose(ticket, command) {
                    self.refuse(ticket, why, &mut out);
                }
            }
            Input::Read { ticket } => {
                if let Err(why) = self.read(ticket) {
                    self.refuse(ticket, why, &mut out);
                }
            }
            Input::Change { ticket, change } => {
                if let Err(why) = self.change(ticket, change, now) {
                    self.refuse(ticket, why, &mut out);
                }
            }
            Input::Snapshot { through, state } => {
                if let Err(error) = self.shorten(through, state) {
                    // Not at once again.
                    self.asked = false;
                    self.ask_at = self.file.store.len() + self.limits.log_bytes / 8;
                    out.push(Output::Failed(error));
                }
            }
            Input::HandOver { to } => {
                if !self.silent && self.leads() && to != self.token && self.voters().contains(&to) {
                    self.node.transfer_leader(to);
                }
            }
        }
        self.settle(&mut out);
        out
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<Token> {
        let leader = self.node.raft.leader_id;
        (leader != INVALID_ID && !self.silent).then_some(leader)
    }

    /// It may be another by now: only [`Output::Readable`] is a majority's word.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader && !self.silent
    }

    /// This courier's number, as its log has it.
    pub fn token(&self) -> Token {
        self.token
    }

    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// In order of their numbers.
    pub fn voters(&self) -> Vec<Token> {
        log::parts(&self.node.store().conf).0
    }

    pub fn learners(&self) -> Vec<Token> {
        log::parts(&self.node.store().conf).1
    }

    /// How far it has handed out what is agreed.
    pub fn applied(&self) -> u64 {
        self.node.raft.raft_log.applied
    }

    /// When a message of this courier's last came.
    pub fn heard(&self, token: Token) -> Option<Micros> {
        self.heard.get(&token).copied()
    }

    /// Nothing can be written, and so nothing is said.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// When it wants [`Input::Tick`]; `None`: it takes no part yet.
    pub fn wake_at(&self) -> Option<Micros> {
        (!self.silent && !self.node.store().conf.voters.is_empty()).then_some(self.next_tick)
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
        let mem = self.node.store();
        let log: Vec<_> = mem.entries.iter().map(Entry::of).collect();
        let times: Vec<_> = self.heard.iter().map(|(t, at)| (t, now.saturating_sub(*at))).collect();
        let parts = (
            (self.token, raft.term, raft.vote, raft.leader_id, raft.state as u8, raft.lead_transferee),
            (
                raft.raft_log.committed,
                raft.raft_log.applied,
                raft.raft_log.persisted,
                raft.pending_conf_index,
            ),
            (raft.election_elapsed, raft.heartbeat_elapsed(), self.extra, self.draws),
            (progress, votes, queue),
            (&mem.image, log::parts(&mem.conf), log),
            (
                self.next_tick.saturating_sub(now),
                &self.pending,
                &self.reads,
                self.next_read,
                &self.sent,
                times,
            ),
            (self.handed, self.file.store.len(), self.ask_at, self.asked, self.silent),
        );
        postcard::to_stdvec(&parts).unwrap_or_default()
    }

    /// Ticks that are due. After a pause a leader does all of those at once that make it doubt that it leads;
    /// a follower does one, and gives the leader's words that wait for it a chance.
    fn due(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.silent {
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
            self.drain(out);
            if self.silent {
                return;
            }
        }
    }

    fn tick(&mut self) {
        let fires = self.limits.election_ticks + self.extra;
        if self.node.raft.state == StateRole::Leader {
            self.node.tick();
            self.resend();
        } else if self.node.raft.election_elapsed + 1 >= fires {
            // The engine calls an election, or waits on if this is no voter.
            if self.voters().binary_search(&self.token).is_ok() {
                self.node.tick();
                self.draw();
            }
        } else {
            // The engine's own draw is pinned to the least wait; this one's share of it is waited out here.
            self.node.raft.election_elapsed += 1;
        }
    }

    /// The engine waits for a snapshot's end for ever; one that was not confirmed in time counts as lost.
    fn resend(&mut self) {
        let waiting = |p: &raft::Progress| p.state == ProgressState::Snapshot;
        let now: Vec<_> =
            self.node.raft.prs().iter().filter(|(_, p)| waiting(p)).map(|(id, _)| *id).collect();
        self.sent.retain(|id, _| now.contains(id));
        for id in now {
            let ticks = self.sent.entry(id).or_default();
            *ticks += 1;
            if *ticks >= self.limits.election_ticks {
                self.sent.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// From seed, token and count alone.
    fn draw(&mut self) {
        self.draws += 1;
        let mut x =
            self.limits.seed ^ self.token.rotate_left(17) ^ self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        self.extra = ((x ^ (x >> 31)) % (self.limits.election_ticks as u64 + 1)) as usize;
    }

    fn hear(&mut self, from: Token, bytes: &[u8], now: Micros, out: &mut Vec<Output>) {
        if self.silent {
            return;
        }
        let message = wire::decode(bytes, from, self.token).and_then(|m| self.sound(m));
        match message {
            Ok(message) => {
                if self.node.raft.prs().get(from).is_some() {
                    self.heard.insert(from, now);
                }
                // What it does not take is old, or of one that it does not know: as if it were lost.
                let _ = self.node.step(message);
            }
            // Whoever has said that it holds what it does not hold might vote twice as well.
            Err(error @ AgreementError::Ahead { .. }) => self.fall_silent(error, out),
            Err(error) => out.push(Output::Failed(error)),
        }
    }

    /// What the engine would end the process for: it speaks of entries that were never here.
    fn sound(&self, message: Message) -> Result<Message, AgreementError> {
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

    fn propose(&mut self, ticket: u64, command: Vec<u8>) -> Result<(), Why> {
        self.may_lead()?;
        if command.is_empty() || command.len() > self.limits.entry_bytes {
            return Err(Why::Size);
        }
        self.has_room()?;
        self.node.propose(Vec::new(), command).map_err(|_| Why::Busy)?;
        self.wait_for(ticket);
        Ok(())
    }

    fn read(&mut self, ticket: u64) -> Result<(), Why> {
        self.may_lead()?;
        if self.reads.len() >= self.limits.reads {
            return Err(Why::Full);
        }
        // Before its first entry is agreed a leader does not know how far its predecessors had come.
        if !self.node.raft.commit_to_current_term() {
            return Err(Why::Busy);
        }
        let read = self.next_read;
        self.next_read += 1;
        self.reads.insert(read, ticket);
        self.node.read_index(read.to_be_bytes().to_vec());
        Ok(())
    }

    fn change(&mut self, ticket: u64, change: Change, now: Micros) -> Result<(), Why> {
        self.may_lead()?;
        self.has_room()?;
        if self.node.raft.has_pending_conf() || !self.node.raft.commit_to_current_term() {
            return Err(Why::Busy);
        }
        let (mut voters, learners) = log::parts(&self.node.store().conf);
        match change {
            Change::AddLearner(token) => {
                if token == INVALID_ID || learners.contains(&token) {
                    return Err(Why::Nothing);
                }
                if token == self.token {
                    return Err(Why::Majority);
                }
                // A voter that is to learn only from now on.
                voters.retain(|v| *v != token);
            }
            Change::Promote(token) => {
                if !learners.contains(&token) {
                    return Err(Why::Nothing);
                }
                let enough = self.node.raft.raft_log.committed.saturating_sub(self.limits.promote_lag);
                let matched = self.node.raft.prs().get(token).map_or(0, |p| p.matched);
                if matched == 0 || matched < enough || !self.is_near(token, now) {
                    return Err(Why::Behind);
                }
                voters.push(token);
            }
            Change::Remove(token) => {
                if !voters.contains(&token) && !learners.contains(&token) {
                    return Err(Why::Nothing);
                }
                if token == self.token {
                    return Err(Why::Majority);
                }
                voters.retain(|v| *v != token);
            }
        }
        let near = voters.iter().filter(|v| **v == self.token || self.is_near(**v, now)).count();
        if near <= voters.len() / 2 {
            return Err(Why::Majority);
        }
        self.node.propose_conf_change(change.encoded(), change.to_raft()).map_err(|_| Why::Busy)?;
        self.wait_for(ticket);
        Ok(())
    }

    /// Heard of within the time after which a leader gives up.
    fn is_near(&self, token: Token, now: Micros) -> bool {
        let span = self.limits.tick * self.limits.election_ticks as Micros;
        self.heard(token).is_some_and(|at| now.saturating_sub(at) <= span)
    }

    fn may_lead(&self) -> Result<(), Why> {
        match (self.silent, self.leads()) {
            (true, _) => Err(Why::Silent),
            (_, false) => Err(Why::NotLeader),
            _ if self.node.raft.lead_transferee.is_some() => Err(Why::Busy),
            _ => Ok(()),
        }
    }

    fn has_room(&self) -> Result<(), Why> {
        let grown = self.file.store.len().saturating_sub(self.file.base);
        let room = self.pending.len() < self.limits.proposals && grown < self.limits.log_bytes * 2;
        room.then_some(()).ok_or(Why::Full)
    }

    fn wait_for(&mut self, ticket: u64) {
        let log = &self.node.raft.raft_log;
        self.pending.insert(log.last_index(), (self.node.raft.term, ticket));
    }

    fn refuse(&self, ticket: u64, why: Why, out: &mut Vec<Output>) {
        out.push(Output::Refused { ticket, why, leader: self.leader() });
    }

    fn shorten(&mut self, through: u64, state: Vec<u8>) -> Result<(), AgreementError> {
        if through != self.handed || self.silent {
            return Err(AgreementError::Stale { through, applied: self.handed });
        }
        if state.len() > self.limits.state_bytes {
            return Err(AgreementError::State { bytes: state.len(), limit: self.limits.state_bytes });
        }
        let index = self.node.raft.raft_log.applied;
        let mem = self.node.store();
        let term = raft::Storage::term(mem, index).map_err(|e| AgreementError::Engine(e.to_string()))?;
        let (voters, learners) = log::parts(&mem.conf);
        self.write_anew(Image { index, term, voters, learners, state })
    }

    /// The image and what follows it, in the place of the file.
    fn write_anew(&mut self, image: Image) -> Result<(), AgreementError> {
        let mem = self.node.store();
        let later = mem.entries.iter().filter(|e| e.index > image.index).map(Entry::of).collect();
        let vow = Vow::of(&self.node.raft.hard_state());
        let told = Told { token: self.token, vow, image, entries: later };
        self.file.anew(&told)?;
        self.node.mut_store().compact(told.image);
        // Those who wait for it are asked at once where they stand.
        self.node.ping();
        self.asked = false;
        self.ask_at = self.file.base + self.limits.log_bytes;
        Ok(())
    }

    /// Everything that the engine has ready, and then what has come of it.
    fn settle(&mut self, out: &mut Vec<Output>) {
        self.drain(out);
        let asks = self.node.store().wanted.replace(false);
        if self.silent || self.asked || !(asks || self.file.store.len() >= self.ask_at) {
            return;
        }
        if self.applied() > self.node.store().image.index {
            self.asked = true;
            out.push(Output::SnapshotWanted);
        } else if !asks {
            // Nothing new is agreed: the same, without what was overwritten.
            let image = self.node.store().image.clone();
            if let Err(error) = self.write_anew(image) {
                self.ask_at = self.file.store.len() + self.limits.log_bytes / 8;
                out.push(Output::Failed(error));
            }
        }
    }

    fn drain(&mut self, out: &mut Vec<Output>) {
        let mut readable = Vec::new();
        while !self.silent && self.node.has_ready() {
            let mut ready = self.node.ready();
            // Written before anything of this is said.
            if let Err(error) = self.write(&ready) {
                return self.fall_silent(error, out);
            }
            if !ready.snapshot().is_empty() {
                let index = ready.snapshot().get_metadata().index;
                self.handed = index;
                out.push(Output::Restored { index, state: ready.snapshot().data.to_vec() });
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
            let vow = Vow::of(&self.node.raft.hard_state());
            if mem::take(&mut self.changed) && vow != self.node.store().vow {
                if let Err(error) = self.file.append(vow, &[]) {
                    return self.fall_silent(error, out);
                }
                self.node.mut_store().vow = vow;
            }
        }
        self.tell(out);
        for state in readable {
            let read = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes);
            if let Some(ticket) = read.ok().and_then(|read| self.reads.remove(&read)) {
                out.push(Output::Readable { ticket });
            }
        }
    }

    /// The engine is not touched again: it may believe to have written what is not there.
    fn fall_silent(&mut self, error: AgreementError, out: &mut Vec<Output>) {
        self.silent = true;
        for (_, (_, ticket)) in mem::take(&mut self.pending) {
            out.push(Output::Unsure { ticket });
        }
        for (_, ticket) in mem::take(&mut self.reads) {
            out.push(Output::Refused { ticket, why: Why::Silent, leader: None });
        }
        out.push(Output::Silent(error));
    }

    /// Who leads, if that is news; what was waited for as the leader of an earlier term has its end.
    fn tell(&mut self, out: &mut Vec<Output>) {
        let now = (self.leader(), self.term());
        if now == self.told {
            return;
        }
        let before = mem::replace(&mut self.told, now);
        if now.1 != before.1 {
            self.draw();
        }
        if before.0 == Some(self.token) {
            for (_, (_, ticket)) in mem::take(&mut self.pending) {
                out.push(Output::Unsure { ticket });
            }
            for (_, ticket) in mem::take(&mut self.reads) {
                out.push(Output::Refused { ticket, why: Why::NotLeader, leader: now.0 });
            }
            self.sent.clear();
        }
        out.push(Output::Leader { leader: now.0, term: now.1 });
    }

    fn write(&mut self, ready: &raft::Ready) -> Result<(), AgreementError> {
        let entries: Vec<Entry> = ready.entries().iter().map(Entry::of).collect();
        let vow = Vow::of(&self.node.raft.hard_state());
        if !ready.snapshot().is_empty() {
            let image = Image::of(ready.snapshot());
            let told = Told { token: self.token, vow, image, entries };
            self.file.anew(&told)?;
            let mem = self.node.mut_store();
            mem.restore(told.image);
            mem.add(ready.entries());
            self.ask_at = self.file.base + self.limits.log_bytes;
            self.asked = false;
        } else if !entries.is_empty() || ready.must_sync() {
            // A commit alone is not written: what follows it carries it, and a restart learns it from the
            // leader.
            self.file.append(vow, &entries)?;
            self.node.mut_store().add(ready.entries());
        } else {
            return Ok(());
        }
        self.node.mut_store().vow = vow;
        Ok(())
    }

    fn send(&mut self, mut messages: Vec<Message>, out: &mut Vec<Output>) {
        // The engine keeps couriers in a table without order.
        messages.sort_by_key(|m| m.to);
        for message in messages {
            if let Some(bytes) = wire::encode(&message) {
                out.push(Output::Send { to: message.to, bytes });
            }
        }
    }

    fn apply(&mut self, entries: Vec<RaftEntry>, out: &mut Vec<Output>) {
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            let waited = self.pending.remove(&index).filter(|(at, _)| *at == term);
            let ticket = waited.map(|(_, ticket)| ticket);
            match Entry::of(&entry).payload {
                Payload::Mark => {}
                Payload::Command(command) => {
                    self.handed = index;
                    out.push(Output::Committed { index, ticket, command });
                }
                Payload::Change(change) => {
                    match self.node.apply_conf_change(&change.to_raft()) {
                        Ok(conf) => self.node.mut_store().conf = conf,
                        Err(e) => out.push(Output::Failed(AgreementError::Engine(e.to_string()))),
                    }
                    let conf = &self.node.store().conf;
                    self.heard.retain(|t, _| conf.voters.contains(t) || conf.learners.contains(t));
                    self.changed = true;
                    out.push(Output::Changed { index, ticket, change });
                }
            }
        }
    }
}

fn engine(limits: &Limits, token: Token, mem: Mem, applied: u64) -> Result<RawNode<Mem>, AgreementError> {
    let config = Config {
        id: token,
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
    RawNode::new(&config, mem, &logger).map_err(|e| AgreementError::Limits { what: e.to_string() })
}

impl<S: Store + Clone> Clone for Agreement<S> {
    /// The engine has no copy of itself: one is built on the same log and given what it does not read from
    /// there. Between two steps the engine has nothing ready, and everything else of it is open.
    fn clone(&self) -> Self {
        let was = &self.node.raft;
        let mut mem = self.node.store().clone();
        let log = &was.raft_log;
        let node = if self.silent {
            mem.vow.commit = mem.vow.commit.clamp(mem.image.index, mem.last());
            mem.conf = mem.image.conf();
            let applied = mem.image.index;
            engine(&self.limits, self.token, mem, applied)
        } else {
            mem.vow = Vow::of(&was.hard_state());
            engine(&self.limits, self.token, mem, log.applied)
        };
        let mut node = match node {
            Ok(node) => node,
            // The same values made one before.
            Err(error) => unreachable!("{error}"),
        };
        if !self.silent {
            let raft = &mut node.raft;
            *raft.mut_prs() = was.prs().clone();
            raft.r.state = was.state;
            raft.r.leader_id = was.leader_id;
            raft.r.lead_transferee = was.lead_transferee;
            raft.r.pending_conf_index = was.pending_conf_index;
            raft.r.read_only = was.read_only.clone();
            raft.r.raft_log.persisted = log.persisted;
            raft.r.election_elapsed = 0;
            // Fewer than make a beat.
            for _ in 0..was.heartbeat_elapsed() {
                node.tick();
            }
            node.raft.r.election_elapsed = was.election_elapsed;
            let ready = node.ready();
            let _ = node.advance(ready);
        }
        Agreement {
            limits: self.limits.clone(),
            token: self.token,
            file: self.file.clone(),
            node,
            next_tick: self.next_tick,
            extra: self.extra,
            draws: self.draws,
            told: self.told,
            pending: self.pending.clone(),
            reads: self.reads.clone(),
            next_read: self.next_read,
            sent: self.sent.clone(),
            heard: self.heard.clone(),
            handed: self.handed,
            ask_at: self.ask_at,
            asked: self.asked,
            changed: self.changed,
            silent: self.silent,
        }
    }
}
