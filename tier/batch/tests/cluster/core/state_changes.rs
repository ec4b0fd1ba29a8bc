//! What changes the control state at machines that consider themselves primary: polls of stores, and the planning of views.

use super::Core;
use quillmount_control::ControlState;
use quillmount_control::polls::needs_admission;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, Time};
use quillmount_wire::messages::{DiskId, Poll};

/// A new primary knows who is alive after this time.
const LEASES_KNOWN: Time = 1_200 * MILLI;

impl Core {
    /// A store polls this machine: its lease is renewed, and it is admitted if it is new.
    pub fn poll(&mut self, disk: DiskId, poll: &Poll, now: Time, random: &mut Random) {
        let Some(machine) = self.machines.get_mut(&disk) else { return };
        let Some(state) = machine.member.committed() else { return };
        machine.leases.renew(poll, now);
        if needs_admission(&state, poll) {
            self.change(disk, now, random, |state| {
                state.admit_store(&poll.node);
            });
        }
    }

    /// Changes the state at a machine that considers itself primary.
    pub fn change(
        &mut self,
        disk: DiskId,
        now: Time,
        random: &mut Random,
        change: impl FnOnce(&mut ControlState),
    ) {
        let begun = self.machines.get_mut(&disk).unwrap().member.change(change, now);
        if let Ok(submitted) = begun {
            self.perform(disk, submitted.actions, now, random);
        }
    }

    /// Every machine that considers itself primary plans the views by the leases that it knows.
    pub fn plan(&mut self, now: Time, random: &mut Random) {
        for disk in self.serving(now) {
            let machine = &self.machines[&disk];
            let Some(state) = machine.member.committed() else { continue };
            if machine.member.time_as_primary(now) < LEASES_KNOWN
                || state.placement.stores.len() <= self.tolerated_failures
            {
                continue;
            }
            let inputs = machine.leases.plan_inputs(self.tolerated_failures, now);
            let plan = |state: &mut ControlState| {
                state.plan_shards(&inputs);
                state.placement.shards.truncate(1);
            };
            let mut trial = (*state).clone();
            plan(&mut trial);
            if trial != *state {
                self.change(disk, now, random, plan);
            }
        }
    }
}
