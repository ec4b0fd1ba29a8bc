//! The platform's HTTP/1.1 interfaces as typed values, without I/O: each message is decoded in one place and encoded in one
//! (`docs/courier.md`).
//!
//! `courier/program` has the sockets and calls this package with the bytes: [`submission`] and [`stream`] from its server for
//! clients, [`delivery`] from its calls to endpoints, [`discovery`] and [`notice`] from its connections to the platform, and
//! [`operator`] from its listener for operators. `tools/explore` calls endpoints with [`delivery`] too.

pub mod delivery;
pub mod discovery;
pub mod notice;
pub mod operator;
pub mod stream;
pub mod submission;
mod time;
