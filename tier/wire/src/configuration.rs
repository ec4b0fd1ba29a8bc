//! The operator's configuration: parses it from JSON, validates it, and applies patches of named items.
//!
//! An operator sends a complete configuration or a patch, from which [`apply_patch`] produces the complete text. The text is parsed
//! by [`Configuration::parse`], validated by [`Configuration::validate`] against the version in force, and distributed as text.

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

/// Size of the largest configuration, bytes of its JSON text. Every member of the core and every subscriber holds it in memory, and a
/// change of it is sent to all of them.
pub const MAX_CONFIGURATION_BYTES: usize = 4 << 20;
