//! The operator's configuration: reading it from JSON, checking its rules, and applying changes of named items.
//!
//! An operator sends a complete configuration or a change ([`apply_patch`] gives the complete text). The text is read by
//! [`Configuration::read`], checked by [`Configuration::check`] against the version in force, and distributed as text.

mod checks;
mod document;
mod error;
mod numbers;
mod patch;
mod reading;
mod types;

pub use error::ConfigurationError;
pub use patch::apply_patch;
pub use types::{Autoscale, ClientLimits, Configuration, Route, Runtime, Service, Tenant, WeightedService};
