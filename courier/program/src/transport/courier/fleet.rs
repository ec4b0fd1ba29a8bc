//! What a courier does as one of a fleet: its records count once they are replicated, settlements submit messages of their own,
//! and messages of other couriers' journals are taken over. Without a fleet there is no gate, and nothing of this waits.

use super::Courier;
use actix_http::Response;
use bytes::Bytes;
use quillmount_core::journal::{End, JournalEntry, JournalError, JournalRecord, Settlements, Source};
use quillmount_core::router::{Intake, UnknownId};
use quillmount_core::{Ending, Submission};
use quillmount_policy::Micros;
use std::pin::Pin;
use std::rc::Rc;

/// The answer to a message of a settlement, once the settlement's owner has decided.
pub type SettlementAnswer = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

/// Submits a client's message with all of its `X-Addressing`; `None`: it belongs to no settlement.
pub type SettlementIntake = Box<dyn Fn(&Submission, &str) -> Option<SettlementAnswer>>;
/// Is notified that a message that is watched has ended.
pub type EndObserver = Box<dyn Fn(&str, End)>;

/// What the courier calls where settlements are carried.
pub struct SettlementHooks {
    /// Submits messages that may belong to a settlement.
    pub submit: SettlementIntake,
    /// Is notified of the ends of messages that the settlements' owner watches.
    pub(super) message_ended: EndObserver,
}

impl Courier {
    /// Submits messages of settlements by `submit` from now on, and reports the ends of watched messages to
    /// `message_ended`.
    pub fn set_settlement_hooks(&self, submit: SettlementIntake, message_ended: EndObserver) {
        // The first stands: there is one fleet.
        let _ = self.settlement_hooks.set(SettlementHooks { submit, message_ended });
    }

    /// What to call for messages of settlements, if any are carried.
    pub fn settlement_hooks(&self) -> Option<&SettlementHooks> {
        self.settlement_hooks.get()
    }

    /// See [`Router::permanent_rejection`](quillmount_core::router::Router::permanent_rejection).
    pub fn refuses(&self, submission: &Submission) -> Option<Intake> {
        self.handle.hub.borrow().router.permanent_rejection(&submission.class, submission.dest)
    }

    /// See [`Router::end_of`](quillmount_core::router::Router::end_of).
    ///
    /// # Errors
    /// No message of this id is known.
    pub fn fate(&self, id: &str) -> Result<Option<End>, UnknownId> {
        self.handle.hub.borrow().router.end_of(id)
    }

    /// See [`Router::watch`](quillmount_core::router::Router::watch).
    ///
    /// # Errors
    /// No message of this id is known yet.
    pub fn watch(&self, id: &str) -> Result<Option<End>, UnknownId> {
        self.handle.hub.borrow_mut().router.watch(id)
    }

    /// See [`Router::unwatch`](quillmount_core::router::Router::unwatch).
    pub fn unwatch(&self, id: &str) {
        self.handle.hub.borrow_mut().router.unwatch(id);
    }

    /// Submits a message that this courier has promised an end already: neither gate nor budget may reject it.
    pub fn submit_promised(self: &Rc<Self>, submission: Submission) -> Intake {
        let (intake, actions) = self.handle.hub.borrow_mut().submit(submission, self.clock.now());
        self.carry_out(actions);
        intake
    }

    /// See [`Router::end_unsent`](quillmount_core::router::Router::end_unsent).
    ///
    /// # Errors
    /// The store refused the records: nothing has changed.
    pub fn end_unsent(self: &Rc<Self>, submission: Submission, ending: Ending) -> Result<(), JournalError> {
        let actions = self.handle.hub.borrow_mut().end_unsent(submission, ending, self.clock.now())?;
        self.carry_out(actions);
        Ok(())
    }

    /// See [`Router::write_settlement`](quillmount_core::router::Router::write_settlement).
    ///
    /// # Errors
    /// The journal is full, or its store refused the records: none of them is written.
    pub fn write_settlement(&self, records: &[JournalRecord], may_wait: bool) -> Result<(), JournalError> {
        self.handle.hub.borrow_mut().router.write_settlement(records, may_wait, self.clock.now())
    }

    /// Rejects a message, and counts it, while the gate is closed.
    pub fn reject_by_gate(&self) -> Option<Intake> {
        let after = self.gate.as_ref()?.check_open().err()?;
        self.count(|counters| counters.rejected += 1);
        Some(Intake::Rejected { after })
    }

    /// Waits until the records written by now are replicated; without a fleet it returns at once.
    pub async fn wait_until_replicated(&self) {
        if let Some(gate) = &self.gate {
            gate.wait_until_replicated().await;
        }
    }

    /// Waits until the courier may act on the records written by now; without a fleet it returns at once.
    pub async fn wait_until_may_act(&self) {
        if let Some(gate) = &self.gate {
            gate.pass(gate.written(), Micros::MAX).await;
        }
    }

    /// Takes over the open messages of another courier's journal; see [`Router::adopt`](quillmount_core::router::Router::adopt).
    ///
    /// # Errors
    /// The journal is full, or its store refused the records: then nothing is taken over.
    pub fn adopt(
        self: &Rc<Self>,
        entries: Vec<JournalEntry>,
        lines: &Settlements,
    ) -> Result<(), JournalError> {
        let actions = self.handle.hub.borrow_mut().adopt(entries, lines, self.clock.now())?;
        self.carry_out(actions);
        Ok(())
    }

    /// Sources whose messages wait for the fleet's decision who owns them.
    pub fn unsettled(&self) -> Vec<Source> {
        self.handle.hub.borrow().router.unsettled().cloned().collect()
    }

    /// The fleet has decided whether this courier owns the messages of a source; see [`Router::settle_source`](quillmount_core::router::Router::settle_source).
    ///
    /// # Errors
    /// The store refused the record: the messages go on waiting.
    pub fn settle_from(self: &Rc<Self>, source: &Source, accepted: bool) -> Result<(), JournalError> {
        let actions = self.handle.hub.borrow_mut().settle_source(source, accepted, self.clock.now())?;
        self.carry_out(actions);
        Ok(())
    }
}
