//! Attempts of messages whose turn it is: an attempt is a submission to the courier's router, which handles the message as any
//! other; its end there is the attempt's outcome.

use super::pending_action::PendingAction;
use super::{LOG_TARGET, SettlementHost};
use quillmount_core::Ending;
use quillmount_core::journal::{End as MessageEnd, JournalError};
use quillmount_core::router::Intake;
use quillmount_fleet::settlement::journal_lines::{MessagePayload, outcome_of};
use quillmount_fleet::settlement::owner::{OwnerInput, OwnerOutput};
use quillmount_fleet::settlement::{End, Outcome, SettlementId};
use quillmount_policy::Micros;

/// `Retry-After` in microseconds for a message whose settlement broke before its turn: it may be submitted in
/// another settlement at once.
const BROKEN_RETRY_AFTER: Micros = 1_000_000;

/// One attempt of a settlement's message.
#[derive(Clone)]
pub(super) struct Attempt {
    /// The settlement.
    pub(super) id: SettlementId,
    /// The attempt's number.
    pub(super) number: u64,
}

impl SettlementHost {
    /// Submits the message at a position to the router, which handles it as any other. `by`: the end of the time in which it
    /// may be sent.
    pub(super) fn release(&self, attempt: Attempt, position: u64, message_id: &str, by: Micros) {
        let Some(payload) = self.payload(&attempt.id, position) else {
            tracing::error!(
                target: LOG_TARGET,
                "settlement: {}: nothing is left of its message",
                attempt.id.position_ref(position)
            );
            return self.report_outcome(attempt, Outcome::Failed);
        };
        match self.courier.watch(message_id) {
            Ok(Some(end)) => return self.report_outcome(attempt, outcome_of(end)),
            Ok(None) => {
                self.state.borrow_mut().submitted.insert(message_id.into(), attempt);
                return;
            }
            Err(_) => {}
        }
        let now = self.now();
        if now >= by {
            return self.report_outcome(attempt, Outcome::OutOfTime);
        }
        let message = payload.to_message(message_id, attempt.id.dest, by - now);
        self.state.borrow_mut().submitted.insert(message_id.into(), attempt);
        let outcome = match self.courier.submit_promised(message) {
            Intake::Accepted | Intake::Open => return,
            Intake::Delivered => Outcome::Delivered,
            Intake::Rejected { after } => Outcome::NeverRan { after },
            Intake::Failed | Intake::UnknownClass | Intake::UnknownDest => Outcome::Failed,
        };
        self.courier.unwatch(message_id);
        // Its end may have been reported already.
        let submitted = self.state.borrow_mut().submitted.remove(message_id);
        if let Some(attempt) = submitted {
            self.report_outcome(attempt, outcome);
        }
    }

    /// The message at a position, if its body is here.
    fn payload(&self, id: &SettlementId, position: u64) -> Option<MessagePayload> {
        self.state.borrow().payloads.get(&(id.clone(), position)).cloned()
    }

    fn report_outcome(&self, Attempt { id, number }: Attempt, outcome: Outcome) {
        self.step_owned(OwnerInput::Outcome { id, attempt: number, outcome, session_lost: false }, None);
    }

    /// Handles the end of a message in the router.
    pub(super) fn message_ended(&self, message_id: &str, end: MessageEnd) {
        let submitted = self.state.borrow_mut().submitted.remove(message_id);
        if let Some(attempt) = submitted {
            self.report_outcome(attempt, outcome_of(end));
        }
    }

    /// Reports a message's end; one that the router never had gets its notice from here.
    ///
    /// # Errors
    /// The notice can't be written: the report is the next action again.
    pub(super) fn report_end(
        &self,
        id: SettlementId,
        position: u64,
        message_id: &str,
        end: End,
    ) -> Result<(), JournalError> {
        let ending = match end {
            End::Delivered => {
                self.state.borrow_mut().payloads.remove(&(id, position));
                return Ok(());
            }
            End::NeverRan { .. } | End::OutOfTime => Ending::Deferred(BROKEN_RETRY_AFTER),
            End::Failed | End::MayHaveRun => Ending::Undeliverable,
        };
        let Some(payload) = self.payload(&id, position) else { return Ok(()) };
        let written = self.courier.end_unsent(payload.to_message(message_id, id.dest, 0), ending);
        if written.is_err() {
            // Reported before anything behind it.
            let output = OwnerOutput::End { id, position, message_id: message_id.into(), end };
            let action = PendingAction::Perform(Box::new(output));
            self.state.borrow_mut().pending_actions.push_front(action);
        }
        written
    }
}
