//! The control state and every change of it. Deterministic: no I/O, no clock. And how a process finds the core.

pub mod breaks;
mod contacts;
mod directory;
mod member;
mod members;
mod orders;
mod scaling;
mod shards;
mod state;
mod usage;

pub use contacts::Contacts;
pub use directory::{Directory, apply_update};
pub use member::{Member, MemberAction, NotPrimary, RegisterWrite, Ticket};
pub use members::Admission;
pub use orders::{APPLIED_ORDERS_LIMIT, Order, OrderKind, OrderOutcome};
pub use scaling::Scaler;
pub use shards::{Retirement, SHARDS, ShardPlanInputs, shard_of};
pub use state::{AppliedOrder, ControlState};
pub use usage::{LastHeard, SETTLE_S, all_reported, may_finalize};
