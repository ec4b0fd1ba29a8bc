//! Trace of the members' actions for the digests of seeded runs. Labels and numbers are part of the digests, so a
//! change of either changes the digests.

use super::World;
use quillmount_control::MemberAction;
use quillmount_test_support::register::trace_label;
use quillmount_test_support::simulation::Simulation;
use quillmount_wire::messages::DiskId;

impl World {
    /// Adds an action of a member to the trace.
    pub(super) fn count(&mut self, disk: DiskId, action: &MemberAction) {
        let now = self.now();
        match action {
            MemberAction::Send { to, message } => {
                let (label, epoch) = trace_label(message);
                self.counts.count(label, &[now, disk, *to, epoch]);
            }
            MemberAction::Persist { register, .. } => {
                let payload = register.accepted.as_ref().map_or(0, |accepted| accepted.value.payload.len());
                self.counts.count("writes", &[now, disk, payload as u64]);
            }
            MemberAction::Confirmed { ticket } => {
                self.counts.count("confirmed", &[now, disk, ticket.number()]);
            }
            MemberAction::Uncertain { ticket } => {
                self.counts.count("uncertain", &[now, disk, ticket.number()]);
            }
            MemberAction::Elected { epoch } => self.counts.count("elections", &[now, disk, *epoch]),
            MemberAction::SteppedDown => self.counts.count("step_downs", &[now, disk]),
            MemberAction::StateChanged => {
                let version = self.machines[&disk].member.committed().map_or(0, |state| state.version);
                self.counts.count("commits", &[now, disk, version]);
            }
            MemberAction::Accepted => self.counts.count("accepted_values", &[now, disk]),
        }
    }
}
