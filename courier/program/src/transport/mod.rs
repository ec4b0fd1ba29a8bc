//! Sockets: the server that clients reach, and the clients of endpoints and of the platform.
//!
//! Each file knows only those before it: `clock`, `channel`, `gate`, `folder`, `socket`; `frames`, and `handle`, which
//! is what tasks know of their courier; `endpoints` and `streams`, which move the bytes of calls and bodies; `courier`,
//! which wires them to the decisions; `platform` and `server`, whose tasks hand in what happens; `operators`;
//! `handover`.

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

/// A client that does what it is told once: awc's own answer to redirects, its five seconds for any
/// answer and its default headers all act behind the caller's back.
/// A connection comes up within `connect`; small writes on it leave `at_once`.
pub(crate) fn plain_client(connect: Duration, at_once: bool) -> awc::Client {
    // A head and its body are two writes: the second must not wait for the acknowledgement of the first.
    let dial = Connector::default().service().map(move |conn: Connection<awc::http::Uri, TcpStream>| {
        let _ = conn.io_ref().set_nodelay(at_once);
        conn
    });
    let connector = awc::Connector::new().connector(dial).timeout(connect);
    // No lifetime: a connection that works is kept, since a new one costs the endpoint work.
    let connector = connector.conn_lifetime(Duration::from_secs(86_400)).limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}
