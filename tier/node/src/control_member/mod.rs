//! The core: couriers with a disk agree on the control state, and their primary serves it.

pub mod bootstrap;
pub mod directory;
pub mod inspect;
pub mod leases;
pub mod operator;
pub mod polls;
pub mod register;
pub mod scaling;
pub mod seeds;
pub mod singletons;

pub use register::ControlMember;
