//! The commands to the replicated state of settlements, and the events that report their effect. Both are encoded by
//! position: the order of variants and fields must not change.

use crate::settlement::model::{SettlementId, Verdict};
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};

/// Identifies the journal of a courier in one registration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JournalRef {
    /// The name of the courier that writes the journal.
    pub courier: String,
    /// The epoch of the registration; it grows with each registration of the courier.
    pub epoch: u64,
}

/// A command to the replicated state. A command that is repeated or has an outdated term changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementCommand {
    /// A courier proposes itself as the owner of a settlement; the first such command in the log takes effect.
    Open {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The name of the proposed owner.
        owner: String,
        /// The epoch of the proposed owner's registration.
        owner_epoch: u64,
    },
    /// The owner of this term moves the settlement to another courier. From then on the owner counts as leaving and
    /// receives no settlement, as otherwise two couriers that drain at the same time would move one back and forth.
    Move {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The term of the current owner.
        term: u64,
        /// The name of the next owner.
        to: String,
        /// The epoch of the next owner's registration.
        to_epoch: u64,
        /// True if no attempt is in flight and no session is open.
        #[serde(rename = "boundary")]
        at_boundary: bool,
    },
    /// The owner of this term has copied the records from all journals of earlier owners into its own journal.
    CaughtUp {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The term of the owner that proposes the command.
        term: u64,
    },
    /// The owner of this term has ended the settlement.
    Close {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The term of the owner that proposes the command.
        term: u64,
        /// The final state of the settlement.
        verdict: Verdict,
        /// The time until which the verdict is retained, in microseconds.
        #[serde(rename = "until")]
        retain_until: Micros,
    },
    /// The courier has cancelled its drain and may receive settlements again.
    CancelDrain {
        /// The name of the courier.
        courier: String,
        /// The epoch of its current registration.
        epoch: u64,
    },
    /// Deletes the verdicts whose retention ends before this time.
    Forget {
        /// The time of the leader minus the allowed clock drift, in microseconds.
        #[serde(rename = "before")]
        retained_before: Micros,
    },
}

/// The effect of a command, or the reason why it had none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementEvent {
    /// The settlement is open and has its first owner.
    Opened {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The journal of the first owner.
        owner: JournalRef,
        /// The term of the owner that proposes the command.
        term: u64,
    },
    /// The settlement was not opened: the limit of open settlements or retained verdicts is reached.
    NotOpened {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The number of open settlements in the fleet.
        #[serde(rename = "open")]
        open_settlements: u64,
    },
    /// The settlement has a new owner.
    Moved {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The journal of the previous owner.
        from: JournalRef,
        /// The journal of the new owner.
        to: JournalRef,
        /// The term of the new owner.
        term: u64,
        /// True if no attempt was in flight and no session was open.
        #[serde(rename = "boundary")]
        at_boundary: bool,
    },
    /// The move was rejected, because the proposed owner is deregistered or leaving.
    NotMoved {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The term of the current owner.
        term: u64,
        /// The proposed owner.
        to: JournalRef,
    },
    /// The records of the settlement in these journals are no longer needed.
    CaughtUp {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The journals of earlier owners.
        journals: Vec<JournalRef>,
    },
    /// The settlement has ended; its verdict is retained.
    Closed {
        /// The settlement that the command or event is about.
        id: SettlementId,
        /// The journal of the last owner.
        owner: JournalRef,
        /// The final state of the settlement.
        verdict: Verdict,
    },
}
