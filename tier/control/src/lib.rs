//! The control state of the serving tier, and the state machine of the core members that replicate it.
//!
//! [`ControlState`] is a deterministic value: configuration, members, stores, shard views and usage reports.
//! Each change of it is a method that decides from the state and its arguments alone. [`Member`] replicates the
//! state over the core: the caller hands it messages, completed writes and the time, and carries out the
//! [`MemberAction`]s that it returns. Neither does I/O nor reads a clock, so that tests drive whole clusters on
//! virtual time.
//!
//! [`subscription`], [`CoreContact`] and [`direct_list`] are the side of the processes that poll the core: which address to poll next,
//! what is known of the primary, and when to read the endpoint list without it. [`polls`], [`Leases`] and [`Directory`] are the primary's: who is live, which tables a subscriber gets, and
//! the endpoint list as a difference to an earlier version.

mod admission;
pub mod breaks;
mod contacts;
mod core_contact;
pub mod direct_list;
pub mod directory;
mod fenced_calls;
mod leases;
mod member;
mod orders;
pub mod polls;
mod scaling;
mod shards;
mod state;
pub mod subscription;
mod table_history;
mod time_limits;
mod transmission;
mod usage;

pub use admission::Admission;
pub use contacts::Contacts;
pub use core_contact::CoreContact;
pub use directory::{Directory, apply_update};
pub use fenced_calls::{FencedCalls, FencedSubject};
pub use leases::Leases;
pub use member::{
    Member, MemberAction, NotPrimary, RegisterWrite, SubmittedChange, SubmittedRead, Ticket, WriteOutcome,
};
pub use orders::{APPLIED_ORDERS_LIMIT, Order, OrderKind, OrderOutcome};
pub use scaling::Scaler;
pub use shards::{Retirement, SHARDS, ShardPlanInputs, shard_of};
pub use state::{AppliedOrder, ControlState};
pub use table_history::TableHistory;
pub use time_limits::TimeLimits;
pub use transmission::{Saturated, TURN_LIMIT, TransmissionBudget};
pub use usage::{LastHeard, SETTLE_S, all_reported, may_finalize};
