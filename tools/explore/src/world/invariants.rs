//! Properties of the courier's own tables, beside those that the monitor sees from outside.

use crate::monitor::Acceptance;
use crate::property::{Property, Violation, violated};
use crate::world::state::World;
use quillmount_core::machine::attempt::AttemptState;

impl World {
    /// Properties of every state, beyond what the monitor sees from outside.
    pub(super) fn check_invariants(&self) -> Result<(), Violation> {
        if !self.is_up() {
            return Ok(());
        }
        let pending = self.hub.router.owed().filter(|(.., end)| end.is_none()).count();
        if pending > self.case.open_cap as usize {
            return violated(Property::Unchanged, format!("{pending} messages are held"));
        }
        let (calls, _) = self.hub.pool.load();
        let counted = self
            .calls
            .values()
            .filter(|o| o.call.connection().is_some() || o.call.state() == AttemptState::Connecting)
            .count();
        if calls != counted {
            return violated(Property::Unchanged, format!("the pool counts {calls} calls of {counted}"));
        }
        Ok(())
    }

    /// Checks a state in which nothing can happen any more: every message has ended and every table is empty.
    ///
    /// # Errors
    /// Something is left.
    pub fn check_quiescent(&self) -> Result<(), Violation> {
        let (owed, out) = self.hub.router.load();
        let open =
            self.monitor.messages.iter().position(|m| m.acceptance == Acceptance::Heard && !m.is_final());
        if let Some(n) = open {
            return violated(Property::Liveness, format!("m{n} has no end, and nothing can happen any more"));
        }
        let (calls, _) = self.hub.pool.load();
        let left = [("owed", owed), ("calls", out), ("attempts", self.calls.len()), ("pool", calls)];
        match left.into_iter().find(|(_, n)| *n > 0) {
            Some((what, n)) => {
                violated(Property::Liveness, format!("{n} left in the table of {what} at rest"))
            }
            None => Ok(()),
        }
    }
}
