//! The proof that the exploration of streams can fail: for each deliberate break of streams a case that finds it.

use super::case::StreamCase;
use crate::property::Property;

/// A deliberate break that the exploration of streams finds.
#[derive(Clone, Copy, Debug)]
pub struct StreamBreak {
    /// The name of the break.
    pub name: &'static str,
    /// The case that finds it.
    pub case: StreamCase,
    /// The property that it violates.
    pub property: Property,
}

impl StreamBreak {
    const fn new(name: &'static str, case: StreamCase, property: Property) -> StreamBreak {
        StreamBreak { name, case, property }
    }
}

/// All deliberate breaks of streams.
pub const BREAKS: &[StreamBreak] = &[
    StreamBreak::new("last-byte-early", StreamCase::FIXED_LENGTH, Property::Unchanged),
    StreamBreak::new("deaf-forgotten", StreamCase::FIXED_LENGTH, Property::Liveness),
    StreamBreak::new("half-sent-never-ran", StreamCase::FIXED_LENGTH, Property::NoRepeat),
    StreamBreak::new("committed-again", StreamCase::FIXED_LENGTH, Property::Unchanged),
    StreamBreak::new("pause-ignored", StreamCase::TWO_BODIES, Property::Wait),
    StreamBreak::new("share-ignored", StreamCase::TWO_BODIES, Property::Unchanged),
];
