//! RPC between the processes of the tier: frames over TCP, with many calls in flight on one connection.
//!
//! [`PeerLinks`] sends requests and notifications, and opens a connection to each address when it is needed. [`serve`] answers
//! them with a [`Handler`]. The frames and messages are defined in `quillmount_wire`.

mod client;
mod link;
mod read_frame;
mod server;
mod traffic;

pub use client::{CallError, PeerLinks};
pub use server::{Handler, serve};
