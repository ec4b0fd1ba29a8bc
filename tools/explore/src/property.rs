//! The properties that the exploration checks, and how a violation is reported.

use serde::{Deserialize, Serialize};

/// What must hold in every world; `docs/exploration.md` has the properties in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Property {
    /// One final answer for each accepted message, in time, and none for others.
    FinalAnswer,
    /// No call is repeated while an earlier one may have run, but within the span of a key.
    NoRepeat,
    /// No call begins to an endpoint that has drained for longer than the grace period.
    Drain,
    /// No call reaches a destination during a wait that it asked for.
    Wait,
    /// Messages go out as submitted, and limits of attempts, slots and pending messages are kept.
    Unchanged,
    /// What was accepted is in the store, and every prefix of the store can be read.
    #[serde(rename = "kept")]
    Durability,
    /// Without further faults every message ends, and every table is empty then.
    Liveness,
}

impl Property {
    /// All properties, with the sentence that is printed for each.
    pub const ALL: [(Property, &'static str); 7] = [
        (
            Property::FinalAnswer,
            "one final answer for each message taken on, in time; none for one that was not",
        ),
        (
            Property::NoRepeat,
            "no debit sent while an earlier attempt may have run; no notice outside its key's span",
        ),
        (Property::Drain, "no first byte to an endpoint later than 1 s after its drain was told"),
        (Property::Wait, "no call to a destination during a wait that it told"),
        (Property::Unchanged, "id, key, body and destination as handed in; attempts, slots and holding kept"),
        (Property::Durability, "what was answered 202 is in the store, and every prefix is read back"),
        (Property::Liveness, "if the world turns kind, everything owed ends and every table empties"),
    ];

    /// The name that is printed, and written in recorded paths.
    pub fn name(self) -> &'static str {
        match self {
            Property::FinalAnswer => "final-answer",
            Property::NoRepeat => "no-repeat",
            Property::Drain => "drain",
            Property::Wait => "wait",
            Property::Unchanged => "unchanged",
            Property::Durability => "kept",
            Property::Liveness => "liveness",
        }
    }
}

/// A property that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {what}", .property.name())]
pub struct Violation {
    /// The property.
    pub property: Property,
    /// What was seen, in a sentence.
    pub what: String,
}

/// A violation as an error.
///
/// # Errors
/// Always.
pub fn violated<T>(property: Property, what: String) -> Result<T, Violation> {
    Err(Violation { property, what })
}
