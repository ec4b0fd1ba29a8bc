//! The tables that a process works with, as the core last sent them.

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

/// One consistent set of tables. A snapshot never changes; new tables come as a new snapshot.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    /// Versions of the tables below; 0 where none has come yet.
    pub versions: TableVersions,
    /// Text of the operator's configuration.
    pub configuration: Rc<str>,
    /// Routes and services of the operator's configuration.
    pub routes: Rc<RouteTable>,
    /// Members of the core, stores, and the view of each shard.
    pub placement: Rc<Placement>,
    /// Endpoints of all services, sorted by id.
    pub endpoints: Rc<Vec<Endpoint>>,
    /// Number of processes that share the endpoints' connections.
    pub senders: u32,
}

/// What an answer of the core changes.
#[derive(Debug, Default)]
pub struct TablesUpdate {
    /// The snapshot that follows; `None` if the answer changes nothing.
    pub next: Option<TableSnapshot>,
    /// The configuration of the answer can't be read: the one in force stays.
    pub rejected: Option<RejectedConfiguration>,
}

/// A configuration that was received and can't be read.
#[derive(Debug)]
pub struct RejectedConfiguration {
    /// Its version.
    pub version: u64,
    /// Why.
    pub error: ConfigurationError,
}

/// A difference that was received and does not lead from the table in force to the next one.
#[derive(Debug, thiserror::Error)]
pub enum UnusableDifference {
    /// It does not apply.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// It leads to a configuration that is no text.
    #[error("the configuration is not UTF-8: {0}")]
    Text(#[from] std::string::FromUtf8Error),
    /// It leads to bytes that are no placement.
    #[error(transparent)]
    Placement(#[from] FrameError),
}

impl TableSnapshot {
    /// The whole tables that differences to those in force lead to.
    ///
    /// # Errors
    /// A difference was made for another table.
    pub fn complete(&self, answer: ChangedTables) -> Result<Tables, UnusableDifference> {
        let ChangedTables { mut tables, configuration, placement } = answer;
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

    /// The snapshot that follows this one by an answer of the core. Tables that are not newer than those here are ignored.
    #[must_use]
    pub fn update(&self, tables: Tables) -> TablesUpdate {
        let mut next = self.clone();
        let mut changed = false;
        let mut rejected = None;
        if let Some(Versioned { version, content: text }) = tables.configuration
            && version > self.versions.configuration
        {
            match Configuration::read(&text) {
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
            && self.may_apply(&update)
            // Version 0 says that the primary has no current list.
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

    /// Whether an update of the endpoint list can be meant for the list in force. Changes that were on their way when this process put
    /// its own list in force are meant for the one before.
    fn may_apply(&self, update: &DirectoryUpdate) -> bool {
        match update {
            DirectoryUpdate::Full(_) => true,
            DirectoryUpdate::Delta { .. } => self.versions.directory.changes > 0,
        }
    }

    /// The snapshot with a list of endpoints that this process has read itself, without the core. No changes of a version make
    /// the core send all of its own list later: an incremental update does not apply to this one.
    #[must_use]
    pub fn with_own_list(&self, list: Vec<Endpoint>) -> TableSnapshot {
        let mut versions = self.versions;
        versions.directory.changes = 0;
        TableSnapshot { versions, endpoints: Rc::new(list), ..self.clone() }
    }
}
