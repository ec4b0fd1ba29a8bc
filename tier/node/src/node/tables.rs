//! The tables that a process works with, as the core last sent them.

use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::messages::{Endpoint, Placement, TableVersions};
use std::rc::Rc;

/// One consistent set of tables. A snapshot never changes; new tables come as a new snapshot.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    /// Versions of the tables below; 0 where none has come yet.
    pub versions: TableVersions,
    /// Routes and services of the operator's configuration.
    pub routes: Rc<RouteTable>,
    /// Members of the core, stores, and the view of each shard.
    pub placement: Rc<Placement>,
    /// Endpoints of all services, sorted by id.
    pub endpoints: Rc<Vec<Endpoint>>,
    /// Number of processes that share the endpoints' connections.
    pub senders: u32,
}
