//! Properties of the courier's own tables, beside those that the monitor sees from outside.

use crate::property::{Property, Violation, violated};
use crate::world::state::World;
use quillmount_core::call::Call;
use quillmount_core::machine::attempt::AttemptState;
use quillmount_core::router::RouterLoad;

impl World {
    /// Properties of every state, beyond what the monitor sees from outside.
    pub(super) fn check_invariants(&self) -> Result<(), Violation> {
        if !self.is_up() {
            return Ok(());
        }
        let pending = self.hub.router.owed().filter(|owed| owed.end.is_none()).count();
        if pending > self.case.open_cap as usize {
            return violated(Property::Unchanged, format!("{pending} messages are held"));
        }
        let calls = self.hub.pool.load().calls;
        let counted = self.calls.values().filter(|outstanding| uses_connection(&outstanding.call)).count();
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
        let unanswered = self.monitor.messages.iter().position(|message| message.is_unanswered());
        if let Some(index) = unanswered {
            return violated(
                Property::Liveness,
                format!("m{index} has no end, and nothing can happen any more"),
            );
        }
        let RouterLoad { owed, in_flight: outstanding } = self.hub.router.load();
        let calls = self.hub.pool.load().calls;
        let left = [("owed", owed), ("calls", outstanding), ("attempts", self.calls.len()), ("pool", calls)];
        match left.into_iter().find(|(_, count)| *count > 0) {
            Some((table, count)) => {
                violated(Property::Liveness, format!("{count} left in the table of {table} at rest"))
            }
            None => Ok(()),
        }
    }
}

/// Whether a call has a connection, or connects.
fn uses_connection(call: &Call<u32>) -> bool {
    call.connection().is_some() || call.state() == AttemptState::Connecting
}
