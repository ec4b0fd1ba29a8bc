//! What couriers report to the leader of the budgets. Sent in postcard's form, which goes by position.

use serde::{Deserialize, Serialize};

/// What a courier demands and confirms, for one tenant at one partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    /// The partner.
    pub dest: u64,
    /// The tenant's name.
    pub tenant: String,
    /// Connections that it would use now: calls that are in flight or waiting.
    pub demand: u32,
    /// Connections that it has, in any state.
    pub open: u32,
    /// A recall that is met.
    pub released: Option<ConfirmedRecall>,
}

/// A courier's confirmation that it has met a recall of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedRecall {
    /// The number of the recall.
    pub number: u64,
    /// The connections that still count.
    pub connections: u32,
}

/// All that a courier demands now. A later report replaces it, so that lost and repeated ones are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The courier's name.
    pub courier: String,
    /// The epoch of its registration.
    pub epoch: u64,
    /// Grows with each report; a report that is older than the last is ignored.
    pub sequence: u64,
    /// All that it has open is within what it was granted under this epoch, and earlier processes have nothing open.
    pub clear: bool,
    /// It is stopping, has nothing open, and begins nothing more.
    pub left: bool,
    /// One line for each partner and tenant.
    pub lines: Vec<ReportLine>,
}

/// A message between couriers about budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// To the leader.
    Report(Report),
}
