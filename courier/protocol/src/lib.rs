//! Typed values for the platform's HTTP/1.1 interfaces, without I/O. Each message has one decoder and one encoder
//! (`docs/courier.md`).
//!
//! `courier/program` owns the sockets and passes the received bytes to this package: its client-facing server uses
//! [`submission`] and [`stream`], its endpoint calls use [`delivery`], its connections to the platform use
//! [`discovery`] and [`notice`], and its operator listener uses [`operator`]. `tools/explore` also calls endpoints
//! with [`delivery`].

pub mod delivery;
pub mod discovery;
pub mod notice;
pub mod operator;
pub mod stream;
pub mod submission;
mod time;
