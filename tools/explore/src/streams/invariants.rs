//! Properties of the world of streams, by what endpoint, client and platform have seen.

use super::world::{START, StreamWorld, StreamedBody, TIME_LEFT};
use crate::case::DEBIT;
use crate::monitor::ANSWER_GRACE;
use crate::property::{Property, Violation, violated};
use quillmount_core::call::Call;
use quillmount_core::machine::attempt::AttemptState;
use quillmount_core::router::{RouterLoad, StreamEnd};

/// Streams that may be connecting or writing at once: half of the first window, and one at least.
const STREAM_SHARE: usize = 1;

impl StreamWorld {
    /// Properties of every state.
    pub(super) fn check_invariants(&self) -> Result<(), Violation> {
        let flowing = self.calls.values().filter(|call| is_flowing(call)).count();
        if flowing > STREAM_SHARE {
            return violated(
                Property::Unchanged,
                format!("{flowing} streams are on their way, over their share"),
            );
        }
        for body in &self.bodies {
            self.check_received(body)?;
            self.check_repeats(body)?;
            self.check_ends(body)?;
        }
        Ok(())
    }

    /// A body that looks complete to its endpoint is complete.
    fn check_received(&self, body: &StreamedBody) -> Result<(), Violation> {
        let length = self.case.body_length();
        for (attempt, received) in &body.received {
            let looks_complete = received.complete || (!self.case.chunked && received.units == length);
            let is_complete = body.intact && received.units == length;
            if looks_complete && !is_complete {
                return violated(
                    Property::Unchanged,
                    format!("{} units look whole to call {attempt}, and are not", received.units),
                );
            }
        }
        Ok(())
    }

    /// A debit of which a call may have run gets no further call, and is not deferred.
    fn check_repeats(&self, body: &StreamedBody) -> Result<(), Violation> {
        let mut may_have_run =
            body.received.iter().filter(|(_, received)| received.units > 0 && !received.never_ran);
        let Some((first, _)) = may_have_run.next().filter(|_| self.case.class == DEBIT) else {
            return Ok(());
        };
        let next = body.received.iter().find(|(attempt, _)| *attempt > first);
        if let Some((repeat, _)) = next.filter(|(_, received)| received.units > 0) {
            return violated(
                Property::NoRepeat,
                format!("call {repeat} of a debit that call {first} has had a part of"),
            );
        }
        if body.ends.iter().any(|end| matches!(end, StreamEnd::Deferred(_))) {
            return violated(Property::NoRepeat, format!("deferred, and call {first} has had a part of it"));
        }
        Ok(())
    }

    /// A message has one end, and has it in time.
    fn check_ends(&self, body: &StreamedBody) -> Result<(), Violation> {
        if body.ends.len() > 1 {
            return violated(Property::FinalAnswer, format!("more ends than one: {:?}", body.ends));
        }
        let is_open = body.message.is_some() && body.ends.is_empty() && body.answer.is_none();
        let is_overdue = self.now > START + TIME_LEFT + ANSWER_GRACE;
        if is_open && is_overdue && self.hub.router.notices(1).is_empty() {
            return violated(Property::FinalAnswer, "no end by its time".into());
        }
        Ok(())
    }

    /// Checks a state in which nothing but a kill can happen any more: every message has one end, and every table is empty.
    pub(super) fn check_quiescent(&self) -> Result<(), Violation> {
        let RouterLoad { owed, in_flight: outstanding } = self.hub.router.load();
        let calls = self.hub.pool.load().calls;
        let have_one_end = self.bodies.iter().all(|body| body.ends.len() == 1);
        match (owed, outstanding, calls, have_one_end) {
            (0, 0, 0, true) => Ok(()),
            left => violated(Property::Liveness, format!("owed, out, in the pool, one end each: {left:?}")),
        }
    }
}

/// Whether a call connects, or writes its body.
fn is_flowing(call: &Call<u32>) -> bool {
    matches!(call.state(), AttemptState::Connecting | AttemptState::Writing { .. })
}
