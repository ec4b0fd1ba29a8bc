//! What the tests of several packages share; no program uses it. [`fixtures`] compares stored forms with files that an
//! earlier version wrote, [`digest`] compares seeded runs with their kept figures, [`temporary`] gives folders to write into.

pub mod digest;
pub mod fixtures;
pub mod temporary;
