//! One courier's process in the simulated world: its member, its journal, and its calls.

use crate::effects::{File, Folder, effect, trace, with_effects};
use crate::model_log::ModelLog;
use crate::scenario::{LEASE, MS, config, courier_name, index_of};
use crate::world::{Event, World};
use bytes::Bytes;
use quillmount_core::journal::{self, AcceptedMessage, End, JournalContents, JournalRecord};
use quillmount_core::store::Store;
use quillmount_fleet::agreement::{CommittedCommand, Opened};
use quillmount_fleet::member::{AgreementLog, Member, MemberInput, MemberOutput, OpenedLog, TakeoverTask};
use quillmount_fleet::message::FleetMessage;
use quillmount_fleet::state::{PartitionId, partition_of};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// An action that waits until the journal is replicated up to an offset.
#[derive(Clone, Debug)]
pub enum Action {
    AcceptedMessage(String),
    Call { id: String, msg: u64, debit: bool },
    Delivered(String),
    ReportEnd { id: String, msg: u64 },
}

#[derive(Clone)]
pub struct Process {
    pub member: Member<Folder, ModelLog>,
    pub incarnation: u64,
    pub applied: usize,
    pub written: u64,
    pub replicated: u64,
    pub may_accept: bool,
    pub next_message: u64,
    pub pending: Vec<(u64, Action)>,
    pub joined: bool,
    pub paused: bool,
    /// The time that was read before the pause. The interrupted step still uses it.
    pub stale_clock: Option<Micros>,
    /// Time of the leader's next heartbeat.
    pub heartbeat_at: Micros,
    /// Time until which the process applies no committed commands.
    pub apply_paused_until: Micros,
    /// Messages that have arrived during the pause.
    pub inbox: Vec<Event>,
    /// Send time of each lease renewal, by ticket.
    pub renewals: BTreeMap<u64, Micros>,
    /// Expiry of the lease, as computed by the test from the granted renewals.
    pub lease_until: Micros,
}

impl World<'_> {
    pub fn start(&mut self, i: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations * 1_000 + i as u64 + 1;
        let stored_id = with_effects(|effects| effects.disks[i].get("token").cloned());
        let node_id =
            stored_id.as_ref().map_or(incarnation, |t| u64::from_le_bytes(t[..].try_into().unwrap()));
        with_effects(|effects| effects.disks[i].insert("token".into(), node_id.to_le_bytes().into()));
        let applied = with_effects(|effects| effects.disks[i].get("applied").cloned());
        let applied = applied.map_or(0, |t| u64::from_le_bytes(t[..].try_into().unwrap())) as usize;
        let committed = self.log[..applied].iter().zip(1..);
        let committed =
            committed.map(|(command, index)| CommittedCommand { index, command: command.clone() }).collect();
        let opened = Opened { is_new: stored_id.is_none(), state: Vec::new(), index: 0, committed };
        let log = ModelLog { node_id, ..ModelLog::default() };
        let config = config(i, self.scenario.replicas);
        let (member, out) =
            Member::with_log(config, Folder(i), OpenedLog { log, opened }, incarnation, self.now).unwrap();
        let written = File(i, "journal".into()).len();
        self.processes[i] = Some(Process {
            member,
            incarnation,
            applied,
            written,
            replicated: 0,
            may_accept: false,
            next_message: 1,
            pending: Vec::new(),
            joined: false,
            paused: false,
            stale_clock: None,
            heartbeat_at: self.now,
            apply_paused_until: 0,
            inbox: Vec::new(),
            renewals: BTreeMap::new(),
            lease_until: 0,
        });
        self.carry_out(i, out);
        self.elect(false);
    }

    pub fn step(&mut self, i: usize, input: MemberInput) {
        let now = self.clock(i);
        let confirmed = i == self.leader && self.reaches_majority(i);
        let Some(p) = self.processes[i].as_mut() else { return };
        p.member.agreement().confirmed.set(confirmed);
        let out = p.member.step(input, now).unwrap();
        let proposed = p.member.agreement().proposed.take();
        let proposer = p.incarnation;
        for command in proposed {
            if i == self.leader && effect(true) {
                // The commit takes a round trip to a majority.
                self.schedule(2 * MS, Event::Commit { proposer, term: self.term, command });
            }
        }
        self.carry_out(i, out);
    }

    pub fn write(&mut self, i: usize, records: &[JournalRecord]) -> u64 {
        let Some(p) = self.processes[i].as_mut() else { return 0 };
        let bytes: Vec<u8> = records.iter().flat_map(|r| journal::frame(r).unwrap()).collect();
        p.written += bytes.len() as u64;
        let written = p.written;
        File(i, "journal".into()).append(&bytes).unwrap();
        self.step(i, MemberInput::JournalAppended(bytes));
        written
    }

    pub fn act_when_replicated(&mut self, i: usize, written: u64, due: Action) {
        if let Some(p) = self.processes[i].as_mut() {
            p.pending.push((written, due));
        }
        self.run_pending_actions(i);
    }

    pub fn submit(&mut self, n: usize) {
        let (i, (dest, debit, _)) = (self.scenario.owner, self.scenario.messages[n]);
        if !self.is_ready(i) {
            return;
        }
        let Some(p) = self.processes[i].as_mut() else { return };
        let (msg, id) = (p.next_message, format!("m{n}"));
        p.next_message += 1;
        let class = if debit { "fee-debit" } else { "paid-notice" };
        let deadline = self.now + 100 * LEASE;
        let (class, body) = (class.into(), Bytes::from_static(b"body"));
        let message = AcceptedMessage { id: id.clone(), class, key: None, dest, deadline, body };
        let written = self.write(i, &[JournalRecord::Accept { msg, message }]);
        self.act_when_replicated(i, written, Action::AcceptedMessage(id.clone()));
        self.call(i, id, msg, debit);
    }

    pub fn call(&mut self, i: usize, id: String, msg: u64, debit: bool) {
        let written = self.write(i, &[JournalRecord::Attempt { msg, zone: 0, sent_at: self.now }]);
        self.act_when_replicated(i, written, Action::Call { id, msg, debit });
    }

    /// Runs the pending actions whose records are replicated.
    pub fn run_pending_actions(&mut self, i: usize) {
        loop {
            let now = self.clock(i);
            let Some(p) = self.processes[i].as_mut().filter(|p| !p.paused) else { return };
            let may_act = p.member.may_act(now);
            let ready = |(written, due): &(u64, Action)| {
                *written <= p.replicated
                    && (may_act || matches!(due, Action::AcceptedMessage(_) | Action::Delivered(_)))
            };
            let Some(n) = p.pending.iter().position(ready) else { return };
            let (due, stale, lease_until) = (p.pending.remove(n).1, p.stale_clock.is_some(), p.lease_until);
            let (incarnation, epoch) = (p.incarnation, p.member.epoch());
            if !effect(true) {
                return;
            }
            match due {
                Action::AcceptedMessage(id) => drop(self.observed.accepted.insert(id)),
                Action::Delivered(id) => drop(self.observed.delivered.insert(id)),
                Action::ReportEnd { id, msg } => {
                    if self.observed.delivered.contains(&id) {
                        self.fail(format!("end: {} reports delivered {id} as undelivered", courier_name(i)));
                    }
                    self.observed.ends.insert(id);
                    self.write(i, &[JournalRecord::Confirmed { msg }]);
                }
                Action::Call { id, msg, debit } => {
                    if lease_until <= now {
                        self.fail(format!("lease: {} calls {id} without a lease", courier_name(i)));
                    }
                    if !stale && self.state.epoch_of(&courier_name(i)) != epoch {
                        self.fail(format!("owner: {} calls {id} after it was replaced", courier_name(i)));
                    }
                    let key = (courier_name(i), id.clone());
                    let calls = self.observed.called.entry(key.clone()).or_default();
                    *calls += 1;
                    let calls = *calls;
                    if self.observed.recorded.get(&key).is_none_or(|n| *n < calls) && !self.lost_folder {
                        self.fail(format!("recorded: {} calls {id} before its replication", courier_name(i)));
                    }
                    let total_calls = self.observed.calls.entry(id.clone()).or_default();
                    *total_calls += 1;
                    if debit && *total_calls > 1 {
                        self.fail(format!("once: debit {id} is called again, by {}", courier_name(i)));
                    }
                    self.schedule(self.scenario.call_duration, Event::Reply { to: i, incarnation, id, msg });
                }
            }
        }
    }

    pub fn carry_out(&mut self, i: usize, out: Vec<MemberOutput>) {
        for output in out {
            match output {
                MemberOutput::Send(to, message) => self.send(i, &to, message),
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
                    if !with_effects(|effects| effects.dead) {
                        self.processes[i] = None;
                        self.start(i);
                    }
                    return;
                }
                MemberOutput::Lease(until) => {
                    if let Some(p) = self.processes[i].as_mut().filter(|p| p.member.agreement().is_leader()) {
                        // The leader grants its own lease without sending a message.
                        p.lease_until = p.lease_until.max(until);
                    }
                    self.run_pending_actions(i);
                }
                MemberOutput::Notice(notice) => trace(|| format!("{} {notice}", courier_name(i))),
                MemberOutput::Left | MemberOutput::CloseConnections(_) => {}
                MemberOutput::Settlement(_)
                | MemberOutput::SettlementsRestored
                | MemberOutput::SettlementReceived { .. } => {}
            }
        }
    }

    pub fn send(&mut self, from: usize, to: &str, message: FleetMessage) {
        let now = self.clock(from);
        let Some(p) = self.processes[from].as_mut() else { return };
        let node_id = p.member.agreement().node_id();
        let lease = matches!(message, FleetMessage::RenewLease { .. } | FleetMessage::LeaseGranted { .. });
        if let FleetMessage::RenewLease { ticket, .. } = message {
            p.renewals.insert(ticket, now);
        }
        if effect(!lease) {
            self.schedule(MS, Event::Deliver { from, to: index_of(to), node_id, message });
        }
    }

    pub fn joined(&mut self, i: usize, retained: bool) {
        let mut file = File(i, "journal".into());
        let Some(p) = self.processes[i].as_mut() else { return };
        let lineage = p.member.agreed_lineage();
        if !retained {
            p.member.record_lineage(None).unwrap();
            p.written = 0;
            file.replace(&[]).unwrap();
        }
        p.member.record_lineage(lineage).unwrap();
        p.joined = true;
        let bytes = file.read().unwrap();
        let (journal_state, _) = JournalContents::read(&bytes);
        p.next_message = p.next_message.max(journal_state.next_message);
        let unsettled: BTreeSet<PartitionId> =
            journal_state.owed.values().filter_map(|e| e.source.as_ref().map(PartitionId::from)).collect();
        self.step(i, MemberInput::JournalOpened { bytes, unsettled: unsettled.into_iter().collect() });
        for (msg, entry) in journal_state.owed.into_iter().filter(|(_, e)| e.source.is_none()) {
            self.resume_message(i, msg, entry);
        }
    }

    /// Resumes a message from the journal: a debit that may have been executed is ended, all others are sent again.
    pub fn resume_message(&mut self, i: usize, msg: u64, entry: journal::JournalEntry) {
        let (id, debit) = (entry.message.id, entry.message.class == "fee-debit");
        let may_have_run = entry.attempts.iter().any(|c| c.never_ran != Some(true));
        if entry.end.is_some() {
            let written = self.processes[i].as_ref().map_or(0, |p| p.written);
            self.act_when_replicated(i, written, Action::ReportEnd { id, msg });
        } else if debit && may_have_run {
            let end = End::Undeliverable;
            let written = self.write(i, &[JournalRecord::End { msg, end }]);
            self.act_when_replicated(i, written, Action::ReportEnd { id, msg });
        } else {
            self.call(i, id, msg, debit);
        }
    }

    pub fn adopt(
        &mut self,
        i: usize,
        partitions: &[PartitionId],
        settled: &BTreeSet<PartitionId>,
        bytes: &[u8],
    ) {
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
            for call in entry.attempts {
                records.push(JournalRecord::Attempt { msg, zone: 0, sent_at: call.sent_at });
            }
            records.extend(entry.end.map(|end| JournalRecord::End { msg, end }));
        }
        self.write(i, &records);
        for source in partitions {
            self.step(i, MemberInput::Adopted(source.clone()));
        }
    }

    pub fn resolve_adoption(&mut self, i: usize, source: PartitionId, adopted: bool) {
        let (journal_state, _) = JournalContents::read(&File(i, "journal".into()).read().unwrap());
        let from: journal::Source = (&source).into();
        if adopted {
            let key = (from.owner.clone(), from.epoch, from.part);
            let by = *self.observed.adopted_by.entry(key).or_insert(i);
            if by != i {
                self.fail(format!(
                    "adoption: {source} is adopted by {} and {}",
                    courier_name(by),
                    courier_name(i)
                ));
            }
        }
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
}
