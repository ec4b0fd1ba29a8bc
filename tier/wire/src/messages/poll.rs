//! The long poll that couriers and stores send to the core's primary. It is both their heartbeat and their subscription to the tables.

use super::delta::Delta;
use super::directory::DirectoryUpdate;
use super::node::{DiskId, Epoch, NodeInfo};
use super::placement::{Placement, ShardReport};
use rkyv::{Archive, Deserialize, Serialize};

/// Version of the endpoint list. The counter restarts in each epoch of the core, so counters of different epochs can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct DirectoryVersion {
    /// Epoch of the core's primary that read the list.
    pub epoch: Epoch,
    /// Number of changes of the list in this epoch; 0 if there is no list.
    pub changes: u64,
}

/// Versions of the tables at a process; 0 for a table that it does not have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TableVersions {
    /// Version of the operator's configuration.
    pub configuration: u64,
    /// Version of the placement.
    pub placement: u64,
    /// Version of the endpoint list.
    pub directory: DirectoryVersion,
}

/// Number of requests of each tenant that started to run in one usage window. Windows follow the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct UsageWindow {
    /// Number of the window: wall-clock time divided by the length of a window.
    pub window: u64,
    /// Number of requests by tenant.
    pub counts: Vec<(String, u64)>,
}

/// A long poll of a courier or store.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Poll {
    /// Process that sends the poll.
    pub node: NodeInfo,
    /// Random number drawn at each start of the sender, so that its usage counts do not replace those of an earlier incarnation.
    pub incarnation: u64,
    /// Versions of the tables that the sender has.
    pub known_versions: TableVersions,
    /// Longest time that the receiver may delay the response, milliseconds.
    pub max_wait_ms: u64,
    /// Requests that the sender has counted, by usage window.
    pub usage: Vec<UsageWindow>,
    /// Reports about the shards of which the sender is the primary.
    pub shards: Vec<ShardReport>,
    /// Whether the sender is shutting down and must be assigned no new roles.
    pub draining: bool,
    /// Whether a courier forwards the poll for a process that can't reach the core.
    pub relayed: bool,
    /// Number of endpoint slots that live requests at the sender need concurrently, by service.
    pub demand: Vec<(String, f64)>,
    /// Number of batch items that wait or run at the sender, by service; empty unless the sender is a store.
    pub items: Vec<(String, u32)>,
}

/// Load on the endpoints of a service, as last reported to the core's primary.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Number of endpoint slots that live requests need concurrently.
    pub live_demand: f64,
    /// Number of batch items that wait or run, by store.
    pub items: Vec<(DiskId, u32)>,
}

/// A table or an update of a table, with the resulting version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Versioned<V, T> {
    /// Version of the table after the update.
    pub version: V,
    /// The table or the update.
    pub content: T,
}

/// Response to a long poll. It contains only tables that are newer than those of the sender of the poll.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Tables {
    /// Epoch of the core's primary.
    pub epoch: Epoch,
    /// Text of the operator's configuration.
    pub configuration: Option<Versioned<u64, String>>,
    /// Placement of core members, stores and shards.
    pub placement: Option<Versioned<u64, Placement>>,
    /// Update of the endpoint list.
    pub directory: Option<Versioned<DirectoryVersion, DirectoryUpdate>>,
    /// Number of live couriers and stores, which share the connections to each endpoint.
    pub senders: u32,
    /// Internal address of the primary that responds.
    pub primary: String,
    /// Internal addresses of couriers without a disk that forward polls for processes that can't reach the core.
    pub relays: Vec<String>,
    /// Load of each service; empty unless a store sent the poll.
    pub loads: Vec<ServiceLoad>,
}

/// Response to a long poll whose sender has an earlier version of a table. It contains deltas in place of complete tables.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct ChangedTables {
    /// All other parts of the response; tables that are sent as deltas are not set.
    pub tables: Tables,
    /// Delta of the configuration's text.
    pub configuration: Option<Versioned<u64, Delta>>,
    /// Delta of the encoded placement.
    pub placement: Option<Versioned<u64, Delta>>,
}
