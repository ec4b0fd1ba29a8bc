//! Deliberate breaks of the settlements' code, behind the feature `breaks`: its tests prove with them that
//! they can fail. Without the feature every one is off at compile time.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// A debit that may have run is sent again.
    DebitRepeated,
    /// A session's settlement counts as closed before the partner has confirmed it.
    ClosedEarly,
    /// A position that is missing is passed over.
    SkipHole,
    /// What was handed in goes on after a break.
    AfterBreak,
    /// A position is sent before its record is in the book.
    SendUnwritten,
    /// A taker opens its session at once.
    NoLinger,
    /// A taker takes an attempt that was out for one that never ran.
    OutNeverRan,
    /// A home that was asked to move goes on while the move is being agreed.
    ReleaseInMove,
    /// A hand-in is answered before its record is in the book.
    ReplyUnwritten,
}

/// Each break.
pub const ALL: &[Break] = &[
    Break::DebitRepeated,
    Break::ClosedEarly,
    Break::SkipHole,
    Break::AfterBreak,
    Break::SendUnwritten,
    Break::NoLinger,
    Break::OutNeverRan,
    Break::ReleaseInMove,
    Break::ReplyUnwritten,
];

crate::breaks::switch!(Break);
