//! Identities: disks, epochs, processes.

use rkyv::{Archive, Deserialize, Serialize};

/// Identity of a disk, drawn at random when its folder is found empty. A machine without a disk draws one at each start.
pub type DiskId = u64;
/// Fencing number; it increases with each change of the core's primary, and with each change of a shard's view.
pub type Epoch = u64;

/// A process as the core knows it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the machine.
    pub name: String,
    /// Identity of its disk.
    pub disk: DiskId,
    /// Address for traffic between couriers.
    pub internal: String,
    /// Address of the operator interface, if the process serves it.
    pub admin: Option<String>,
    /// Availability zone.
    pub zone: String,
    /// What the process does.
    pub role: NodeRole,
}

/// Roles of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum NodeRole {
    /// Forwards requests; no disk.
    Courier,
    /// Forwards requests and stores the control state.
    Core,
    /// Stores batch jobs.
    Store,
}
