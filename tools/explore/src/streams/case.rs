//! What is explored of streamed bodies: how many, of which form, and with which faults.

use crate::case::{DEBIT, NOTICE};
use std::fmt;

/// Attempts for a message that a case may allow.
const ATTEMPTS_MAX: u32 = 3;
/// Bodies that a case may have.
const BODIES_MAX: u8 = 2;

/// The streamed bodies of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamCase {
    /// The class of the messages, an index into [`crate::case::CLASSES`].
    pub class: u8,
    /// The body comes in chunks, without a length.
    pub chunked: bool,
    /// Attempts for a message at most.
    pub attempts: u32,
    /// The process may be killed once.
    pub kills: bool,
    /// 1, or 2: then both are for one destination, shorter, and meet fewer events.
    pub bodies: u8,
}

/// A case of streams that can't be explored. The texts name the options of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamCaseError {
    /// The number of attempts is out of its range.
    #[error("attempts: from 1 to {ATTEMPTS_MAX} are possible, not {0}")]
    Attempts(u32),
    /// The number of bodies is out of its range.
    #[error("bodies: 1 or {BODIES_MAX} are possible, not {0}")]
    Bodies(u8),
}

impl StreamCase {
    /// A debit of a stated length.
    pub(super) const FIXED_LENGTH: StreamCase =
        StreamCase { class: DEBIT, chunked: false, attempts: 2, kills: true, bodies: 1 };
    /// A debit in chunks.
    const CHUNKED: StreamCase = StreamCase { chunked: true, ..StreamCase::FIXED_LENGTH };
    /// Two debits for one destination.
    pub(super) const TWO_BODIES: StreamCase =
        StreamCase { attempts: 1, kills: false, bodies: 2, ..StreamCase::FIXED_LENGTH };

    /// Checks the numbers of attempts and bodies against their ranges.
    ///
    /// # Errors
    /// A number that no world can have, or whose exploration would not end.
    pub fn check(&self) -> Result<(), StreamCaseError> {
        if !(1..=ATTEMPTS_MAX).contains(&self.attempts) {
            return Err(StreamCaseError::Attempts(self.attempts));
        }
        if !(1..=BODIES_MAX).contains(&self.bodies) {
            return Err(StreamCaseError::Bodies(self.bodies));
        }
        Ok(())
    }

    /// Units of a body; a unit is one byte.
    pub(super) fn body_length(&self) -> u64 {
        if self.bodies > 1 { 2 } else { 3 }
    }

    /// Units that the courier buffers of a body at most.
    pub(super) fn window(&self) -> u64 {
        self.body_length() - 1
    }

    /// Whether the case has one body only, which then meets every event.
    pub(super) fn is_single(&self) -> bool {
        self.bodies == 1
    }
}

/// The form in which `prove` prints a case.
impl fmt::Display for StreamCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StreamCase { class, chunked, attempts, kills, bodies } = self;
        write!(
            f,
            "Size {{ class: {class}, chunked: {chunked}, attempts: {attempts}, kills: {kills}, bodies: {bodies} }}"
        )
    }
}

/// The cases that are explored, for which every property holds.
pub const VERIFIED_CASES: &[StreamCase] = &[
    StreamCase::FIXED_LENGTH,
    StreamCase::CHUNKED,
    StreamCase { class: NOTICE, chunked: false, attempts: 2, kills: false, bodies: 1 },
    StreamCase { class: NOTICE, chunked: true, attempts: 2, kills: true, bodies: 1 },
    StreamCase::TWO_BODIES,
];
