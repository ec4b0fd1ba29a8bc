//! One courier's process in the world: its member, its journal, and its calls.

use crate::effects::{File, Folder, effect, trace, with_effects};
use crate::model_log::ModelLog;
use crate::scenario::{LEASE, MS, config, index_of, name};
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

#[derive(Clone, Debug)]
pub enum Due {
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
    pub next: u64,
    pub due: Vec<(u64, Due)>,
    pub joined: bool,
    pub paused: bool,
    /// The time that was read before the pause, which the interrupted step still goes by.
    pub stale_clock: Option<Micros>,
    /// When the leader's next heartbeat comes.
    pub heartbeat_at: Micros,
    /// Until when it applies no commits.
    pub apply_paused_until: Micros,
    /// Messages that have arrived while it is paused.
    pub inbox: Vec<Event>,
    /// When it sent each lease renewal, by ticket, and when the granted lease expires.
    pub renewals: BTreeMap<u64, Micros>,
    pub lease_until: Micros,
}

impl World<'_> {
    pub fn start(&mut self, i: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations * 1_000 + i as u64 + 1;
        let stored_id = with_effects(|h| h.disks[i].get("token").cloned());
        let node_id =
            stored_id.as_ref().map_or(incarnation, |t| u64::from_le_bytes(t[..].try_into().unwrap()));
        with_effects(|h| h.disks[i].insert("token".into(), node_id.to_le_bytes().into()));
        let applied = with_effects(|h| h.disks[i].get("applied").cloned());
        let applied = applied.map_or(0, |t| u64::from_le_bytes(t[..].try_into().unwrap())) as usize;
        let committed = self.log[..applied].iter().zip(1..);
        let committed =
            committed.map(|(command, index)| CommittedCommand { index, command: command.clone() }).collect();
        let opened = Opened { is_new: stored_id.is_none(), state: Vec::new(), index: 0, committed };
        let log = ModelLog { node_id, ..ModelLog::default() };
        let config = config(i, self.scenario.copies);
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
            next: 1,
            due: Vec::new(),
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
        let incarnation = p.incarnation;
        for command in proposed {
            if i == self.leader && effect(true) {
                // A round trip to a majority.
                self.at(2 * MS, Event::Commit { incarnation, term: self.term, command });
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

    pub fn act_when_replicated(&mut self, i: usize, written: u64, due: Due) {
        if let Some(p) = self.processes[i].as_mut() {
            p.due.push((written, due));
        }
        self.act(i);
    }

    pub fn submit(&mut self, n: usize) {
        let (i, (dest, debit, _)) = (self.scenario.owner, self.scenario.messages[n]);
        if !self.ready(i) {
            return;
        }
        let Some(p) = self.processes[i].as_mut() else { return };
        let (msg, id) = (p.next, format!("m{n}"));
        p.next += 1;
        let class = if debit { "fee-debit" } else { "paid-notice" };
        let deadline = self.now + 100 * LEASE;
        let (class, body) = (class.into(), Bytes::from_static(b"body"));
        let taken = AcceptedMessage { id: id.clone(), class, key: None, dest, deadline, body };
        let written = self.write(i, &[JournalRecord::Accept { msg, taken }]);
        self.act_when_replicated(i, written, Due::AcceptedMessage(id.clone()));
        self.call(i, id, msg, debit);
    }

    pub fn call(&mut self, i: usize, id: String, msg: u64, debit: bool) {
        let written = self.write(i, &[JournalRecord::Attempt { msg, zone: 0, sent: self.now }]);
        self.act_when_replicated(i, written, Due::Call { id, msg, debit });
    }

    /// Does what was waiting for the journal's replication.
    pub fn act(&mut self, i: usize) {
        loop {
            let now = self.clock(i);
            let Some(p) = self.processes[i].as_mut().filter(|p| !p.paused) else { return };
            let may = p.member.may_act(now);
            let ready = |(written, due): &(u64, Due)| {
                *written <= p.replicated
                    && (may || matches!(due, Due::AcceptedMessage(_) | Due::Delivered(_)))
            };
            let Some(n) = p.due.iter().position(ready) else { return };
            let (due, stale_clock, lease_until) = (p.due.remove(n).1, p.stale_clock.is_some(), p.lease_until);
            let (incarnation, epoch) = (p.incarnation, p.member.epoch());
            if !effect(true) {
                return;
            }
            match due {
                Due::AcceptedMessage(id) => drop(self.observed.accepted.insert(id)),
                Due::Delivered(id) => drop(self.observed.delivered.insert(id)),
                Due::ReportEnd { id, msg } => {
                    if self.observed.delivered.contains(&id) {
                        self.fail(format!("end: {} says that {id} was not delivered, and it was", name(i)));
                    }
                    self.observed.ends.insert(id);
                    self.write(i, &[JournalRecord::Confirmed { msg }]);
                }
                Due::Call { id, msg, debit } => {
                    if lease_until <= now {
                        self.fail(format!("lease: {} calls {id} without one", name(i)));
                    }
                    if !stale_clock && self.state.epoch_of(&name(i)) != epoch {
                        self.fail(format!("owner: {} calls {id}, and is replaced", name(i)));
                    }
                    let key = (name(i), id.clone());
                    let calls = self.observed.called.entry(key.clone()).or_default();
                    *calls += 1;
                    let calls = *calls;
                    if self.observed.recorded.get(&key).is_none_or(|n| *n < calls) && !self.lost_folder {
                        self.fail(format!("recorded: {} calls {id}, and no copy knows", name(i)));
                    }
                    let all = self.observed.calls.entry(id.clone()).or_default();
                    *all += 1;
                    if debit && *all > 1 {
                        self.fail(format!("once: debit {id} is called again, by {}", name(i)));
                    }
                    self.at(self.scenario.call_duration, Event::Reply { to: i, incarnation, id, msg });
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
                    self.act(i);
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
                    if !with_effects(|h| h.dead) {
                        self.processes[i] = None;
                        self.start(i);
                    }
                    return;
                }
                MemberOutput::Lease(until) => {
                    if let Some(p) = self.processes[i].as_mut().filter(|p| p.member.agreement().is_leader()) {
                        // The leader grants its own lease without a message.
                        p.lease_until = p.lease_until.max(until);
                    }
                    self.act(i);
                }
                MemberOutput::Notice(note) => trace(|| format!("{} {note}", name(i))),
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
            self.at(MS, Event::Deliver { from, to: index_of(to), node_id, message });
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
        p.next = p.next.max(journal_state.next);
        let unsettled: BTreeSet<PartitionId> =
            journal_state.owed.values().filter_map(|e| e.source.as_ref().map(PartitionId::from)).collect();
        self.step(i, MemberInput::JournalOpened { bytes, unsettled: unsettled.into_iter().collect() });
        for (msg, entry) in journal_state.owed.into_iter().filter(|(_, e)| e.source.is_none()) {
            self.resume_message(i, msg, entry);
        }
    }

    /// Goes on with a message from the journal: a debit that may have run is ended, all others are sent.
    pub fn resume_message(&mut self, i: usize, msg: u64, entry: journal::JournalEntry) {
        let (id, debit) = (entry.taken.id, entry.taken.class == "fee-debit");
        let may_have_run = entry.calls.iter().any(|c| c.never_ran != Some(true));
        if entry.end.is_some() {
            let written = self.processes[i].as_ref().map_or(0, |p| p.written);
            self.act_when_replicated(i, written, Due::ReportEnd { id, msg });
        } else if debit && may_have_run {
            let end = End::Undeliverable;
            let written = self.write(i, &[JournalRecord::End { msg, end }]);
            self.act_when_replicated(i, written, Due::ReportEnd { id, msg });
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
            let partition = partition_of(entry.taken.dest);
            let Some(source) = partitions.iter().find(|s| s.partition == partition) else { continue };
            if entry.source.as_ref().is_some_and(|s| !settled.contains(&PartitionId::from(s))) {
                continue;
            }
            let Some(p) = self.processes[i].as_mut() else { return };
            let msg = p.next;
            p.next += 1;
            records.push(JournalRecord::Accept { msg, taken: entry.taken });
            records.push(JournalRecord::From { msg, source: source.into() });
            for call in entry.calls {
                records.push(JournalRecord::Attempt { msg, zone: 0, sent: call.sent });
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
                self.fail(format!("part: {source} is settled by {} and {}", name(by), name(i)));
            }
        }
        self.write(i, &[JournalRecord::Settled { source: from.clone(), accepted: adopted }]);
        self.step(i, MemberInput::AdoptionResolved(source));
        if adopted {
            let mine = journal_state.owed.into_iter().filter(|(_, e)| e.source.as_ref() == Some(&from));
            for (msg, entry) in mine.collect::<Vec<_>>() {
                self.resume_message(i, msg, entry);
            }
        }
    }
}
