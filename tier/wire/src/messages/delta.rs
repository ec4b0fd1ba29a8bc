//! The difference between two byte strings: which parts of the old one the new one repeats, and what stands between them.
//!
//! The old string is indexed by blocks of fixed size; the new one is scanned for these blocks at every position, and each match is
//! extended as far as both agree (Tridgell 1999, chapter 3, with the complete old string at hand).

use rkyv::{Archive, Deserialize, Serialize};
use std::collections::HashMap;

/// Bytes of a block of the index: no shorter repetition is found.
const BLOCK_BYTES: usize = 16;
/// Largest result of [`Delta::apply`], bytes.
const RESULT_LIMIT: usize = 32 << 20;

/// One part of the new string.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DeltaStep {
    /// A part of the old string.
    Copy {
        /// Where it begins, bytes.
        start: u32,
        /// Its length, bytes.
        length: u32,
    },
    /// Bytes that the old string does not have there.
    Insert(Vec<u8>),
}

/// What makes the new string of the old one.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Delta {
    /// Parts of the new string, in their order.
    pub steps: Vec<DeltaStep>,
    /// CRC-32 of the new string.
    pub checksum: u32,
}

/// Why a difference does not apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It copies a part that the old string does not have.
    #[error("the difference refers to bytes that are not there")]
    OutOfRange,
    /// The result is above 32 MiB.
    #[error("the result of the difference is too large")]
    TooLarge,
    /// The result is not the new string: the difference was made for another old one.
    #[error("the result of the difference has a wrong checksum")]
    WrongChecksum,
}

impl Delta {
    /// The difference that leads from `old` to `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let blocks = index(old);
        let mut steps = Vec::new();
        let mut copied_to = 0;
        let mut inserted_from = 0;
        let mut position = 0;
        while position + BLOCK_BYTES <= new.len() {
            let block = &new[position..position + BLOCK_BYTES];
            // Of equal blocks the one is meant that follows the last copy, as far behind it as this one is in the new string.
            let next = copied_to + position - inserted_from;
            let follows = old.get(next..next + BLOCK_BYTES) == Some(block);
            let Some(start) = follows.then_some(next).or_else(|| blocks.get(block).copied()) else {
                position += 1;
                continue;
            };
            let before = common_suffix(&old[..start], &new[inserted_from..position]);
            let length = before + common_prefix(&old[start..], &new[position..]);
            push_insert(&mut steps, &new[inserted_from..position - before]);
            steps.push(DeltaStep::Copy { start: (start - before) as u32, length: length as u32 });
            copied_to = start - before + length;
            position = position - before + length;
            inserted_from = position;
        }
        push_insert(&mut steps, &new[inserted_from..]);
        Delta { steps, checksum: crc32fast::hash(new) }
    }

    /// The new string, made of the old one.
    ///
    /// # Errors
    /// The difference was made for another string, or leads to one above 32 MiB.
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
            if new.len() + part.len() > RESULT_LIMIT {
                return Err(DeltaError::TooLarge);
            }
            new.extend_from_slice(part);
        }
        if crc32fast::hash(&new) == self.checksum { Ok(new) } else { Err(DeltaError::WrongChecksum) }
    }

    /// Size in a message, bytes, approximately.
    #[must_use]
    pub fn size(&self) -> usize {
        let inserted = |step: &DeltaStep| match step {
            DeltaStep::Copy { .. } => 0,
            DeltaStep::Insert(bytes) => bytes.len(),
        };
        self.steps.iter().map(|step| BLOCK_BYTES + inserted(step)).sum()
    }
}

/// Where each block of a string begins, for blocks side by side; of equal blocks the first.
fn index(old: &[u8]) -> HashMap<&[u8], usize> {
    let mut blocks = HashMap::new();
    for (number, block) in old.chunks_exact(BLOCK_BYTES).enumerate() {
        blocks.entry(block).or_insert(number * BLOCK_BYTES);
    }
    blocks
}

fn common_prefix(one: &[u8], other: &[u8]) -> usize {
    one.iter().zip(other).take_while(|(one, other)| one == other).count()
}

fn common_suffix(one: &[u8], other: &[u8]) -> usize {
    one.iter().rev().zip(other.iter().rev()).take_while(|(one, other)| one == other).count()
}

fn push_insert(steps: &mut Vec<DeltaStep>, bytes: &[u8]) {
    if !bytes.is_empty() {
        steps.push(DeltaStep::Insert(bytes.to_vec()));
    }
}
