//! The core: couriers with a disk replicate the control state by consensus, and their primary serves it.
//!
//! [`ControlMember`] runs the consensus state machine of `quillmount_control`. The other modules are tasks and request handlers
//! that use it; most of them act only at the primary. They answer polls (`polls`, which also renew leases and collect usage
//! counts), serve the operator's interface (`operator`), read the endpoint list (`directory`), maintain the placement, report
//! usage and scale services (`singletons`), and send announcements (`bootstrap`, `seeds`).

pub mod bootstrap;
pub mod directory;
mod member;
pub mod operator;
pub mod polls;
pub mod seeds;
pub mod singletons;

pub use member::ControlMember;
