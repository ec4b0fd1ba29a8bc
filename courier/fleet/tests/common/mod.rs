//! A simulated fleet on one virtual clock: members, their data directories, messages in flight, and the couriers'
//! journals.

use bytes::Bytes;
use quillmount_containers::random_unit;
use quillmount_core::journal::{self, AcceptedMessage, End, JournalContents, JournalRecord};
use quillmount_core::store::Store;
use quillmount_fleet::agreement::AgreementLimits;
use quillmount_fleet::config::{FleetConfig, MissingReplicas, Name, Peer};
pub use quillmount_fleet::member::MemberInput;
use quillmount_fleet::member::{Member, MemberOutput, ProcessIdentity, StoreDirectory, TakeoverTask};
use quillmount_fleet::message::{Envelope, FleetMessage};
use quillmount_fleet::state::{PartitionId, partition_of};
use quillmount_policy::Micros;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::rc::Rc;

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;
/// One second in microseconds.
pub const SEC: Micros = 1_000_000;

/// A data directory that outlasts processes.
#[derive(Clone, Default)]
pub struct Disk(Rc<RefCell<BTreeMap<String, Vec<u8>>>>);

pub struct File {
    disk: Disk,
    name: String,
}

impl Store for File {
    fn len(&self) -> u64 {
        self.disk.0.borrow()[&self.name].len() as u64
    }
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.disk.0.borrow()[&self.name].clone())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.0.borrow_mut().entry(self.name.clone()).or_default().extend_from_slice(bytes);
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.0.borrow_mut().insert(self.name.clone(), bytes.to_vec());
        Ok(())
    }
}

impl StoreDirectory for Disk {
    type Store = File;
    fn open(&mut self, name: &str) -> io::Result<File> {
        self.0.borrow_mut().entry(name.into()).or_default();
        Ok(File { disk: self.clone(), name: name.into() })
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(name);
        Ok(())
    }
    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().keys().cloned().collect())
    }
}

/// An action about a message that waits until the journal is replicated up to an offset.
#[derive(Clone, Debug, PartialEq)]
enum PendingAction {
    AcceptedMessage(String),
    Call { id: String, msg: u64, debit: bool },
    ReportEnd(String),
}

/// A courier's process: its member, and a simplified journal and router.
pub struct Process {
    pub member: Member<Disk>,
    incarnation: u64,
    journal: Vec<u8>,
    written: u64,
    replicated: u64,
    may_accept: bool,
    next_message: u64,
    pending_actions: Vec<(u64, PendingAction)>,
    pub joined: bool,
    pub paused: bool,
}

/// What the clients and the endpoints of the fleet have observed.
#[derive(Default, Debug)]
pub struct Observed {
    pub accepted: BTreeSet<String>,
    /// Calls of each message: the calling courier and the time.
    pub calls: BTreeMap<String, Vec<(usize, Micros)>>,
    /// Ends of each message: the reporting courier, and whether the message was delivered.
    pub ends: BTreeMap<String, Vec<(usize, bool)>>,
    pub notices: Vec<(Micros, usize, String)>,
}

pub struct World {
    pub now: Micros,
    pub names: Vec<Name>,
    pub disks: Vec<Disk>,
    pub processes: Vec<Option<Process>>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    envelopes: BTreeMap<u64, Envelope>,
    last_envelope: u64,
    seed: u64,
    last_incarnation: u64,
    /// Links that lose all messages: sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Links that lose only pages of journals.
    pub cut_append_links: BTreeSet<(usize, usize)>,
    /// Fraction of the envelopes that are lost.
    pub loss_rate: f64,
    /// Fraction of the envelopes that are duplicated.
    pub duplicate_rate: f64,
    pub delay: Micros,
    pub observed: Observed,
    pub replica_count: usize,
    pub missing_replicas: MissingReplicas,
    pub voters: usize,
    pub budgets: Vec<quillmount_fleet::budget::Budget>,
    /// Duration of a call at the endpoint.
    pub call_duration: Micros,
    /// Replies in flight: arrival time, courier and incarnation, message id and message number.
    replies: Vec<(Micros, usize, u64, String, u64)>,
    /// Couriers that were fenced.
    pub fenced: BTreeSet<usize>,
    /// Whether a fenced process continues instead of restarting immediately.
    pub stays_after_fencing: bool,
}

impl World {
    pub fn new(n: usize, seed: u64) -> World {
        World {
            now: 1_000 * SEC,
            names: (0..n).map(|i| format!("c{i:03}")).collect(),
            disks: (0..n).map(|_| Disk::default()).collect(),
            processes: (0..n).map(|_| None).collect(),
            queue: BinaryHeap::new(),
            envelopes: BTreeMap::new(),
            last_envelope: 0,
            seed,
            last_incarnation: 0,
            cut_links: BTreeSet::new(),
            cut_append_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay: MS,
            observed: Observed::default(),
            replica_count: 1,
            missing_replicas: MissingReplicas::Require,
            voters: 3.min(n),
            budgets: Vec::new(),
            call_duration: 20 * MS,
            replies: Vec::new(),
            fenced: BTreeSet::new(),
            stays_after_fencing: false,
        }
    }

    fn config(&self, local_name: usize) -> FleetConfig {
        FleetConfig {
            local_name: self.names[local_name].clone(),
            peers: self.names.iter().map(|n| Peer { name: n.clone(), host: String::new() }).collect(),
            voters: self.names[..self.voters].to_vec(),
            lease: 2 * SEC,
            drift: 0.01,
            replicas: self.replica_count,
            missing_replicas: self.missing_replicas,
            budgets: self.budgets.clone(),
            max_call: 2 * SEC,
            max_idle: SEC,
        }
    }

    pub fn start(&mut self, i: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation * 1_000 + i as u64 + 1;
        let limits = AgreementLimits { seed: self.seed ^ incarnation, ..AgreementLimits::default() };
        let mut journal = self.disks[i].open("journal").unwrap();
        let bytes = journal.read().unwrap();
        let identity = ProcessIdentity { incarnation, fresh_node_id: incarnation };
        let opened = Member::open(self.config(i), self.disks[i].clone(), identity, limits, self.now);
        let (member, out) = opened.unwrap();
        self.processes[i] = Some(Process {
            member,
            incarnation,
            written: bytes.len() as u64,
            journal: bytes,
            replicated: 0,
            may_accept: false,
            next_message: 1,
            pending_actions: Vec::new(),
            joined: false,
            paused: false,
        });
        self.carry_out(i, out);
    }

    pub fn start_all(&mut self) {
        (0..self.names.len()).for_each(|i| self.start(i));
    }

    /// Kills the process. Messages that it has not sent are lost.
    pub fn kill(&mut self, i: usize) {
        self.processes[i] = None;
    }

    pub fn lose_folder(&mut self, i: usize) {
        self.disks[i] = Disk::default();
    }

    pub fn pause(&mut self, i: usize, paused: bool) {
        if let Some(p) = &mut self.processes[i] {
            p.paused = paused;
        }
    }

    fn random_fraction(&mut self) -> f64 {
        random_unit(&mut self.seed)
    }

    fn send(&mut self, from: usize, to: Name, message: FleetMessage) {
        let Some(n) = self.names.iter().position(|name| *name == to) else { return };
        let Some(p) = &self.processes[from] else { return };
        let node_id = p.member.agreement().node_id();
        if matches!(message, FleetMessage::Append { .. }) && self.cut_append_links.contains(&(from, n)) {
            return;
        }
        if self.cut_links.contains(&(from, n)) || self.random_fraction() < self.loss_rate {
            return;
        }
        let envelope = Envelope { from: self.names[from].clone(), to, node_id, messages: vec![message] };
        let copies = if self.random_fraction() < self.duplicate_rate { 2 } else { 1 };
        for _ in 0..copies {
            self.last_envelope += 1;
            let extra_delay = if self.loss_rate > 0.0 {
                (self.random_fraction() * 4.0 * self.delay as f64) as Micros
            } else {
                0
            };
            self.queue.push(Reverse((self.now + self.delay + extra_delay, self.last_envelope)));
            self.envelopes.insert(self.last_envelope, envelope.clone());
        }
    }

    pub fn step(&mut self, i: usize, input: MemberInput) {
        let now = self.now;
        let Some(p) = self.processes[i].as_mut() else { return };
        let out = p.member.step(input, now).unwrap();
        self.carry_out(i, out);
    }

    fn write(&mut self, i: usize, records: &[JournalRecord]) -> u64 {
        let Some(p) = self.processes[i].as_mut() else { return 0 };
        let bytes: Vec<u8> = records.iter().flat_map(|r| journal::frame(r).unwrap()).collect();
        p.journal.extend_from_slice(&bytes);
        p.written += bytes.len() as u64;
        let written = p.written;
        let mut file = File { disk: self.disks[i].clone(), name: "journal".into() };
        file.append(&bytes).unwrap();
        self.step(i, MemberInput::JournalAppended(bytes));
        written
    }

    /// Submits a message as a client. Returns whether the courier writes it to its journal.
    pub fn submit(&mut self, i: usize, id: &str, dest: u64, debit: bool) -> bool {
        let now = self.now;
        let Some(p) = self.processes[i].as_mut().filter(|p| !p.paused) else { return false };
        if !p.joined || !p.may_accept || !p.member.may_act(now) {
            return false;
        }
        let msg = p.next_message;
        p.next_message += 1;
        let class = if debit { "fee-debit" } else { "paid-notice" };
        let message = AcceptedMessage {
            id: id.into(),
            class: class.into(),
            key: None,
            dest,
            deadline: now + 16 * SEC,
            body: Bytes::from_static(b"body"),
        };
        let written = self.write(i, &[JournalRecord::Accept { msg, message }]);
        let Some(p) = self.processes[i].as_mut() else { return false };
        p.pending_actions.push((written, PendingAction::AcceptedMessage(id.into())));
        self.call(i, id.into(), msg, debit);
        true
    }

    fn call(&mut self, i: usize, id: String, msg: u64, debit: bool) {
        let sent_at = self.now;
        let written = self.write(i, &[JournalRecord::Attempt { msg, zone: 0, sent_at }]);
        if let Some(p) = self.processes[i].as_mut() {
            p.pending_actions.push((written, PendingAction::Call { id, msg, debit }));
        }
        self.run_pending_actions(i);
    }

    /// Runs the pending actions whose records are replicated.
    fn run_pending_actions(&mut self, i: usize) {
        let now = self.now;
        loop {
            let Some(p) = self.processes[i].as_mut().filter(|p| !p.paused) else { return };
            let may_act = p.member.may_act(now);
            let ready = |(written, due): &(u64, PendingAction)| {
                *written <= p.replicated && (may_act || matches!(due, PendingAction::AcceptedMessage(_)))
            };
            let Some(n) = p.pending_actions.iter().position(ready) else { return };
            match p.pending_actions.remove(n).1 {
                PendingAction::AcceptedMessage(id) => drop(self.observed.accepted.insert(id)),
                PendingAction::ReportEnd(id) => self.observed.ends.entry(id).or_default().push((i, false)),
                PendingAction::Call { id, msg, debit: _ } => {
                    self.observed.calls.entry(id.clone()).or_default().push((i, now));
                    // The endpoint replies that the message was delivered.
                    self.replies.push((now + self.call_duration, i, self.incarnation_of(i), id, msg));
                }
            }
        }
    }

    fn incarnation_of(&self, i: usize) -> u64 {
        self.processes[i].as_ref().map_or(0, |p| p.incarnation)
    }

    fn carry_out(&mut self, i: usize, out: Vec<MemberOutput>) {
        for output in out {
            match output {
                MemberOutput::Send(to, message) => self.send(i, to, message),
                MemberOutput::Joined { retained, .. } => self.joined(i, retained),
                MemberOutput::Replicated(written) => {
                    if let Some(p) = self.processes[i].as_mut() {
                        p.replicated = written;
                    }
                    self.run_pending_actions(i);
                }
                MemberOutput::Replicas { enough, .. } => {
                    if let Some(p) = self.processes[i].as_mut() {
                        p.may_accept = enough;
                    }
                }
                MemberOutput::Takeover(TakeoverTask::Adopt { partitions, settled, bytes }) => {
                    self.adopt(i, &partitions, &settled, &bytes);
                }
                MemberOutput::Takeover(TakeoverTask::ResolveAdoption { source, adopted }) => {
                    self.resolve_adoption(i, source, adopted);
                }
                MemberOutput::Fenced => {
                    self.fenced.insert(i);
                    if self.stays_after_fencing {
                        continue;
                    }
                    self.processes[i] = None;
                    self.start(i);
                    return;
                }
                MemberOutput::Lease(_) => self.run_pending_actions(i),
                MemberOutput::Left | MemberOutput::CloseConnections(_) => {}
                MemberOutput::Settlement(_)
                | MemberOutput::SettlementsRestored
                | MemberOutput::SettlementReceived { .. } => {}
                MemberOutput::Notice(notice) => self.observed.notices.push((self.now, i, notice.to_string())),
            }
        }
    }

    fn joined(&mut self, i: usize, retained: bool) {
        let mut file = File { disk: self.disks[i].clone(), name: "journal".into() };
        let Some(p) = self.processes[i].as_mut() else { return };
        let lineage = p.member.agreed_lineage();
        if !retained {
            p.member.record_lineage(None).unwrap();
            p.journal.clear();
            p.written = 0;
            file.replace(&[]).unwrap();
        }
        p.member.record_lineage(lineage).unwrap();
        p.joined = true;
        let (journal_state, _) = JournalContents::read(&p.journal);
        p.next_message = p.next_message.max(journal_state.next_message);
        let unsettled: BTreeSet<PartitionId> =
            journal_state.owed.values().filter_map(|e| e.source.as_ref().map(PartitionId::from)).collect();
        let bytes = p.journal.clone();
        self.step(i, MemberInput::JournalOpened { bytes, unsettled: unsettled.into_iter().collect() });
        let own = journal_state.owed.into_iter().filter(|(_, e)| e.source.is_none()).collect::<Vec<_>>();
        for (msg, entry) in own {
            self.resume_message(i, msg, entry);
        }
    }

    /// Resumes a message from the journal: a debit that may have been executed is ended, all others are sent again.
    fn resume_message(&mut self, i: usize, msg: u64, entry: journal::JournalEntry) {
        let debit = entry.message.class == "fee-debit";
        let may_have_run = entry.attempts.iter().any(|c| c.never_ran != Some(true));
        if entry.end.is_some() || debit && may_have_run {
            let id = entry.message.id;
            let written = self.write(
                i,
                &[JournalRecord::End { msg, end: End::Undeliverable }, JournalRecord::Confirmed { msg }],
            );
            if let Some(p) = self.processes[i].as_mut() {
                p.pending_actions.push((written, PendingAction::ReportEnd(id)));
            }
            self.run_pending_actions(i);
        } else {
            self.call(i, entry.message.id, msg, debit);
        }
    }

    fn adopt(&mut self, i: usize, partitions: &[PartitionId], settled: &BTreeSet<PartitionId>, bytes: &[u8]) {
        let (journal_state, _) = JournalContents::read(bytes);
        let mut records = Vec::new();
        for entry in journal_state.owed.into_values() {
            let partition = partition_of(entry.message.dest);
            let Some(source) = partitions.iter().find(|s| s.partition == partition) else { continue };
            if entry.source.as_ref().is_some_and(|s| !settled.contains(&PartitionId::from(s))) {
                continue;
            }
            let Some(p) = self.processes[i].as_mut() else { return };
            let msg = p.next_message;
            p.next_message += 1;
            records.push(JournalRecord::Accept { msg, message: entry.message });
            records.push(JournalRecord::From { msg, source: source.into() });
            for (n, call) in entry.attempts.into_iter().enumerate() {
                records.push(JournalRecord::Attempt { msg, zone: 0, sent_at: call.sent_at });
                if let Some(never_ran) = call.never_ran {
                    records.push(JournalRecord::Outcome { msg, attempt: n as u32, never_ran });
                }
            }
            records.extend(entry.end.map(|end| JournalRecord::End { msg, end }));
        }
        self.write(i, &records);
        for source in partitions {
            self.step(i, MemberInput::Adopted(source.clone()));
        }
    }

    fn resolve_adoption(&mut self, i: usize, source: PartitionId, adopted: bool) {
        let Some(p) = self.processes[i].as_ref() else { return };
        let (journal_state, _) = JournalContents::read(&p.journal);
        let from: journal::Source = (&source).into();
        self.write(i, &[JournalRecord::Settled { source: from.clone(), accepted: adopted }]);
        self.step(i, MemberInput::AdoptionResolved(source));
        if adopted {
            let adopted_entries =
                journal_state.owed.into_iter().filter(|(_, e)| e.source.as_ref() == Some(&from));
            for (msg, entry) in adopted_entries.collect::<Vec<_>>() {
                self.resume_message(i, msg, entry);
            }
        }
    }

    /// Runs the fleet for this virtual time in microseconds.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition `done` is met, or until the time `end`. Returns whether the condition was met.
    pub fn run_until(&mut self, end: Micros, done: impl Fn(&World) -> bool) -> bool {
        loop {
            if done(self) {
                return true;
            }
            let next = self.queue.peek().map(|Reverse((at, _))| *at);
            let ticks =
                self.processes.iter().flatten().filter(|p| !p.paused).filter_map(|p| p.member.wake_at());
            let replies = self.replies.iter().map(|a| a.0);
            let at = next.into_iter().chain(ticks).chain(replies).min().unwrap_or(end);
            if at >= end {
                self.now = end;
                return done(self);
            }
            self.now = self.now.max(at);
            if next.is_some_and(|next| next <= self.now) {
                if let Some(Reverse((_, n))) = self.queue.pop()
                    && let Some(envelope) = self.envelopes.remove(&n)
                {
                    let to = self.names.iter().position(|name| *name == envelope.to).unwrap();
                    if self.processes[to].as_ref().is_some_and(|p| p.paused) {
                        // The envelope is delivered after the process has resumed.
                        self.last_envelope += 1;
                        self.queue.push(Reverse((self.now + 50 * MS, self.last_envelope)));
                        self.envelopes.insert(self.last_envelope, envelope);
                        continue;
                    }
                    self.step(to, MemberInput::Received(envelope));
                }
                continue;
            }
            if let Some(n) = self.replies.iter().position(|a| a.0 <= self.now) {
                let (_, i, incarnation, id, msg) = self.replies.remove(n);
                if self.incarnation_of(i) == incarnation
                    && self.processes[i].as_ref().is_some_and(|p| !p.paused)
                {
                    self.observed.ends.entry(id).or_default().push((i, true));
                    self.write(i, &[JournalRecord::End { msg, end: End::Delivered }]);
                } else if self.incarnation_of(i) == incarnation {
                    self.replies.push((self.now + 50 * MS, i, incarnation, id, msg));
                }
                continue;
            }
            for i in 0..self.processes.len() {
                let now = self.now;
                let due = |p: &Process| !p.paused && p.member.wake_at().is_some_and(|at| at <= now);
                if self.processes[i].as_ref().is_some_and(due) {
                    self.step(i, MemberInput::Tick);
                    self.run_pending_actions(i);
                }
            }
        }
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let may = |p: &Process| p.joined && p.may_accept && p.member.may_act(self.now);
        self.processes[i].as_ref().is_some_and(may)
    }
}
