//! Reports of couriers to the budget leader, sent in postcard encoding, which depends on the order of the fields.

use serde::{Deserialize, Serialize};

/// A courier's demand and confirmations for one tenant at one partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    /// The destination id of the partner.
    pub dest: u64,
    /// The tenant's name.
    pub tenant: String,
    /// Connections that the tenant could use now: its calls in flight and waiting.
    pub demand: u32,
    /// The tenant's connections at this courier, in any state.
    pub open: u32,
    /// The confirmation of a recall, if the share is recalled.
    pub released: Option<ConfirmedRecall>,
}

/// A courier's confirmation of how far it has met the recall of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedRecall {
    /// The number of the recall, as the replicated state assigned it.
    pub number: u64,
    /// The connections that still count against the share.
    pub connections: u32,
}

/// The complete current demand of a courier. Each report replaces the previous one, so lost and duplicated reports are
/// harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The courier's name.
    pub courier: String,
    /// The epoch of the courier's registration.
    pub epoch: u64,
    /// Incremented with each report; the leader ignores a report that is older than the last one.
    pub sequence: u64,
    /// Whether all open connections fit within the grants of this epoch and earlier processes have none open.
    pub clear: bool,
    /// Whether the courier has stopped: it has no connections open and opens no more.
    pub left: bool,
    /// One line for each partner and tenant with a grant, a connection or waiting calls.
    pub lines: Vec<ReportLine>,
}

/// A message between couriers that concerns budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// A report from a courier to the leader.
    Report(Report),
}
