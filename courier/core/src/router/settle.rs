//! Messages from another courier's journal, between their writing into this one's and the fleet's word whose they are.

use super::*;
use crate::journal::{JournalEntry, Source};

impl<S: Store> Router<S> {
    /// Goes on with a submission that is this router's; one with a source waits.
    pub(super) fn adopted(
        &mut self,
        msg: MsgId,
        entry: JournalEntry,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        match &entry.source {
            None => self.restore(msg, entry, now, actions),
            Some(source) => {
                // Nobody else may be let in under its id.
                self.ids.insert(entry.taken.id.clone(), msg);
                self.unsettled.entry(source.clone()).or_default().push((msg, entry));
            }
        }
    }

    /// Sources whose messages wait for the fleet's word.
    pub fn unsettled(&self) -> impl Iterator<Item = &Source> {
        self.unsettled.keys()
    }

    /// The fleet has said whose the messages of this source are; the journal is told before anything else is done.
    ///
    /// # Errors
    /// The store refused the record: they go on to wait.
    pub fn settle_from(
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
                self.ids.remove(&entry.taken.id);
                self.journal.settled(msg, "");
            }
        }
        self.drain_notes(&mut actions);
        Ok(actions)
    }
}
