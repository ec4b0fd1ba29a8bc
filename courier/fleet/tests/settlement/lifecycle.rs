//! The loss, takeover, restart and drain of couriers in the modelled fleet.

use crate::event::{LogEntry, WorldEvent};
use crate::world::{Micros, ProcessState, World};
use quillmount_fleet::settlement::{JournalRef, OwnerInput};

impl World {
    /// Kills or pauses the process of a courier.
    pub fn lose(&mut self, index: usize, process: ProcessState) {
        self.couriers[index].process = process;
        if process == ProcessState::Dead {
            for observed in self.observations.values_mut() {
                observed.sessions.retain(|session, _| session.courier != index);
            }
            self.in_flight.retain(|in_flight| {
                !in_flight.event.belongs_to(index)
                    || matches!(in_flight.event, WorldEvent::DropSession { .. })
            });
        }
        self.resubmit_pending_requests(index);
    }

    /// The lease of a courier has expired: its journal is sealed, and the other couriers take over its settlements.
    pub fn take_over(&mut self, index: usize) {
        let journal = self.journal_of(index);
        self.journals.get_mut(&journal).unwrap().is_sealed = true;
        self.couriers[index].is_taken_over = true;
        // Messages to a courier that has not answered for the whole lease time are dropped.
        self.in_flight
            .retain(|in_flight| !matches!(in_flight.event, WorldEvent::Message { to, .. } if to == index));
        let others =
            (0..self.couriers.len()).filter(|other| *other != index && !self.couriers[*other].is_taken_over);
        let successors = others.map(|other| self.journal_of(other)).collect();
        self.append(LogEntry::CourierGone { journal, successors });
    }

    /// Restarts a courier with an empty memory under a new registration.
    pub fn restart(&mut self, index: usize) {
        self.lose(index, ProcessState::Dead);
        if !self.couriers[index].is_taken_over {
            self.take_over(index);
        }
        let epoch = self.couriers[index].epoch + 1;
        self.couriers[index] = self.register(index, epoch);
        self.pinned.retain(|(courier, _), _| *courier != index);
    }

    /// Drains a courier: until `graceful_until` its settlements move only at boundaries, afterwards immediately.
    pub fn drain(&mut self, index: usize, graceful_until: Micros) {
        let others =
            (0..self.couriers.len()).filter(|other| *other != index && self.couriers[*other].is_up());
        let successors: Vec<JournalRef> = others.map(|other| self.journal_of(other)).collect();
        self.step_owned(index, OwnerInput::Drain { successors, graceful_until });
    }
}
