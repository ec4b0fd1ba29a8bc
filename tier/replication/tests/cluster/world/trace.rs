//! Trace of the actions of the members, for the digests of seeded runs. Labels and numbers are part of the digests.

use super::World;
use quillmount_replication::RegisterAction;
use quillmount_test_support::register::trace_label;
use quillmount_test_support::simulation::Simulation;
use quillmount_wire::messages::DiskId;

impl World {
    /// Adds an action of a member to the trace.
    pub(super) fn count(&mut self, disk: DiskId, action: &RegisterAction) {
        let now = self.now();
        match action {
            RegisterAction::Send { to, message } => {
                let (label, epoch) = trace_label(message);
                self.counts.count(label, &[now, disk, *to, epoch]);
            }
            RegisterAction::Persist { register, then } => {
                let payload = register.accepted.as_ref().map_or(0, |accepted| accepted.value.payload.len());
                self.counts.count("writes", &[now, disk, payload as u64, then.len() as u64]);
            }
            RegisterAction::Committed { accepted } => {
                self.counts.count("commits", &[now, disk, accepted.epoch, accepted.sequence]);
            }
            RegisterAction::Elected { epoch } => self.counts.count("elections", &[now, disk, *epoch]),
            RegisterAction::SteppedDown => self.counts.count("step_downs", &[now, disk]),
            RegisterAction::ReadConfirmed { read } => {
                self.counts.count("reads_confirmed", &[now, disk, *read]);
            }
        }
    }
}
