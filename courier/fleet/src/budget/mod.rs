//! Budgets of connections: a partner allows the whole fleet a number of concurrent connections, which the partner's
//! tenants share.
//!
//! Each courier leases shares of the budget, one for each tenant. The shares are part of the replicated state
//! ([`state`]). The leader moves them between couriers ([`leader`]) according to the current demand and the fair
//! division ([`divide`](mod@divide)). Each courier begins calls only within its shares ([`local`]). Rate limits, which
//! count the calls in a span of time, use the same state machines ([`calls`]).
//!
//! **The budget is never exceeded.** For each courier and partner, the replicated state counts the highest number of
//! connections that may be open. A share is raised only within what the budget leaves above the sum of these counts. A
//! lowered share counts with its old value until its courier has confirmed, with the number of the recall, that it has
//! no more connections open. The sum therefore stays within the budget at each log entry, whichever courier proposes a
//! command, in any order and any number of times. A courier that can't confirm continues to count until
//! [`TimeBounds::drain_time`] after its lease has lapsed. By then it has no connections open except those of its
//! floor, which always counts. This guarantee depends on these assumptions:
//! - Leases: by its own clock, a courier's lease ends before the leader considers it lapsed.
//! - The partner (or a limit of the network) closes a connection within [`TimeBounds::max_idle`] of the last byte that
//!   the courier wrote on it, even after a power failure of the courier.
//! - The clock never steps back, continues while a process or its host is suspended, and drifts by at most 1%.
//! - At most one process runs under each courier name, each with an epoch of its own. An upgrade passes its
//!   [`LocalBudget`] to the new process.
//! - Between [`LocalBudget::confirm_open`] and the first packet of the connection, a process is not suspended for
//!   longer than [`TimeBounds::drain_time`] after its lease. The process itself can't detect a suspension in that
//!   window.
//!
//! The floor of a courier at a partner may be raised while the fleet is running. It stays at the highest value that
//! was ever set until the courier is removed, because a courier that is cut off may know only that value.

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
