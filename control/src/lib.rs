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
pub use directory::{Directory, apply_news};
pub use member::{CoreMember, MemberOutput, NotPrimary, RegisterWrite, Ticket};
pub use members::Admission;
pub use orders::{Order, OrderKind, TAKEN_LIMIT, Verdict};
pub use scaling::Scaler;
pub use shards::{Retirement, SHARDS, ShardInputs, shard_of};
pub use state::{ControlState, TakenOrder};
pub use usage::{Heard, SETTLE_S, all_heard, may_fix};
