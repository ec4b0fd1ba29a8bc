//! Deliberate breaks of this module's code, behind the feature `breaks`: the simulation proves with them that
//! it can fail. One at most is on, for the thread that put it on, so that tests side by side don't meet.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// A raise is agreed on without room for it.
    CapacityIgnored,
    /// A recall counts as met when it is told.
    RecallUnconfirmed,
    /// A connection that closes no longer counts.
    ClosingUncounted,
    /// A courier goes on with all that it held when its lease is over.
    LeaseIgnored,
    /// What a lapsed courier held is free at once.
    LapseFreesAtOnce,
    /// A process uses its floor at once, though its earlier life's connections may be open.
    FloorTooSoon,
    /// A confirmation of an earlier recall counts for the present one.
    NumberIgnored,
    /// A tenant's floor is divided like anything else.
    FloorForgotten,
    /// Who goes without is never overdue and gathers no credit.
    TurnsForgotten,
}

pub const ALL: &[Break] = &[
    Break::CapacityIgnored,
    Break::RecallUnconfirmed,
    Break::ClosingUncounted,
    Break::LeaseIgnored,
    Break::LapseFreesAtOnce,
    Break::FloorTooSoon,
    Break::NumberIgnored,
    Break::FloorForgotten,
    Break::TurnsForgotten,
];

crate::breaks::switch!(Break);
