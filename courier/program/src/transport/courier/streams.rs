//! Streamed submissions: what happens to a stream's client or body goes to the router, and its answers to the pipes.

use super::Courier;
use crate::transport::journal_file::JournalFile;
use crate::transport::streams::{Pipe, StreamFailure, StreamRules};
use quillmount_core::flow::{Cut, Flow};
use quillmount_core::router::{Intake, Router, RouterAction};
use quillmount_core::{CallId, StreamHead, Submission};
use quillmount_policy::MsgId;
use std::rc::Rc;

impl Courier {
    /// Submits a stream whose head has come; its body is read once a call has begun.
    ///
    /// # Errors
    /// It is not accepted: the intake says why.
    pub fn submit_stream(
        self: &Rc<Self>,
        submission: Submission,
        head: StreamHead,
        rules: &StreamRules,
    ) -> Result<Rc<Pipe>, Intake> {
        let now = self.clock.now();
        let (intake, msg, actions) = self.handle.hub.borrow_mut().submit_stream(submission, now);
        let flow = Flow::new(rules.window, head.length, rules.client, rules.endpoint, now);
        let pipe = Pipe::new(msg, head, flow, self.streams.clone());
        if intake == Intake::Accepted {
            self.pipes.borrow_mut().insert(msg, pipe.clone());
        }
        self.carry_out(actions);
        if intake == Intake::Accepted { Ok(pipe) } else { Err(intake) }
    }

    /// A stream does not go on.
    pub fn stream_fails(self: &Rc<Self>, pipe: &Pipe, why: StreamFailure) {
        match why {
            StreamFailure::Cut(why) => self.stream_cut(pipe, why),
            StreamFailure::Unbegun => {
                self.step_stream(|router| router.stream_unbegun(pipe.msg, self.clock.now()));
            }
        }
    }

    /// A stream's body will never be complete.
    fn stream_cut(self: &Rc<Self>, pipe: &Pipe, why: Cut) {
        let now = self.clock.now();
        pipe.cut(why, now);
        self.step_stream(|router| router.stream_cut(pipe.msg, Some(why), now));
    }

    /// The process ends: streams in flight get the end that is true of them by now.
    pub fn end_streams(self: &Rc<Self>) {
        let now = self.clock.now();
        let pipes: Vec<_> = self.pipes.borrow().values().cloned().collect();
        for pipe in pipes {
            pipe.cut(Cut::Gone, now);
            self.step_stream(|router| router.stream_cut(pipe.msg, None, now));
        }
    }

    /// The last byte of a stream's call has left.
    pub(super) fn stream_written(self: &Rc<Self>, call: CallId) {
        let now = self.clock.now();
        self.step_stream(|router| router.stream_written(call, now));
    }

    /// A stream's client was answered; `received` is false where it could not be.
    pub fn stream_answered(self: &Rc<Self>, msg: MsgId, received: bool) {
        let now = self.clock.now();
        self.pipes.borrow_mut().remove(&msg);
        self.step_stream(|router| router.answered(msg, received, now));
    }

    /// The connection of a stream's client has ended before its answer.
    pub fn stream_lost(self: &Rc<Self>, msg: MsgId) {
        if self.handle.lifecycle().has_ended() {
            return;
        }
        let pipe = self.pipes.borrow().get(&msg).cloned();
        if let Some(pipe) = pipe {
            self.stream_cut(&pipe, Cut::Gone);
        }
        self.stream_answered(msg, false);
    }

    fn step_stream(self: &Rc<Self>, act: impl FnOnce(&mut Router<JournalFile>) -> Vec<RouterAction>) {
        let actions = self.handle.hub.borrow_mut().stream(act, self.clock.now());
        self.carry_out(actions);
    }
}
