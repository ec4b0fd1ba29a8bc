//! Accounting of the journal's disk space: an upper bound of the size of its records after a compaction.
//!
//! A message may be accepted only if the records of its attempts and its end will also fit, so each owed message
//! reserves space for them.

use quillmount_policy::MsgId;
use std::collections::BTreeMap;

use super::contents::JournalContents;
use super::error::JournalError;
use super::frame::encoded_len;
use super::record::JournalRecord;

/// Size of a disk block in bytes; file sizes are rounded up to whole blocks.
pub(super) const BLOCK_SIZE: u64 = 512;
/// Space reserved per owed message for its attempts, their outcomes and its end, in bytes.
pub(super) const RESERVE_PER_MESSAGE: u64 = 512;
/// Number of blocks that rounding may add to the total size of all files.
const ROUNDING_BLOCKS: u64 = 4;
/// Upper bound of the size of a record with the id of an endpoint or ended message, without the id itself, in bytes.
const ID_RECORD_OVERHEAD: u64 = 48;

/// The space taken by a journal's live records, in bytes.
#[derive(Clone, Debug)]
pub(super) struct SpaceUsage {
    /// Limit on the size of all files together.
    limit: u64,
    /// Upper bound of the size of each owed message after a compaction, including its reserve.
    owed: BTreeMap<MsgId, u64>,
    /// The sum of `owed`.
    owed_sum: u64,
    /// Size of the records of remembered ends.
    ended: u64,
    /// Size of the records of disabled endpoints.
    disabled: u64,
    /// Size of the records of settlements, including obsolete ones written since the last compaction.
    settlements: u64,
}

impl SpaceUsage {
    /// Computes the space that these contents take.
    pub(super) fn new(limit: u64, contents: &JournalContents) -> Result<Self, JournalError> {
        let mut usage = SpaceUsage {
            limit,
            owed: BTreeMap::new(),
            owed_sum: 0,
            ended: contents.ended.iter().map(|ended| max_id_record_len(&ended.id)).sum(),
            disabled: contents.disabled.iter().map(max_id_record_len).sum(),
            settlements: contents.settlements.max_encoded_len(),
        };
        for (msg, entry) in &contents.owed {
            let accepted = JournalRecord::Accept { msg: *msg, message: entry.message.clone() };
            usage.add_owed(*msg, encoded_len(&accepted)?);
        }
        Ok(usage)
    }

    /// Upper bound of the journal's size after a compaction.
    pub(super) fn compacted(&self) -> u64 {
        self.owed_sum + self.ended + self.disabled + self.settlements
    }

    /// Whether this many additional live bytes would not fit. During a compaction the old file and its replacement
    /// exist at the same time, so live bytes count twice.
    pub(super) fn exceeds_limit(&self, additional: u64) -> bool {
        2 * (self.compacted() + additional) + ROUNDING_BLOCKS * BLOCK_SIZE > self.limit
    }

    /// Whether a file of `len` bytes leaves no space for its compacted replacement with this many additional bytes.
    pub(super) fn needs_compaction(&self, len: u64, additional: u64) -> bool {
        len + self.compacted() + additional + ROUNDING_BLOCKS * BLOCK_SIZE > self.limit
    }

    /// Adds an owed message whose records take `len` bytes.
    pub(super) fn add_owed(&mut self, msg: MsgId, len: u64) {
        self.owed.insert(msg, len + RESERVE_PER_MESSAGE);
        self.owed_sum += len + RESERVE_PER_MESSAGE;
    }

    /// Replaces the space of an owed message by that of the remembered end under its id.
    pub(super) fn finish(&mut self, msg: MsgId, id: &str) {
        self.owed_sum -= self.owed.remove(&msg).unwrap_or(0);
        self.ended += max_id_record_len(id);
    }

    /// Subtracts the space of the remembered end under this id.
    pub(super) fn forget(&mut self, id: &str) {
        self.ended = self.ended.saturating_sub(max_id_record_len(id));
    }

    /// Adds or subtracts the space of a disabled endpoint's record.
    pub(super) fn set_disabled(&mut self, id: &str, is_disabled: bool) {
        let len = max_id_record_len(id);
        self.disabled = if is_disabled { self.disabled + len } else { self.disabled.saturating_sub(len) };
    }

    /// Adds the space of appended records about settlements.
    pub(super) fn add_settlements(&mut self, len: u64) {
        self.settlements += len;
    }

    /// Sets the space of the records about settlements after a compaction.
    pub(super) fn set_settlements(&mut self, len: u64) {
        self.settlements = len;
    }
}

/// Upper bound of the size of a record whose only variable part is this id, in bytes.
pub(super) fn max_id_record_len(id: &str) -> u64 {
    id.len() as u64 + ID_RECORD_OVERHEAD
}
