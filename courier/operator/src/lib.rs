//! The operator file: what a courier does beyond the platform's protocol. Everything in it is off until it is switched on, and
//! without the file the courier is as the platform documents it (`docs/operating.md`).
//!
//! The file is JSON with a version and a schema (`docs/schema/operator.json`), and has one section for each subsystem. Unknown
//! fields are rejected: a misspelt limit would otherwise be silently without effect. `courier/program` loads it at the start, on
//! SIGHUP, for `quillmount check` and for `quillmount schema`.
//!
//! The descriptions in that schema are published text. They are the doc comments of the section types; where a comment says more
//! or uses other terms than the published text, `#[schemars(description = "...")]` gives the latter, and an empty one leaves the
//! description out.

mod checks;
mod error;
mod file;
pub mod fleet;
mod log;
pub mod problems;
mod streams;
pub mod units;

pub use error::OperatorError;
pub use file::{Operator, VERSION};
pub use log::{Log, LogFormat};
pub use streams::{Pace, Streams};
