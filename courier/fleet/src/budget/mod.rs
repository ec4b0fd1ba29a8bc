//! Budgets: a partner allows the whole fleet so many connections at once, and the partner's tenants share them.
//!
//! The couriers have shares of the budget, as leases, by tenant. The shares are agreed on ([`state`]); the leader moves
//! them ([`leader`]) as the division of what is demanded now says ([`divide`](mod@divide)); each courier begins calls
//! within its shares ([`local`]). Calls in a span of time are counted by the same state machines ([`calls`]).
//!
//! **The budget is never exceeded.** For each courier and partner the agreed state counts the most that may be open. A
//! raise is committed only within what the budget leaves beside the sum of these. A lowered share counts as the old one
//! until its courier has confirmed, under the recall's own number, that it has no more open. So the sum is within the
//! budget at each entry of the log, whoever proposes what, in any order and any number of times. A courier that can't
//! confirm continues to count until [`TimeBounds::drain_time`] after its lease has lapsed; by then it has nothing open
//! but its floor, which counts always. This rests on:
//! - leases: a courier's own lease ends, by its own clock, before the leader considers it lapsed;
//! - the partner (or the network's own limits) ends a connection within [`TimeBounds::max_idle`] of the last byte that
//!   the courier wrote on it, even if the courier has lost its power;
//! - the clock never steps back, continues while a process or its host is suspended, and drifts by 1% at most;
//! - there is one process for each name, each with an epoch of its own; an upgrade hands its [`LocalBudget`] over;
//! - between [`LocalBudget::confirm_open`] and the first packet of the connection a process is not suspended for longer
//!   than [`TimeBounds::drain_time`] after its lease. That window can't be closed from inside.
//!
//! A partner's floor for a courier may be raised while serving. It stays at the highest value that was ever set until
//! the courier is removed: a courier that is cut off may know only that one.

pub mod breaks;
pub mod calls;
mod check;
pub mod divide;
pub mod error;
pub mod leader;
pub mod local;
mod model;
mod report;
pub mod state;

pub use calls::{BudgetGate, GateReports};
pub use check::check;
pub use divide::{Allocation, Claim, divide};
pub use error::BudgetProblem;
pub use leader::BudgetLeader;
pub use local::{ConnectionOrder, LocalBudget, Permit, PermitKind, Refusal, RefusalReason};
pub use model::{Budget, CLOCK_DRIFT_DIVISOR, MAX_BUDGETS, MAX_TENANTS, Tenant, TimeBounds};
pub use report::{BudgetMessage, ConfirmedRecall, Report, ReportLine};
pub use state::{BudgetCommand, BudgetEvent, BudgetState};
