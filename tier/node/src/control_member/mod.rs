//! A member of the core: couriers with a disk agree on the control state, and their primary serves it.
//!
//! [`ControlMember`] carries out what the consensus group of `quillmount_control` decides. The other modules are
//! tasks and answers on top of it, most of which act only at the primary: answers to polls (`polls`, with the `leases` of
//! who polls and their `usage` counts), the operator's interface (`operator`), the endpoint list (`directory`), the
//! placement, usage reports and autoscaling (`singletons`), and announcements (`bootstrap`, `seeds`).

pub mod bootstrap;
pub mod directory;
mod member;
pub mod operator;
pub mod polls;
pub mod seeds;
pub mod singletons;

pub use member::ControlMember;
