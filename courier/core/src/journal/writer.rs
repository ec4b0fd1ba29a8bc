//! Opens a journal, appends to it, and compacts it where its space runs short.

use super::contents::{JournalContents, JournalEntry};
use super::error::JournalError;
use super::frame::{encoded_len, frame, frames};
use super::record::{AcceptedMessage, JournalRecord};
use super::settlements::Settlements;
use super::space::{BLOCK, RESERVE, SpaceUsage, id_len_max};
use crate::note::Note;
use crate::store::Store;
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};
use std::collections::BTreeMap;

/// A journal that is open for writing.
///
/// An operation that fails leaves the store as it was. What is to be logged is added to the `notes` that the operations
/// are given.
#[derive(Clone, Debug)]
pub struct Journal<S> {
    store: S,
    usage: SpaceUsage,
}

impl<S: Store> Journal<S> {
    /// Reads the store up to the first torn record and drops the rest. All files together may take `limit` bytes.
    ///
    /// # Errors
    /// The store can't be read, or the compaction that drops a torn record can't be written.
    pub fn open(
        mut store: S,
        limit: u64,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(Self, JournalContents), JournalError> {
        let bytes = store.read().map_err(JournalError::io("read"))?;
        let (mut contents, intact) = JournalContents::read(&bytes);
        contents.ended.retain(|ended| ended.until > now);
        let mut journal = Journal { store, usage: SpaceUsage::new(limit, &contents)? };
        if intact < bytes.len() && !breaks::is_enabled(Break::KeepTornRecord) {
            notes.push(Note::Torn(bytes.len() - intact));
            // A record behind a torn one would never be read.
            journal.compact(now, notes)?;
        }
        Ok((journal, contents))
    }

    /// The store below, for exploration and inspection.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// The store below, to inject faults into it.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// The journal's size on disk in bytes, counted in whole blocks.
    pub fn disk(&self) -> u64 {
        self.store.len().next_multiple_of(BLOCK)
    }

    /// Records that a message was accepted, and reserves space for the records that will follow it.
    ///
    /// # Errors
    /// The journal is full, or the store refused the record.
    pub fn submit(
        &mut self,
        msg: MsgId,
        taken: AcceptedMessage,
        stream: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let record =
            if stream { JournalRecord::Stream { msg, taken } } else { JournalRecord::Accept { msg, taken } };
        let frame = frame(&record)?;
        let len = frame.len() as u64;
        if self.usage.exceeds_limit(len + RESERVE) {
            return Err(JournalError::Full);
        }
        self.append(&frame, now, notes)?;
        self.usage.add_owed(msg, len);
        Ok(())
    }

    /// Records that operators have disabled or enabled an endpoint.
    ///
    /// # Errors
    /// The journal is full, or the store refused the record.
    pub fn set_disabled(
        &mut self,
        id: &str,
        is_disabled: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        if is_disabled && self.usage.exceeds_limit(id_len_max(id)) {
            return Err(JournalError::Full);
        }
        let record = if is_disabled {
            JournalRecord::Disable { id: id.to_string() }
        } else {
            JournalRecord::Enable { id: id.to_string() }
        };
        self.append(&frame(&record)?, now, notes)?;
        self.usage.set_disabled(id, is_disabled);
        Ok(())
    }

    /// Appends records about a settlement in one write; with `may_wait` they are rejected where the journal is full.
    ///
    /// # Errors
    /// The journal is full, or the store refused the records.
    pub fn settlement(
        &mut self,
        records: &[JournalRecord],
        may_wait: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let frames = frames(records)?;
        let len = frames.len() as u64;
        if may_wait && self.usage.exceeds_limit(len + RESERVE) {
            // Some of the lines that are counted may be obsolete.
            self.compact(now, notes)?;
            if self.usage.exceeds_limit(len + RESERVE) {
                return Err(JournalError::Full);
            }
        }
        self.append(&frames, now, notes)?;
        self.usage.add_settlements(len);
        Ok(())
    }

    /// Appends records about owed messages in one write. Their space was reserved when the messages were accepted.
    ///
    /// # Errors
    /// The store refused the records.
    pub fn append_all(
        &mut self,
        records: &[JournalRecord],
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        self.append(&frames(records)?, now, notes)
    }

    /// Releases the space of a message that is no longer owed, except for the record of its id and end.
    pub fn settled(&mut self, msg: MsgId, id: &str) {
        self.usage.finish(msg, id);
    }

    /// Releases the space of an ended message's id.
    pub fn forgotten(&mut self, id: &str) {
        self.usage.forget(id);
    }

    /// Records entries of another courier's journal under numbers of this one, all of them or none.
    ///
    /// They are written with a compaction instead of being appended: a crash that left a message without its attempts
    /// would let the next process repeat an attempt that may have had an effect.
    ///
    /// # Errors
    /// The journal is full, or the store refused the replacement.
    pub fn adopt(
        &mut self,
        entries: BTreeMap<MsgId, JournalEntry>,
        settlements: &Settlements,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let mut lens = Vec::with_capacity(entries.len());
        for (msg, entry) in &entries {
            let mut len = 0;
            for record in entry.clone().records(*msg) {
                len += encoded_len(&record)?;
            }
            lens.push((*msg, len));
        }
        let more = lens.iter().map(|(_, len)| len + RESERVE).sum::<u64>() + settlements.encoded_len_max();
        if self.usage.exceeds_limit(more) {
            return Err(JournalError::Full);
        }
        if self.usage.needs_compaction(self.store.len(), more) {
            self.compact(now, notes)?;
        }
        self.rewrite(entries, settlements, now, notes)?;
        lens.into_iter().for_each(|(msg, len)| self.usage.add_owed(msg, len));
        Ok(())
    }

    fn append(&mut self, frame: &[u8], now: Micros, notes: &mut Vec<Note>) -> Result<(), JournalError> {
        let len = frame.len() as u64;
        // These bytes count in the file and once more in its replacement.
        if self.usage.needs_compaction(self.store.len(), len + len + RESERVE) {
            self.compact(now, notes)?;
        }
        self.store.append(frame).map_err(JournalError::io("write"))
    }

    /// Replaces the stored records by the fewest with the same contents.
    fn compact(&mut self, now: Micros, notes: &mut Vec<Note>) -> Result<(), JournalError> {
        self.rewrite(BTreeMap::new(), &Settlements::default(), now, notes)
    }

    /// Compacts, and adds these entries and settlements.
    fn rewrite(
        &mut self,
        entries: BTreeMap<MsgId, JournalEntry>,
        settlements: &Settlements,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let (mut contents, _) =
            JournalContents::read(&self.store.read().map_err(JournalError::io("read for a copy"))?);
        contents.owed.extend(entries);
        for (of, lines) in &settlements.0 {
            contents.settlements.0.entry(of.clone()).or_default().extend(lines.iter().cloned());
        }
        let settlements_len = contents.settlements.encoded_len_max();
        let mut bytes = Vec::new();
        for record in contents.records(now) {
            bytes.extend(frame(&record)?);
        }
        let from = self.store.len();
        self.store.replace(&bytes).map_err(JournalError::io("write of a copy"))?;
        self.usage.set_settlements(settlements_len);
        notes.push(Note::Compacted { from, to: bytes.len() as u64 });
        Ok(())
    }
}
