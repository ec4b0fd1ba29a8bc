//! The long poll of couriers and stores at the core's primary: heartbeat and subscription to the tables in one.

use super::delta::Delta;
use super::directory::DirectoryUpdate;
use super::node::{DiskId, Epoch, NodeInfo};
use super::placement::{Placement, ShardReport};
use rkyv::{Archive, Deserialize, Serialize};

/// Version of the endpoint list. The count starts again in each epoch of the core: those of two epochs can't be compared by
/// their counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct DirectoryVersion {
    /// Epoch of the primary that read the list.
    pub epoch: Epoch,
    /// Number of changes of the list in this epoch; 0 for no list.
    pub changes: u64,
}

/// Versions of the tables that a process has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TableVersions {
    /// Version of the operator's configuration.
    pub configuration: u64,
    /// Version of the placement.
    pub placement: u64,
    /// Version of the endpoint list.
    pub directory: DirectoryVersion,
}

/// Requests of each tenant that started to run in one window of the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct UsageWindow {
    /// Number of the window.
    pub window: u64,
    /// Tenants and their requests.
    pub counts: Vec<(String, u64)>,
}

/// A long poll of a courier or store.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Poll {
    /// The sender.
    pub node: NodeInfo,
    /// Drawn at each start of the sender: counts of an earlier incarnation are not replaced.
    pub incarnation: u64,
    /// Versions of the tables that the sender has.
    pub known_versions: TableVersions,
    /// Longest time until the response, milliseconds.
    pub max_wait_ms: u64,
    /// Usage that the sender has counted.
    pub usage: Vec<UsageWindow>,
    /// Reports on the shards whose primary the sender is.
    pub shards: Vec<ShardReport>,
    /// The sender is shutting down: it is assigned no new roles.
    pub draining: bool,
    /// A courier forwards the poll for a process that cannot reach the core.
    pub relayed: bool,
    /// Endpoint slots that live requests need at the sender at once, by service.
    pub demand: Vec<(String, f64)>,
    /// Items of batch jobs that wait or run at the sender, by service; empty unless it is a store.
    pub items: Vec<(String, u32)>,
}

/// Load on the endpoints of a service, as last reported to the core's primary.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Endpoint slots that live requests need at once.
    pub live_demand: f64,
    /// Items of batch jobs that wait or run, by store.
    pub items: Vec<(DiskId, u32)>,
}

/// A table, or an update of it, with the version that it leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Versioned<V, T> {
    /// The version.
    pub version: V,
    /// The table or the update.
    pub content: T,
}

/// Response to a long poll, with only the tables that the sender of the poll does not have.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Tables {
    /// Epoch of the core's primary.
    pub epoch: Epoch,
    /// Text of the operator's configuration.
    pub configuration: Option<Versioned<u64, String>>,
    /// The placement.
    pub placement: Option<Versioned<u64, Placement>>,
    /// Update of the endpoint list.
    pub directory: Option<Versioned<DirectoryVersion, DirectoryUpdate>>,
    /// Number of live couriers and stores: they share an endpoint's connections.
    pub senders: u32,
    /// Internal address of the primary that responds.
    pub primary: String,
    /// Internal addresses of couriers without a disk that forward polls for processes that cannot reach the core.
    pub relays: Vec<String>,
    /// Load of each service; empty unless the poll is a store's.
    pub loads: Vec<ServiceLoad>,
}

/// Response to a long poll whose sender has an earlier version of a table: the difference in place of the table.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct ChangedTables {
    /// All else; without the tables that are given as differences.
    pub tables: Tables,
    /// Difference of the configuration's text.
    pub configuration: Option<Versioned<u64, Delta>>,
    /// Difference of the encoded placement.
    pub placement: Option<Versioned<u64, Delta>>,
}
