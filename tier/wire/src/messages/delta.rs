//! Deltas between byte strings: the parts of the old string that the new string repeats, and the new bytes between them.
//!
//! The old string is indexed by blocks of fixed size. The new string is scanned for these blocks at every position, and each match
//! is extended in both directions as far as the strings agree (the rsync algorithm, Tridgell 1999, chapter 3; here the complete old
//! string is available).

use rkyv::{Archive, Deserialize, Serialize};
use std::collections::HashMap;

/// Size of an indexed block, bytes. Shorter repetitions are not found.
const BLOCK_BYTES: usize = 16;
/// Largest result of [`Delta::apply`], bytes.
const MAX_RESULT_BYTES: usize = 32 << 20;

/// One step of a delta, which produces one part of the new string.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DeltaStep {
    /// Copies a part of the old string.
    Copy {
        /// Offset of the part in the old string, bytes.
        start: u32,
        /// Length of the part, bytes.
        length: u32,
    },
    /// Inserts bytes that are not copied from the old string.
    Insert(Vec<u8>),
}

/// The steps that produce the new string from the old one.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Delta {
    /// Steps in the order of the parts of the new string.
    pub steps: Vec<DeltaStep>,
    /// CRC-32 of the new string.
    pub checksum: u32,
}

/// Reasons why a delta can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// A step copies bytes beyond the end of the old string.
    #[error("the delta copies bytes beyond the end of the old string")]
    OutOfRange,
    /// The result is larger than 32 MiB.
    #[error("the result of the delta exceeds 32 MiB")]
    TooLarge,
    /// The result is not the new string, because the delta was made for another old string.
    #[error("the checksum of the result does not match the delta, which was made for another old string")]
    WrongChecksum,
}

impl Delta {
    /// Computes the delta that produces `new` from `old`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let blocks = index_blocks(old);
        let mut steps = Vec::new();
        let mut copy_end = 0;
        let mut insert_start = 0;
        let mut position = 0;
        while position + BLOCK_BYTES <= new.len() {
            let block = &new[position..position + BLOCK_BYTES];
            // If several blocks are equal, prefer the block at the same distance after the last copy as in the new string.
            let continuation = copy_end + position - insert_start;
            let continues = old.get(continuation..continuation + BLOCK_BYTES) == Some(block);
            let Some(start) = continues.then_some(continuation).or_else(|| blocks.get(block).copied()) else {
                position += 1;
                continue;
            };
            let prefix = common_suffix(&old[..start], &new[insert_start..position]);
            let length = prefix + common_prefix(&old[start..], &new[position..]);
            push_insert(&mut steps, &new[insert_start..position - prefix]);
            steps.push(DeltaStep::Copy { start: (start - prefix) as u32, length: length as u32 });
            copy_end = start - prefix + length;
            position = position - prefix + length;
            insert_start = position;
        }
        push_insert(&mut steps, &new[insert_start..]);
        Delta { steps, checksum: crc32fast::hash(new) }
    }

    /// Applies the delta to the old string and returns the new one.
    ///
    /// # Errors
    /// [`DeltaError::OutOfRange`] or [`DeltaError::WrongChecksum`] if the delta was made for another old string,
    /// [`DeltaError::TooLarge`] if the result exceeds 32 MiB.
    pub fn apply(&self, old: &[u8]) -> Result<Vec<u8>, DeltaError> {
        let mut new = Vec::new();
        for step in &self.steps {
            let part = match step {
                DeltaStep::Copy { start, length } => {
                    let start = *start as usize;
                    let end = start.saturating_add(*length as usize);
                    old.get(start..end).ok_or(DeltaError::OutOfRange)?
                }
                DeltaStep::Insert(bytes) => bytes,
            };
            if new.len() + part.len() > MAX_RESULT_BYTES {
                return Err(DeltaError::TooLarge);
            }
            new.extend_from_slice(part);
        }
        if crc32fast::hash(&new) == self.checksum { Ok(new) } else { Err(DeltaError::WrongChecksum) }
    }

    /// Returns the approximate size of the delta in a message, bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        let inserted_bytes = |step: &DeltaStep| match step {
            DeltaStep::Copy { .. } => 0,
            DeltaStep::Insert(bytes) => bytes.len(),
        };
        self.steps.iter().map(|step| BLOCK_BYTES + inserted_bytes(step)).sum()
    }
}

/// Indexes the offsets of the consecutive blocks of a string; of equal blocks, only the first is indexed.
fn index_blocks(old: &[u8]) -> HashMap<&[u8], usize> {
    let mut blocks = HashMap::new();
    for (number, block) in old.chunks_exact(BLOCK_BYTES).enumerate() {
        blocks.entry(block).or_insert(number * BLOCK_BYTES);
    }
    blocks
}

fn common_prefix(left: &[u8], right: &[u8]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}

fn common_suffix(left: &[u8], right: &[u8]) -> usize {
    left.iter().rev().zip(right.iter().rev()).take_while(|(left, right)| left == right).count()
}

fn push_insert(steps: &mut Vec<DeltaStep>, bytes: &[u8]) {
    if !bytes.is_empty() {
        steps.push(DeltaStep::Insert(bytes.to_vec()));
    }
}
