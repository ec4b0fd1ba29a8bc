//! Identities of disks and processes, and epochs.

use rkyv::{Archive, Deserialize, Serialize};

/// Identity of a disk: a random number that is drawn when the data folder is found empty. A machine without a disk draws a new one at
/// each start.
pub type DiskId = u64;
/// Fencing token. The epoch of the core increases with each change of its primary, that of a shard with each change of its view.
pub type Epoch = u64;

/// A process with its identity, addresses and role.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the machine.
    pub name: String,
    /// Identity of the machine's disk.
    pub disk: DiskId,
    /// Address for traffic between processes.
    pub internal: String,
    /// Address of the operator interface; `None` if the process does not serve it.
    pub admin: Option<String>,
    /// Availability zone.
    pub zone: String,
    /// Role of the process.
    pub role: NodeRole,
}

/// Role of a process in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum NodeRole {
    /// Forwards requests and has no disk.
    Courier,
    /// Forwards requests and stores the control state.
    Core,
    /// Stores batch jobs.
    Store,
}
