//! Carries out what the owner's machine asks for, in order, each action once all that is written by then has been replicated.

use super::attempts::Attempt;
use super::pending_action::PendingAction;
use super::takeover::PendingFetch;
use super::{LOG_TARGET, SettlementHost};
use bytes::Bytes;
use quillmount_core::journal::JournalError;
use quillmount_fleet::settlement::SettlementMessage;
use quillmount_fleet::settlement::forward::ForwardInput;
use quillmount_fleet::settlement::owner::{OwnerInput, OwnerOutput, RETRY_INTERVAL};
use quillmount_policy::Micros;
use std::rc::Rc;

impl SettlementHost {
    /// Carries out pending actions. Never returns, except where the courier is in no fleet.
    pub(super) async fn run_actions(self: Rc<Self>) {
        let Some(gate) = self.courier.gate.clone() else { return };
        loop {
            let added = self.work_added.notified();
            let action = self.state.borrow_mut().pending_actions.pop_front();
            let Some(action) = action else {
                added.await;
                continue;
            };
            gate.pass(gate.written(), Micros::MAX).await;
            match action {
                PendingAction::Written(seq) => self.step_owned(OwnerInput::Written { seq }, None),
                PendingAction::Perform(output) => {
                    if let Err(e) = self.perform(*output) {
                        tracing::error!(
                            target: LOG_TARGET,
                            "settlement: an end can't be written: {e}; again in {RETRY_INTERVAL} us"
                        );
                        let retry_at = self.now().saturating_add(RETRY_INTERVAL);
                        actix_rt::time::sleep(self.courier.clock.until(retry_at)).await;
                    }
                }
            }
        }
    }

    /// Carries out one output of the owner's machine.
    ///
    /// # Errors
    /// A message's end can't be written: it is the next action again.
    fn perform(&self, output: OwnerOutput) -> Result<(), JournalError> {
        match output {
            OwnerOutput::Reply { to, id, request, reply } if to == self.local_name => {
                self.step_forwarder(ForwardInput::Reply { id, request, reply });
            }
            OwnerOutput::Reply { to, id, request, reply } => {
                self.send(&to, SettlementMessage::Reply { id, request, reply }, Bytes::new());
            }
            OwnerOutput::Propose(command) => (self.propose)(command),
            OwnerOutput::Fetch { id, term, journals } => {
                self.state.borrow_mut().fetches.insert(id, PendingFetch { term, journals });
                self.fetch();
            }
            OwnerOutput::Send { id, position, message_id, attempt, send_deadline, .. } => {
                self.release(Attempt { id, number: attempt }, position, &message_id, send_deadline);
            }
            OwnerOutput::End { id, position, message_id, end } => {
                self.report_end(id, position, &message_id, end)?;
            }
            OwnerOutput::Forget { id } => self.forget(&id),
            // Message mode has no session.
            OwnerOutput::Write { .. }
            | OwnerOutput::Close { .. }
            | OwnerOutput::Drop { .. }
            | OwnerOutput::Pin { .. }
            | OwnerOutput::Unpin { .. } => {}
        }
        Ok(())
    }
}
