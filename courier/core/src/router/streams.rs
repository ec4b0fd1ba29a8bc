//! Messages whose body is passed on as it comes.

use super::*;

/// The final answer to a streamed submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEnd {
    Delivered,
    /// Nothing has run; the client may come again, after so long.
    Deferred(Micros),
    /// With no promise about its effect.
    Failed,
    /// The client itself did not bring it whole.
    Cut(Cut),
}

/// What streams may take of a courier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamLimits {
    /// Streams at once.
    pub most: usize,
    /// Their part of the slots, and of each destination's window; one of each at least.
    pub part_of_slots: f64,
    pub part_of_window: f64,
}

/// What is known of a message whose body is passed on as it comes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct Stream {
    /// A part of its body is gone: no attempt can have all of it any more.
    pub(super) committed: bool,
    /// An attempt may have run, or may yet.
    pub(super) may_have_run: bool,
    pub(super) cut: Option<Cut>,
    /// No other attempt is wanted: its body is lost, or the process ends.
    pub(super) finished: bool,
    /// Its client can't be answered any more, or has gone with another life: the platform is told.
    pub(super) unanswerable: bool,
}

impl Stream {
    /// How it ends if it is not delivered.
    pub(super) fn ending(&self) -> Ending {
        if self.may_have_run { Ending::Undeliverable } else { Ending::Deferred(OVERLOAD_RETRY_AFTER) }
    }
}

impl<S: Store> Router<S> {
    /// A client begins to hand in a submission whose body is passed on as it comes. Its end comes as
    /// [`Step::Answer`]; the number is the message's, where it is taken on.
    pub fn submit_stream(
        &mut self,
        submission: Submission,
        now: Micros,
    ) -> (Intake, MsgId, Vec<RouterAction>) {
        let msg = self.next;
        let (intake, actions) = self.submit_message(submission, true, now);
        self.counters.streams += u64::from(intake == Intake::Accepted);
        (intake, msg, actions)
    }

    /// A call of a stream is over, and the message is not delivered: without its whole body, or with an end
    /// that was only waiting for this call, the module has nothing to decide any more.
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

    /// The last byte of a stream's call has left: its time at the destination begins.
    pub fn stream_written(&mut self, call: CallId, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        if let Some(out) = self.out.get_mut(&call) {
            out.written = Some(now);
            let instructions = self.policy.written(now, call.msg, call.attempt);
            self.carry_out(instructions, now, &mut actions);
        }
        actions
    }

    /// A part of a stream's body is gone: it has no other attempt.
    pub fn stream_committed(&mut self, msg: MsgId) {
        if let Some(stream) = self.owed.get_mut(&msg).and_then(|owed| owed.stream.as_mut()) {
            stream.committed = true;
        }
    }

    /// No call of a stream has begun in time for its client: it is turned away, unless one is out.
    pub fn stream_unbegun(&mut self, msg: MsgId, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let open = self.owed.get(&msg).is_some_and(|owed| owed.stream.is_some() && owed.end.is_none());
        if open && !self.is_out(msg) {
            self.end_stream(msg, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// A stream without a call that is out gets the end that is true of it, and the module forgets it.
    fn end_stream(&mut self, msg: MsgId, now: Micros, actions: &mut Vec<RouterAction>) {
        let Some(stream) = self.owed.get(&msg).and_then(|owed| owed.stream) else { return };
        self.end(msg, stream.ending(), now, actions);
        let instructions = self.policy.ended(now, msg);
        self.carry_out(instructions, now, actions);
    }

    /// A stream's body will never be whole, or the process ends (`None`): its call is given up, and its end
    /// follows.
    pub fn stream_cut(&mut self, msg: MsgId, why: Option<Cut>, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let out = self.is_out(msg);
        let Some(owed) = self.owed.get_mut(&msg).filter(|owed| owed.end.is_none()) else { return actions };
        let Some(stream) = owed.stream.as_mut() else { return actions };
        (stream.cut, stream.finished) = (stream.cut.or(why), true);
        self.counters.streams_cut += 1;
        if out {
            let calls = self.out.range(calls_of(msg));
            actions.extend(calls.map(|(_, out)| RouterAction::Ended(out.lead)));
        } else {
            self.end_stream(msg, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// A stream's client was answered on its connection, or can't be: then the platform is told.
    pub fn answered(&mut self, msg: MsgId, list_received: bool, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let Some(owed) = self.owed.get_mut(&msg) else { return actions };
        if let Some(stream) = &mut owed.stream {
            stream.unanswerable |= !list_received && !breaks::is_enabled(Break::ForgetDisconnected);
        }
        match owed.end {
            Some(ending) if list_received => {
                self.write(&JournalRecord::Confirmed { msg }, now);
                self.finish(msg, ending.into());
            }
            Some(_) if !self.notices.contains(msg) && !self.unwritten.contains(msg) => {
                self.notices.push_back(msg);
                actions.push(RouterAction::Notify);
            }
            _ => {}
        }
        self.drain_notes(&mut actions);
        actions
    }
}
