//! What couriers of a fleet store and send each other: bytes that an earlier version wrote are read to the same values, and
//! the same values are written as the same bytes. `WRITE_FIXTURES=1` writes the files anew.

mod agreement;
#[allow(dead_code)]
#[path = "../common/mod.rs"]
mod common;
mod folders;
mod messages;
mod settlements;
mod state;
mod values;
