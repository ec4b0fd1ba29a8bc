//! Applies the tables of a poll's answer to those in force.

use crate::node::{Node, TableSnapshot};
use quillmount_control::apply_update;
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::configuration::Configuration;
use quillmount_wire::messages::{Tables, Versioned};
use std::rc::Rc;

/// Puts those tables of an answer in force that are newer than the present ones; older ones are ignored.
pub fn apply(node: &Node, tables: Tables) {
    let current = node.tables();
    let Some(next) = updated(&current, tables) else { return };
    if current.versions.configuration == 0 && next.versions.configuration > 0 {
        tracing::info!(version = next.versions.configuration, "first configuration in force");
    }
    node.swap_tables(next);
}

/// The snapshot that follows `current`; `None` if the answer changes nothing.
fn updated(current: &TableSnapshot, tables: Tables) -> Option<TableSnapshot> {
    let mut next = current.clone();
    let mut changed = false;
    if let Some(Versioned { version, content: text }) = tables.configuration
        && version > current.versions.configuration
        && let Some(routes) = compile_routes(version, &text)
    {
        next.routes = Rc::new(routes);
        next.versions.configuration = version;
        changed = true;
    }
    if let Some(Versioned { version, content: placement }) = tables.placement
        && version > current.versions.placement
    {
        next.placement = Rc::new(placement);
        next.versions.placement = version;
        changed = true;
    }
    if let Some(Versioned { version, content: update }) = tables.directory
        && version > current.versions.directory
    {
        next.endpoints = Rc::new(apply_update(&current.endpoints, update));
        next.versions.directory = version;
        changed = true;
    }
    if tables.senders != current.senders {
        next.senders = tables.senders;
        changed = true;
    }
    changed.then_some(next)
}

fn compile_routes(version: u64, text: &str) -> Option<RouteTable> {
    match Configuration::read(text) {
        Ok(configuration) => Some(RouteTable::compile(&configuration)),
        Err(error) => {
            tracing::error!(%error, version, "failed to parse the configuration received from the core");
            None
        }
    }
}
