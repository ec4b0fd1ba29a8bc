//! Operations for the owner of settlements: the ends of a settlement's messages, ends for those that were never submitted,
//! and the journal's records of its lines.

use super::owed::{OwedMessage, UNKNOWN_CLASS, accepted_message};
use super::{Router, RouterAction, UnknownId};
use crate::journal::{End, JournalError, JournalRecord};
use crate::store::Store;
use crate::{Ending, MessagePayload, Submission};
use quillmount_policy::{Micros, MsgId};
use std::sync::Arc;

impl<S: Store> Router<S> {
    /// Returns how a message has ended; if it has not, [`Router::ends`] will report its end.
    ///
    /// # Errors
    /// No message with this id is known yet; it is watched all the same.
    pub fn watch(&mut self, id: &str) -> Result<Option<End>, UnknownId> {
        let fate = self.fate(id);
        if !matches!(fate, Ok(Some(_))) {
            self.watched.insert(id.to_string());
        }
        fate
    }

    /// Stops watching a message.
    pub fn unwatch(&mut self, id: &str) {
        self.watched.remove(id);
    }

    /// The ends of watched messages since the last call, all of them in the journal; these messages are watched no more.
    pub fn ends(&mut self) -> Vec<(String, End)> {
        std::mem::take(&mut self.watched_ends)
    }

    /// How a message has ended; `Ok(None)` if it has not.
    ///
    /// # Errors
    /// No message with this id is known.
    pub fn fate(&self, id: &str) -> Result<Option<End>, UnknownId> {
        if let Some(owed) = self.ids.get(id).and_then(|msg| self.owed.get(msg)) {
            return Ok(owed.end.map(End::from));
        }
        if self.ids.contains_key(id) {
            return Ok(None);
        }
        self.ended.get(id).map(Some).ok_or(UnknownId)
    }

    /// Ends a message that is owed an end and was never submitted, with a notice. Nothing is done if its id is known.
    ///
    /// # Errors
    /// The store refused the records: nothing has changed.
    pub fn end_unsent(
        &mut self,
        submission: Submission,
        ending: Ending,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        let mut actions = Vec::new();
        if self.fate(&submission.id).is_ok() {
            return Ok(actions);
        }
        let msg = self.next;
        let deadline = now.saturating_add(submission.time_left);
        let accepted = JournalRecord::Accept { msg, taken: accepted_message(&submission, deadline) };
        let end = JournalRecord::End { msg, end: ending.into() };
        self.journal.append_all(&[accepted, end], now, &mut self.notes)?;
        self.next += 1;
        self.count_ending(ending);
        let Submission { id, key, dest, body, .. } = submission;
        self.ids.insert(id.clone(), msg);
        let owed = OwedMessage {
            // It is never sent, so its tenant does not matter.
            payload: Arc::new(MessagePayload { id, key, tenant: None, body }),
            class: UNKNOWN_CLASS,
            dest,
            deadline,
            end: Some(ending),
            journaled: 0,
            stream: None,
        };
        self.owed.insert(msg, owed);
        self.add_notice(msg, &mut actions);
        self.drain_notes(&mut actions);
        Ok(actions)
    }

    /// Writes lines about settlements; with `may_wait` they are rejected where the journal is full.
    ///
    /// # Errors
    /// The journal is full, or the store refused the lines: none of them was written.
    pub fn write_settlement(
        &mut self,
        records: &[JournalRecord],
        may_wait: bool,
        now: Micros,
    ) -> Result<(), JournalError> {
        self.journal.settlement(records, may_wait, now, &mut self.notes)
    }

    /// Reports the end of a message if it is watched.
    pub(super) fn notify_watcher(&mut self, msg: MsgId, end: End) {
        if self.watched.is_empty() {
            return;
        }
        let Some(owed) = self.owed.get(&msg) else { return };
        if self.watched.remove(&owed.payload.id) {
            self.watched_ends.push((owed.payload.id.clone(), end));
        }
    }
}
