//! Settlements: ordered sequences of messages from one tenant to one partner, from an opening to a closing, in
//! session mode or in message mode.
//!
//! Each settlement has one owner, the courier that the replicated state names ([`registry`]). A courier that is not
//! the owner forwards a submission to it ([`forward`]). In both modes the [`owner`] keeps at most one position in
//! flight, so no message after a break ever runs. In session mode it uses one connection from the opening to the
//! closing ([`session`]). The [`translator`] converts the boundaries of a settlement from one mode into the other.
//!
//! A settlement has one final state: [`Verdict::Closed`], or [`Verdict::Broken`] at a position. State that has to
//! outlive the owner is written as a [`SettlementRecord`] to the owner's journal and to a replica of it before the
//! owner acts on it. A sealed journal accepts no record, so an owner that was replaced cannot begin anything.
//!
//! All modules are state machines without I/O. They take the time as an argument, in microseconds
//! (`docs/fleet-design.md`).

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
