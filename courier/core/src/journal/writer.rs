//! Opens a journal, appends records, and compacts the journal when it approaches its limit on disk space.

use super::contents::{JournalContents, JournalEntry};
use super::error::JournalError;
use super::frame::{encoded_len, frame, frames};
use super::record::{AcceptedMessage, JournalRecord};
use super::settlements::Settlements;
use super::space::{BLOCK_SIZE, RESERVE_PER_MESSAGE, SpaceUsage, max_id_record_len};
use crate::note::Note;
use crate::store::Store;
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};
use std::collections::BTreeMap;

/// A journal that is open for writing.
///
/// A failed operation leaves the store unchanged. Operations append their log records to `notes`.
#[derive(Clone, Debug)]
pub struct Journal<S> {
    store: S,
    usage: SpaceUsage,
}

impl<S: Store> Journal<S> {
    /// Reads the store up to the first torn record and drops the rest. All files together may take at most `limit`
    /// bytes.
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
            notes.push(Note::TornRecord(bytes.len() - intact));
            // Without the compaction, records appended after the torn one would never be read.
            journal.compact(now, notes)?;
        }
        Ok((journal, contents))
    }

    /// The underlying store, for state-space exploration and inspection.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// The underlying store, for fault injection.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// The journal's size on disk in bytes, rounded up to whole blocks.
    pub fn disk(&self) -> u64 {
        self.store.len().next_multiple_of(BLOCK_SIZE)
    }

    /// Records that a message was accepted, and reserves space for the records that will follow it.
    ///
    /// # Errors
    /// The journal is full, or the store refused the record.
    pub fn submit(
        &mut self,
        msg: MsgId,
        message: AcceptedMessage,
        stream: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let record = if stream {
            JournalRecord::Stream { msg, message }
        } else {
            JournalRecord::Accept { msg, message }
        };
        let frame = frame(&record)?;
        let len = frame.len() as u64;
        if self.usage.exceeds_limit(len + RESERVE_PER_MESSAGE) {
            return Err(JournalError::Full);
        }
        self.append(&frame, now, notes)?;
        self.usage.add_owed(msg, len);
        Ok(())
    }

    /// Records that an operator has disabled or enabled an endpoint.
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
        if is_disabled && self.usage.exceeds_limit(max_id_record_len(id)) {
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

    /// Appends records about a settlement in one write. If `deferrable` is set, they are rejected when the journal
    /// is full; otherwise they are appended without a check of the limit.
    ///
    /// # Errors
    /// The journal is full, or the store refused the records.
    pub fn append_settlement_records(
        &mut self,
        records: &[JournalRecord],
        deferrable: bool,
        now: Micros,
        notes: &mut Vec<Note>,
    ) -> Result<(), JournalError> {
        let frames = frames(records)?;
        let len = frames.len() as u64;
        if deferrable && self.usage.exceeds_limit(len + RESERVE_PER_MESSAGE) {
            // Some of the lines that count towards the limit may be obsolete; a compaction drops them.
            self.compact(now, notes)?;
            if self.usage.exceeds_limit(len + RESERVE_PER_MESSAGE) {
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

    /// Releases the space reserved for a message that is no longer owed, except for the record of its id and end.
    pub fn release_owed(&mut self, msg: MsgId, id: &str) {
        self.usage.finish(msg, id);
    }

    /// Releases the space of a remembered end that was forgotten.
    pub fn release_ended(&mut self, id: &str) {
        self.usage.forget(id);
    }

    /// Records entries of another courier's journal under numbers of this journal, either all of them or none.
    ///
    /// The entries are written by a compaction, which is atomic, instead of being appended: after a crash that stored a
    /// message without its attempts, the next process would repeat an attempt that may have had an effect.
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
        let additional = lens.iter().map(|(_, len)| len + RESERVE_PER_MESSAGE).sum::<u64>()
            + settlements.max_encoded_len();
        if self.usage.exceeds_limit(additional) {
            return Err(JournalError::Full);
        }
        if self.usage.needs_compaction(self.store.len(), additional) {
            self.compact(now, notes)?;
        }
        self.rewrite(entries, settlements, now, notes)?;
        lens.into_iter().for_each(|(msg, len)| self.usage.add_owed(msg, len));
        Ok(())
    }

    fn append(&mut self, frame: &[u8], now: Micros, notes: &mut Vec<Note>) -> Result<(), JournalError> {
        let len = frame.len() as u64;
        // The bytes count twice: in the current file and in its replacement during the next compaction.
        if self.usage.needs_compaction(self.store.len(), len + len + RESERVE_PER_MESSAGE) {
            self.compact(now, notes)?;
        }
        self.store.append(frame).map_err(JournalError::io("write"))
    }

    /// Replaces the stored records by the shortest sequence with the same contents.
    fn compact(&mut self, now: Micros, notes: &mut Vec<Note>) -> Result<(), JournalError> {
        self.rewrite(BTreeMap::new(), &Settlements::default(), now, notes)
    }

    /// Compacts the journal and adds these entries and settlements in the same atomic replacement.
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
        for (settlement_id, lines) in &settlements.0 {
            contents.settlements.0.entry(settlement_id.clone()).or_default().extend(lines.iter().cloned());
        }
        let settlements_len = contents.settlements.max_encoded_len();
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
