//! The sockets of the courier's process: the server that clients reach, and the clients of endpoints and of the platform.
//!
//! The decisions are made in `quillmount_core`; this module reports what happens on the sockets, and carries out the
//! actions that the decisions return. Each file uses only those before it:
//!
//! - `clock`, `gate`, `journal_file`, `socket`, `signals`, `inherited`, `channel` and `frames` stand by themselves or on
//!   each other;
//! - `connection` is a connection to an endpoint, `handle` what all tasks share with their courier;
//! - `endpoints` and `streams` move the bytes of calls and bodies, `connection_budget` limits their connections;
//! - `courier` connects them to the decisions;
//! - `platform` and `server` are the tasks that report to the courier, `operators` carries out operators' calls;
//! - `handover` passes all of it on to the next process at an upgrade.

pub mod channel;
pub mod clock;
pub mod connection;
pub mod connection_budget;
pub mod courier;
pub mod endpoints;
pub mod frames;
pub mod gate;
pub mod handle;
pub mod handover;
pub mod inherited;
pub mod journal_file;
pub mod operators;
pub mod platform;
pub mod server;
pub mod signals;
pub mod socket;
pub mod streams;

use actix_rt::net::TcpStream;
use actix_service::ServiceExt;
use actix_tls::connect::{Connection, Connector};
use std::time::Duration;

/// The wait after an accept that failed, mostly for lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The interim answer to a client that waits for it before it sends its body (RFC 9110, section 15.2.1).
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How long a connection of an HTTP client may be reused: practically for ever, since a new one costs its server work.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(86_400);

/// An HTTP client that sends each request once and unchanged: without awc's redirects, its timeout of five seconds for any
/// answer and its default headers. A connection has to come up within `connect_timeout`; with `nodelay`, small writes are
/// not delayed (`TCP_NODELAY`).
pub(crate) fn plain_client(connect_timeout: Duration, nodelay: bool) -> awc::Client {
    // A head and its body are two writes: the second must not wait for the acknowledgement of the first.
    let connect = Connector::default().service().map(move |conn: Connection<awc::http::Uri, TcpStream>| {
        let _ = conn.io_ref().set_nodelay(nodelay);
        conn
    });
    let connector = awc::Connector::new().connector(connect).timeout(connect_timeout);
    let connector = connector.conn_lifetime(CONNECTION_LIFETIME).limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}
