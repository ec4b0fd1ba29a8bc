//! The commands to the agreed state of settlements, and what they change. Encoded by position: variants and fields keep
//! their order.

use crate::settlement::model::{SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// One courier's journal in one registration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JournalRef {
    /// The courier's name.
    pub courier: String,
    /// The registration's epoch.
    pub epoch: u64,
}

/// A command to the agreed state. A late or repeated one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementCommand {
    /// A courier proposes to own a settlement; the first such command makes it the owner.
    Open {
        /// The settlement.
        id: SettlementId,
        /// The courier's name.
        owner: String,
        /// The epoch of its registration.
        owner_epoch: u64,
    },
    /// The owner of this term moves the settlement to another courier. An owner that does so is leaving, and no settlement
    /// moves to it, as two couriers that drain at once would otherwise pass one back and forth.
    Move {
        /// The settlement.
        id: SettlementId,
        /// The present owner's term.
        term: u64,
        /// The name of the next owner.
        to: String,
        /// The epoch of its registration.
        to_epoch: u64,
        /// Nothing is in flight and no session is open.
        boundary: bool,
    },
    /// The owner of this term has copied all records of earlier journals into its own.
    CaughtUp {
        /// The settlement.
        id: SettlementId,
        /// The owner's term.
        term: u64,
    },
    /// The owner of this term has ended the settlement.
    Close {
        /// The settlement.
        id: SettlementId,
        /// The owner's term.
        term: u64,
        /// How it ended.
        verdict: Verdict,
        /// The verdict is remembered until then.
        until: Micros,
    },
    /// This courier is not leaving any more.
    CancelDrain {
        /// The courier's name.
        courier: String,
        /// The epoch of its registration.
        epoch: u64,
    },
    /// Verdicts that are remembered until an earlier time are forgotten.
    Forget {
        /// The leader's time, less the allowed clock drift.
        before: Micros,
    },
}

/// What a command changed, or why it did not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementEvent {
    /// The settlement has its first owner.
    Opened {
        /// The settlement.
        id: SettlementId,
        /// The owner.
        owner: JournalRef,
        /// The owner's term.
        term: u64,
    },
    /// Too many settlements are open or remembered.
    NotOpened {
        /// The settlement.
        id: SettlementId,
        /// The number of open settlements.
        open: u64,
    },
    /// The settlement has another owner.
    Moved {
        /// The settlement.
        id: SettlementId,
        /// The earlier owner.
        from: JournalRef,
        /// The new owner.
        to: JournalRef,
        /// The new owner's term.
        term: u64,
        /// Nothing was in flight and no session was open.
        boundary: bool,
    },
    /// The move was rejected: its destination is no member any more, or is leaving itself.
    NotMoved {
        /// The settlement.
        id: SettlementId,
        /// The present owner's term.
        term: u64,
        /// The courier that was to own it next.
        to: JournalRef,
    },
    /// The settlement's records in these journals are no longer needed.
    CaughtUp {
        /// The settlement.
        id: SettlementId,
        /// The journals of earlier owners.
        journals: Vec<JournalRef>,
    },
    /// The settlement has ended.
    Closed {
        /// The settlement.
        id: SettlementId,
        /// Its last owner.
        owner: JournalRef,
        /// How it ended.
        verdict: Verdict,
    },
}
