//! How much of the disk a journal needs: what its records would take after a compaction, at most.
//!
//! A message may be accepted only if the attempts and the end that it will still record fit as well, so each owed message
//! reserves space for them.

use quillmount_policy::MsgId;
use std::collections::BTreeMap;

use super::contents::JournalContents;
use super::error::JournalError;
use super::frame::encoded_len;
use super::record::JournalRecord;

/// Files are counted in blocks of this size, in bytes.
pub(super) const BLOCK: u64 = 512;
/// The space that each owed message may still need for its attempts, their outcomes and its end, in bytes.
pub(super) const RESERVE: u64 = 512;
/// Blocks that files may be rounded up by.
const ROUNDING_BLOCKS: u64 = 4;
/// The most that the record of an endpoint's or an ended message's id takes in addition to the id, in bytes.
const ID_RECORD_OVERHEAD: u64 = 48;

/// The space that a journal's live records take, in bytes.
#[derive(Clone, Debug)]
pub(super) struct SpaceUsage {
    /// The most that all files together may take.
    limit: u64,
    /// The most that each owed message takes after a compaction, in bytes.
    owed: BTreeMap<MsgId, u64>,
    /// The sum of `owed`.
    owed_sum: u64,
    /// Records of remembered ends.
    ended: u64,
    /// Records of disabled endpoints.
    disabled: u64,
    /// Records of settlements, with those written since the last compaction that may be obsolete.
    settlements: u64,
}

impl SpaceUsage {
    /// The usage of these contents.
    pub(super) fn new(limit: u64, contents: &JournalContents) -> Result<Self, JournalError> {
        let mut usage = SpaceUsage {
            limit,
            owed: BTreeMap::new(),
            owed_sum: 0,
            ended: contents.ended.iter().map(|ended| id_len_max(&ended.id)).sum(),
            disabled: contents.disabled.iter().map(id_len_max).sum(),
            settlements: contents.settlements.encoded_len_max(),
        };
        for (msg, entry) in &contents.owed {
            let accepted = JournalRecord::Accept { msg: *msg, taken: entry.taken.clone() };
            usage.add_owed(*msg, encoded_len(&accepted)?);
        }
        Ok(usage)
    }

    /// What a compacted journal would take, at most.
    pub(super) fn compacted(&self) -> u64 {
        self.owed_sum + self.ended + self.disabled + self.settlements
    }

    /// So many more live bytes would not fit: during a compaction the old file and its replacement exist side by side.
    pub(super) fn exceeds_limit(&self, more: u64) -> bool {
        2 * (self.compacted() + more) + ROUNDING_BLOCKS * BLOCK > self.limit
    }

    /// A file of `len` bytes leaves no space for its compacted replacement with so many more bytes.
    pub(super) fn needs_compaction(&self, len: u64, more: u64) -> bool {
        len + self.compacted() + more + ROUNDING_BLOCKS * BLOCK > self.limit
    }

    /// A message whose records take `len` bytes is owed now.
    pub(super) fn add_owed(&mut self, msg: MsgId, len: u64) {
        self.owed.insert(msg, len + RESERVE);
        self.owed_sum += len + RESERVE;
    }

    /// The message is no longer owed, and its end is remembered under its id.
    pub(super) fn finish(&mut self, msg: MsgId, id: &str) {
        self.owed_sum -= self.owed.remove(&msg).unwrap_or(0);
        self.ended += id_len_max(id);
    }

    /// The end remembered under this id is forgotten.
    pub(super) fn forget(&mut self, id: &str) {
        self.ended = self.ended.saturating_sub(id_len_max(id));
    }

    /// An endpoint was disabled or enabled.
    pub(super) fn set_disabled(&mut self, id: &str, is_disabled: bool) {
        let len = id_len_max(id);
        self.disabled = if is_disabled { self.disabled + len } else { self.disabled.saturating_sub(len) };
    }

    /// Records about settlements were appended.
    pub(super) fn add_settlements(&mut self, len: u64) {
        self.settlements += len;
    }

    /// A compaction has left records about settlements of at most so many bytes.
    pub(super) fn set_settlements(&mut self, len: u64) {
        self.settlements = len;
    }
}

/// The most that a record takes whose only variable part is this id, in bytes.
pub(super) fn id_len_max(id: &str) -> u64 {
    id.len() as u64 + ID_RECORD_OVERHEAD
}
