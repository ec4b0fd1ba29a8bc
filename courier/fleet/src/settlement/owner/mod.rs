//! The settlements that one courier owns.
//!
//! A submission, in whatever order and through whichever courier it arrives, is written to the journal and then
//! acknowledged. Positions leave one at a time, each after its record is in the journal. What an outcome means for
//! the settlement is written before anyone is notified, together with the release of the next position, so that a
//! position costs one write. An owner acts only while the agreed state names it under its own epoch and term; a
//! journal that rejects a record because it is sealed ends all of it ([`OwnerInput::Sealed`]).
//!
//! Writes may be acknowledged in any order but are in the journal in the order they were given. Only a submission
//! may be rejected for lack of space ([`OwnerInput::WriteRejected`]): the journal reserves space for the records
//! that follow from one.
//!
//! The caller passes each [`OwnerInput`] to [`OwnedSettlements::step`] with the agreed state and the time, carries
//! out the returned [`OwnerOutput`]s in order, and sends [`OwnerInput::Tick`] at [`OwnedSettlements::wake_at`].
//!
//! Inside: `interface` has the inputs, outputs and limits; `machine` is one settlement's state, on which
//! `admission`, `persistence`, `order`, `attempt`, `verdict` and `takeover` each implement one concern; `owned`
//! keeps a courier's settlements, with their `changes` of owner, and `capacity` counts what its tenants use.

mod admission;
mod attempt;
mod capacity;
mod changes;
mod interface;
mod machine;
mod order;
mod owned;
mod persistence;
mod takeover;
mod verdict;

pub use interface::{ATTEMPT_BACKOFF, OwnerInput, OwnerOutput, RETRY_INTERVAL, SettlementLimits};
pub use owned::{OwnedCounts, OwnedSettlements};
