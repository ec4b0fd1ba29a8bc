//! Adoption of messages from the journal of another courier.
//!
//! The messages are first written to this courier's journal with their [`Source`]. They are not processed until the
//! fleet has decided which courier owns the messages of that source, and meanwhile no other message may use their
//! ids.

use super::{Router, RouterAction};
use crate::journal::{End, JournalEntry, JournalError, JournalRecord, Settlements, Source};
use crate::note::Note;
use crate::store::Store;
use quillmount_policy::{Micros, MsgId};
use std::collections::{BTreeMap, BTreeSet};

impl<S: Store> Router<S> {
    /// Adopts the messages and settlement lines of another courier's journal under numbers of this router, either
    /// all of them or none.
    ///
    /// A message whose id is owed or has ended here is skipped with a log record, so that a second adoption has no
    /// effect. The caller sets the times of the attempts: for an attempt that was in flight, the last time at which
    /// the other courier may have been sending.
    ///
    /// # Errors
    /// The journal is full, or its store rejected the records; nothing was adopted.
    pub fn adopt(
        &mut self,
        entries: Vec<JournalEntry>,
        settlements: &Settlements,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        self.forget_ended(now);
        let mut actions = Vec::new();
        let mut adopted = BTreeMap::new();
        let mut ids = BTreeSet::new();
        for entry in entries {
            let id = &entry.message.id;
            let is_known = self.ids.contains_key(id) || self.ended.contains(id);
            if is_known || entry.end == Some(End::Delivered) || !ids.insert(id.clone()) {
                actions.push(RouterAction::Note(Note::NotAdopted { id: id.clone() }));
                continue;
            }
            adopted.insert(self.next_message + adopted.len() as MsgId, entry);
        }
        if !adopted.is_empty() || !settlements.0.is_empty() {
            self.journal.adopt(adopted.clone(), settlements, now, &mut self.notes)?;
        }
        self.next_message += adopted.len() as MsgId;
        self.counters.adopted += adopted.len() as u64;
        for (msg, entry) in adopted {
            self.restore_or_defer(msg, entry, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        Ok(actions)
    }

    /// The sources for which the fleet has not yet decided the owner.
    pub fn unsettled(&self) -> impl Iterator<Item = &Source> {
        self.unsettled.keys()
    }

    /// Applies the fleet's decision on whether this courier owns the messages of a source. The decision is written
    /// to the journal first.
    ///
    /// # Errors
    /// The store rejected the record; the messages remain unsettled.
    pub fn settle_source(
        &mut self,
        source: &Source,
        accepted: bool,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        let record = JournalRecord::Settled { source: source.clone(), accepted };
        self.journal.append_all(&[record], now, &mut self.notes)?;
        let mut actions = Vec::new();
        for (msg, entry) in self.unsettled.remove(source).unwrap_or_default() {
            if accepted {
                self.restore(msg, JournalEntry { source: None, ..entry }, now, &mut actions);
            } else {
                self.ids.remove(&entry.message.id);
                self.journal.release_owed(msg, "");
            }
        }
        self.drain_notes(&mut actions);
        Ok(actions)
    }

    /// Restores a message from the journal, or keeps it unsettled if it has a source that the fleet has not decided on.
    pub(super) fn restore_or_defer(
        &mut self,
        msg: MsgId,
        entry: JournalEntry,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        match &entry.source {
            None => self.restore(msg, entry, now, actions),
            Some(source) => {
                self.ids.insert(entry.message.id.clone(), msg);
                self.unsettled.entry(source.clone()).or_default().push((msg, entry));
            }
        }
    }
}
