//! Polling by all processes, and relaying of polls by couriers.

use crate::answers::PollAnswer;
use crate::machine::{MachineId, SentPoll, address, machine_at};
use crate::world::{Event, Message, SEEDS, World};
use quillmount_control::subscription::{AnsweredPoll, MAX_POLL_WAIT, POLL_TIMEOUT, core_addresses};
use quillmount_test_support::simulation::{Simulation, Time};
use quillmount_wire::messages::{ChangedTables, Poll};
use std::rc::Rc;
use std::time::Duration;

/// Upper bound of the random draws that a subscription uses.
const DRAW_BOUND: u64 = 1_000;

fn micros(duration: Duration) -> Time {
    duration.as_micros() as Time
}

impl World {
    /// Sends the next poll of a machine, unless one is in flight.
    pub fn send_poll(&mut self, id: MachineId) {
        if self.machines[id].state.poll.is_some() {
            return;
        }
        let now = self.now();
        let call = self.next_call();
        let machine = &mut self.machines[id];
        let state = &mut machine.state;
        let contact = state.contact.clone();
        let addresses = || {
            let members = state.tables.placement.core.iter().map(|member| member.internal.clone());
            core_addresses(&contact, members, (0..SEEDS).map(address).collect(), &address(id))
        };
        let Some(next) = state.subscription.next_address(&contact, addresses, now) else { return };
        state.poll = Some(SentPoll { call, address: next.clone(), sent_at: now });
        let poll = Rc::new(machine.poll(MAX_POLL_WAIT.as_millis() as u64));
        let bytes = machine.poll_bytes;
        self.schedule(now + micros(POLL_TIMEOUT), Event::PollTimeout { to: id, call });
        if let Some(to) = machine_at(&next) {
            self.send(id, to, bytes, Message::Poll { path: vec![id], call, poll });
        }
    }

    /// Relays a poll to the primary if it is known. A relayed poll is not relayed again.
    pub fn relay_poll(&mut self, path: Vec<MachineId>, id: MachineId, call: u64, poll: &Poll) {
        let now = self.now();
        let contact = &self.machines[id].state.contact;
        let primary = contact.primary().and_then(machine_at);
        let may_relay = !poll.relayed && contact.has_recent_primary(now);
        let Some(primary) = primary.filter(|_| may_relay) else {
            return self.redirect_poll(id, path, call, None);
        };
        let bytes = self.machines[path[0]].poll_bytes;
        let path = path.into_iter().chain([id]).collect();
        let poll = Rc::new(Poll { relayed: true, ..poll.clone() });
        self.send(id, primary, bytes, Message::Poll { path, call, poll });
    }

    /// Handles a response at the last machine of its path: the sender of the poll, or a relay that forwards it.
    pub fn receive_answer(&mut self, mut path: Vec<MachineId>, call: u64, bytes: usize, answer: PollAnswer) {
        let Some(id) = path.pop() else { return };
        if !path.is_empty() {
            // A relay that could not reach the primary answers the poll with a redirect without a hint.
            return match answer {
                PollAnswer::Refused => self.redirect_poll(id, path, call, None),
                PollAnswer::Tables(_) | PollAnswer::Busy | PollAnswer::NotPrimary { .. } => {
                    self.send_answer(id, path, call, bytes, answer);
                }
            };
        }
        let now = self.now();
        let draw = self.random.below(DRAW_BOUND);
        let state = &mut self.machines[id].state;
        let Some(sent) = state.poll.take_if(|poll| poll.call == call) else { return };
        let delay = match answer {
            PollAnswer::Tables(tables) => {
                let poll = AnsweredPoll { address: &sent.address, sent_at: sent.sent_at, answered_at: now };
                state.subscription.answered(&mut state.contact, &poll, &tables.tables, draw);
                self.accept_tables(id, *tables);
                0
            }
            PollAnswer::Busy => {
                state.contact.record_busy(&sent.address, now);
                0
            }
            PollAnswer::NotPrimary { hint } => {
                micros(state.subscription.redirected(&mut state.contact, &sent.address, hint, now))
            }
            PollAnswer::Refused => micros(state.subscription.failed(&mut state.contact, &sent.address, now)),
        };
        self.schedule(now + delay, Event::NextPoll { to: id });
    }

    fn accept_tables(&mut self, id: MachineId, answer: ChangedTables) {
        let state = &mut self.machines[id].state;
        let tables = state.tables.resolve_deltas(answer).expect("deltas apply to the current tables");
        let update = state.tables.apply(tables);
        assert!(update.rejected.is_none(), "a published configuration was rejected");
        if let Some(next) = update.next {
            state.tables = next;
            self.record_tables(id);
        }
    }

    /// Handles the timeout of a poll.
    pub fn time_out_poll(&mut self, id: MachineId, call: u64) {
        let now = self.now();
        let state = &mut self.machines[id].state;
        let Some(sent) = state.poll.take_if(|poll| poll.call == call) else { return };
        let delay = micros(state.subscription.failed(&mut state.contact, &sent.address, now));
        self.schedule(now + delay, Event::NextPoll { to: id });
    }
}
