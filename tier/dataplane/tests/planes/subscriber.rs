//! Subscribers: every process polls the core, relays the polls of others, and reads the endpoint list directly while it has no contact
//! with the core.

use crate::core_side::PollAnswer;
use crate::machine::{MachineId, SentPoll, address, machine_at};
use crate::world::{Event, World};
use quillmount_control::direct_list::lacks_current_list;
use quillmount_control::subscription::{AnsweredPoll, MAX_POLL_WAIT, POLL_TIMEOUT, core_addresses};
use quillmount_test_support::simulation::{Simulation, Time};
use quillmount_wire::messages::{ChangedTables, DiskId, Endpoint, Epoch, NodeRole, Poll, ShardReport};
use std::time::Duration;

/// Timeout after which a store reports a member of its shard as unresponsive, microseconds.
const CALL_TIMEOUT: Time = 400_000;

fn micros(duration: Duration) -> Time {
    duration.as_micros() as Time
}

impl World {
    /// Sends the next poll of a machine, unless one is in flight.
    pub fn send_poll(&mut self, id: MachineId, incarnation: u64) {
        if !self.is_same_process(id, incarnation) || self.machines[id].state.poll.is_some() {
            return;
        }
        let now = self.now();
        let machine = &mut self.machines[id];
        let own_address = address(id);
        let state = &mut machine.state;
        let contact = state.contact.clone();
        let addresses = || {
            let members = state.tables.placement.core.iter().map(|member| member.internal.clone());
            let seeds = machine.seeds.iter().map(|seed| address(*seed)).collect();
            core_addresses(&contact, members, seeds, &own_address)
        };
        let Some(next) = state.subscription.next_address(&contact, addresses, now) else { return };
        let call = self.next_call();
        let poll = self.make_poll(id);
        self.machines[id].state.poll = Some(SentPoll { call, address: next.clone(), sent_at: now });
        self.schedule(now + micros(POLL_TIMEOUT), Event::PollTimeout { to: id, incarnation, call });
        if let Some(to) = machine_at(&next) {
            self.send(id, to, Event::Poll { path: vec![id], to, call, poll: Box::new(poll) });
        }
    }

    fn make_poll(&self, id: MachineId) -> Poll {
        let machine = &self.machines[id];
        Poll {
            node: machine.node_info(),
            incarnation: machine.process.incarnation() * 1_000 + id as u64,
            known_versions: machine.state.tables.versions,
            max_wait_ms: MAX_POLL_WAIT.as_millis() as u64,
            usage: machine.state.usage_report(),
            shards: self.shard_reports(id),
            draining: false,
            relayed: false,
            demand: Vec::new(),
            items: Vec::new(),
        }
    }

    /// The reports of a store on the shards of which it is the primary: members that do not answer, and joining members that answer, which
    /// count as caught up. The data of the shards is not part of the simulation.
    fn shard_reports(&self, id: MachineId) -> Vec<ShardReport> {
        let machine = &self.machines[id];
        if machine.role != NodeRole::Store {
            return Vec::new();
        }
        let answers = |disk: &DiskId| {
            let member = self.machines.iter().find(|machine| machine.disk == *disk);
            member.is_some_and(|member| {
                let resumes_at = member.process.resumes_at(self.now());
                member.process.is_up()
                    && resumes_at.is_none_or(|until| until < self.now() + CALL_TIMEOUT)
                    && !self.partitions.is_blocked(id, member.id)
                    && !self.partitions.is_blocked(member.id, id)
            })
        };
        let views = machine.state.tables.placement.shards.iter().enumerate();
        let led = views.filter(|(_, view)| view.primary == machine.disk);
        led.map(|(shard, view)| ShardReport {
            shard: shard as u32,
            epoch: view.epoch,
            unresponsive: view
                .in_sync
                .iter()
                .chain(&view.joining)
                .copied()
                .filter(|disk| !answers(disk))
                .collect(),
            caught_up: view.joining.iter().copied().filter(answers).collect(),
        })
        .collect()
    }

    /// Relays a poll to the primary if it is known. A relayed poll is not relayed again.
    pub fn relay_poll(&mut self, path: Vec<MachineId>, id: MachineId, call: u64, poll: Box<Poll>) {
        let now = self.now();
        let contact = &self.machines[id].state.contact;
        let primary = contact.primary().and_then(machine_at);
        let may_relay = !poll.relayed && contact.has_recent_primary(now);
        let Some(primary) = primary.filter(|_| may_relay) else {
            return self.answer_poll(id, path, call, PollAnswer::NotPrimary { hint: None });
        };
        let path = path.into_iter().chain([id]).collect();
        let poll = Box::new(Poll { relayed: true, ..*poll });
        self.send(id, primary, Event::Poll { path, to: primary, call, poll });
    }

    /// Handles a response at the last machine of its path: the sender of the poll, or a relay that forwards it.
    pub fn receive_answer(
        &mut self,
        from: MachineId,
        mut path: Vec<MachineId>,
        call: u64,
        answer: PollAnswer,
    ) {
        let Some(id) = path.pop() else { return };
        if !path.is_empty() {
            return self.answer_poll(id, path, call, answer);
        }
        let now = self.now();
        let draw = self.random.below(1_000);
        let state = &mut self.machines[id].state;
        let Some(sent) = state.poll.take_if(|poll| poll.call == call) else { return };
        let polled = sent.address;
        assert_eq!(machine_at(&polled), Some(from));
        let delay = match answer {
            PollAnswer::Tables(tables) => {
                let poll = AnsweredPoll { address: &polled, sent_at: sent.sent_at, answered_at: now };
                state.subscription.answered(&mut state.contact, &poll, &tables.tables, draw);
                self.accept_tables(id, *tables);
                self.machines[id].state.contact.record_newest_configuration(sent.sent_at);
                0
            }
            PollAnswer::NotPrimary { hint } => {
                micros(state.subscription.redirected(&mut state.contact, &polled, hint, now))
            }
        };
        self.schedule_poll(id, delay);
    }

    fn accept_tables(&mut self, id: MachineId, answer: ChangedTables) {
        let state = &mut self.machines[id].state;
        let tables = state.tables.resolve_deltas(answer).expect("deltas apply to the current tables");
        let update = state.tables.apply(tables);
        assert!(update.rejected.is_none(), "a published configuration was rejected");
        if let Some(next) = update.next {
            state.swap_tables(next);
        }
    }

    /// Handles the timeout of a poll.
    pub fn time_out_poll(&mut self, id: MachineId, incarnation: u64, call: u64) {
        if !self.is_same_process(id, incarnation) {
            return;
        }
        let now = self.now();
        let state = &mut self.machines[id].state;
        let Some(SentPoll { address: polled, .. }) = state.poll.take_if(|poll| poll.call == call) else {
            return;
        };
        let delay = micros(state.subscription.failed(&mut state.contact, &polled, now));
        self.schedule_poll(id, delay);
    }

    /// Starts a direct read of the endpoint list at a process that has lost contact with the core, or whose primary has no current list.
    pub fn read_direct_list(&mut self, id: MachineId) {
        let now = self.now();
        let machine = &mut self.machines[id];
        let state = &mut machine.state;
        if state.direct_reads.is_due(&state.contact, &machine.limits, now) {
            self.request_list(id, None);
        }
    }

    /// Handles the endpoint list at the process that requested it.
    pub fn receive_list(
        &mut self,
        id: MachineId,
        for_primary: Option<Epoch>,
        requested_at: Time,
        list: Vec<Endpoint>,
    ) {
        let now = self.now();
        let machine = &mut self.machines[id];
        let state = &mut machine.state;
        match for_primary {
            Some(epoch) => {
                let serving = state.member.as_ref().and_then(|member| member.serving());
                if serving == Some(epoch) {
                    state.directory.replace(list, requested_at);
                }
            }
            None if lacks_current_list(&state.contact, &machine.limits, now) => {
                let next = state.tables.with_direct_list(list);
                state.swap_tables(next);
                self.audit.record_direct_list();
            }
            None => {}
        }
    }
}
