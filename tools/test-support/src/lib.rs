//! What the tests of several packages share; no program uses it. [`fixtures`] compares stored forms with files that an
//! earlier version wrote, [`digest`] compares seeded runs with their recorded figures, [`temporary`] gives folders to write
//! into. For worlds on virtual time, [`simulation`] runs events in order, [`random`] draws by seed, [`process`] and
//! [`network`] model processes and links that fail, and [`seeds`] runs many seeds. With the feature `register`, the module of
//! that name labels messages between core members.

pub mod digest;
pub mod fixtures;
pub mod network;
pub mod process;
pub mod random;
#[cfg(feature = "register")]
pub mod register;
pub mod seeds;
pub mod simulation;
pub mod temporary;
