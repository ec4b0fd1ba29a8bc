//! Settlements: sequences of messages of one tenant to one partner that belong together, from an opening to a
//! closing, carried between couriers in session mode and in message mode.
//!
//! A settlement has one owner, a courier that the agreement names ([`registry`]). What is submitted at another
//! courier is forwarded to the owner ([`forward`]). The [`owner`] sends the positions in order, one at a time in both
//! modes, as only then does nothing that follows a break ever run. In session mode it keeps one connection from the
//! opening to the closing ([`session`]); [`translator`] converts the boundaries of either mode into the other's.
//!
//! A settlement has one final state: [`Verdict::Closed`], or [`Verdict::Broken`] at a position. Whatever has to
//! survive the owner is a [`SettlementRecord`], which is in the owner's journal and in a replica of it before anything
//! is done about it. A sealed journal accepts no record, so an owner that was replaced can begin nothing.
//!
//! All are state machines without I/O, with the time as an argument in microseconds (`docs/fleet-design.md`).

pub mod breaks;
mod error;
pub mod forward;
pub mod journal_lines;
mod model;
pub mod owner;
mod progress;
pub mod registry;
mod request;
pub mod session;
pub mod translator;

pub use error::SettlementError;
pub use forward::RequestForwarder;
pub use model::{
    Cause, End, Mode, Outcome, PositionRef, Repeat, Resume, SequencedMessage, SettlementId, Verdict,
};
pub use owner::{OwnedCounts, OwnedSettlements, OwnerInput, OwnerOutput, SettlementLimits};
pub use progress::{PositionState, SettlementProgress, SettlementRecord};
pub use registry::{JournalRef, SettlementCommand, SettlementEvent, SettlementOwner, SettlementRegistry};
pub use request::{SettlementMessage, SettlementReply, SettlementRequest};
