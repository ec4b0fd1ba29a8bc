//! The settlements that one courier owns.
//!
//! A submission is written to the journal and then acknowledged; submissions may arrive in any order and through
//! any courier. At most one position is in flight, and it is sent after its record is in the journal. The effect of
//! an outcome is written before anyone is notified, in the same write as the release of the next position, so that
//! each position costs one write. An owner acts only while the replicated state names it under its own epoch and
//! term. If the journal rejects a record because it is sealed, the ownership of all settlements ends
//! ([`OwnerInput::Sealed`]).
//!
//! Writes may be acknowledged in any order, but the journal has them in the order in which they were requested.
//! Only a submission may be rejected for lack of space ([`OwnerInput::WriteRejected`]): the journal reserves the
//! space for the records that result from an accepted submission.
//!
//! The caller passes each [`OwnerInput`] to [`OwnedSettlements::step`] with the replicated state and the time,
//! carries out the returned [`OwnerOutput`]s in order, and sends [`OwnerInput::Tick`] at
//! [`OwnedSettlements::wake_at`].
//!
//! The module `interface` defines the inputs, outputs and limits. The module `machine` defines the state of one
//! settlement; `admission`, `persistence`, `order`, `attempt`, `verdict` and `takeover` each implement one concern
//! of it. The module `owned` manages the settlements of a courier, `changes` applies changes of owner, and
//! `capacity` tracks the reserved connections and the pending messages of each tenant.

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
