//! Messages from another courier's journal, between their writing into this one's and the fleet's word whose they are.

use super::*;
use crate::journal::{Entry, Source};

impl<S: Store> Router<S> {
    /// Goes on with an invocation that is this router's; one with a source waits.
    pub(super) fn adopted(&mut self, msg: MsgId, entry: Entry, now: Micros, steps: &mut Vec<Step>) {
        match &entry.source {
            None => self.restore(msg, entry, now, steps),
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
        kept: bool,
        now: Micros,
    ) -> Result<Vec<Step>, JournalError> {
        let record = Record::Settled { source: source.clone(), kept };
        self.journal.note_all(&[record], now, &mut self.notes)?;
        let mut steps = Vec::new();
        for (msg, entry) in self.unsettled.remove(source).unwrap_or_default() {
            if kept {
                self.restore(msg, Entry { source: None, ..entry }, now, &mut steps);
            } else {
                self.ids.remove(&entry.taken.id);
                self.journal.settled(msg, "");
            }
        }
        self.say(&mut steps);
        Ok(steps)
    }
}
