//! HTTP/1.1 on sockets: connections of clients, responses of this program's own, a small server and a small client.
//!
//! `quillmount_dataplane` parses heads and bodies; here are the sockets and the timeouts.

mod client;
mod connection;
mod response;
mod server;

pub use client::{ClientRequest, call};
pub use connection::{Connection, HttpRequest};
pub use response::{HttpResponse, reason_phrase};
pub use server::{HttpService, serve};
