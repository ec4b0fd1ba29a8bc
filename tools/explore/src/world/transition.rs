//! One transition: an action, with or without a kill in the middle of it, and the checks of its outcome.

use crate::action::{Action, Answer, CrashPoint, Transition, WriteExtent};
use crate::monitor::ObservedMessage;
use crate::property::Violation;
use crate::world::state::{START, World};
use quillmount_core::machine::attempt::AttemptInput;
use quillmount_core::store::Fault;
use quillmount_policy::{EndpointState, Micros};

/// Bytes of a torn write that reach the store.
const TORN_BYTES: usize = 5;

impl World {
    /// Carries out one transition, and checks every property afterwards.
    ///
    /// # Errors
    /// A property that does not hold any more.
    pub fn apply(&mut self, transition: Transition) -> Result<(), Violation> {
        self.hub.router.reseed(self.case.seed);
        let fault = match transition.crash {
            Some(CrashPoint { after, torn }) => {
                Fault::Crash { after, bytes: if torn { TORN_BYTES } else { 0 } }
            }
            None if self.disk_full => Fault::Full { after: 0 },
            None => Fault::None,
        };
        self.hub.router.journal_mut().store_mut().set_fault(fault);
        self.crashing = transition.crash.is_some();
        if !is_benign(transition.action) || transition.crash.is_some() {
            self.faults += 1;
        }
        self.perform(transition.action)?;
        if self.crashing {
            self.crash()?;
        }
        self.retain_live_connections();
        self.monitor.check(self.now)?;
        self.check_invariants()
    }

    fn perform(&mut self, action: Action) -> Result<(), Violation> {
        match action {
            Action::Submit { class, dest } => self.submit(class, dest, self.monitor.messages.len() as u64),
            Action::SubmitSameKey { message } => {
                let ObservedMessage { class, dest, key, .. } = self.monitor.messages[message as usize];
                self.submit(class, dest, key)
            }
            Action::Resubmit { message } => self.resubmit(message as usize),
            Action::Connected(call_ref) => self.connected(call_ref),
            Action::Refused(call_ref) => self.input(call_ref, AttemptInput::Refused),
            Action::Write(call_ref, extent) => self.write(call_ref, extent),
            Action::Answer(call_ref, answer) => self.answer(call_ref, answer),
            Action::AnswerArrived(call_ref, answer) => self.answer_arrives(call_ref, answer),
            Action::ReadAnswer(call_ref) => self.read(call_ref),
            Action::EndpointClosed(call_ref) => self.input(call_ref, AttemptInput::PeerClosed),
            Action::Reset(call_ref) => self.input(call_ref, AttemptInput::Reset),
            Action::Deadline(call_ref) => self.input(call_ref, AttemptInput::Deadline),
            Action::CallTick(call_ref) => self.input(call_ref, AttemptInput::Tick),
            Action::Tick => self.tick(),
            Action::EndpointDraining(index) => self.change_endpoint(index, EndpointState::Draining),
            Action::EndpointGone(index) => self.change_endpoint(index, EndpointState::Gone),
            Action::EndpointReady(index) => self.change_endpoint(index, EndpointState::Ready),
            Action::EndpointReplaced(index) => self.replace_endpoint(index),
            Action::FullList => self.send_list(true),
            Action::WatchBreak => self.break_watch(),
            Action::WatchTick => self.resume_watch(),
            Action::SendNotices => self.send_notices(),
            Action::Confirmed => self.confirm_notices(),
            Action::NoticesLost { received } => self.lose_notices(received),
            Action::NoticeTick => self.notice_tick(),
            Action::ConfirmedTwice => self.confirm_notices_twice(),
            Action::IdleClosed(endpoint) => self.close_idle(endpoint),
            Action::DiskFull => self.set_disk_full(true),
            Action::DiskFree => self.set_disk_full(false),
            Action::Term => self.terminate(),
            Action::Exit | Action::Kill => self.crash(),
            Action::Start => self.start(),
            Action::AdvanceClock { to } => self.advance_clock(to),
        }
    }

    fn tick(&mut self) -> Result<(), Violation> {
        let actions = self.hub.tick(self.now);
        self.execute(actions)
    }

    fn set_disk_full(&mut self, full: bool) -> Result<(), Violation> {
        self.disk_full = full;
        Ok(())
    }

    fn advance_clock(&mut self, to: Micros) -> Result<(), Violation> {
        self.now = START + to;
        Ok(())
    }
}

/// Whether the action is no fault: it also happens in a world in which nothing fails.
pub fn is_benign(action: Action) -> bool {
    matches!(
        action,
        Action::Submit { .. }
            | Action::Connected(_)
            | Action::Write(_, WriteExtent::Complete)
            | Action::Answer(_, Answer::Ok)
            | Action::ReadAnswer(_)
            | Action::EndpointClosed(_)
            | Action::Deadline(_)
            | Action::CallTick(_)
            | Action::Tick
            | Action::WatchTick
            | Action::SendNotices
            | Action::Confirmed
            | Action::NoticeTick
            | Action::DiskFree
            | Action::Exit
            | Action::Start
            | Action::AdvanceClock { .. }
    )
}
