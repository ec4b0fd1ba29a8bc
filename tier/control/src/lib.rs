//! The control state of the serving tier, and the state machine of the core members that replicate it.
//!
//! [`ControlState`] is a deterministic value: configuration, members, stores, shard views and usage reports.
//! Each method that changes it depends only on the state and its arguments. [`Member`] replicates the state across the
//! core: the caller passes in messages, completed writes and the current time, and performs the [`MemberAction`]s
//! that are returned. Neither type does I/O or reads a clock, so tests run whole clusters on virtual time.
//!
//! Processes that poll the core use [`subscription`] (which address to poll next), [`CoreContact`] (what is known about
//! the primary) and [`direct_list`] (when to fetch the endpoint list without the primary). The primary uses [`Leases`]
//! (which processes are live), [`polls`] (which tables a subscriber gets) and [`Directory`] (the endpoint list, sent as
//! a difference to an earlier version).

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
    ChangeRejected, Member, MemberAction, NotPrimary, RegisterWrite, SubmittedChange, SubmittedRead, Ticket,
    WriteOutcome,
};
pub use orders::{APPLIED_ORDERS_LIMIT, Order, OrderKind, OrderOutcome};
pub use scaling::Scaler;
pub use shards::{Retirement, SHARDS, ShardPlanInputs, shard_of};
pub use state::{AppliedOrder, ControlState};
pub use table_history::TableHistory;
pub use time_limits::TimeLimits;
pub use transmission::{MAX_QUEUE_DELAY, Saturated, TransmissionBudget};
pub use usage::{LastPoll, SETTLE_S, all_reported, may_finalize};
