//! Operations for the owner of a settlement: watching the ends of its messages, ending messages that were never
//! submitted, and writing settlement lines to the journal.

use super::owed::{OwedMessage, UNKNOWN_CLASS, accepted_message};
use super::{Router, RouterAction, UnknownId};
use crate::journal::{End, JournalError, JournalRecord};
use crate::store::Store;
use crate::{Ending, MessagePayload, Submission};
use quillmount_policy::{Micros, MsgId};
use std::sync::Arc;

impl<S: Store> Router<S> {
    /// Returns the end of a message. If the message has not ended yet, it is watched, and
    /// [`Router::take_watched_ends`] will report its end.
    ///
    /// # Errors
    /// No message with this id is known yet; it is watched nevertheless.
    pub fn watch(&mut self, id: &str) -> Result<Option<End>, UnknownId> {
        let end = self.end_of(id);
        if !matches!(end, Ok(Some(_))) {
            self.watched.insert(id.to_string());
        }
        end
    }

    /// Stops watching a message; its end will not be reported by [`Router::take_watched_ends`].
    pub fn unwatch(&mut self, id: &str) {
        self.watched.remove(id);
    }

    /// Returns the ends of watched messages since the last call. All of them are in the journal, and the messages
    /// are no longer watched.
    pub fn take_watched_ends(&mut self) -> Vec<(String, End)> {
        std::mem::take(&mut self.watched_ends)
    }

    /// The end of a message; `Ok(None)` if the message has not ended.
    ///
    /// # Errors
    /// No message with this id is known.
    pub fn end_of(&self, id: &str) -> Result<Option<End>, UnknownId> {
        if let Some(owed) = self.ids.get(id).and_then(|msg| self.owed.get(msg)) {
            return Ok(owed.end.map(End::from));
        }
        if self.ids.contains_key(id) {
            return Ok(None);
        }
        self.ended.get(id).map(Some).ok_or(UnknownId)
    }

    /// Ends a message that is owed an end but was never submitted, and queues a notice. If its id is already known,
    /// nothing is done.
    ///
    /// # Errors
    /// The store rejected the records; nothing has changed.
    pub fn end_unsent(
        &mut self,
        submission: Submission,
        ending: Ending,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        let mut actions = Vec::new();
        if self.end_of(&submission.id).is_ok() {
            return Ok(actions);
        }
        let msg = self.next_message;
        let deadline = now.saturating_add(submission.time_left);
        let accepted = JournalRecord::Accept { msg, message: accepted_message(&submission, deadline) };
        let end = JournalRecord::End { msg, end: ending.into() };
        self.journal.append_all(&[accepted, end], now, &mut self.notes)?;
        self.next_message += 1;
        self.count_ending(ending);
        let Submission { id, key, dest, body, .. } = submission;
        self.ids.insert(id.clone(), msg);
        let owed = OwedMessage {
            // The message is never sent, so it needs no tenant.
            payload: Arc::new(MessagePayload { id, key, tenant: None, body }),
            class: UNKNOWN_CLASS,
            dest,
            deadline,
            end: Some(ending),
            journaled_attempts: 0,
            stream: None,
        };
        self.owed.insert(msg, owed);
        self.add_notice(msg, &mut actions);
        self.drain_notes(&mut actions);
        Ok(actions)
    }

    /// Writes settlement lines to the journal. If `deferrable` is set, they are rejected when the journal is full.
    ///
    /// # Errors
    /// The journal is full, or the store rejected the lines; none of them was written.
    pub fn write_settlement(
        &mut self,
        records: &[JournalRecord],
        deferrable: bool,
        now: Micros,
    ) -> Result<(), JournalError> {
        self.journal.append_settlement_records(records, deferrable, now, &mut self.notes)
    }

    /// Adds the end of a message to the watched ends if the message is watched.
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
