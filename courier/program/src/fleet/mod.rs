//! A courier as a member of a fleet, on sockets: drives the member machine (`quillmount_fleet::member`), sends and receives
//! its messages, and carries its outputs out on the courier. Only where the operator file's section `fleet` is on.
//!
//! The machine has no sockets, files or clock; each file here gives it one of them, or connects it to one concern of the
//! courier:
//!
//! - `settings`, `stores`, `state_folder` and `descriptors` are its configuration, its files and what it needs of the system;
//! - `links` sends messages to the other members, `listener` receives theirs;
//! - `budget` limits connections to partners, `settlements` runs messages that belong together in their order;
//! - `membership` is the membership itself: it steps the machine, and carries its outputs out on the courier;
//! - `start` opens all of these and spawns their tasks.

mod budget;
mod descriptors;
mod error;
mod links;
mod listener;
mod membership;
mod settings;
mod settlements;
mod start;
mod state_folder;
mod stores;

pub use descriptors::sockets;
pub use error::FleetError;
pub use membership::Fleet;
pub use settings::problems;
pub use start::FleetSetup;
pub use state_folder::may_be_off;

/// The log target of this module's files, which operators filter by.
const LOG_TARGET: &str = "quillmount::fleet";
