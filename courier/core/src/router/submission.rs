//! Admission of submitted messages.

use super::owed::{OwedMessage, accepted_message};
use super::stream::{OVERLOAD_RETRY_AFTER, Stream};
use super::{Intake, Router, RouterAction};
use crate::journal::{End, JournalRecord};
use crate::note::Note;
use crate::store::Store;
use crate::{Ending, MessagePayload, Submission};
use quillmount_policy::Micros;
use quillmount_policy::MsgId;
use quillmount_policy::breaks::{self, Break};
use std::sync::Arc;

/// The retry delay in a rejection by a courier that is shutting down, in microseconds. After this time the front routes
/// clients only to other couriers.
const STOPPING_RETRY_AFTER: Micros = 500_000;
/// The retry delay in a rejection for a destination that the endpoint list of an earlier process lacks, in
/// microseconds.
const OUTDATED_LIST_RETRY_AFTER: Micros = 500_000;

impl<S: Store> Router<S> {
    /// Processes a submission; returns the answer to the client.
    pub fn submit(&mut self, submission: Submission, now: Micros) -> (Intake, Vec<RouterAction>) {
        self.submit_message(submission, false, now)
    }

    /// Processes the head of a submission whose body is forwarded while it arrives.
    ///
    /// The message's end is reported as [`RouterAction::Answer`]. The returned number identifies the message if it is
    /// accepted.
    pub fn submit_stream(
        &mut self,
        submission: Submission,
        now: Micros,
    ) -> (Intake, MsgId, Vec<RouterAction>) {
        let msg = self.next_message;
        let (intake, actions) = self.submit_message(submission, true, now);
        self.counters.streams += u64::from(intake == Intake::Accepted);
        (intake, msg, actions)
    }

    /// Whether a message with this id is owed, unsettled or remembered as ended.
    pub fn is_known(&self, id: &str) -> bool {
        self.ids.contains_key(id) || self.ended.get(id).is_some()
    }

    /// The answer to submissions with this class and destination if they can never be accepted, otherwise `None`.
    pub fn permanent_rejection(&self, class: &str, dest: u64) -> Option<Intake> {
        if self.class_number(class).is_none() {
            return Some(Intake::UnknownClass);
        }
        (self.list_received && !self.endpoints.has_dest(dest)).then_some(Intake::UnknownDest)
    }

    /// The number of a class under the current settings.
    pub(super) fn class_number(&self, class: &str) -> Option<usize> {
        self.config.classes.iter().position(|name| name == class)
    }

    fn submit_message(
        &mut self,
        submission: Submission,
        stream: bool,
        now: Micros,
    ) -> (Intake, Vec<RouterAction>) {
        let mut actions = Vec::new();
        let intake = self.intake(submission, stream, now, &mut actions);
        self.drain_notes(&mut actions);
        match intake {
            Intake::Accepted => self.counters.taken_on += 1,
            Intake::Delivered => self.counters.repeated += 1,
            Intake::Rejected { .. } => self.counters.rejected += 1,
            Intake::Failed | Intake::Open | Intake::UnknownClass | Intake::UnknownDest => {
                self.counters.malformed += 1;
            }
        }
        (intake, actions)
    }

    fn intake(
        &mut self,
        submission: Submission,
        stream: bool,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> Intake {
        self.forget_ended(now);
        let Some(class) = self.class_number(&submission.class) else { return Intake::UnknownClass };
        let rejection =
            self.duplicate(&submission.id).or_else(|| self.rejection(submission.dest, stream, now));
        if let Some(intake) = rejection {
            return intake;
        }
        let msg = match self.accept(submission, class, stream, now, actions) {
            Ok(msg) => msg,
            Err(intake) => return intake,
        };
        let rejected = self.rejected_at_once(msg, now);
        rejected.map_or(Intake::Accepted, |after| Intake::Rejected { after })
    }

    /// The answer to a submission whose id is already known, otherwise `None`. Each message has its own id, so an
    /// end that is reported under an id must belong to that message.
    fn duplicate(&self, id: &str) -> Option<Intake> {
        let existing = self.ids.get(id).filter(|_| !breaks::is_enabled(Break::AcceptTwice));
        if let Some(msg) = existing {
            // An unsettled message is not yet in the table of owed messages.
            return Some(match self.owed.get(msg).and_then(|owed| owed.end) {
                None => Intake::Open,
                Some(Ending::Deferred(after)) => Intake::Rejected { after },
                Some(Ending::Undeliverable) => Intake::Failed,
            });
        }
        self.ended.get(id).map(|end| match end {
            End::Delivered => Intake::Delivered,
            End::Deferred { after } => Intake::Rejected { after },
            End::Undeliverable => Intake::Failed,
        })
    }

    /// The rejection of a new message, or `None` if it may be accepted.
    fn rejection(&self, dest: u64, stream: bool, now: Micros) -> Option<Intake> {
        // A stream is rejected from the beginning of the shutdown, since a later process would not have its body.
        if self.stop_accepting_at.is_some_and(|until| now >= until || stream) {
            return Some(Intake::Rejected { after: STOPPING_RETRY_AFTER });
        }
        if !self.endpoints.has_dest(dest) {
            // Until discovery has sent a list, the courier uses that of an earlier process, which may lack new
            // destinations.
            return Some(if self.list_received {
                Intake::UnknownDest
            } else {
                Intake::Rejected { after: OUTDATED_LIST_RETRY_AFTER }
            });
        }
        if self.ids.len() - self.notices.len() >= self.config.max_open_messages {
            return Some(Intake::Rejected { after: OVERLOAD_RETRY_AFTER });
        }
        let streams = || self.owed.values().filter(|owed| owed.stream.is_some()).count();
        if stream && streams() >= self.config.max_streams {
            return Some(Intake::Rejected { after: OVERLOAD_RETRY_AFTER });
        }
        None
    }

    /// Writes a message to the journal and submits it to the policy.
    ///
    /// # Errors
    /// The journal can't record the message; the error is the answer to the client.
    fn accept(
        &mut self,
        submission: Submission,
        class: usize,
        stream: bool,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> Result<MsgId, Intake> {
        let msg = self.next_message;
        let deadline = now.saturating_add(submission.time_left);
        let accepted = accepted_message(&submission, deadline);
        let written = self.journal.submit(msg, accepted, stream, now, &mut self.notes);
        if let Some(error) = written.err().filter(|_| !breaks::is_enabled(Break::AcceptUnwritten)) {
            actions.push(RouterAction::Note(Note::JournalFull(error)));
            return Err(Intake::Rejected { after: OVERLOAD_RETRY_AFTER });
        }
        self.next_message += 1;
        let Submission { id, class: _, key, dest, tenant, time_left, body } = submission;
        self.ids.insert(id.clone(), msg);
        let tenant_number =
            tenant.as_ref().and_then(|name| self.config.tenants.iter().position(|tenant| tenant == name));
        let payload = Arc::new(MessagePayload { id, key, tenant: tenant.map(String::into_boxed_str), body });
        let stream = stream.then(Stream::default);
        let owed = OwedMessage { payload, class, dest, deadline, end: None, journaled_attempts: 0, stream };
        let message = owed.policy_message(msg, tenant_number);
        self.owed.insert(msg, owed);
        actions.push(RouterAction::Note(Note::Accepted { msg, dest, class, time_left }));
        let instructions = self.policy.submit(now, message);
        self.carry_out(instructions, now, actions);
        Ok(msg)
    }

    /// If the policy shed a message without an attempt in the step in which it was submitted, returns the retry
    /// delay for the client, in microseconds. The client, which is still waiting, then gets a rejection instead of
    /// the platform getting a notice later. Streams are excluded, since they get their own final answer.
    fn rejected_at_once(&mut self, msg: MsgId, now: Micros) -> Option<Micros> {
        let owed =
            self.owed.get(&msg).filter(|owed| owed.stream.is_none() && owed.journaled_attempts == 0)?;
        let Some(Ending::Deferred(after)) = owed.end else { return None };
        if self.outstanding.is_in_flight(msg) {
            return None;
        }
        let end = End::Deferred { after };
        self.notify_watcher(msg, end);
        self.write(&JournalRecord::Confirmed { msg }, now);
        self.notices.remove(msg);
        self.unwritten.remove(msg);
        self.remove_owed(msg, end);
        self.counters.deferred -= 1;
        Some(after)
    }
}
