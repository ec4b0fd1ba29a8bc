//! The tables that a process uses, as the core last sent them.

use crate::breaks::{self, Break};
use crate::routes::RouteTable;
use quillmount_control::apply_update;
use quillmount_wire::configuration::{Configuration, ConfigurationError};
use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{
    ChangedTables, DeltaError, DirectoryUpdate, Endpoint, Placement, TableVersions, Tables, Versioned,
    decode, encode,
};
use std::rc::Rc;

/// One consistent, immutable set of tables; newer tables form a new snapshot.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    /// Versions of the tables; 0 for a table that was not received yet.
    pub versions: TableVersions,
    /// Text of the operator's configuration.
    pub configuration: Rc<str>,
    /// Routes and services of the operator's configuration.
    pub routes: Rc<RouteTable>,
    /// Members of the core, the stores, and the view of each shard.
    pub placement: Rc<Placement>,
    /// Endpoints of all services, sorted by id.
    pub endpoints: Rc<Vec<Endpoint>>,
    /// Number of processes that share the connections to the endpoints.
    pub senders: u32,
}

/// The effect of a core response on the current snapshot.
#[derive(Debug, Default)]
pub struct TablesUpdate {
    /// The new snapshot; `None` if the response changes nothing.
    pub next: Option<TableSnapshot>,
    /// The configuration of the response if it is invalid; the current one stays in force.
    pub rejected: Option<RejectedConfiguration>,
}

/// A received configuration that is invalid.
#[derive(Debug)]
pub struct RejectedConfiguration {
    /// Version of the invalid configuration.
    pub version: u64,
    /// The syntax or validation error.
    pub error: ConfigurationError,
}

/// The reason why a received table delta can't be applied to the current table; the caller requests the full table.
#[derive(Debug, thiserror::Error)]
pub enum TableDeltaError {
    /// The delta was computed for another base table, or its result is too large.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The resulting configuration is not valid UTF-8.
    #[error("failed to apply a configuration delta: the result is not UTF-8: {0}")]
    Text(#[from] std::string::FromUtf8Error),
    /// The resulting bytes can't be decoded as a placement.
    #[error(transparent)]
    Placement(#[from] FrameError),
}

impl TableSnapshot {
    /// Replaces the deltas of a response by the full tables, computed from the tables of this snapshot.
    ///
    /// # Errors
    /// A delta was computed for another base table, or its result can't be decoded.
    pub fn resolve_deltas(&self, response: ChangedTables) -> Result<Tables, TableDeltaError> {
        let ChangedTables { mut tables, configuration, placement } = response;
        if let Some(Versioned { version, content: delta }) = configuration {
            let content = String::from_utf8(delta.apply(self.configuration.as_bytes())?)?;
            tables.configuration = Some(Versioned { version, content });
        }
        if let Some(Versioned { version, content: delta }) = placement {
            let content = decode(&delta.apply(&encode(&*self.placement))?)?;
            tables.placement = Some(Versioned { version, content });
        }
        Ok(tables)
    }

    /// Applies the tables of a core response. Tables that are not newer than those of this snapshot are ignored.
    #[must_use]
    pub fn apply(&self, tables: Tables) -> TablesUpdate {
        let mut next = self.clone();
        let mut changed = false;
        let mut rejected = None;
        if let Some(Versioned { version, content: text }) = tables.configuration
            && version > self.versions.configuration
        {
            match Configuration::parse(&text) {
                Ok(configuration) => {
                    if !breaks::is_enabled(Break::RoutesOutdated) || self.versions.configuration == 0 {
                        next.routes = Rc::new(RouteTable::compile(&configuration));
                    }
                    next.configuration = Rc::from(text);
                    next.versions.configuration = version;
                    changed = true;
                }
                Err(error) => rejected = Some(RejectedConfiguration { version, error }),
            }
        }
        if let Some(Versioned { version, content: placement }) = tables.placement
            && version > self.versions.placement
        {
            next.placement = Rc::new(placement);
            next.versions.placement = version;
            changed = true;
        }
        if let Some(Versioned { version, content: update }) = tables.directory
            && version > self.versions.directory
            && self.is_applicable(&update)
            // Version 0 means that the primary has no current list.
            && version.changes > 0
        {
            next.endpoints = Rc::new(apply_update(&self.endpoints, update));
            next.versions.directory = version;
            changed = true;
        }
        if tables.senders != self.senders {
            next.senders = tables.senders;
            changed = true;
        }
        TablesUpdate { next: changed.then_some(next), rejected }
    }

    /// Whether an update of the endpoint list can apply to the current list. A delta that was in transit when this process installed
    /// a list that it had read directly refers to the previous list.
    fn is_applicable(&self, update: &DirectoryUpdate) -> bool {
        match update {
            DirectoryUpdate::Full(_) => true,
            DirectoryUpdate::Delta { .. } => self.versions.directory.changes > 0,
        }
    }

    /// The snapshot with an endpoint list that this process has read directly from the platform, without the core. The change count
    /// of its version is 0, so that the core later sends its full list: a delta does not apply to this list.
    #[must_use]
    pub fn with_direct_list(&self, list: Vec<Endpoint>) -> TableSnapshot {
        let mut versions = self.versions;
        versions.directory.changes = 0;
        TableSnapshot { versions, endpoints: Rc::new(list), ..self.clone() }
    }
}
