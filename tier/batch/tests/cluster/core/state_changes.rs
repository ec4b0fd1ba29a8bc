//! Changes of the control state at machines that consider themselves primary: polls of stores, and the planning of
//! views.

use super::Core;
use quillmount_control::ControlState;
use quillmount_control::polls::needs_admission;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, Time};
use quillmount_wire::messages::{DiskId, Poll};

/// Time after its election until a new primary has received a poll from every live store.
const LEASES_COMPLETE_AFTER: Time = 1_200 * MILLI;

impl Core {
    /// Handles a store's poll at a machine: renews the store's lease, and admits the store if it is new.
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

    /// Changes the control state at a machine that considers itself primary.
    pub fn change(
        &mut self,
        disk: DiskId,
        now: Time,
        random: &mut Random,
        change: impl FnOnce(&mut ControlState),
    ) {
        let submission = self.machines.get_mut(&disk).unwrap().member.change(change, now);
        if let Ok(submitted) = submission {
            self.perform(disk, submitted.actions, now, random);
        }
    }

    /// Plans the views at every machine that considers itself primary, by the leases that it has granted.
    pub fn plan(&mut self, now: Time, random: &mut Random) {
        for disk in self.serving(now) {
            let machine = &self.machines[&disk];
            let Some(state) = machine.member.committed() else { continue };
            if machine.member.time_as_primary(now) < LEASES_COMPLETE_AFTER
                || state.placement.stores.len() <= self.tolerated_failures
            {
                continue;
            }
            let inputs = machine.leases.plan_inputs(self.tolerated_failures, now);
            let plan = |state: &mut ControlState| {
                state.plan_shards(&inputs);
                state.placement.shards.truncate(1);
            };
            let mut planned = (*state).clone();
            plan(&mut planned);
            if planned != *state {
                self.change(disk, now, random, plan);
            }
        }
    }
}
