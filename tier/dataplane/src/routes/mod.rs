//! Routes, tenants and services of a configuration, compiled for lookup.
//!
//! [`RouteTable::compile`] builds the table from a valid configuration. For each request the caller looks up its route
//! ([`RouteTable::find`]) and its tenant ([`RouteTable::authenticate`]), and chooses a service by weight
//! ([`CompiledRoute::pick_service`] with [`ServiceDraws`]).

mod draws;
mod route;
mod table;

pub use draws::ServiceDraws;
pub use route::{CompiledRoute, RouteMode};
pub use table::{Access, RouteTable};
