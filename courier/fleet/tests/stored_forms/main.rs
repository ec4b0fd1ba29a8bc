//! Compatibility of everything that the couriers of a fleet store and send: bytes of an earlier version decode to the
//! same values, and the same values encode to the same bytes. `WRITE_FIXTURES=1` rewrites the fixture files.

mod agreement;
#[allow(dead_code)]
#[path = "../common/mod.rs"]
mod common;
mod folders;
mod messages;
mod settlements;
mod state;
mod values;
