//! Events of streamed messages, whose body is forwarded while it arrives.

use super::{Router, RouterAction};
use crate::CallId;
use crate::flow::Cut;
use crate::journal::JournalRecord;
use crate::store::Store;
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};

impl<S: Store> Router<S> {
    /// Handles the sending of the last byte of a stream's call: the time at the destination is measured from now on.
    pub fn stream_written(&mut self, call: CallId, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        if let Some(message) = self.outstanding.get_mut(call) {
            message.written_at = Some(now);
            let instructions = self.policy.written(now, call.msg, call.attempt);
            self.carry_out(instructions, now, &mut actions);
        }
        actions
    }

    /// Handles the loss of a part of a stream's buffered body: the message gets no further attempt.
    pub fn stream_committed(&mut self, msg: MsgId) {
        if let Some(stream) = self.owed.get_mut(&msg).and_then(|owed| owed.stream.as_mut()) {
            stream.committed = true;
        }
    }

    /// Handles a stream for which no call has started within its client's waiting time: the message is rejected,
    /// unless a call is in flight.
    pub fn stream_unbegun(&mut self, msg: MsgId, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let is_open = self.owed.get(&msg).is_some_and(|owed| owed.stream.is_some() && owed.end.is_none());
        if is_open && !self.outstanding.is_in_flight(msg) {
            self.end_stream(msg, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// Handles a stream whose body will never be complete, or which is cut off because the process is shutting down
    /// (`None`). Its call is cancelled, and its end follows.
    pub fn stream_cut(&mut self, msg: MsgId, cut: Option<Cut>, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(owed) = self.owed.get_mut(&msg).filter(|owed| owed.end.is_none()) else { return actions };
        let Some(stream) = owed.stream.as_mut() else { return actions };
        stream.cut = stream.cut.or(cut);
        stream.finished = true;
        self.counters.streams_cut += 1;
        if self.outstanding.is_in_flight(msg) {
            actions.extend(self.outstanding.calls_with(msg).map(RouterAction::Ended));
        } else {
            self.end_stream(msg, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// Handles the final answer of a stream having been sent to its client. If the client has not `received` it, the
    /// platform gets a notice.
    pub fn answered(&mut self, msg: MsgId, received: bool, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(owed) = self.owed.get_mut(&msg) else { return actions };
        if let Some(stream) = &mut owed.stream {
            stream.unanswerable |= !received && !breaks::is_enabled(Break::ForgetDisconnected);
        }
        match owed.end {
            Some(ending) if received => {
                self.write(&JournalRecord::Confirmed { msg }, now);
                self.remove_owed(msg, ending.into());
            }
            Some(_) if !self.notices.contains(msg) && !self.unwritten.contains(msg) => {
                self.add_notice(msg, &mut actions);
            }
            _ => {}
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// Handles the end of a call that did not deliver its message. If the message is a stream without further attempts,
    /// because part of its body was dropped or it was cut, it ends now.
    pub(super) fn stream_call_ended(
        &mut self,
        msg: MsgId,
        never_ran: bool,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(stream) = self.owed.get_mut(&msg).and_then(|owed| owed.stream.as_mut()) else { return };
        stream.may_have_run |= !never_ran;
        if (stream.committed && !breaks::is_enabled(Break::RetryAfterCommit)) || stream.finished {
            let ending = stream.ending();
            self.end(msg, ending, now, actions);
        }
    }

    /// Ends a stream without a call in flight and removes it from the policy.
    fn end_stream(&mut self, msg: MsgId, now: Micros, actions: &mut Vec<RouterAction>) {
        let Some(stream) = self.owed.get(&msg).and_then(|owed| owed.stream) else { return };
        self.end(msg, stream.ending(), now, actions);
        let instructions = self.policy.ended(now, msg);
        self.carry_out(instructions, now, actions);
    }
}
