//! Routes, tenants and services of a configuration, compiled for look-up.
//!
//! [`RouteTable::compile`] builds the table from a valid configuration. For each request the caller looks up its route
//! ([`RouteTable::find`]) and its tenant ([`RouteTable::access`]), and draws a service ([`CompiledRoute::pick_service`], with
//! [`ServiceDraws`]).

mod draws;
mod route;
mod table;

pub use draws::ServiceDraws;
pub use route::{CompiledRoute, RouteMode};
pub use table::{Access, RouteTable};
